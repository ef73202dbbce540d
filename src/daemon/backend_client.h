#ifndef REDWINGDOCK_DAEMON_BACKEND_CLIENT_H
#define REDWINGDOCK_DAEMON_BACKEND_CLIENT_H

#include "core/core.h"
#include "daemon/http_exchange.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

// Client for backend servers (docs/interfaces.md, section 2). Each connection carries one part at a
// time.
//
//   backend_client backends(loop, { .mPost = [&](fact aFact) { ... } });
//   backends.Open({ "cw-03a", "127.0.0.1:9001", 17 });

namespace redwingdock {

struct backend_hooks
{
  std::function<void(fact)> mPost;
  // Called with the time from sending a part to its reply or loss, for metrics. May be empty.
  std::function<void(micros, const part_reply&)> mOnReply;
};

class backend_client
{
public:
  backend_client(io_loop& aLoop, backend_hooks aHooks);

  // Posts connection_changed with Opened or Refused. When an opened connection ends, posts Lost if
  // a part is still in flight and Closed otherwise.
  void Open(const open_connection& aCommand);
  // Closes the connection. Posts no further facts for it.
  void Close(const close_connection& aCommand);
  // Posts part_replied once, or nothing if Close() closes the connection before the reply.
  void Send(const send_part& aCommand);
  // Tells the server to stop working on the part. Posts nothing.
  void Cancel(const cancel_part& aCommand);
  // Sends a health check on a new connection and posts check_answered.
  void Check(const check_connection& aCommand);

  std::size_t Connections() const { return mConnections.Size(); }

private:
  struct part_in_flight
  {
    part_request mRequest;
    instant mSentAt{};
  };

  struct connection
  {
    std::string mServer;
    std::string mAddress;
    std::shared_ptr<tcp_connection> mConnection;
    http_reader mReader;
    std::optional<part_in_flight> mPart;
    bool mOpen = false;
  };

  static constexpr std::size_t kMaxCancelReplyBytes = std::size_t{ 64 } * 1024;

  // Queue of attempts to cancel at one address. They share one connection.
  struct cancel_queue
  {
    std::uint64_t mId = 0;
    std::shared_ptr<tcp_connection> mConnection;
    http_reader mReader{ http_side::Client, { kMaxCancelReplyBytes } };
    std::deque<attempt_id> mWaiting; // the first one has been sent and awaits its reply
  };

  void Opened(std::uint64_t aId);
  void Received(std::uint64_t aId, std::string_view aBytes);
  void Expired(std::uint64_t aId);
  void Closed(std::uint64_t aId, const std::string& aCause);
  void ReportReply(std::uint64_t aId, const part_in_flight& aPart, part_reply aReply);

  void OpenCancelConnection(const std::string& aAddress, cancel_queue& aState);
  void OnCancelReply(const std::string& aAddress, std::uint64_t aId, std::string_view aBytes);
  void CloseCancelConnection(const std::string& aAddress, std::uint64_t aId);

  io_loop& mLoop;
  const backend_hooks mHooks;
  http_exchange_client mExchanges;
  sharded_map<std::uint64_t, connection> mConnections;
  sharded_map<std::string, cancel_queue> mCancelQueues; // by address
  std::atomic<std::uint64_t> mNextCancelQueue{ 0 };
};

} // namespace redwingdock

#endif
