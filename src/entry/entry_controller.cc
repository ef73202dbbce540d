#include "entry/entry_controller.h"

#include "core/controller_facts.h"
#include "core/fleet.h"
#include "entry/entry_choice.h"
#include "query/query_state.h"

namespace redwingdock {

namespace {

constexpr micros kStopCheck = std::chrono::milliseconds(100);

// Time until the other daemons know of a drain and no longer direct callers to this VM. Views are
// exchanged every 500 ms, and the next one makes up for a lost one.
constexpr micros kDrainPropagationTime = std::chrono::seconds(2);

// Fact: checks whether the drain can go on to its next phase. Key: kSelfKey.
struct stop_check
{
  bool mEnding = false; // exit_process has been emitted

  auto operator<=>(const stop_check&) const = default;
};

std::vector<entry_candidate> CandidatesOf(core_context& aContext, const member_view& aView)
{
  std::vector<entry_candidate> candidates;
  for (const vm_spec& vm : aView.mVms.mVms) {
    entry_candidate candidate;
    candidate.mVm = vm;
    if (vm.mName == aContext.mConfig.mVm) {
      const auto drain = aContext.mBoard.Read<drain_state>(kSelfKey);
      candidate.mIncarnation = aContext.mConfig.mIncarnation;
      candidate.mReachable = true;
      candidate.mDraining = drain && drain->mPhase != drain_phase::Serving;
    } else if (const auto peer = aContext.mBoard.Read<peer_state>("peer/" + vm.mName)) {
      candidate.mIncarnation = peer->mIncarnation;
      candidate.mReachable = peer->mConnected;
      candidate.mDraining = peer->mDraining;
    }
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

void OnEntryRequested(core_context& aContext, const entry_requested& aFact)
{
  const auto view = aContext.mBoard.Read<member_view>(kMembersKey);
  const auto tables = aContext.mBoard.Read<tables_in_force>(kTablesKey);
  const std::set<std::string> closed =
    tables && tables->mPools ? tables->mPools->mClosedZones : std::set<std::string>();
  const std::optional<entry_candidate> chosen =
    view ? ChooseEntry(CandidatesOf(aContext, *view), aFact.mCaller, aFact.mZone, closed)
         : std::nullopt;
  if (!chosen) {
    aContext.Log("entry", "no reachable VM for caller " + aFact.mCaller, log_level::Warning);
    aContext.Emit(
      answer_entry{ aFact.mEntryRequest,
                    Failure<entry_answer>("choose entry VM", "", "no VM list is known yet") });
    return;
  }
  entry_answer answer{
    chosen->mVm.mName, chosen->mVm.mCallAddress, aContext.mConfig.mEntryLifetime, ""
  };
  if (!chosen->mIncarnation.empty()) {
    answer.mKeyPrefix = chosen->mVm.mName + "." + chosen->mIncarnation + ".";
  }
  aContext.Count("entry.answers");
  aContext.Log("entry", "directed caller " + aFact.mCaller + " to VM " + answer.mVm);
  aContext.Emit(answer_entry{ aFact.mEntryRequest, Success(std::move(answer)) });
}

void AnswerOpenQueries(core_context& aContext)
{
  for (const auto& [key, state] : aContext.mBoard.List<query_state>()) {
    aContext.mBoard.Post(key, answer_now{});
  }
}

// Refuses further queries and has the open ones answered with what is known.
void EndWork(core_context& aContext, instant aEarliestClosing)
{
  aContext.mBoard.Write(kSelfKey, drain_state{ drain_phase::Stopped, aEarliestClosing });
  AnswerOpenQueries(aContext);
}

void OnStopRequested(core_context& aContext, const stop_requested& aFact)
{
  const auto old = aContext.mBoard.Read<drain_state>(kSelfKey);
  const drain_phase phase = old ? old->mPhase : drain_phase::Serving;
  if (aFact.mAtOnce && phase != drain_phase::Stopped) {
    aContext.Log("entry", "stopping: open queries are answered at once");
    EndWork(aContext, aContext.Now());
    if (phase == drain_phase::Serving) {
      aContext.After(kStopCheck, kSelfKey, stop_check{});
    }
    return;
  }
  if (phase != drain_phase::Serving) {
    return;
  }
  // A caller that was just directed to this VM may use the answer for its whole lifetime.
  const instant notBefore =
    aContext.Now() + aContext.mConfig.mEntryLifetime + kDrainPropagationTime;
  aContext.mBoard.Write(kSelfKey, drain_state{ drain_phase::Draining, notBefore });
  aContext.Log("entry", "draining: callers are directed to other VMs");
  aContext.After(kStopCheck, kSelfKey, stop_check{});
}

bool HasWorkInFlight(core_context& aContext)
{
  if (!aContext.mBoard.List<query_state>().empty()) {
    return true;
  }
  for (const auto& [server, load] : aContext.mBoard.List<gate_load>()) {
    if (load->mInFlight > 0) {
      return true;
    }
  }
  return false;
}

void OnStopCheck(core_context& aContext, const stop_check& aFact)
{
  const auto state = aContext.mBoard.Read<drain_state>(kSelfKey);
  if (!state || state->mPhase == drain_phase::Serving) {
    return;
  }
  if (state->mPhase == drain_phase::Stopped) {
    // A query that was accepted just before the change of the phase may be written after it.
    AnswerOpenQueries(aContext);
    if (!aFact.mEnding) {
      aContext.Emit(exit_process{});
    }
    aContext.After(kStopCheck, kSelfKey, stop_check{ true });
    return;
  }
  if (state->mPhase == drain_phase::Draining && aContext.Now() >= state->mEarliestClosing) {
    aContext.mBoard.Write(kSelfKey, drain_state{ drain_phase::Closing, state->mEarliestClosing });
    aContext.Log("entry", "closing: no new work is accepted, work in flight is finished");
    aContext.Emit(close_callers{});
    aContext.After(kStopCheck, kSelfKey, stop_check{});
    return;
  }
  const bool busy = HasWorkInFlight(aContext);
  const bool late = aContext.Now() >= state->mEarliestClosing + aContext.mConfig.mClosingLimit;
  aContext.After(kStopCheck, kSelfKey, stop_check{});
  if (state->mPhase == drain_phase::Draining || (busy && !late)) {
    return;
  }
  aContext.Log("entry",
               busy ? "stopping: work is in flight at the limit, open queries are answered"
                    : "stopping: no work is in flight",
               busy ? log_level::Warning : log_level::Info);
  EndWork(aContext, state->mEarliestClosing);
}

} // namespace

void AddEntryController(core_context& aContext)
{
  blackboard& board = aContext.mBoard;
  board.OnFact<entry_requested>([&aContext](const std::string&, const entry_requested& aFact) {
    OnEntryRequested(aContext, aFact);
  });
  board.OnFact<stop_requested>([&aContext](const std::string&, const stop_requested& aFact) {
    OnStopRequested(aContext, aFact);
  });
  board.OnFact<stop_check>(
    [&aContext](const std::string&, const stop_check& aFact) { OnStopCheck(aContext, aFact); });
}

} // namespace redwingdock
