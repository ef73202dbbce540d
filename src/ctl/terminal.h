#ifndef REDWINGDOCK_CTL_TERMINAL_H
#define REDWINGDOCK_CTL_TERMINAL_H

#include "base/time.h"

#include <memory>

// Waits for a key or a signal on the terminal of a live view.
//
//   terminal screen;
//   do { Draw(); } while (!screen.WaitForQuit(std::chrono::seconds(1)));

namespace redwingdock::ctl {

class terminal
{
public:
  // Turns off line input and echo when standard input is a terminal; restored at the end.
  terminal();
  ~terminal();
  terminal(const terminal&) = delete;
  terminal& operator=(const terminal&) = delete;

  // Blocks for the time; true as soon as q or Ctrl-C was pressed or SIGTERM arrived.
  bool WaitForQuit(micros aTime);

private:
  struct state;
  std::unique_ptr<state> mState;
};

// Whether standard output is a terminal.
bool OutputIsTerminal();

} // namespace redwingdock::ctl

#endif
