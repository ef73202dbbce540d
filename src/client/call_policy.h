#ifndef REDWINGDOCK_CLIENT_CALL_POLICY_H
#define REDWINGDOCK_CLIENT_CALL_POLICY_H

#include "core/requests.h"

// Decisions of a caller as pure functions: which daemon to ask for an entry VM, whether a cached
// entry answer is still usable, and whether to retry a request.
//
//   call_decision next = DecideCall(state, call_event::ConnectionLost, outcome::Unknown);

namespace redwingdock {

// A cached entry answer and the time at which it expires.
struct cached_entry
{
  entry_answer mAnswer;
  instant mExpiresAt{};

  auto operator<=>(const cached_entry&) const = default;
};

// Whether the caller may use the cached answer at aNow instead of requesting a new one. An address
// that failed isn't used before aAvoidUntil.
bool IsEntryUsable(const std::optional<cached_entry>& aEntry, instant aNow, instant aAvoidUntil);

// The daemons in the order in which to ask them. The order depends on the caller, which spreads the
// load; avoided daemons come last.
std::vector<std::string> EntryRequestOrder(const std::vector<std::string>& aDaemons,
                                           const std::set<std::string>& aAvoided,
                                           const std::string& aCaller);

// The caller name to send in the next request for an entry VM, after answers that named a failed
// VM. Daemons choose the VM by a hash of the caller name, so another name can yield another VM
// before the daemons detect the failure.
std::string EntryRequestName(const std::string& aCaller, int aFailedAnswers);

enum class call_event
{
  Answered,       // a valid answer
  NotConnected,   // the request was not sent
  ConnectionLost, // the connection ended after the request was sent
  Silent,         // the VM does not respond, not even on a new connection
  StalledReply,   // the VM responds on a new connection, but this request is overdue
  InvalidAnswer,  // the answer was truncated or failed its checks
};

struct call_state
{
  operation mOperation = operation::Search;
  int mAttempts = 1; // sent so far
  int mMaxAttempts = 3;
  bool mMayHaveRun = false;   // whether an earlier attempt with this key may have run
  micros mRemaining{ 0 };     // until the deadline
  bool mRepeatAllowed = true; // whether client_config::mRepeatBudget allows a repeat

  auto operator<=>(const call_state&) const = default;
};

enum class call_step
{
  Finish,
  RetryWithSameKey,
  RetryWithNewKey,
};

struct call_decision
{
  call_step mStep = call_step::Finish;
  outcome mOutcome = outcome::Unknown; // for Finish
  bool mMayHaveRun = false;
  bool mAvoidAddress = false;
  micros mDelay{ 0 };

  auto operator<=>(const call_decision&) const = default;
};

// Decides what to do after an attempt; aOutcome counts for Answered only. Finish after StalledReply
// means to keep waiting for the reply. A submit that may have run is retried with the same key
// only. After an attempt that may have run, not_run with the same key counts as unknown, because
// it can come from a daemon that could not reach the VM that owns the key.
call_decision DecideCall(const call_state& aState, call_event aEvent, outcome aOutcome);

// How long to wait for an answer before checking whether the VM still responds, which is also the
// timeout of that check. At most aLimit, and at most a third of the time until the deadline.
micros SilenceCheckDelay(micros aDeadline, micros aLimit);

} // namespace redwingdock

#endif
