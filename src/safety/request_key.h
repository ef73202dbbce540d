#ifndef REDWINGDOCK_SAFETY_REQUEST_KEY_H
#define REDWINGDOCK_SAFETY_REQUEST_KEY_H

#include "core/requests.h"

#include <optional>
#include <string>
#include <vector>

// Request keys of non-idempotent requests. A key names its home, the only process that may run the
// request.
//
//   result<request_key> key = ParseRequestKey("vm-xela-1.5f2c.desk-7-81");

namespace redwingdock {

struct request_key
{
  std::string mVm;
  std::string mIncarnation;
  std::string mUnique; // chosen by the caller

  auto operator<=>(const request_key&) const = default;
};

// Parses "<vm>.<incarnation>.<unique>". Fields are not empty and consist of [A-Za-z0-9_-]; the last
// one has 1 to 64 characters.
result<request_key> ParseRequestKey(const std::string& aText);

enum class key_phase
{
  Running,
  Done,
};

// State of a request key at its home. Entry key: KeyRecordKey. It is kept until the process ends,
// except for a key whose request did not run: its record is erased, and it can be used again.
struct key_record
{
  key_phase mPhase = key_phase::Running;
  std::uint64_t mQuery = 0;            // the query that runs the request
  std::vector<std::uint64_t> mWaiting; // queries with the same key that wait for its answer
  query_answer mAnswer;                // valid when Done

  auto operator<=>(const key_record&) const = default;
};

std::string KeyRecordKey(const std::string& aRequestKey);

} // namespace redwingdock

#endif
