#include "load/outcome_check.h"

#include "base/hash.h"

#include <algorithm>

namespace redwingdock::load {

namespace {

bool IsAnswered(outcome aOutcome)
{
  return aOutcome == outcome::Complete || aOutcome == outcome::Partial;
}

std::string WithCallPrefix(const planned_call& aCall, const std::string& aText)
{
  return aCall.mRequest.mRoute + " of " + aCall.mRequest.mCaller + ": " + aText;
}

} // namespace

const char* ToString(violation_kind aKind)
{
  static constexpr const char* kNames[] = { "lost",           "doubled",      "cut",
                                            "wrong_coverage", "wrong_record", "false_not_run" };
  return kNames[static_cast<std::size_t>(aKind)];
}

std::vector<violation> CheckAnswer(const planned_call& aCall,
                                   const call_result& aResult,
                                   const record_list& aRecords)
{
  std::vector<violation> violations;
  auto add = [&](violation_kind aKind, const std::string& aText) {
    violations.push_back({ aKind, aCall.mNumber, WithCallPrefix(aCall, aText) });
  };
  const query_answer& answer = aResult.mAnswer;
  if (aResult.mInvalidAnswer) {
    add(violation_kind::Cut, Describe(answer.mReason));
  }
  if (!IsAnswered(answer.mOutcome) || aCall.mOperation != operation::Search) {
    return violations;
  }
  position_ranges missing;
  std::uint32_t missingPositions = 0;
  for (const coverage_gap& gap : answer.mCoverage.mMissing) {
    for (const position_range& range : gap.mRanges) {
      missing.push_back(range);
      missingPositions += range.mTo - range.mFrom;
    }
  }
  if (answer.mCoverage.mTotal != kPositions ||
      answer.mCoverage.mCovered + missingPositions != kPositions ||
      (answer.mOutcome == outcome::Complete) != (missingPositions == 0)) {
    add(violation_kind::WrongCoverage,
        std::to_string(answer.mCoverage.mCovered) + " covered, " +
          std::to_string(missingPositions) + " missing of " +
          std::to_string(answer.mCoverage.mTotal) + " positions, outcome " +
          redwingdock::ToString(answer.mOutcome));
  }
  std::vector<record> expected = Scan(aRecords, answer.mVersion, aCall.mRequest.mFilter, missing);
  std::vector<record> actual = answer.mRecords.All();
  std::sort(actual.begin(), actual.end());
  for (std::size_t i = 1; i < actual.size(); ++i) {
    if (actual[i].mId == actual[i - 1].mId) {
      add(violation_kind::Doubled, "record " + actual[i].mId + " occurs twice");
    }
  }
  std::vector<record> difference;
  std::set_difference(
    expected.begin(), expected.end(), actual.begin(), actual.end(), std::back_inserter(difference));
  for (const record& each : difference) {
    add(violation_kind::Lost,
        "record " + each.mId + " of version " + std::to_string(answer.mVersion) +
          " is neither in the answer nor in a missing range");
  }
  difference.clear();
  std::set_difference(
    actual.begin(), actual.end(), expected.begin(), expected.end(), std::back_inserter(difference));
  for (const record& each : difference) {
    std::uint32_t position = PositionOf(each.mId);
    bool inMissingRange =
      std::any_of(missing.begin(), missing.end(), [position](const auto& aRange) {
        return aRange.mFrom <= position && position < aRange.mTo;
      });
    add(inMissingRange ? violation_kind::WrongCoverage : violation_kind::WrongRecord,
        "record " + each.mId + " is not an expected record of version " +
          std::to_string(answer.mVersion) + " of the answer");
  }
  return violations;
}

std::vector<violation> CheckSubmit(const planned_call& aCall,
                                   const call_result& aResult,
                                   const run_counts& aRunCounts)
{
  if (aCall.mOperation != operation::Submit || aResult.mRequestKey.empty()) {
    return {};
  }
  auto found = aRunCounts.find(aResult.mRequestKey);
  std::uint64_t runs = found == aRunCounts.end() ? 0 : found->second;
  outcome reported = aResult.mAnswer.mOutcome;
  auto makeViolation = [&](violation_kind aKind) {
    return std::vector<violation>{ { aKind,
                                     aCall.mNumber,
                                     WithCallPrefix(aCall,
                                                    "key " + aResult.mRequestKey + " ran " +
                                                      std::to_string(runs) + " times, outcome " +
                                                      redwingdock::ToString(reported)) } };
  };
  if (runs > 1) {
    return makeViolation(violation_kind::Doubled);
  }
  if (reported == outcome::Complete && runs == 0) {
    return makeViolation(violation_kind::Lost);
  }
  if ((reported == outcome::NotRun || reported == outcome::Rejected) && runs > 0) {
    return makeViolation(violation_kind::FalseNotRun);
  }
  return {};
}

} // namespace redwingdock::load
