#include "standin/json_codec.h"

#include <algorithm>
#include <boost/json.hpp>

namespace redwingdock::standin {

namespace {

namespace json = boost::json;

// Limits the repeated attempts and the request keys in GET /admin/state, to bound its size.
constexpr std::size_t kMaxRunsShown = 1000;

const char* ToText(server_mode aMode)
{
  switch (aMode) {
    case server_mode::Warm:
      return "warm";
    case server_mode::Cold:
      return "cold";
    case server_mode::Draining:
      return "draining";
  }
  return "";
}

const char* ToText(server_phase aPhase)
{
  switch (aPhase) {
    case server_phase::Up:
      return "up";
    case server_phase::Restarting:
      return "restarting";
    case server_phase::Stopped:
      return "stopped";
  }
  return "";
}

const char* ToText(table_kind aKind)
{
  switch (aKind) {
    case table_kind::Routes:
      return "routes";
    case table_kind::Pools:
      return "pools";
    case table_kind::Vms:
      return "vms";
  }
  return "";
}

const char* ToText(service_mode aMode)
{
  switch (aMode) {
    case service_mode::Ok:
      return "ok";
    case service_mode::Off:
      return "off";
    case service_mode::Hang:
      return "hang";
    case service_mode::Error:
      return "error";
  }
  return "";
}

// Reads the fields of a JSON object and keeps the first error.
struct object_reader
{
  const json::object& mObject;
  std::string mError;

  std::string Text(const char* aKey)
  {
    const json::value* value = mObject.if_contains(aKey);
    if (value == nullptr || !value->is_string()) {
      Fail(aKey, "a string");
      return "";
    }
    return value->as_string().c_str();
  }

  std::uint64_t Number(const char* aKey)
  {
    const json::value* value = mObject.if_contains(aKey);
    if (value == nullptr || !value->is_int64() || value->as_int64() < 0) {
      Fail(aKey, "a non-negative integer");
      return 0;
    }
    return static_cast<std::uint64_t>(value->as_int64());
  }

  fields Fields(const char* aKey)
  {
    fields parsed;
    const json::value* value = mObject.if_contains(aKey);
    if (value == nullptr || !value->is_object()) {
      Fail(aKey, "an object with string values");
      return parsed;
    }
    for (const auto& [name, text] : value->as_object()) {
      if (!text.is_string()) {
        Fail(aKey, "an object with string values");
        return parsed;
      }
      parsed[name] = text.as_string().c_str();
    }
    return parsed;
  }

  void Fail(const std::string& aKey, const std::string& aAllowed)
  {
    if (mError.empty()) {
      mError = aKey + ": missing or of the wrong type, allowed: " + aAllowed;
    }
  }
};

// Returns null when the body is not JSON.
json::value Parse(const std::string& aBody)
{
  boost::system::error_code error;
  json::value value = json::parse(aBody, error);
  return error ? json::value(nullptr) : value;
}

json::object Encode(const server_evidence& aEvidence)
{
  json::array versions;
  for (const index_version& version : aEvidence.mVersions) {
    versions.push_back(json::object{ { "version", version.mVersion }, { "map", version.mMap } });
  }
  return { { "instance", aEvidence.mInstance },
           { "mode", ToText(aEvidence.mMode) },
           { "versions", std::move(versions) } };
}

json::object Encode(const server_counts& aCounts, instant aNow)
{
  json::object counts{ { "requests", aCounts.mRequests },
                       { "run", aCounts.mRun },
                       { "shed", aCounts.mShed },
                       { "refused", aCounts.mRefused },
                       { "cancelled", aCounts.mCancelled },
                       { "late", aCounts.mLate },
                       { "swallowed", aCounts.mSwallowed },
                       { "bad_replies", aCounts.mBadReplies },
                       { "crashes", aCounts.mCrashes },
                       { "cold_overloads", aCounts.mColdOverloads },
                       { "connections_opened", aCounts.mConnectionsOpened },
                       { "connections_refused", aCounts.mConnectionsRefused },
                       { "most_parts", aCounts.mPeakParts },
                       { "most_connections", aCounts.mPeakConnections },
                       { "requests_in_drain", aCounts.mRequestsInDrain } };
  if (aCounts.mRequests > 0) {
    counts["last_request_ms_ago"] = ToMs(aNow - aCounts.mLastRequest);
  }
  return counts;
}

json::object Encode(const server_state& aState, instant aNow)
{
  return { { "pool", aState.mSpec.mPool },
           { "shard", aState.mSpec.mShard },
           { "zone", aState.mSpec.mZone },
           { "phase", ToText(aState.mPhase) },
           { "instance", InstanceName(aState) },
           { "warm", aState.mWarm },
           { "slots", aState.mBehaviour.mSlots },
           { "capacity", Capacity(aState, aNow) },
           { "connection_limit", aState.mBehaviour.mConnectionLimit },
           { "parts", aState.mParts.size() },
           { "connections", aState.mConnections.size() },
           { "counts", Encode(aState.mCounts, aNow) } };
}

// Totals over the servers of a zone. mLastRequest is the newest of their last requests.
struct zone_totals
{
  std::uint64_t mRequests = 0;
  std::uint64_t mRun = 0;
  instant mLastRequest{};
};

json::object EncodeZones(const standin_board& aBoard, instant aNow)
{
  std::map<std::string, zone_totals> zones;
  for (const auto& [name, state] : aBoard.Servers()) {
    zone_totals& zone = zones[state->mSpec.mZone];
    zone.mRequests += state->mCounts.mRequests;
    zone.mRun += state->mCounts.mRun;
    zone.mLastRequest = std::max(zone.mLastRequest, state->mCounts.mLastRequest);
  }
  json::object object;
  for (const auto& [name, zone] : zones) {
    json::object item{ { "requests", zone.mRequests }, { "run", zone.mRun } };
    if (zone.mRequests > 0) {
      item["last_request_ms_ago"] = ToMs(aNow - zone.mLastRequest);
    }
    object[name] = std::move(item);
  }
  return object;
}

json::object EncodeRuns(const std::map<std::string, std::uint64_t>& aRuns)
{
  json::object object;
  for (const auto& [key, runs] : aRuns) {
    if (object.size() < kMaxRunsShown) {
      object[key] = runs;
    }
  }
  return object;
}

json::object Encode(const platform_state& aState)
{
  json::object tables;
  for (const auto& [kind, table] : aState.mTables) {
    json::object item{ { "revision", table.mRevision } };
    const auto served = aState.mServed.find(kind);
    item["served"] = served == aState.mServed.end() ? 0 : served->second.mRevision;
    const auto reads = aState.mCounts.mReads.find(kind);
    item["reads"] = reads == aState.mCounts.mReads.end() ? 0 : reads->second;
    tables[ToText(kind)] = std::move(item);
  }
  return { { "mode", ToText(aState.mMode) },
           { "stale", aState.mStale },
           { "waiting", aState.mWatches.size() },
           { "watches", aState.mCounts.mWatches },
           { "most_reads_in_second", aState.mCounts.mPeakReadsPerSecond },
           { "tables", std::move(tables) } };
}

} // namespace

result<received_part_request> ReadPart(const std::string& aBody)
{
  const json::value body = Parse(aBody);
  if (!body.is_object()) {
    return Failure<received_part_request>("read part", "", "the body is not a JSON object");
  }
  object_reader reader{ body.as_object(), {} };
  received_part_request call;
  call.mAttempt = reader.Text("attempt");
  call.mServer = reader.Text("server");
  call.mPool = reader.Text("pool");
  call.mShard = reader.Text("shard");
  call.mVersion = reader.Number("version");
  const std::string operation = reader.Text("operation");
  call.mOperation = operation == "submit" ? operation::Submit : operation::Search;
  if (operation != "submit" && operation != "search") {
    reader.Fail("operation", "search or submit");
  }
  call.mFilter = reader.Fields("filter");
  call.mRequestKey = reader.Text("request_key");
  if ((call.mOperation == operation::Submit) == call.mRequestKey.empty()) {
    reader.Fail("request_key", "a key for submit, empty for search");
  }
  // Capped at one hour, so that adding it to a time cannot overflow.
  call.mRemaining =
    std::chrono::milliseconds(std::min<std::uint64_t>(reader.Number("deadline_ms"), 3'600'000));
  if (!reader.mError.empty()) {
    return Failure<received_part_request>("read part", "", reader.mError);
  }
  return Success(std::move(call));
}

result<std::string> ReadCancel(const std::string& aBody)
{
  const json::value body = Parse(aBody);
  if (!body.is_object()) {
    return Failure<std::string>("read cancel", "", "the body is not a JSON object");
  }
  object_reader reader{ body.as_object(), {} };
  std::string attempt = reader.Text("attempt");
  if (!reader.mError.empty()) {
    return Failure<std::string>("read cancel", "", reader.mError);
  }
  return Success(std::move(attempt));
}

std::string CallerVm(const std::string& aAttempt)
{
  return aAttempt.substr(0, aAttempt.find('.'));
}

std::string WriteRecords(const reply_records& aReply, const std::vector<record>& aRecords)
{
  json::array records;
  for (const record& entry : aRecords) {
    json::object object;
    for (const auto& [name, text] : entry.mFields) {
      object[name] = text;
    }
    records.push_back(json::object{ { "id", entry.mId }, { "fields", std::move(object) } });
  }
  const auto isFault = [&](bad_reply aFault) { return aReply.mFault == aFault; };
  if (isFault(bad_reply::NotJson)) {
    return "<html>proxy error</html>";
  }
  return json::serialize(json::object{
    { "attempt", isFault(bad_reply::WrongAttempt) ? "other#1" : aReply.mCall.mAttempt },
    { "server", aReply.mCall.mServer },
    { "shard", isFault(bad_reply::WrongShard) ? "other" : aReply.mCall.mShard },
    { "version", aReply.mVersion.mVersion + (isFault(bad_reply::WrongVersion) ? 1 : 0) },
    { "map", aReply.mVersion.mMap },
    { "records", std::move(records) },
    { "evidence", Encode(aReply.mEvidence) } });
}

std::string WriteRefusal(const reply_refusal& aReply)
{
  return json::serialize(json::object{ { "attempt", aReply.mAttempt },
                                       { "server", aReply.mServer },
                                       { "shard", aReply.mShard },
                                       { "not_run", aReply.mNotRun },
                                       { "refusal", aReply.mRefusal },
                                       { "text", aReply.mText },
                                       { "evidence", Encode(aReply.mEvidence) } });
}

std::string WriteHealth(const reply_health& aReply)
{
  return json::serialize(json::object{ { "status", "ok" },
                                       { "instance", aReply.mInstance },
                                       { "mode", ToText(aReply.mMode) },
                                       { "in_flight", aReply.mParts },
                                       { "connections", aReply.mConnections } });
}

std::string WriteState(const standin_board& aBoard, instant aNow)
{
  json::object servers;
  std::uint64_t coldOverloads = 0;
  std::uint64_t overSlots = 0;
  std::uint64_t overConnections = 0;
  for (const auto& [name, state] : aBoard.Servers()) {
    servers[name] = Encode(*state, aNow);
    coldOverloads += state->mCounts.mColdOverloads;
    overSlots += state->mCounts.mPeakParts > state->mBehaviour.mSlots ? 1 : 0;
    overConnections += state->mCounts.mPeakConnections > state->mBehaviour.mConnectionLimit ? 1 : 0;
  }
  const std::map<std::string, std::uint64_t> keys = aBoard.KeyRuns();
  const auto repeatedKeys =
    std::count_if(keys.begin(), keys.end(), [](const auto& aItem) { return aItem.second > 1; });
  return json::serialize(
    json::object{ { "summary",
                    json::object{ { "servers_over_slots", overSlots },
                                  { "servers_over_connections", overConnections },
                                  { "cold_overloads", coldOverloads },
                                  { "repeated_keys", repeatedKeys },
                                  { "repeated_attempts", aBoard.RepeatedAttempts().size() } } },
                  { "platform", Encode(*aBoard.Platform()) },
                  { "zones", EncodeZones(aBoard, aNow) },
                  { "request_keys", EncodeRuns(keys) },
                  { "repeated_attempts", EncodeRuns(aBoard.RepeatedAttempts()) },
                  { "servers", std::move(servers) } });
}

} // namespace redwingdock::standin
