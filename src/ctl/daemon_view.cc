#include "ctl/daemon_view.h"

#include <algorithm>
#include <boost/json.hpp>

namespace redwingdock::ctl {

namespace json = boost::json;

namespace {

std::string Text(const json::value& aObject, const char* aKey)
{
  return json::value_to<std::string>(aObject.at(aKey));
}

bool Flag(const json::object& aObject, const char* aKey)
{
  const json::value* found = aObject.if_contains(aKey);
  return found != nullptr && found->as_bool();
}

daemon_view ReadView(const json::value& aRoot)
{
  daemon_view view;
  view.mVm = Text(aRoot, "vm");
  view.mIncarnation = Text(aRoot, "incarnation");
  view.mZone = Text(aRoot, "zone");
  view.mPhase = Text(aRoot, "phase");
  view.mConfirmed = aRoot.at("view_confirmed").as_bool();
  for (const auto& [table, revision] : aRoot.at("revisions").as_object()) {
    view.mRevisions[table] = revision.to_number<std::uint64_t>();
  }
  for (const json::value& zone : aRoot.at("closed_zones").as_array()) {
    view.mClosedZones.insert(json::value_to<std::string>(zone));
  }
  for (const json::value& member : aRoot.at("members").as_array()) {
    view.mMembers[Text(member, "vm")] = { Text(member, "state"),
                                          Flag(member.as_object(), "connected"),
                                          Flag(member.as_object(), "draining") };
  }
  for (const auto& [server, permits] : aRoot.at("permits").as_object()) {
    std::vector<std::string>& holders = view.mPermits[server];
    for (const json::value& permit : permits.as_array()) {
      holders.push_back(Text(permit, "holder"));
    }
  }
  for (const auto& [server, status] : aRoot.at("servers").as_object()) {
    view.mServers[server] = { Text(status, "instance"),
                              status.at("stage").to_number<std::uint32_t>(),
                              status.at("draining").as_bool(),
                              status.at("queue").to_number<std::uint32_t>() };
  }
  for (const json::value& suspect : aRoot.at("suspects").as_array()) {
    view.mSuspects[Text(suspect, "fingerprint")] = Text(suspect, "level");
  }
  for (const auto& [name, count] : aRoot.at("counters").as_object()) {
    view.mCounters[name] = count.to_number<std::uint64_t>();
  }
  return view;
}

std::string Join(const std::set<std::string>& aTexts)
{
  std::string joined;
  for (const std::string& each : aTexts) {
    joined += (joined.empty() ? "" : " ") + each;
  }
  return joined.empty() ? "-" : joined;
}

std::string Join(const std::vector<std::string>& aTexts)
{
  std::string joined;
  for (const std::string& each : aTexts) {
    joined += (joined.empty() ? "" : " ") + each;
  }
  return joined;
}

using view_property = std::function<std::string(const daemon_view&)>;

view_row MakeRow(const std::vector<view_reply>& aViews,
                 const std::string& aName,
                 bool aMustAgree,
                 const view_property& aProperty)
{
  view_row row{ aName, {}, false };
  std::set<std::string> seen;
  for (const view_reply& each : aViews) {
    row.mValues.push_back(each.mView ? aProperty(*each.mView) : "");
    if (each.mView && !row.mValues.back().empty()) {
      seen.insert(row.mValues.back());
    }
  }
  row.mDiffers = aMustAgree && seen.size() > 1;
  return row;
}

std::set<std::string> ServerNames(const std::vector<view_reply>& aViews)
{
  std::set<std::string> names;
  for (const view_reply& each : aViews) {
    if (each.mView) {
      for (const auto& [server, permits] : each.mView->mPermits) {
        names.insert(server);
      }
      for (const auto& [server, status] : each.mView->mServers) {
        names.insert(server);
      }
    }
  }
  return names;
}

std::string Holders(const daemon_view& aView, const std::string& aServer)
{
  auto found = aView.mPermits.find(aServer);
  return found == aView.mPermits.end() ? "" : Join(found->second);
}

std::string Instance(const daemon_view& aView, const std::string& aServer)
{
  auto found = aView.mServers.find(aServer);
  return found == aView.mServers.end() ? "" : found->second.mInstance;
}

void AddServers(const std::vector<view_reply>& aViews, std::vector<view_row>& aRows)
{
  std::size_t agreed = 0;
  for (const std::string& server : ServerNames(aViews)) {
    view_row holders =
      MakeRow(aViews, "permits of " + server, true, [&server](const daemon_view& aView) {
        return Holders(aView, server);
      });
    view_row instances =
      MakeRow(aViews, "instance of " + server, true, [&server](const daemon_view& aView) {
        return Instance(aView, server);
      });
    agreed += !holders.mDiffers && !instances.mDiffers ? 1 : 0;
    for (view_row* each : { &holders, &instances }) {
      if (each->mDiffers) {
        aRows.push_back(std::move(*each));
      }
    }
  }
  aRows.push_back(MakeRow(aViews, "servers agreed on", false, [agreed](const daemon_view&) {
    return std::to_string(agreed);
  }));
}

void AddMembers(const std::vector<view_reply>& aViews, std::vector<view_row>& aRows)
{
  std::set<std::string> names;
  for (const view_reply& each : aViews) {
    if (each.mView) {
      for (const auto& [vm, member] : each.mView->mMembers) {
        names.insert(vm);
      }
    }
  }
  for (const std::string& vm : names) {
    view_row row =
      MakeRow(aViews, "sees " + vm, false, [&vm](const daemon_view& aView) -> std::string {
        if (aView.mVm == vm) {
          return "itself";
        }
        auto found = aView.mMembers.find(vm);
        if (found == aView.mMembers.end()) {
          return "not listed";
        }
        std::string text = found->second.mConnected ? "connected" : "disconnected";
        text += found->second.mState == "live" ? "" : " " + found->second.mState;
        return text + (found->second.mDraining ? " draining" : "");
      });
    std::set<std::string> others(row.mValues.begin(), row.mValues.end());
    others.erase("itself");
    others.erase("");
    row.mDiffers = others.size() > 1 || others.contains("disconnected");
    aRows.push_back(std::move(row));
  }
}

} // namespace

result<daemon_view> ParseView(const std::string& aText, const std::string& aPeer)
{
  try {
    return Success(ReadView(json::parse(aText)));
  } catch (const std::exception& error) {
    return Failure<daemon_view>("parse view", aPeer, error.what());
  }
}

std::vector<view_row> CompareViews(const std::vector<view_reply>& aViews)
{
  std::vector<view_row> rows;
  view_row names{ "daemon", {}, false };
  view_row answers{ "answers", {}, false };
  for (const view_reply& each : aViews) {
    names.mValues.push_back(each.mView ? each.mView->mVm : each.mAddress);
    answers.mValues.push_back(each.mView ? "yes" : "no: " + each.mView.mReason.mText);
    answers.mDiffers = answers.mDiffers || !each.mView;
  }
  rows.push_back(std::move(names));
  rows.push_back(std::move(answers));
  rows.push_back(
    MakeRow(aViews, "zone", false, [](const daemon_view& aView) { return aView.mZone; }));
  rows.push_back(
    MakeRow(aViews, "phase", false, [](const daemon_view& aView) { return aView.mPhase; }));
  rows.push_back(MakeRow(
    aViews, "incarnation", false, [](const daemon_view& aView) { return aView.mIncarnation; }));
  rows.push_back(MakeRow(aViews, "view confirmed", true, [](const daemon_view& aView) {
    return std::string(aView.mConfirmed ? "yes" : "no");
  }));
  for (const char* table : { "routes", "pools", "vms" }) {
    rows.push_back(
      MakeRow(aViews, std::string("revision of ") + table, true, [table](const daemon_view& aView) {
        auto found = aView.mRevisions.find(table);
        return std::to_string(found == aView.mRevisions.end() ? 0 : found->second);
      }));
  }
  rows.push_back(MakeRow(aViews, "closed zones", true, [](const daemon_view& aView) {
    return Join(aView.mClosedZones);
  }));
  rows.push_back(MakeRow(aViews, "quarantined", true, [](const daemon_view& aView) {
    std::set<std::string> quarantined;
    for (const auto& [fingerprint, level] : aView.mSuspects) {
      if (level == "quarantined") {
        quarantined.insert(fingerprint);
      }
    }
    return Join(quarantined);
  }));
  AddMembers(aViews, rows);
  AddServers(aViews, rows);
  return rows;
}

bool HasDifferences(const std::vector<view_row>& aRows)
{
  return std::any_of(
    aRows.begin(), aRows.end(), [](const view_row& aRow) { return aRow.mDiffers; });
}

std::string FormatRows(const std::vector<view_row>& aRows, bool aUseColor)
{
  std::size_t first = 0;
  std::vector<std::size_t> widths;
  for (const view_row& row : aRows) {
    first = std::max(first, row.mName.size());
    widths.resize(std::max(widths.size(), row.mValues.size()));
    for (std::size_t i = 0; i < row.mValues.size(); ++i) {
      widths[i] = std::max(widths[i], row.mValues[i].size());
    }
  }
  std::string text;
  for (const view_row& row : aRows) {
    bool highlight = row.mDiffers && aUseColor;
    std::string line = row.mDiffers ? "! " : "  ";
    line += row.mName + std::string(first - row.mName.size(), ' ');
    for (std::size_t i = 0; i < row.mValues.size(); ++i) {
      line += "  " + row.mValues[i] + std::string(widths[i] - row.mValues[i].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += (highlight ? "\x1b[7m" : "") + line + (highlight ? "\x1b[0m" : "") + "\n";
  }
  return text;
}

std::string FormatLimits(const std::vector<view_reply>& aViews)
{
  std::vector<view_row> rows{ { "server", { "permits held by", "stage", "waiting" }, false } };
  for (const std::string& server : ServerNames(aViews)) {
    std::set<std::string> holders;
    std::set<std::string> stages;
    std::uint64_t waiting = 0;
    for (const view_reply& each : aViews) {
      if (!each.mView) {
        continue;
      }
      if (std::string held = Holders(*each.mView, server); !held.empty()) {
        holders.insert(held);
      }
      auto found = each.mView->mServers.find(server);
      if (found != each.mView->mServers.end()) {
        stages.insert(std::to_string(found->second.mStage));
        waiting += found->second.mQueue;
      }
    }
    rows.push_back(
      { server, { Join(holders), Join(stages), std::to_string(waiting) }, holders.size() > 1 });
  }
  return FormatRows(rows, false);
}

std::string RowsToJson(const std::vector<view_row>& aRows)
{
  json::array rows;
  for (const view_row& row : aRows) {
    rows.push_back(json::object{ { "name", row.mName },
                                 { "values", json::value_from(row.mValues) },
                                 { "differs", row.mDiffers } });
  }
  return json::serialize(rows);
}

} // namespace redwingdock::ctl
