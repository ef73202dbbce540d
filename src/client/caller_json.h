#ifndef REDWINGDOCK_CLIENT_CALLER_JSON_H
#define REDWINGDOCK_CLIENT_CALLER_JSON_H

#include "core/requests.h"

// JSON between callers and daemons, on the side of the caller (docs/interfaces.md, section 1).
//
//   result<query_answer> answer = ParseAnswer(reply.mBody, "127.0.0.1:7001");

namespace redwingdock {

std::string WriteQuery(const query_request& aRequest);
result<entry_answer> ParseEntry(const std::string& aText, const std::string& aPeer);

// Rejects an inconsistent answer, see CheckConsistency.
result<query_answer> ParseAnswer(const std::string& aText, const std::string& aPeer);

// Describes the first inconsistency of an answer; returns an empty string when there is none. The
// stated count must equal the number of records and no id may occur twice. Covered and missing
// positions must add up to the total, no position may be missing twice, no record may be at a
// missing position, and the outcome must be complete without missing positions and partial with
// them.
std::string CheckConsistency(const query_answer& aAnswer, std::uint64_t aCount);

} // namespace redwingdock

#endif
