#ifndef REDWINGDOCK_CLIENT_CALLER_JSON_H
#define REDWINGDOCK_CLIENT_CALLER_JSON_H

#include "core/requests.h"

// The caller's side of the JSON of docs/interfaces.md section 1.
//
//   result<query_answer> answer = ParseAnswer(reply.mBody, "127.0.0.1:7001");

namespace redwingdock {

std::string WriteQuery(const query_request& aRequest);
result<entry_answer> ParseEntry(const std::string& aText, const std::string& aPeer);

// Refuses an answer that is not whole, see CheckWhole.
result<query_answer> ParseAnswer(const std::string& aText, const std::string& aPeer);

// What is wrong with an answer, or an empty text: the stated count against the list, ids that
// occur twice, and the coverage arithmetic (covered and missing positions add up to the total, no
// position is missing twice, and the outcome agrees).
std::string CheckWhole(const query_answer& aAnswer, std::uint64_t aCount);

} // namespace redwingdock

#endif
