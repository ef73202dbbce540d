#include "query/query_state.h"

#include "base/hash.h"

#include <algorithm>

namespace redwingdock {

std::optional<attempt_index> FindAttempt(const query_state& aState, std::uint64_t aNumber)
{
  for (std::size_t part = 0; part < aState.mParts.size(); ++part) {
    const std::vector<attempt_state>& attempts = aState.mParts[part].mAttempts;
    for (std::size_t attempt = 0; attempt < attempts.size(); ++attempt) {
      if (attempts[attempt].mNumber == aNumber) {
        return attempt_index{ part, attempt };
      }
    }
  }
  return std::nullopt;
}

std::optional<reason> CheckReply(const query_state& aState,
                                 const part_state& aPart,
                                 const part_reply& aReply)
{
  const auto fail = [&aReply](std::string aText) {
    return reason{ "check part", aReply.mServer, std::move(aText) };
  };
  if (aReply.mShard != aPart.mShard) {
    return fail("shard " + aReply.mShard + " instead of " + aPart.mShard);
  }
  if (aReply.mVersion == 0) {
    return fail("the reply has no index version");
  }
  if (aState.mVersion != 0 && aReply.mVersion != aState.mVersion) {
    return fail("index version " + std::to_string(aReply.mVersion) + " instead of " +
                std::to_string(aState.mVersion));
  }
  if (aReply.mMap != aState.mMap) {
    return fail("partition map " + std::to_string(aReply.mMap) + " instead of " +
                std::to_string(aState.mMap));
  }
  for (const record& each : aReply.mRecords) {
    if (!Contains(aPart.mRanges, PositionOf(each.mId))) {
      return fail("record " + each.mId + " is outside the position ranges of the shard");
    }
  }
  return std::nullopt;
}

namespace {

bool HasOpenAttempt(const part_state& aPart)
{
  return std::any_of(aPart.mAttempts.begin(),
                     aPart.mAttempts.end(),
                     [](const attempt_state& aAttempt) { return aAttempt.mOpen; });
}

bool IsOpenPhase(part_phase aPhase)
{
  return aPhase != part_phase::Answered && aPhase != part_phase::Failed;
}

void ApplyAnswer(query_state& aState,
                 part_state& aPart,
                 const part_reply& aReply,
                 const reply_check& aCheck)
{
  if (const std::optional<reason> wrong = aCheck(aState, aPart, aReply)) {
    aPart.mReason = *wrong;
    aPart.mMayHaveRun = true;
    const bool otherSnapshot = aReply.mVersion != aState.mVersion || aReply.mMap != aState.mMap;
    aPart.mVersionGone = aReply.mShard == aPart.mShard && otherSnapshot;
    aPart.mPhase = part_phase::Ready;
    return;
  }
  if (aState.mVersion == 0) {
    aState.mVersion = aReply.mVersion;
  }
  aPart.mRecords = aReply.mRecords;
  aPart.mPhase = part_phase::Answered;
}

void ApplyFailure(part_state& aPart, const part_reply& aReply)
{
  aPart.mReason = aReply.mReason;
  if (aPart.mReason.mText.empty()) {
    aPart.mReason = { "run part", aReply.mServer, ToString(aReply.mFailure) };
  }
  if (aReply.mResult == part_result::Unknown) {
    aPart.mMayHaveRun = true;
  }
  if (aReply.mFailure == part_failure::VersionGone) {
    aPart.mVersionGone = true;
  }
  if (aReply.mFailure == part_failure::ConnectionLost) {
    ++aPart.mConnectionLosses;
  }
  if (HasOpenAttempt(aPart)) {
    return;
  }
  aPart.mPhase =
    aReply.mFailure == part_failure::ConnectionLost ? part_phase::Lost : part_phase::Ready;
}

} // namespace

query_state ApplyReply(query_state aState, const part_reply& aReply, const reply_check& aCheck)
{
  const std::optional<attempt_index> index = FindAttempt(aState, aReply.mAttempt.mNumber);
  if (!index || !aState.mParts[index->mPart].mAttempts[index->mAttempt].mOpen) {
    return aState;
  }
  query_state next = std::move(aState);
  part_state& part = next.mParts[index->mPart];
  attempt_state& attempt = part.mAttempts[index->mAttempt];
  if (attempt.mServer != aReply.mServer) {
    return next;
  }
  attempt.mOpen = false;
  attempt.mFailure = aReply.mFailure;
  if (!IsOpenPhase(part.mPhase)) {
    return next;
  }
  if (aReply.mResult == part_result::Answered) {
    ApplyAnswer(next, part, aReply, aCheck);
    if (part.mPhase != part_phase::Answered) {
      attempt.mFailure = part.mVersionGone ? part_failure::VersionGone : part_failure::Malformed;
    }
  } else {
    ApplyFailure(part, aReply);
  }
  return next;
}

query_state AddAttempt(query_state aState, std::size_t aPart, attempt_state aAttempt)
{
  query_state next = std::move(aState);
  part_state& part = next.mParts.at(aPart);
  part.mAttempts.push_back(std::move(aAttempt));
  part.mPhase = part_phase::Running;
  ++next.mNextAttempt;
  return next;
}

query_state FailOpenParts(query_state aState, const reason& aReason)
{
  query_state next = std::move(aState);
  for (part_state& part : next.mParts) {
    if (!IsOpenPhase(part.mPhase)) {
      continue;
    }
    const auto open = std::find_if(part.mAttempts.begin(),
                                   part.mAttempts.end(),
                                   [](const attempt_state& aAttempt) { return aAttempt.mOpen; });
    if (open != part.mAttempts.end()) {
      part.mMayHaveRun = true;
      part.mReason = { aReason.mStep, open->mServer, aReason.mText };
    } else if (part.mReason.mText.empty()) {
      part.mReason = aReason;
    }
    part.mPhase = part_phase::Failed;
  }
  return next;
}

std::size_t CountAnswered(const query_state& aState)
{
  return static_cast<std::size_t>(
    std::count_if(aState.mParts.begin(), aState.mParts.end(), [](const part_state& aPart) {
      return aPart.mPhase == part_phase::Answered;
    }));
}

namespace {

bool AnsweredInPool(const query_state& aState, const std::string& aPool)
{
  return std::any_of(aState.mParts.begin(), aState.mParts.end(), [&aPool](const part_state& aPart) {
    return aPart.mPool == aPool && aPart.mPhase == part_phase::Answered;
  });
}

} // namespace

bool IsHarmless(const query_state& aState)
{
  return std::all_of(
    aState.mParts.begin(), aState.mParts.end(), [&aState](const part_state& aPart) {
      return aPart.mConnectionLosses < 2 && AnsweredInPool(aState, aPart.mPool);
    });
}

std::size_t CountConnectionLosses(const query_state& aState)
{
  std::size_t losses = 0;
  for (const part_state& part : aState.mParts) {
    losses += part.mConnectionLosses;
  }
  return losses;
}

bool MayHaveRun(const query_state& aState)
{
  return aState.mMayHaveRunEarlier ||
         std::any_of(aState.mParts.begin(), aState.mParts.end(), [](const part_state& aPart) {
           return aPart.mMayHaveRun || aPart.mPhase == part_phase::Answered;
         });
}

bool IsFinished(const query_state& aState)
{
  for (const part_state& part : aState.mParts) {
    // A lost part is resent only after another part of its pool was answered.
    const bool stuck = part.mPhase == part_phase::Lost && !AnsweredInPool(aState, part.mPool);
    if (IsOpenPhase(part.mPhase) && !stuck) {
      return false;
    }
  }
  return true;
}

namespace {

reason ReasonOfGaps(const query_state& aState, std::size_t aAnswered)
{
  const auto failed =
    std::find_if(aState.mParts.begin(), aState.mParts.end(), [](const part_state& aPart) {
      return aPart.mPhase != part_phase::Answered;
    });
  if (failed == aState.mParts.end()) {
    return {};
  }
  return { failed->mReason.mStep,
           failed->mReason.mPeer,
           std::to_string(aState.mParts.size() - aAnswered) + " of " +
             std::to_string(aState.mParts.size()) + " parts missing; " + failed->mReason.mText };
}

} // namespace

query_answer MakeAnswer(const query_state& aState)
{
  query_answer answer;
  answer.mVersion = aState.mVersion;
  answer.mMap = aState.mMap;
  std::vector<record> records;
  std::vector<planned_part> parts;
  for (const part_state& part : aState.mParts) {
    const bool answered = part.mPhase == part_phase::Answered;
    parts.push_back({ part.mPool, part.mShard, part.mRanges, answered, part.mReason });
    if (answered) {
      records.insert(records.end(), part.mRecords.begin(), part.mRecords.end());
    }
  }
  std::sort(records.begin(), records.end());
  answer.mRecords = std::move(records);
  const std::size_t answered = CountAnswered(aState);
  answer.mReason = ReasonOfGaps(aState, answered);
  answer.mCoverage = ComputeCoverage(parts);
  if (aState.mOperation == operation::Submit) {
    // A submit concerns only the shard of its record, so the positions of other shards aren't
    // missing.
    const std::uint32_t own = parts.empty() ? 0 : CountPositions(parts.front().mRanges);
    answer.mCoverage.mTotal = own;
    std::erase_if(answer.mCoverage.mMissing,
                  [](const coverage_gap& aGap) { return aGap.mShard.empty(); });
  }
  if (answered > 0) {
    answer.mOutcome = answer.mCoverage.mMissing.empty() ? outcome::Complete : outcome::Partial;
  } else {
    answer.mOutcome = MayHaveRun(aState) ? outcome::Unknown : outcome::NotRun;
  }
  return answer;
}

std::uint64_t FingerprintOf(const query_request& aRequest)
{
  std::string text = aRequest.mRoute;
  for (const auto& [name, value] : aRequest.mFilter) {
    text += '\0';
    text += name;
    text += '\0';
    text += value;
  }
  return Hash(text);
}

} // namespace redwingdock
