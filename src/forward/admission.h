#ifndef REDWINGDOCK_FORWARD_ADMISSION_H
#define REDWINGDOCK_FORWARD_ADMISSION_H

#include <compare>
#include <cstddef>

// Share of the gathers that are taken in while their services are overloaded. Taking all of them in
// makes all of them late.
//
//   if (!IsAdmitted(level, isUrgent, noise)) { ... refuse, nothing has run ... }
//   level = AfterGather(level, late, parts);

namespace redwingdock {

// Entry key: AdmissionKey of the first service of a gather; routes over the same services share it.
struct admission_level
{
  double mShare = 1;

  auto operator<=>(const admission_level&) const = default;
};

// aLate of aParts parts were missing when the partial answer was due.
admission_level AfterGather(const admission_level& aLevel, std::size_t aLate, std::size_t aParts);

// Less urgent requests are refused twice as often. aNoise is in [0, 1).
bool IsAdmitted(const admission_level& aLevel, bool aUrgent, double aNoise);

} // namespace redwingdock

#endif
