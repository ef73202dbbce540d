#include "core/controller_facts.h"
#include "core/send.h"
#include "membership/membership_controller.h"

#include <gtest/gtest.h>

// Several processes that run under one VM name after each other: a daemon listens to the right one.

namespace redwingdock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart{ seconds(100) };

// The daemon of vm-1, which is listed with vm-2 and confirms its view by reads. kStart is its
// start.
class listed_daemon
{
public:
  listed_daemon()
    : mContext(Config(), 4)
  {
    mContext.Advance(kStart);
    AddMembershipController(mContext, {});
    const vm_list list{ 1,
                        { { "vm-1", "127.0.0.1:7101", "127.0.0.1:7001", "z" },
                          { "vm-2", "127.0.0.1:7102", "127.0.0.1:7002", "z" } } };
    mContext.mBoard.Write(kTablesKey, list);
    Read();
  }

  void RunUntil(micros aTime)
  {
    while (mContext.Now() < kStart + aTime) {
      mContext.Advance(std::min(mContext.Now() + milliseconds(500), kStart + aTime));
      Read();
    }
  }

  // Posts a probe of vm-2. Returns whether the answer confirms its view.
  bool Votes(const std::string& aIncarnation)
  {
    mContext.TakeCommands();
    Post(aIncarnation, probe_message{ 1, 1 });
    for (const command& each : mContext.TakeCommands()) {
      const auto* sent = std::get_if<send_to_peer>(&each);
      if (sent != nullptr && std::holds_alternative<probe_reply_message>(sent->mMessage)) {
        return std::get<probe_reply_message>(sent->mMessage).mListsYou;
      }
    }
    return false;
  }

private:
  static core_config Config()
  {
    core_config config;
    config.mVm = "vm-1";
    config.mIncarnation = "own";
    config.mAddress = "127.0.0.1:7101";
    return config;
  }

  void Read()
  {
    mContext.mBoard.Write(kTablesKey, vm_list_confirmation{ 1, mContext.Now() });
    mContext.mBoard.RunUntilIdle();
  }

  template<typename T>
  void Post(const std::string& aIncarnation, const T& aMessage)
  {
    mContext.mBoard.Post(kMembersKey, received<T>{ "vm-2", aIncarnation, aMessage });
    mContext.mBoard.RunUntilIdle();
  }

  core_context mContext;
};

struct arrival
{
  micros mAt{};
  const char* mIncarnation = ""; // of vm-2
};

struct vote_row
{
  const char* mGuardsAgainst;
  std::vector<arrival> mProbes;
  bool mVotes; // for the last one
};

class vote_test : public testing::TestWithParam<vote_row>
{};

TEST_P(vote_test, GoesToOneProcess)
{
  listed_daemon daemon;
  bool votes = false;
  for (const arrival& each : GetParam().mProbes) {
    daemon.RunUntil(each.mAt);
    votes = daemon.Votes(each.mIncarnation);
  }
  EXPECT_EQ(votes, GetParam().mVotes) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  vote_test,
  testing::Values(
    vote_row{ "a process that restarted is not confirmed",
              { { seconds(1), "first" }, { seconds(2), "second" } },
              true },
    vote_row{ "a process that was paused is confirmed beside its successor",
              { { seconds(1), "first" }, { seconds(2), "second" }, { seconds(11), "first" } },
              false },
    vote_row{ "a late message of an earlier process shuts out its successor for good",
              { { seconds(1), "second" }, { seconds(2), "first" }, { seconds(13), "second" } },
              true },
    vote_row{ "both of two processes that run under one name are confirmed",
              { { seconds(1), "first" },
                { seconds(2), "second" },
                { seconds(8), "second" },
                { seconds(13), "first" } },
              false }));

} // namespace
} // namespace redwingdock
