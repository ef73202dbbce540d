#ifndef REDWINGDOCK_CORE_STORE_H
#define REDWINGDOCK_CORE_STORE_H

#include "base/reason.h"
#include "core/catalog.h"

#include <variant>

// Facts and commands of reading a published key-value store with revisions, pages and watches.

namespace redwingdock {

// A zone that must get no new work.
struct closed_zone
{
  std::string mZone;

  auto operator<=>(const closed_zone&) const = default;
};

// The key was deleted.
struct deleted_value
{
  auto operator<=>(const deleted_value&) const = default;
};

// A value that cannot be read.
struct unreadable_value
{
  reason mReason;

  auto operator<=>(const unreadable_value&) const = default;
};

using published_value =
  std::variant<deleted_value, unreadable_value, configuration, closed_zone, replica_entry>;

struct store_item
{
  std::string mKey;
  std::uint64_t mRevision = 0; // of the last change
  published_value mValue;

  auto operator<=>(const store_item&) const = default;
};

using store_item_pointer = std::shared_ptr<const store_item>;

// One page of a listing. mRound is that of the command.
struct store_page_read
{
  std::uint64_t mRound = 0;
  std::vector<store_item_pointer> mItems;
  bool mMore = false;
  std::uint64_t mAsOf = 0; // revision of the store

  auto operator<=>(const store_page_read&) const = default;
};

// A watch returned; without items when nothing changed.
struct store_changes_read
{
  std::uint64_t mRound = 0;
  std::vector<store_item_pointer> mItems;
  std::uint64_t mAsOf = 0;

  auto operator<=>(const store_changes_read&) const = default;
};

enum class store_failure
{
  Unavailable, // no usable answer, or refused for now
  HistoryGone, // changes since the revision are no longer kept
};

struct store_read_failed
{
  std::uint64_t mRound = 0;
  store_failure mFailure = store_failure::Unavailable;
  reason mReason;

  auto operator<=>(const store_read_failed&) const = default;
};

// Command: read the page of all items that begins after the key mAfter; empty for the first one.
struct read_store_page
{
  std::uint64_t mRound = 0;
  std::string mAfter;

  auto operator<=>(const read_store_page&) const = default;
};

// Command: wait up to mWait for changes after a revision.
struct watch_store
{
  std::uint64_t mRound = 0;
  std::uint64_t mAfter = 0;
  micros mWait{ 0 };

  auto operator<=>(const watch_store&) const = default;
};

// Command: bounds on what clients may send have changed.
struct apply_client_limits
{
  client_limits mLimits;

  auto operator<=>(const apply_client_limits&) const = default;
};

} // namespace redwingdock

#endif
