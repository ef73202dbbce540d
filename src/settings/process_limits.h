#ifndef REDWINGDOCK_SETTINGS_PROCESS_LIMITS_H
#define REDWINGDOCK_SETTINGS_PROCESS_LIMITS_H

#include "base/yaml_reader.h"

#include <compare>
#include <cstddef>

// What the VM allows the process, read from the section "limits" of the settings. Takes effect at
// the start of the process.
//
//   yaml_mapping section = root.Mapping("limits", false);
//   process_limits limits = ReadProcessLimits(section);

namespace redwingdock {

struct process_limits
{
  // Resident memory in bytes, above which the process is killed. The default is that of the
  // smallest VM of the known deployments.
  std::size_t mMemory = std::size_t{ 260 } * 1024 * 1024;
  // Open descriptors, files included; the limit of the kernel (RLIMIT_NOFILE) applies if it is
  // lower.
  std::size_t mDescriptors = 4100;

  auto operator<=>(const process_limits&) const = default;
};

// Reads memory_mb (mebibytes, fractions allowed) and descriptors. Missing keys keep the defaults;
// unknown keys and values out of range are reported through the errors of the section.
process_limits ReadProcessLimits(yaml_mapping& aSection);

} // namespace redwingdock

#endif
