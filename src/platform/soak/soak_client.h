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
  std::function<soak_request()> mMakeRequest;
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

  void After(micros aDelay, work aWork);
  void Open();
  void OnOpen(std::uint64_t aConnection);
  void OnBytes(std::uint64_t aConnection, std::string_view aBytes);
  void OnClosed(std::uint64_t aConnection, const tcp_close_info& aInfo);
  void SendNext(std::uint64_t aConnection);
  void SendRest(std::uint64_t aConnection, const std::string& aBytes);
  void GiveUp(std::uint64_t aConnection, const std::string& aId);
  void Answered(const http_message& aAnswer);
  // Records all open requests as ended without an answer.
  void EndOpen(request_end aEnd, const std::string& aReason);

  io_loop& mLoop;
  const soak_client_profile mProfile;
  const soak_client_hooks mHooks;
  mutable std::mutex mLock;
  std::shared_ptr<tcp_connection> mTcp;
  std::uint64_t mConnection = 0; // number of the open connection
  std::size_t mDaemon = 0;
  http_reader mReader;
  std::deque<request_record> mOpen;
  bool mCloseAnnounced = false;
  bool mSending = false; // the second half of the requests is to be sent
  bool mStopped = false;
};

} // namespace redwingdock::platform

#endif
