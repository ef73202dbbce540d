#include "forward/forward_state.h"

#include <algorithm>
#include <utility>

namespace redwingdock {

namespace {

// Tolerance for the minimum share, which is published as a decimal fraction.
constexpr double kShareTolerance = 1e-9;

bool AttemptMayHaveRun(const forward_attempt& aAttempt)
{
  return aAttempt.mOpen || MayHaveRun(aAttempt.mEnd);
}

} // namespace

forward_state WithPart(forward_state aState, std::size_t aIndex, forward_part aPart)
{
  aState.mParts.at(aIndex) = std::make_shared<const forward_part>(std::move(aPart));
  return aState;
}

std::size_t OpenAttempts(const forward_part& aPart)
{
  return static_cast<std::size_t>(std::count_if(
    aPart.mAttempts.begin(), aPart.mAttempts.end(), [](const forward_attempt& aAttempt) {
      return aAttempt.mOpen;
    }));
}

std::size_t PossiblyRunAttempts(const forward_part& aPart)
{
  return static_cast<std::size_t>(
    std::count_if(aPart.mAttempts.begin(), aPart.mAttempts.end(), AttemptMayHaveRun));
}

bool MayHaveArrived(const forward_part& aPart)
{
  return std::any_of(
    aPart.mAttempts.begin(), aPart.mAttempts.end(), [](const forward_attempt& aAttempt) {
      return aAttempt.mOpen || aAttempt.mEnd != attempt_end::NotSent;
    });
}

std::size_t AnsweredParts(const forward_state& aState)
{
  return static_cast<std::size_t>(
    std::count_if(aState.mParts.begin(), aState.mParts.end(), [](const part_pointer& aPart) {
      return aPart->mReply != nullptr;
    }));
}

std::size_t PendingParts(const forward_state& aState)
{
  return static_cast<std::size_t>(
    std::count_if(aState.mParts.begin(), aState.mParts.end(), [](const part_pointer& aPart) {
      return aPart->mReply == nullptr && !aPart->mGivenUp;
    }));
}

bool MayHaveRun(const forward_state& aState)
{
  return std::any_of(aState.mParts.begin(), aState.mParts.end(), [](const part_pointer& aPart) {
    return PossiblyRunAttempts(*aPart) > 0;
  });
}

bool HasExpiredAttempt(const forward_state& aState)
{
  return std::any_of(aState.mParts.begin(), aState.mParts.end(), [](const part_pointer& aPart) {
    return std::any_of(
      aPart->mAttempts.begin(), aPart->mAttempts.end(), [](const forward_attempt& aAttempt) {
        return !aAttempt.mOpen && aAttempt.mEnd == attempt_end::Expired;
      });
  });
}

bool HasEnoughParts(const forward_state& aState, std::size_t aAdditional)
{
  const std::size_t answered = AnsweredParts(aState) + aAdditional;
  if (!aState.mRoute->mGather) {
    return answered == aState.mParts.size();
  }
  const double share = static_cast<double>(answered) / static_cast<double>(aState.mParts.size());
  return answered > 0 && share >= aState.mRoute->mGather->mMinimumSuccessShare - kShareTolerance;
}

std::size_t OpenRequestsOn(const blackboard& aBoard, const std::string& aRoute)
{
  std::size_t open = 0;
  for (const auto& [key, state] : aBoard.List<forward_state>()) {
    open += !state->mAnswered && state->mRoute->mName == aRoute ? 1 : 0;
  }
  return open;
}

std::size_t OpenRequests(const blackboard& aBoard)
{
  std::size_t open = 0;
  for (const auto& [key, state] : aBoard.List<forward_state>()) {
    open += state->mAnswered ? 0 : 1;
  }
  return open;
}

} // namespace redwingdock
