#ifndef REDWINGDOCK_FORWARD_FORWARD_HOOKS_H
#define REDWINGDOCK_FORWARD_FORWARD_HOOKS_H

#include "forward/admission.h"
#include "forward/repeat_budget.h"
#include "forward/replica_choice.h"
#include "forward/timing.h"

#include <functional>

// Replaceable decisions of forwarding. A test replaces one to show what the decision prevents.

namespace redwingdock {

struct forward_hooks
{
  std::function<std::optional<std::size_t>(const std::vector<choice_candidate>&,
                                           const choice_input&)>
    mChooseReplica = ChooseReplica;
  std::function<bool(const repeat_budget&, const repeat_limits&, instant)> mMayRepeat = MayRepeat;
  std::function<micros(const route_rule&, const latency_record&, micros)> mHedgeDelay = HedgeDelay;
  std::function<micros(const route_rule&, const client_delays&)> mPartialAnswerDelay =
    PartialAnswerDelay;
  std::function<bool(const admission_level&, bool, double)> mIsAdmitted = IsAdmitted;
};

} // namespace redwingdock

#endif
