#include "testing/fleet_checker.h"

#include "base/hash.h"

#include <algorithm>
#include <bitset>

namespace redwingdock::testing {

namespace {

// The requirements say "after a few seconds", which this checker takes as 5 s at most.
constexpr micros kMaxNewWorkDelay = std::chrono::seconds(5);

using violations = std::vector<std::string>;

void CheckServer(const fake_server& aServer, const fake_fleet& aFleet, violations& aFound)
{
  const server_counts& counts = aServer.Counts();
  const std::string& name = aServer.Options().mName;
  const auto report = [&](const std::string& aText, std::uint64_t aCount) {
    if (aCount > 0) {
      aFound.push_back(name + ": " + aText + " " + std::to_string(aCount) + " times");
    }
  };
  report("requests above its slots", counts.mOverSlots);
  report("connections above its limit", counts.mOverConnections);
  report("load above its capacity while cold", counts.mColdOverloads);
  const auto closed = aFleet.ClosedSince().find(aServer.Options().mZone);
  if (closed != aFleet.ClosedSince().end() &&
      counts.mLastWork > closed->second + kMaxNewWorkDelay) {
    aFound.push_back(name + ": new work more than 5 s after its zone was closed");
  }
  const auto draining = aFleet.DrainingSince().find(name);
  if (draining != aFleet.DrainingSince().end() &&
      counts.mLastWork > draining->second + kMaxNewWorkDelay) {
    aFound.push_back(name + ": new work more than 5 s after it was set draining");
  }
}

violations CheckSearch(const issued_query& aQuery)
{
  violations found;
  const query_answer& answer = aQuery.mAnswer;
  const std::string name = "query " + std::to_string(aQuery.mNumber) + ": ";
  position_ranges covered;
  std::bitset<kPositions> missing;
  for (const coverage_gap& gap : answer.mCoverage.mMissing) {
    for (const position_range& range : gap.mRanges) {
      for (std::uint32_t i = range.mFrom; i < range.mTo; ++i) {
        missing.set(i);
      }
    }
  }
  for (std::uint32_t i = 0; i < kPositions; ++i) {
    if (missing.test(i)) {
      continue;
    }
    if (!covered.empty() && covered.back().mTo == i) {
      ++covered.back().mTo;
    } else {
      covered.push_back({ i, i + 1 });
    }
  }
  if (answer.mCoverage.mTotal != kPositions ||
      answer.mCoverage.mCovered != kPositions - missing.count()) {
    found.push_back(name + "coverage is " + std::to_string(answer.mCoverage.mCovered) + " of " +
                    std::to_string(answer.mCoverage.mTotal) + ", but the coverage gaps leave " +
                    std::to_string(kPositions - missing.count()));
  }
  if ((answer.mOutcome == outcome::Complete) != answer.mCoverage.mMissing.empty()) {
    found.push_back(name + "outcome " + ToString(answer.mOutcome) +
                    " does not match the coverage gaps");
  }
  std::vector<record> expected = fake_server::Scan(covered, answer.mVersion);
  std::sort(expected.begin(), expected.end());
  if (answer.mRecords.All() != expected) {
    found.push_back(name + "has " + std::to_string(answer.mRecords.size()) +
                    " records, a scan at index version " + std::to_string(answer.mVersion) +
                    " finds " + std::to_string(expected.size()) + ", or they differ");
  }
  return found;
}

} // namespace

std::uint64_t CountRuns(const fake_fleet& aFleet, const std::string& aTag)
{
  std::uint64_t runs = 0;
  for (const auto& server : aFleet.Servers()) {
    const auto found = server->RunsByRequest().find(aTag);
    runs += found == server->RunsByRequest().end() ? 0 : found->second;
  }
  return runs;
}

std::vector<std::string> CheckServers(const fake_fleet& aFleet)
{
  violations found;
  for (const auto& server : aFleet.Servers()) {
    CheckServer(*server, aFleet, found);
  }
  for (const issued_query& query : aFleet.Queries()) {
    if (!query.mRequest.mRequestKey.empty() && CountRuns(aFleet, query.mTag) > 1) {
      found.push_back("request key " + query.mTag + " ran more than once");
    }
  }
  return found;
}

std::vector<std::string> CheckAnswers(const fake_fleet& aFleet, std::set<std::uint64_t>& aChecked)
{
  violations found;
  std::map<std::string, bool> refused; // by tag: every attempt was answered not_run
  for (const issued_query& query : aFleet.Queries()) {
    if (query.mAnswerCount > 1) {
      found.push_back("query " + std::to_string(query.mNumber) + " was answered twice");
    }
    const bool notRun = query.mAnswerCount == 1 && query.mAnswer.mOutcome == outcome::NotRun;
    const auto [entry, first] = refused.emplace(query.mTag, notRun);
    entry->second = entry->second && notRun;
    const bool hasRecords =
      query.mAnswerCount == 1 &&
      (query.mAnswer.mOutcome == outcome::Complete || query.mAnswer.mOutcome == outcome::Partial);
    if (hasRecords && query.mRequest.mRequestKey.empty() && aChecked.insert(query.mNumber).second) {
      const violations more = CheckSearch(query);
      found.insert(found.end(), more.begin(), more.end());
    }
    if (hasRecords && !query.mRequest.mRequestKey.empty() && CountRuns(aFleet, query.mTag) == 0) {
      found.push_back("request key " + query.mTag + " was answered but did not run");
    }
  }
  for (const auto& [tag, notRun] : refused) {
    if (notRun && CountRuns(aFleet, tag) > 0) {
      found.push_back("request " + tag + " was answered not_run but ran");
    }
  }
  return found;
}

std::vector<std::string> CheckAllAnswered(const fake_fleet& aFleet)
{
  violations found;
  for (const issued_query& query : aFleet.Queries()) {
    if (!query.mDaemonLost && query.mAnswerCount != 1) {
      found.push_back("query " + std::to_string(query.mNumber) + " has " +
                      std::to_string(query.mAnswerCount) + " answers");
    }
  }
  return found;
}

fleet_totals ComputeTotals(const fake_fleet& aFleet)
{
  fleet_totals totals;
  double covered = 0.0;
  for (const issued_query& query : aFleet.Queries()) {
    ++totals.mQueries;
    if (query.mAnswerCount == 0) {
      totals.mDaemonLost += query.mDaemonLost ? 1 : 0;
      continue;
    }
    switch (query.mAnswer.mOutcome) {
      case outcome::Complete:
        ++totals.mComplete;
        break;
      case outcome::Partial:
        ++totals.mPartial;
        break;
      case outcome::NotRun:
        ++totals.mNotRun;
        break;
      case outcome::Unknown:
      case outcome::Rejected:
        ++totals.mUnknown;
        break;
    }
    if (query.mRequest.mRequestKey.empty()) {
      covered += static_cast<double>(query.mAnswer.mCoverage.mCovered) / kPositions;
      totals.mLatencies.push_back(query.mAnsweredAt - query.mSentAt);
    }
  }
  for (const auto& server : aFleet.Servers()) {
    totals.mRuns += server->Counts().mRuns;
  }
  std::sort(totals.mLatencies.begin(), totals.mLatencies.end());
  if (!totals.mLatencies.empty()) {
    totals.mCoverage = covered / static_cast<double>(totals.mLatencies.size());
  }
  return totals;
}

micros LatencyQuantile(const fleet_totals& aTotals, double aQuantile)
{
  if (aTotals.mLatencies.empty()) {
    return micros(0);
  }
  const auto rank =
    static_cast<std::size_t>(aQuantile * static_cast<double>(aTotals.mLatencies.size()));
  return aTotals.mLatencies[std::min(rank, aTotals.mLatencies.size() - 1)];
}

} // namespace redwingdock::testing
