#ifndef REDWINGDOCK_FORWARD_ADMISSION_H
#define REDWINGDOCK_FORWARD_ADMISSION_H

#include <compare>
#include <cstddef>

// Admission control for gathers while their services are overloaded. Admitting all of them would
// make all of them late.
//
//   if (!IsAdmitted(level, isUrgent, random)) { ... refuse the request, no part is sent ... }
//   level = WithGather(level, late, parts);

namespace redwingdock {

// Entry key: AdmissionKey of the first service of a gather; routes over the same services share it.
struct admission_level
{
  double mShare = 1; // of the gathers that are admitted

  auto operator<=>(const admission_level&) const = default;
};

// Level after a gather of which aLate of aParts parts were missing when the partial answer was due.
admission_level WithGather(const admission_level& aLevel, std::size_t aLate, std::size_t aParts);

// Refuses less urgent requests twice as often as urgent ones. aRandom is random, in [0, 1).
bool IsAdmitted(const admission_level& aLevel, bool aUrgent, double aRandom);

} // namespace redwingdock

#endif
