#ifndef REDWINGDOCK_DAEMON_CALLER_API_H
#define REDWINGDOCK_DAEMON_CALLER_API_H

#include "base/sharded_map.h"
#include "core/core.h"
#include "daemon/http_server.h"
#include "daemon/metrics.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

// HTTP interface for callers and operators (docs/interfaces.md, section 1). Turns requests into
// facts and the core's answers into HTTP responses.
//
//   caller_api api(hooks, measured);
//   api.Handle(requestId, request, { .mCallers = true }, reply);
//   api.Answer(answer_query{ requestId, answer });

namespace redwingdock {

struct api_hooks
{
  std::function<void(fact)> mPost;
  std::function<std::string()> mView; // body of /v1/view
  std::function<result<std::string>(const std::string& aRoute, const std::string& aId)> mExplain;
  std::function<std::string()> mMetrics;
};

// Which interfaces a listening address serves.
struct api_scope
{
  bool mCallers = false;
  bool mOperators = false;
};

class caller_api
{
public:
  using reply_hook = std::function<void(std::uint64_t, const http_response&)>;

  caller_api(api_hooks aHooks, metrics& aMetrics);

  // Replies immediately, or when Answer() or OnAnswerTimeout() is called with the same ID.
  void Handle(std::uint64_t aRequestId,
              const http_message& aRequest,
              api_scope aScope,
              const reply_hook& aReply);

  void Answer(const answer_query& aCommand);
  void Answer(const answer_entry& aCommand);

  // The caller closed its connection; its request is dropped.
  void OnCallerDisconnected(std::uint64_t aRequestId);
  // Reply to a request of which the daemon that stops has read only a part.
  static http_response UnreadReply();
  // The core has not answered in time. The outcome of a query is unknown because it may have run.
  void OnAnswerTimeout(std::uint64_t aRequestId);

private:
  struct pending
  {
    bool mIsQuery = false;
    std::string mRoute;
    std::optional<urgency> mUrgency;
    instant mReceivedAt{};
    reply_hook mReply;
  };

  void StartQuery(std::uint64_t aRequestId, const http_message& aRequest, const reply_hook& aReply);
  http_response HandleOperatorRequest(const http_message& aRequest) const;

  const api_hooks mHooks;
  metrics& mMetrics;
  sharded_map<std::uint64_t, pending> mPending;
};

} // namespace redwingdock

#endif
