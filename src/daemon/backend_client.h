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

// Connections to backend servers (docs/interfaces.md, section 2): one part at a time each.
//
//   backend_client backends(loop, { .mPost = [&](fact aFact) { ... } });
//   backends.Open({ "cw-03a", "127.0.0.1:9001", 17 });

namespace redwingdock {

struct backend_hooks
{
  std::function<void(fact)> mPost;
  // Time from sending a part to its reply; for metrics.
  std::function<void(micros, const part_reply&)> mOnReply;
};

class backend_client
{
public:
  backend_client(io_loop& aLoop, backend_hooks aHooks);

  // Posts connection_changed with Opened or Refused, and later Closed, or Lost when a part was in
  // flight.
  void Open(const open_connection& aCommand);
  // Closes without a further fact for this connection.
  void Close(const close_connection& aCommand);
  // Posts part_replied, once; nothing when the connection is closed by Close() before the reply.
  void Send(const send_part& aCommand);
  void Cancel(const cancel_part& aCommand);
  // Posts check_answered.
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

  static constexpr std::size_t kCancelReplyLimit = std::size_t{ 64 } * 1024;

  // Attempts to cancel at one address, on one connection.
  struct canceller
  {
    std::uint64_t mId = 0;
    std::shared_ptr<tcp_connection> mConnection;
    http_reader mReader{ http_side::Client, { kCancelReplyLimit } };
    std::deque<attempt_id> mWaiting; // the first one is sent
  };

  void Opened(std::uint64_t aId);
  void Received(std::uint64_t aId, std::string_view aBytes);
  void Expired(std::uint64_t aId);
  void Closed(std::uint64_t aId, const std::string& aWhy);
  void Finish(std::uint64_t aId, const part_in_flight& aPart, part_reply aReply);

  void StartCanceller(const std::string& aAddress, canceller& aState);
  void CancelAnswered(const std::string& aAddress, std::uint64_t aId, std::string_view aBytes);
  void EndCanceller(const std::string& aAddress, std::uint64_t aId);

  io_loop& mLoop;
  const backend_hooks mHooks;
  http_exchange_client mExchanges;
  sharded_map<std::uint64_t, connection> mConnections;
  sharded_map<std::string, canceller> mCancellers; // by address
  std::atomic<std::uint64_t> mNextCanceller{ 0 };
};

} // namespace redwingdock

#endif
