#include "ctl/terminal.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <poll.h>
#include <sys/signalfd.h>
#include <termios.h>
#include <unistd.h>

namespace redwingdock::ctl {

struct terminal::state
{
  termios mSavedAttributes{};
  bool mChanged = false;
  int mSignals = -1;
  bool mInputOpen = true;
};

terminal::terminal()
  : mState(std::make_unique<state>())
{
  if (::tcgetattr(STDIN_FILENO, &mState->mSavedAttributes) == 0) {
    termios raw = mState->mSavedAttributes;
    raw.c_lflag &= ~static_cast<tcflag_t>(ICANON | ECHO);
    mState->mChanged = ::tcsetattr(STDIN_FILENO, TCSANOW, &raw) == 0;
  }
  // Blocks the signals in this thread and in threads that it starts later, so that they are only
  // delivered to the signalfd.
  sigset_t signals;
  ::sigemptyset(&signals);
  ::sigaddset(&signals, SIGINT);
  ::sigaddset(&signals, SIGTERM);
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  mState->mSignals = ::signalfd(-1, &signals, SFD_CLOEXEC);
}

terminal::~terminal()
{
  if (mState->mChanged) {
    ::tcsetattr(STDIN_FILENO, TCSANOW, &mState->mSavedAttributes);
  }
  ::close(mState->mSignals);
}

bool terminal::WaitForQuit(micros aTime)
{
  auto until = std::chrono::steady_clock::now() + aTime;
  while (true) {
    auto remaining =
      std::chrono::ceil<std::chrono::milliseconds>(until - std::chrono::steady_clock::now());
    pollfd polled[] = { { mState->mSignals, POLLIN, 0 }, { STDIN_FILENO, POLLIN, 0 } };
    int ready = ::poll(polled,
                       mState->mInputOpen ? 2 : 1,
                       static_cast<int>(std::max<std::int64_t>(0, remaining.count())));
    if (ready <= 0) {
      return false;
    }
    if (polled[0].revents != 0) {
      return true;
    }
    char key = 0;
    ssize_t bytesRead = ::read(STDIN_FILENO, &key, 1);
    if (bytesRead <= 0) {
      // poll would return at once for a closed input, so stop polling it.
      mState->mInputOpen = false;
    } else if (key == 'q') {
      return true;
    }
  }
}

bool OutputIsTerminal()
{
  return ::isatty(STDOUT_FILENO) == 1;
}

} // namespace redwingdock::ctl
