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

  void ViewFrom(const std::string& aIncarnation, const view_entry& aOther)
  {
    Post(aIncarnation, view_message{ { { "vm-2", aIncarnation, 1 }, aOther }, {} });
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

  bool UsesPermits() const
  {
    return mContext.mBoard.Read<member_view>(kMembersKey)->mConfirmedUntil > mContext.Now();
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

struct seen_entry
{
  micros mAt{};
  const char* mIncarnation = ""; // under which vm-2 knows this VM
  micros mAge{};
};

struct superseded_row
{
  const char* mGuardsAgainst;
  std::vector<seen_entry> mEntries;
  bool mUsesPermits; // 1 s after the last entry
};

class superseded_test : public testing::TestWithParam<superseded_row>
{};

TEST_P(superseded_test, StopsTheEarlierProcess)
{
  listed_daemon daemon;
  for (const seen_entry& each : GetParam().mEntries) {
    daemon.RunUntil(each.mAt);
    daemon.ViewFrom("peer", { "vm-1", each.mIncarnation, 1, 0, 0, false, each.mAge });
  }
  daemon.RunUntil(GetParam().mEntries.back().mAt + seconds(1));
  EXPECT_EQ(daemon.UsesPermits(), GetParam().mUsesPermits) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  superseded_test,
  testing::Values(
    superseded_row{ "the state of an earlier process that is still passed on stops its successor",
                    { { seconds(8), "earlier", seconds(1) } },
                    true },
    superseded_row{ "two processes under one name use permits",
                    { { seconds(15), "later", seconds(1) } },
                    false },
    superseded_row{ "a process that was paused uses permits while peers still report it",
                    { { seconds(15), "later", seconds(1) }, { seconds(20), "own", seconds(0) } },
                    false },
    superseded_row{
      "a daemon that was suspended stops the successor of a process for good, because "
      "it reports the age of what it knows too low",
      { { seconds(15), "earlier", seconds(1) }, { seconds(26), "own", seconds(1) } },
      true },
    superseded_row{ "a process that is cut off from its peers uses permits beside its successor",
                    { { seconds(15), "later", seconds(0) }, { seconds(40), "later", seconds(20) } },
                    false }));

} // namespace
} // namespace redwingdock
