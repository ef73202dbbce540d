#ifndef REDWINGDOCK_DAEMON_LINE_LIMITER_H
#define REDWINGDOCK_DAEMON_LINE_LIMITER_H

#include <chrono>
#include <cstdint>
#include <utility>

// Limits the log lines written in each second and counts the omitted ones.
//
//   line_limiter limiter{ 1000 };
//   if (limiter.Admit(now).mAdmitted) { ... }

namespace redwingdock {

class line_limiter
{
public:
  struct decision
  {
    bool mAdmitted = false;
    std::uint64_t mOmitted = 0; // lines omitted in earlier seconds; reported once

    auto operator<=>(const decision&) const = default;
  };

  explicit line_limiter(std::uint32_t aLinesPerSecond)
    : mLimit(aLinesPerSecond)
  {
  }

  decision Admit(std::chrono::nanoseconds aNow)
  {
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(aNow);
    decision given;
    if (second != mSecond) {
      mSecond = second;
      mLines = 0;
      given.mOmitted = std::exchange(mOmitted, 0);
    }
    given.mAdmitted = mLines < mLimit;
    mLines += given.mAdmitted ? 1 : 0;
    mOmitted += given.mAdmitted ? 0 : 1;
    return given;
  }

  // Lines omitted that Admit has not reported yet.
  std::uint64_t TakeOmitted() { return std::exchange(mOmitted, 0); }

private:
  std::uint32_t mLimit;
  std::chrono::seconds mSecond{ -1 };
  std::uint32_t mLines = 0;
  std::uint64_t mOmitted = 0;
};

} // namespace redwingdock

#endif
