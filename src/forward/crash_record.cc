#include "forward/crash_record.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace redwingdock {

namespace {

// These and kMaxLost bound the memory of the records: at most 4096 with 32 replicas each.
constexpr std::uint64_t kCrashKeys = 64;
constexpr std::size_t kMaxRecords = 64;
constexpr std::uint64_t kAnsweredKeys = 256;
// Replicas in a record. More than kCrashThreshold, because some may turn out to be running.
constexpr std::size_t kMaxLost = 32;
// A record is remembered after a refusal for this many times its duration, so that the next refusal
// of the same request is longer.
constexpr int kMemoryFactor = 2;

auto FindLost(std::vector<lost_replica>& aLost, const std::string& aReplica, std::int64_t aBornMs)
{
  return std::find_if(aLost.begin(), aLost.end(), [&](const lost_replica& aEach) {
    return aEach.mId == aReplica && aEach.mBornMs == aBornMs;
  });
}

// Order in which records are kept when there are too many.
auto Weight(const crash_record& aRecord)
{
  return std::make_tuple(
    aRecord.mRefusals, CountEnded(aRecord), aRecord.mRefusedUntil, aRecord.mCheckAt);
}

} // namespace

std::string CrashKey(std::uint64_t aFingerprint)
{
  return "crash/" + std::to_string(aFingerprint % kCrashKeys);
}

std::string AnsweredKey(std::uint64_t aFingerprint)
{
  return "answered/" + std::to_string(aFingerprint % kAnsweredKeys);
}

crash_record WithLoss(const crash_record& aRecord,
                      const std::string& aService,
                      const std::string& aReplica,
                      std::int64_t aBornMs,
                      instant aNow)
{
  crash_record next = aRecord;
  if (next.mLost.size() < kMaxLost && FindLost(next.mLost, aReplica, aBornMs) == next.mLost.end()) {
    next.mLost.push_back({ aService, aReplica, aBornMs, aNow, false, aNow + kLossTtl });
  }
  return next;
}

crash_record WithEnded(const crash_record& aRecord,
                       const std::string& aReplica,
                       std::int64_t aBornMs,
                       instant aUntil)
{
  crash_record next = aRecord;
  auto found = FindLost(next.mLost, aReplica, aBornMs);
  if (found == next.mLost.end()) {
    if (next.mLost.size() >= kMaxLost) {
      return next;
    }
    found = next.mLost.insert(found, lost_replica{ "", aReplica, aBornMs });
  }
  found->mEnded = true;
  found->mUntil = std::max(found->mUntil, aUntil);
  return next;
}

crash_record WithoutLoss(const crash_record& aRecord,
                         const std::string& aReplica,
                         std::int64_t aBornMs)
{
  crash_record next = aRecord;
  const auto found = FindLost(next.mLost, aReplica, aBornMs);
  if (found != next.mLost.end()) {
    next.mLost.erase(found);
  }
  return next;
}

std::size_t CountEnded(const crash_record& aRecord)
{
  return static_cast<std::size_t>(
    std::count_if(aRecord.mLost.begin(), aRecord.mLost.end(), [](const lost_replica& aEach) {
      return aEach.mEnded;
    }));
}

bool IsRefusalDue(const crash_record& aRecord)
{
  return CountEnded(aRecord) >= (aRecord.mRefusals > 0 ? 1 : kCrashThreshold);
}

crash_record WithRefusal(const crash_record& aRecord, instant aNow)
{
  crash_record next = aRecord;
  ++next.mRefusals;
  next.mRefusedUntil = aNow + RefusalTime(next.mRefusals);
  next.mLost.clear();
  return next;
}

crash_record WithRefusalUntil(const crash_record& aRecord, instant aUntil)
{
  crash_record next = aRecord;
  next.mRefusals = std::max<std::uint32_t>(next.mRefusals, 1);
  next.mRefusedUntil = std::max(next.mRefusedUntil, aUntil);
  next.mLost.clear();
  return next;
}

micros RefusalTime(std::uint32_t aNumber)
{
  micros time = kCrashRecordTtl;
  for (std::uint32_t i = 1; i < aNumber && time < kMaxRefusalTime; ++i) {
    time *= kRefusalGrowth;
  }
  return std::min(time, kMaxRefusalTime);
}

namespace {

// When the refusals of a record are forgotten.
instant ForgottenAt(const crash_record& aRecord)
{
  return aRecord.mRefusals > 0
           ? aRecord.mRefusedUntil + kMemoryFactor * RefusalTime(aRecord.mRefusals)
           : instant{};
}

} // namespace

std::optional<crash_record> WithoutExpired(const crash_record& aRecord, instant aNow)
{
  crash_record next = aRecord;
  std::erase_if(next.mLost, [aNow](const lost_replica& aEach) { return aEach.mUntil <= aNow; });
  return next.mLost.empty() && ForgottenAt(next) <= aNow ? std::nullopt
                                                         : std::optional(std::move(next));
}

instant NextExpiry(const crash_record& aRecord)
{
  instant next = aRecord.mRefusals > 0 ? ForgottenAt(aRecord) : kNever;
  for (const lost_replica& lost : aRecord.mLost) {
    next = std::min(next, lost.mUntil);
  }
  return next;
}

crash_suspects WithRecord(const crash_suspects& aSuspects, crash_record aRecord)
{
  crash_suspects next = aSuspects;
  const std::uint64_t fingerprint = aRecord.mFingerprint;
  next.mRecords.insert_or_assign(fingerprint, std::move(aRecord));
  if (next.mRecords.size() > kMaxRecords) {
    next.mRecords.erase(std::min_element(
      next.mRecords.begin(), next.mRecords.end(), [](const auto& aLeft, const auto& aRight) {
        return Weight(aLeft.second) < Weight(aRight.second);
      }));
  }
  return next;
}

crash_suspects WithoutRecord(const crash_suspects& aSuspects, std::uint64_t aFingerprint)
{
  crash_suspects next = aSuspects;
  next.mRecords.erase(aFingerprint);
  return next;
}

answered_requests WithAnswered(const answered_requests& aAnswered,
                               std::uint64_t aFingerprint,
                               instant aNow)
{
  answered_requests next = aAnswered;
  // An earlier answer to the same request is replaced; otherwise the oldest one is dropped.
  const auto same =
    std::find_if(next.mLatest.begin(), next.mLatest.end(), [aFingerprint](const auto& aEach) {
      return aEach.mFingerprint == aFingerprint;
    });
  const auto removed = same != next.mLatest.end() ? same : next.mLatest.begin();
  std::rotate(removed, std::next(removed), next.mLatest.end());
  next.mLatest.back() = { aFingerprint, aNow };
  return next;
}

bool WasAnswered(const answered_requests& aAnswered, std::uint64_t aFingerprint, instant aNow)
{
  return std::any_of(
    aAnswered.mLatest.begin(), aAnswered.mLatest.end(), [aFingerprint, aNow](const auto& aEach) {
      return aEach.mFingerprint == aFingerprint && aNow - aEach.mAt < kAnsweredTtl;
    });
}

} // namespace redwingdock
