#include "platform/stop_report.h"

#include "base/log_text.h"

#include <string>

namespace redwingdock::platform {

namespace {

constexpr char kComponent[] = "entry";

struct open_totals
{
  std::size_t mUnanswered = 0;
  std::size_t mPartlyRead = 0;
  std::size_t mUnsentReplies = 0;
  std::size_t mUnsentBytes = 0;
};

std::vector<std::string> DescribeOpen(const unfinished_connection& aOpen, instant aNow)
{
  std::vector<std::string> texts;
  if (aOpen.mUnanswered) {
    texts.push_back("event=request_unanswered request=" + Quoted(aOpen.mRequest) +
                    " pipelined_bytes=" + std::to_string(aOpen.mPipelinedBytes));
  }
  for (const unsent_reply& each : aOpen.mUnsentReplies) {
    texts.push_back("event=reply_unsent request=" + Quoted(each.mRequest) +
                    " unsent_bytes=" + std::to_string(each.mBytes) +
                    " handed_ms_ago=" + MsText(aNow - each.mHandedAt));
  }
  if (aOpen.mPartlyRead) {
    texts.emplace_back("event=request_partly_read");
  }
  return texts;
}

open_totals Total(const std::vector<unfinished_connection>& aOpen)
{
  open_totals total;
  for (const unfinished_connection& each : aOpen) {
    total.mUnanswered += each.mUnanswered ? 1 : 0;
    total.mPartlyRead += each.mPartlyRead ? 1 : 0;
    total.mUnsentReplies += each.mUnsentReplies.size();
    for (const unsent_reply& reply : each.mUnsentReplies) {
      total.mUnsentBytes += reply.mBytes;
    }
  }
  return total;
}

} // namespace

log_line StopSignalLine(std::size_t aNumber)
{
  return { log_level::Info,
           kComponent,
           "event=stop_signal number=" + std::to_string(aNumber) +
             " ignored=" + (aNumber > 1 ? "yes" : "no") };
}

std::vector<log_line> StopReport(const stop_summary& aSummary,
                                 const std::vector<unfinished_connection>& aOpen,
                                 instant aNow)
{
  std::vector<log_line> lines;
  std::size_t omitted = 0;
  for (const unfinished_connection& each : aOpen) {
    for (std::string& text : DescribeOpen(each, aNow)) {
      if (lines.size() < kMaxOpenLines) {
        lines.push_back({ log_level::Warning, kComponent, std::move(text) });
      } else {
        ++omitted;
      }
    }
  }
  if (omitted > 0) {
    lines.push_back({ log_level::Warning,
                      kComponent,
                      "event=open_lines_omitted count=" + std::to_string(omitted) });
  }
  const open_totals total = Total(aOpen);
  lines.push_back({ aOpen.empty() ? log_level::Info : log_level::Warning,
                    kComponent,
                    std::string("event=process_end reason=") +
                      (aSummary.mTimeLimit ? "time_limit" : "clients_closed") +
                      " after_signal_ms=" + MsText(aSummary.mAfterSignal) +
                      " connections=" + std::to_string(aSummary.mConnections) +
                      " unanswered=" + std::to_string(total.mUnanswered) +
                      " partly_read=" + std::to_string(total.mPartlyRead) +
                      " unsent_replies=" + std::to_string(total.mUnsentReplies) +
                      " unsent_bytes=" + std::to_string(total.mUnsentBytes) });
  return lines;
}

} // namespace redwingdock::platform
