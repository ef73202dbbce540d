#include "standin/admin.h"

#include "standin/table_edits.h"
#include "tables/parse.h"

#include <algorithm>
#include <limits>

namespace redwingdock::standin {

namespace {

// In the order of server_action, then "none".
const std::vector<std::string> kActions = { "crash",     "stop",    "start", "make_cold",
                                            "make_warm", "silence", "none" };

// Returns an empty string when the key is absent.
std::string ReadOptionalName(yaml_mapping& aRoot, const std::string& aKey)
{
  return aRoot.Text(aKey, "");
}

bool IsSelected(const server_spec& aSpec,
                const std::set<std::string>& aNames,
                const server_spec& aFilter)
{
  const auto matches = [](const std::string& aFilterValue, const std::string& aValue) {
    return aFilterValue.empty() || aFilterValue == aValue;
  };
  return (aNames.empty() || aNames.count(aSpec.mName) != 0) &&
         matches(aFilter.mPool, aSpec.mPool) && matches(aFilter.mShard, aSpec.mShard) &&
         matches(aFilter.mZone, aSpec.mZone);
}

void ReadServers(yaml_mapping& aRoot, const standin_board& aBoard, admin_change& aChange)
{
  const std::vector<std::string> list = aRoot.Names("servers", false);
  const std::set<std::string> names(list.begin(), list.end());
  server_spec filter;
  filter.mPool = ReadOptionalName(aRoot, "pool");
  filter.mShard = ReadOptionalName(aRoot, "shard");
  filter.mZone = ReadOptionalName(aRoot, "zone");
  const std::size_t action = aRoot.OneOf("do", kActions, kActions.size() - 1);
  const YAML::Node set = aRoot.Take("set", false);
  std::size_t selected = 0;
  for (const auto& [name, state] : aBoard.Servers()) {
    if (!IsSelected(state->mSpec, names, filter)) {
      continue;
    }
    ++selected;
    if (set.IsDefined()) {
      yaml_mapping changes(set, aRoot.Path("set"), aRoot.Errors());
      behaviour next = ReadBehaviour(changes, ReadPoolLimits(changes, state->mBehaviour));
      changes.RejectUnknownKeys();
      aChange.mServers.emplace_back(name, change_behaviour{ std::move(next) });
    }
    if (action + 1 < kActions.size()) {
      aChange.mServers.emplace_back(name, perform_action{ static_cast<server_action>(action) });
    }
  }
  if (selected < std::max<std::size_t>(1, names.size())) {
    aRoot.Errors().Add(aRoot.Node(),
                       "servers",
                       std::to_string(selected) + " matching servers",
                       "names, pool, shard and zone from the initial pools table");
  }
}

void ReadPlatform(yaml_mapping& aRoot, const standin_board& aBoard, admin_change& aChange)
{
  const auto current = aBoard.Platform();
  set_platform next;
  next.mMode = static_cast<service_mode>(aRoot.OneOf(
    "mode", { "ok", "off", "hang", "error" }, static_cast<std::size_t>(current->mMode)));
  next.mStale = aRoot.Flag("stale", current->mStale);
  next.mDelay = std::chrono::milliseconds(
    aRoot.Integer("delay_ms", 0, 60000, static_cast<std::uint64_t>(ToMs(current->mDelay))));
  aChange.mPlatform.emplace_back(next);
}

// Returns the newest published text of a table, or an empty string.
const std::string& TableText(const platform_state& aState, table_kind aKind)
{
  static const std::string kEmpty;
  const auto found = aState.mTables.find(aKind);
  return found == aState.mTables.end() || !found->second.mText ? kEmpty : *found->second.mText;
}

publish_table Publish(table_kind aKind, std::uint64_t aRevision, std::string aText)
{
  return { aKind, { aRevision, std::make_shared<const std::string>(std::move(aText)) } };
}

// Returns 0 when the text is not a valid table.
std::uint64_t RevisionOf(table_kind aKind, const std::string& aText)
{
  if (aKind == table_kind::Routes) {
    const auto table = ParseRoutes(aText, "");
    return table ? table->mRevision.mNumber : 0;
  }
  if (aKind == table_kind::Pools) {
    const auto table = ParsePools(aText, "");
    return table ? table->mRevision.mNumber : 0;
  }
  const auto table = ParseVmList(aText, "");
  return table ? table->mRevision.mNumber : 0;
}

vm_spec ReadVm(yaml_mapping& aRoot)
{
  yaml_mapping mapping = aRoot.Mapping("put_vm", true);
  vm_spec vm;
  vm.mName = mapping.Name("name");
  vm.mZone = mapping.Name("zone");
  vm.mAddress = mapping.Address("address");
  vm.mCallAddress = mapping.Address("call_address");
  vm.mState =
    mapping.OneOf("state", { "live", "leaving" }, 0) == 0 ? vm_state::Live : vm_state::Leaving;
  mapping.RejectUnknownKeys();
  return vm;
}

std::optional<pools_table> EditPools(const std::string& aEdit,
                                     const std::string& aName,
                                     pools_table aTable)
{
  if (aEdit == "close_zone" || aEdit == "open_zone") {
    return SetZoneClosed(std::move(aTable), aName, aEdit == "close_zone");
  }
  if (aEdit == "drain_server" || aEdit == "undrain_server") {
    return SetServerDraining(std::move(aTable), aName, aEdit == "drain_server");
  }
  return RemoveServer(std::move(aTable), aName);
}

std::optional<vm_list> EditVms(const std::string& aEdit, const std::string& aName, vm_list aTable)
{
  if (aEdit == "remove_vm") {
    return RemoveVm(std::move(aTable), aName);
  }
  return SetVmState(
    std::move(aTable), aName, aEdit == "vm_leaving" ? vm_state::Leaving : vm_state::Live);
}

const std::vector<std::string> kPoolEdits = { "close_zone",
                                              "open_zone",
                                              "drain_server",
                                              "undrain_server",
                                              "remove_server" };
const std::vector<std::string> kVmEdits = { "vm_leaving", "vm_live", "remove_vm", "put_vm" };

bool Contains(const std::vector<std::string>& aList, const std::string& aItem)
{
  return std::find(aList.begin(), aList.end(), aItem) != aList.end();
}

// Edits apply to the newest published table, even while readers are served an older one.
void ReadTableEdit(yaml_mapping& aRoot, const platform_state& aState, admin_change& aChange)
{
  std::vector<std::string> edits = kPoolEdits;
  edits.insert(edits.end(), kVmEdits.begin(), kVmEdits.end());
  const std::string edit = edits[aRoot.OneOf("edit", edits)];
  if (aRoot.Errors().mFirstError) {
    return;
  }
  std::optional<publish_table> next;
  std::string name;
  if (Contains(kPoolEdits, edit)) {
    name = aRoot.Name("name");
    const auto current = ParsePools(TableText(aState, table_kind::Pools), "");
    if (const auto table = current ? EditPools(edit, name, *current) : std::nullopt) {
      next = Publish(table_kind::Pools, table->mRevision.mNumber, Render(*table));
    }
  } else if (const auto current = ParseVmList(TableText(aState, table_kind::Vms), "")) {
    std::optional<vm_list> table;
    if (edit == "put_vm") {
      table = PutVm(*current, ReadVm(aRoot));
    } else {
      name = aRoot.Name("name");
      table = EditVms(edit, name, *current);
    }
    if (table) {
      next = Publish(table_kind::Vms, table->mRevision.mNumber, Render(*table));
    }
  }
  if (next) {
    aChange.mPlatform.emplace_back(std::move(*next));
  } else {
    aRoot.Errors().Add(aRoot.Node(), "name", "\"" + name + "\"", "a name in the published table");
  }
}

void ReadTables(yaml_mapping& aRoot, const standin_board& aBoard, admin_change& aChange)
{
  const auto state = aBoard.Platform();
  if (!aRoot.Take("text", false).IsDefined()) {
    ReadTableEdit(aRoot, *state, aChange);
    return;
  }
  const auto kind = static_cast<table_kind>(aRoot.OneOf("table", { "routes", "pools", "vms" }));
  std::string text = aRoot.Text("text");
  const std::uint64_t parsed = RevisionOf(kind, text);
  const std::uint64_t revision = aRoot.Integer("revision",
                                               1,
                                               std::numeric_limits<std::int64_t>::max(),
                                               parsed == 0 ? std::nullopt : std::optional(parsed));
  aChange.mPlatform.emplace_back(Publish(kind, revision, std::move(text)));
}

void ReadReset(const standin_board& aBoard, admin_change& aChange)
{
  for (const auto& [name, state] : aBoard.Servers()) {
    aChange.mServers.emplace_back(name, perform_action{ server_action::Reset });
  }
  aChange.mPlatform.emplace_back(reset_read_counts{});
  aChange.mResetRuns = true;
}

} // namespace

result<admin_change> ReadAdminRequest(const std::string& aTarget,
                                      const std::string& aBody,
                                      const standin_board& aBoard)
{
  yaml_errors errors{ "admin", aTarget, {} };
  yaml_mapping root = LoadYaml(aBody.empty() ? "{}" : aBody, errors);
  admin_change change;
  if (aTarget == "/admin/servers") {
    ReadServers(root, aBoard, change);
  } else if (aTarget == "/admin/platform") {
    ReadPlatform(root, aBoard, change);
  } else if (aTarget == "/admin/tables") {
    ReadTables(root, aBoard, change);
  } else if (aTarget == "/admin/reset") {
    ReadReset(aBoard, change);
  } else {
    errors.Add(YAML::Node(YAML::NodeType::Undefined),
               "path",
               "\"" + aTarget + "\"",
               "/admin/servers, /admin/platform, /admin/tables or /admin/reset");
  }
  root.RejectUnknownKeys();
  if (errors.mFirstError) {
    return { std::nullopt, std::move(*errors.mFirstError) };
  }
  return Success(std::move(change));
}

} // namespace redwingdock::standin
