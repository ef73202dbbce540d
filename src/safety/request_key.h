#ifndef REDWINGDOCK_SAFETY_REQUEST_KEY_H
#define REDWINGDOCK_SAFETY_REQUEST_KEY_H

#include "core/requests.h"

#include <optional>
#include <string>
#include <vector>

// Request keys of non-idempotent requests. A key names the one process that may run it, its home.
//
//   result<request_key> key = ParseRequestKey("vm-xela-1.5f2c.desk-7-81");

namespace redwingdock {

struct request_key
{
  std::string mVm;
  std::string mIncarnation;
  std::string mUnique;

  auto operator<=>(const request_key&) const = default;
};

// "<vm>.<incarnation>.<unique>"; the last field has 1 to 64 characters out of [A-Za-z0-9_-].
result<request_key> ParseRequestKey(const std::string& aText);

enum class key_phase
{
  Running,
  Done,
};

// What the home knows of a key. Entry key: KeyRecordKey. It is kept while the process lives; a key
// whose request was refused before it ran is forgotten, and may be used again.
struct key_record
{
  key_phase mPhase = key_phase::Running;
  std::uint64_t mQuery = 0;            // that runs it
  std::vector<std::uint64_t> mWaiting; // queries that repeat it and wait for the same answer
  query_answer mAnswer;                // when Done

  auto operator<=>(const key_record&) const = default;
};

std::string KeyRecordKey(const std::string& aRequestKey);

} // namespace redwingdock

#endif
