#include "permits/permits.h"

#include <benchmark/benchmark.h>

namespace redwingdock {

namespace {

// Assigns all permits. Arguments: VMs and replicas, with 2 replicas per shard and 3 slots each. The
// target size is 710 VMs and 5,100 replicas.
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
    const permit_assigner assigner(list);
    for (const permit_shape& shape : shapes) {
      benchmark::DoNotOptimize(assigner.Assign(shape));
    }
  }
}

// Counts the shards of which an isolated region holds no permit. Arguments: VMs, spread evenly over
// 10 zones, and the number of zones in the region.
void UnreachableShards(benchmark::State& aState)
{
  vm_list list;
  for (int i = 0; i < aState.range(0); ++i) {
    list.mVms.push_back({ "vm-" + std::to_string(i),
                          "",
                          "",
                          i % 10 < aState.range(1) ? "inside" : "outside",
                          vm_state::Live });
  }
  const permit_assigner assigner(list);
  const int shards = static_cast<int>(aState.range(0)) * 5100 / 710 / 2;
  int unreachable = 0;
  for (auto each : aState) {
    unreachable = 0;
    for (int i = 0; i < shards; ++i) {
      const std::string name = "s" + std::to_string(i);
      bool reached = false;
      for (const auto& [server, held] :
           assigner.Assign({ "pool", name, 3, { name + "a", name + "b" } })) {
        for (const std::string& vm : held) {
          const vm_spec* holder = list.Find(vm);
          reached = reached || (holder != nullptr && holder->mZone == "inside");
        }
      }
      unreachable += reached ? 0 : 1;
    }
  }
  aState.counters["shards"] = shards;
  aState.counters["unreachable"] = unreachable;
}
BENCHMARK(UnreachableShards)
  ->Args({ 180, 4 })
  ->Args({ 355, 4 })
  ->Args({ 710, 4 })
  ->Args({ 710, 3 })
  ->Iterations(1);

BENCHMARK(AssignAll)
  ->Args({ 5, 100 })
  ->Args({ 178, 1275 })
  ->Args({ 355, 2550 })
  ->Args({ 710, 5100 })
  ->Unit(benchmark::kMillisecond);

} // namespace

} // namespace redwingdock
