#include "load/call_plan.h"

#include <cmath>
#include <random>

namespace redwingdock::load {

namespace {

// Computes its distributions itself, because those of <random> differ between standard libraries
// and a seed must give the same calls everywhere.
class generator
{
public:
  explicit generator(std::uint64_t aSeed)
    : mBits(aSeed)
  {
  }

  // Uniform in [0, 1), with 53 random bits.
  double Share() { return static_cast<double>(mBits() >> 11U) * 0x1p-53; }
  // Below aCount. The modulo bias is negligible, as the engine has 64 bits.
  std::size_t Below(std::size_t aCount) { return mBits() % aCount; }
  // Exponentially distributed, for aRate arrivals per second.
  micros Gap(double aRate)
  {
    return micros(static_cast<std::int64_t>(-std::log1p(-Share()) / aRate * 1e6));
  }

private:
  std::mt19937_64 mBits;
};

struct kind_use
{
  const request_kind* mKind = nullptr;
  std::uint64_t mSent = 0;
};

// Chooses a kind by weight among those that may be sent at aAt. Returns null if there is none.
kind_use* Choose(std::vector<kind_use>& aKinds, micros aAt, generator& aRandom)
{
  auto open = [aAt](const kind_use& aUse) {
    return aAt >= aUse.mKind->mFrom && (aUse.mKind->mMost == 0 || aUse.mSent < aUse.mKind->mMost);
  };
  double total = 0;
  for (const kind_use& each : aKinds) {
    total += open(each) ? each.mKind->mWeight : 0;
  }
  double at = aRandom.Share() * total;
  for (kind_use& each : aKinds) {
    if (open(each) && (at -= each.mKind->mWeight) < 0) {
      return &each;
    }
  }
  return nullptr;
}

} // namespace

std::vector<planned_call> PlanCalls(const experiment& aExperiment, const route_records& aRecords)
{
  generator random(aExperiment.mSeed);
  std::vector<kind_use> kinds;
  for (const request_kind& each : aExperiment.mMix) {
    if (each.mSample.empty() || !RecordsOf(aRecords, each.mRoute).empty()) {
      kinds.push_back({ &each, 0 });
    }
  }
  std::vector<planned_call> calls;
  micros at = random.Gap(aExperiment.mRate);
  for (; at < aExperiment.mDuration; at += random.Gap(aExperiment.mRate)) {
    kind_use* chosen = Choose(kinds, at, random);
    std::size_t caller = random.Below(aExperiment.mCallers);
    if (chosen == nullptr) {
      continue;
    }
    ++chosen->mSent;
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
      const record& sample = records[random.Below(records.size())].mRecord;
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
