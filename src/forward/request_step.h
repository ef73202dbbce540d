#ifndef REDWINGDOCK_FORWARD_REQUEST_STEP_H
#define REDWINGDOCK_FORWARD_REQUEST_STEP_H

#include "core/context.h"
#include "forward/forward_hooks.h"
#include "forward/forward_state.h"

// Advances a forwarded request from its current state to the next one and emits the resulting
// commands.
//
//   request_step(context, hooks, state).Run();

namespace redwingdock {

// Delay before a part is tried again while no replica has capacity or the budget is used up.
inline constexpr micros kRetryDelay = std::chrono::milliseconds(12);

// Fact: the timer of a request fired. Key: ForwardRequestKey.
struct step_due
{
  std::uint64_t mRequest = 0;

  auto operator<=>(const step_due&) const = default;
};

// Entry key of the latency_record of a route.
std::string LatencyKey(const route_rule& aRoute);

// Entry key of the admission_level of a gather's services.
std::string AdmissionKey(const route_rule& aRoute);

// Entry key of the repeat_budget of a service.
std::string BudgetKey(const std::string& aService);

// The latest time that any replica asked to wait for. Entry key: kDeferralsKey.
struct replica_deferrals
{
  instant mLatest{};

  auto operator<=>(const replica_deferrals&) const = default;
};

inline constexpr char kDeferralsKey[] = "deferrals";

class request_step
{
public:
  request_step(core_context& aContext, const forward_hooks& aHooks, forward_state aState);
  // Starts a new request. Refuses it before anything is sent when too many parts have no replica
  // that takes requests in time.
  void Begin();
  // Advances all parts, answers the request when the answer is due, and stores the state.
  void Run();

  // Answers a request that is not answered yet with what it has, and cancels its attempts.
  void AnswerNow();

  // Cancels all attempts of a request whose client disconnected, and removes its state.
  void Abandon();

private:
  micros Expected() const;
  choice_input ChoiceInput(const std::string& aService) const;
  struct candidate_list
  {
    std::vector<choice_candidate> mReady;
    instant mNextAt = kNever; // when the first of the others takes requests again
  };

  candidate_list Candidates(const forward_part& aPart) const;
  // Until when an attempt that starts then can still improve the answer.
  instant UsefulUntil() const;
  // Whether the part must not be sent to the replica again. A replica that rejected the part may
  // have capacity later and does not count as tried.
  static bool HasTried(const forward_part& aPart, const replica_entry& aReplica);
  bool MayRepeat(const forward_part& aPart) const;
  void Advance(std::uint32_t aIndex);
  // Sends the first attempt, a retry or a hedge if it is due, or gives the part up.
  forward_part AdvancePart(std::uint32_t aIndex, forward_part aPart);
  // Sends the part to the replica with the lowest cost. Waits when no replica has capacity or the
  // budget is used up, or until a replica takes requests again in time; gives the part up when no
  // attempt is open and no replica is left.
  forward_part SendPart(std::uint32_t aIndex, forward_part aPart, const char* aReason);
  // Takes a repeat from the budget of the service unless aShare of it is used up.
  bool TakeRepeat(const std::string& aService, double aShare);
  void AnswerIfDue();
  // Updates the admission_level of the gather's services once, at the latest when the partial
  // answer is due.
  void UpdateAdmission();
  void AnswerSuccess();
  // Answers that the request did not succeed: that it did not run, if that is certain.
  void AnswerUnanswered(bool aTimedOut);
  void AnswerFailure(answer_kind aKind);
  // Time after which the client can expect an answer.
  micros RetryAfter() const;
  // Comma-separated "service:last attempt_end" of the parts without a reply.
  std::string MissingText() const;
  void Answer(forward_answer aAnswer);
  void RecordReplySize(const forward_answer& aAnswer);
  void CancelOverdue();
  void CancelAll(bool aIsOverdue);
  forward_part CancelPart(std::uint32_t aIndex, forward_part aPart, bool aIsOverdue);
  bool IsFinished() const;
  instant NextStep() const;
  void Store();

  core_context& mContext;
  const forward_hooks& mHooks;
  const std::shared_ptr<const forward_config> mSettings;
  forward_state mState;
  std::shared_ptr<const catalog> mCatalog;
  std::shared_ptr<const latency_record> mLatencies; // null while none has been recorded
};

} // namespace redwingdock

#endif
