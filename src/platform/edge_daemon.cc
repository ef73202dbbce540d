#include "platform/edge_daemon.h"

#include "base/log_text.h"
#include "codec/heartbeat_json.h"
#include "daemon/logging.h"
#include "daemon/port_check.h"
#include "follow/follow_state.h"
#include "platform/protocol_names.h"
#include "platform/request_codec.h"
#include "platform/stop_report.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <random>
#include <type_traits>
#include <utility>
#include <variant>

namespace redwingdock::platform {

namespace {

// How long the process waits for clients to close once all replies were sent.
constexpr micros kCloseTimeout = std::chrono::milliseconds(300);
constexpr micros kFlushCheckInterval = std::chrono::milliseconds(5);
// Connecting to a replica takes milliseconds, even in another zone.
constexpr micros kConnectTimeout = std::chrono::milliseconds(400);
// Only a client that has stopped sending takes longer than this for a request body.
constexpr micros kRequestBodyTimeout = std::chrono::seconds(20);
// The controllers answer each request by its deadline, which is sooner.
constexpr micros kAnswerTimeout = std::chrono::seconds(60);
// Widths of the fields of a pool id.
constexpr std::uint32_t kPartBits = 12;
constexpr std::uint32_t kAttemptBits = 4;

std::uint64_t PoolId(const attempt_key& aKey)
{
  return (aKey.mRequest << (kPartBits + kAttemptBits)) |
         (std::uint64_t{ aKey.mPart } << kAttemptBits) | aKey.mAttempt;
}

edge_settings AddStartValues(edge_settings aSettings)
{
  // Later starts of the daemon on a VM get higher numbers unless its system clock is set back.
  aSettings.mCore.mIncarnation =
    std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count());
  std::random_device source;
  aSettings.mCore.mRandomSeed = (static_cast<std::uint64_t>(source()) << 32U) | source();
  return aSettings;
}

attempt_end ToAttemptEnd(pool_outcome aEnd)
{
  switch (aEnd) {
    case pool_outcome::Answered:
      return attempt_end::Answered;
    case pool_outcome::NotSent:
      return attempt_end::NotSent;
    case pool_outcome::Broken:
      return attempt_end::Lost;
    case pool_outcome::Expired:
      return attempt_end::Expired;
  }
  return attempt_end::Lost;
}

replica_status ToReplicaStatus(port_status aStatus)
{
  switch (aStatus) {
    case port_status::Open:
      return replica_status::Running;
    case port_status::Closed:
      return replica_status::Ended;
    case port_status::Unknown:
      return replica_status::Unknown;
  }
  return replica_status::Unknown;
}

std::string AttemptIdOf(const http_message& aMessage)
{
  const std::string* id = aMessage.Find(kAttemptIdHeader);
  return id != nullptr ? *id : std::string();
}

void LogInvalidReply(const std::string& aRequest, const std::string& aReason)
{
  Log({ log_level::Warning,
        "entry",
        "event=reply_invalid request=" + Quoted(aRequest) + " reason=" + Quoted(aReason) });
}

void LogGivenUp(memory_use aUse, const client_holding& aHolding)
{
  Log({ log_level::Warning, "entry", GivenUpText(aUse, aHolding) });
}

// Limits of a server for other clients than callers.
http_limits WithConnections(std::size_t aConnections)
{
  http_limits limits;
  limits.mConnections = aConnections;
  return limits;
}

// Logs connections of a server that were closed to make room for others.
std::function<void(std::size_t)> LogRoomMade(const char* aServer)
{
  return [aServer](std::size_t aCount) {
    Log({ log_level::Warning,
          "entry",
          std::string("event=room_made server=") + aServer + " closed=" + std::to_string(aCount) });
  };
}

http_limits ToHttpLimits(const client_limits& aLimits, std::size_t aConnections)
{
  http_limits limits;
  limits.mConnections = aConnections;
  limits.mRead = { aLimits.mMaxBodyBytes, aLimits.mMaxHeaderBytes };
  limits.mHeaderTimeout = aLimits.mHeaderTimeout;
  limits.mRequestTimeout = kRequestBodyTimeout;
  limits.mIdleTimeout = aLimits.mIdleTimeout;
  limits.mReplyTimeout = kAnswerTimeout;
  return limits;
}

// Incomplete replies may take half of the memory for replies.
pool_limits PoolLimits(const client_memory& aMemory)
{
  pool_limits limits;
  limits.mIncompleteBytes =
    std::min(limits.mIncompleteBytes, aMemory.Budget(memory_use::Replies)->Limit() / 2);
  return limits;
}

} // namespace

edge_daemon::edge_daemon(edge_settings aSettings, const forward_hooks& aHooks)
  : mSettings(AddStartValues(std::move(aSettings)))
  , mLoop(mSettings.mWorkers)
  , mConnectionShares(ConnectionShares(WithKernelLimit(mSettings.mLimits)))
  , mMemory(mLoop, MemoryShares(mSettings.mLimits), LogGivenUp)
  , mExpectedReplies(
      std::make_shared<memory_budget>(std::numeric_limits<std::size_t>::max(), nullptr))
  , mDriver(mLoop,
            mSettings.mCore,
            Forwarding(aHooks),
            mSettings.mBoardShards,
            [this](command& aCommand) { Execute(aCommand); })
  , mReplicaPool(mLoop, PoolLimits(mMemory), mMemory.Budget(memory_use::Replies))
  , mStore(mLoop, mSettings.mStore, [this](fact aFact) { mDriver.Post(std::move(aFact)); })
  , mPeers(mLoop, [this](std::string_view aBytes) { OnDatagram(aBytes); })
  , mCallerServer(mLoop,
                  mRequestIds,
                  { [this](std::uint64_t aRequestId, const http_message& aMessage) {
                     OnRequest(aRequestId, aMessage);
                   },
                    [this](std::uint64_t aRequestId) { OnClientDisconnected(aRequestId); },
                    nullptr,
                    AttemptIdOf,
                    LogInvalidReply,
                    LogRoomMade("callers") },
                  ToHttpLimits(client_limits{}, mConnectionShares.mCallers),
                  &mMemory)
  , mReadinessServer(mLoop,
                     mRequestIds,
                     { [this](std::uint64_t aRequestId, const http_message& aMessage) {
                        OnControlRequest(aRequestId, aMessage);
                      },
                       nullptr,
                       nullptr,
                       nullptr,
                       nullptr,
                       LogRoomMade("readiness") },
                     WithConnections(mConnectionShares.mReadiness),
                     &mMemory)
  , mAddressServer(mLoop,
                   mRequestIds,
                   { [this](std::uint64_t aRequestId, const http_message& aMessage) {
                      OnControlRequest(aRequestId, aMessage);
                    },
                     nullptr,
                     nullptr,
                     nullptr,
                     nullptr,
                     LogRoomMade("addresses") },
                   WithConnections(mConnectionShares.mAddresses),
                   &mMemory)
  , mMetricsServer(mLoop,
                   mRequestIds,
                   { [this](std::uint64_t aRequestId, const http_message& aMessage) {
                      OnMetricsRequest(aRequestId, aMessage);
                    },
                     nullptr,
                     nullptr,
                     nullptr,
                     nullptr,
                     LogRoomMade("metrics") },
                   WithConnections(mConnectionShares.mMetrics),
                   &mMemory)
{
}

edge_daemon::~edge_daemon()
{
  mLoop.Stop();
}

void edge_daemon::HandleSignalsAndReload(const std::string& aSettingsFile)
{
  mSettingsReloader = std::make_unique<settings_reloader>(
    mLoop, aSettingsFile, mSettings, [this](const forward_config& aNew) {
      mDriver.Post(settings_changed{ aNew });
    });
  mLoop.OnStopSignals([this] { RequestStop(); });
  mLoop.OnReloadSignals([this] { mSettingsReloader->Reload(); });
}

result<edge_addresses> edge_daemon::Start()
{
  edge_addresses bound;
  std::optional<reason> failed;
  const auto listen = [&failed](auto aOpen, const std::string& aAddress, std::string& aBound) {
    if (failed) {
      return;
    }
    const result<std::string> address = aOpen(aAddress);
    if (!address) {
      failed = address.mReason;
      return;
    }
    aBound = *address;
  };
  const auto listenOn = [](http_server& aServer) {
    return [&aServer](const std::string& aAddress) { return aServer.ListenOn(aAddress); };
  };
  listen(listenOn(mCallerServer), mSettings.mListenCallers, bound.mCallers);
  listen(listenOn(mReadinessServer), mSettings.mListenReadiness, bound.mReadiness);
  listen(listenOn(mAddressServer), mSettings.mListenAddresses, bound.mAddresses);
  listen(listenOn(mMetricsServer), mSettings.mListenMetrics, bound.mMetrics);
  listen([this](const std::string& aAddress) { return mPeers.Open(aAddress); },
         mSettings.mListenPeers,
         bound.mPeers);
  if (failed) {
    return { std::nullopt, *failed };
  }
  mLoop.OnUnexpectedError([this](const std::string& aText) {
    ++mUnexpectedErrors;
    Log({ log_level::Warning, "daemon", "event=unexpected_error text=" + Quoted(aText) });
  });
  mLoop.Start();
  mDriver.Start();
  if (mSettingsReloader) {
    mSettingsReloader->Start();
  }
  Log({ log_level::Info,
        "entry",
        "event=start vm=" + mSettings.mCore.mVm + " incarnation=" + mSettings.mCore.mIncarnation +
          " zone=" + mSettings.mCore.mZone + " callers=" + bound.mCallers +
          " peers=" + bound.mPeers + " store=" + mSettings.mStore });
  return Success(std::move(bound));
}

void edge_daemon::RequestStop()
{
  instant unset = kNever;
  mStopRequestedAt.compare_exchange_strong(unset, SteadyNow());
  Log(StopSignalLine(++mStopSignals));
  mCallerServer.AnnounceClose();
  mAddressServer.AnnounceClose();
  mDriver.Post(stop_requested{});
}

void edge_daemon::WaitForEnd()
{
  std::unique_lock lock(mEndLock);
  mEndCondition.wait(lock, [this] { return mHasEnded; });
}

void edge_daemon::EndWhenFlushed(const exit_process& aCommand, instant aCloseUntil)
{
  // Waits until the clients have closed: ending the process with received bytes unread would reset
  // their connections, and a reply that is on the way could be lost.
  mCallerServer.CloseAll();
  mAddressServer.CloseIdle(true);
  const instant now = SteadyNow();
  if (now >= aCommand.mReadUntil) {
    RefusePartlyRead();
  }
  const bool directing =
    mAddressServer.PendingRequests() > 0 || mAddressServer.UndeliveredBytes() > 0;
  const bool unfinished =
    directing || mCallerServer.UndeliveredBytes() > 0 || mCallerServer.ActiveConnections() > 0;
  const bool connected = directing || mCallerServer.Connections() > 0;
  const instant closeUntil = unfinished ? now + kCloseTimeout : aCloseUntil;
  if (connected && now < std::min(closeUntil, aCommand.mFlushUntil)) {
    mLoop.After(kFlushCheckInterval,
                [this, aCommand, closeUntil] { EndWhenFlushed(aCommand, closeUntil); });
    return;
  }
  End(connected);
}

void edge_daemon::RefusePartlyRead()
{
  forward_answer refusal;
  refusal.mKind = answer_kind::NotRun;
  const std::size_t count = mCallerServer.RefusePartlyRead(EncodeAnswer(refusal));
  if (count > 0) {
    Log({ log_level::Info, "entry", "event=partly_read_refused count=" + std::to_string(count) });
  }
}

void edge_daemon::End(bool aTimeLimit)
{
  const instant now = SteadyNow();
  const stop_summary summary{ now - mStopRequestedAt.load(),
                              aTimeLimit,
                              mCallerServer.Connections() };
  for (const log_line& line : StopReport(summary, mCallerServer.UnfinishedConnections(), now)) {
    Log(line);
  }
  {
    const std::lock_guard lock(mEndLock);
    mHasEnded = true;
  }
  mEndCondition.notify_all();
}

bool edge_daemon::IsReady() const
{
  const auto view = Core().Board().Read<fleet_view>(kFleetKey);
  return view && view->mSelf.mServing;
}

void edge_daemon::OnRequest(std::uint64_t aRequestId, const http_message& aMessage)
{
  forward_request content = DecodeRequest(aMessage);
  content.mRoundTrip = mCallerServer.RoundTrip(aRequestId);
  content.mDeliveryTime = mCallerServer.DeliveryTime(aRequestId);
  content.mRoom = Room();
  content.mRoom.mRequestBytes = HeldBytes(aMessage);
  mRequests.Insert(aRequestId,
                   { std::make_shared<const http_message>(aMessage),
                     SteadyNow(),
                     memory_charge(mMemory.Budget(memory_use::Open), content.mRoom.mRequestBytes),
                     memory_charge(mExpectedReplies) });
  mDriver.Post(request_arrived{ aRequestId, std::move(content) });
}

client_room edge_daemon::Room() const
{
  const memory_budget& open = *mMemory.Budget(memory_use::Open);
  const memory_budget& replies = *mMemory.Budget(memory_use::Replies);
  client_room room;
  room.mOpenBytes = open.Used();
  room.mOpenLimit = open.Limit();
  room.mReplyBytes = replies.Used() + mExpectedReplies->Used();
  room.mReplyLimit = replies.Limit();
  room.mOpenRequests = mCallerServer.PendingRequests();
  room.mConnections = mCallerServer.Connections();
  room.mMaxConnections = mConnectionShares.mCallers;
  return room;
}

reply_pointer edge_daemon::Counted(reply_pointer aReply)
{
  // Counting a short reply would cost more than it is worth.
  constexpr std::size_t kMinCounted = 4096;
  if (!aReply || aReply->mBody.size() < kMinCounted) {
    return aReply;
  }
  struct counted_reply
  {
    reply_pointer mReply;
    memory_charge mCharge;
  };
  const forward_reply* reply = aReply.get();
  return { std::make_shared<const counted_reply>(counted_reply{
             std::move(aReply),
             memory_charge(mMemory.Budget(memory_use::Replies), reply->mBody.capacity()) }),
           reply };
}

void edge_daemon::OnClientDisconnected(std::uint64_t aRequestId)
{
  mRequests.Take(aRequestId);
  mDriver.Post(request_abandoned{ aRequestId });
}

void edge_daemon::OnControlRequest(std::uint64_t aRequestId, const http_message& aMessage)
{
  const std::string_view path = PathOf(aMessage.mTarget);
  if (path == kReadinessPath) {
    mReadinessServer.Reply(aRequestId, { IsReady() ? 200U : 503U, "", "", {} });
  } else if (path == kResolutionPath) {
    mDriver.Post(entry_requested{ aRequestId,
                                  QueryParameter(aMessage.mTarget, "name"),
                                  QueryParameter(aMessage.mTarget, "zone") });
  } else {
    mReadinessServer.Reply(aRequestId, { 404, "", "", {} });
    mAddressServer.Reply(aRequestId, { 404, "", "", {} });
  }
}

void edge_daemon::OnMetricsRequest(std::uint64_t aRequestId, const http_message& aMessage)
{
  const bool known = PathOf(aMessage.mTarget) == "/metrics";
  mMetricsServer.Reply(aRequestId,
                       { known ? 200U : 404U, "text/plain", known ? MetricsText() : "", {} });
}

void edge_daemon::OnDatagram(std::string_view aBytes)
{
  result<heartbeat> parsed = ParseHeartbeat(aBytes);
  if (!parsed) {
    Log({ log_level::Warning,
          "members",
          "event=heartbeat_refused reason=\"" + Describe(parsed.mReason) + "\"" });
    return;
  }
  mDriver.Post(heartbeat_received{ std::move(*parsed) });
}

void edge_daemon::Execute(command& aCommand)
{
  std::visit(
    [this](auto& aEach) {
      using type = std::decay_t<decltype(aEach)>;
      if constexpr (std::is_same_v<type, send_attempt> || std::is_same_v<type, answer_request> ||
                    std::is_same_v<type, apply_client_limits> ||
                    std::is_same_v<type, check_replica>) {
        Execute(aEach);
      } else if constexpr (std::is_same_v<type, cancel_attempt>) {
        mReplicaPool.Cancel(PoolId(aEach.mKey), aEach.mSilent);
      } else if constexpr (std::is_same_v<type, read_store_page>) {
        mStore.Read(aEach);
      } else if constexpr (std::is_same_v<type, watch_store>) {
        mStore.Watch(aEach);
      } else if constexpr (std::is_same_v<type, check_store>) {
        mStore.Check(aEach);
      } else if constexpr (std::is_same_v<type, send_heartbeat>) {
        // A heartbeat that cannot be sent is not retried; the next one replaces it.
        mPeers.Send(aEach.mAddress, FormatHeartbeat(aEach.mHeartbeat));
      } else if constexpr (std::is_same_v<type, answer_entry>) {
        mAddressServer.Reply(aEach.mEntryRequest, EncodeAddresses(aEach.mAnswer));
      } else if constexpr (std::is_same_v<type, close_callers>) {
        mCallerServer.CloseIdle(aEach.mUnused);
      } else if constexpr (std::is_same_v<type, log_line>) {
        Log(aEach);
      } else if constexpr (std::is_same_v<type, exit_process>) {
        EndWhenFlushed(aEach, SteadyNow() + kCloseTimeout);
      }
    },
    aCommand);
}

void edge_daemon::Execute(const send_attempt& aCommand)
{
  const auto report = [this,
                       key = aCommand.mKey,
                       replica = aCommand.mReplica,
                       sentAt = SteadyNow()](decoded_reply aReply, bool aNewConnection = false) {
    mMetrics.CountAttempt(ToString(aReply.mEnd), SteadyNow() - sentAt);
    mDriver.Post(attempt_ended{ key,
                                replica,
                                aReply.mEnd,
                                Counted(std::move(aReply.mReply)),
                                std::move(aReply.mReason),
                                aNewConnection,
                                aReply.mNotice });
  };
  std::shared_ptr<const http_message> message;
  mRequests.With(aCommand.mKey.mRequest, [&](pending_request& aPending) {
    message = aPending.mMessage;
    aPending.mExpected.Set(aCommand.mReplyBytes);
  });
  const micros left = aCommand.mDeadline - SteadyNow();
  if (!message || left <= micros(0)) {
    report({ attempt_end::NotSent,
             nullptr,
             { "send",
               aCommand.mReplica->mId,
               message ? "the deadline has passed" : "the request is no longer pending" },
             {} });
    return;
  }
  pool_request request;
  request.mId = PoolId(aCommand.mKey);
  request.mAddress = aCommand.mReplica->mAddress;
  request.mText = EncodeAttempt(*message, *aCommand.mReplica, left);
  request.mConnections = aCommand.mConnections;
  request.mMaxIdleAge = aCommand.mMaxIdleAge;
  request.mConnectTimeout = kConnectTimeout;
  request.mReplyTimeout = left;
  request.mRepeatKey = aCommand.mKey.mRequest;
  request.mMatchesReply = [requestId = AttemptIdOf(*message)](const http_message& aReply) {
    return MatchesRequestId(aReply, requestId);
  };
  mReplicaPool.Start(std::move(request),
                     [report, replica = aCommand.mReplica](pool_result aResult) {
                       if (aResult.mOutcome != pool_outcome::Answered) {
                         report({ ToAttemptEnd(aResult.mOutcome), nullptr, aResult.mReason, {} },
                                aResult.mNewConnection);
                         return;
                       }
                       report(DecodeReply(std::move(aResult.mReply), replica->mId));
                     });
}

void edge_daemon::Execute(const answer_request& aCommand)
{
  if (const auto pending = mRequests.Take(aCommand.mRequest)) {
    mMetrics.CountForward(ToString(aCommand.mAnswer.mKind), SteadyNow() - pending->mArrivedAt);
  }
  mCallerServer.Reply(aCommand.mRequest, EncodeAnswer(aCommand.mAnswer));
}

void edge_daemon::Execute(const check_replica& aCommand)
{
  CheckPort(mLoop,
            aCommand.mReplica->mAddress,
            kConnectTimeout,
            [this, replica = aCommand.mReplica](port_status aStatus) {
              mDriver.Post(replica_checked{ replica, ToReplicaStatus(aStatus) });
            });
}

void edge_daemon::Execute(const apply_client_limits& aCommand)
{
  mCallerServer.SetLimits(ToHttpLimits(aCommand.mLimits, mConnectionShares.mCallers));
}

double edge_daemon::MemoryUsed(memory_use aUse) const
{
  return static_cast<double>(mMemory.Budget(aUse)->Used());
}

std::string edge_daemon::MetricsText() const
{
  const auto stored = Core().Board().Read<follow_state>(kStoreKey);
  const follow_state copy = stored ? *stored : follow_state{};
  return mMetrics.ExpositionText(
    Core().Board(),
    { { "redwingdock_caller_connections", static_cast<double>(mCallerServer.Connections()) },
      { "redwingdock_requests_waiting", static_cast<double>(mCallerServer.PendingRequests()) },
      { "redwingdock_unsent_reply_bytes", static_cast<double>(mCallerServer.UnsentBytes()) },
      { "redwingdock_stop_signals", static_cast<double>(mStopSignals) },
      { "redwingdock_replica_connections", static_cast<double>(mReplicaPool.Connections()) },
      { "redwingdock_replica_places", static_cast<double>(mReplicaPool.PlacesHeld()) },
      { "redwingdock_replica_connections_opened", static_cast<double>(mReplicaPool.Opened()) },
      { "redwingdock_log_lines_lost", static_cast<double>(LostLogLines()) },
      { "redwingdock_unexpected_errors", static_cast<double>(mUnexpectedErrors) },
      { "redwingdock_clients_given_up", static_cast<double>(mMemory.GivenUp()) },
      { "redwingdock_connections_closed_for_room",
        static_cast<double>(mCallerServer.ClosedForRoom() + mReadinessServer.ClosedForRoom() +
                            mAddressServer.ClosedForRoom() + mMetricsServer.ClosedForRoom()) },
      { "redwingdock_store_era", static_cast<double>(copy.mAsOf.mEra) },
      { "redwingdock_store_revision", static_cast<double>(copy.mAsOf.mRevision) },
      { "redwingdock_store_unconfirmed_ms",
        static_cast<double>(ToMs(SteadyNow() - copy.mConfirmedAt)) },
      { "redwingdock_memory_reading_bytes", MemoryUsed(memory_use::Reading) },
      { "redwingdock_memory_open_bytes", MemoryUsed(memory_use::Open) },
      { "redwingdock_memory_replies_bytes", MemoryUsed(memory_use::Replies) } });
}

} // namespace redwingdock::platform
