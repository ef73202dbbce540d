#ifndef REDWINGDOCK_BASE_PROCESS_SIGNALS_H
#define REDWINGDOCK_BASE_PROCESS_SIGNALS_H

// Signals of a program that serves requests.
//
//   int main()
//   {
//     IgnoreBrokenPipes();
//     HoldSignals();
//     ... // installs the handlers, then starts to serve
//     DeliverSignals();
//   }

namespace redwingdock {

// Makes writing to a pipe without a reader fail instead of ending the process. Call at the start of
// main.
void IgnoreBrokenPipes();

// Holds back SIGHUP, SIGINT and SIGTERM, which would end a process that has not installed its
// handlers, or reach them before the daemon can act on them. Call at the start of main: threads
// inherit it.
void HoldSignals();
// Delivers the signals that were held back, and later ones, to this thread.
void DeliverSignals();

} // namespace redwingdock

#endif
