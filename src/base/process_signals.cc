#include "base/process_signals.h"

#include <csignal>

namespace redwingdock {

void IgnoreBrokenPipes()
{
  std::signal(SIGPIPE, SIG_IGN);
}

} // namespace redwingdock
