#include "load/call_plan.h"

#include <cmath>
#include <random>

namespace redwingdock::load {

namespace {

// Computes its distributions itself, because those of <random> differ between standard libraries
// and a seed must give the same calls everywhere.
class random_generator
{
public:
  explicit random_generator(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  // Uniform in [0, 1), with 53 random bits.
  double Uniform() { return static_cast<double>(mEngine() >> 11U) * 0x1p-53; }
  // Uniform in [0, aCount). The modulo bias is negligible, as the engine has 64 bits.
  std::size_t UniformBelow(std::size_t aCount) { return mEngine() % aCount; }
  // Exponentially distributed, for aRate arrivals per second.
  micros ExponentialGap(double aRate)
  {
    return micros(static_cast<std::int64_t>(-std::log1p(-Uniform()) / aRate * 1e6));
  }

private:
  std::mt19937_64 mEngine;
};

struct kind_usage
{
  const request_kind* mKind = nullptr;
  std::uint64_t mSentCount = 0;
};

// Chooses a kind by weight among those that may be sent at aAt. Returns null if there is none.
kind_usage* ChooseKind(std::vector<kind_usage>& aKinds, micros aAt, random_generator& aRandom)
{
  auto isEligible = [aAt](const kind_usage& aUsage) {
    return aAt >= aUsage.mKind->mFrom &&
           (aUsage.mKind->mMost == 0 || aUsage.mSentCount < aUsage.mKind->mMost);
  };
  double totalWeight = 0;
  for (const kind_usage& each : aKinds) {
    totalWeight += isEligible(each) ? each.mKind->mWeight : 0;
  }
  double remaining = aRandom.Uniform() * totalWeight;
  for (kind_usage& each : aKinds) {
    if (isEligible(each) && (remaining -= each.mKind->mWeight) < 0) {
      return &each;
    }
  }
  return nullptr;
}

} // namespace

std::vector<planned_call> PlanCalls(const experiment& aExperiment, const route_records& aRecords)
{
  random_generator random(aExperiment.mSeed);
  std::vector<kind_usage> kinds;
  for (const request_kind& each : aExperiment.mMix) {
    if (each.mSample.empty() || !RecordsOf(aRecords, each.mRoute).empty()) {
      kinds.push_back({ &each, 0 });
    }
  }
  std::vector<planned_call> calls;
  micros at = random.ExponentialGap(aExperiment.mRate);
  for (; at < aExperiment.mDuration; at += random.ExponentialGap(aExperiment.mRate)) {
    kind_usage* chosen = ChooseKind(kinds, at, random);
    std::size_t caller = random.UniformBelow(aExperiment.mCallers);
    if (chosen == nullptr) {
      continue;
    }
    ++chosen->mSentCount;
    const request_kind& kind = *chosen->mKind;
    planned_call call;
    call.mNumber = calls.size();
    call.mAt = at;
    call.mOperation = kind.mOperation;
    if (!aExperiment.mZones.empty()) {
      call.mZone = aExperiment.mZones[caller % aExperiment.mZones.size()];
    }
    call.mRequest.mRoute = kind.mRoute;
    call.mRequest.mCaller = "load-" + std::to_string(caller);
    call.mRequest.mUrgency = kind.mUrgency;
    call.mRequest.mDeadline = kind.mDeadline;
    call.mRequest.mFilter = kind.mFilter;
    if (!kind.mSample.empty()) {
      const record_list& records = RecordsOf(aRecords, kind.mRoute);
      const record& sample = records[random.UniformBelow(records.size())].mRecord;
      for (const std::string& name : kind.mSample) {
        auto found = sample.mFields.find(name);
        if (name == "id") {
          call.mRequest.mFilter[name] = sample.mId;
        } else if (found != sample.mFields.end()) {
          call.mRequest.mFilter[name] = found->second;
        }
      }
    }
    calls.push_back(std::move(call));
  }
  return calls;
}

} // namespace redwingdock::load
