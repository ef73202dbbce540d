#ifndef REDWINGDOCK_PLATFORM_SOAK_SOAK_CLIENT_H
#define REDWINGDOCK_PLATFORM_SOAK_SOAK_CLIENT_H

#include "daemon/http_text.h"
#include "daemon/tcp.h"
#include "platform/soak/soak_ledger.h"
#include "platform/soak/soak_plan.h"

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

// A client that sends requests on connections that it keeps, until the daemon closes them, and
// records how each request ended.

namespace redwingdock::platform {

struct soak_request
{
  request_record mRecord; // up to mTimeout
  std::string mBytes;
};

struct soak_target
{
  std::string mAddress;
  std::size_t mDaemon = 0;

  auto operator<=>(const soak_target&) const = default;
};

struct soak_client_hooks
{
  std::function<std::optional<soak_target>()> mChooseTarget;
  // With a body of the given size; 0: of the size that the route has.
  std::function<soak_request(std::size_t)> mMakeRequest;
  // Whether a 2xx answer is the reply to the request.
  std::function<bool(const request_record&, const http_message&)> mIsReply;
  std::function<void(request_record)> mRecord;
};

class soak_client : public std::enable_shared_from_this<soak_client>
{
public:
  soak_client(io_loop& aLoop, soak_client_profile aProfile, soak_client_hooks aHooks);

  void Start();
  // Sends no further requests; those that are open are recorded when they end.
  void Stop();
  std::size_t OpenRequests() const;

private:
  using work = std::function<void()>;

  struct open_request
  {
    request_record mRecord;
    std::size_t mBytesAfter = 0; // that were queued behind its last byte
    bool mSent = false;
  };

  void After(micros aDelay, work aWork);
  void Open();
  void OnOpen(std::uint64_t aConnection);
  void OnBytes(std::uint64_t aConnection, std::string_view aBytes);
  void OnClosed(std::uint64_t aConnection, const tcp_close_info& aInfo);
  void SendNext(std::uint64_t aConnection);
  void SendRest(std::uint64_t aConnection, const std::string& aBytes);
  // Marks requests whose last byte is with the kernel, until all are. mLock is held.
  void NoteSentLocked();
  // Ends the connection with requests open, which are not recorded.
  void Leave(std::uint64_t aConnection);
  void GiveUp(std::uint64_t aConnection, const std::string& aId);
  // Closes the connection and ignores what still arrives on it. mLock is held.
  void DropConnection(const char* aReason);
  void Answered(const http_message& aAnswer);
  // Records the open requests that have been sent as ended without an answer.
  void EndOpen(request_end aEnd, const std::string& aReason);

  io_loop& mLoop;
  const soak_client_profile mProfile;
  const soak_client_hooks mHooks;
  mutable std::mutex mLock;
  std::shared_ptr<tcp_connection> mTcp;
  std::uint64_t mConnection = 0; // number of the open connection
  std::size_t mDaemon = 0;
  http_reader mReader;
  std::deque<open_request> mOpen;
  bool mCloseAnnounced = false;
  std::size_t mHeldBack = 0; // bytes of the second half, before it is sent
  bool mStopped = false;
};

} // namespace redwingdock::platform

#endif
