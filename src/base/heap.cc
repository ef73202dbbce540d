#include "base/heap.h"

#include <malloc.h>

namespace redwingdock {

void ReturnFreedMemory()
{
  // The default that the C library starts with; setting it keeps it from growing (mallopt(3)).
  constexpr int kMappedBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  mallopt(M_TRIM_THRESHOLD, kMappedBytes);
}

} // namespace redwingdock
