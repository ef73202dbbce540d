#ifndef REDWINGDOCK_CORE_MESSAGES_H
#define REDWINGDOCK_CORE_MESSAGES_H

#include "core/requests.h"

#include <variant>

// Messages between daemons, independent of their encoding. Times are sent as durations (age,
// remaining time) because the clocks of daemons are not synchronized.

namespace redwingdock {

// State of one daemon in a view message. mAge is the time since this state was known to be true.
struct view_entry
{
  std::string mVm;
  std::string mIncarnation;
  table_revision mVmRevision;
  table_revision mRoutesRevision;
  table_revision mPoolsRevision;
  bool mDraining = false;
  micros mAge{ 0 };

  auto operator<=>(const view_entry&) const = default;
};

// A suspect or quarantined fingerprint. mRemaining is the time until the entry expires.
struct suspect_entry
{
  std::uint64_t mFingerprint = 0;
  suspicion mLevel = suspicion::Suspect;
  std::set<std::string> mServersLost;
  micros mRemaining{ 0 };

  auto operator<=>(const suspect_entry&) const = default;
};

// Periodic gossip about daemons and suspects. The first entry is the sender's own.
struct view_message
{
  std::vector<view_entry> mEntries;
  std::vector<suspect_entry> mSuspects;

  auto operator<=>(const view_message&) const = default;
};

// Asks the receiver which VM list it has. The reply confirms the sender's permits from mSentAt on.
// mSentAt is a time of the sender's clock; the receiver only echoes it.
struct probe_message
{
  std::int64_t mSentAt = 0;
  table_revision mVmRevision;

  auto operator<=>(const probe_message&) const = default;
};

// Reply of a witness to a probe. mListsYou: the witness's VM list contains the sender of the probe,
// and the witness may vote (a restarted process abstains until it knows that its list is current).
// mListAge: time since the witness replaced an earlier list by this one; empty when this is the
// first list of its process. mKnewOther: the witness has seen another process with the name of the
// sender of the probe.
struct probe_reply_message
{
  std::int64_t mSentAt = 0;
  table_revision mVmRevision;
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

// Asks for tables newer than the given revisions.
struct table_pull_message
{
  table_revision mRoutesRevision;
  table_revision mPoolsRevision;
  table_revision mVmRevision;

  auto operator<=>(const table_pull_message&) const = default;
};

// One published table, in reply to a pull; mText is as the configuration service returned it.
// mConfirmedAge is set by a daemon that reads the service itself: the time since the service last
// answered. A VM list with an empty text means that the sender has no newer one. Routes and pools
// are sent only while they are in force; mPairRevision is then the revision of the other table.
struct table_message
{
  table_kind mKind = table_kind::Routes;
  table_revision mRevision;
  std::string mText;
  std::optional<micros> mConfirmedAge;
  bool mInForce = false;
  table_revision mPairRevision;

  auto operator<=>(const table_message&) const = default;
};

// A part for a gate of the receiver. mRemaining, the time left, replaces the deadline in the
// request.
struct forward_part_message
{
  part_request mRequest;
  micros mRemaining{ 0 };

  auto operator<=>(const forward_part_message&) const = default;
};

// Result of a forward_part_message.
struct part_reply_message
{
  part_reply mReply;

  auto operator<=>(const part_reply_message&) const = default;
};

// Cancels a forwarded part; its sender no longer needs the result.
struct cancel_part_message
{
  attempt_id mAttempt;
  std::string mServer;

  auto operator<=>(const cancel_part_message&) const = default;
};

// Warm-up stage of a server as the sender knows it. mLeads: the sender holds permit 0 and is the
// leader of the server. mAsks: the sender had a slow reply and asks the leader to send its stage
// after the leader's next own reply from the server.
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

// Reports a new or changed suspect.
struct suspect_message
{
  suspect_entry mSuspect;

  auto operator<=>(const suspect_message&) const = default;
};

// The sender no longer uses the permits of these servers that moved to other VMs with the VM list
// of this revision, and has no work in flight on them.
struct permit_release_message
{
  table_revision mVmRevision;
  std::vector<std::string> mServers;

  auto operator<=>(const permit_release_message&) const = default;
};

// A whole query for another daemon: the one that its request key belongs to, or any daemon outside
// a closed zone. mNumber is the sender's query number.
struct forward_query_message
{
  std::uint64_t mNumber = 0;
  query_request mRequest;
  micros mRemaining{ 0 };

  auto operator<=>(const forward_query_message&) const = default;
};

// Answer to a forward_query_message with the same mNumber.
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
