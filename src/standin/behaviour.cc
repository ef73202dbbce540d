#include "standin/behaviour.h"

#include <limits>

namespace redwingdock::standin {

namespace {

// Reads a duration in milliseconds, at most 10 minutes.
void ReadMs(yaml_mapping& aMapping, const std::string& aKey, micros& aValue)
{
  const double present = static_cast<double>(aValue.count()) / 1000;
  aValue = micros(static_cast<micros::rep>(aMapping.Number(aKey, 0, 600000, present) * 1000));
}

void ReadShare(yaml_mapping& aMapping, const std::string& aKey, double& aValue)
{
  aValue = aMapping.Number(aKey, 0, 1, aValue);
}

void ReadCount(yaml_mapping& aMapping,
               const std::string& aKey,
               std::uint64_t aLeast,
               std::uint64_t aMost,
               std::uint32_t& aValue)
{
  aValue = static_cast<std::uint32_t>(aMapping.Integer(aKey, aLeast, aMost, aValue));
}

template<typename T>
void ReadOneOf(yaml_mapping& aMapping,
               const std::string& aKey,
               const std::vector<std::string>& aNames,
               T& aValue)
{
  aValue = static_cast<T>(aMapping.OneOf(aKey, aNames, static_cast<std::size_t>(aValue)));
}

// The `versions` key: a list of {version, map}, ascending.
std::vector<index_version> ReadVersions(yaml_mapping& aMapping, std::vector<index_version> aPresent)
{
  std::vector<index_version> versions;
  aMapping.ForEach("versions", false, [&](yaml_mapping& aVersion) {
    const std::uint64_t above = versions.empty() ? 0 : versions.back().mVersion;
    index_version version;
    version.mVersion =
      aVersion.Integer("version", above + 1, std::numeric_limits<std::int64_t>::max());
    version.mMap = static_cast<std::uint32_t>(
      aVersion.Integer("map", 1, std::numeric_limits<std::uint32_t>::max()));
    versions.push_back(version);
  });
  return versions.empty() ? std::move(aPresent) : versions;
}

} // namespace

behaviour ReadLimits(yaml_mapping& aMapping, behaviour aPresent)
{
  behaviour next = std::move(aPresent);
  ReadCount(aMapping, "slots", 1, 64, next.mSlots);
  ReadCount(aMapping, "connections", 1, 10000, next.mConnections);
  ReadMs(aMapping, "connect_ms", next.mConnectCost);
  return next;
}

behaviour ReadBehaviour(yaml_mapping& aMapping, behaviour aPresent)
{
  behaviour next = std::move(aPresent);
  next.mVersions = ReadVersions(aMapping, std::move(next.mVersions));
  ReadMs(aMapping, "service_median_ms", next.mServiceMedian);
  next.mServiceSigma = aMapping.Number("service_sigma", 0, 3, next.mServiceSigma);
  next.mLoadFactor = aMapping.Number("load_factor", 0, 100, next.mLoadFactor);
  ReadMs(aMapping, "latency_ms", next.mLatency);
  ReadShare(aMapping, "straggler_share", next.mStragglerShare);
  ReadMs(aMapping, "straggler_ms", next.mStragglerLatency);
  ReadMs(aMapping, "zone_ms", next.mZoneLatency);
  ReadCount(aMapping, "cold_replies", 0, 10000, next.mColdReplies);
  ReadMs(aMapping, "cold_step_ms", next.mColdStep);
  next.mColdFactor = aMapping.Number("cold_factor", 1, 1000, next.mColdFactor);
  next.mReportsCold = aMapping.Flag("reports_cold", next.mReportsCold);
  next.mCrashField = aMapping.Text("crash_field", next.mCrashField);
  next.mCrashValue = aMapping.Text("crash_value", next.mCrashValue);
  ReadMs(aMapping, "restart_ms", next.mRestartDelay);
  ReadShare(aMapping, "silent_share", next.mSilentShare);
  ReadOneOf(aMapping, "silence", { "requests", "replies" }, next.mSilence);
  ReadMs(aMapping, "silent_hold_ms", next.mSilentHold);
  ReadOneOf(aMapping, "health", { "true", "misleading", "silent" }, next.mHealth);
  ReadOneOf(aMapping, "drain", { "off", "announce", "refuse" }, next.mDrain);
  ReadOneOf(aMapping,
            "bad_reply",
            { "truncated", "not_json", "wrong_attempt", "wrong_shard", "wrong_version" },
            next.mBadReply);
  ReadShare(aMapping, "bad_reply_share", next.mBadReplyShare);
  return next;
}

} // namespace redwingdock::standin
