#include "standin/behaviour.h"

#include <limits>

namespace redwingdock::standin {

namespace {

// Reads a duration in milliseconds, at most 10 minutes.
void ReadMilliseconds(yaml_mapping& aMapping, const std::string& aKey, micros& aValue)
{
  const double currentMs = static_cast<double>(aValue.count()) / 1000;
  aValue = micros(static_cast<micros::rep>(aMapping.Number(aKey, 0, 600000, currentMs) * 1000));
}

void ReadFraction(yaml_mapping& aMapping, const std::string& aKey, double& aValue)
{
  aValue = aMapping.Number(aKey, 0, 1, aValue);
}

void ReadCount(yaml_mapping& aMapping,
               const std::string& aKey,
               std::uint64_t aMin,
               std::uint64_t aMax,
               std::uint32_t& aValue)
{
  aValue = static_cast<std::uint32_t>(aMapping.Integer(aKey, aMin, aMax, aValue));
}

// The names stand in the order of the enumerators.
template<typename T>
void ReadEnum(yaml_mapping& aMapping,
              const std::string& aKey,
              const std::vector<std::string>& aNames,
              T& aValue)
{
  aValue = static_cast<T>(aMapping.OneOf(aKey, aNames, static_cast<std::size_t>(aValue)));
}

// Reads the key "versions", a list of {version, map} in ascending order. Keeps the current versions
// when the list is absent or empty.
std::vector<index_version> ReadVersions(yaml_mapping& aMapping, std::vector<index_version> aCurrent)
{
  std::vector<index_version> versions;
  aMapping.ForEach("versions", false, [&](yaml_mapping& aVersion) {
    const std::uint64_t previous = versions.empty() ? 0 : versions.back().mVersion;
    index_version version;
    version.mVersion =
      aVersion.Integer("version", previous + 1, std::numeric_limits<std::int64_t>::max());
    version.mMap = static_cast<std::uint32_t>(
      aVersion.Integer("map", 1, std::numeric_limits<std::uint32_t>::max()));
    versions.push_back(version);
  });
  return versions.empty() ? std::move(aCurrent) : versions;
}

} // namespace

behaviour ReadPoolLimits(yaml_mapping& aMapping, behaviour aCurrent)
{
  behaviour updated = std::move(aCurrent);
  ReadCount(aMapping, "slots", 1, 64, updated.mSlots);
  ReadCount(aMapping, "connections", 1, 10000, updated.mConnectionLimit);
  ReadMilliseconds(aMapping, "connect_ms", updated.mConnectCost);
  return updated;
}

behaviour ReadBehaviour(yaml_mapping& aMapping, behaviour aCurrent)
{
  behaviour updated = std::move(aCurrent);
  updated.mVersions = ReadVersions(aMapping, std::move(updated.mVersions));
  ReadMilliseconds(aMapping, "service_median_ms", updated.mServiceMedian);
  updated.mServiceSigma = aMapping.Number("service_sigma", 0, 3, updated.mServiceSigma);
  updated.mLoadFactor = aMapping.Number("load_factor", 0, 100, updated.mLoadFactor);
  ReadMilliseconds(aMapping, "latency_ms", updated.mLatency);
  ReadFraction(aMapping, "straggler_share", updated.mStragglerShare);
  ReadMilliseconds(aMapping, "straggler_ms", updated.mStragglerLatency);
  ReadMilliseconds(aMapping, "zone_ms", updated.mZoneLatency);
  ReadCount(aMapping, "cold_replies", 0, 10000, updated.mColdReplies);
  ReadMilliseconds(aMapping, "cold_step_ms", updated.mColdStep);
  updated.mColdFactor = aMapping.Number("cold_factor", 1, 1000, updated.mColdFactor);
  updated.mReportsCold = aMapping.Flag("reports_cold", updated.mReportsCold);
  updated.mCrashField = aMapping.Text("crash_field", updated.mCrashField);
  updated.mCrashValue = aMapping.Text("crash_value", updated.mCrashValue);
  ReadMilliseconds(aMapping, "restart_ms", updated.mRestartDelay);
  ReadFraction(aMapping, "silent_share", updated.mSilentShare);
  ReadEnum(aMapping, "silence", { "requests", "replies" }, updated.mSilence);
  ReadMilliseconds(aMapping, "silent_hold_ms", updated.mSilentHold);
  ReadEnum(aMapping, "health", { "true", "misleading", "silent" }, updated.mHealth);
  ReadEnum(aMapping, "drain", { "off", "announce", "refuse" }, updated.mDrain);
  ReadEnum(aMapping,
           "bad_reply",
           { "truncated", "not_json", "wrong_attempt", "wrong_shard", "wrong_version" },
           updated.mBadReply);
  ReadFraction(aMapping, "bad_reply_share", updated.mBadReplyShare);
  return updated;
}

} // namespace redwingdock::standin
