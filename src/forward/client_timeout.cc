#include "forward/client_timeout.h"

#include <algorithm>

namespace redwingdock {

namespace {

// The full timeout is the largest value that a quarter of the samples states. About half of the
// requests arrive over a reused connection and state the full timeout. A few clients with a longer
// timeout must not make all others look late.
constexpr std::size_t kMinShareDivisor = 4;
constexpr char kKeyPrefix[] = "patience/";
constexpr std::size_t kMinEqual = 2; // samples, also when a quarter is fewer

} // namespace

std::string ClientTimeoutKey(const std::string& aRoute)
{
  return kKeyPrefix + aRoute;
}

std::string RouteOfClientTimeoutKey(const std::string& aKey)
{
  return aKey.substr(sizeof(kKeyPrefix) - 1);
}

client_timeout_record WithClientTimeout(const client_timeout_record& aRecord, micros aRemaining)
{
  client_timeout_record next = aRecord;
  next.mRecentMs.at(next.mCount % kClientTimeoutSamples) =
    static_cast<std::uint32_t>(ToMs(aRemaining));
  ++next.mCount;
  return next;
}

micros ObservedTimeout(const client_timeout_record& aRecord)
{
  const std::size_t samples = std::min<std::size_t>(aRecord.mCount, kClientTimeoutSamples);
  const auto begin = aRecord.mRecentMs.begin();
  const auto end = begin + static_cast<std::ptrdiff_t>(samples);
  const std::size_t needed = std::max(kMinEqual, samples / kMinShareDivisor);
  std::uint32_t full = 0;
  for (auto it = begin; it != end; ++it) {
    if (*it > full && static_cast<std::size_t>(std::count(begin, end, *it)) >= needed) {
      full = *it;
    }
  }
  return std::chrono::milliseconds(full);
}

client_timeout_record WithReportedTimeout(const client_timeout_record& aRecord, micros aTimeout)
{
  client_timeout_record next = aRecord;
  next.mReportedMs = static_cast<std::uint32_t>(ToMs(aTimeout));
  return next;
}

micros TimeBeforeArrival(const client_timeout_record& aRecord, micros aRemaining)
{
  if (aRemaining <= micros(0)) {
    return micros(0);
  }
  const micros observed = ObservedTimeout(aRecord);
  const micros full =
    observed > micros(0) ? observed : micros(std::chrono::milliseconds(aRecord.mReportedMs));
  return std::max(full - aRemaining, micros(0));
}

} // namespace redwingdock
