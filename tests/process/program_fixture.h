#ifndef REDWINGDOCK_TESTS_PROCESS_PROGRAM_FIXTURE_H
#define REDWINGDOCK_TESTS_PROCESS_PROGRAM_FIXTURE_H

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <string>
#include <unistd.h>

// What tests of the programs as processes share.

namespace redwingdock {

// A loopback address of its own for each test process, so that tests can run at the same time.
inline std::string LoopbackIp()
{
  const int id = getpid();
  return "127." + std::to_string(2 + id / 62'500 % 60) + "." + std::to_string(1 + id / 250 % 250) +
         "." + std::to_string(1 + id % 250);
}

class temporary_folder
{
public:
  temporary_folder()
  {
    std::string path = testing::TempDir() + "redwingdock_test_XXXXXX";
    EXPECT_NE(mkdtemp(path.data()), nullptr);
    mPath = path;
  }
  ~temporary_folder() { std::filesystem::remove_all(mPath); }
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;

  std::string Write(const std::string& aName, const std::string& aText) const
  {
    std::ofstream(mPath / aName) << aText;
    return mPath / aName;
  }

private:
  std::filesystem::path mPath;
};

inline std::string Program(const std::string& aName)
{
  return std::string(REDWINGDOCK_BIN) + "/" + aName;
}

} // namespace redwingdock

#endif
