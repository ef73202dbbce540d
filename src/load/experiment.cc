#include "load/experiment.h"

#include "base/yaml_reader.h"

#include <algorithm>
#include <csignal>

namespace redwingdock::load {

namespace {

constexpr std::uint64_t kMaxDurationMs = 600'000;
constexpr double kMaxCallsPerSecond = 20'000;

micros Milliseconds(std::uint64_t aCount)
{
  return std::chrono::milliseconds(aCount);
}

std::string ToFlowYaml(const YAML::Node& aNode)
{
  YAML::Emitter out;
  out.SetMapFormat(YAML::Flow);
  out.SetSeqFormat(YAML::Flow);
  out << aNode;
  return out.c_str();
}

request_kind ReadRequestKind(yaml_mapping& aMapping)
{
  request_kind kind;
  kind.mRoute = aMapping.Name("route");
  kind.mOperation = aMapping.OneOf("operation", { "search", "submit" }, 0) == 0 ? operation::Search
                                                                                : operation::Submit;
  kind.mUrgency =
    static_cast<urgency>(aMapping.OneOf("urgency", { "urgent", "normal", "background" }, 1));
  kind.mDeadline = Milliseconds(aMapping.Integer("deadline_ms", 1, 5000, 1000));
  kind.mWeight = aMapping.Number("weight", 0.001, 1000, 1);
  kind.mSample = aMapping.Names("sample", false);
  yaml_mapping filter = aMapping.Mapping("filter", false);
  for (const auto& item : filter.Node()) {
    std::string name = item.first.IsScalar() ? item.first.Scalar() : "";
    kind.mFilter[name] = filter.Text(name);
  }
  filter.RejectUnknownKeys();
  kind.mFrom = Milliseconds(aMapping.Integer("from_ms", 0, kMaxDurationMs, 0));
  kind.mMost = aMapping.Integer("most", 0, 1'000'000, 0);
  return kind;
}

// Reads the server selection of an event into the body of an admin request. Returns its label.
std::string ReadServerSelection(yaml_mapping& aMapping, YAML::Node& aBody)
{
  std::string label;
  for (const char* key : { "zone", "pool", "shard" }) {
    std::string name = aMapping.Text(key, "");
    if (!name.empty()) {
      aBody[key] = name;
      label += " " + name;
    }
  }
  std::vector<std::string> servers = aMapping.Names("servers", false);
  if (!servers.empty()) {
    aBody["servers"] = servers;
    label += " " + servers.front() + (servers.size() > 1 ? "..." : "");
  }
  if (label.empty()) {
    aMapping.Errors().Add(
      aMapping.Node(), aMapping.Path("servers"), "no selection", "zone, pool, shard or servers");
  }
  return label;
}

struct event_parser
{
  const char* mName;
  // Reads the keys of the event other than at_ms and do.
  std::function<void(yaml_mapping&, load_event&)> mRead;
};

event_parser TableEditParser(const char* aName, const char* aKey)
{
  return { aName, [aName, aKey](yaml_mapping& aMapping, load_event& aEvent) {
            YAML::Node body;
            std::string name = aMapping.Name(aKey);
            body["edit"] = aName;
            body["name"] = name;
            aEvent.mKind = event_kind::Admin;
            aEvent.mTarget = "/admin/tables";
            aEvent.mBody = ToFlowYaml(body);
            aEvent.mLabel += " " + name;
          } };
}

event_parser ServerActionParser(const char* aName)
{
  return { aName, [aName](yaml_mapping& aMapping, load_event& aEvent) {
            YAML::Node body;
            body["do"] = aName;
            aEvent.mLabel += ReadServerSelection(aMapping, body);
            aEvent.mKind = event_kind::Admin;
            aEvent.mTarget = "/admin/servers";
            aEvent.mBody = ToFlowYaml(body);
          } };
}

event_parser DaemonSignalParser(const char* aName, int aSignal)
{
  return { aName, [aSignal](yaml_mapping& aMapping, load_event& aEvent) {
            aEvent.mKind = aSignal == 0 ? event_kind::Restart : event_kind::Signal;
            aEvent.mTarget = aMapping.Name("daemon");
            aEvent.mSignal = aSignal;
            aEvent.mLabel += " " + aEvent.mTarget;
          } };
}

void ReadSetServersEvent(yaml_mapping& aMapping, load_event& aEvent)
{
  YAML::Node body;
  aEvent.mLabel += ReadServerSelection(aMapping, body);
  yaml_mapping set = aMapping.Mapping("set", true);
  body["set"] = set.Node();
  for (const auto& item : set.Node()) {
    aEvent.mLabel += " " + item.first.Scalar();
  }
  aEvent.mKind = event_kind::Admin;
  aEvent.mTarget = "/admin/servers";
  aEvent.mBody = ToFlowYaml(body);
}

void ReadServiceEvent(yaml_mapping& aMapping, load_event& aEvent)
{
  static const std::vector<std::string> kModes{ "ok", "off", "hang", "error" };
  YAML::Node body;
  std::string mode = kModes[aMapping.OneOf("mode", kModes, 0)];
  bool stale = aMapping.Flag("stale", false);
  body["mode"] = mode;
  body["stale"] = stale;
  body["delay_ms"] = aMapping.Integer("delay_ms", 0, 60'000, 0);
  aEvent.mLabel += " " + mode + (stale ? " stale" : "");
  aEvent.mKind = event_kind::Admin;
  aEvent.mTarget = "/admin/platform";
  aEvent.mBody = ToFlowYaml(body);
}

void ReadPublishEvent(yaml_mapping& aMapping, load_event& aEvent)
{
  static const std::vector<std::string> kTables{ "routes", "pools", "vms" };
  YAML::Node body;
  std::string table = kTables[aMapping.OneOf("table", kTables)];
  body["table"] = table;
  body["text"] = aMapping.Text("text");
  aEvent.mLabel += " " + table;
  aEvent.mKind = event_kind::Admin;
  aEvent.mTarget = "/admin/tables";
  aEvent.mBody = ToFlowYaml(body);
}

const std::vector<event_parser>& EventParsers()
{
  static const std::vector<event_parser> kParsers{
    TableEditParser("close_zone", "zone"),
    TableEditParser("open_zone", "zone"),
    TableEditParser("drain_server", "server"),
    TableEditParser("undrain_server", "server"),
    TableEditParser("remove_server", "server"),
    TableEditParser("vm_leaving", "vm"),
    TableEditParser("vm_live", "vm"),
    TableEditParser("remove_vm", "vm"),
    ServerActionParser("crash"),
    ServerActionParser("stop"),
    ServerActionParser("start"),
    ServerActionParser("make_cold"),
    ServerActionParser("make_warm"),
    ServerActionParser("silence"),
    { "set_servers", ReadSetServersEvent },
    { "service", ReadServiceEvent },
    { "publish", ReadPublishEvent },
    DaemonSignalParser("kill", SIGKILL),
    DaemonSignalParser("pause", SIGSTOP),
    DaemonSignalParser("continue", SIGCONT),
    DaemonSignalParser("terminate", SIGTERM),
    DaemonSignalParser("restart", 0),
    { "mark",
      [](yaml_mapping& aMapping, load_event& aEvent) { aEvent.mLabel = aMapping.Text("text"); } },
  };
  return kParsers;
}

load_event ReadEvent(yaml_mapping& aMapping, std::uint64_t aDurationMs)
{
  std::vector<std::string> names;
  for (const event_parser& each : EventParsers()) {
    names.emplace_back(each.mName);
  }
  load_event event;
  event.mAt = Milliseconds(aMapping.Integer("at_ms", 0, aDurationMs));
  const event_parser& parser = EventParsers()[aMapping.OneOf("do", names)];
  event.mLabel = parser.mName;
  parser.mRead(aMapping, event);
  return event;
}

} // namespace

result<experiment> ParseExperiment(const std::string& aText, const std::string& aFile)
{
  yaml_errors errors{ "parse experiment", aFile, {} };
  yaml_mapping root = LoadYaml(aText, errors);
  experiment parsed;
  parsed.mName = root.Name("name");
  parsed.mSeed = root.Integer("seed", 0, UINT64_MAX, 1);
  std::uint64_t duration = root.Integer("duration_ms", 100, kMaxDurationMs);
  parsed.mDuration = Milliseconds(duration);
  parsed.mWarmUp = Milliseconds(root.Integer("warm_up_ms", 0, duration, 0));
  parsed.mRate = root.Number("rate", 0.1, kMaxCallsPerSecond, 100);
  parsed.mCallers = static_cast<std::uint32_t>(root.Integer("callers", 1, 100'000, 100));
  parsed.mZones = root.Names("zones", false);
  root.ForEach("mix", true, [&parsed](yaml_mapping& aMapping) {
    parsed.mMix.push_back(ReadRequestKind(aMapping));
  });
  root.ForEach("events", false, [&parsed, duration](yaml_mapping& aMapping) {
    parsed.mEvents.push_back(ReadEvent(aMapping, duration));
  });
  root.RejectUnknownKeys();
  if (errors.mFirstError) {
    return { std::nullopt, *errors.mFirstError };
  }
  if (parsed.mMix.empty()) {
    return Failure<experiment>(
      "parse experiment", aFile, "mix: found an empty list, allowed: at least one kind of request");
  }
  std::stable_sort(parsed.mEvents.begin(),
                   parsed.mEvents.end(),
                   [](const auto& aLeft, const auto& aRight) { return aLeft.mAt < aRight.mAt; });
  return Success(std::move(parsed));
}

} // namespace redwingdock::load
