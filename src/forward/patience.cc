#include "forward/patience.h"

#include <algorithm>

namespace redwingdock {

namespace {

// The full timeout is the largest value that a quarter of the samples states. About half of the
// requests arrive over a reused connection and state the full timeout. A few clients with a longer
// timeout must not make all others look late.
constexpr std::size_t kLeastShare = 4;
constexpr std::size_t kFewestEqual = 2;

} // namespace

patience_record WithPatience(const patience_record& aRecord, micros aPatience)
{
  patience_record next = aRecord;
  next.mRecentMs.at(next.mCount % kPatienceSamples) = static_cast<std::uint32_t>(ToMs(aPatience));
  ++next.mCount;
  return next;
}

micros SpentTime(const patience_record& aRecord, micros aPatience)
{
  if (aPatience <= micros(0)) {
    return micros(0);
  }
  const std::size_t samples = std::min<std::size_t>(aRecord.mCount, kPatienceSamples);
  const auto begin = aRecord.mRecentMs.begin();
  const auto end = begin + static_cast<std::ptrdiff_t>(samples);
  const std::size_t wanted = std::max(kFewestEqual, samples / kLeastShare);
  std::uint32_t usual = 0;
  for (auto it = begin; it != end; ++it) {
    if (*it > usual && static_cast<std::size_t>(std::count(begin, end, *it)) >= wanted) {
      usual = *it;
    }
  }
  return std::max(micros(std::chrono::milliseconds(usual)) - aPatience, micros(0));
}

} // namespace redwingdock
