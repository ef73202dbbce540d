#include "daemon/http2_session.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <nghttp2/nghttp2.h>
#include <utility>

namespace redwingdock {

namespace {

constexpr std::uint32_t kMaxConcurrentStreams = 32;
constexpr std::int32_t kStreamWindowBytes = 1024 * 1024;
constexpr std::int32_t kConnectionWindowBytes = 4 * 1024 * 1024;
constexpr std::size_t kMaxHeaderBytes = std::size_t{ 8 } * 1024;
// Limit for the incomplete bodies of all streams of a session together, as a multiple of the body
// limit.
constexpr std::size_t kMaxIncompleteBodies = 2;

struct stream
{
  std::string mMethod;
  std::string mPath;
  std::string mBody;
  std::size_t mSent = 0;
  std::size_t mHeaderBytes = 0;
  std::uint32_t mStatus = 0;
  bool mTooLarge = false;
};

nghttp2_nv MakeHeader(std::string_view aName, std::string_view aValue)
{
  // The casts are safe: nghttp2 copies names and values and does not modify them.
  return { reinterpret_cast<std::uint8_t*>(const_cast<char*>(aName.data())),
           reinterpret_cast<std::uint8_t*>(const_cast<char*>(aValue.data())),
           aName.size(),
           aValue.size(),
           NGHTTP2_NV_FLAG_NONE };
}

} // namespace

struct http2_session::state
{
  http2_side mSide = http2_side::Server;
  std::size_t mBodyLimit = 0;
  nghttp2_session* mSession = nullptr;
  std::map<std::int32_t, stream> mStreams;
  std::size_t mIncompleteBodyBytes = 0;
  http2_events mEvents;

  state() = default;
  state(const state&) = delete;
  state& operator=(const state&) = delete;
  ~state() { nghttp2_session_del(mSession); }

  void Open()
  {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &OnBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &OnHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &OnData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &OnFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &OnClose);
    if (mSide == http2_side::Server) {
      nghttp2_session_server_new(&mSession, callbacks, this);
    } else {
      nghttp2_session_client_new(&mSession, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
    const std::array<nghttp2_settings_entry, 3> settings{
      { { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxConcurrentStreams },
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(kStreamWindowBytes) },
        { NGHTTP2_SETTINGS_ENABLE_PUSH, 0 } }
    };
    nghttp2_submit_settings(mSession,
                            NGHTTP2_FLAG_NONE,
                            settings.data(),
                            mSide == http2_side::Server ? settings.size() - 1 : settings.size());
    nghttp2_session_set_local_window_size(mSession, NGHTTP2_FLAG_NONE, 0, kConnectionWindowBytes);
  }

  static state& Self(void* aUserData) { return *static_cast<state*>(aUserData); }

  static int OnBeginHeaders(nghttp2_session*, const nghttp2_frame* aFrame, void* aUserData)
  {
    if (Self(aUserData).mSide == http2_side::Server && aFrame->hd.type == NGHTTP2_HEADERS) {
      Self(aUserData).mStreams[aFrame->hd.stream_id];
    }
    return 0;
  }

  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame* aFrame,
                      const std::uint8_t* aName,
                      std::size_t aNameSize,
                      const std::uint8_t* aValue,
                      std::size_t aValueSize,
                      std::uint8_t /*aFlags*/,
                      void* aUserData)
  {
    const auto found = Self(aUserData).mStreams.find(aFrame->hd.stream_id);
    if (found == Self(aUserData).mStreams.end()) {
      return 0;
    }
    stream& target = found->second;
    target.mHeaderBytes += aNameSize + aValueSize;
    if (target.mHeaderBytes > kMaxHeaderBytes) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE; // resets the stream
    }
    const std::string_view name(reinterpret_cast<const char*>(aName), aNameSize);
    const std::string_view value(reinterpret_cast<const char*>(aValue), aValueSize);
    if (name == ":method") {
      target.mMethod = value;
    } else if (name == ":path") {
      target.mPath = value;
    } else if (name == ":status") {
      std::from_chars(value.data(), value.data() + value.size(), target.mStatus);
    }
    return 0;
  }

  static int OnData(nghttp2_session*,
                    std::uint8_t /*aFlags*/,
                    std::int32_t aStream,
                    const std::uint8_t* aData,
                    std::size_t aSize,
                    void* aUserData)
  {
    state& self = Self(aUserData);
    const auto found = self.mStreams.find(aStream);
    if (found == self.mStreams.end() || self.mSide == http2_side::Client) {
      return 0;
    }
    stream& target = found->second;
    if (!target.mTooLarge &&
        (target.mBody.size() + aSize > self.mBodyLimit ||
         self.mIncompleteBodyBytes + aSize > kMaxIncompleteBodies * self.mBodyLimit)) {
      target.mTooLarge = true;
      self.mIncompleteBodyBytes -= target.mBody.size();
      target.mBody = std::string();
    }
    if (!target.mTooLarge) {
      target.mBody.append(reinterpret_cast<const char*>(aData), aSize);
      self.mIncompleteBodyBytes += aSize;
    }
    return 0;
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* aFrame, void* aUserData)
  {
    state& self = Self(aUserData);
    if (aFrame->hd.type == NGHTTP2_PING && (aFrame->hd.flags & NGHTTP2_FLAG_ACK) != 0) {
      self.mEvents.mPingAcked = true;
    }
    const bool mayEndStream = aFrame->hd.type == NGHTTP2_HEADERS || aFrame->hd.type == NGHTTP2_DATA;
    if (self.mSide == http2_side::Server && mayEndStream &&
        (aFrame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      const auto found = self.mStreams.find(aFrame->hd.stream_id);
      if (found != self.mStreams.end()) {
        stream& done = found->second;
        self.mIncompleteBodyBytes -= done.mBody.size();
        self.mEvents.mRequests.push_back({ aFrame->hd.stream_id,
                                           std::move(done.mMethod),
                                           std::move(done.mPath),
                                           std::move(done.mBody),
                                           done.mTooLarge });
        done.mBody = std::string();
      }
    }
    return 0;
  }

  static int OnClose(nghttp2_session*, std::int32_t aStream, std::uint32_t aError, void* aUserData)
  {
    state& self = Self(aUserData);
    const auto found = self.mStreams.find(aStream);
    if (found == self.mStreams.end()) {
      return 0;
    }
    if (self.mSide == http2_side::Client) {
      self.mEvents.mStatuses.push_back(aError == 0 ? found->second.mStatus : 0);
    } else {
      self.mIncompleteBodyBytes -= found->second.mBody.size();
    }
    self.mStreams.erase(found);
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session*,
                          std::int32_t aStream,
                          std::uint8_t* aBuffer,
                          std::size_t aSize,
                          std::uint32_t* aFlags,
                          nghttp2_data_source* /*aSource*/,
                          void* aUserData)
  {
    const auto found = Self(aUserData).mStreams.find(aStream);
    if (found == Self(aUserData).mStreams.end()) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    stream& source = found->second;
    const std::size_t size = std::min(aSize, source.mBody.size() - source.mSent);
    std::copy_n(source.mBody.data() + source.mSent, size, aBuffer);
    source.mSent += size;
    if (source.mSent == source.mBody.size()) {
      *aFlags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(size);
  }
};

http2_session::http2_session(http2_side aSide, std::size_t aBodyLimit)
  : mState(std::make_unique<state>())
{
  mState->mSide = aSide;
  mState->mBodyLimit = aBodyLimit;
  mState->Open();
}

http2_session::~http2_session() = default;
http2_session::http2_session(http2_session&&) noexcept = default;
http2_session& http2_session::operator=(http2_session&&) noexcept = default;

result<http2_events> http2_session::Receive(std::string_view aBytes)
{
  mState->mEvents = {};
  const ssize_t used = nghttp2_session_mem_recv(
    mState->mSession, reinterpret_cast<const std::uint8_t*>(aBytes.data()), aBytes.size());
  if (used < 0) {
    return Failure<http2_events>("read frames", "", nghttp2_strerror(static_cast<int>(used)));
  }
  if (nghttp2_session_want_read(mState->mSession) == 0 &&
      nghttp2_session_want_write(mState->mSession) == 0) {
    return Failure<http2_events>("read frames", "", "HTTP/2 session has ended");
  }
  return Success(std::move(mState->mEvents));
}

std::string http2_session::TakeOutput()
{
  std::string output;
  for (;;) {
    const std::uint8_t* bytes = nullptr;
    const ssize_t size = nghttp2_session_mem_send(mState->mSession, &bytes);
    if (size <= 0) {
      return output;
    }
    output.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size));
  }
}

bool http2_session::Post(const std::string& aPath, const std::string& aAuthority, std::string aBody)
{
  const std::array<nghttp2_nv, 5> headers{ MakeHeader(":method", "POST"),
                                           MakeHeader(":scheme", "http"),
                                           MakeHeader(":authority", aAuthority),
                                           MakeHeader(":path", aPath),
                                           MakeHeader("content-type", "application/protobuf") };
  nghttp2_data_provider provider{};
  provider.read_callback = &state::ReadBody;
  const std::int32_t id = nghttp2_submit_request(
    mState->mSession, nullptr, headers.data(), headers.size(), &provider, nullptr);
  if (id < 0) {
    return false; // stream IDs are exhausted or the peer sent GOAWAY
  }
  mState->mStreams[id].mBody = std::move(aBody);
  return true;
}

void http2_session::Reply(std::int32_t aStream, unsigned aStatus)
{
  const std::string status = std::to_string(aStatus);
  const std::array<nghttp2_nv, 1> headers{ MakeHeader(":status", status) };
  nghttp2_submit_response(mState->mSession, aStream, headers.data(), headers.size(), nullptr);
}

void http2_session::Ping()
{
  nghttp2_submit_ping(mState->mSession, NGHTTP2_FLAG_NONE, nullptr);
}

} // namespace redwingdock
