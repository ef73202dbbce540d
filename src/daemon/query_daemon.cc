#include "daemon/query_daemon.h"

#include "base/log_text.h"
#include "daemon/logging.h"
#include "daemon/operator_view.h"

#include <random>
#include <type_traits>
#include <utility>
#include <variant>

namespace redwingdock {

namespace {

// Time to send the remaining answers to callers once the core has finished.
constexpr micros kFlushTimeout = std::chrono::seconds(2);
// The end of that time, for replies to requests that have been read only in part.
constexpr micros kRefusalTime = std::chrono::milliseconds(200);
// Requests that were sent before a connection closes have been read after this time.
constexpr micros kReadGrace = std::chrono::milliseconds(100);
constexpr micros kFlushCheckInterval = std::chrono::milliseconds(10);

// Time for the last answers after a second stop request, should the core not carry it out.
constexpr micros kAbortLimit = std::chrono::seconds(3);

std::uint64_t RandomNumber()
{
  std::random_device source;
  return (static_cast<std::uint64_t>(source()) << 32U) | source();
}

daemon_settings AddStartValues(daemon_settings aSettings)
{
  if (aSettings.mCore.mIncarnation.empty()) {
    aSettings.mCore.mIncarnation = RandomIncarnation();
  }
  // Daemons with equal seeds would retry at the same times.
  if (aSettings.mCore.mRandomSeed == core_config{}.mRandomSeed) {
    aSettings.mCore.mRandomSeed = RandomNumber();
  }
  return aSettings;
}

void LogInvalidReply(const std::string& /*aRequest*/, const std::string& aReason)
{
  Log({ log_level::Warning, "entry", "event=reply_invalid reason=" + Quoted(aReason) });
}

http_limits WithConnections(std::size_t aConnections)
{
  http_limits limits;
  limits.mConnections = aConnections;
  return limits;
}

void LogRoomMade(std::size_t aCount)
{
  Log({ log_level::Warning, "entry", "event=room_made closed=" + std::to_string(aCount) });
}

void LogGivenUp(memory_use aUse, const client_holding& aHolding)
{
  Log({ log_level::Warning, "entry", GivenUpText(aUse, aHolding) });
}

} // namespace

std::string RandomIncarnation()
{
  constexpr char kDigits[] = "0123456789abcdef";
  constexpr int kLength = 12;
  std::uint64_t number = RandomNumber();
  std::string text;
  for (int i = 0; i < kLength; ++i) {
    text.push_back(kDigits[number & 0xfU]);
    number >>= 4U;
  }
  return text;
}

query_daemon::query_daemon(daemon_settings aSettings, const record_search_hooks& aHooks)
  : mSettings(AddStartValues(std::move(aSettings)))
  , mLoop(mSettings.mWorkers)
  , mDriver(mLoop,
            mSettings.mCore,
            RecordSearch(aHooks),
            mSettings.mBoardShards,
            [this](command& aCommand) { Execute(aCommand); })
  , mBackends(mLoop,
              { [this](fact aFact) { mDriver.Post(std::move(aFact)); },
                [this](micros aLatency, const part_reply& aReply) {
                  mMetrics.CountPart(aReply, aLatency);
                  if (aReply.mFailure == part_failure::Malformed) {
                    Log({ log_level::Info, "gate", Describe(aReply.mReason) });
                  }
                } })
  , mConfigurationClient(mLoop,
                         mSettings.mConfigurationService,
                         [this](fact aFact) { mDriver.Post(std::move(aFact)); })
  , mPeers(mLoop,
           { mSettings.mCore.mVm, mSettings.mCore.mIncarnation },
           { [this](fact aFact) { mDriver.Post(std::move(aFact)); },
             [](std::string aText) {
               Log({ log_level::Warning, "peer", std::move(aText) });
             } })
  , mCallerApi({ [this](fact aFact) { mDriver.Post(std::move(aFact)); },
                 [this] { return FormatView(Core().Board(), Core().Config(), SteadyNow()); },
                 [this](const std::string& aRoute, const std::string& aId) {
                   return FormatExplanation(
                     Core().Board(), Core().Config(), SteadyNow(), aRoute, aId);
                 },
                 [this] { return MetricsText(); } },
               mMetrics)
  , mConnectionShares(ConnectionShares(WithKernelLimit(mSettings.mLimits)))
  , mMemory(mLoop, MemoryShares(mSettings.mLimits), LogGivenUp)
  , mCallerServer(
      mLoop,
      mRequestIds,
      { [this](std::uint64_t aRequestId, const http_message& aRequest) {
         mCallerApi.Handle(aRequestId,
                           aRequest,
                           { true, mSettings.mOperatorOnCallerAddress },
                           [this](std::uint64_t aAnswered, const http_response& aReply) {
                             mCallerServer.Reply(aAnswered, aReply);
                           });
       },
        [this](std::uint64_t aRequestId) { mCallerApi.OnCallerDisconnected(aRequestId); },
        [this](std::uint64_t aRequestId) { mCallerApi.OnAnswerTimeout(aRequestId); },
        nullptr,
        LogInvalidReply,
        LogRoomMade },
      WithConnections(mConnectionShares.mCallers),
      &mMemory)
  , mOperatorServer(mLoop,
                    mRequestIds,
                    { [this](std::uint64_t aRequestId, const http_message& aRequest) {
                       mCallerApi.Handle(
                         aRequestId,
                         aRequest,
                         { false, true },
                         [this](std::uint64_t aAnswered, const http_response& aReply) {
                           mOperatorServer.Reply(aAnswered, aReply);
                         });
                     },
                      nullptr,
                      nullptr,
                      nullptr,
                      LogInvalidReply,
                      LogRoomMade },
                    WithConnections(mConnectionShares.mAddresses),
                    &mMemory)
{
}

query_daemon::~query_daemon()
{
  Stop();
}

result<daemon_addresses> query_daemon::Start()
{
  daemon_addresses bound;
  const auto listen =
    [](auto& aServer, const std::string& aAddress, std::string& aBound) -> std::optional<reason> {
    if (aAddress.empty()) {
      return std::nullopt;
    }
    const result<std::string> address = aServer.ListenOn(aAddress);
    if (!address) {
      return address.mReason;
    }
    aBound = *address;
    return std::nullopt;
  };
  std::optional<reason> failed = listen(mCallerServer, mSettings.mListenCallers, bound.mCallers);
  if (!failed) {
    failed = listen(mPeers, mSettings.mListenPeers, bound.mPeers);
  }
  if (!failed) {
    failed = listen(mOperatorServer, mSettings.mListenOperators, bound.mOperators);
  }
  if (failed) {
    return { std::nullopt, *failed };
  }
  mLoop.OnUnexpectedError([this](const std::string& aText) {
    ++mUnexpectedErrors;
    Log({ log_level::Warning, "daemon", "event=unexpected_error text=" + Quoted(aText) });
  });
  mLoop.Start();
  mDriver.Start();
  Log({ log_level::Info,
        "entry",
        mSettings.mCore.mVm + " incarnation " + mSettings.mCore.mIncarnation +
          " listens for callers on " + bound.mCallers + ", peers on " + bound.mPeers +
          ", operators on " + bound.mOperators });
  return Success(std::move(bound));
}

void query_daemon::RequestStop()
{
  const bool again = mStopRequested.exchange(true);
  mDriver.Post(stop_requested{ again });
  if (again) {
    mAborted = true;
    mLoop.After(kAbortLimit, [this] { End(); });
  }
}

void query_daemon::StopOnSignals()
{
  mLoop.OnStopSignals([this] {
    if (mStopRequested) {
      Log(
        { log_level::Warning, "entry", "second signal, stops without waiting for open requests" });
    } else {
      Log({ log_level::Info, "entry", "signal, starts a planned stop" });
    }
    RequestStop();
  });
  mLoop.OnReloadSignals([] {
    Log({ log_level::Info, "entry", "hangup signal ignored, settings are read at the start only" });
  });
}

bool query_daemon::WaitForEnd()
{
  std::unique_lock lock(mEndLock);
  mEndCondition.wait(lock, [this] { return mHasEnded; });
  return !mAborted;
}

void query_daemon::End()
{
  {
    const std::lock_guard lock(mEndLock);
    mHasEnded = true;
  }
  mEndCondition.notify_all();
}

void query_daemon::CloseCallers()
{
  if (mCallersClosing.exchange(true)) {
    return;
  }
  // Callers that send one request after the other learn of the end from a reply, so that no request
  // of theirs crosses the close.
  mCallerServer.AnnounceClose();
  mLoop.After(kReadGrace, [this] { mCallerServer.CloseIdle(false); });
}

void query_daemon::EndWhenFlushed(instant aLatest)
{
  // Waits until the callers have closed: ending the process with received bytes unread would reset
  // their connections, and an answer that is on the way could be lost.
  mCallerServer.CloseAll();
  const instant now = SteadyNow();
  if (now >= aLatest - kRefusalTime) {
    RefusePartlyRead();
  }
  if (now >= aLatest || mCallerServer.Connections() == 0) {
    End();
    return;
  }
  mLoop.After(kFlushCheckInterval, [this, aLatest] { EndWhenFlushed(aLatest); });
}

void query_daemon::RefusePartlyRead()
{
  const std::size_t count = mCallerServer.RefusePartlyRead(caller_api::UnreadReply());
  if (count > 0) {
    Log({ log_level::Info, "entry", "refused " + std::to_string(count) + " partly read requests" });
  }
}

void query_daemon::Stop()
{
  mLoop.Stop();
}

void query_daemon::Execute(command& aCommand)
{
  std::visit(
    [this](auto& aEach) {
      using type = std::decay_t<decltype(aEach)>;
      if constexpr (std::is_same_v<type, answer_query> || std::is_same_v<type, answer_entry>) {
        mCallerApi.Answer(aEach);
      } else if constexpr (std::is_same_v<type, open_connection>) {
        mBackends.Open(aEach);
      } else if constexpr (std::is_same_v<type, close_connection>) {
        mBackends.Close(aEach);
      } else if constexpr (std::is_same_v<type, send_part>) {
        mBackends.Send(aEach);
      } else if constexpr (std::is_same_v<type, cancel_part>) {
        mBackends.Cancel(aEach);
      } else if constexpr (std::is_same_v<type, check_connection>) {
        mBackends.Check(aEach);
      } else if constexpr (std::is_same_v<type, send_to_peer>) {
        mPeers.Send(aEach);
      } else if constexpr (std::is_same_v<type, read_table>) {
        mConfigurationClient.Read(aEach);
      } else if constexpr (std::is_same_v<type, log_line>) {
        Log(aEach);
      } else if constexpr (std::is_same_v<type, close_callers>) {
        CloseCallers();
      } else if constexpr (std::is_same_v<type, exit_process>) {
        Log({ log_level::Info, "entry", "planned stop completed" });
        CloseCallers();
        mLoop.After(2 * kReadGrace, [this] { EndWhenFlushed(SteadyNow() + kFlushTimeout); });
      }
    },
    aCommand);
}

std::string query_daemon::MetricsText() const
{
  return mMetrics.ExpositionText(
    Core().Board(),
    { { "redwingdock_caller_connections", static_cast<double>(mCallerServer.Connections()) },
      { "redwingdock_requests_waiting", static_cast<double>(mCallerServer.PendingRequests()) },
      { "redwingdock_backend_connections", static_cast<double>(mBackends.Connections()) },
      { "redwingdock_peer_messages_dropped", static_cast<double>(mPeers.DroppedMessages()) },
      { "redwingdock_peer_envelopes_refused", static_cast<double>(mPeers.RefusedEnvelopes()) },
      { "redwingdock_log_lines_lost", static_cast<double>(LostLogLines()) },
      { "redwingdock_unexpected_errors", static_cast<double>(mUnexpectedErrors) },
      { "redwingdock_clients_given_up", static_cast<double>(mMemory.GivenUp()) },
      { "redwingdock_connections_closed_for_room",
        static_cast<double>(mCallerServer.ClosedForRoom() + mOperatorServer.ClosedForRoom()) } });
}

} // namespace redwingdock
