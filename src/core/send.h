#ifndef REDWINGDOCK_CORE_SEND_H
#define REDWINGDOCK_CORE_SEND_H

#include "core/context.h"

namespace redwingdock {

// Origin of this daemon's attempts: "<vm>.<incarnation>".
std::string OriginOf(const core_config& aConfig);

// Sends a message to a VM whose address is in the VM list or the seeds. Returns whether the address
// is known; the message can still be lost in transit.
bool SendToPeer(core_context& aContext, const std::string& aVm, peer_message aMessage);

} // namespace redwingdock

#endif
