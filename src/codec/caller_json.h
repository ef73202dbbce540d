#ifndef REDWINGDOCK_CODEC_CALLER_JSON_H
#define REDWINGDOCK_CODEC_CALLER_JSON_H

#include "core/requests.h"

#include <cstddef>
#include <string>
#include <string_view>

// JSON between callers and daemons, both directions (docs/interfaces.md, section 1).
//
//   result<query_request> request = ParseQuery(body);
//   std::string reply = FormatAnswer(answer);

namespace redwingdock {

// Largest accepted body of a query, in bytes.
inline constexpr std::size_t kMaxQueryBytes = std::size_t{ 64 } * 1024;
// Largest body of an answer that a caller accepts, in bytes.
inline constexpr std::size_t kMaxAnswerBytes = std::size_t{ 64 } * 1024 * 1024;

// Errors name the field and the allowed values.
result<query_request> ParseQuery(std::string_view aBody);
std::string FormatQuery(const query_request& aRequest);

std::string FormatAnswer(const query_answer& aAnswer);
// Rejects an answer whose count differs from the number of its records.
result<query_answer> ParseAnswer(std::string_view aBody);
// HTTP status code of an outcome: 200, 400, 503 or 504.
unsigned HttpStatusOf(outcome aOutcome);

std::string FormatEntry(const entry_answer& aAnswer);
result<entry_answer> ParseEntry(std::string_view aBody);

// {"reason": {"step", "peer", "text"}}
std::string FormatReason(const reason& aReason);

} // namespace redwingdock

#endif
