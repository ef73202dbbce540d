#include "gate/gate_test_rig.h"

#include "core/send.h"

#include <algorithm>

namespace redwingdock {

namespace {

constexpr micros kServerDelay = micros(500);         // one-way delay to the server
constexpr micros kPeerDelay = micros(1000);          // one-way delay between daemons
constexpr micros kConfirmInterval = micros(500'000); // interval of view confirmations

} // namespace

gate_rig::gate_rig(rig_options aOptions)
  : mOptions(std::move(aOptions))
{
  if (mOptions.mWarmServer) {
    mServer.mLevel = mOptions.mSlots - 1;
  }
  mServer.mLevelSince = mNow;
  pools_table pools;
  pools.mRevision = 1;
  pools.mPools.push_back({ "pool",
                           mOptions.mSlots,
                           mOptions.mConnections,
                           micros(0),
                           {},
                           { { kRigServer, "pool", "shard", kRigZone, "127.0.0.1:1", false } } });
  mPools = std::make_shared<const pools_table>(pools);
  for (std::uint32_t index = 0; index < mOptions.mSlots; ++index) {
    mPermits.push_back({ index, NameOf(index % mOptions.mGates), instant{} });
  }
  for (std::size_t i = 0; i < mOptions.mGates; ++i) {
    mGates.push_back(MakeGate(i));
    FillBoard(i);
  }
  ConfirmViews();
}

std::unique_ptr<gate_rig::gate> gate_rig::MakeGate(std::size_t aIndex)
{
  core_config config = mOptions.mConfig;
  config.mVm = NameOf(aIndex);
  config.mIncarnation = "i" + std::to_string(mNextRun++);
  auto made = std::make_unique<gate>(std::move(config), mOptions.mHooks);
  made->mContext.Advance(mNow);
  made->mContext.mBoard.OnFact<attempt_finished>(
    [this](const std::string&, const attempt_finished& aFact) {
      mResults[aFact.mReply.mAttempt].push_back(aFact.mReply);
    });
  made->mContext.mBoard.OnFact<server_lost>(
    [this](const std::string&, const server_lost& aFact) { mLost.push_back(aFact); });
  return made;
}

void gate_rig::FillBoard(std::size_t aIndex)
{
  blackboard& board = Board(aIndex);
  member_view view;
  view.mSelf = NameOf(aIndex);
  for (std::size_t i = 0; i < mOptions.mGates; ++i) {
    view.mVms.mVms.push_back({ NameOf(i), "127.0.0.1:2", "", "", vm_state::Live });
  }
  view.mConfirmedUntil = mNow + mOptions.mConfig.mHoldTime;
  board.Write(kMembersKey, std::move(view));
  board.Write(kTablesKey, tables_in_force{ nullptr, mPools });
  board.Write(kRigServer, server_permits{ kRigServer, mPermits });
}

void gate_rig::SetPermits(const std::vector<permit>& aPermits)
{
  mPermits = aPermits;
  for (std::size_t i = 0; i < mGates.size(); ++i) {
    SetPermits(i, aPermits);
  }
}

void gate_rig::SetPermits(std::size_t aGate, const std::vector<permit>& aPermits)
{
  Board(aGate).Write(kRigServer, server_permits{ kRigServer, aPermits });
}

void gate_rig::SetPools(const std::function<void(pools_table&)>& aChange)
{
  pools_table pools = *mPools;
  aChange(pools);
  ++pools.mRevision.mNumber;
  mPools = std::make_shared<const pools_table>(std::move(pools));
  for (std::size_t i = 0; i < mGates.size(); ++i) {
    Board(i).Write(kTablesKey, tables_in_force{ nullptr, mPools });
  }
}

void gate_rig::ConfirmViews()
{
  for (std::size_t i = 0; i < mGates.size(); ++i) {
    if (mGates[i]->mUnconfirmed || mGates[i]->mPausedUntil > mNow) {
      continue;
    }
    Board(i).Update<member_view>(kMembersKey, [this](const member_view* aOld) {
      member_view next = *aOld;
      next.mConfirmedUntil = mNow + mOptions.mConfig.mHoldTime;
      return std::optional(std::move(next));
    });
  }
  At(kConfirmInterval, [this] { ConfirmViews(); });
}

void gate_rig::At(micros aDelay, std::function<void()> aAction)
{
  mEvents.emplace(mNow + aDelay, std::move(aAction));
}

void gate_rig::Load(micros aFor, micros aEvery, micros aDeadline)
{
  std::size_t turn = 0;
  for (micros at{ 0 }; at < aFor; at += aEvery) {
    At(at, [this, turn, aDeadline] { Request(turn % mGates.size(), aDeadline); });
    ++turn;
  }
}

void gate_rig::Pause(std::size_t aGate, micros aFor)
{
  mGates[aGate]->mPausedUntil = mNow + aFor;
  At(aFor, [this, aGate] {
    core_context& context = mGates[aGate]->mContext;
    context.mBoard.Post(kMembersKey, process_paused{ mNow - context.Now() });
  });
}

void gate_rig::StallFrontEnd(std::size_t aGate, micros aFor)
{
  mGates[aGate]->mStalledUntil = mNow + aFor;
  At(aFor, [] {});
}

void gate_rig::BreakConnections()
{
  const auto open = mServer.mOpen;
  mServer.mOpen.clear();
  for (const auto& [gate, id] : open) {
    At(kServerDelay, [this, gate = gate, id = id] {
      Post(gate,
           kRigServer,
           connection_changed{ kRigServer, id, connection_event::Lost, { "", "", "reset" } });
    });
  }
}

void gate_rig::Restart(std::size_t aGate)
{
  std::erase_if(mServer.mOpen, [aGate](const auto& aEach) { return aEach.first == aGate; });
  mGates[aGate] = MakeGate(aGate);
  FillBoard(aGate);
}

void gate_rig::CrashServer(const std::string& aNextInstance)
{
  const auto open = mServer.mOpen;
  mServer.mOpen.clear();
  mServer.mRunning.clear();
  mServer.mInstance = aNextInstance;
  mServer.mLevel = 0;
  mServer.mReplies = 0;
  mServer.mLevelSince = mNow;
  for (const auto& [gate, id] : open) {
    if (mServer.mSilent.contains({ gate, id })) {
      continue;
    }
    At(kServerDelay, [this, gate = gate, id = id] {
      Post(gate,
           kRigServer,
           connection_changed{ kRigServer, id, connection_event::Lost, { "", "", "reset" } });
    });
  }
}

void gate_rig::SilenceConnections()
{
  mServer.mSilent.insert(mServer.mOpen.begin(), mServer.mOpen.end());
}

attempt_id gate_rig::Request(std::size_t aGate,
                             micros aDeadline,
                             urgency aUrgency,
                             std::uint64_t aFingerprint)
{
  const core_config& config = mGates[aGate]->mContext.mConfig;
  part_request request;
  request.mAttempt = { OriginOf(config), mNextQuery++ << kAttemptBits };
  request.mServer = kRigServer;
  request.mShard = "shard";
  request.mFingerprint = aFingerprint;
  request.mUrgency = aUrgency;
  request.mDeadline = mNow + aDeadline;
  mRequests[request.mAttempt] = request;
  Post(aGate, kRigServer, gate_request{ config.mVm, request });
  return request.mAttempt;
}

void gate_rig::RepeatRequest(std::size_t aGate,
                             const part_request& aRequest,
                             const std::string& aFrom)
{
  Post(aGate, kRigServer, gate_request{ aFrom, aRequest });
}

void gate_rig::Cancel(std::size_t aGate, const attempt_id& aAttempt)
{
  Post(aGate, kRigServer, gate_cancel{ aAttempt });
}

std::uint32_t gate_rig::StageAt(std::size_t aGate)
{
  const auto status = Board(aGate).Read<server_status>(kRigServer);
  return status ? status->mStage : 0;
}

std::vector<part_reply> gate_rig::ResultsOf(const attempt_id& aAttempt) const
{
  const auto found = mResults.find(aAttempt);
  return found == mResults.end() ? std::vector<part_reply>() : found->second;
}

void gate_rig::RunFor(micros aTime)
{
  const instant end = mNow + aTime;
  for (;;) {
    Step();
    instant next = end;
    if (!mEvents.empty()) {
      next = std::min(next, mEvents.begin()->first);
    }
    for (const auto& each : mGates) {
      next = std::min(next, std::max(each->mContext.NextDue(), each->mPausedUntil));
    }
    if (next >= end) {
      break;
    }
    mNow = std::max(mNow, next);
  }
  mNow = end;
  Step();
}

void gate_rig::Step()
{
  while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
    const auto run = std::move(mEvents.begin()->second);
    mEvents.erase(mEvents.begin());
    run();
  }
  for (std::size_t i = 0; i < mGates.size(); ++i) {
    gate& each = *mGates[i];
    if (each.mPausedUntil > mNow) {
      continue;
    }
    each.mContext.Advance(mNow);
    each.mContext.mBoard.RunUntilIdle();
    if (each.mStalledUntil > mNow) {
      continue;
    }
    for (const command& command : each.mContext.TakeCommands()) {
      ++mCommands;
      Execute(i, command);
    }
  }
}

void gate_rig::Execute(std::size_t aGate, const command& aCommand)
{
  std::visit(
    [this, aGate](const auto& aEach) {
      using type = std::decay_t<decltype(aEach)>;
      if constexpr (std::is_same_v<type, log_line>) {
        --mCommands;
        mLog.push_back(NameOf(aGate) + " " + aEach.mComponent + ": " + aEach.mText);
      } else if constexpr (std::is_same_v<type, open_connection> ||
                           std::is_same_v<type, close_connection> ||
                           std::is_same_v<type, send_part> || std::is_same_v<type, cancel_part> ||
                           std::is_same_v<type, check_connection> ||
                           std::is_same_v<type, send_to_peer>) {
        Execute(aGate, aEach);
      }
    },
    aCommand);
}

void gate_rig::CountOpen()
{
  const std::size_t open = mServer.mOpen.size() + mAuxiliaryOpen;
  mServer.mMaxOpen = std::max(mServer.mMaxOpen, open);
  if (open > mOptions.mConnections) {
    ++mServer.mOverConnections;
  }
}

void gate_rig::Execute(std::size_t aGate, const open_connection& aCommand)
{
  At(2 * kServerDelay, [this, aGate, id = aCommand.mConnection] {
    if (mServer.mHung) {
      return;
    }
    const auto event = mServer.mDown ? connection_event::Refused : connection_event::Opened;
    if (!mServer.mDown) {
      mServer.mOpen.insert({ aGate, id });
      CountOpen();
    }
    Post(aGate, kRigServer, connection_changed{ kRigServer, id, event, {} });
  });
}

void gate_rig::Execute(std::size_t aGate, const close_connection& aCommand)
{
  const std::pair key(aGate, aCommand.mConnection);
  // The server counts a silent connection until its own timeout.
  const micros delay = mServer.mSilent.contains(key) ? mOptions.mConfig.mSilentHold : kServerDelay;
  At(delay, [this, key] { mServer.mOpen.erase(key); });
}

std::uint32_t gate_rig::Capacity() const
{
  return std::min(mServer.mLevel + 1, mOptions.mSlots);
}

void gate_rig::Execute(std::size_t aGate, const send_part& aCommand)
{
  if (mNow > aCommand.mNotAfter) {
    part_reply reply;
    reply.mAttempt = aCommand.mRequest.mAttempt;
    reply.mResult = part_result::NotRun;
    reply.mFailure = part_failure::NotSent;
    Post(aGate, kRigServer, part_replied{ kRigServer, aCommand.mConnection, reply });
    return;
  }
  At(kServerDelay, [this, aGate, aCommand] { OnArrival(aGate, aCommand); });
}

void gate_rig::OnArrival(std::size_t aGate, const send_part& aCommand)
{
  const attempt_id& attempt = aCommand.mRequest.mAttempt;
  if (!mServer.mOpen.contains({ aGate, aCommand.mConnection }) || mServer.mDown) {
    return;
  }
  ++mServer.mRuns[attempt];
  mServer.mConnectionOf[attempt] = aCommand.mConnection;
  const std::uint64_t run = mNextRun++;
  mServer.mRunning[attempt] = run;
  mServer.mMaxRunning = std::max(mServer.mMaxRunning, mServer.mRunning.size());
  if (mServer.mRunning.size() > mOptions.mSlots) {
    ++mServer.mOverSlots;
  }
  if (mServer.mRunning.size() > Capacity() && mNow >= mServer.mGraceUntil) {
    ++mServer.mOverload;
  }
  if (mServer.mRunning.size() > Capacity() && mServer.mSheds) {
    mServer.mRunning.erase(attempt);
    --mServer.mRuns[attempt];
    part_reply reply;
    reply.mAttempt = attempt;
    reply.mResult = part_result::NotRun;
    reply.mFailure = part_failure::Shed;
    Answer(aGate, aCommand.mConnection, std::move(reply));
    return;
  }
  const bool full = mServer.mLevel + 1 >= mOptions.mSlots;
  const micros service = full ? mServer.mService : mServer.mColdService;
  // The server stops a part at its deadline without a reply.
  const micros left = std::max(micros(0), aCommand.mRequest.mDeadline - mNow);
  if (service <= left) {
    At(service, [this, aGate, aCommand, run] { EndPart(aGate, aCommand, run); });
  } else {
    At(left, [this, attempt, run] {
      if (mServer.mRunning.contains(attempt) && mServer.mRunning[attempt] == run) {
        mServer.mRunning.erase(attempt);
      }
    });
  }
}

void gate_rig::EndPart(std::size_t aGate, const send_part& aCommand, std::uint64_t aRun)
{
  const attempt_id& attempt = aCommand.mRequest.mAttempt;
  const auto found = mServer.mRunning.find(attempt);
  if (found == mServer.mRunning.end() || found->second != aRun || mServer.mHung) {
    return;
  }
  mServer.mRunning.erase(found);
  ++mServer.mReplies;
  ++mServer.mAnswered;
  if (mServer.mReplies >= mOptions.mConfig.mRampReplies &&
      mNow - mServer.mLevelSince >= mOptions.mConfig.mRampInterval) {
    ++mServer.mLevel;
    mServer.mReplies = 0;
    mServer.mLevelSince = mNow;
  }
  part_reply reply;
  reply.mAttempt = attempt;
  reply.mResult = part_result::Answered;
  Answer(aGate, aCommand.mConnection, std::move(reply));
}

void gate_rig::Answer(std::size_t aGate, std::uint64_t aConnection, part_reply aReply)
{
  aReply.mServer = kRigServer;
  aReply.mShard = "shard";
  aReply.mEvidence = server_evidence{ mServer.mInstance, mServer.mMode, { { 41, 3 } } };
  if (mServer.mSilent.contains({ aGate, aConnection })) {
    return;
  }
  At(kServerDelay, [this, aGate, aConnection, aReply] {
    Post(aGate, kRigServer, part_replied{ kRigServer, aConnection, aReply });
  });
}

void gate_rig::Execute(std::size_t aGate, const cancel_part& aCommand)
{
  ++mAuxiliaryOpen;
  CountOpen();
  At(kServerDelay, [this, aGate, attempt = aCommand.mAttempt] {
    --mAuxiliaryOpen;
    if (!mServer.mHonorsCancel || mServer.mRunning.erase(attempt) == 0) {
      return;
    }
    part_reply reply;
    reply.mAttempt = attempt;
    reply.mResult = part_result::Unknown;
    reply.mFailure = part_failure::Cancelled;
    Answer(aGate, mServer.mConnectionOf[attempt], std::move(reply));
  });
}

void gate_rig::Execute(std::size_t aGate, const check_connection&)
{
  ++mChecks;
  if (mServer.mHung) {
    return;
  }
  ++mAuxiliaryOpen;
  CountOpen();
  At(2 * kServerDelay, [this, aGate] {
    --mAuxiliaryOpen;
    Post(aGate, kRigServer, check_answered{ kRigServer, !mServer.mDown });
  });
}

void gate_rig::Execute(std::size_t aGate, const send_to_peer& aCommand)
{
  if (mGates[aGate]->mPartitioned) {
    return;
  }
  const std::size_t to = std::stoul(aCommand.mVm.substr(3));
  At(kPeerDelay, [this, aGate, to, message = aCommand.mMessage] {
    if (mGates[to]->mPartitioned) {
      return;
    }
    std::visit(
      [&](const auto& aEach) {
        using type = std::decay_t<decltype(aEach)>;
        if constexpr (std::is_same_v<type, part_reply_message>) {
          mResults[aEach.mReply.mAttempt].push_back(aEach.mReply);
        } else {
          Post(to, kRigServer, received<type>{ NameOf(aGate), "", aEach });
        }
      },
      message);
  });
}

} // namespace redwingdock
