#include "settings/settings.h"

#include "base/yaml_reader.h"

#include <limits>

namespace redwingdock {

namespace {

constexpr std::uint64_t kMinuteMs = 60'000;
constexpr std::uint64_t kHourMs = 60 * kMinuteMs;

void ReadMs(yaml_mapping& aMapping,
            const std::string& aKey,
            std::uint64_t aMin,
            std::uint64_t aMax,
            micros& aValue)
{
  const auto present = static_cast<std::uint64_t>(ToMs(aValue));
  aValue = std::chrono::milliseconds(aMapping.Integer(aKey, aMin, aMax, present));
}

void ReadCount(yaml_mapping& aMapping,
               const std::string& aKey,
               std::uint64_t aMin,
               std::uint64_t aMax,
               std::uint32_t& aValue)
{
  aValue = static_cast<std::uint32_t>(aMapping.Integer(aKey, aMin, aMax, aValue));
}

void ReadMembership(yaml_mapping& aMapping, core_config& aCore)
{
  ReadMs(aMapping, "view_interval_ms", 10, kMinuteMs, aCore.mViewInterval);
  ReadCount(aMapping, "view_peers", 1, 100, aCore.mViewPeers);
  ReadCount(aMapping, "witnesses", 1, 99, aCore.mWitnesses);
  ReadMs(aMapping, "hold_ms", 100, kMinuteMs, aCore.mHoldTime);
  ReadMs(aMapping, "take_delay_ms", 100, kHourMs, aCore.mTakeDelay);
  ReadMs(aMapping, "take_long_ms", 100, 24 * kHourMs, aCore.mTakeLong);
  ReadMs(aMapping, "pause_limit_ms", 10, kMinuteMs, aCore.mPauseLimit);
  // Routes allow deadlines up to 5000 ms. With a lower limit, take_delay_ms could be too short and
  // a permit could be taken over while its previous holder may still use it.
  ReadMs(aMapping, "longest_deadline_ms", 5000, kMinuteMs, aCore.mLongestDeadline);
}

void ReadTables(yaml_mapping& aMapping, core_config& aCore)
{
  ReadCount(aMapping, "readers_per_zone", 1, 100, aCore.mReadersPerZone);
  ReadMs(aMapping, "watch_wait_ms", 100, kMinuteMs, aCore.mWatchWait);
  ReadMs(aMapping, "read_retry_ms", 10, kMinuteMs, aCore.mReadRetry);
  ReadMs(aMapping, "relay_silence_ms", 100, kMinuteMs, aCore.mRelaySilence);
}

void ReadGates(yaml_mapping& aMapping, core_config& aCore)
{
  ReadCount(aMapping, "ramp_replies", 1, 10'000, aCore.mRampReplies);
  ReadMs(aMapping, "ramp_interval_ms", 0, kMinuteMs, aCore.mRampInterval);
  ReadMs(aMapping, "evidence_ttl_ms", 100, kMinuteMs, aCore.mEvidenceTtl);
  ReadMs(aMapping, "silence_limit_ms", 10, kMinuteMs, aCore.mSilenceLimit);
  ReadCount(aMapping, "silence_factor", 1, 1000, aCore.mSilenceFactor);
  ReadMs(aMapping, "silent_hold_ms", 100, kHourMs, aCore.mSilentHold);
  ReadMs(aMapping, "deadline_slack_ms", 0, kMinuteMs, aCore.mDeadlineSlack);
  ReadCount(aMapping, "queue_limit", 1, 100'000, aCore.mQueueLimit);
}

void ReadQueries(yaml_mapping& aMapping, core_config& aCore)
{
  aCore.mHedgeQuantile = aMapping.Number("hedge_quantile", 0.5, 0.9999, aCore.mHedgeQuantile);
  aCore.mHedgeBudget = aMapping.Number("hedge_budget", 0, 1, aCore.mHedgeBudget);
  aCore.mRetryBudget = aMapping.Number("retry_budget", 0, 1, aCore.mRetryBudget);
  ReadMs(aMapping, "hedge_floor_ms", 0, kMinuteMs, aCore.mHedgeFloor);
}

void ReadSafety(yaml_mapping& aMapping, core_config& aCore)
{
  ReadMs(aMapping, "quarantine_ms", 1000, 24 * kHourMs, aCore.mQuarantineTime);
  ReadMs(aMapping, "suspect_ms", 1000, 24 * kHourMs, aCore.mSuspectTime);
}

void ReadEntry(yaml_mapping& aMapping, core_config& aCore)
{
  ReadMs(aMapping, "lifetime_ms", 100, kHourMs, aCore.mEntryLifetime);
  ReadMs(aMapping, "closing_limit_ms", 100, kHourMs, aCore.mClosingLimit);
}

using section_reader = void (*)(yaml_mapping&, core_config&);

constexpr std::pair<const char*, section_reader> kSections[] = {
  { "membership", ReadMembership }, { "tables", ReadTables }, { "gates", ReadGates },
  { "queries", ReadQueries },       { "safety", ReadSafety }, { "entry", ReadEntry },
};

void ReadSeeds(yaml_mapping& aRoot, core_config& aCore)
{
  std::set<std::string> names;
  aRoot.ForEach("seeds", false, [&](yaml_mapping& aSeed) {
    vm_spec seed;
    seed.mName = aSeed.Name("name");
    aSeed.RequireUnique("name", seed.mName, names);
    seed.mZone = aSeed.Name("zone");
    seed.mAddress = aSeed.Address("address");
    seed.mCallAddress = aSeed.Address("call_address");
    aCore.mSeeds.push_back(std::move(seed));
  });
}

void ReadLog(yaml_mapping& aRoot, daemon_settings& aSettings)
{
  yaml_mapping log = aRoot.Mapping("log", false);
  constexpr log_threshold kThresholds[] = {
    log_threshold::Debug, log_threshold::Info, log_threshold::Warning, log_threshold::Error
  };
  aSettings.mLogThreshold =
    kThresholds[log.OneOf("level", { "debug", "info", "warning", "error" }, 1)];
  aSettings.mLogFile = log.Text("file", aSettings.mLogFile);
  aSettings.mCore.mLogDecisions = log.Flag("decisions", aSettings.mCore.mLogDecisions);
  log.RejectUnknownKeys();
}

// Checks the relations between settings that the controllers rely on (docs/design.md, section 4).
void CheckConstraints(yaml_mapping& aRoot, const core_config& aCore)
{
  const micros least = aCore.mHoldTime + aCore.mLongestDeadline + aCore.mDeadlineSlack;
  const auto ms = [](micros aTime) { return std::to_string(ToMs(aTime)); };
  if (aCore.mTakeDelay < least) {
    aRoot.Errors().Add(aRoot.Node(),
                       "membership.take_delay_ms",
                       ms(aCore.mTakeDelay),
                       "at least hold_ms + longest_deadline_ms + gates.deadline_slack_ms, " +
                         ms(least));
  }
  if (aCore.mTakeLong < aCore.mTakeDelay) {
    aRoot.Errors().Add(aRoot.Node(),
                       "membership.take_long_ms",
                       ms(aCore.mTakeLong),
                       "at least take_delay_ms, " + ms(aCore.mTakeDelay));
  }
  if (aCore.mPauseLimit >= aCore.mHoldTime) {
    aRoot.Errors().Add(aRoot.Node(),
                       "membership.pause_limit_ms",
                       ms(aCore.mPauseLimit),
                       "less than hold_ms, " + ms(aCore.mHoldTime));
  }
}

} // namespace

result<daemon_settings> ParseSettings(const std::string& aText, const std::string& aFile)
{
  yaml_errors errors{ "parse settings", aFile, {} };
  yaml_mapping root = LoadYaml(aText, errors);
  daemon_settings settings;
  core_config& core = settings.mCore;
  core.mVm = root.Name("vm");
  core.mZone = root.Name("zone");
  core.mRandomSeed =
    root.Integer("random_seed", 1, std::numeric_limits<std::int64_t>::max(), core.mRandomSeed);
  yaml_mapping addresses = root.Mapping("listen", true);
  settings.mListenCallers = addresses.Address("callers");
  settings.mListenPeers = addresses.Address("peers");
  settings.mListenOperators = addresses.Address("operators");
  addresses.RejectUnknownKeys();
  settings.mOperatorOnCallerAddress = root.Flag("operator", settings.mOperatorOnCallerAddress);
  core.mAddress = settings.mListenPeers;
  core.mCallAddress = settings.mListenCallers;
  settings.mConfigurationService = root.Addresses("configuration_service");
  ReadSeeds(root, core);
  ReadCount(root, "workers", 1, 64, settings.mWorkers);
  ReadCount(root, "board_shards", 1, 4096, settings.mBoardShards);
  ReadLog(root, settings);
  yaml_mapping limits = root.Mapping("limits", false);
  settings.mLimits = ReadProcessLimits(limits);
  for (const auto& [name, read] : kSections) {
    yaml_mapping section = root.Mapping(name, false);
    read(section, core);
    section.RejectUnknownKeys();
  }
  root.RejectUnknownKeys();
  CheckConstraints(root, core);
  if (errors.mFirstError) {
    return { std::nullopt, std::move(*errors.mFirstError) };
  }
  return Success(std::move(settings));
}

} // namespace redwingdock
