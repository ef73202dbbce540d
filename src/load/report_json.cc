#include "load/report_json.h"

#include <boost/json.hpp>
#include <cmath>

namespace redwingdock::load {

namespace json = boost::json;

namespace {

// JSON name of a count of a group.
struct group_count_name
{
  const char* mName;
  std::uint64_t group_summary::*mCount;
};

constexpr group_count_name kGroupCountNames[] = {
  { "calls", &group_summary::mCalls },     { "complete", &group_summary::mComplete },
  { "partial", &group_summary::mPartial }, { "not_run", &group_summary::mNotRun },
  { "unknown", &group_summary::mUnknown }, { "rejected", &group_summary::mRejected },
  { "in_time", &group_summary::mInTime },  { "repeated", &group_summary::mRepeated }
};

// JSON name of a count of the servers.
struct server_count_name
{
  const char* mName;
  std::uint64_t server_counts::*mCount;
};

constexpr server_count_name kServerCountNames[] = {
  { "needed", &server_counts::mNeeded },
  { "received", &server_counts::mReceived },
  { "run", &server_counts::mRun },
  { "shed", &server_counts::mShed },
  { "crashes", &server_counts::mCrashes },
  { "cold_overloads", &server_counts::mColdOverloads },
  { "over_slots", &server_counts::mOverSlots },
  { "over_connections", &server_counts::mOverConnections }
};

json::object Write(const group_summary& aGroup)
{
  json::object written;
  for (const group_count_name& each : kGroupCountNames) {
    written[each.mName] = aGroup.*each.mCount;
  }
  written["coverage_ppb"] = std::llround(aGroup.mCoverage * 1e9);
  written["p50_us"] = std::llround(aGroup.mLatency.mP50 * 1e3);
  written["p99_us"] = std::llround(aGroup.mLatency.mP99 * 1e3);
  written["p999_us"] = std::llround(aGroup.mLatency.mP999 * 1e3);
  return written;
}

json::object Write(const std::map<std::string, group_summary>& aGroups)
{
  json::object written;
  for (const auto& [name, group] : aGroups) {
    written[name] = Write(group);
  }
  return written;
}

group_summary ReadGroup(const json::value& aValue)
{
  const json::object& object = aValue.as_object();
  group_summary group;
  for (const group_count_name& each : kGroupCountNames) {
    group.*each.mCount = object.at(each.mName).to_number<std::uint64_t>();
  }
  group.mCoverage = object.at("coverage_ppb").to_number<double>() / 1e9;
  group.mLatency = { object.at("p50_us").to_number<double>() / 1e3,
                     object.at("p99_us").to_number<double>() / 1e3,
                     object.at("p999_us").to_number<double>() / 1e3 };
  return group;
}

std::map<std::string, group_summary> ReadGroups(const json::value& aValue)
{
  std::map<std::string, group_summary> groups;
  for (const auto& [name, value] : aValue.as_object()) {
    groups.emplace(name, ReadGroup(value));
  }
  return groups;
}

load_report Read(const json::object& aObject)
{
  load_report report;
  report.mName = json::value_to<std::string>(aObject.at("name"));
  report.mSeed = aObject.at("seed").to_number<std::uint64_t>();
  report.mDuration = micros(aObject.at("duration_us").to_number<std::int64_t>());
  report.mTotal = ReadGroup(aObject.at("total"));
  report.mUrgencies = ReadGroups(aObject.at("urgencies"));
  report.mZones = ReadGroups(aObject.at("zones"));
  report.mRoutes = ReadGroups(aObject.at("routes"));
  for (const json::value& each : aObject.at("seconds").as_array()) {
    report.mSeconds.push_back(ReadGroup(each));
  }
  report.mInTimeShare = aObject.at("in_time_ppb").to_number<double>() / 1e9;
  for (const json::value& each : aObject.at("events").as_array()) {
    report.mEvents.emplace_back(micros(each.at("at_us").to_number<std::int64_t>()),
                                json::value_to<std::string>(each.at("label")));
  }
  if (const json::value* servers = aObject.if_contains("servers")) {
    server_counts counts;
    for (const server_count_name& each : kServerCountNames) {
      counts.*each.mCount = servers->at(each.mName).to_number<std::uint64_t>();
    }
    report.mServers = counts;
  }
  for (const auto& [kind, count] : aObject.at("violations").as_object()) {
    report.mViolations[kind] = count.to_number<std::uint64_t>();
  }
  for (const json::value& each : aObject.at("examples").as_array()) {
    report.mExamples.push_back(json::value_to<std::string>(each));
  }
  return report;
}

} // namespace

std::string WriteReport(const load_report& aReport)
{
  json::object written{ { "name", aReport.mName },
                        { "seed", aReport.mSeed },
                        { "duration_us", aReport.mDuration.count() },
                        { "in_time_ppb", std::llround(aReport.mInTimeShare * 1e9) },
                        { "total", Write(aReport.mTotal) },
                        { "urgencies", Write(aReport.mUrgencies) },
                        { "zones", Write(aReport.mZones) },
                        { "routes", Write(aReport.mRoutes) } };
  json::array seconds;
  for (const group_summary& each : aReport.mSeconds) {
    seconds.push_back(Write(each));
  }
  written["seconds"] = std::move(seconds);
  json::array events;
  for (const auto& [at, label] : aReport.mEvents) {
    events.push_back(json::object{ { "at_us", at.count() }, { "label", label } });
  }
  written["events"] = std::move(events);
  if (aReport.mServers) {
    json::object servers;
    for (const server_count_name& each : kServerCountNames) {
      servers[each.mName] = *aReport.mServers.*each.mCount;
    }
    written["servers"] = std::move(servers);
  }
  json::object violations;
  for (const auto& [kind, count] : aReport.mViolations) {
    violations[kind] = count;
  }
  written["violations"] = std::move(violations);
  written["examples"] = json::value_from(aReport.mExamples);
  return json::serialize(written) + "\n";
}

result<load_report> ParseReport(const std::string& aText, const std::string& aFile)
{
  try {
    json::value parsed = json::parse(aText);
    return Success(Read(parsed.as_object()));
  } catch (const std::exception& error) {
    return Failure<load_report>("parse report", aFile, error.what());
  }
}

result<standin_state> ParseStandinState(const std::string& aText, const std::string& aPeer)
{
  try {
    json::value parsed = json::parse(aText);
    standin_state state;
    for (const auto& [name, server] : parsed.at("servers").as_object()) {
      const json::value& counts = server.at("counts");
      state.mServerCounts.mReceived += counts.at("requests").to_number<std::uint64_t>();
      state.mServerCounts.mRun += counts.at("run").to_number<std::uint64_t>();
      state.mServerCounts.mShed += counts.at("shed").to_number<std::uint64_t>();
      state.mServerCounts.mCrashes += counts.at("crashes").to_number<std::uint64_t>();
    }
    const json::value& summary = parsed.at("summary");
    state.mServerCounts.mColdOverloads = summary.at("cold_overloads").to_number<std::uint64_t>();
    state.mServerCounts.mOverSlots = summary.at("servers_over_slots").to_number<std::uint64_t>();
    state.mServerCounts.mOverConnections =
      summary.at("servers_over_connections").to_number<std::uint64_t>();
    for (const auto& [key, runs] : parsed.at("request_keys").as_object()) {
      state.mRequestKeyRuns[key] = runs.to_number<std::uint64_t>();
    }
    return Success(std::move(state));
  } catch (const std::exception& error) {
    return Failure<standin_state>("parse stand-in state", aPeer, error.what());
  }
}

} // namespace redwingdock::load
