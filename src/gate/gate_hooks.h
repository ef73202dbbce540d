#ifndef REDWINGDOCK_GATE_GATE_HOOKS_H
#define REDWINGDOCK_GATE_GATE_HOOKS_H

#include "core/values.h"

#include <functional>

namespace redwingdock {

// Whether this daemon may use a permit now.
using permit_rule = std::function<bool(const permit&, const member_view&, instant aNow)>;

// The keep rule and the take rule of the design: the holder uses its permit while its view is
// confirmed and the previous holder has certainly stopped.
bool MayUsePermit(const permit& aPermit, const member_view& aView, instant aNow);

struct gate_hooks
{
  permit_rule mMayUse = MayUsePermit;
};

} // namespace redwingdock

#endif
