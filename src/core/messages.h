#ifndef REDWINGDOCK_CORE_MESSAGES_H
#define REDWINGDOCK_CORE_MESSAGES_H

#include "core/requests.h"

#include <variant>

// Messages between daemons, free of any encoding. Times travel as durations (age, remaining time)
// because daemons share no clock.

namespace redwingdock {

// Digest of one daemon in a view message; mAge is the time since its information was true.
struct view_entry
{
  std::string mVm;
  std::string mIncarnation;
  std::uint64_t mVmRevision = 0;
  std::uint64_t mRoutesRevision = 0;
  std::uint64_t mPoolsRevision = 0;
  bool mDraining = false;
  micros mAge{ 0 };

  auto operator<=>(const view_entry&) const = default;
};

// A suspect or quarantined fingerprint, with the time it still holds.
struct suspect_entry
{
  std::uint64_t mFingerprint = 0;
  suspicion mLevel = suspicion::Suspect;
  std::set<std::string> mServersLost;
  micros mRemaining{ 0 };

  auto operator<=>(const suspect_entry&) const = default;
};

// Periodic exchange. The first entry is the sender's own.
struct view_message
{
  std::vector<view_entry> mEntries;
  std::vector<suspect_entry> mSuspects;

  auto operator<=>(const view_message&) const = default;
};

// Asks the receiver which VM list it has; the reply confirms the sender's permits from mSentAt,
// which is the sender's own clock and is only echoed.
struct probe_message
{
  std::int64_t mSentAt = 0;
  std::uint64_t mVmRevision = 0;

  auto operator<=>(const probe_message&) const = default;
};

// Answer of a witness. mListsYou: the witness's VM list names the sender of the probe, and the
// witness may vote (a restarted process abstains until it knows that its list is not outdated).
// mListAge: time since the witness replaced an earlier list by this one; empty when this is the
// first list of its process. mKnewOther: it has seen another process under the prober's name.
struct probe_reply_message
{
  std::int64_t mSentAt = 0;
  std::uint64_t mVmRevision = 0;
  bool mListsYou = false;
  std::optional<micros> mListAge;
  bool mKnewOther = false;

  auto operator<=>(const probe_reply_message&) const = default;
};

enum class table_kind
{
  Routes,
  Pools,
  Vms,
};

// Asks for the tables newer than the given revisions.
struct table_pull_message
{
  std::uint64_t mRoutesRevision = 0;
  std::uint64_t mPoolsRevision = 0;
  std::uint64_t mVmRevision = 0;

  auto operator<=>(const table_pull_message&) const = default;
};

// One published table as the service gave it, in answer to a pull. mConfirmedAge is set by a
// daemon that reads the service itself: the time since the service last answered it. A VM list
// with an empty text says that the sender has nothing newer. Routes and pools are sent only while
// in force; mPairRevision is the revision of the other table of that pair.
struct table_message
{
  table_kind mKind = table_kind::Routes;
  std::uint64_t mRevision = 0;
  std::string mText;
  std::optional<micros> mConfirmedAge;
  bool mInForce = false;
  std::uint64_t mPairRevision = 0;

  auto operator<=>(const table_message&) const = default;
};

// A part for the gate of the receiver. The request's deadline is replaced by the remaining time.
struct forward_part_message
{
  part_request mRequest;
  micros mRemaining{ 0 };

  auto operator<=>(const forward_part_message&) const = default;
};

struct part_reply_message
{
  part_reply mReply;

  auto operator<=>(const part_reply_message&) const = default;
};

struct cancel_part_message
{
  attempt_id mAttempt;
  std::string mServer;

  auto operator<=>(const cancel_part_message&) const = default;
};

// Stage of a server as its sender knows it. mLeads: the sender holds permit 0. mAsks: the sender
// had a slow reply and asks the leader for its stage after its next own reply.
struct server_stage_message
{
  std::string mServer;
  std::string mInstance;
  std::uint32_t mStage = 0;
  bool mLeads = false;
  bool mDraining = false;
  std::vector<index_version> mVersions;
  micros mAge{ 0 };
  bool mAsks = false;

  auto operator<=>(const server_stage_message&) const = default;
};

struct suspect_message
{
  suspect_entry mSuspect;

  auto operator<=>(const suspect_message&) const = default;
};

// The sender no longer uses permits of these servers that the VM list of this revision moved, and
// none of its work is in flight there.
struct permit_release_message
{
  std::uint64_t mVmRevision = 0;
  std::vector<std::string> mServers;

  auto operator<=>(const permit_release_message&) const = default;
};

// A whole query for another daemon: the home of its request key, or any daemon outside a closed
// zone. mNumber is the sender's query number.
struct forward_query_message
{
  std::uint64_t mNumber = 0;
  query_request mRequest;
  micros mRemaining{ 0 };

  auto operator<=>(const forward_query_message&) const = default;
};

struct query_answer_message
{
  std::uint64_t mNumber = 0;
  query_answer mAnswer;

  auto operator<=>(const query_answer_message&) const = default;
};

using peer_message = std::variant<view_message,
                                  probe_message,
                                  probe_reply_message,
                                  table_pull_message,
                                  table_message,
                                  forward_part_message,
                                  part_reply_message,
                                  cancel_part_message,
                                  server_stage_message,
                                  suspect_message,
                                  permit_release_message,
                                  forward_query_message,
                                  query_answer_message>;

} // namespace redwingdock

#endif
