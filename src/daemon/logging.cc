#include "daemon/logging.h"

#include <algorithm>
#include <memory>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <utility>

namespace redwingdock {

namespace {

std::shared_ptr<spdlog::logger> MakeLogger(spdlog::sink_ptr aSink)
{
  auto made = std::make_shared<spdlog::logger>("redwingdockd", std::move(aSink));
  made->set_formatter(std::make_unique<spdlog::pattern_formatter>("%Y-%m-%dT%H:%M:%S.%eZ %l %v",
                                                                  spdlog::pattern_time_type::utc));
  return made;
}

// Set by StartLogging before other threads start.
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
  // A daemon can be killed at any time; its last lines must have been written.
  Logger()->flush_on(spdlog::level::debug);
  Logger()->set_level(LevelOf(aThreshold));
  return Success(true);
}

std::string LineText(const log_line& aLine)
{
  std::string text = aLine.mText;
  std::replace_if(
    text.begin(),
    text.end(),
    [](char aChar) { return static_cast<unsigned char>(aChar) < ' ' || aChar == '\x7f'; },
    '?');
  return std::string(aLine.mPart) + ": " + text;
}

void Log(const log_line& aLine)
{
  Logger()->log(LevelOf(aLine.mLevel), LineText(aLine));
}

} // namespace redwingdock
