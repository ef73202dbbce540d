#ifndef REDWINGDOCK_TESTING_FUZZ_SETTINGS_H
#define REDWINGDOCK_TESTING_FUZZ_SETTINGS_H

#include <compare>
#include <cstdint>
#include <cstdlib>

// How many mutated inputs a fuzz test plays, and their seed.
//
//   REDWINGDOCK_FUZZ_RUNS=1000000 REDWINGDOCK_FUZZ_SEED=7 daemon_http_reader_fuzz_test

namespace redwingdock::testing_support {

struct fuzz_settings
{
  std::uint64_t mRuns = 20000;
  std::uint64_t mSeed = 1;

  auto operator<=>(const fuzz_settings&) const = default;
};

namespace detail {

inline std::uint64_t FromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text != nullptr ? std::strtoull(text, nullptr, 10) : aDefault;
}

} // namespace detail

// The defaults, or what the variables REDWINGDOCK_FUZZ_RUNS and REDWINGDOCK_FUZZ_SEED set.
inline fuzz_settings ReadFuzzSettings()
{
  return { detail::FromEnvironment("REDWINGDOCK_FUZZ_RUNS", fuzz_settings{}.mRuns),
           detail::FromEnvironment("REDWINGDOCK_FUZZ_SEED", fuzz_settings{}.mSeed) };
}

} // namespace redwingdock::testing_support

#endif
