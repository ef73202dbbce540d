#ifndef REDWINGDOCK_CODEC_HEARTBEAT_JSON_H
#define REDWINGDOCK_CODEC_HEARTBEAT_JSON_H

#include "base/reason.h"
#include "core/fleet.h"

#include <string>
#include <string_view>

// JSON encoding of the heartbeats between daemons; a datagram contains one heartbeat.
//
//   std::string bytes = FormatHeartbeat(sent);
//   result<heartbeat> received = ParseHeartbeat(bytes);

namespace redwingdock {

std::string FormatHeartbeat(const heartbeat& aHeartbeat);
result<heartbeat> ParseHeartbeat(std::string_view aBytes);

} // namespace redwingdock

#endif
