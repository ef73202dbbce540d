#include "daemon/tcp.h"

#include "base/heap.h"
#include "daemon/endpoint.h"

#include <algorithm>
#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <initializer_list>
#include <limits>
#include <linux/filter.h>
#include <linux/sockios.h>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <thread>
#include <utility>
#include <vector>

namespace redwingdock {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

instant SteadyNow()
{
  return instant(
    std::chrono::duration_cast<micros>(std::chrono::steady_clock::now().time_since_epoch()));
}

namespace {

std::chrono::steady_clock::time_point ToSteadyTimePoint(instant aTime)
{
  return std::chrono::steady_clock::time_point(aTime.time_since_epoch());
}

std::optional<tcp::endpoint> ParseTcpEndpoint(const std::string& aAddress)
{
  const std::optional<detail::endpoint> endpoint = detail::ParseEndpoint(aAddress);
  return endpoint ? std::optional(tcp::endpoint(endpoint->mAddress, endpoint->mPort))
                  : std::nullopt;
}

constexpr std::size_t kReadBufferBytes = std::size_t{ 64 } * 1024;
// Delay before the next accept after an error such as "too many open files", which would otherwise
// recur in a busy loop.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 100 };
// Handshakes that have begun get this time to end before a listener closes: about a round trip
// between availability zones. Peers that connect meanwhile lose a second, so it is short.
constexpr std::chrono::milliseconds kHandshakeTime{ 1 };
// Buffers of the kernel for a connection that a client opened, which count as memory of the VM. The
// kernel would let them grow to megabytes. 256 KB carry 5 MB/s over a way of 50 ms.
constexpr int kClientBufferBytes = 256 * 1024;
// Sent bytes of a buffer are given back from this size on.
constexpr std::size_t kMinReleasedBytes = std::size_t{ 64 } * 1024;
// How long CloseAfterSend waits for the peer to close, or to receive more of what was sent.
constexpr std::chrono::seconds kCloseTimeout{ 1 };

} // namespace

namespace detail {

struct io_loop_state
{
  explicit io_loop_state(std::size_t aThreads)
    : mThreadCount(aThreads)
    , mContext(static_cast<int>(aThreads))
    , mWorkGuard(mContext.get_executor())
    , mSignals(mContext)
  {
  }

  void AddSignals(std::initializer_list<int> aSignals)
  {
    error_code ignored;
    for (const int each : aSignals) {
      mSignals.add(each, ignored);
    }
    if (!mWaitingForSignals) {
      mWaitingForSignals = true;
      WaitForSignal();
    }
  }

  void WaitForSignal()
  {
    mSignals.async_wait([this](const error_code& aError, int aSignal) {
      if (aError) {
        return;
      }
      const auto& hook = aSignal == SIGHUP ? mReloadHook : mStopHook;
      if (hook) {
        hook();
      }
      WaitForSignal();
    });
  }

  // Runs the loop until it is stopped.
  void Run()
  {
    if (!mErrorHook) {
      mContext.run();
      return;
    }
    for (bool ended = false; !ended;) {
      try {
        mContext.run();
        ended = true;
      } catch (const std::exception& error) {
        mErrorHook(error.what());
      }
    }
  }

  std::function<void(const std::string&)> mErrorHook;
  std::function<void()> mStopHook; // both hooks are set before the threads start
  std::function<void()> mReloadHook;
  bool mWaitingForSignals = false;
  std::size_t mThreadCount;
  asio::io_context mContext;
  asio::executor_work_guard<asio::io_context::executor_type> mWorkGuard;
  asio::signal_set mSignals;
  std::vector<std::thread> mThreads;
};

struct timer_state : std::enable_shared_from_this<timer_state>
{
  timer_state(asio::io_context& aContext, std::function<void()> aHook)
    : mTimer(aContext)
    , mHook(std::move(aHook))
  {
  }

  void Set(instant aDue)
  {
    const std::lock_guard lock(mLock);
    if (aDue == mDue || mStopped) {
      return;
    }
    mDue = aDue;
    if (aDue == kNever) {
      mTimer.cancel();
      return;
    }
    mTimer.expires_at(ToSteadyTimePoint(aDue));
    mTimer.async_wait([self = shared_from_this()](const error_code& aError) {
      if (aError) {
        return;
      }
      {
        const std::lock_guard relock(self->mLock);
        if (self->mStopped || self->mDue > SteadyNow()) {
          return;
        }
        self->mDue = kNever;
      }
      self->mHook();
    });
  }

  void Stop()
  {
    const std::lock_guard lock(mLock);
    mStopped = true;
    mTimer.cancel();
  }

  std::mutex mLock;
  asio::steady_timer mTimer;
  std::function<void()> mHook;
  instant mDue = kNever;
  bool mStopped = false;
};

struct connection_state : std::enable_shared_from_this<connection_state>
{
  explicit connection_state(asio::io_context& aContext)
    : mContext(aContext)
    , mSocket(aContext)
    , mTimer(aContext)
  {
  }

  void Open(const std::string& aAddress, micros aTimeout)
  {
    const std::lock_guard lock(mLock);
    const std::optional<tcp::endpoint> endpoint = ParseTcpEndpoint(aAddress);
    if (!endpoint) {
      CloseLocked("\"" + aAddress + "\" is not an address of the form ip:port");
      return;
    }
    ExpireAfterLocked(aTimeout);
    mSocket.async_connect(
      *endpoint, [self = shared_from_this()](const error_code& aError) { self->Opened(aError); });
  }

  void Opened(const error_code& aError)
  {
    {
      const std::lock_guard lock(mLock);
      if (mClosed) {
        return;
      }
      if (aError) {
        CloseLocked(tcp_close_info{ .mDescription = "connect: " + aError.message(),
                                    .mRefused = aError == asio::error::connection_refused });
        return;
      }
      ExpireAfterLocked(tcp_connection::kNoLimit);
      MarkOpenLocked();
    }
    if (mHooks.mOnOpen) {
      mHooks.mOnOpen();
    }
    Write();
    WaitForBytes();
  }

  void MarkOpenLocked()
  {
    error_code ignored;
    mSocket.set_option(tcp::no_delay(true), ignored);
    mSocket.non_blocking(true, ignored);
    mOpen = true;
  }

  void WaitForBytes()
  {
    const std::lock_guard lock(mLock);
    WaitForBytesLocked();
  }

  void WaitForBytesLocked()
  {
    mWaitingToRead = false;
    if (mClosed) {
      return;
    }
    if (mReadingPaused) {
      mWaitingToRead = true; // until ResumeReading
      return;
    }
    // Waiting for readiness, instead of starting a read, means that idle connections need no
    // buffer.
    mSocket.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& aError) {
                         if (!aError) {
                           self->Read();
                         }
                       });
  }

  void Read()
  {
    thread_local std::array<char, kReadBufferBytes> buffer;
    std::size_t size = 0;
    {
      const std::lock_guard lock(mLock);
      if (mClosed) {
        return;
      }
      error_code error;
      size = mSocket.read_some(asio::buffer(buffer), error);
      if (error && error != asio::error::would_block && error != asio::error::try_again) {
        if (mClosing) {
          CloseLocked(mCloseReason);
        } else if (error == asio::error::eof) {
          CloseLocked(tcp_close_info{ .mDescription = "closed by the peer", .mOrderly = true });
        } else {
          CloseLocked(error.message());
        }
        return;
      }
      if (mClosing) {
        size = 0;
      }
    }
    if (size > 0 && mHooks.mOnBytes) {
      try {
        mHooks.mOnBytes(std::string_view(buffer.data(), size));
      } catch (const std::exception&) {
        const std::lock_guard lock(mLock);
        CloseLocked("unexpected error");
        throw;
      }
    }
    WaitForBytes();
  }

  void PauseReading()
  {
    const std::lock_guard lock(mLock);
    mReadingPaused = !mClosing;
  }

  void ResumeReading()
  {
    const std::lock_guard lock(mLock);
    ResumeReadingLocked();
  }

  void ResumeReadingLocked()
  {
    mReadingPaused = false;
    if (mWaitingToRead) {
      WaitForBytesLocked();
    }
  }

  bool Send(std::string aBytes)
  {
    const std::lock_guard lock(mLock);
    if (mClosed || mClosing) {
      return false;
    }
    const bool first = mSendBuffer.empty();
    if (first) {
      mSendBuffer = std::move(aBytes);
    } else {
      mSendBuffer += aBytes;
    }
    const std::size_t written = WriteLocked();
    return !mClosed || !first || written > 0;
  }

  void Write()
  {
    const std::lock_guard lock(mLock);
    WriteLocked();
  }

  // Returns the number of bytes that were passed to the kernel.
  std::size_t WriteLocked()
  {
    if (!mOpen || mClosed || mWaitingToWrite) {
      return 0;
    }
    std::size_t written = 0;
    while (mSentBytes < mSendBuffer.size()) {
      error_code error;
      const std::size_t size = mSocket.write_some(
        asio::buffer(mSendBuffer.data() + mSentBytes, mSendBuffer.size() - mSentBytes), error);
      mSentBytes += size;
      written += size;
      mSentSinceLimit = mSentSinceLimit || size > 0;
      if (error == asio::error::would_block || error == asio::error::try_again) {
        ReleaseSentLocked();
        mWaitingToWrite = true;
        mSocket.async_wait(
          tcp::socket::wait_write,
          [self = shared_from_this()](const error_code& aError) { self->WriteWaiting(aError); });
        return written;
      }
      if (error) {
        CloseLocked(error.message());
        return written;
      }
    }
    FreeText(mSendBuffer);
    mSentBytes = 0;
    if (mClosing && !mSendShutDown) {
      // Closing the socket while bytes still arrive would reset the connection, and the peer could
      // lose the last reply.
      mSendShutDown = true;
      error_code ignored;
      mSocket.shutdown(tcp::socket::shutdown_send, ignored);
      ExpireAfterLocked(kCloseTimeout);
    }
    return written;
  }

  void WriteWaiting(const error_code& aError)
  {
    bool sent = false;
    {
      const std::lock_guard lock(mLock);
      mWaitingToWrite = false;
      if (!aError) {
        WriteLocked();
      }
      sent = !mClosed && !mClosing && mSendBuffer.empty();
    }
    if (sent && mHooks.mOnSent) {
      mHooks.mOnSent();
    }
  }

  // Gives back the memory of bytes that were sent once they are half of the buffer, so that each
  // byte is moved once on average.
  void ReleaseSentLocked()
  {
    if (mSentBytes >= kMinReleasedBytes && mSentBytes >= mSendBuffer.size() / 2) {
      mSendBuffer = mSendBuffer.substr(mSentBytes);
      mSentBytes = 0;
    }
  }

  void CloseAfterSend(std::string aReason)
  {
    const std::lock_guard lock(mLock);
    if (mClosed) {
      return;
    }
    mClosing = true;
    mCloseReason = std::move(aReason);
    ResumeReadingLocked(); // the end of the connection is read
    WriteLocked();
  }

  void CloseLocked(std::string aReason)
  {
    CloseLocked(tcp_close_info{ .mDescription = std::move(aReason) });
  }

  void CloseLocked(tcp_close_info aInfo)
  {
    if (mClosed) {
      return;
    }
    mClosed = true;
    error_code ignored;
    mSocket.shutdown(tcp::socket::shutdown_both, ignored);
    mSocket.close(ignored);
    mTimer.cancel();
    FreeText(mSendBuffer);
    mSentBytes = 0;
    asio::post(mContext, [self = shared_from_this(), end = std::move(aInfo)] {
      if (self->mHooks.mOnClosed) {
        self->mHooks.mOnClosed(end);
      }
    });
  }

  void ExpireAfterLocked(micros aDelay)
  {
    if (mClosed) {
      return;
    }
    mLimit = aDelay;
    mLimitPassed = false;
    mSentSinceLimit = false;
    mExpiry = aDelay == tcp_connection::kNoLimit ? kNever : SteadyNow() + aDelay;
    if (mExpiry < mTimerDue) {
      StartTimerLocked();
    }
  }

  // Bytes, and the end of the connection, that the kernel has not delivered to the peer yet.
  std::size_t UnacknowledgedLocked()
  {
    int bytes = 0;
    if (!mOpen || mClosed || ioctl(mSocket.native_handle(), SIOCOUTQ, &bytes) != 0) {
      return 0;
    }
    return static_cast<std::size_t>(std::max(bytes, 0));
  }

  // Whether the peer has received bytes since the last call, and others are on the way.
  bool DeliveringLocked()
  {
    const std::size_t left = UnacknowledgedLocked();
    const std::size_t before = std::exchange(mUnacknowledged, left);
    return left > 0 && left < before;
  }

  bool SendingLocked() const { return mSentSinceLimit && mSentBytes < mSendBuffer.size(); }

  // The timer is restarted only for an earlier limit. A limit that each request moves to a later
  // time leaves the timer alone; Expired() then starts it again for the rest.
  void StartTimerLocked()
  {
    mTimerDue = mExpiry;
    mTimer.expires_at(ToSteadyTimePoint(mTimerDue));
    mTimer.async_wait([self = shared_from_this()](const error_code& aError) {
      if (!aError) {
        self->Expired();
      }
    });
  }

  void Expired()
  {
    {
      const std::lock_guard lock(mLock);
      if (mClosed || mTimerDue > SteadyNow()) {
        return;
      }
      mTimerDue = kNever;
      if (mExpiry > SteadyNow()) {
        if (mExpiry != kNever) {
          StartTimerLocked();
        }
        return;
      }
      mExpiry = kNever;
      if (mClosing && (SendingLocked() || (mSendShutDown && DeliveringLocked()))) {
        ExpireAfterLocked(mLimit); // the peer reads slowly
        return;
      }
      mLimitPassed = true;
      if (mClosing || !mOpen || !mHooks.mOnExpired) {
        CloseLocked(tcp_close_info{ .mDescription = mClosing ? mCloseReason
                                                    : mOpen  ? "timed out"
                                                             : "connect: timed out",
                                    .mExpired = true });
        return;
      }
    }
    mHooks.mOnExpired();
  }

  asio::io_context& mContext;
  tcp_hooks mHooks; // set before the first operation, then constant

  mutable std::mutex mLock;
  tcp::socket mSocket;
  asio::steady_timer mTimer;
  instant mExpiry = kNever;
  instant mTimerDue = kNever;
  micros mLimit = tcp_connection::kNoLimit;
  bool mLimitPassed = false;
  bool mSentSinceLimit = false;
  std::string mSendBuffer;
  std::size_t mSentBytes = 0;
  std::string mCloseReason;
  bool mOpen = false;
  bool mClosing = false;
  bool mSendShutDown = false;
  std::size_t mUnacknowledged = std::numeric_limits<std::size_t>::max(); // when last looked at
  bool mClosed = false;
  bool mWaitingToWrite = false;
  bool mReadingPaused = false;
  bool mWaitingToRead = false; // reading continues with ResumeReading
};

struct listener_state : std::enable_shared_from_this<listener_state>
{
  listener_state(asio::io_context& aContext,
                 accept_hook aOnAccept,
                 std::function<void()> aOnExhausted)
    : mContext(aContext)
    , mAcceptor(aContext)
    , mAcceptRetryTimer(aContext)
    , mStopTimer(aContext)
    , mOnAccept(std::move(aOnAccept))
    , mOnExhausted(std::move(aOnExhausted))
  {
  }

  error_code Bind(const tcp::endpoint& aEndpoint)
  {
    error_code error;
    mAcceptor.open(aEndpoint.protocol(), error);
    if (!error) {
      mAcceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      // Accepted connections inherit both sizes.
      mAcceptor.set_option(asio::socket_base::send_buffer_size(kClientBufferBytes), error);
    }
    if (!error) {
      mAcceptor.set_option(asio::socket_base::receive_buffer_size(kClientBufferBytes), error);
    }
    if (!error) {
      mAcceptor.bind(aEndpoint, error);
    }
    if (!error) {
      mAcceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (!error) {
      mBoundEndpoint = mAcceptor.local_endpoint(error);
    }
    return error;
  }

  void Accept()
  {
    const std::lock_guard lock(mLock);
    if (mStopped) {
      return;
    }
    auto next = std::make_shared<connection_state>(mContext);
    mAcceptor.async_accept(next->mSocket,
                           [self = shared_from_this(), next](const error_code& aError) {
                             self->Accepted(next, aError);
                           });
  }

  void Accepted(const std::shared_ptr<connection_state>& aNext, const error_code& aError)
  {
    if (aError) {
      if (aError == asio::error::no_descriptors && mOnExhausted) {
        mOnExhausted();
      }
      const std::lock_guard lock(mLock);
      if (!mStopped) {
        mAcceptRetryTimer.expires_after(kAcceptRetryDelay);
        mAcceptRetryTimer.async_wait([self = shared_from_this()](const error_code& aWaitError) {
          if (!aWaitError) {
            self->Accept();
          }
        });
      }
      return;
    }
    {
      const std::lock_guard lock(aNext->mLock);
      aNext->MarkOpenLocked();
    }
    try {
      mOnAccept(std::make_shared<tcp_connection>(aNext));
    } catch (const std::exception&) {
      Accept();
      throw;
    }
    Accept();
  }

  void Stop()
  {
    const std::lock_guard lock(mLock);
    mStopped = true;
    error_code ignored;
    mAcceptor.close(ignored);
    mAcceptRetryTimer.cancel();
    mStopTimer.cancel();
  }

  // Closing the acceptor resets connections that the kernel has established and nothing has
  // accepted yet. So the kernel establishes no more of them, and what has begun ends first.
  void AcceptPendingAndStop()
  {
    const std::lock_guard lock(mLock);
    if (mStopped || std::exchange(mStopping, true)) {
      return;
    }
    IgnoreNewLocked();
    mStopTimer.expires_after(kHandshakeTime);
    mStopTimer.async_wait([self = shared_from_this()](const error_code& aError) {
      if (!aError) {
        self->AcceptEstablishedAndStop();
      }
    });
  }

  // Has the kernel drop the first packet of new connections. Their peers repeat it after a second,
  // and are refused then. A connection could still be reset if this failed.
  void IgnoreNewLocked()
  {
    constexpr std::uint32_t kFlagsOffset = 13; // in the TCP header
    constexpr std::uint32_t kSynFlag = 0x02;
    std::array<sock_filter, 4> program{ {
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
      BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, kSynFlag, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, std::numeric_limits<std::uint32_t>::max()),
    } };
    const sock_fprog filter{ static_cast<unsigned short>(program.size()), program.data() };
    ::setsockopt(mAcceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter));
  }

  void AcceptEstablishedAndStop()
  {
    std::vector<std::shared_ptr<connection_state>> pending;
    {
      const std::lock_guard lock(mLock);
      error_code error;
      mAcceptor.non_blocking(true, error);
      while (!error && !mStopped) {
        auto next = std::make_shared<connection_state>(mContext);
        mAcceptor.accept(next->mSocket, error);
        if (!error) {
          pending.push_back(std::move(next));
        }
      }
    }
    Stop();
    for (const std::shared_ptr<connection_state>& each : pending) {
      {
        const std::lock_guard lock(each->mLock);
        each->MarkOpenLocked();
      }
      mOnAccept(std::make_shared<tcp_connection>(each));
    }
  }

  std::mutex mLock;
  asio::io_context& mContext;
  tcp::acceptor mAcceptor;
  asio::steady_timer mAcceptRetryTimer;
  asio::steady_timer mStopTimer;
  accept_hook mOnAccept;
  std::function<void()> mOnExhausted;
  tcp::endpoint mBoundEndpoint;
  bool mStopping = false; // AcceptPendingAndStop was called
  bool mStopped = false;
};

} // namespace detail

namespace detail {

std::optional<endpoint> ParseEndpoint(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const char* end = aAddress.data() + aAddress.size();
  const auto [rest, error] = std::from_chars(aAddress.data() + colon + 1, end, port);
  if (error != std::errc() || rest != end) {
    return std::nullopt;
  }
  std::string host = aAddress.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  error_code failed;
  const boost::asio::ip::address address = asio::ip::make_address(host, failed);
  if (failed) {
    return std::nullopt;
  }
  return endpoint{ address, port };
}

boost::asio::io_context& ContextOf(io_loop& aLoop)
{
  return aLoop.State().mContext;
}

} // namespace detail

io_loop::io_loop(std::size_t aThreads)
  : mState(std::make_unique<detail::io_loop_state>(std::max<std::size_t>(aThreads, 1)))
{
}

io_loop::~io_loop()
{
  Stop();
}

void io_loop::Start()
{
  for (std::size_t i = 0; i < mState->mThreadCount; ++i) {
    mState->mThreads.emplace_back([this] { mState->Run(); });
  }
}

void io_loop::Stop()
{
  mState->mContext.stop();
  for (std::thread& thread : mState->mThreads) {
    thread.join();
  }
  mState->mThreads.clear();
}

void io_loop::Post(std::function<void()> aWork)
{
  asio::post(mState->mContext, std::move(aWork));
}

void io_loop::After(micros aDelay, std::function<void()> aWork)
{
  auto timer = std::make_shared<asio::steady_timer>(mState->mContext, aDelay);
  timer->async_wait([timer, work = std::move(aWork)](const error_code& aError) {
    if (!aError) {
      work();
    }
  });
}

void io_loop::OnUnexpectedError(std::function<void(const std::string&)> aHook)
{
  mState->mErrorHook = std::move(aHook);
}

void io_loop::ReportUnexpectedError(const std::string& aText)
{
  if (mState->mErrorHook) {
    mState->mErrorHook(aText);
  }
}

void io_loop::OnStopSignals(std::function<void()> aHook)
{
  mState->mStopHook = std::move(aHook);
  mState->AddSignals({ SIGINT, SIGTERM });
}

void io_loop::OnReloadSignals(std::function<void()> aHook)
{
  mState->mReloadHook = std::move(aHook);
  mState->AddSignals({ SIGHUP });
}

loop_timer::loop_timer(io_loop& aLoop, std::function<void()> aHook)
  : mState(std::make_shared<detail::timer_state>(aLoop.State().mContext, std::move(aHook)))
{
}

loop_timer::~loop_timer()
{
  mState->Stop();
}

void loop_timer::Set(instant aDue)
{
  mState->Set(aDue);
}

tcp_connection::tcp_connection(std::shared_ptr<detail::connection_state> aState)
  : mState(std::move(aState))
{
}

void tcp_connection::Start(tcp_hooks aHooks)
{
  mState->mHooks = std::move(aHooks);
  mState->WaitForBytes();
}

bool tcp_connection::Send(std::string aBytes)
{
  return mState->Send(std::move(aBytes));
}

void tcp_connection::Close(std::string aReason)
{
  const std::lock_guard lock(mState->mLock);
  mState->CloseLocked(std::move(aReason));
}

void tcp_connection::CloseAfterSend(std::string aReason)
{
  mState->CloseAfterSend(std::move(aReason));
}

void tcp_connection::PauseReading()
{
  mState->PauseReading();
}

void tcp_connection::ResumeReading()
{
  mState->ResumeReading();
}

void tcp_connection::ExpireAfter(micros aDelay)
{
  const std::lock_guard lock(mState->mLock);
  mState->ExpireAfterLocked(aDelay);
}

bool tcp_connection::LimitPassed() const
{
  const std::lock_guard lock(mState->mLock);
  return mState->mLimitPassed;
}

bool tcp_connection::HasUnread() const
{
  const std::lock_guard lock(mState->mLock);
  char byte = 0;
  // Errors other than these are an end of the connection, too.
  return mState->mOpen && !mState->mClosed &&
         (recv(mState->mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
          (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR));
}

bool tcp_connection::Sending() const
{
  const std::lock_guard lock(mState->mLock);
  return mState->SendingLocked();
}

std::size_t tcp_connection::UnsentBytes() const
{
  const std::lock_guard lock(mState->mLock);
  return mState->mSendBuffer.size() - mState->mSentBytes;
}

std::size_t tcp_connection::HeldBytes() const
{
  const std::lock_guard lock(mState->mLock);
  const std::size_t bytes = mState->mSendBuffer.capacity();
  return bytes > std::string().capacity() ? bytes : 0;
}

std::size_t tcp_connection::UndeliveredBytes() const
{
  const std::lock_guard lock(mState->mLock);
  return mState->mSendBuffer.size() - mState->mSentBytes + mState->UnacknowledgedLocked();
}

micros tcp_connection::RoundTrip() const
{
  const std::lock_guard lock(mState->mLock);
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int failed =
    getsockopt(mState->mSocket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  return failed == 0 ? micros(info.tcpi_rtt) : micros(0);
}

std::shared_ptr<tcp_connection> Connect(io_loop& aLoop,
                                        const std::string& aAddress,
                                        micros aTimeout,
                                        tcp_hooks aHooks)
{
  auto state = std::make_shared<detail::connection_state>(aLoop.State().mContext);
  state->mHooks = std::move(aHooks);
  state->Open(aAddress, aTimeout);
  return std::make_shared<tcp_connection>(std::move(state));
}

tcp_listener::tcp_listener(std::shared_ptr<detail::listener_state> aState)
  : mState(std::move(aState))
{
}

tcp_listener::~tcp_listener()
{
  mState->Stop();
}

void tcp_listener::AcceptPendingAndStop()
{
  mState->AcceptPendingAndStop();
}

std::string tcp_listener::Address() const
{
  return mState->mBoundEndpoint.address().to_string() + ":" +
         std::to_string(mState->mBoundEndpoint.port());
}

result<std::shared_ptr<tcp_listener>> Listen(io_loop& aLoop,
                                             const std::string& aAddress,
                                             accept_hook aOnAccept,
                                             std::function<void()> aOnExhausted)
{
  const std::optional<tcp::endpoint> endpoint = ParseTcpEndpoint(aAddress);
  if (!endpoint) {
    return Failure<std::shared_ptr<tcp_listener>>(
      "listen", aAddress, "not an address of the form ip:port");
  }
  auto state = std::make_shared<detail::listener_state>(
    aLoop.State().mContext, std::move(aOnAccept), std::move(aOnExhausted));
  if (const error_code error = state->Bind(*endpoint)) {
    return Failure<std::shared_ptr<tcp_listener>>("listen", aAddress, error.message());
  }
  state->Accept();
  return Success(std::make_shared<tcp_listener>(std::move(state)));
}

} // namespace redwingdock
