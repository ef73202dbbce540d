#ifndef REDWINGDOCK_CLIENT_CLIENT_H
#define REDWINGDOCK_CLIENT_CLIENT_H

#include "client/call_policy.h"
#include "client/http_client.h"

#include <memory>

// Library for callers. A client asks any known daemon for its entry VM, caches the answer for its
// lifetime, and fails over when the VM is down or doesn't respond. A submit that may have run is
// retried only with the same request key.
//
//   client calls({ .mDaemons = { "127.0.0.1:7001", "127.0.0.2:7001" }, .mZone = "xela" });
//   call_result found = calls.Query({ .mRoute = "case-search", .mCaller = "desk-7" });
//   call_result done = calls.Submit({ .mRoute = "case-update", .mCaller = "desk-7",
//                                     .mFilter = { { "id", "case-000017" } } });

namespace redwingdock {

struct client_config
{
  std::vector<std::string> mDaemons; // caller addresses, "ip:port"
  std::string mZone;
  int mThreads = 1;
  int mMaxAttempts = 3;
  micros mDefaultDeadline = std::chrono::seconds(1);     // of a request without a deadline
  micros mEntryTimeout = std::chrono::milliseconds(250); // of a request to one daemon
  micros mSilenceLimit = std::chrono::milliseconds(250);
  micros mReplyGrace = std::chrono::milliseconds(150); // wait for the reply after the deadline
  micros mAvoidDuration = std::chrono::seconds(3);     // of an address that failed
  double mRepeatBudget = 0.10; // repeats after not_run or a stalled reply, as a share of all calls
  std::uint64_t mSeed = 0;     // of request keys; 0 uses the random device
  // Called with a line of text for each retry, on a thread of the client.
  std::function<void(const std::string&)> mLog;
};

struct call_result
{
  query_answer mAnswer; // its outcome is that of DecideCall
  std::string mVm;
  std::string mAddress;
  std::string mRequestKey; // of the last attempt; empty for a search
  int mAttempts = 0;
  // Whether an answer was truncated or failed its checks, see CheckConsistency.
  bool mInvalidAnswer = false;
  micros mElapsed{ 0 };

  auto operator<=>(const call_result&) const = default;
};

class client
{
public:
  using on_result = std::function<void(const call_result&)>;

  explicit client(client_config aConfig);
  ~client(); // drops open calls without calling back

  // Block until the call ends; must not be used in callbacks. A search is retried without
  // restriction; a submit without a request key gets one with the prefix from the entry answer.
  call_result Query(query_request aRequest);
  call_result Submit(query_request aRequest);

  // Starts a call and calls back once on a thread of the client. Any number of calls can be open.
  void Start(operation aOperation, query_request aRequest, on_result aOnResult);

  // The entry VM of a caller, from the cache or from a daemon. Blocks.
  result<entry_answer> Entry(const std::string& aCaller);

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace redwingdock

#endif
