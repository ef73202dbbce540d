#include "permits/permits.h"

#include <benchmark/benchmark.h>

namespace redwingdock {

namespace {

// All permits of the target size: 5,100 replicas as 2 per shard, 3 slots each.
void AssignAll(benchmark::State& aState)
{
  vm_list list;
  for (int i = 0; i < aState.range(0); ++i) {
    list.mVms.push_back({ "vm-" + std::to_string(i), "", "", "", vm_state::Live });
  }
  std::vector<permit_shape> shapes;
  for (int i = 0; i < aState.range(1) / 2; ++i) {
    const std::string name = "s" + std::to_string(i);
    shapes.push_back({ "pool", name, 3, { name + "a", name + "b" } });
  }
  for (auto each : aState) {
    const permit_ring ring(list);
    for (const permit_shape& shape : shapes) {
      benchmark::DoNotOptimize(ring.Assign(shape));
    }
  }
}
BENCHMARK(AssignAll)->Args({ 5, 100 })->Args({ 710, 5100 })->Unit(benchmark::kMillisecond);

} // namespace

} // namespace redwingdock
