#include "platform/edge_fixture.h"

#include <algorithm>

namespace redwingdock::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr micros kChangeBound = seconds(3);      // from a write
constexpr micros kDisturbanceBound = seconds(4); // from the return of the store
constexpr micros kJudgedTime = seconds(1);       // after the bound
constexpr int kRepeatedWrites = 12;              // that raise the revision
constexpr unsigned kNotFound = 404;

struct return_row
{
  const char* mName;
  waiting_watches mWaiting;
  bool mStatesEra = true;
  micros mAway{ 0 };
  int mReturns = 1;
  // The counter passes the revision that the daemon had read before the daemon can read again.
  bool mCounterPasses = false;
};

// Route /moved/ has the given service; /added/ is there from version 3 on.
std::string Configuration(int aVersion, const std::string& aMovedTo)
{
  const auto route = [](const std::string& aName, const std::string& aService) {
    return R"({"name":")" + aName + R"(","host":"h.example","prefix":"/)" + aName +
           R"(/","kind":"safe","timeoutMs":900,"targetLatencyMs":300,"service":")" + aService +
           R"(","maxAttempts":2})";
  };
  return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" + route("moved", aMovedTo) +
         "," + route("zones", "zones") + "," + route("drains", "drains") +
         (aVersion >= 3 ? "," + route("added", "b") : "") +
         R"(],"services":[{"name":"a","connectionLimit":20},{"name":"b","connectionLimit":20},)"
         R"({"name":"c","connectionLimit":20},{"name":"zones","connectionLimit":20},)"
         R"({"name":"drains","connectionLimit":20}],)"
         R"("limits":{"maxHeaderBytes":4096,"maxBodyBytes":1000,"headerTimeoutMs":300,)"
         R"("idleTimeoutMs":2000}})";
}

struct place
{
  std::string mService;
  std::string mZone;

  auto operator<=>(const place&) const = default;
};

// By id.
const std::map<std::string, place> kReplicas = {
  { "i-a", { "a", "zone-1" } },           { "i-b", { "b", "zone-1" } },
  { "i-c", { "c", "zone-1" } },           { "i-open", { "zones", "zone-1" } },
  { "i-closed", { "zones", "zone-2" } },  { "i-stays", { "drains", "zone-1" } },
  { "i-drains", { "drains", "zone-1" } }, { "i-drained", { "b", "zone-1" } },
  { "i-left", { "b", "zone-1" } }
};

class restored_store_test : public testing::TestWithParam<return_row>
{
protected:
  restored_store_test()
  {
    if (!GetParam().mStatesEra) {
      mFixture.mStore.LeaveEraOut();
    }
    for (const auto& [id, place] : kReplicas) {
      auto& replica = mFixture.mReplicas[NameOf(id)];
      if (!replica) {
        replica = std::make_unique<replica_standin>(mFixture.mLoop, id, replica_behaviour{});
        EXPECT_TRUE(replica->ListenOn("127.0.0.1:0"));
      }
      Write(id, false);
    }
  }

  // In the fixture.
  static std::string NameOf(const std::string& aId) { return aId.substr(2); }

  void Write(const std::string& aId, bool aDraining)
  {
    const place& at = kReplicas.at(aId);
    mFixture.mStore.Put(
      kReplicaPrefix + aId,
      mFixture.mReplicas.at(NameOf(aId))->PublishedEntry(at.mService, at.mZone, aDraining));
  }

  void WriteConfiguration(int aVersion, const std::string& aMovedTo)
  {
    mFixture.mStore.Put(kConfigurationKey, Configuration(aVersion, aMovedTo));
  }

  // The replica that answered; the status if none did.
  std::string AnsweredBy(const std::string& aRoute)
  {
    const http_message reply =
      mFixture.Exchange(mFixture.mBound.mCallers,
                        RequestWithId("/" + aRoute + "/x", "id-" + std::to_string(++mRequests)));
    const std::string* stamp = reply.Find(kResponseStampHeader);
    return stamp != nullptr ? stamp->substr(0, stamp->find('.')) : std::to_string(reply.mStatus);
  }

  bool WaitForVersion2()
  {
    const instant latest = SteadyNow() + kChangeBound;
    while (SteadyNow() < latest) {
      const std::string by = AnsweredBy("moved");
      if (by == "i-b") {
        return true;
      }
      mFixture.WaitFor(milliseconds(10));
    }
    return false;
  }

  // What the copy lacks. It is written for the first time before the return and again after it.
  void WriteLost()
  {
    WriteConfiguration(2, "b");
    Write("i-drained", true);
    mFixture.mStore.Delete(kReplicaPrefix + std::string("i-left"));
  }

  void ReturnOfTheStore(const store_standin::copy& aCopy)
  {
    const return_row& row = GetParam();
    mFixture.mStore.SetDown(row.mAway > micros(0));
    mFixture.WaitFor(row.mAway);
    mFixture.mStore.ReturnFrom(aCopy, row.mWaiting);
    for (int i = 0; row.mCounterPasses && i < 2 * kRepeatedWrites; ++i) {
      Write("i-open", false);
    }
    mFixture.mStore.SetDown(false);
  }

  edge_fixture mFixture;
  int mRequests = 0;
};

// Guards against changes that a daemon takes to be old because the store returned from a copy of
// itself and gives revisions out again, and against an older version or state that the copy brings
// back (issue 40).
TEST_P(restored_store_test, ChangesAreInEffectInTimeAndNothingOlderIs)
{
  const return_row& row = GetParam();
  WriteConfiguration(1, "a");
  ASSERT_TRUE(mFixture.WaitUntilReady());
  const store_standin::copy copy = mFixture.mStore.TakeCopy();
  for (int i = 0; i < kRepeatedWrites; ++i) {
    Write("i-open", false);
  }
  WriteLost();
  ASSERT_TRUE(WaitForVersion2());
  mFixture.WaitFor(milliseconds(700)); // the watch waits

  instant returnedAt{};
  for (int i = 0; i < row.mReturns; ++i) {
    ReturnOfTheStore(copy);
    returnedAt = SteadyNow();
    mFixture.WaitFor(milliseconds(300));
    EXPECT_EQ(AnsweredBy("moved"), "i-b");
    WriteLost();
  }
  WriteConfiguration(3, "c");
  Write("i-drains", true);
  mFixture.mStore.Put(std::string(kClosedZonePrefix) + "zone-2", "{}");
  const instant writtenAt = SteadyNow();

  const instant due = std::max(writtenAt + kChangeBound, returnedAt + kDisturbanceBound);
  std::map<std::string, instant> lastOld; // by the kind of change
  while (SteadyNow() < due + kJudgedTime) {
    const instant sentAt = SteadyNow();
    const std::string moved = AnsweredBy("moved");
    // i-drained and i-left are of service b.
    EXPECT_TRUE(moved == "i-b" || moved == "i-c") << moved;
    if (moved != "i-c") {
      lastOld["a moved route"] = sentAt;
    }
    if (AnsweredBy("added") == std::to_string(kNotFound)) {
      lastOld["an added route"] = sentAt;
    }
    if (AnsweredBy("drains") == "i-drains") {
      lastOld["a draining replica"] = sentAt;
    }
    if (AnsweredBy("zones") == "i-closed") {
      lastOld["a closed zone"] = sentAt;
    }
    mFixture.WaitFor(milliseconds(10));
  }
  for (const auto& [change, at] : lastOld) {
    EXPECT_LE(at, due) << change << " was still in its old state " << ToMs(at - writtenAt)
                       << " ms after the write, " << ToMs(at - returnedAt)
                       << " ms after the return";
  }
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  restored_store_test,
  testing::Values(
    return_row{ "cut", waiting_watches::Cut },
    return_row{ "cut_without_era", waiting_watches::Cut, false },
    return_row{ "waiting", waiting_watches::WaitOn },
    return_row{ "waiting_without_era", waiting_watches::WaitOn, false },
    return_row{ "silent", waiting_watches::Silent },
    return_row{ "silent_without_era", waiting_watches::Silent, false },
    return_row{ "away", waiting_watches::Cut, true, milliseconds(900) },
    return_row{ "away_while_the_counter_passes",
                waiting_watches::Cut,
                true,
                milliseconds(900),
                1,
                true },
    return_row{ "twice", waiting_watches::Cut, true, micros(0), 2 },
    return_row{ "twice_while_watches_wait", waiting_watches::WaitOn, true, micros(0), 2 }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace
} // namespace redwingdock::platform
