#ifndef REDWINGDOCK_CTL_TERMINAL_H
#define REDWINGDOCK_CTL_TERMINAL_H

#include "base/time.h"

#include <memory>

// Waits for a key press or a signal while a program shows a live view on its terminal.
//
//   terminal screen;
//   do { Draw(); } while (!screen.WaitForQuit(std::chrono::seconds(1)));

namespace redwingdock::ctl {

class terminal
{
public:
  // Turns off line buffering and echo if standard input is a terminal, until destruction, and
  // blocks SIGINT and SIGTERM in this thread and in threads that it starts later.
  terminal();
  ~terminal();
  terminal(const terminal&) = delete;
  terminal& operator=(const terminal&) = delete;

  // Blocks for up to aTime. Returns true as soon as q or Ctrl-C is pressed or SIGTERM arrives, and
  // false after aTime.
  bool WaitForQuit(micros aTime);

private:
  struct state;
  std::unique_ptr<state> mState;
};

// Returns whether standard output is a terminal.
bool OutputIsTerminal();

} // namespace redwingdock::ctl

#endif
