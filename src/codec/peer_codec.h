#ifndef REDWINGDOCK_CODEC_PEER_CODEC_H
#define REDWINGDOCK_CODEC_PEER_CODEC_H

#include "core/messages.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

// Encoding of messages between daemons (src/codec/peer.proto).
//
//   std::string body = EncodeEnvelope({ "vm-1", "5f2c", { probe_message{ 17, 5 } } });
//   result<peer_envelope> received = DecodeEnvelope(body);

namespace redwingdock {

// Largest body between daemons, in bytes.
inline constexpr std::size_t kEnvelopeLimit = std::size_t{ 4 } * 1024 * 1024;

// Messages of one daemon that travel together.
struct peer_envelope
{
  std::string mVm;
  std::string mIncarnation;
  std::vector<peer_message> mMessages;

  auto operator<=>(const peer_envelope&) const = default;
};

// Negative durations are sent as 0. part_request::mDeadline is not sent: the messages that carry a
// request have a remaining time.
std::string EncodeEnvelope(const peer_envelope& aEnvelope);

// The same in two steps, for a sender that queues encoded messages and must know their size.
std::string EncodeMessage(const peer_message& aMessage);
std::string JoinMessages(const std::string& aVm,
                         const std::string& aIncarnation,
                         const std::vector<std::string>& aMessages);

// Upper bound of what JoinMessages adds to the bytes of one message.
inline constexpr std::size_t kMessageOverhead = 6;

// Refuses the whole envelope when any message in it is not valid; the reason's step names the
// message and its peer the sender when that is known.
result<peer_envelope> DecodeEnvelope(std::string_view aBody);

} // namespace redwingdock

#endif
