#include "gate/gate_test_rig.h"

#include <benchmark/benchmark.h>

// Measures the cost of the gate's decisions per part, and the simulated time that a cold server
// takes to reach its top stage.

namespace redwingdock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Seconds until every gate has reached the top stage, 30 at most.
double TopStageSeconds(gate_rig& aRig, std::uint32_t aSlots)
{
  const instant start = aRig.Now();
  while (aRig.Now() - start < seconds(30)) {
    aRig.RunFor(milliseconds(10));
    bool all = true;
    for (std::size_t i = 0; i < aSlots; ++i) {
      all = all && aRig.StageAt(i) + 1 >= aSlots;
    }
    if (all) {
      break;
    }
  }
  return std::chrono::duration<double>(aRig.Now() - start).count();
}

// One gate per permit. Each part of the daemon's own queries takes at least one command, the send.
void Parts(benchmark::State& aState)
{
  const auto slots = static_cast<std::uint32_t>(aState.range(0));
  double parts = 0;
  double commands = 0;
  double topStageSeconds = 0;
  for (auto each : aState) {
    rig_options options;
    options.mGates = slots;
    options.mSlots = slots;
    options.mConnections = 10 * slots;
    options.mConfig.mLogDecisions = false;
    gate_rig rig(options);
    rig.Load(seconds(10), milliseconds(2));
    topStageSeconds = TopStageSeconds(rig, slots);
    rig.RunFor(seconds(10));
    parts += rig.mServer.mAnswered;
    commands += static_cast<double>(rig.Commands());
  }
  aState.counters["parts"] = benchmark::Counter(parts, benchmark::Counter::kIsRate);
  aState.counters["commands_per_part"] = commands / parts;
  aState.counters["full_use_s"] = topStageSeconds;
}

BENCHMARK(Parts)->Arg(1)->Arg(2)->Arg(3)->Arg(6)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace redwingdock
