#include "daemon/logging.h"

#include "daemon/line_limiter.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <mutex>
#include <spdlog/async_logger.h>
#include <spdlog/details/thread_pool.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <utility>

namespace redwingdock {

namespace {

// Lines queued for the log file. When the file or pipe stalls, the oldest lines are discarded
// instead of blocking requests.
constexpr std::size_t kMaxQueuedLines = 1024;
constexpr std::uint32_t kMaxLinesPerSecond = 1000;

std::shared_ptr<spdlog::logger> MakeLogger(spdlog::sink_ptr aSink)
{
  static const auto kWriter = std::make_shared<spdlog::details::thread_pool>(kMaxQueuedLines, 1);
  auto made = std::make_shared<spdlog::async_logger>(
    "redwingdock", std::move(aSink), kWriter, spdlog::async_overflow_policy::overrun_oldest);
  made->set_formatter(std::make_unique<spdlog::pattern_formatter>("%Y-%m-%dT%H:%M:%S.%eZ %l %v",
                                                                  spdlog::pattern_time_type::utc));
  return made;
}

// StartLogging replaces it before other threads start.
std::shared_ptr<spdlog::logger>& Logger()
{
  static std::shared_ptr<spdlog::logger> logger =
    MakeLogger(std::make_shared<spdlog::sinks::stdout_sink_mt>());
  return logger;
}

spdlog::level::level_enum LevelOf(log_level aLevel)
{
  return aLevel == log_level::Warning ? spdlog::level::warn : spdlog::level::info;
}

spdlog::level::level_enum LevelOf(log_threshold aThreshold)
{
  switch (aThreshold) {
    case log_threshold::Debug:
      return spdlog::level::debug;
    case log_threshold::Info:
      return spdlog::level::info;
    case log_threshold::Warning:
      return spdlog::level::warn;
    case log_threshold::Error:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

} // namespace

result<bool> StartLogging(log_threshold aThreshold, const std::string& aFile)
{
  if (aFile != "-") {
    try {
      Logger() = MakeLogger(std::make_shared<spdlog::sinks::basic_file_sink_mt>(aFile));
    } catch (const spdlog::spdlog_ex& error) {
      return Failure<bool>("open log", aFile, error.what());
    }
  }
  // Every line is flushed, so that the last lines survive when the daemon is killed.
  Logger()->flush_on(spdlog::level::debug);
  Logger()->set_level(LevelOf(aThreshold));
  return Success(true);
}

std::string FormatLine(const log_line& aLine)
{
  std::string text = aLine.mText;
  std::replace_if(
    text.begin(),
    text.end(),
    [](char aChar) { return static_cast<unsigned char>(aChar) < ' ' || aChar == '\x7f'; },
    '?');
  return std::string(aLine.mComponent) + ": " + text;
}

void Log(const log_line& aLine)
{
  static std::mutex lock;
  static line_limiter limiter{ kMaxLinesPerSecond };
  line_limiter::decision decision;
  {
    const std::lock_guard guard(lock);
    decision = limiter.Admit(std::chrono::steady_clock::now().time_since_epoch());
  }
  if (decision.mOmitted > 0) {
    Logger()->log(spdlog::level::warn,
                  "log: event=lines_omitted count=" + std::to_string(decision.mOmitted));
  }
  if (decision.mAdmitted) {
    Logger()->log(LevelOf(aLine.mLevel), FormatLine(aLine));
  }
}

} // namespace redwingdock
