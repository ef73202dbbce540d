#ifndef REDWINGDOCK_CLIENT_CALL_RULES_H
#define REDWINGDOCK_CLIENT_CALL_RULES_H

#include "core/requests.h"

// Decisions of a caller as functions on values: which daemon to ask, whether an entry answer still
// holds, and whether a request may be sent again.
//
//   call_decision next = DecideCall(state, call_event::Lost, outcome::Unknown);

namespace redwingdock {

// An entry answer and the time until which it may be used.
struct held_entry
{
  entry_answer mAnswer;
  instant mUntil{};

  auto operator<=>(const held_entry&) const = default;
};

// Whether the caller may use the answer without asking again. An address that failed is not used
// until mAvoidUntil of it has passed.
bool EntryHolds(const std::optional<held_entry>& aEntry, instant aNow, instant aAvoidUntil);

// Daemons in the order in which to ask them, spread by caller; those to avoid come last.
std::vector<std::string> AskingOrder(const std::vector<std::string>& aDaemons,
                                     const std::set<std::string>& aAvoided,
                                     const std::string& aCaller);

// The name under which to ask for an entry VM when the one named last failed. Daemons choose by
// hash of the caller, so that another name can lead to another VM before they have noticed.
std::string AskingName(const std::string& aCaller, int aFailedAnswers);

enum class call_event
{
  Answered,     // a whole answer
  NotConnected, // nothing was sent
  Lost,         // the connection ended after the request was sent
  Silent,       // the VM does not answer, on a new connection either
  StalledReply, // the VM answers on a new connection, but this request is overdue
  Cut,          // the answer failed its check
};

struct call_state
{
  operation mOperation = operation::Search;
  int mAttempts = 1; // sent so far
  int mMaxAttempts = 3;
  bool mMayHaveRun = false; // an earlier attempt with this key may have run
  micros mRemaining{ 0 };   // of the deadline
  bool mBudget = true;      // whether the budget for repeats allows one, see mRepeatBudget

  auto operator<=>(const call_state&) const = default;
};

enum class call_step
{
  Finish,
  SendSameKey,
  SendFreshKey,
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

// What to do after an attempt. Finish after StalledReply means to go on waiting for the reply. A
// submit that may have run is sent again with the same key only. A not_run counts as unknown when
// an earlier attempt with the key may have run, because it can come from a daemon that could not
// reach the home of the key.
call_decision DecideCall(const call_state& aState, call_event aEvent, outcome aOutcome);

// When to check whether a VM that has not answered yet is silent, and how long to wait for the
// check, from the deadline and the configured limit.
micros SilenceCheckAfter(micros aDeadline, micros aLimit);

} // namespace redwingdock

#endif
