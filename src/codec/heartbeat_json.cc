#include "codec/heartbeat_json.h"

#include "codec/json_reader.h"

#include <boost/json/serialize.hpp>
#include <limits>

namespace redwingdock {

namespace {

constexpr std::size_t kMaxHeartbeatBytes = std::size_t{ 16 } * 1024;
constexpr std::size_t kMaxStringBytes = 100;
constexpr std::uint64_t kMaxIntervalUs = 60'000'000;

} // namespace

std::string FormatHeartbeat(const heartbeat& aHeartbeat)
{
  const daemon_state& sender = aHeartbeat.mSender;
  boost::json::array peers;
  for (const std::string& peer : aHeartbeat.mPeers) {
    peers.emplace_back(peer);
  }
  boost::json::array refused;
  for (const std::uint64_t fingerprint : aHeartbeat.mRefused) {
    refused.emplace_back(fingerprint);
  }
  return boost::json::serialize(boost::json::object{ { "vm", sender.mVm },
                                                     { "incarnation", sender.mIncarnation },
                                                     { "peer", sender.mPeerAddress },
                                                     { "calls", sender.mCallAddress },
                                                     { "zone", sender.mZone },
                                                     { "serving", sender.mServing },
                                                     { "interval_us", sender.mInterval.count() },
                                                     { "peers", std::move(peers) },
                                                     { "refused", std::move(refused) } });
}

result<heartbeat> ParseHeartbeat(std::string_view aBytes)
{
  detail::json_reader reader(aBytes, kMaxHeartbeatBytes);
  const auto& root = reader.Root();
  heartbeat parsed;
  parsed.mSender.mVm = reader.String(root, "vm", 1, kMaxStringBytes);
  parsed.mSender.mIncarnation =
    reader.Integer(root, "incarnation", 0, std::numeric_limits<std::int64_t>::max());
  parsed.mSender.mPeerAddress = reader.String(root, "peer", 1, kMaxStringBytes);
  parsed.mSender.mCallAddress = reader.String(root, "calls", 1, kMaxStringBytes);
  parsed.mSender.mZone = reader.String(root, "zone", 1, kMaxStringBytes);
  parsed.mSender.mServing = reader.Bool(root, "serving");
  parsed.mSender.mInterval =
    micros(static_cast<std::int64_t>(reader.Integer(root, "interval_us", 0, kMaxIntervalUs)));
  for (const boost::json::value& peer : reader.Array(root, "peers")) {
    if (!peer.is_string()) {
      reader.Fail("\"peers\" contains a value that is not a string");
      break;
    }
    parsed.mPeers.emplace_back(peer.get_string());
  }
  for (const boost::json::value& fingerprint : reader.Array(root, "refused")) {
    boost::system::error_code error;
    const auto number = fingerprint.to_number<std::uint64_t>(error);
    if (error) {
      reader.Fail("\"refused\" contains a value that is not an unsigned integer");
      break;
    }
    parsed.mRefused.push_back(number);
  }
  if (reader.Error()) {
    return Failure<heartbeat>("parse heartbeat", parsed.mSender.mVm, *reader.Error());
  }
  return Success(std::move(parsed));
}

} // namespace redwingdock
