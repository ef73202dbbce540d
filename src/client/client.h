#ifndef REDWINGDOCK_CLIENT_CLIENT_H
#define REDWINGDOCK_CLIENT_CLIENT_H

#include "client/call_rules.h"
#include "client/http_client.h"

#include <memory>

// Library for callers: asks any known daemon which VM to use, keeps the answer for its lifetime,
// fails over when the VM is dead or silent, and sends nothing again that may have run.
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
  micros mDefaultDeadline = std::chrono::seconds(1);     // when a request names none
  micros mEntryTimeout = std::chrono::milliseconds(250); // per daemon asked
  micros mSilenceLimit = std::chrono::milliseconds(250);
  micros mAnswerGrace = std::chrono::milliseconds(150); // for an answer on its way at the deadline
  micros mAvoidTime = std::chrono::seconds(3);          // after a failure of an address
  double mRepeatBudget = 0.10; // repeats of not_run and overdue calls, as a share of all
  std::uint64_t mSeed = 0;     // of request keys; 0 takes one from the random device
  // Called with one line for each failover and repeat, on a thread of the client.
  std::function<void(const std::string&)> mLog;
};

struct call_result
{
  query_answer mAnswer; // the outcome follows the rules of DecideCall
  std::string mVm;
  std::string mAddress;
  std::string mRequestKey; // of the last attempt; empty for a search
  int mAttempts = 0;
  bool mCut = false; // an answer failed its check, see CheckWhole
  micros mElapsed{ 0 };

  auto operator<=>(const call_result&) const = default;
};

class client
{
public:
  using on_result = std::function<void(const call_result&)>;

  explicit client(client_config aConfig);
  ~client(); // open calls end without a callback

  // Blocking calls; not for use in callbacks. A search can be sent again freely; a submit gets a
  // request key from the entry answer.
  call_result Query(query_request aRequest);
  call_result Submit(query_request aRequest);

  // Calls back once on a thread of the client. Any number of calls can be open.
  void Start(operation aOperation, query_request aRequest, on_result aOnResult);

  // The entry VM for a caller, held or asked for.
  result<entry_answer> Entry(const std::string& aCaller);

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace redwingdock

#endif
