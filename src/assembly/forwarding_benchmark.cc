#include "testing/forwarding_rig.h"

#include <benchmark/benchmark.h>

// Processor time of the decisions for one gathered query, from its arrival until its state is
// removed. The rig simulates the store and the replicas on a manual clock; its share of the time is
// small.
//
//   forwarding_benchmark --benchmark_filter=GatherQuery/90

namespace redwingdock::testing {
namespace {

// Replicas of a service, as in the larger deployments.
constexpr int kReplicas = 3;

void GatherQuery(benchmark::State& aState)
{
  forwarding_rig rig({});
  std::vector<std::string> services;
  for (int i = 0; i < aState.range(0); ++i) {
    services.push_back("service-" + std::to_string(i));
    for (int j = 0; j < kReplicas; ++j) {
      rig.Publish(ReplicaItem(
        services.back() + "-" + std::to_string(j), services.back(), "zone-" + std::to_string(j)));
    }
  }
  rig.Publish(ConfigurationItem(7, { GatherRoute(services, 0.9) }));
  rig.RunFor(std::chrono::seconds(1));
  std::uint64_t request = 0;
  for (auto _ : aState) {
    rig.SendRequest(++request, "/q/x");
    rig.RunFor(std::chrono::milliseconds(20));
    rig.mSent.clear();
  }
  if (rig.mAnswers[request].size() != 1) {
    aState.SkipWithError("the last query has no answer");
  }
}

BENCHMARK(GatherQuery)->Arg(20)->Arg(90)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace redwingdock::testing
