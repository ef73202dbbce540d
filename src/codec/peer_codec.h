#ifndef REDWINGDOCK_CODEC_PEER_CODEC_H
#define REDWINGDOCK_CODEC_PEER_CODEC_H

#include "core/messages.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

// Protobuf encoding of the messages between daemons (src/codec/peer.proto).
//
//   std::string body = EncodeEnvelope({ "vm-1", "5f2c", { probe_message{ 17, 5 } } });
//   result<peer_envelope> received = DecodeEnvelope(body);

namespace redwingdock {

// Largest accepted body of an envelope, in bytes.
inline constexpr std::size_t kMaxEnvelopeBytes = std::size_t{ 4 } * 1024 * 1024;

// Messages of one daemon that are sent in one body.
struct peer_envelope
{
  std::string mVm;
  std::string mIncarnation;
  std::vector<peer_message> mMessages;

  auto operator<=>(const peer_envelope&) const = default;
};

// Encodes negative durations as 0. part_request::mDeadline is not encoded: a message that contains
// a request has the remaining time instead.
std::string EncodeEnvelope(const peer_envelope& aEnvelope);

// EncodeEnvelope in two steps, for a sender that queues encoded messages and needs their sizes.
std::string EncodeMessage(const peer_message& aMessage);
std::string AssembleEnvelope(const std::string& aVm,
                             const std::string& aIncarnation,
                             const std::vector<std::string>& aMessages);

// Most bytes that AssembleEnvelope adds to an encoded message.
inline constexpr std::size_t kMaxMessageOverheadBytes = 6;

// Rejects the whole envelope when any message in it is invalid. The step of the reason gives the
// position of that message, and the peer the sender when it is known.
result<peer_envelope> DecodeEnvelope(std::string_view aBody);

} // namespace redwingdock

#endif
