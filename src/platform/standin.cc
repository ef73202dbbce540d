#include "platform/standin.h"

#include "base/base64.h"
#include "platform/protocol_names.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace redwingdock::platform {

namespace {

namespace json = boost::json;

constexpr std::size_t kItemsPerPage = 50;

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kGone = 410;
constexpr unsigned kUnavailable = 503;

std::uint64_t NumericParameter(const http_message& aMessage, const char* aName)
{
  const std::string text = QueryParameter(aMessage.mTarget, aName);
  return text.empty() || text.find_first_not_of("0123456789") != std::string::npos
           ? 0
           : std::stoull(text);
}

// A replica may work longer than the daemons' servers would wait for a reply.
http_limits ReplicaLimits()
{
  http_limits limits;
  limits.mRead.mBody = std::size_t{ 4 } * 1024 * 1024;
  limits.mReplyTimeout = std::chrono::minutes(1);
  return limits;
}

} // namespace

store_standin::store_standin(io_loop& aLoop)
  : mLoop(aLoop)
  , mServer(aLoop,
            mRequestIds,
            { [this](std::uint64_t aRequestId, const http_message& aMessage) {
               OnRequest(aRequestId, aMessage);
             },
              nullptr,
              nullptr })
{
}

void store_standin::Put(const std::string& aKey, const std::string& aValue)
{
  ApplyChange(aKey, { aValue });
}

void store_standin::Delete(const std::string& aKey)
{
  ApplyChange(aKey, { "", 0, true });
}

void store_standin::SetDown(bool aDown)
{
  const std::lock_guard lock(mLock);
  mDown = aDown;
}

void store_standin::SilenceWatches()
{
  const std::lock_guard lock(mLock);
  mWatches.clear();
}

store_standin::copy store_standin::TakeCopy() const
{
  const std::lock_guard lock(mLock);
  return { mItems, mRevision };
}

void store_standin::ReturnFrom(const copy& aCopy, waiting_watches aWaiting)
{
  std::vector<watch> ended;
  {
    const std::lock_guard lock(mLock);
    mItems = aCopy.mItems;
    mRevision = aCopy.mRevision;
    ++mEra;
    if (aWaiting != waiting_watches::WaitOn) {
      ended = std::exchange(mWatches, {});
    }
  }
  if (aWaiting == waiting_watches::Cut) {
    for (const watch& each : ended) {
      mServer.Disconnect(each.mRequestId);
    }
  }
}

void store_standin::ApplyChange(const std::string& aKey, item aItem)
{
  std::vector<std::pair<std::uint64_t, http_response>> replies;
  {
    const std::lock_guard lock(mLock);
    aItem.mRevision = ++mRevision;
    mItems[aKey] = std::move(aItem);
    std::erase_if(mWatches, [&](const watch& aWatch) {
      if (aWatch.mAfter >= mRevision) {
        return false;
      }
      replies.emplace_back(aWatch.mRequestId, Answer(kOk, EventsBody(aWatch.mAfter)));
      return true;
    });
  }
  for (const auto& [requestId, reply] : replies) {
    mServer.Reply(requestId, reply);
  }
}

void store_standin::OnRequest(std::uint64_t aRequestId, const http_message& aMessage)
{
  const std::string_view path = PathOf(aMessage.mTarget);
  http_response response;
  {
    const std::lock_guard lock(mLock);
    const std::uint64_t after = NumericParameter(aMessage, "after");
    if (mDown) {
      response = Answer(kUnavailable);
    } else if (path == kRangePath) {
      response = Answer(kOk, RangeBody(QueryParameter(aMessage.mTarget, "after")));
    } else if (path == kWatchPath && after > mRevision) {
      response = Answer(kGone);
    } else if (path == kWatchPath && HasChangesAfter(after)) {
      response = Answer(kOk, EventsBody(after));
    } else if (path == kWatchPath) {
      mWatches.push_back({ aRequestId, after });
      mLoop.After(std::chrono::milliseconds(NumericParameter(aMessage, "waitMs")),
                  [this, aRequestId, after] {
                    http_response ended;
                    {
                      const std::lock_guard relock(mLock);
                      if (std::erase_if(mWatches, [aRequestId](const watch& aWatch) {
                            return aWatch.mRequestId == aRequestId;
                          }) == 0) {
                        return;
                      }
                      ended = Answer(kOk, EventsBody(after));
                    }
                    mServer.Reply(aRequestId, ended);
                  });
      return;
    } else {
      response = Answer(kNotFound);
    }
  }
  mServer.Reply(aRequestId, response);
}

http_response store_standin::Answer(unsigned aStatus, std::string aBody) const
{
  http_response answer{ aStatus, aBody.empty() ? "" : "application/json", std::move(aBody), {} };
  if (mStatesEra) {
    answer.mFields.push_back({ kStoreEraHeader, std::to_string(mEra) });
  }
  return answer;
}

std::string store_standin::RangeBody(const std::string& aAfter) const
{
  json::array items;
  bool more = false;
  for (auto it = mItems.upper_bound(aAfter); it != mItems.end(); ++it) {
    if (it->second.mDeleted) {
      continue;
    }
    if (items.size() == kItemsPerPage) {
      more = true;
      break;
    }
    items.push_back(json::object{ { "key", it->first },
                                  { "value", ToBase64(it->second.mValue) },
                                  { "revision", it->second.mRevision } });
  }
  return json::serialize(
    json::object{ { "items", std::move(items) }, { "hasMore", more }, { "asOf", mRevision } });
}

bool store_standin::HasChangesAfter(std::uint64_t aAfter) const
{
  return std::any_of(mItems.begin(), mItems.end(), [aAfter](const auto& aEach) {
    return aEach.second.mRevision > aAfter;
  });
}

std::string store_standin::EventsBody(std::uint64_t aAfter) const
{
  json::array events;
  for (const auto& [key, each] : mItems) {
    if (each.mRevision <= aAfter) {
      continue;
    }
    json::object event{ { "key", key }, { "revision", each.mRevision } };
    if (each.mDeleted) {
      event["deleted"] = true;
    } else {
      event["value"] = ToBase64(each.mValue);
    }
    events.push_back(std::move(event));
  }
  return json::serialize(json::object{ { "events", std::move(events) }, { "asOf", mRevision } });
}

replica_standin::replica_standin(io_loop& aLoop, std::string aId, replica_behaviour aBehaviour)
  : mLoop(aLoop)
  , mId(std::move(aId))
  , mBehaviour(std::move(aBehaviour))
  , mServer(aLoop,
            mRequestIds,
            { [this](std::uint64_t aRequestId, const http_message& aMessage) {
               OnRequest(aRequestId, aMessage);
             },
              [this](std::uint64_t aRequestId) { OnDisconnected(aRequestId); },
              nullptr },
            ReplicaLimits())
{
}

result<std::string> replica_standin::ListenOn(const std::string& aAddress)
{
  result<std::string> bound = mServer.ListenOn(aAddress);
  mAddress = bound ? *bound : "";
  return bound;
}

std::string replica_standin::PublishedEntry(const std::string& aService,
                                            const std::string& aZone,
                                            bool aDraining) const
{
  return json::serialize(json::object{ { "service", aService },
                                       { "address", mAddress },
                                       { "zone", aZone },
                                       { "version", "v1" },
                                       { "slots", 3 },
                                       { "state", aDraining ? "draining" : "ready" },
                                       { "warmupRemainingMs", 0 },
                                       { "sequence", aDraining ? 2 : 1 },
                                       { "born", 1 } });
}

void replica_standin::SetBehaviour(const replica_behaviour& aBehaviour)
{
  const std::lock_guard lock(mLock);
  mBehaviour = aBehaviour;
}

std::map<std::string, int> replica_standin::RunCounts() const
{
  const std::lock_guard lock(mLock);
  std::map<std::string, int> counts;
  for (const auto& [request, run] : mRuns) {
    ++counts[run.mRequestId];
  }
  return counts;
}

std::vector<replica_run> replica_standin::Runs() const
{
  const std::lock_guard lock(mLock);
  std::vector<replica_run> runs;
  runs.reserve(mRuns.size());
  for (const auto& [request, run] : mRuns) {
    runs.push_back(run);
  }
  return runs;
}

bool replica_standin::EndRun(std::uint64_t aRequestId,
                             const std::function<void(replica_run&)>& aSetEnd)
{
  const std::lock_guard lock(mLock);
  const auto found = mRuns.find(aRequestId);
  if (found == mRuns.end()) {
    return true; // the request was not run
  }
  if (found->second.mEndedAt != kNever) {
    return false;
  }
  found->second.mEndedAt = SteadyNow();
  aSetEnd(found->second);
  return true;
}

void replica_standin::OnDisconnected(std::uint64_t aRequestId)
{
  EndRun(aRequestId, [](replica_run& aRun) { aRun.mAborted = true; });
}

void replica_standin::OnRequest(std::uint64_t aRequestId, const http_message& aMessage)
{
  const std::string* expected = aMessage.Find(kExpectedInstanceHeader);
  const std::string* id = aMessage.Find(kAttemptIdHeader);
  replica_behaviour behaviour;
  http_response response{ 200, "", "", {} };
  if (mChooseBehaviour) {
    behaviour = mChooseBehaviour(aMessage);
  }
  {
    const std::lock_guard lock(mLock);
    behaviour = mChooseBehaviour ? std::move(behaviour) : mBehaviour;
    if (id == nullptr || (expected != nullptr && *expected != mId)) {
      behaviour = { micros(0), id == nullptr ? 400U : 421U, "", false, true };
    } else if (!behaviour.mNotRun) {
      mRuns.emplace(aRequestId, replica_run{ *id, mId, SteadyNow() });
    }
  }
  if (behaviour.mDisconnects) {
    mLoop.After(behaviour.mDelay, [this, aRequestId] {
      if (EndRun(aRequestId, [](replica_run& aRun) { aRun.mDisconnected = true; })) {
        mServer.Disconnect(aRequestId);
      }
    });
    return;
  }
  if (behaviour.mSilent) {
    mLoop.After(behaviour.mDelay, [this, aRequestId, status = behaviour.mStatus] {
      EndRun(aRequestId, [status](replica_run& aRun) { aRun.mStatus = status; });
    });
    return;
  }
  response.mStatus = behaviour.mStatus;
  response.mBody =
    behaviour.mBody.empty() ? std::string(PathOf(aMessage.mTarget)) : behaviour.mBody;
  if (id != nullptr) {
    response.mFields.push_back({ kAttemptIdHeader, *id });
  }
  if (behaviour.mNotRun) {
    response.mFields.push_back({ kNotExecutedHeader, "1" });
  } else {
    response.mFields.push_back({ kResponseStampHeader, mId + "." + (id != nullptr ? *id : "") });
  }
  mLoop.After(behaviour.mDelay, [this, aRequestId, response] {
    if (EndRun(aRequestId, [&](replica_run& aRun) { aRun.mStatus = response.mStatus; })) {
      mServer.Reply(aRequestId, response);
    }
  });
}

} // namespace redwingdock::platform
