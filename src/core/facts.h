#ifndef REDWINGDOCK_CORE_FACTS_H
#define REDWINGDOCK_CORE_FACTS_H

#include "core/messages.h"

// Facts that a front end posts to the core with `core::Post`, which chooses the blackboard key, and
// so the shard, that processes them.

namespace redwingdock {

// A caller's request arrived. The front end chooses mQuery, unique for the lifetime of the core.
struct query_arrived
{
  std::uint64_t mQuery = 0;
  query_request mRequest;

  auto operator<=>(const query_arrived&) const = default;
};

// The caller closed its connection, so the answer is no longer needed.
struct caller_disconnected
{
  std::uint64_t mQuery = 0;

  auto operator<=>(const caller_disconnected&) const = default;
};

// A caller asks which VM to use. mEntryRequest identifies the request in the answer_entry command.
struct entry_requested
{
  std::uint64_t mEntryRequest = 0;
  std::string mCaller;
  std::string mZone; // empty when unknown

  auto operator<=>(const entry_requested&) const = default;
};

// A table was read from the configuration service. mReadStartedAt is the time the read was started.
struct table_read
{
  table_kind mKind = table_kind::Routes;
  std::uint64_t mRevision = 0;
  std::string mText;
  instant mReadStartedAt{};

  auto operator<=>(const table_read&) const = default;
};

// A watch ended without a change: the service still has mRevision. mReadStartedAt is the time the
// read was started.
struct table_unchanged
{
  table_kind mKind = table_kind::Routes;
  std::uint64_t mRevision = 0;
  instant mReadStartedAt{};

  auto operator<=>(const table_unchanged&) const = default;
};

// A read or watch of a table failed.
struct table_read_failed
{
  table_kind mKind = table_kind::Routes;
  reason mReason;

  auto operator<=>(const table_read_failed&) const = default;
};

enum class connection_event
{
  Opened,
  Refused, // never opened, or refused by the server's connection limit
  Closed,  // closed cleanly by the server while idle
  Lost,    // reset or end of stream with parts in flight
};

// A connection to a backend server changed its state. mConnection is the id from the
// open_connection command.
struct connection_changed
{
  std::string mServer;
  std::uint64_t mConnection = 0;
  connection_event mEvent = connection_event::Opened;
  reason mReason;

  auto operator<=>(const connection_changed&) const = default;
};

// A backend server answered or refused an attempt, or the front end could not send the attempt.
struct part_replied
{
  std::string mServer;
  std::uint64_t mConnection = 0;
  part_reply mReply;

  auto operator<=>(const part_replied&) const = default;
};

// Result of a check_connection command. mAlive: the server process answered.
struct check_answered
{
  std::string mServer;
  bool mAlive = false;

  auto operator<=>(const check_answered&) const = default;
};

// A message from another daemon arrived.
struct peer_message_received
{
  std::string mFrom; // VM name
  std::string mFromIncarnation;
  peer_message mMessage;

  auto operator<=>(const peer_message_received&) const = default;
};

// The stream to a peer was connected or lost; repeated about once a second while it is connected.
struct peer_connection_changed
{
  std::string mVm;
  bool mConnected = false;

  auto operator<=>(const peer_connection_changed&) const = default;
};

// An operator asks this daemon to stop once its work is done, or at once: open work is then
// answered with what is known.
struct stop_requested
{
  bool mAtOnce = false;

  auto operator<=>(const stop_requested&) const = default;
};

} // namespace redwingdock

#endif
