#include "base/command_line.h"
#include "base/url.h"
#include "ctl/answer_text.h"
#include "ctl/daemon_view.h"
#include "ctl/log_trace.h"
#include "ctl/table_check.h"
#include "ctl/terminal.h"
#include "settings/settings.h"
#include "tables/parse.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <future>
#include <iostream>

namespace {

constexpr char kUsage[] = R"(Shows and controls the daemons of a query tier.

Usage:
  redwingdockctl check [--settings FILE]... [--routes FILE --pools FILE] [--vms FILE] [--json]
  redwingdockctl entry --daemon ADDRESS... [--caller ID] [--zone ZONE] [--json]
  redwingdockctl query ROUTE --daemon ADDRESS... [--filter FIELD=VALUE]... [--caller ID]
                 [--zone ZONE] [--urgency URGENCY] [--deadline MS] [--submit] [--json]
  redwingdockctl coverage ROUTE... --daemon ADDRESS... [--caller ID] [--zone ZONE] [--json]
  redwingdockctl view --operator ADDRESS... [--json]
  redwingdockctl limits --operator ADDRESS... [--json]
  redwingdockctl explain ROUTE ID --operator ADDRESS... [--json]
  redwingdockctl trace ID --log FILE...
  redwingdockctl watch --operator ADDRESS... [--count N] [--json]
  redwingdockctl drain --operator ADDRESS... [--json]
  redwingdockctl stop --operator ADDRESS... [--wait SECONDS] [--json]
  redwingdockctl completion
  redwingdockctl (-h | --help | --version)

Commands:
  check       Checks settings and tables without a daemon, and warns of probable mistakes.
  entry       Shows which VM a caller should use.
  query       Sends one search or submit.
  coverage    Searches each route for a record that does not exist, and shows the coverage.
  view        Shows the views of all daemons side by side; differences are marked with "!".
  limits      Shows permit holders, stage and waiting requests of each server.
  explain     Shows whether each daemon can reach the servers that own a record, and why.
  trace       Shows the log lines of one forwarded request in order and the cause of its outcome.
  watch       Shows the view every second, until q or Ctrl-C is pressed or N times.
  drain       Tells daemons to drain and stop, and returns at once.
  stop        Like drain, but waits until the daemons have exited.
  completion  Prints a completion script for Bash.

Options:
  --settings FILE       Settings file of a daemon.
  --routes FILE         Routes table; requires --pools.
  --pools FILE          Pools table.
  --vms FILE            VM list.
  --daemon ADDRESS      Caller address of a daemon, ip:port; one reachable daemon is enough.
  --operator ADDRESS    Operator address of a daemon, ip:port; repeat for all daemons.
  --log FILE            Log file of a daemon; "-" for standard input.
  --caller ID           Name of the caller [default: redwingdockctl].
  --zone ZONE           Zone of the caller.
  --filter FIELD=VALUE  Field value that records must have.
  --urgency URGENCY     urgent, normal or background; the route's if not given.
  --deadline MS         1 to 5000; the route's if not given.
  --submit              Sends a submit with a new request key instead of a search.
  --count N             Number of updates to show.
  --wait SECONDS        Maximum time to wait for each daemon to exit [default: 60].
  --json                Prints JSON instead of text.

Exit codes: 0 ok, 1 partial answer or difference found, 64 usage error, 65 invalid data,
69 unreachable, 75 not run (may be retried), 76 unknown outcome.
)";

using namespace redwingdock;
using namespace redwingdock::ctl;

int Fail(const parsed_arguments& aArguments, const reason& aReason, int aCode)
{
  if (aArguments.Has("--json")) {
    std::cout << ReasonToJson(aReason) << '\n';
  } else {
    std::cerr << Describe(aReason) << '\n';
  }
  return aCode;
}

template<typename T>
std::optional<T> CheckFile(const std::string& aPath,
                           result<T> (*aParse)(const std::string&, const std::string&),
                           std::vector<std::string>& aErrors)
{
  result<std::string> text = ReadFile(aPath);
  result<T> parsed = text ? aParse(*text, aPath) : result<T>{ std::nullopt, text.mReason };
  if (!parsed) {
    aErrors.push_back(Describe(parsed.mReason));
  }
  return parsed.mValue;
}

int Check(const parsed_arguments& aArguments)
{
  std::vector<std::string> errors;
  std::vector<std::string> warnings;
  for (const std::string& path : aArguments.List("--settings")) {
    CheckFile(path, ParseSettings, errors);
  }
  std::optional<vm_list> vms;
  if (aArguments.Has("--vms")) {
    vms = CheckFile(aArguments.Text("--vms"), ParseVmList, errors);
  }
  if (aArguments.Has("--routes")) {
    auto routes = CheckFile(aArguments.Text("--routes"), ParseRoutes, errors);
    auto pools = CheckFile(aArguments.Text("--pools"), ParsePools, errors);
    if (routes && pools) {
      if (auto why = CheckConsistency(*routes, *pools)) {
        errors.push_back(Describe(*why));
      }
      warnings = TableWarnings(*routes, *pools, vms ? &*vms : nullptr);
    }
  }
  if (aArguments.Has("--json")) {
    std::cout << ChecksToJson(errors, warnings) << '\n';
  } else {
    for (const std::string& each : errors) {
      std::cout << "error: " << each << '\n';
    }
    for (const std::string& each : warnings) {
      std::cout << "warning: " << each << '\n';
    }
    std::cout << (errors.empty() ? "ok" : "rejected") << '\n';
  }
  return errors.empty() ? kExitOk : kExitBadData;
}

client_config ClientConfig(const parsed_arguments& aArguments)
{
  return { .mDaemons = aArguments.List("--daemon"), .mZone = aArguments.Text("--zone") };
}

int Entry(const parsed_arguments& aArguments)
{
  client queryClient(ClientConfig(aArguments));
  result<entry_answer> entry = queryClient.Entry(aArguments.Text("--caller"));
  if (!entry) {
    return Fail(aArguments, entry.mReason, kExitUnreachable);
  }
  if (aArguments.Has("--json")) {
    std::cout << EntryToJson(*entry) << '\n';
  } else {
    std::cout << entry->mVm << " at " << entry->mAddress << " for " << ToMs(entry->mLifetime)
              << " ms, key prefix " << entry->mKeyPrefix << '\n';
  }
  return kExitOk;
}

std::optional<std::uint64_t> Integer(const std::string& aText,
                                     std::uint64_t aMin,
                                     std::uint64_t aMax)
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  auto [rest, error] = std::from_chars(aText.data(), end, value);
  if (error != std::errc() || rest != end || value < aMin || value > aMax) {
    return std::nullopt;
  }
  return value;
}

int BadOption(const char* aName, const std::string& aFound, const char* aAllowed)
{
  std::cerr << aName << ": found \"" << aFound << "\", allowed: " << aAllowed << '\n';
  return kExitUsage;
}

// Fills the request from the options. Returns the exit code if an option is invalid.
std::optional<int> ReadRequest(const parsed_arguments& aArguments, query_request& aRequest)
{
  static const std::map<std::string, urgency> kUrgencies{ { "urgent", urgency::Urgent },
                                                          { "normal", urgency::Normal },
                                                          { "background", urgency::Background } };
  aRequest.mCaller = aArguments.Text("--caller");
  for (const std::string& each : aArguments.List("--filter")) {
    std::size_t equals = each.find('=');
    if (equals == std::string::npos || equals == 0) {
      return BadOption("--filter", each, "FIELD=VALUE");
    }
    aRequest.mFilter[each.substr(0, equals)] = each.substr(equals + 1);
  }
  if (aArguments.Has("--urgency")) {
    auto found = kUrgencies.find(aArguments.Text("--urgency"));
    if (found == kUrgencies.end()) {
      return BadOption("--urgency", aArguments.Text("--urgency"), "urgent, normal or background");
    }
    aRequest.mUrgency = found->second;
  }
  if (aArguments.Has("--deadline")) {
    std::optional<std::uint64_t> deadline = Integer(aArguments.Text("--deadline"), 1, 5000);
    if (!deadline) {
      return BadOption("--deadline", aArguments.Text("--deadline"), "1 to 5000");
    }
    aRequest.mDeadline = std::chrono::milliseconds(*deadline);
  }
  return std::nullopt;
}

// Exit code of a call: "unreachable" if no VM received the request, and "not run" if a VM refused
// it.
int CallExitCode(const call_result& aResult)
{
  bool sent = !aResult.mAddress.empty() && aResult.mAnswer.mReason.mStep != "request entry VM";
  return aResult.mAnswer.mOutcome == outcome::NotRun && !sent ? kExitUnreachable
                                                              : ExitCode(aResult.mAnswer.mOutcome);
}

int Query(const parsed_arguments& aArguments)
{
  query_request request;
  if (auto exitCode = ReadRequest(aArguments, request)) {
    return *exitCode;
  }
  request.mRoute = aArguments.Text("ROUTE");
  client queryClient(ClientConfig(aArguments));
  call_result callResult =
    aArguments.Has("--submit") ? queryClient.Submit(request) : queryClient.Query(request);
  std::cout << (aArguments.Has("--json") ? CallToJson(callResult) + "\n" : FormatCall(callResult));
  return CallExitCode(callResult);
}

int Coverage(const parsed_arguments& aArguments)
{
  client queryClient(ClientConfig(aArguments));
  int code = kExitOk;
  std::string all;
  for (const std::string& route : aArguments.List("ROUTE")) {
    call_result callResult = queryClient.Query({ .mRoute = route,
                                                 .mCaller = aArguments.Text("--caller"),
                                                 .mFilter = { { "id", "no-such-record" } } });
    code = std::max(code, CallExitCode(callResult));
    if (aArguments.Has("--json")) {
      all += (all.empty() ? "" : ",") + CallToJson(callResult);
    } else {
      all += route + ": " + FormatCall(callResult);
    }
  }
  std::cout << (aArguments.Has("--json") ? "[" + all + "]\n" : all);
  return code;
}

// Sends the request to all addresses in parallel. Returns the replies in the order of addresses.
std::vector<http_reply> SendToAll(http_client& aHttp,
                                  const std::vector<std::string>& aAddresses,
                                  const std::string& aMethod,
                                  const std::string& aTarget)
{
  std::vector<std::promise<http_reply>> replies(aAddresses.size());
  for (std::size_t i = 0; i < aAddresses.size(); ++i) {
    aHttp.Send({ .mAddress = aAddresses[i], .mMethod = aMethod, .mTarget = aTarget },
               [&replies, i](const http_reply& aReply) { replies[i].set_value(aReply); });
  }
  std::vector<http_reply> all;
  all.reserve(replies.size());
  for (std::promise<http_reply>& each : replies) {
    all.push_back(each.get_future().get());
  }
  return all;
}

std::vector<view_reply> FetchViews(http_client& aHttp, const std::vector<std::string>& aAddresses)
{
  std::vector<view_reply> views;
  std::vector<http_reply> replies = SendToAll(aHttp, aAddresses, "GET", "/v1/view");
  for (std::size_t i = 0; i < aAddresses.size(); ++i) {
    views.push_back({ aAddresses[i],
                      replies[i].Ok() ? ParseView(replies[i].mBody, aAddresses[i])
                                      : result<daemon_view>{ std::nullopt, replies[i].mReason } });
  }
  return views;
}

int ViewExitCode(const std::vector<view_reply>& aViews, const std::vector<view_row>& aRows)
{
  bool any = std::any_of(aViews.begin(), aViews.end(), [](const view_reply& aView) {
    return static_cast<bool>(aView.mView);
  });
  return !any ? kExitUnreachable : HasDifferences(aRows) ? kExitDifference : kExitOk;
}

int View(const parsed_arguments& aArguments)
{
  http_client http(1);
  std::vector<view_reply> views = FetchViews(http, aArguments.List("--operator"));
  std::vector<view_row> rows = CompareViews(views);
  if (aArguments.Has("--json")) {
    std::cout << RowsToJson(rows) << '\n';
  } else if (aArguments.Has("limits")) {
    std::cout << FormatLimits(views);
  } else {
    std::cout << FormatRows(rows, OutputIsTerminal());
  }
  return ViewExitCode(views, rows);
}

int Watch(const parsed_arguments& aArguments)
{
  std::optional<std::uint64_t> count;
  if (aArguments.Has("--count")) {
    count = Integer(aArguments.Text("--count"), 1, 1'000'000'000);
    if (!count) {
      return BadOption("--count", aArguments.Text("--count"), "a whole number from 1");
    }
  }
  terminal screen; // must precede the threads of the HTTP client, which inherit the blocked signals
  http_client http(1);
  int code = kExitOk;
  for (std::uint64_t drawn = 0;;) {
    std::vector<view_reply> views = FetchViews(http, aArguments.List("--operator"));
    std::vector<view_row> rows = CompareViews(views);
    code = ViewExitCode(views, rows);
    if (aArguments.Has("--json")) {
      std::cout << RowsToJson(rows) << std::endl;
    } else {
      // Moves the cursor to the top left and erases the screen instead of scrolling, so that the
      // terminal does not flicker.
      std::cout << (OutputIsTerminal() ? "\x1b[H\x1b[J" : "")
                << FormatRows(rows, OutputIsTerminal()) << std::endl;
    }
    ++drawn;
    if ((count && drawn >= *count) || screen.WaitForQuit(std::chrono::seconds(1))) {
      return code;
    }
  }
}

int Trace(const parsed_arguments& aArguments)
{
  const std::string id = aArguments.Text("ID");
  std::vector<trace_line> lines;
  for (const std::string& file : aArguments.List("--log")) {
    std::ifstream opened;
    if (file != "-") {
      opened.open(file);
      if (!opened) {
        return Fail(aArguments, { "read log", file, "cannot be opened" }, kExitBadData);
      }
    }
    std::vector<trace_line> found = ReadRequestLines(file == "-" ? std::cin : opened, file, id);
    lines.insert(lines.end(), found.begin(), found.end());
  }
  std::stable_sort(lines.begin(), lines.end(), [](const auto& aOne, const auto& aOther) {
    return aOne.mTime < aOther.mTime;
  });
  for (const trace_line& line : lines) {
    std::cout << line.mTime << ' ' << line.mSource << ' ' << line.mText << '\n';
  }
  std::cout << "cause: " << DetermineCause(lines) << '\n';
  return lines.empty() ? kExitDifference : kExitOk;
}

int Explain(const parsed_arguments& aArguments)
{
  http_client http(1);
  std::vector<std::string> addresses = aArguments.List("--operator");
  std::vector<http_reply> replies =
    SendToAll(http,
              addresses,
              "GET",
              "/v1/explain?route=" + UrlEncode(aArguments.Text("ROUTE")) +
                "&id=" + UrlEncode(aArguments.Text("ID")));
  int code = kExitUnreachable;
  std::string all;
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    const http_reply& reply = replies[i];
    if (reply.mFailure != http_failure::None) {
      std::cerr << Describe(reply.mReason) << '\n';
      continue;
    }
    code = reply.Ok() ? (code == kExitBadData ? code : kExitOk) : kExitBadData;
    if (aArguments.Has("--json")) {
      all += (all.empty() ? "" : ",") + reply.mBody;
    } else {
      all += addresses[i] + ": " + PrettyJson(reply.mBody) + "\n";
    }
  }
  std::cout << (aArguments.Has("--json") ? "[" + all + "]\n" : all);
  return code;
}

// Polls the daemon until it refuses connections. Returns whether it did so within aTime.
bool WaitForEnd(http_client& aHttp, const std::string& aAddress, micros aTime)
{
  terminal keyboard;
  for (instant until = Now() + aTime; Now() < until;) {
    http_reply reply =
      aHttp.SendAndWait({ .mAddress = aAddress, .mTarget = "/v1/view", .mNewConnection = true });
    if (reply.mFailure == http_failure::NotConnected) {
      return true;
    }
    if (keyboard.WaitForQuit(std::chrono::milliseconds(200))) {
      return false;
    }
  }
  return false;
}

int Stop(const parsed_arguments& aArguments)
{
  std::optional<std::uint64_t> wait = Integer(aArguments.Text("--wait"), 0, 86'400);
  if (!wait) {
    return BadOption("--wait", aArguments.Text("--wait"), "0 to 86400 seconds");
  }
  http_client http(1);
  std::vector<std::string> addresses = aArguments.List("--operator");
  std::vector<http_reply> replies = SendToAll(http, addresses, "POST", "/v1/stop");
  std::vector<std::string> errors;
  bool reached = false;
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    bool accepted = replies[i].mFailure == http_failure::None && replies[i].mStatus / 100 == 2;
    reached = reached || accepted;
    if (!accepted) {
      errors.push_back(replies[i].mFailure == http_failure::None
                         ? addresses[i] + ": " + replies[i].mBody
                         : Describe(replies[i].mReason));
    } else if (aArguments.Has("stop") &&
               !WaitForEnd(http, addresses[i], std::chrono::seconds(*wait))) {
      errors.push_back(addresses[i] + ": still running after " + std::to_string(*wait) + " s");
    }
  }
  if (aArguments.Has("--json")) {
    std::cout << ChecksToJson(errors, {}) << '\n';
  } else {
    for (const std::string& each : errors) {
      std::cerr << each << '\n';
    }
  }
  return errors.empty() ? kExitOk : reached ? kExitDifference : kExitUnreachable;
}

struct command
{
  const char* mName;
  int (*mRun)(const parsed_arguments&);
};

constexpr command kCommands[] = {
  { "check", Check }, { "entry", Entry }, { "query", Query }, { "coverage", Coverage },
  { "view", View },   { "limits", View }, { "watch", Watch }, { "explain", Explain },
  { "trace", Trace }, { "drain", Stop },  { "stop", Stop }
};

} // namespace

int main(int aCount, char** aArguments)
{
  parsed_arguments arguments = ParseArguments(kUsage, aCount, aArguments);
  if (arguments.mExitCode) {
    return *arguments.mExitCode;
  }
  for (const command& each : kCommands) {
    if (arguments.Has(each.mName)) {
      return each.mRun(arguments);
    }
  }
  std::cout << BashCompletion();
  return kExitOk;
}
