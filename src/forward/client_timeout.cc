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
// With fewer samples, equal ones can come from clients that needed the same time to connect, and a
// greater timeout that another daemon observed is more likely to be the full one.
constexpr std::uint32_t kReliableSamples = 8;

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

observed_timeout ReportOf(const std::string& aRoute,
                          const client_timeout_record& aRecord,
                          instant aNow)
{
  const micros observed = ObservedTimeout(aRecord);
  const micros reported = aRecord.mReportedUntil > aNow
                            ? micros(std::chrono::milliseconds(aRecord.mReportedMs))
                            : micros(0);
  if (reported > observed && aRecord.mCount < kReliableSamples) {
    return { aRoute, reported, aRecord.mReportedUntil - aNow };
  }
  return { aRoute, observed, observed > micros(0) ? kReportTtl : micros(0) };
}

client_timeout_record WithReport(const client_timeout_record& aRecord,
                                 const observed_timeout& aReport,
                                 instant aNow)
{
  // The way of a report counts as time left; reports must not extend each other by it.
  constexpr micros kMinExtension = std::chrono::seconds(1);
  const instant until = aNow + std::min(aReport.mTimeLeft, kReportTtl);
  const auto reportedMs = static_cast<std::uint32_t>(ToMs(aReport.mTimeout));
  const bool isValid = aRecord.mReportedUntil > aNow;
  if ((isValid && reportedMs < aRecord.mReportedMs) ||
      (isValid && reportedMs == aRecord.mReportedMs &&
       until < aRecord.mReportedUntil + kMinExtension) ||
      until < aNow + kMinExtension) {
    return aRecord;
  }
  client_timeout_record next = aRecord;
  next.mReportedMs = reportedMs;
  next.mReportedUntil = until;
  return next;
}

micros TimeBeforeArrival(const client_timeout_record& aRecord, micros aRemaining, instant aNow)
{
  if (aRemaining <= micros(0)) {
    return micros(0);
  }
  return std::max(ReportOf({}, aRecord, aNow).mTimeout - aRemaining, micros(0));
}

} // namespace redwingdock
