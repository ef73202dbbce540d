#include "platform/settings_reloader.h"

#include <cstdio>
#include <fstream>
#include <future>
#include <gtest/gtest.h>
#include <unistd.h>

namespace redwingdock::platform {
namespace {

// How the daemon learns that the file has changed.
enum class reload_trigger
{
  Signal,
  FileCheck, // by checking the file periodically
};

std::string Settings(const std::string& aSeeds, const std::string& aRest = "")
{
  return "vm: vm-1\nzone: zone-1\nlisten:\n  callers: \"127.0.0.1:1\"\n"
         "  readiness: \"127.0.0.1:2\"\n  addresses: \"127.0.0.1:3\"\n"
         "  peers: \"127.0.0.1:4\"\n  metrics: \"127.0.0.1:5\"\nstore: \"127.0.0.1:6\"\nseeds: [" +
         aSeeds + "]\n" + aRest;
}

struct reload_row
{
  const char* mGuardsAgainst;
  reload_trigger mTrigger;
  std::string mText;
  std::vector<std::string> mPeers; // in effect after the change
};

class reload_test : public testing::TestWithParam<reload_row>
{
public:
  reload_test()
    : mPath(testing::TempDir() + "settings_file_test." + std::to_string(getpid()) + ".yaml")
  {
  }

  ~reload_test() override { std::remove(mPath.c_str()); }

  void Write(const std::string& aText) const { std::ofstream(mPath) << aText; }

protected:
  const std::string mPath;
};

TEST_P(reload_test, AppliesOnlyValidSettings)
{
  const reload_row& row = GetParam();
  const std::string first = Settings("\"127.0.0.9:8106\"");
  Write(first);
  const result<edge_settings> settings = ParseEdgeSettings(first, mPath);
  ASSERT_TRUE(settings) << Describe(settings.mReason);
  io_loop loop(1);
  std::mutex lock;
  forward_config applied = settings->mCore.mForward;
  std::promise<void> changed;
  settings_reloader reloader(loop, mPath, *settings, [&](const forward_config& aNew) {
    const std::lock_guard locked(lock);
    applied = aNew;
    changed.set_value();
  });
  reloader.Start();
  loop.Start();
  Write(row.mText);
  if (row.mTrigger == reload_trigger::Signal) {
    reloader.Reload();
  } else {
    EXPECT_EQ(changed.get_future().wait_for(std::chrono::seconds(10)), std::future_status::ready)
      << row.mGuardsAgainst;
  }
  loop.Stop();
  EXPECT_EQ(applied.mPeers, row.mPeers) << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  reload_test,
  testing::Values(reload_row{ "new seeds take effect only at the next start",
                              reload_trigger::Signal,
                              Settings("\"127.0.0.8:8106\""),
                              { "127.0.0.8:4" } },
                  reload_row{ "a change without a signal is not noticed",
                              reload_trigger::FileCheck,
                              Settings("\"127.0.0.8:8106\""),
                              { "127.0.0.8:4" } },
                  reload_row{ "a partly written file replaces valid settings",
                              reload_trigger::Signal,
                              "vm: vm-1\nzone",
                              { "127.0.0.9:4" } },
                  reload_row{ "settings with an unknown key are applied",
                              reload_trigger::Signal,
                              Settings("\"127.0.0.8:8106\"", "colour: red\n"),
                              { "127.0.0.9:4" } },
                  reload_row{
                    "a setting that needs a restart prevents the others from being reloaded",
                    reload_trigger::Signal,
                    Settings("\"127.0.0.8:8106\"", "workers: 3\n"),
                    { "127.0.0.8:4" } }));

} // namespace
} // namespace redwingdock::platform
