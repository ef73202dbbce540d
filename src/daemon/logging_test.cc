#include "daemon/logging.h"

#include "base/process_signals.h"

#include <array>
#include <chrono>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <future>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

namespace redwingdock {
namespace {

constexpr std::chrono::seconds kDeadline{ 10 };
constexpr int kLines = 100;

// A named pipe as the file of the log.
class log_pipe
{
public:
  log_pipe()
  {
    std::string folder = testing::TempDir() + "logging_test_XXXXXX";
    EXPECT_NE(mkdtemp(folder.data()), nullptr);
    mFolder = folder;
    EXPECT_EQ(mkfifo(Path().c_str(), 0600), 0);
    OpenReader();
    fcntl(mReader, F_SETPIPE_SZ, 1); // becomes the smallest size
  }
  ~log_pipe()
  {
    CloseReader();
    std::filesystem::remove_all(mFolder);
  }
  log_pipe(const log_pipe&) = delete;
  log_pipe& operator=(const log_pipe&) = delete;

  std::string Path() const { return mFolder / "log"; }
  void OpenReader() { mReader = open(Path().c_str(), O_RDONLY | O_NONBLOCK); }
  void CloseReader() { close(mReader); }

  // The time limit is for each piece of the text.
  std::string ReadUntil(const std::string& aText,
                        std::chrono::milliseconds aLimit = kDeadline) const
  {
    std::string text;
    std::array<char, 4096> buffer{};
    while (text.find(aText) == std::string::npos) {
      pollfd readable{ mReader, POLLIN, 0 };
      if (poll(&readable, 1, static_cast<int>(aLimit.count())) <= 0) {
        return text;
      }
      const ssize_t count = read(mReader, buffer.data(), buffer.size());
      if (count <= 0) {
        return text;
      }
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

private:
  std::filesystem::path mFolder;
  int mReader = -1;
};

struct reader_row
{
  const char* mGuardsAgainst;
  bool mGone;
  bool mFlushed;
  std::uint64_t mLost;
  const char* mNextLine; // after the reader is back
};

class log_reader_test : public testing::TestWithParam<reader_row>
{};

TEST_P(log_reader_test, LinesAreWrittenOrCounted)
{
  IgnoreBrokenPipes();
  log_pipe pipe;
  ASSERT_TRUE(StartLogging(log_threshold::Info, pipe.Path()));
  Log({ log_level::Info, "test", "first" });
  EXPECT_TRUE(FlushLog(kDeadline));
  EXPECT_NE(pipe.ReadUntil("first\n").find("info test: first\n"), std::string::npos);
  if (GetParam().mGone) {
    pipe.CloseReader();
  }
  for (int i = 0; i < kLines; ++i) {
    Log({ log_level::Info, "test", "lost unless there is a reader " + std::string(60, '.') });
  }
  EXPECT_EQ(FlushLog(GetParam().mFlushed ? kDeadline : std::chrono::seconds(0)),
            GetParam().mFlushed)
    << GetParam().mGuardsAgainst;
  EXPECT_EQ(LostLogLines(), GetParam().mLost) << GetParam().mGuardsAgainst;
  if (GetParam().mGone) {
    pipe.OpenReader();
  }
  Log({ log_level::Info, "test", "last" });
  const std::string text = pipe.ReadUntil("last\n");
  EXPECT_NE(text.find(GetParam().mNextLine), std::string::npos) << text;
  EXPECT_TRUE(FlushLog(kDeadline));
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  log_reader_test,
  testing::Values(
    reader_row{ "lines that are lost without a count", true, true, kLines, "count=100\n" },
    reader_row{ "a flush that waits for a reader that stalls",
                false,
                false,
                0,
                "info test: lost" }));

// Guards against a process that ends without the count of the lines that it omitted in its last
// second.
TEST(logging_test, FlushReportsOmittedLines)
{
  constexpr int kTooMany = 2500; // more than are written in two seconds
  log_pipe pipe;
  ASSERT_TRUE(StartLogging(log_threshold::Info, pipe.Path()));
  auto text = std::async(std::launch::async, [&] { return pipe.ReadUntil("lines_omitted"); });
  for (int i = 0; i < kTooMany; ++i) {
    Log({ log_level::Info, "test", "line" });
  }
  FlushLog(kDeadline);
  EXPECT_NE(text.get().find("lines_omitted"), std::string::npos);
  // The other tests need lines in the second that this one has used up.
  for (bool admitted = false; !admitted;) {
    Log({ log_level::Info, "test", "admitted" });
    admitted = pipe.ReadUntil("admitted", std::chrono::milliseconds(50)).find("admitted") !=
               std::string::npos;
  }
}

TEST(logging, LinesOfAStopAreWrittenBesideThoseOfManyRequests)
{
  // Guards against a stop under load whose own lines exceed the limit of lines per second.
  constexpr int kMoreThanTheLimit = 1500;
  const std::string path = testing::TempDir() + "logging_test_stop.log";
  std::filesystem::remove(path);
  ASSERT_TRUE(StartLogging(log_threshold::Info, path));
  for (int i = 0; i < kMoreThanTheLimit; ++i) {
    Log({ log_level::Info, "forward", "answered" });
  }
  EXPECT_TRUE(FlushLog(kDeadline));
  Log({ log_level::Info, "entry", "event=stop_done" });
  EXPECT_TRUE(FlushLog(kDeadline));
  std::ifstream file(path);
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  EXPECT_NE(text.find("info entry: event=stop_done\n"), std::string::npos);
}

} // namespace
} // namespace redwingdock
