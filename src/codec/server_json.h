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

// Largest accepted body of a reply from a backend server, in bytes.
inline constexpr std::size_t kMaxPartReplyBytes = std::size_t{ 8 } * 1024 * 1024;

// The body states aRemaining rounded up to whole milliseconds, at least 1 ms.
std::string FormatPartRequest(const part_request& aRequest, micros aRemaining);

// A request for a part as a backend server receives it. The message doesn't contain mDeadline and
// mFingerprint.
struct received_part_request
{
  part_request mRequest;
  micros mRemaining{ 0 };

  auto operator<=>(const received_part_request&) const = default;
};

result<received_part_request> ParsePartRequest(std::string_view aBody);

// Parses a reply and checks it against its request. Returns Unknown/Malformed, with a reason that
// names the failed check, for a reply that is invalid or whose attempt, server, shard or version
// (when the request names one) differs. A refusal has no version; a wrong_target refusal may name
// another server or shard.
part_reply ParsePartReply(const part_request& aRequest, unsigned aStatus, std::string_view aBody);

// Body of an answer or refusal. The failure of a refusal (NotRun) must have a name on the wire.
std::string FormatPartReply(const part_reply& aReply);
// HTTP status code: 200 for an answer, 503 for a refusal.
unsigned HttpStatusOf(const part_reply& aReply);

std::string FormatCancel(const attempt_id& aAttempt);
result<attempt_id> ParseCancel(std::string_view aBody);

// Parses "origin#number".
result<attempt_id> ParseAttempt(std::string_view aText);

} // namespace redwingdock

#endif
