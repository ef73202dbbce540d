#ifndef REDWINGDOCK_CODEC_SERVER_JSON_H
#define REDWINGDOCK_CODEC_SERVER_JSON_H

#include "core/requests.h"

#include <cstddef>
#include <string>
#include <string_view>

// JSON between daemons and backend servers, both directions (docs/interfaces.md, section 2).
//
//   std::string body = FormatPartRequest(request, remaining);
//   part_reply reply = ParsePartReply(request, status, replyBody);

namespace redwingdock {

// Largest body of a reply from a backend server, in bytes.
inline constexpr std::size_t kPartReplyLimit = std::size_t{ 8 } * 1024 * 1024;

// aRemaining is rounded up to a whole millisecond and is at least 1 ms on the wire.
std::string FormatPartRequest(const part_request& aRequest, micros aRemaining);

// A part as a backend server reads it. mDeadline and mFingerprint are not part of the message.
struct part_call
{
  part_request mRequest;
  micros mRemaining{ 0 };

  auto operator<=>(const part_call&) const = default;
};

result<part_call> ParsePartRequest(std::string_view aBody);

// Checks a reply against its request. A reply that is not valid, or whose attempt, server, shard or
// version (when the request names one) differs, is Unknown/Malformed with a reason that names the
// check. A refusal has no version; a wrong_target refusal may name another server or shard.
part_reply ParsePartReply(const part_request& aRequest, unsigned aStatus, std::string_view aBody);

// Body of a reply or refusal. A refusal (NotRun) needs a failure that has a name on the wire.
std::string FormatPartReply(const part_reply& aReply);
// 200 for an answer, 503 for a refusal.
unsigned StatusOf(const part_reply& aReply);

std::string FormatCancel(const attempt_id& aAttempt);
result<attempt_id> ParseCancel(std::string_view aBody);

// "origin#number"
result<attempt_id> ParseAttempt(std::string_view aText);

} // namespace redwingdock

#endif
