#include "base/process_signals.h"

#include <csignal>
#include <initializer_list>

namespace redwingdock {

namespace {

void ChangeMask(int aHow)
{
  sigset_t signals;
  sigemptyset(&signals);
  for (const int each : { SIGHUP, SIGINT, SIGTERM }) {
    sigaddset(&signals, each);
  }
  pthread_sigmask(aHow, &signals, nullptr);
}

} // namespace

void IgnoreBrokenPipes()
{
  std::signal(SIGPIPE, SIG_IGN);
}

void HoldSignals()
{
  ChangeMask(SIG_BLOCK);
}

void DeliverSignals()
{
  ChangeMask(SIG_UNBLOCK);
}

} // namespace redwingdock
