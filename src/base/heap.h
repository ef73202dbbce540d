#ifndef REDWINGDOCK_BASE_HEAP_H
#define REDWINGDOCK_BASE_HEAP_H

#include <string>

namespace redwingdock {

// Empties the text and frees its memory. Assigning an empty string or clear() keeps the memory.
inline void FreeText(std::string& aText)
{
  std::string().swap(aText);
}

// Has the C library return large blocks to the kernel as soon as they are freed. By default it
// keeps more and more of them after the first was freed, so that a burst of long replies would stay
// in the resident memory of the process. Call before the first thread starts.
void ReturnFreedMemory();

} // namespace redwingdock

#endif
