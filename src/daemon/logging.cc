#include "daemon/logging.h"

#include "daemon/line_limiter.h"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <poll.h>
#include <spdlog/async_logger.h>
#include <spdlog/details/thread_pool.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <string_view>
#include <unistd.h>
#include <utility>

namespace redwingdock {

namespace {

// Lines queued for the log file. When the file or pipe stalls, the oldest lines are discarded
// instead of blocking requests.
constexpr std::size_t kMaxQueuedLines = 1024;
constexpr std::uint32_t kMaxLinesPerSecond = 1000; // of a component

constexpr mode_t kLogFileMode = 0666; // less the umask

// Writes all bytes, and blocks while the reader stalls. Returns false when they cannot be written.
bool WriteAll(int aDescriptor, const char* aBytes, std::size_t aSize)
{
  while (aSize > 0) {
    const ssize_t written = ::write(aDescriptor, aBytes, aSize);
    if (written >= 0) {
      aBytes += written;
      aSize -= static_cast<std::size_t>(written);
    } else if (errno == EAGAIN) {
      pollfd writable{ aDescriptor, POLLOUT, 0 };
      ::poll(&writable, 1, -1);
    } else if (errno != EINTR) {
      return false;
    }
  }
  return true;
}

// Writes each line by itself: a buffer of the C library would be written again at exit, which could
// block. Lines that cannot be written are counted, and the count precedes the next line.
class line_sink : public spdlog::sinks::base_sink<std::mutex>
{
public:
  // aDiscarded returns the number of lines that were discarded before they reached the sink.
  line_sink(int aDescriptor, std::function<std::uint64_t()> aDiscarded)
    : mDescriptor(aDescriptor)
    , mDiscarded(std::move(aDiscarded))
  {
  }

  std::uint64_t LostLines() const
  {
    const std::lock_guard lock(mProgressLock);
    return mFailed + mDiscarded();
  }

  // Waits until that many lines have been written or lost.
  bool WaitForLines(std::uint64_t aLines, micros aLimit)
  {
    std::unique_lock lock(mProgressLock);
    return mProgress.wait_for(lock, aLimit, [&] { return mTaken + mDiscarded() >= aLines; });
  }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    const std::uint64_t lost = LostLines();
    bool written = true;
    if (lost > mReported) {
      const std::string text = "log: event=lines_lost count=" + std::to_string(lost - mReported);
      spdlog::details::log_msg report = aMessage;
      report.level = spdlog::level::warn;
      report.payload = text;
      written = Write(report);
      mReported = written ? lost : mReported;
    }
    written = written && Write(aMessage);
    const std::lock_guard lock(mProgressLock);
    ++mTaken;
    mFailed += written ? 0 : 1;
    mProgress.notify_all();
  }

  void flush_() override {}

private:
  bool Write(const spdlog::details::log_msg& aMessage)
  {
    spdlog::memory_buf_t text;
    formatter_->format(aMessage, text);
    return WriteAll(mDescriptor, text.data(), text.size());
  }

  const int mDescriptor;
  const std::function<std::uint64_t()> mDiscarded;
  std::uint64_t mReported = 0;

  mutable std::mutex mProgressLock;
  std::condition_variable mProgress;
  std::uint64_t mTaken = 0;  // lines that reached the sink
  std::uint64_t mFailed = 0; // of these, lines that could not be written
};

// A thread that writes the lines to a descriptor, and the queue before it.
class log_output
{
public:
  explicit log_output(int aDescriptor)
    : mWriter(std::make_shared<spdlog::details::thread_pool>(kMaxQueuedLines, 1))
    , mSink(std::make_shared<line_sink>(
        aDescriptor,
        [writer = mWriter.get()] { return std::uint64_t{ writer->overrun_counter() }; }))
    , mLogger(std::make_shared<spdlog::async_logger>("redwingdock",
                                                     mSink,
                                                     mWriter,
                                                     spdlog::async_overflow_policy::overrun_oldest))
  {
    mLogger->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      "%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc));
  }

  void SetLevel(spdlog::level::level_enum aLevel) { mLogger->set_level(aLevel); }

  void Write(spdlog::level::level_enum aLevel, const std::string& aText)
  {
    if (mLogger->should_log(aLevel)) {
      ++mLines;
      mLogger->log(aLevel, aText);
    }
  }

  bool Flush(micros aLimit) { return mSink->WaitForLines(mLines, aLimit); }
  std::uint64_t LostLines() const { return mSink->LostLines(); }

private:
  std::shared_ptr<spdlog::details::thread_pool> mWriter;
  std::shared_ptr<line_sink> mSink;
  std::shared_ptr<spdlog::async_logger> mLogger;
  std::atomic<std::uint64_t> mLines{ 0 };
};

// StartLogging replaces the output before other threads start. It is not destroyed at exit, because
// that would wait for its thread, which a reader that stalls can block for ever.
std::unique_ptr<log_output>& Output()
{
  static auto& output =
    *new std::unique_ptr<log_output>(std::make_unique<log_output>(STDOUT_FILENO));
  return output;
}

// A line_limiter for each component, for all threads. Lines about many requests then leave room for
// those of a planned stop.
class shared_limiter
{
public:
  line_limiter::decision Admit(std::string_view aComponent)
  {
    const std::lock_guard guard(mLock);
    const auto limiter = mLimiters.try_emplace(aComponent, kMaxLinesPerSecond).first;
    return limiter->second.Admit(std::chrono::steady_clock::now().time_since_epoch());
  }

  std::uint64_t TakeOmitted()
  {
    const std::lock_guard guard(mLock);
    std::uint64_t omitted = 0;
    for (auto& [component, limiter] : mLimiters) {
      omitted += limiter.TakeOmitted();
    }
    return omitted;
  }

private:
  std::mutex mLock;
  std::map<std::string_view, line_limiter> mLimiters; // components are string literals
};

shared_limiter& Limiter()
{
  static shared_limiter limiter;
  return limiter;
}

void ReportOmitted(std::uint64_t aLines)
{
  if (aLines > 0) {
    Output()->Write(spdlog::level::warn,
                    "log: event=lines_omitted count=" + std::to_string(aLines));
  }
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
    std::error_code ignored; // a folder that is missing makes the open fail
    std::filesystem::create_directories(std::filesystem::path(aFile).parent_path(), ignored);
    const int descriptor =
      ::open(aFile.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kLogFileMode);
    if (descriptor < 0) {
      return Failure<bool>("open log", aFile, std::strerror(errno));
    }
    Output() = std::make_unique<log_output>(descriptor);
  }
  Output()->SetLevel(LevelOf(aThreshold));
  return Success(true);
}

bool FlushLog(micros aLimit)
{
  ReportOmitted(Limiter().TakeOmitted());
  return Output()->Flush(aLimit);
}

std::uint64_t LostLogLines()
{
  return Output()->LostLines();
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
  const line_limiter::decision decision = Limiter().Admit(aLine.mComponent);
  ReportOmitted(decision.mOmitted);
  if (decision.mAdmitted) {
    Output()->Write(LevelOf(aLine.mLevel), FormatLine(aLine));
  }
}

} // namespace redwingdock
