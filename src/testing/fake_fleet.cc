#include "testing/fake_fleet.h"

#include "base/hash.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace redwingdock::testing {

namespace {

constexpr micros kConnectTime = std::chrono::milliseconds(6);
constexpr micros kPlatformDelay = std::chrono::milliseconds(2);
// How long a server still counts a connection that went silent.
constexpr micros kAbandonedConnectionTimeout = std::chrono::seconds(60);
// Time until the transport reports a stream across a partition as down.
constexpr micros kStreamLossDelay = std::chrono::seconds(3);
constexpr std::uint32_t kInitialMap = 3;

const char* KindName(table_kind aKind)
{
  switch (aKind) {
    case table_kind::Routes:
      return "routes";
    case table_kind::Pools:
      return "pools";
    case table_kind::Vms:
      return "vms";
  }
  return "";
}

} // namespace

fake_fleet::fake_fleet(fleet_options aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
{
  // Partition map 3 divides the positions evenly; map 4 moves the first half of shard 0 to the last
  // shard.
  const std::uint32_t width = kPositions / mOptions.mShards;
  for (std::uint32_t shard = 0; shard < mOptions.mShards; ++shard) {
    const bool last = shard + 1 == mOptions.mShards;
    const position_range own{ shard * width, last ? kPositions : (shard + 1) * width };
    position_ranges moved{ own };
    if (shard == 0) {
      moved = { { width / 2, width } };
    } else if (last) {
      moved = { { 0, width / 2 }, own };
    }
    for (std::uint32_t replica = 0; replica < mOptions.mReplicas; ++replica) {
      server_options server;
      server.mName = "s" + std::to_string(shard) + "-" + std::to_string(replica);
      server.mPool = "desk";
      server.mShard = "shard-" + std::to_string(shard);
      server.mZone = ZoneOf(shard + replica);
      server.mSlots = mOptions.mSlots;
      server.mConnections = mOptions.mConnections;
      server.mRanges = { { kInitialMap, { own } }, { kInitialMap + 1, moved } };
      server.mStartsCold = mOptions.mServersStartCold;
      server.mCanReach = [this](std::size_t aFrom, std::size_t aTo) {
        return mDaemons[aFrom].mGroup == mDaemons[aTo].mGroup;
      };
      mServers.push_back(
        std::make_unique<fake_server>(server, mEvents, mOptions.mSeed * 1000 + mServers.size()));
      mServers.back()->SetVersions({ { 40, kInitialMap } });
    }
  }
  for (std::uint32_t i = 0; i < mOptions.mDaemons; ++i) {
    daemon each;
    each.mVm = "vm-" + std::to_string(i);
    each.mZone = ZoneOf(i);
    mDaemons.push_back(std::move(each));
    mVms.push_back({ "vm-" + std::to_string(i),
                     "127.0.0.1:" + std::to_string(7100 + i),
                     "127.0.0.1:" + std::to_string(7000 + i),
                     ZoneOf(i),
                     vm_state::Live });
  }
  Publish(table_kind::Routes);
  Publish(table_kind::Pools);
  Publish(table_kind::Vms);
  for (std::size_t i = 0; i < mDaemons.size(); ++i) {
    Start(i);
  }
}

std::string fake_fleet::RoutesText() const
{
  return "routes:\n  - {name: search, pools: [desk], deadline_ms: 1000}\n"
         "  - {name: submit, pools: [desk], operation: submit, deadline_ms: 1000}\n";
}

std::string fake_fleet::PoolsText() const
{
  std::ostringstream text;
  text << "closed_zones: [";
  const char* separator = "";
  for (const std::string& zone : mClosedZones) {
    text << separator << zone;
    separator = ", ";
  }
  text << "]\npools:\n  - name: desk\n    slots: " << mOptions.mSlots
       << "\n    connections: " << mOptions.mConnections << "\n    connect_ms: 6\n    shards:\n";
  std::string shard;
  for (const auto& server : mServers) {
    const server_options& options = server->Options();
    if (options.mShard != shard) {
      shard = options.mShard;
      text << "      - name: " << shard << "\n        ranges: {";
      const char* mapSeparator = "";
      for (const auto& [map, ranges] : options.mRanges) {
        text << mapSeparator << map << ": [";
        const char* rangeSeparator = "";
        for (const position_range& range : ranges) {
          text << rangeSeparator << "[" << range.mFrom << ", " << range.mTo << "]";
          rangeSeparator = ", ";
        }
        text << "]";
        mapSeparator = ", ";
      }
      text << "}\n        servers:\n";
    }
    text << "          - {name: " << options.mName << ", zone: " << options.mZone
         << ", address: \"127.0.0.1:" << 9000 + (&server - mServers.data())
         << "\", draining: " << (mDrainingServers.contains(options.mName) ? "true" : "false")
         << "}\n";
  }
  return text.str();
}

std::string fake_fleet::VmsText() const
{
  std::ostringstream text;
  text << "vms:\n";
  for (const vm_spec& vm : mVms) {
    text << "  - {name: " << vm.mName << ", zone: " << vm.mZone << ", address: \"" << vm.mAddress
         << "\", call_address: \"" << vm.mCallAddress
         << "\", state: " << (vm.mState == vm_state::Live ? "live" : "leaving") << "}\n";
  }
  return text.str();
}

void fake_fleet::Publish(table_kind aKind)
{
  const std::uint64_t revision = mTables[aKind].mRevision + 1;
  std::string text = "revision: " + std::to_string(revision) + "\n";
  text += aKind == table_kind::Routes ? RoutesText()
                                      : (aKind == table_kind::Pools ? PoolsText() : VmsText());
  PublishText(aKind, revision, std::move(text));
}

void fake_fleet::PublishText(table_kind aKind, std::uint64_t aRevision, std::string aText)
{
  mTables[aKind] = { aRevision, std::move(aText) };
  std::vector<watch> waiting;
  waiting.swap(mWatches);
  for (const watch& each : waiting) {
    if (each.mRead.mKind == aKind && each.mRead.mAfter < aRevision) {
      AnswerWatch(each);
    } else {
      mWatches.push_back(each);
    }
  }
}

fake_server* fake_fleet::FindServer(const std::string& aName)
{
  const auto found = std::find_if(mServers.begin(), mServers.end(), [&aName](const auto& aServer) {
    return aServer->Options().mName == aName;
  });
  return found == mServers.end() ? nullptr : found->get();
}

std::size_t fake_fleet::FindDaemon(const std::string& aVm) const
{
  const auto found = std::find_if(
    mDaemons.begin(), mDaemons.end(), [&aVm](const daemon& aDaemon) { return aDaemon.mVm == aVm; });
  return static_cast<std::size_t>(found - mDaemons.begin());
}

std::string fake_fleet::KeyPrefix(std::size_t aDaemon) const
{
  const daemon& target = mDaemons.at(aDaemon);
  return target.mVm + ".i" + std::to_string(target.mStarts) + ".";
}

void fake_fleet::Start(std::size_t aDaemon)
{
  daemon& target = mDaemons.at(aDaemon);
  ++target.mStarts;
  core_config config;
  config.mVm = target.mVm;
  config.mIncarnation = "i" + std::to_string(target.mStarts);
  config.mZone = target.mZone;
  config.mRandomSeed = mOptions.mSeed * 100 + aDaemon * 7 + target.mStarts;
  config.mSeeds = mVms;
  config.mLogDecisions = mOptions.mLogDecisions;
  if (mOptions.mConfigure) {
    mOptions.mConfigure(config);
  }
  target.mCore = std::make_unique<core>(config, RecordSearch(mOptions.mHooks), 8);
  target.mPaused = false;
  target.mStopped = false;
  target.mBacklog.clear();
  target.mConnectedPeers.clear();
  target.mWakeAt = kNever;
  RunCore(aDaemon);
  UpdatePeerConnections();
}

bool fake_fleet::IsRunning(std::size_t aDaemon) const
{
  return mDaemons.at(aDaemon).mCore && !mDaemons.at(aDaemon).mPaused;
}

bool fake_fleet::HasStopped(std::size_t aDaemon) const
{
  return mDaemons.at(aDaemon).mStopped;
}

void fake_fleet::Kill(std::size_t aDaemon)
{
  daemon& target = mDaemons.at(aDaemon);
  if (!target.mCore) {
    return;
  }
  target.mCore.reset();
  target.mPaused = false;
  for (issued_query& query : mQueries) {
    if (query.mDaemon == aDaemon && query.mAnswerCount == 0) {
      query.mDaemonLost = true;
    }
  }
  const std::string prefix = std::to_string(aDaemon) + "/";
  for (auto it = mConnections.begin(); it != mConnections.end();) {
    if (it->first.compare(0, prefix.size(), prefix) == 0) {
      if (fake_server* server = FindServer(it->second.mServer)) {
        server->Disconnect(it->first);
      }
      it = mConnections.erase(it);
    } else {
      ++it;
    }
  }
  UpdatePeerConnections();
}

void fake_fleet::Pause(std::size_t aDaemon)
{
  mDaemons.at(aDaemon).mPaused = true;
}

void fake_fleet::Resume(std::size_t aDaemon)
{
  daemon& target = mDaemons.at(aDaemon);
  if (!target.mPaused) {
    return;
  }
  target.mPaused = false;
  if (!target.mCore) {
    return;
  }
  target.mCore->Advance(mEvents.Now());
  for (fact& each : std::exchange(target.mBacklog, {})) {
    target.mCore->Post(std::move(each));
  }
  RunCore(aDaemon);
}

void fake_fleet::RequestStop(std::size_t aDaemon)
{
  Deliver(aDaemon, mDaemons.at(aDaemon).mStarts, stop_requested{});
}

void fake_fleet::Partition(const std::set<std::size_t>& aGroup)
{
  for (std::size_t i = 0; i < mDaemons.size(); ++i) {
    mDaemons[i].mGroup = aGroup.contains(i) ? 1 : 0;
  }
  // Streams across the partition go silent; the transport reports them as down after
  // kStreamLossDelay.
  mEvents.After(kStreamLossDelay, [this] { UpdatePeerConnections(); });
}

bool fake_fleet::CanReach(std::size_t aFrom, std::size_t aTo) const
{
  return aTo < mDaemons.size() && mDaemons[aFrom].mGroup == mDaemons[aTo].mGroup &&
         mDaemons[aFrom].mCore && mDaemons[aTo].mCore;
}

void fake_fleet::UpdatePeerConnections()
{
  for (std::size_t from = 0; from < mDaemons.size(); ++from) {
    daemon& own = mDaemons[from];
    if (!own.mCore) {
      own.mConnectedPeers.clear();
      continue;
    }
    for (std::size_t to = 0; to < mDaemons.size(); ++to) {
      const std::string& peer = mDaemons[to].mVm;
      const bool up = from != to && CanReach(from, to);
      if (up != own.mConnectedPeers.contains(peer)) {
        if (up) {
          own.mConnectedPeers.insert(peer);
        } else {
          own.mConnectedPeers.erase(peer);
        }
        mEvents.After(mOptions.mPeerDelay, [this, from, start = own.mStarts, peer, up] {
          Deliver(from, start, peer_connection_changed{ peer, up });
        });
      }
    }
  }
}

// Drops facts that are addressed to an earlier start of the process.
void fake_fleet::Deliver(std::size_t aDaemon, std::uint32_t aStart, fact aFact)
{
  daemon& target = mDaemons.at(aDaemon);
  if (!target.mCore || target.mStarts != aStart) {
    return;
  }
  if (target.mPaused) {
    target.mBacklog.push_back(std::move(aFact));
    return;
  }
  target.mCore->Advance(mEvents.Now());
  target.mCore->Post(std::move(aFact));
  RunCore(aDaemon);
}

void fake_fleet::RunCore(std::size_t aDaemon)
{
  daemon& target = mDaemons.at(aDaemon);
  target.mCore->Advance(mEvents.Now());
  target.mCore->RunUntilIdle();
  for (const command& each : target.mCore->TakeCommands()) {
    Execute(aDaemon, each);
    if (!target.mCore) {
      return;
    }
  }
  const instant due = target.mCore->NextDue();
  if (due == kNever || due >= target.mWakeAt) {
    return;
  }
  target.mWakeAt = due;
  const micros delay = std::max(due - mEvents.Now(), micros(1));
  mEvents.After(delay, [this, aDaemon, start = target.mStarts, due] {
    daemon& waking = mDaemons.at(aDaemon);
    if (!waking.mCore || waking.mStarts != start || waking.mWakeAt != due) {
      return;
    }
    waking.mWakeAt = kNever;
    if (!waking.mPaused) {
      RunCore(aDaemon);
    }
  });
}

std::size_t fake_fleet::SendQuery(std::size_t aDaemon, query_request aRequest, micros aDeadline)
{
  issued_query query;
  query.mNumber = mQueries.size() + 1;
  query.mDaemon = aDaemon;
  query.mTag = aRequest.mRequestKey;
  if (query.mTag.empty()) {
    query.mTag = aRequest.mFilter["tag"];
    if (query.mTag.empty()) {
      query.mTag = "q" + std::to_string(query.mNumber);
      aRequest.mFilter["tag"] = query.mTag;
    }
  }
  aRequest.mDeadline = aDeadline;
  query.mRequest = aRequest;
  query.mSentAt = mEvents.Now();
  query.mDeadline = mEvents.Now() + aDeadline + 2 * mOptions.mCallerDelay;
  const daemon& target = mDaemons.at(aDaemon);
  query.mDaemonLost = !target.mCore;
  mQueries.push_back(query);
  mEvents.After(mOptions.mCallerDelay,
                [this, aDaemon, start = target.mStarts, number = query.mNumber, aRequest] {
                  Deliver(aDaemon, start, query_arrived{ number, aRequest });
                });
  return mQueries.size() - 1;
}

void fake_fleet::Execute(std::size_t aDaemon, const command& aCommand)
{
  std::visit(
    [this, aDaemon](const auto& aEach) {
      using type = std::decay_t<decltype(aEach)>;
      if constexpr (std::is_same_v<type, log_line>) {
        if (mOptions.mLogDecisions) {
          mLog.push_back(std::to_string(ToMs(mEvents.Now().time_since_epoch())) + " " +
                         mDaemons[aDaemon].mVm + " " + aEach.mComponent + ": " + aEach.mText);
        }
      } else if constexpr (std::is_same_v<type, exit_process>) {
        Kill(aDaemon);
        mDaemons[aDaemon].mStopped = true;
      } else if constexpr (!std::is_same_v<type, answer_entry> &&
                           !std::is_same_v<type, close_callers>) {
        Execute(aDaemon, aEach);
      }
    },
    aCommand);
}

void fake_fleet::Execute(std::size_t /*aDaemon*/, const answer_query& aCommand)
{
  if (aCommand.mQuery == 0 || aCommand.mQuery > mQueries.size()) {
    return;
  }
  mEvents.After(mOptions.mCallerDelay, [this, aCommand] {
    issued_query& query = mQueries[aCommand.mQuery - 1];
    if (query.mDaemonLost) {
      return;
    }
    ++query.mAnswerCount;
    query.mAnsweredAt = mEvents.Now();
    query.mAnswer = aCommand.mAnswer;
  });
}

std::string fake_fleet::ConnectionName(std::size_t aDaemon, std::uint64_t aConnection) const
{
  return std::to_string(aDaemon) + "/" + std::to_string(mDaemons[aDaemon].mStarts) + "/" +
         std::to_string(aConnection);
}

void fake_fleet::Execute(std::size_t aDaemon, const open_connection& aCommand)
{
  const std::uint32_t start = mDaemons[aDaemon].mStarts;
  const std::string name = ConnectionName(aDaemon, aCommand.mConnection);
  mEvents.After(kConnectTime + mOptions.mServerDelay, [this, aDaemon, start, name, aCommand] {
    fake_server* server = FindServer(aCommand.mServer);
    const daemon& target = mDaemons[aDaemon];
    if (!target.mCore || target.mStarts != start) {
      return;
    }
    const auto lost = [this, aDaemon, start, name, aCommand] {
      mConnections.erase(name);
      mEvents.After(mOptions.mServerDelay, [this, aDaemon, start, aCommand] {
        Deliver(aDaemon,
                start,
                connection_changed{ aCommand.mServer,
                                    aCommand.mConnection,
                                    connection_event::Lost,
                                    { "connection", aCommand.mServer, "reset" } });
      });
    };
    const bool accepted = server != nullptr && server->Connect(name, lost);
    if (accepted) {
      mConnections[name] = { aCommand.mServer, false };
    }
    mEvents.After(mOptions.mServerDelay, [this, aDaemon, start, aCommand, accepted] {
      Deliver(aDaemon,
              start,
              connection_changed{ aCommand.mServer,
                                  aCommand.mConnection,
                                  accepted ? connection_event::Opened : connection_event::Refused,
                                  {} });
    });
  });
}

void fake_fleet::Execute(std::size_t aDaemon, const close_connection& aCommand)
{
  const std::string name = ConnectionName(aDaemon, aCommand.mConnection);
  const auto found = mConnections.find(name);
  if (found == mConnections.end()) {
    return;
  }
  // The server keeps counting a silent connection because the close never reaches it.
  if (!found->second.mSilent) {
    if (fake_server* server = FindServer(found->second.mServer)) {
      mEvents.After(mOptions.mServerDelay, [server, name] { server->Disconnect(name); });
    }
  }
  mConnections.erase(found);
}

void fake_fleet::Execute(std::size_t aDaemon, const send_part& aCommand)
{
  const std::uint32_t start = mDaemons[aDaemon].mStarts;
  const std::string name = ConnectionName(aDaemon, aCommand.mConnection);
  const auto found = mConnections.find(name);
  if (found == mConnections.end()) {
    part_reply reply;
    reply.mAttempt = aCommand.mRequest.mAttempt;
    reply.mResult = part_result::NotRun;
    reply.mFailure = part_failure::NotSent;
    reply.mServer = aCommand.mRequest.mServer;
    reply.mShard = aCommand.mRequest.mShard;
    reply.mReason = { "send part", aCommand.mRequest.mServer, "the connection is closed" };
    mEvents.After(micros(1), [this, aDaemon, start, aCommand, reply] {
      Deliver(aDaemon, start, part_replied{ reply.mServer, aCommand.mConnection, reply });
    });
    return;
  }
  if (found->second.mSilent) {
    return;
  }
  const micros remaining = aCommand.mRequest.mDeadline - mEvents.Now() - mOptions.mServerDelay;
  mEvents.After(mOptions.mServerDelay, [this, aDaemon, start, name, aCommand, remaining] {
    fake_server* server = FindServer(aCommand.mRequest.mServer);
    if (!mConnections.contains(name) || server == nullptr) {
      return;
    }
    server->Run(
      aDaemon,
      aCommand.mRequest,
      remaining,
      [this, aDaemon, start, name, aCommand](const part_reply& aReply) {
        const auto open = mConnections.find(name);
        if (open == mConnections.end() || open->second.mSilent) {
          return;
        }
        mEvents.After(mOptions.mServerDelay, [this, aDaemon, start, aCommand, aReply] {
          Deliver(aDaemon, start, part_replied{ aReply.mServer, aCommand.mConnection, aReply });
        });
      });
  });
}

void fake_fleet::Execute(std::size_t /*aDaemon*/, const cancel_part& aCommand)
{
  mEvents.After(mOptions.mServerDelay, [this, aCommand] {
    if (fake_server* server = FindServer(aCommand.mServer)) {
      server->Cancel(aCommand.mAttempt);
    }
  });
}

void fake_fleet::Execute(std::size_t aDaemon, const check_connection& aCommand)
{
  const std::uint32_t start = mDaemons[aDaemon].mStarts;
  mEvents.After(kConnectTime + 2 * mOptions.mServerDelay, [this, aDaemon, start, aCommand] {
    fake_server* server = FindServer(aCommand.mServer);
    const bool alive = server != nullptr && !server->Faults().mDead;
    Deliver(aDaemon, start, check_answered{ aCommand.mServer, alive });
  });
}

void fake_fleet::Execute(std::size_t aDaemon, const send_to_peer& aCommand)
{
  ++mPeerMessages;
  const std::size_t to = FindDaemon(aCommand.mVm);
  if (!CanReach(aDaemon, to)) {
    return;
  }
  const peer_message_received message{ mDaemons[aDaemon].mVm,
                                       "i" + std::to_string(mDaemons[aDaemon].mStarts),
                                       aCommand.mMessage };
  mEvents.After(mOptions.mPeerDelay, [this, aDaemon, to, start = mDaemons[to].mStarts, message] {
    if (mDaemons[aDaemon].mGroup == mDaemons[to].mGroup) {
      Deliver(to, start, message);
    }
  });
}

void fake_fleet::Execute(std::size_t aDaemon, const read_table& aCommand)
{
  ++mPlatformReads;
  const watch waiting{ aDaemon, mDaemons[aDaemon].mStarts, aCommand, mEvents.Now() };
  mEvents.After(kPlatformDelay, [this, waiting] {
    const table& current = mTables.at(waiting.mRead.mKind);
    const bool reachable = mDaemons[waiting.mDaemon].mPlatformReachable && !mPlatformDown;
    if (!reachable || waiting.mRead.mWait.count() == 0 ||
        current.mRevision > waiting.mRead.mAfter) {
      AnswerWatch(waiting);
      return;
    }
    mWatches.push_back(waiting);
    mEvents.After(waiting.mRead.mWait, [this, waiting] {
      const auto same = [&waiting](const watch& aWatch) {
        return aWatch.mDaemon == waiting.mDaemon && aWatch.mStart == waiting.mStart &&
               aWatch.mRead.mKind == waiting.mRead.mKind && aWatch.mSince == waiting.mSince;
      };
      const auto found = std::find_if(mWatches.begin(), mWatches.end(), same);
      if (found != mWatches.end()) {
        mWatches.erase(found);
        AnswerWatch(waiting);
      }
    });
  });
}

void fake_fleet::AnswerWatch(const watch& aWatch)
{
  const bool reachable = mDaemons[aWatch.mDaemon].mPlatformReachable && !mPlatformDown;
  const table& current = mTables.at(aWatch.mRead.mKind);
  fact answer = table_read_failed{ aWatch.mRead.mKind,
                                   { "read table", KindName(aWatch.mRead.mKind), "unreachable" } };
  if (reachable && (current.mRevision > aWatch.mRead.mAfter || aWatch.mRead.mWait.count() == 0)) {
    answer = table_read{ aWatch.mRead.mKind, current.mRevision, current.mText, aWatch.mSince };
  } else if (reachable) {
    // The revision was still current when the watch was answered.
    answer = table_unchanged{ aWatch.mRead.mKind, current.mRevision, aWatch.mSince };
  }
  mEvents.After(kPlatformDelay,
                [this, aWatch, answer] { Deliver(aWatch.mDaemon, aWatch.mStart, answer); });
}

void fake_fleet::SetVersions(const std::vector<index_version>& aVersions)
{
  for (const auto& server : mServers) {
    server->SetVersions(aVersions);
  }
}

void fake_fleet::Silence(std::size_t aDaemon, const std::string& aServer)
{
  const std::string prefix = std::to_string(aDaemon) + "/";
  for (auto& [name, open] : mConnections) {
    if (open.mServer == aServer && name.compare(0, prefix.size(), prefix) == 0) {
      open.mSilent = true;
      FindServer(aServer)->AbandonConnection(name, kAbandonedConnectionTimeout);
    }
  }
}

void fake_fleet::CloseZone(const std::string& aZone)
{
  mClosedZones.insert(aZone);
  mClosedSince[aZone] = VisibleAt();
  Publish(table_kind::Pools);
}

void fake_fleet::ReopenZone(const std::string& aZone)
{
  mClosedZones.erase(aZone);
  mClosedSince.erase(aZone);
  Publish(table_kind::Pools);
}

void fake_fleet::SetServerDraining(const std::string& aServer, bool aDraining)
{
  if (aDraining) {
    mDrainingServers.insert(aServer);
    mDrainingSince[aServer] = VisibleAt();
  } else {
    mDrainingServers.erase(aServer);
    mDrainingSince.erase(aServer);
  }
  Publish(table_kind::Pools);
}

void fake_fleet::ReplaceVm(std::size_t aDaemon, const std::string& aNewName)
{
  const std::string old = mDaemons.at(aDaemon).mVm;
  const std::size_t number = mDaemons.size();
  for (vm_spec& vm : mVms) {
    if (vm.mName == old) {
      vm.mName = aNewName;
      vm.mAddress = "127.0.0.1:" + std::to_string(7100 + number);
      vm.mCallAddress = "127.0.0.1:" + std::to_string(7000 + number);
    }
  }
  daemon replacement;
  replacement.mVm = aNewName;
  replacement.mZone = mDaemons.at(aDaemon).mZone;
  mDaemons.push_back(std::move(replacement));
  Publish(table_kind::Vms);
  Start(number);
}

instant fake_fleet::VisibleAt() const
{
  // Later than the end of any run, but far enough from the clock's maximum that adding a duration
  // doesn't overflow.
  return mPlatformDown ? mEvents.Now() + std::chrono::hours(1000) : mEvents.Now();
}

void fake_fleet::SetPlatformDown(bool aDown)
{
  mPlatformDown = aDown;
  if (aDown) {
    return;
  }
  for (std::map<std::string, instant>* changes : { &mClosedSince, &mDrainingSince }) {
    for (auto& [name, since] : *changes) {
      since = std::min(since, mEvents.Now());
    }
  }
}

void fake_fleet::SetPlatformReachable(std::size_t aDaemon, bool aReachable)
{
  mDaemons.at(aDaemon).mPlatformReachable = aReachable;
}

} // namespace redwingdock::testing
