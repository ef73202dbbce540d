#ifndef REDWINGDOCK_BASE_PROCESS_SIGNALS_H
#define REDWINGDOCK_BASE_PROCESS_SIGNALS_H

// Signals of a program that serves requests.
//
//   int main() { IgnoreBrokenPipes(); ... }

namespace redwingdock {

// Makes writing to a pipe without a reader fail instead of ending the process. Call at the start of
// main.
void IgnoreBrokenPipes();

} // namespace redwingdock

#endif
