#include "daemon/caller_api.h"

#include "codec/caller_json.h"

#include <optional>
#include <utility>

namespace redwingdock {

namespace {

http_response ErrorResponse(unsigned aStatus, const reason& aReason)
{
  return { aStatus, "application/json", FormatReason(aReason), {} };
}

http_response AnswerResponse(const query_answer& aAnswer)
{
  return { HttpStatusOf(aAnswer.mOutcome), "application/json", FormatAnswer(aAnswer), {} };
}

query_answer MakeFailedAnswer(outcome aOutcome, reason aReason)
{
  query_answer answer;
  answer.mOutcome = aOutcome;
  answer.mReason = std::move(aReason);
  return answer;
}

bool IsOperatorPath(std::string_view aPath)
{
  return aPath == "/v1/view" || aPath == "/v1/explain" || aPath == "/metrics" ||
         aPath == "/v1/stop";
}

constexpr std::size_t kMaxParameterBytes = 128;

} // namespace

caller_api::caller_api(api_hooks aHooks, metrics& aMetrics)
  : mHooks(std::move(aHooks))
  , mMetrics(aMetrics)
{
}

void caller_api::Handle(std::uint64_t aRequestId,
                        const http_message& aRequest,
                        api_scope aScope,
                        const reply_hook& aReply)
{
  const std::string_view path = PathOf(aRequest.mTarget);
  const auto rejectMethod = [&](const char* aMethod) {
    aReply(
      aRequestId,
      ErrorResponse(
        405,
        { "read request", "", "method " + aRequest.mMethod + " is not allowed, use " + aMethod }));
  };
  if (aScope.mOperators && IsOperatorPath(path)) {
    const char* expected = path == "/v1/stop" ? "POST" : "GET";
    if (aRequest.mMethod != expected) {
      rejectMethod(expected);
    } else {
      aReply(aRequestId, HandleOperatorRequest(aRequest));
    }
    return;
  }
  if (aScope.mCallers && path == "/v1/query") {
    if (aRequest.mMethod != "POST") {
      rejectMethod("POST");
    } else {
      StartQuery(aRequestId, aRequest, aReply);
    }
    return;
  }
  if (aScope.mCallers && path == "/v1/entry") {
    if (aRequest.mMethod != "GET") {
      rejectMethod("GET");
      return;
    }
    entry_requested entryRequest{ aRequestId,
                                  QueryParameter(aRequest.mTarget, "caller"),
                                  QueryParameter(aRequest.mTarget, "zone") };
    if (entryRequest.mCaller.empty() || entryRequest.mCaller.size() > kMaxParameterBytes ||
        entryRequest.mZone.size() > kMaxParameterBytes) {
      aReply(aRequestId,
             ErrorResponse(400,
                           { "read request",
                             "",
                             "parameter \"caller\" must have 1 to " +
                               std::to_string(kMaxParameterBytes) +
                               " bytes, \"zone\" at most as many" }));
      return;
    }
    mPending.Insert(aRequestId, { false, "", std::nullopt, SteadyNow(), aReply });
    mHooks.mPost(std::move(entryRequest));
    return;
  }
  aReply(aRequestId, ErrorResponse(404, { "read request", "", "no such path" }));
}

void caller_api::StartQuery(std::uint64_t aRequestId,
                            const http_message& aRequest,
                            const reply_hook& aReply)
{
  result<query_request> request = ParseQuery(aRequest.mBody);
  if (!request) {
    aReply(aRequestId, AnswerResponse(MakeFailedAnswer(outcome::Rejected, request.mReason)));
    return;
  }
  mPending.Insert(aRequestId, { true, request->mRoute, request->mUrgency, SteadyNow(), aReply });
  mHooks.mPost(query_arrived{ aRequestId, std::move(*request) });
}

http_response caller_api::HandleOperatorRequest(const http_message& aRequest) const
{
  const std::string_view path = PathOf(aRequest.mTarget);
  if (path == "/v1/view") {
    return { 200, "application/json", mHooks.mView(), {} };
  }
  if (path == "/metrics") {
    return { 200, "text/plain; version=0.0.4", mHooks.mMetrics(), {} };
  }
  if (path == "/v1/stop") {
    mHooks.mPost(stop_requested{});
    return { 202, "application/json", R"({"stopping": true})", {} };
  }
  const result<std::string> explained = mHooks.mExplain(QueryParameter(aRequest.mTarget, "route"),
                                                        QueryParameter(aRequest.mTarget, "id"));
  if (!explained) {
    return ErrorResponse(404, explained.mReason);
  }
  return { 200, "application/json", *explained, {} };
}

void caller_api::Answer(const answer_query& aCommand)
{
  const std::optional<pending> pendingRequest = mPending.Take(aCommand.mQuery);
  if (!pendingRequest) {
    return;
  }
  mMetrics.CountQuery(pendingRequest->mRoute,
                      pendingRequest->mUrgency,
                      aCommand.mAnswer.mOutcome,
                      SteadyNow() - pendingRequest->mReceivedAt);
  pendingRequest->mReply(aCommand.mQuery, AnswerResponse(aCommand.mAnswer));
}

void caller_api::Answer(const answer_entry& aCommand)
{
  const std::optional<pending> pendingRequest = mPending.Take(aCommand.mEntryRequest);
  if (!pendingRequest) {
    return;
  }
  pendingRequest->mReply(
    aCommand.mEntryRequest,
    aCommand.mAnswer ? http_response{ 200, "application/json", FormatEntry(*aCommand.mAnswer), {} }
                     : ErrorResponse(503, aCommand.mAnswer.mReason));
}

void caller_api::OnCallerDisconnected(std::uint64_t aRequestId)
{
  const std::optional<pending> pendingRequest = mPending.Take(aRequestId);
  if (pendingRequest && pendingRequest->mIsQuery) {
    mHooks.mPost(caller_disconnected{ aRequestId });
  }
}

http_response caller_api::UnreadReply()
{
  return AnswerResponse(MakeFailedAnswer(
    outcome::NotRun, { "read request", "", "the daemon has stopped before the request was read" }));
}

void caller_api::OnAnswerTimeout(std::uint64_t aRequestId)
{
  const std::optional<pending> pendingRequest = mPending.Take(aRequestId);
  if (!pendingRequest) {
    return;
  }
  const reason failure{ "answer", "", "the core did not answer in time" };
  if (!pendingRequest->mIsQuery) {
    pendingRequest->mReply(aRequestId, ErrorResponse(503, failure));
    return;
  }
  mMetrics.CountQuery(pendingRequest->mRoute,
                      pendingRequest->mUrgency,
                      outcome::Unknown,
                      SteadyNow() - pendingRequest->mReceivedAt);
  pendingRequest->mReply(aRequestId, AnswerResponse(MakeFailedAnswer(outcome::Unknown, failure)));
  mHooks.mPost(caller_disconnected{ aRequestId });
}

} // namespace redwingdock
