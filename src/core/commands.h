#ifndef REDWINGDOCK_CORE_COMMANDS_H
#define REDWINGDOCK_CORE_COMMANDS_H

#include "core/fleet.h"
#include "core/forwarding.h"
#include "core/messages.h"
#include "core/store.h"

#include <variant>

// Commands that the core issues and a front end carries out.

namespace redwingdock {

// Answers a query_arrived fact with the same mQuery.
struct answer_query
{
  std::uint64_t mQuery = 0;
  query_answer mAnswer;

  auto operator<=>(const answer_query&) const = default;
};

// Answers an entry_requested fact with the same mEntryRequest.
struct answer_entry
{
  std::uint64_t mEntryRequest = 0;
  result<entry_answer> mAnswer; // a reason when no VM is known

  bool operator==(const answer_entry& aOther) const
  {
    return mEntryRequest == aOther.mEntryRequest && mAnswer.mValue == aOther.mAnswer.mValue;
  }
};

// Opens a connection to a backend server; answered by connection_changed.
struct open_connection
{
  std::string mServer;
  std::string mAddress;
  std::uint64_t mConnection = 0;

  auto operator<=>(const open_connection&) const = default;
};

// Closes a connection to a backend server.
struct close_connection
{
  std::string mServer;
  std::uint64_t mConnection = 0;

  auto operator<=>(const close_connection&) const = default;
};

// Sends a part on an open connection. A front end that handles this after mNotAfter drops it and
// posts part_replied with part_result::NotRun and part_failure::NotSent.
struct send_part
{
  std::uint64_t mConnection = 0;
  part_request mRequest;
  instant mNotAfter{};

  auto operator<=>(const send_part&) const = default;
};

// Asks the server to stop working on an attempt, which it may already have answered.
struct cancel_part
{
  std::string mServer;
  std::string mAddress;
  attempt_id mAttempt;

  auto operator<=>(const cancel_part&) const = default;
};

// Opens a new connection to check whether the server process answers at all, and closes it.
// Answered by check_answered.
struct check_connection
{
  std::string mServer;
  std::string mAddress;

  auto operator<=>(const check_connection&) const = default;
};

// Sends a message to another daemon. A message that cannot be sent is dropped: for sends that need
// a result, the core sets a timer.
struct send_to_peer
{
  std::string mVm;
  std::string mAddress;
  peer_message mMessage;

  auto operator<=>(const send_to_peer&) const = default;
};

// Reads a table from the configuration service. With mWait zero this is a plain read, otherwise a
// watch that ends when a revision above mAfter exists or after mWait.
struct read_table
{
  table_kind mKind = table_kind::Routes;
  std::uint64_t mAfter = 0;
  micros mWait{ 0 };

  auto operator<=>(const read_table&) const = default;
};

enum class log_level
{
  Info,
  Warning,
};

// Logs one decision. mComponent is the fixed prefix of the line, such as "query" or "gate".
struct log_line
{
  log_level mLevel = log_level::Info;
  const char* mComponent = "";
  std::string mText;
};

// All work that was in progress at stop_requested is done, or its time limit is over; the process
// exits.
struct exit_process
{
  instant mReadUntil{};  // the latest time to read the rest of requests
  instant mFlushUntil{}; // the latest time to send replies

  auto operator<=>(const exit_process&) const = default;
};

using command = std::variant<answer_query,
                             answer_entry,
                             open_connection,
                             close_connection,
                             send_part,
                             cancel_part,
                             check_connection,
                             send_to_peer,
                             read_table,
                             log_line,
                             exit_process,
                             send_attempt,
                             cancel_attempt,
                             check_replica,
                             answer_request,
                             read_store_page,
                             watch_store,
                             check_store,
                             apply_client_limits,
                             send_heartbeat,
                             close_callers>;

} // namespace redwingdock

#endif
