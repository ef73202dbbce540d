#include "membership/test_fleet.h"

#include "base/hash.h"
#include "core/controller_facts.h"
#include "membership/membership_controller.h"
#include "tables/table_controller.h"

#include <algorithm>
#include <type_traits>

namespace redwingdock {

namespace {

constexpr micros kCheckInterval = std::chrono::milliseconds(50);
constexpr micros kServiceDelay = std::chrono::milliseconds(2);
constexpr std::uint64_t kBytesPerSecond = 125000000; // 1 Gbit/s per daemon

std::size_t SizeOf(const view_entry& aEntry)
{
  return aEntry.mVm.size() + aEntry.mIncarnation.size() + 4 * sizeof(std::uint64_t) + 1;
}

std::size_t SizeOf(const suspect_entry& aEntry)
{
  std::size_t bytes = 2 * sizeof(std::uint64_t) + 1;
  for (const std::string& server : aEntry.mServersLost) {
    bytes += server.size();
  }
  return bytes;
}

struct message_bytes
{
  std::size_t mTableBytes;

  std::size_t operator()(const view_message& aMessage) const
  {
    std::size_t bytes = 0;
    for (const view_entry& entry : aMessage.mEntries) {
      bytes += SizeOf(entry);
    }
    for (const suspect_entry& entry : aMessage.mSuspects) {
      bytes += SizeOf(entry);
    }
    return bytes;
  }
  std::size_t operator()(const probe_message&) const { return 2 * sizeof(std::uint64_t); }
  std::size_t operator()(const probe_reply_message&) const { return 3 * sizeof(std::uint64_t) + 2; }
  std::size_t operator()(const table_pull_message&) const { return 3 * sizeof(std::uint64_t); }
  std::size_t operator()(const table_message& aMessage) const
  {
    return 3 * sizeof(std::uint64_t) + 2 + (aMessage.mText.empty() ? 0 : mTableBytes);
  }
  std::size_t operator()(const permit_release_message& aMessage) const
  {
    std::size_t bytes = sizeof(std::uint64_t);
    for (const std::string& server : aMessage.mServers) {
      bytes += server.size();
    }
    return bytes;
  }
  template<typename T>
  std::size_t operator()(const T&) const
  {
    return 0;
  }
};

// Posts a message as a fact under the key of the controller that handles it, as core::Post does.
void PostMessage(core_context& aCore,
                 const std::string& aFrom,
                 const std::string& aIncarnation,
                 const peer_message& aMessage)
{
  std::visit(
    [&](const auto& aEach) {
      using type = std::decay_t<decltype(aEach)>;
      const bool tables =
        std::is_same_v<type, table_message> || std::is_same_v<type, table_pull_message>;
      aCore.mBoard.Post(tables ? kTablesKey : kMembersKey,
                        received<type>{ aFrom, aIncarnation, aEach });
    },
    aMessage);
}

// Tables of one revision with other pools or VMs have other texts.
std::string TableText(const std::string& aName,
                      std::uint64_t aRevision,
                      const std::set<std::string>& aItems)
{
  std::string text = aName + " " + std::to_string(aRevision);
  for (const std::string& item : aItems) {
    text += " " + item;
  }
  return text;
}

template<typename T>
result<T> LookUp(const std::map<std::string, T>& aTables,
                 const std::string& aText,
                 const std::string& aFile)
{
  const auto found = aTables.find(aText);
  return found == aTables.end() ? Failure<T>("parse", aFile, "broken") : Success<T>(found->second);
}

} // namespace

std::size_t FieldBytes(const peer_message& aMessage, std::size_t aTableBytes)
{
  return std::visit(message_bytes{ aTableBytes }, aMessage);
}

test_fleet::test_fleet(fleet_options aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
{
  for (int i = 0; i < mOptions.mProcesses; ++i) {
    AddProcess(VmName(i));
  }
}

int test_fleet::AddProcess(const std::string& aName)
{
  const int index = static_cast<int>(mProcesses.size());
  mProcesses.push_back(std::make_unique<test_process>());
  mProcesses.back()->mName = aName;
  mProcesses.back()->mAddress = "a" + std::to_string(index);
  mWakeAt.push_back(kNever);
  mStartCounts.push_back(0);
  return index;
}

void test_fleet::Start(int aProcess)
{
  test_process& process = *mProcesses[aProcess];
  ++mStartCounts[aProcess];
  process.mRunning = true;
  process.mPaused = false;
  process.mDeferredDeliveries.clear();
  core_config config;
  config.mVm = process.mName;
  config.mIncarnation = std::to_string(aProcess) + "-" + std::to_string(mStartCounts[aProcess]);
  config.mZone = "z" + std::to_string(aProcess % mOptions.mZones);
  config.mAddress = process.mAddress;
  config.mRandomSeed = mOptions.mSeed * 1000 + static_cast<std::uint64_t>(aProcess) +
                       static_cast<std::uint64_t>(mStartCounts[aProcess]) * 100000;
  for (int i = 0; i < std::min(mOptions.mProcesses, 5); ++i) {
    config.mSeeds.push_back({ VmName(i), mProcesses[i]->mAddress, "", "", vm_state::Live });
  }
  if (mOptions.mConfigure) {
    mOptions.mConfigure(config);
  }
  record_search_hooks hooks;
  hooks.mTables.mParseRoutes = [this](const std::string& aText, const std::string& aFile) {
    return LookUp(mRoutes, aText, aFile);
  };
  hooks.mTables.mParsePools = [this](const std::string& aText, const std::string& aFile) {
    return LookUp(mPools, aText, aFile);
  };
  hooks.mTables.mParseVmList = [this](const std::string& aText, const std::string& aFile) {
    return LookUp(mVms, aText, aFile);
  };
  if (mOptions.mReplaceRules) {
    mOptions.mReplaceRules(hooks);
  }
  process.mCore = std::make_unique<core_context>(config, 4);
  AddTableController(*process.mCore, hooks.mTables);
  AddMembershipController(*process.mCore, hooks.mMembership);
  if (mOptions.mIdleGates) {
    for (int i = 0; i < mOptions.mShards; ++i) {
      for (const char* replica : { "a", "b" }) {
        const std::string server = "s" + std::to_string(i) + replica;
        process.mCore->mBoard.Write(server, gate_load{ server, 0, {} });
      }
    }
  }
  Run(aProcess);
}

void test_fleet::StartAll()
{
  for (int i = 0; i < mOptions.mProcesses; ++i) {
    Start(i);
  }
}

void test_fleet::Kill(int aProcess)
{
  mProcesses[aProcess]->mRunning = false;
  ++mStartCounts[aProcess];
  std::erase_if(mWatches, [&](const watch& aWatch) { return aWatch.mProcess == aProcess; });
}

void test_fleet::Pause(int aProcess)
{
  mProcesses[aProcess]->mPaused = true;
}

void test_fleet::Resume(int aProcess)
{
  test_process& process = *mProcesses[aProcess];
  process.mPaused = false;
  Run(aProcess);
  if (mCheck) {
    mCheck(); // before messages that arrived during the pause are processed
  }
  std::vector<std::function<void()>> deliveries;
  deliveries.swap(process.mDeferredDeliveries);
  for (const auto& deliver : deliveries) {
    deliver();
  }
}

void test_fleet::Partition(const std::vector<std::set<int>>& aGroups)
{
  SetLinks([aGroups](int aFrom, int aTo) {
    return std::any_of(aGroups.begin(), aGroups.end(), [&](const std::set<int>& aGroup) {
      return aGroup.contains(aFrom) && aGroup.contains(aTo);
    });
  });
}

std::string test_fleet::VmTable(std::uint64_t aRevision, const std::vector<int>& aProcesses)
{
  std::set<std::string> names;
  for (const int index : aProcesses) {
    names.insert(mProcesses[index]->mName);
  }
  std::string text = TableText("vms", aRevision, names);
  vm_list list{ aRevision, {} };
  for (const int index : aProcesses) {
    const test_process& process = *mProcesses[index];
    list.mVms.push_back({ process.mName,
                          process.mAddress,
                          "",
                          "z" + std::to_string(index % mOptions.mZones),
                          vm_state::Live });
  }
  std::sort(list.mVms.begin(), list.mVms.end());
  mVms[text] = std::move(list);
  return text;
}

std::string test_fleet::RoutesTable(std::uint64_t aRevision, const std::set<std::string>& aPools)
{
  std::string text = TableText("routes", aRevision, aPools);
  route_spec route;
  route.mName = "route";
  route.mPools.assign(aPools.begin(), aPools.end());
  mRoutes[text] = { aRevision, { route } };
  return text;
}

std::string test_fleet::PoolsTable(std::uint64_t aRevision, const std::set<std::string>& aPools)
{
  std::string text = TableText("pools", aRevision, aPools);
  pools_table table{ aRevision, {}, {} };
  for (const std::string& name : aPools) {
    pool_spec pool;
    pool.mName = name;
    pool.mSlots = 3;
    for (int i = 0; i < mOptions.mShards; ++i) {
      const std::string shard = (name == "main" ? "s" : name + "-s") + std::to_string(i);
      const auto positions = kPositions / static_cast<std::uint32_t>(mOptions.mShards);
      const std::uint32_t from = static_cast<std::uint32_t>(i) * positions;
      const std::uint32_t to = i + 1 == mOptions.mShards ? kPositions : from + positions;
      // Only the pool "main" owns positions, so that any set of pools that includes it covers each
      // position once.
      pool.mShards.push_back(
        { shard,
          name == "main" ? std::map<std::uint32_t, position_ranges>{ { 1, { { from, to } } } }
                         : std::map<std::uint32_t, position_ranges>{} });
      for (const char* replica : { "a", "b" }) {
        server_spec server;
        server.mName = shard + replica;
        server.mPool = name;
        server.mShard = shard;
        pool.mServers.push_back(std::move(server));
      }
    }
    table.mPools.push_back(std::move(pool));
  }
  mPools[text] = std::move(table);
  return text;
}

std::string test_fleet::BrokenTable(std::uint64_t aRevision)
{
  return "broken " + std::to_string(aRevision);
}

void test_fleet::Publish(table_kind aKind, std::uint64_t aRevision, const std::string& aText)
{
  mPublished[aKind] = { aRevision, aText };
  std::vector<watch> answered;
  std::erase_if(mWatches, [&](const watch& aWatch) {
    const bool news = aWatch.mKind == aKind && aRevision > aWatch.mAfter;
    if (news) {
      answered.push_back(aWatch);
    }
    return news;
  });
  for (const watch& each : answered) {
    AnswerRead(each);
  }
}

void test_fleet::SetServiceUp(bool aUp)
{
  mServiceUp = aUp;
  if (!aUp) {
    std::vector<watch> failed;
    failed.swap(mWatches);
    for (const watch& each : failed) {
      AnswerRead(each);
    }
  }
}

// Answers a read or a finished watch after kServiceDelay, with the table that is published then.
void test_fleet::AnswerRead(const watch& aWatch)
{
  Schedule(mNow + kServiceDelay, [this, aWatch] {
    if (mStartCounts[aWatch.mProcess] != aWatch.mStart) {
      return;
    }
    Deliver(aWatch.mProcess, [this, aWatch](core_context& aCore) {
      const published& table = mPublished[aWatch.mKind];
      if (!mServiceUp || !mServiceReachable(aWatch.mProcess) || table.mRevision == 0) {
        aCore.mBoard.Post(kTablesKey,
                          table_read_failed{ aWatch.mKind, { "read", "service", "unreachable" } });
      } else if (aWatch.mUntil != instant{} && table.mRevision <= aWatch.mAfter) {
        aCore.mBoard.Post(kTablesKey,
                          table_unchanged{ aWatch.mKind, table.mRevision, aWatch.mSince });
      } else {
        aCore.mBoard.Post(kTablesKey,
                          table_read{ aWatch.mKind, table.mRevision, table.mText, aWatch.mSince });
      }
    });
  });
}

void test_fleet::Read(int aProcess, const read_table& aRead)
{
  ++mProcesses[aProcess]->mTraffic.mReads;
  mReadTimes.push_back(mNow);
  watch request{ aProcess, mStartCounts[aProcess], aRead.mKind, aRead.mAfter, mNow, {} };
  const bool reachable = mServiceUp && mServiceReachable(aProcess);
  if (aRead.mWait == micros(0) || !reachable || mPublished[aRead.mKind].mRevision > aRead.mAfter) {
    AnswerRead(request);
    return;
  }
  request.mUntil = mNow + aRead.mWait;
  mWatches.push_back(request);
  Schedule(request.mUntil, [this, request] {
    const auto found = std::find_if(mWatches.begin(), mWatches.end(), [&](const watch& aWatch) {
      return aWatch.mProcess == request.mProcess && aWatch.mStart == request.mStart &&
             aWatch.mKind == request.mKind && aWatch.mSince == request.mSince;
    });
    if (found != mWatches.end()) {
      mWatches.erase(found);
      AnswerRead(request);
    }
  });
}

void test_fleet::Send(int aProcess, const send_to_peer& aSend)
{
  test_process& from = *mProcesses[aProcess];
  const std::size_t bytes = FieldBytes(aSend.mMessage, mOptions.mTableBytes);
  ++from.mTraffic.mMessages;
  from.mTraffic.mBytes += bytes;
  const int to = std::stoi(aSend.mAddress.substr(1));
  if (static_cast<double>(Random(1000000)) < mOptions.mLoss * 1e6) {
    return;
  }
  from.mLinkFreeAt = std::max(from.mLinkFreeAt, mNow) +
                     micros(static_cast<std::int64_t>(bytes * 1000000 / kBytesPerSecond));
  const micros jitter(
    static_cast<std::int64_t>(Random(static_cast<std::uint64_t>(mOptions.mJitter.count()) + 1)));
  const std::string incarnation = from.mCore->mConfig.mIncarnation;
  Schedule(from.mLinkFreeAt + mOptions.mDelay + jitter,
           [this, aProcess, to, name = from.mName, incarnation, message = aSend.mMessage] {
             if (mReachable(aProcess, to)) {
               Deliver(to, [name, incarnation, message](core_context& aCore) {
                 PostMessage(aCore, name, incarnation, message);
               });
             }
           });
}

void test_fleet::Execute(int aProcess, const command& aCommand)
{
  if (const auto* send = std::get_if<send_to_peer>(&aCommand)) {
    Send(aProcess, *send);
  } else if (const auto* read = std::get_if<read_table>(&aCommand)) {
    Read(aProcess, *read);
  } else if (const auto* line = std::get_if<log_line>(&aCommand)) {
    if (mOptions.mProcesses <= 10) {
      mLog.push_back(std::to_string(ToMs(mNow.time_since_epoch()) - 1000000) + " ms " +
                     mProcesses[aProcess]->mAddress + " " + line->mComponent + ": " + line->mText);
    }
  }
}

void test_fleet::Deliver(int aProcess, const std::function<void(core_context&)>& aPost)
{
  test_process& process = *mProcesses[aProcess];
  if (!process.mRunning) {
    return;
  }
  if (process.mPaused) {
    const int start = mStartCounts[aProcess];
    process.mDeferredDeliveries.emplace_back([this, aProcess, start, aPost] {
      if (mStartCounts[aProcess] == start) {
        Deliver(aProcess, aPost);
      }
    });
    return;
  }
  Run(aProcess);
  aPost(*process.mCore);
  Run(aProcess);
}

void test_fleet::Run(int aProcess)
{
  test_process& process = *mProcesses[aProcess];
  if (!process.mRunning || process.mPaused) {
    return;
  }
  core_context& core = *process.mCore;
  const instant before = core.Now();
  if (before != instant{} && mNow - before > core.mConfig.mPauseLimit) {
    core.mBoard.Post(kMembersKey, process_paused{ mNow - before });
  }
  core.Advance(mNow);
  core.mBoard.RunUntilIdle();
  for (const command& each : core.TakeCommands()) {
    Execute(aProcess, each);
  }
  const instant due = core.NextDue();
  if (due != kNever && due != mWakeAt[aProcess]) {
    mWakeAt[aProcess] = due;
    Schedule(due, [this, aProcess, due] {
      if (mWakeAt[aProcess] == due) {
        mWakeAt[aProcess] = kNever;
        Run(aProcess);
      }
    });
  }
}

void test_fleet::Schedule(instant aAt, std::function<void()> aAction)
{
  mEvents.push({ std::max(aAt, mNow), ++mOrder, std::move(aAction) });
}

void test_fleet::At(micros aTime, std::function<void()> aAction)
{
  Schedule(instant(std::chrono::seconds(1000)) + aTime, std::move(aAction));
}

void test_fleet::RunUntil(micros aTime)
{
  const instant end = instant(std::chrono::seconds(1000)) + aTime;
  instant nextCheck = mNow;
  while (mNow < end) {
    bool sampled = false;
    if (!mEvents.empty() && mEvents.top().mAt <= std::min(end, nextCheck)) {
      const event next = mEvents.top();
      mEvents.pop();
      mNow = next.mAt;
      next.mAction();
    } else {
      mNow = std::min(end, nextCheck);
      nextCheck = mNow + kCheckInterval;
      sampled = true;
    }
    if (mCheck && (mOptions.mCheckEvents || sampled)) {
      mCheck();
    }
  }
}

std::uint64_t test_fleet::Random(std::uint64_t aBelow)
{
  mRandom = mRandom * 6364136223846793005ULL + 1442695040888963407ULL;
  return aBelow == 0 ? 0 : (mRandom >> 33U) % aBelow;
}

} // namespace redwingdock
