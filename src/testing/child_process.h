#ifndef REDWINGDOCK_TESTING_CHILD_PROCESS_H
#define REDWINGDOCK_TESTING_CHILD_PROCESS_H

#include "base/time.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

// Programs as child processes, for tests.
//
//   child_process daemon({ "redwingdockd", "--settings", file });
//   daemon.Signal(SIGTERM);
//   EXPECT_EQ(daemon.WaitForEnd(std::chrono::seconds(10)), (process_end{ 0, 0 }));

namespace redwingdock::testing_support {

// How a process ended.
struct process_end
{
  int mStatus = 0; // exit status
  int mSignal = 0; // the signal that ended it, 0 for an exit

  auto operator<=>(const process_end&) const = default;
};

// A program whose standard output is a pipe. The destructor kills it if it still runs.
class child_process
{
public:
  // Starts with default signal handling, whatever the test has inherited.
  explicit child_process(std::vector<std::string> aCommand);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  pid_t Id() const { return mPid; }
  void Signal(int aSignal) const;
  // Closes the reading end of the pipe.
  void CloseOutput();
  // Reads the output until it contains the text; false at the end of the output or the time limit.
  bool WaitForOutput(const std::string& aText, micros aLimit);
  // Gives the pipe its smallest size, which is returned.
  std::size_t ShrinkOutput();
  // Bytes that the program has written and the test has not read.
  std::size_t UnreadOutput() const;
  // Nullopt if the process still runs after the time limit.
  std::optional<process_end> WaitForEnd(micros aLimit);

private:
  pid_t mPid = -1;
  int mOutput = -1;
  std::string mText;
  std::optional<process_end> mEnd;
};

} // namespace redwingdock::testing_support

#endif
