#include "platform/edge_settings.h"

#include "base/yaml_reader.h"
#include "forward/repeat_budget.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace redwingdock::platform {

namespace {

constexpr std::uint64_t kMinuteMs = 60'000;
constexpr std::uint64_t kMaxStopMs = 3'600'000;

// A number of milliseconds from 1 to aMax. The platform writes bounds as whole numbers or
// fractions.
void ReadMilliseconds(yaml_mapping& aMapping, const char* aKey, std::uint64_t aMax, micros& aValue)
{
  constexpr double kMicrosPerMs = 1000;
  const double read =
    aMapping.Number(aKey, 1, static_cast<double>(aMax), static_cast<double>(ToMs(aValue)));
  aValue = micros(std::llround(read * kMicrosPerMs));
}

// The seeds give another service's address on the machines of the peers. Peers listen on the same
// port on all machines, so the port of this daemon replaces that of each seed.
std::vector<std::string> ReadPeers(yaml_mapping& aRoot, const std::string& aListenAddress)
{
  std::vector<std::string> peers;
  const std::string port = aListenAddress.substr(aListenAddress.rfind(':'));
  for (const std::string& seed : aRoot.Addresses("seeds")) {
    peers.push_back(seed.substr(0, seed.rfind(':')) + port);
  }
  return peers;
}

void ReadForwarding(yaml_mapping& aMapping, forward_config& aForward)
{
  micros drainBound = aForward.mChangeBound;
  micros closedZoneBound = aForward.mChangeBound;
  aForward.mRepeatRatio = aMapping.Number("repeat_ratio", 0, 10, aForward.mRepeatRatio);
  aForward.mRepeatSlack = aMapping.Number("repeat_slack", 0, 1e6, aForward.mRepeatSlack);
  ReadMilliseconds(aMapping, "repeat_window_ms", ToMs(kMaxRepeatWindow), aForward.mRepeatWindow);
  ReadMilliseconds(aMapping, "change_bound_ms", kMinuteMs, aForward.mChangeBound);
  ReadMilliseconds(aMapping, "drain_bound_ms", kMinuteMs, drainBound);
  ReadMilliseconds(aMapping, "closed_zone_bound_ms", kMinuteMs, closedZoneBound);
  ReadMilliseconds(aMapping, "disturbance_ms", kMinuteMs, aForward.mDisturbanceTime);
  // One watch serves all kinds of changes.
  aForward.mChangeBound = std::min({ aForward.mChangeBound, drainBound, closedZoneBound });
  aForward.mMostDaemons =
    static_cast<std::uint32_t>(aMapping.Integer("most_daemons", 1, 100'000, aForward.mMostDaemons));
  aForward.mColdOverage = aMapping.Number("cold_overage", 0, 1000, aForward.mColdOverage);
  aForward.mColdSlack = aMapping.Number("cold_slack", 0, 1e6, aForward.mColdSlack);
}

void ReadStop(yaml_mapping& aMapping, micros aGrace, forward_config& aForward)
{
  if (aGrace > micros(0)) {
    aForward.mStop = StopBudget(aGrace);
  }
  micros finalAnswers = aForward.mStop.mFinalAnswers;
  ReadMilliseconds(aMapping, "limit_ms", kMaxStopMs, finalAnswers);
  if (finalAnswers != aForward.mStop.mFinalAnswers) {
    aForward.mStop = WithFinalAnswers(aForward.mStop, finalAnswers);
  }
  micros linger = aForward.mStop.mLinger;
  ReadMilliseconds(aMapping, "linger_ms", kMinuteMs, linger);
  aForward.mStop = WithLinger(aForward.mStop, linger);
}

} // namespace

result<edge_settings> ParseEdgeSettings(const std::string& aText,
                                        const std::string& aFile,
                                        micros aGrace)
{
  yaml_errors errors{ "parse settings", aFile, {} };
  yaml_mapping root = LoadYaml(aText, errors);
  edge_settings settings;
  core_config& core = settings.mCore;
  core.mVm = root.Name("vm");
  core.mZone = root.Name("zone");
  yaml_mapping listen = root.Mapping("listen", true);
  settings.mListenCallers = listen.Address("callers");
  settings.mListenReadiness = listen.Address("readiness");
  settings.mListenAddresses = listen.Address("addresses");
  settings.mListenPeers = listen.Address("peers");
  settings.mListenMetrics = listen.Address("metrics");
  listen.RejectUnknownKeys();
  core.mAddress = settings.mListenPeers;
  core.mCallAddress = settings.mListenCallers;
  settings.mStore = root.Address("store");
  if (!errors.mFirstError) {
    core.mForward.mPeers = ReadPeers(root, settings.mListenPeers);
  }
  settings.mWorkers = static_cast<std::uint32_t>(root.Integer("workers", 1, 64, settings.mWorkers));
  yaml_mapping forwarding = root.Mapping("forwarding", false);
  ReadForwarding(forwarding, core.mForward);
  forwarding.RejectUnknownKeys();
  yaml_mapping stop = root.Mapping("stop", false);
  ReadStop(stop, aGrace, core.mForward);
  settings.mGrace = aGrace;
  stop.RejectUnknownKeys();
  yaml_mapping log = root.Mapping("log", false);
  constexpr log_threshold kThresholds[] = {
    log_threshold::Debug, log_threshold::Info, log_threshold::Warning, log_threshold::Error
  };
  settings.mLogThreshold =
    kThresholds[log.OneOf("level", { "debug", "info", "warning", "error" }, 1)];
  core.mLogDecisions = log.Flag("decisions", core.mLogDecisions);
  log.RejectUnknownKeys();
  yaml_mapping limits = root.Mapping("limits", false);
  settings.mLimits = ReadProcessLimits(limits);
  root.RejectUnknownKeys();
  if (errors.mFirstError) {
    return { std::nullopt, std::move(*errors.mFirstError) };
  }
  return Success(std::move(settings));
}

result<micros> ParseGrace(const std::string& aText)
{
  constexpr double kMinSeconds = 1;
  constexpr double kMaxSeconds = 3600;
  double seconds = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, seconds, std::chars_format::fixed);
  // The negated comparison also excludes "nan", which std::from_chars accepts.
  if (error != std::errc() || rest != end || !(seconds >= kMinSeconds && seconds <= kMaxSeconds)) {
    return Failure<micros>(
      "parse --grace", "", "\"" + aText + "\" is not a number of seconds from 1 to 3600");
  }
  return Success(std::chrono::duration_cast<micros>(std::chrono::duration<double>(seconds)));
}

} // namespace redwingdock::platform
