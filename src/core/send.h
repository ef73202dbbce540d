#ifndef REDWINGDOCK_CORE_SEND_H
#define REDWINGDOCK_CORE_SEND_H

#include "core/context.h"

namespace redwingdock {

// Name and incarnation of this daemon, the origin of its attempts: "<vm>.<incarnation>".
std::string OriginOf(const core_config& aConfig);

// VM name in an origin or at the start of a request key; empty when there is none.
std::string VmOfOrigin(const std::string& aOrigin);

// Sends a message to a VM whose address the VM list or the seeds give. Returns whether the
// address is known; the message can still be lost on the way.
bool SendToPeer(core_context& aContext, const std::string& aVm, peer_message aMessage);

} // namespace redwingdock

#endif
