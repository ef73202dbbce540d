#ifndef REDWINGDOCK_CORE_COMMANDS_H
#define REDWINGDOCK_CORE_COMMANDS_H

#include "core/fleet.h"
#include "core/forwarding.h"
#include "core/messages.h"
#include "core/store.h"

#include <variant>

// Commands that the core gives to a front end.

namespace redwingdock {

struct answer_query
{
  std::uint64_t mQuery = 0;
  query_answer mAnswer;

  auto operator<=>(const answer_query&) const = default;
};

struct answer_entry
{
  std::uint64_t mAsk = 0;
  result<entry_answer> mAnswer; // a reason when no VM can be named

  bool operator==(const answer_entry& aOther) const
  {
    return mAsk == aOther.mAsk && mAnswer.mValue == aOther.mAnswer.mValue;
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

struct close_connection
{
  std::string mServer;
  std::uint64_t mConnection = 0;

  auto operator<=>(const close_connection&) const = default;
};

// Sends a part on an open connection. A front end that gets to it after mNotAfter drops it and
// posts part_replied with NotRun/NotSent.
struct send_part
{
  std::uint64_t mConnection = 0;
  part_request mRequest;
  instant mNotAfter{};

  auto operator<=>(const send_part&) const = default;
};

// Asks the server to stop working on an attempt; it may have answered already.
struct cancel_part
{
  std::string mServer;
  std::string mAddress;
  attempt_id mAttempt;

  auto operator<=>(const cancel_part&) const = default;
};

// Checks on a new connection, closed afterwards, whether the server process answers at all.
struct check_connection
{
  std::string mServer;
  std::string mAddress;

  auto operator<=>(const check_connection&) const = default;
};

// Sends a message to another daemon. One that cannot be sent is dropped; sends that need a result
// have a timer in the core.
struct send_to_peer
{
  std::string mVm;
  std::string mAddress;
  peer_message mMessage;

  auto operator<=>(const send_to_peer&) const = default;
};

// Reads a table from the configuration service. With mWait zero it is a plain read, otherwise a
// watch that ends when a revision above mAfter exists or the wait is over.
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

// One line for a decision: mPart is the fixed prefix ("query", "gate", ...).
struct log_line
{
  log_level mLevel = log_level::Info;
  const char* mPart = "";
  std::string mText;
};

// All work is done after stop_asked; the process can exit.
struct stop_now
{
  auto operator<=>(const stop_now&) const = default;
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
                             stop_now,
                             send_attempt,
                             cancel_attempt,
                             answer_request,
                             read_store_page,
                             watch_store,
                             apply_client_limits,
                             send_heartbeat,
                             close_callers>;

} // namespace redwingdock

#endif
