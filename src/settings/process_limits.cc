#include "settings/process_limits.h"

namespace redwingdock {

process_limits ReadProcessLimits(yaml_mapping& aSection)
{
  constexpr double kMebibyte = 1024 * 1024;
  constexpr double kMaxMemoryMb = 1024 * 1024;
  constexpr std::uint64_t kMinDescriptors = 64;
  constexpr std::uint64_t kMaxDescriptors = 10'000'000;
  process_limits limits;
  limits.mMemory = static_cast<std::size_t>(
    aSection.Number("memory_mb", 1, kMaxMemoryMb, static_cast<double>(limits.mMemory) / kMebibyte) *
    kMebibyte);
  limits.mDescriptors = static_cast<std::size_t>(
    aSection.Integer("descriptors", kMinDescriptors, kMaxDescriptors, limits.mDescriptors));
  aSection.RejectUnknownKeys();
  return limits;
}

} // namespace redwingdock
