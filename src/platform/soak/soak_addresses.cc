#include "platform/soak/soak_addresses.h"

#include "platform/protocol_names.h"
#include "platform/soak/soak_configuration.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

namespace redwingdock::platform {

namespace {

constexpr micros kRefresh = std::chrono::seconds(2);
constexpr micros kRetryPause = std::chrono::milliseconds(200);
constexpr std::size_t kMaxLists = 20;

} // namespace

address_lists::address_lists(io_loop& aLoop, const soak_daemons& aDaemons, std::size_t aCount)
  : mLoop(aLoop)
  , mDaemons(aDaemons)
  , mCount(aCount)
  , mExchanges(aLoop)
{
}

void address_lists::Start()
{
  Ask(0);
}

std::vector<soak_target> address_lists::At(instant aTime) const
{
  const std::lock_guard lock(mLock);
  std::vector<soak_target> found;
  for (const auto& [at, list] : mLists) {
    if (at <= aTime || found.empty()) {
      found = list;
    }
  }
  return found;
}

void address_lists::Ask(std::size_t aTried)
{
  const std::size_t daemon = mNext++ % mCount;
  const http_exchange exchange{ .mAddress = mDaemons.DirectoryAddress(daemon),
                                .mMethod = "GET",
                                .mTarget = std::string(kResolutionPath) + "?name=" + kSoakHost +
                                           "&region=r&zone=" + ZoneName(daemon) };
  mExchanges.Start(exchange, [this, aTried](const result<http_message>& aReply) {
    if (aReply && aReply->mStatus == 200 && Add(aReply->mBody)) {
      mLoop.After(kRefresh, [this] { Ask(0); });
    } else {
      mLoop.After(aTried < 3 ? micros(0) : kRetryPause, [this, aTried] { Ask(aTried + 1); });
    }
  });
}

bool address_lists::Add(const std::string& aBody)
{
  boost::json::error_code error;
  const boost::json::value body = boost::json::parse(aBody, error);
  const boost::json::object* object = error ? nullptr : body.if_object();
  const boost::json::value* addresses = object != nullptr ? object->if_contains("addrs") : nullptr;
  if (addresses == nullptr || !addresses->is_array()) {
    return false;
  }
  std::vector<soak_target> targets;
  for (const boost::json::value& each : addresses->as_array()) {
    const std::string address(each.as_string());
    if (const auto daemon = mDaemons.DaemonAt(address)) {
      targets.push_back({ address, *daemon });
    }
  }
  const std::lock_guard lock(mLock);
  mLists.emplace_back(SteadyNow(), std::move(targets));
  if (mLists.size() > kMaxLists) {
    mLists.pop_front();
  }
  return true;
}

} // namespace redwingdock::platform
