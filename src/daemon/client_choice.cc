#include "daemon/client_choice.h"

#include <algorithm>
#include <chrono>

namespace redwingdock {

namespace {

// Bytes that the kernel's buffers take or give at once, whatever the client does.
constexpr double kBufferedBytes = 64.0 * 1024;
// Added to the age, so that of clients that have just begun the one that holds most is chosen.
constexpr std::chrono::milliseconds kMinAge{ 100 };

} // namespace

micros ExpectedHold(const client_holding& aHolding)
{
  const std::chrono::duration<double> age = aHolding.mAge + kMinAge;
  const double bytesPerS = (static_cast<double>(aHolding.mMoved) + kBufferedBytes) / age.count();
  return std::chrono::duration_cast<micros>(
    std::chrono::duration<double>(static_cast<double>(aHolding.mBytes) / bytesPerS));
}

std::vector<client_holding> ChooseHoldings(std::vector<client_holding> aHoldings,
                                           std::size_t aBytes)
{
  std::sort(aHoldings.begin(), aHoldings.end(), [](const auto& aFirst, const auto& aSecond) {
    return ExpectedHold(aFirst) > ExpectedHold(aSecond);
  });
  std::size_t freed = 0;
  const auto end =
    std::find_if(aHoldings.begin(), aHoldings.end(), [&freed, aBytes](const auto& aEach) {
      const bool enough = freed >= aBytes;
      freed += aEach.mBytes;
      return enough;
    });
  aHoldings.erase(end, aHoldings.end());
  return aHoldings;
}

std::vector<client_connection> ChooseConnections(std::vector<client_connection> aConnections,
                                                 std::size_t aCount)
{
  std::erase_if(aConnections, [](const auto& aEach) { return aEach.mUse == connection_use::Open; });
  const std::size_t count = std::min(aCount, aConnections.size());
  const auto end = aConnections.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(aConnections.begin(), end, aConnections.end());
  aConnections.erase(end, aConnections.end());
  return aConnections;
}

} // namespace redwingdock
