#include "entry/entry_choice.h"

#include <gtest/gtest.h>
#include <map>

namespace redwingdock {
namespace {

entry_candidate Candidate(const std::string& aVm, const std::string& aZone)
{
  entry_candidate candidate;
  candidate.mVm = { aVm, "", "", aZone, vm_state::Live };
  candidate.mReachable = true;
  return candidate;
}

entry_candidate Unreachable(entry_candidate aCandidate)
{
  aCandidate.mReachable = false;
  return aCandidate;
}

entry_candidate Draining(entry_candidate aCandidate)
{
  aCandidate.mDraining = true;
  return aCandidate;
}

entry_candidate Leaving(entry_candidate aCandidate)
{
  aCandidate.mVm.mState = vm_state::Leaving;
  return aCandidate;
}

struct entry_row
{
  const char* mGuardsAgainst;
  std::vector<entry_candidate> mCandidates;
  std::string mZone;
  std::set<std::string> mClosed;
  std::string mChosen; // empty: none
};

class entry_test : public testing::TestWithParam<entry_row>
{};

TEST_P(entry_test, Chosen)
{
  const entry_row& row = GetParam();
  const auto chosen = ChooseEntry(row.mCandidates, "desk-7", row.mZone, row.mClosed);
  EXPECT_EQ(chosen ? chosen->mVm.mName : "", row.mChosen) << row.mGuardsAgainst;
}

const entry_candidate kA = Candidate("vm-a", "zone-a");
const entry_candidate kB = Candidate("vm-b", "zone-b");

INSTANTIATE_TEST_SUITE_P(
  rows,
  entry_test,
  testing::Values(
    entry_row{ "a caller is directed to another zone", { kA, kB }, "zone-b", {}, "vm-b" },
    entry_row{ "an unreachable VM is chosen", { kA, Unreachable(kB) }, "zone-b", {}, "vm-a" },
    entry_row{ "a draining VM is chosen", { kA, Draining(kB) }, "zone-b", {}, "vm-a" },
    entry_row{ "a leaving VM is chosen", { kA, Leaving(kB) }, "zone-b", {}, "vm-a" },
    entry_row{ "a VM in a closed zone is chosen", { kA, kB }, "zone-b", { "zone-b" }, "vm-a" },
    entry_row{ "a caller is refused while a VM can still answer",
               { Draining(kA) },
               "",
               {},
               "vm-a" },
    entry_row{ "a VM is chosen although none is reachable", { Unreachable(kA) }, "", {}, "" }));

struct spread_row
{
  std::size_t mVms;
};

class spread_test : public testing::TestWithParam<spread_row>
{};

// Guards against an uneven spread of callers over VMs. With 1,000 callers each VM stays within 25%
// of the mean, which is more than five standard deviations at five VMs.
TEST_P(spread_test, Even)
{
  std::vector<entry_candidate> candidates;
  for (std::size_t i = 0; i < GetParam().mVms; ++i) {
    candidates.push_back(Candidate("vm-" + std::to_string(i), "zone-" + std::to_string(i)));
  }
  std::map<std::string, double> counts;
  for (int caller = 0; caller < 1000; ++caller) {
    ++counts[ChooseEntry(candidates, "caller-" + std::to_string(caller), "", {})->mVm.mName];
  }
  EXPECT_EQ(counts.size(), GetParam().mVms);
  const double mean = 1000.0 / static_cast<double>(GetParam().mVms);
  for (const auto& [vm, count] : counts) {
    EXPECT_NEAR(count, mean, 0.25 * mean) << vm;
  }
}

INSTANTIATE_TEST_SUITE_P(rows, spread_test, testing::Values(spread_row{ 2 }, spread_row{ 5 }));

} // namespace
} // namespace redwingdock
