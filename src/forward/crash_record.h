#ifndef REDWINGDOCK_FORWARD_CRASH_RECORD_H
#define REDWINGDOCK_FORWARD_CRASH_RECORD_H

#include "base/time.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Evidence about requests that may crash the replicas that run them, by fingerprint. Their clients
// retry them at any daemon.
//
//   crash_record next = WithLoss(record, "a", "i-1", bornMs, now);
//   next = WithEnded(next, "i-1", bornMs, now + kCrashRecordTtl);
//   if (IsRefusalDue(next)) { next = WithRefusal(next, now); }

namespace redwingdock {

// One crashed replica may be a coincidence; a request that crashed two is refused.
inline constexpr std::size_t kCrashThreshold = 2;
// How long a lost run waits for evidence that the process of the replica has ended.
inline constexpr micros kLossTtl = std::chrono::seconds(10);
// How long a crashed replica counts against the request, and the length of its first refusal.
inline constexpr micros kCrashRecordTtl = std::chrono::seconds(60);
// Each further refusal is this many times as long as the previous one, up to kMaxRefusalTime.
inline constexpr int kRefusalGrowth = 4;
inline constexpr micros kMaxRefusalTime = std::chrono::hours(1);
// A request that was answered within this time does not crash replicas; what it lost since then was
// lost with replicas that ended for another reason.
inline constexpr micros kAnsweredTtl = std::chrono::seconds(10);

// A replica whose connection ended while it ran the request.
struct lost_replica
{
  std::string mService;
  std::string mId;
  std::int64_t mBornMs = 0;
  instant mLostAt{};
  bool mEnded = false; // its process is known to have ended
  instant mUntil{};    // when this is no longer evidence

  auto operator<=>(const lost_replica&) const = default;
};

struct crash_record
{
  std::uint64_t mFingerprint = 0;
  std::vector<lost_replica> mLost;
  std::uint32_t mRefusals = 0; // so far, by this daemon or by another one
  instant mRefusedUntil{};     // end of the latest refusal
  instant mCheckAt{};          // when the pending check is due

  auto operator<=>(const crash_record&) const = default;
};

// Records of the fingerprints that share a key. Entry key: CrashKey.
struct crash_suspects
{
  std::map<std::uint64_t, crash_record> mRecords; // by fingerprint

  auto operator<=>(const crash_suspects&) const = default;
};

// The latest requests that a replica answered, oldest first. Entry key: AnsweredKey.
struct answered_requests
{
  struct answered_request
  {
    std::uint64_t mFingerprint = 0;
    instant mAt{};

    auto operator<=>(const answered_request&) const = default;
  };

  std::array<answered_request, 16> mLatest{};

  auto operator<=>(const answered_requests&) const = default;
};

std::string CrashKey(std::uint64_t aFingerprint);
std::string AnsweredKey(std::uint64_t aFingerprint);

crash_record WithLoss(const crash_record& aRecord,
                      const std::string& aService,
                      const std::string& aReplica,
                      std::int64_t aBornMs,
                      instant aNow);
// Marks a lost replica as ended, and adds it if another daemon lost it.
crash_record WithEnded(const crash_record& aRecord,
                       const std::string& aReplica,
                       std::int64_t aBornMs,
                       instant aUntil);
// Removes a lost replica whose process still runs.
crash_record WithoutLoss(const crash_record& aRecord,
                         const std::string& aReplica,
                         std::int64_t aBornMs);

std::size_t CountEnded(const crash_record& aRecord);
// Whether enough replicas have ended. After a refusal a single one is enough.
bool IsRefusalDue(const crash_record& aRecord);
// Starts a refusal and drops the evidence that led to it.
crash_record WithRefusal(const crash_record& aRecord, instant aNow);
// Adopts a refusal of another daemon that ends at aUntil, in place of the evidence collected here.
crash_record WithRefusalUntil(const crash_record& aRecord, instant aUntil);
// Duration of the refusal with this number, counted from 1.
micros RefusalTime(std::uint32_t aNumber);

// Removes the evidence that has expired. Returns nullopt when nothing is left to remember.
std::optional<crash_record> WithoutExpired(const crash_record& aRecord, instant aNow);

// When WithoutExpired removes something next.
instant NextExpiry(const crash_record& aRecord);

// Replaces the record of its fingerprint. When there are too many records, drops the one with the
// least evidence.
crash_suspects WithRecord(const crash_suspects& aSuspects, crash_record aRecord);
crash_suspects WithoutRecord(const crash_suspects& aSuspects, std::uint64_t aFingerprint);

answered_requests WithAnswered(const answered_requests& aAnswered,
                               std::uint64_t aFingerprint,
                               instant aNow);
bool WasAnswered(const answered_requests& aAnswered, std::uint64_t aFingerprint, instant aNow);

} // namespace redwingdock

#endif
