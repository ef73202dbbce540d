#ifndef REDWINGDOCK_STANDIN_PLATFORM_H
#define REDWINGDOCK_STANDIN_PLATFORM_H

#include "core/messages.h"

#include <memory>
#include <variant>

// State machine of the simulated configuration service: tables, pending watches, read counts, and
// faults (off, hanging, errors, stale, slow).
//
//   platform_step step = Step(state, table_requested{ 7, table_kind::Pools, 31, wait }, now);

namespace redwingdock::standin {

struct published_table
{
  std::uint64_t mRevision = 0;
  std::shared_ptr<const std::string> mText;

  auto operator<=>(const published_table&) const = default;
};

enum class service_mode
{
  Ok,
  Off,   // refuses connections
  Hang,  // accepts requests and never replies
  Error, // replies with status 500
};

// A pending request for a revision above mAfter.
struct table_watch
{
  table_kind mKind = table_kind::Routes;
  std::uint64_t mAfter = 0;

  auto operator<=>(const table_watch&) const = default;
};

struct read_counts
{
  std::map<table_kind, std::uint64_t> mReads; // a watch counts as one read, however long it waits
  std::uint64_t mWatches = 0;
  std::uint64_t mPeakReadsPerSecond = 0;
  instant mSecondStart{}; // start of the one-second window of mReadsInSecond
  std::uint64_t mReadsInSecond = 0;

  auto operator<=>(const read_counts&) const = default;
};

struct platform_state
{
  std::map<table_kind, published_table> mTables; // newest published
  std::map<table_kind, published_table> mServed; // sent to readers; not updated while stale
  service_mode mMode = service_mode::Ok;
  bool mStale = false;
  micros mDelay{ 0 };                            // before each reply
  std::map<std::uint64_t, table_watch> mWatches; // by connection
  read_counts mCounts;

  auto operator<=>(const platform_state&) const = default;
};

// Events. A request is identified by the number of its connection.

// A read when mAfter is empty, otherwise a watch that waits at most mWait.
struct table_requested
{
  std::uint64_t mRequest = 0;
  table_kind mKind = table_kind::Routes;
  std::optional<std::uint64_t> mAfter;
  micros mWait{ 0 };
  auto operator<=>(const table_requested&) const = default;
};

struct watch_timed_out
{
  std::uint64_t mRequest = 0;
  auto operator<=>(const watch_timed_out&) const = default;
};

struct reader_disconnected
{
  std::uint64_t mRequest = 0;
  auto operator<=>(const reader_disconnected&) const = default;
};

struct publish_table
{
  table_kind mKind = table_kind::Routes;
  published_table mTable;
  auto operator<=>(const publish_table&) const = default;
};

struct set_platform
{
  service_mode mMode = service_mode::Ok;
  bool mStale = false;
  micros mDelay{ 0 };
  auto operator<=>(const set_platform&) const = default;
};

struct reset_read_counts
{
  auto operator<=>(const reset_read_counts&) const = default;
};

using platform_event = std::variant<table_requested,
                                    watch_timed_out,
                                    reader_disconnected,
                                    publish_table,
                                    set_platform,
                                    reset_read_counts>;

// Commands.

// mTable has no text for status 204, no newer revision, and for status 500, the error mode.
struct reply_table
{
  std::uint64_t mRequest = 0;
  unsigned mStatus = 200;
  published_table mTable;
  micros mDelay{ 0 };
  auto operator<=>(const reply_table&) const = default;
};

struct schedule_watch_timeout
{
  std::uint64_t mRequest = 0;
  micros mDelay{ 0 };
  auto operator<=>(const schedule_watch_timeout&) const = default;
};

// Opens or closes the port. Closing it resets all connections.
struct set_platform_listening
{
  bool mOpen = true;
  auto operator<=>(const set_platform_listening&) const = default;
};

using platform_command = std::variant<reply_table, schedule_watch_timeout, set_platform_listening>;

struct platform_step
{
  platform_state mState;
  std::vector<platform_command> mCommands;
};

platform_step Step(const platform_state& aState, const platform_event& aEvent, instant aNow);

} // namespace redwingdock::standin

#endif
