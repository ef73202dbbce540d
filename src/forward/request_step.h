#ifndef REDWINGDOCK_FORWARD_REQUEST_STEP_H
#define REDWINGDOCK_FORWARD_REQUEST_STEP_H

#include "core/context.h"
#include "forward/forward_hooks.h"
#include "forward/forward_state.h"

// One step of a forwarded request: from its present state to the next one, with the commands that
// follow from it.
//
//   request_step(context, hooks, state).Run();

namespace redwingdock {

// Pause before a part is tried again while no replica has room or the budget is used up.
inline constexpr micros kRetryPause = std::chrono::milliseconds(12);

// The next step of a request is due. Key: RequestKey.
struct step_due
{
  std::uint64_t mRequest = 0;

  auto operator<=>(const step_due&) const = default;
};

// Key of the latency_record of a route.
std::string LatencyKey(const route_rule& aRoute);

// Key of the admission_level of the services of a gather.
std::string AdmissionKey(const route_rule& aRoute);

// Key of the repeat_budget of a service.
std::string BudgetKey(const std::string& aService);

class request_step
{
public:
  request_step(core_context& aContext, const forward_hooks& aHooks, forward_state aState);
  // Advances all parts, gives the answer when it is due, and keeps the state.
  void Run();

  // Ends all work of a request whose client has left.
  void Abandon();

private:
  micros Expected() const;
  choice_input ChoiceInput(const std::string& aService) const;
  std::vector<choice_candidate> Candidates(const forward_part& aPart) const;
  // A replica that refused a part for want of room may have room later.
  static bool HasTried(const forward_part& aPart, const replica_entry& aReplica);
  bool MayRepeat(const forward_part& aPart) const;
  void Advance(std::uint32_t aIndex);
  // The part after what is due now.
  forward_part Advanced(std::uint32_t aIndex, forward_part aPart);
  // Sends the part to the cheapest replica; without one, or without budget, the part waits, and is
  // given up when nothing is open and no replica is left.
  forward_part Sent(std::uint32_t aIndex, forward_part aPart, const char* aWhy);
  // Takes a repeat while no more than the share of the budget is used.
  bool TakeRepeat(const std::string& aService, double aShare);
  void Conclude();
  // Counts for the admission of further gathers, once, when the partial answer is due or before.
  void CountPunctuality();
  void AnswerSuccess();
  void AnswerFailure(answer_kind aKind);
  // "service:last end" of the parts without a reply.
  std::string MissingText() const;
  void Answer(forward_answer aAnswer);
  void CancelOverdue();
  void CancelAll(bool aForSilence);
  forward_part Cancelled(std::uint32_t aIndex, forward_part aPart, bool aForSilence);
  bool IsFinished() const;
  instant NextStep() const;
  void Keep();

  core_context& mContext;
  const forward_hooks& mHooks;
  const std::shared_ptr<const forward_config> mSettings;
  forward_state mState;
  std::shared_ptr<const catalog> mCatalog;
  std::shared_ptr<const latency_record> mLatencies; // null while none is known
};

} // namespace redwingdock

#endif
