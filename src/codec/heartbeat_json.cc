#include "codec/heartbeat_json.h"

#include "codec/json_reader.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <limits>

namespace redwingdock {

namespace {

constexpr std::size_t kMaxHeartbeatBytes = std::size_t{ 16 } * 1024;
constexpr std::size_t kMaxStringBytes = 100;
constexpr std::uint64_t kMaxIntervalUs = 60'000'000;
constexpr std::uint64_t kMaxTimeMs = 3'600'000;
// Time left of a refusal whose sender does not state it.
constexpr micros kDefaultRefusal = std::chrono::seconds(1);
constexpr std::uint64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();

namespace json = boost::json;

// Without the interval, which each daemon limits in any case.
json::array FormatMember(const member_report& aReport)
{
  const daemon_state& state = aReport.mState;
  return { state.mVm,          state.mIncarnation, state.mBeat,    state.mPeerAddress,
           state.mCallAddress, state.mZone,        state.mServing, ToMs(aReport.mAge) };
}

member_report ReadMember(detail::json_reader& aReader, const json::value& aValue)
{
  const detail::array_reader fields(aReader, aValue, "members", 8);
  member_report report;
  report.mState.mVm = fields.String(0, kMaxStringBytes);
  report.mState.mIncarnation = fields.Integer(1, kMaxInteger);
  report.mState.mBeat = fields.Integer(2, kMaxInteger);
  report.mState.mPeerAddress = fields.String(3, kMaxStringBytes);
  report.mState.mCallAddress = fields.String(4, kMaxStringBytes);
  report.mState.mZone = fields.String(5, kMaxStringBytes);
  report.mState.mServing = fields.Bool(6);
  report.mAge = std::chrono::milliseconds(fields.Integer(7, kMaxTimeMs));
  return report;
}

} // namespace

std::string FormatHeartbeat(const heartbeat& aHeartbeat)
{
  const daemon_state& sender = aHeartbeat.mSender;
  json::array peers(aHeartbeat.mPeers.begin(), aHeartbeat.mPeers.end());
  json::array refused;
  json::array timesLeft;
  for (const refused_request& each : aHeartbeat.mRefused) {
    refused.emplace_back(each.mFingerprint);
    timesLeft.emplace_back(ToMs(each.mTimeLeft));
  }
  json::object object{ { "vm", sender.mVm },
                       { "incarnation", sender.mIncarnation },
                       { "beat", sender.mBeat },
                       { "peer", sender.mPeerAddress },
                       { "calls", sender.mCallAddress },
                       { "zone", sender.mZone },
                       { "serving", sender.mServing },
                       { "interval_us", sender.mInterval.count() },
                       { "peers", std::move(peers) },
                       { "refused", std::move(refused) } };
  if (!timesLeft.empty()) {
    object.emplace("refused_left_ms", std::move(timesLeft));
  }
  if (!aHeartbeat.mMembers.empty()) {
    json::array members;
    for (const member_report& each : aHeartbeat.mMembers) {
      members.emplace_back(FormatMember(each));
    }
    object.emplace("members", std::move(members));
  }
  if (!aHeartbeat.mTimeouts.empty()) {
    json::array timeouts;
    for (const observed_timeout& each : aHeartbeat.mTimeouts) {
      timeouts.emplace_back(json::array{ each.mRoute, ToMs(each.mTimeout), ToMs(each.mTimeLeft) });
    }
    object.emplace("client_timeouts", std::move(timeouts));
  }
  if (!aHeartbeat.mCrashes.empty()) {
    json::array crashes;
    for (const replica_crash& each : aHeartbeat.mCrashes) {
      crashes.emplace_back(
        json::array{ each.mFingerprint, each.mReplica, each.mBornMs, ToMs(each.mTimeLeft) });
    }
    object.emplace("crashes", std::move(crashes));
  }
  if (aHeartbeat.mStore.mConfirmations > 0) {
    object.emplace(
      "store", json::array{ aHeartbeat.mStore.mAsOf.mRevision, aHeartbeat.mStore.mConfirmations });
    if (aHeartbeat.mStore.mAsOf.mEra > 0) {
      object.emplace("store_era", aHeartbeat.mStore.mAsOf.mEra);
    }
  }
  return json::serialize(object);
}

result<heartbeat> ParseHeartbeat(std::string_view aBytes)
{
  detail::json_reader reader(aBytes, kMaxHeartbeatBytes);
  const auto& root = reader.Root();
  heartbeat parsed;
  parsed.mSender.mVm = reader.String(root, "vm", 1, kMaxStringBytes);
  parsed.mSender.mIncarnation = reader.Integer(root, "incarnation", 0, kMaxInteger);
  parsed.mSender.mPeerAddress = reader.String(root, "peer", 1, kMaxStringBytes);
  parsed.mSender.mCallAddress = reader.String(root, "calls", 1, kMaxStringBytes);
  parsed.mSender.mZone = reader.String(root, "zone", 1, kMaxStringBytes);
  parsed.mSender.mServing = reader.Bool(root, "serving");
  parsed.mSender.mInterval =
    micros(static_cast<std::int64_t>(reader.Integer(root, "interval_us", 0, kMaxIntervalUs)));
  for (const json::value& peer : reader.Array(root, "peers")) {
    if (!peer.is_string()) {
      reader.Fail("\"peers\" contains a value that is not a string");
      break;
    }
    parsed.mPeers.emplace_back(peer.get_string());
  }
  for (const json::value& fingerprint : reader.Array(root, "refused")) {
    boost::system::error_code error;
    const auto number = fingerprint.to_number<std::uint64_t>(error);
    if (error) {
      reader.Fail("\"refused\" contains a value that is not an unsigned integer");
      break;
    }
    parsed.mRefused.push_back({ number, kDefaultRefusal });
  }
  // Daemons of earlier versions do not send the fields from here on.
  if (reader.Has(root, "beat")) {
    parsed.mSender.mBeat = reader.Integer(root, "beat", 0, kMaxInteger);
  }
  if (reader.Has(root, "refused_left_ms")) {
    const detail::array_reader times(
      reader, root.at("refused_left_ms"), "refused_left_ms", parsed.mRefused.size());
    for (std::size_t i = 0; i < parsed.mRefused.size(); ++i) {
      parsed.mRefused[i].mTimeLeft = std::chrono::milliseconds(times.Integer(i, kMaxTimeMs));
    }
  }
  if (reader.Has(root, "members")) {
    for (const json::value& member : reader.Array(root, "members")) {
      parsed.mMembers.push_back(ReadMember(reader, member));
    }
  }
  if (reader.Has(root, "client_timeouts")) {
    for (const json::value& timeout : reader.Array(root, "client_timeouts")) {
      const detail::array_reader fields(reader, timeout, "client_timeouts", 3);
      parsed.mTimeouts.push_back({ fields.String(0, kMaxStringBytes),
                                   std::chrono::milliseconds(fields.Integer(1, kMaxTimeMs)),
                                   std::chrono::milliseconds(fields.Integer(2, kMaxTimeMs)) });
    }
  }
  if (reader.Has(root, "crashes")) {
    for (const json::value& crash : reader.Array(root, "crashes")) {
      const detail::array_reader fields(reader, crash, "crashes", 4);
      parsed.mCrashes.push_back({ fields.Integer(0, std::numeric_limits<std::uint64_t>::max()),
                                  fields.String(1, kMaxStringBytes),
                                  static_cast<std::int64_t>(fields.Integer(2, kMaxInteger)),
                                  std::chrono::milliseconds(fields.Integer(3, kMaxTimeMs)) });
    }
  }
  if (reader.Has(root, "store")) {
    const detail::array_reader fields(reader, root.at("store"), "store", 2);
    parsed.mStore = { { 0, fields.Integer(0, kMaxInteger) }, fields.Integer(1, kMaxInteger) };
  }
  if (reader.Has(root, "store_era")) {
    parsed.mStore.mAsOf.mEra = reader.Integer(root, "store_era", 0, kMaxInteger);
  }
  if (reader.Error()) {
    return Failure<heartbeat>("parse heartbeat", parsed.mSender.mVm, *reader.Error());
  }
  return Success(std::move(parsed));
}

} // namespace redwingdock
