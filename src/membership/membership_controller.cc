#include "membership/membership_controller.h"

#include "core/controller_facts.h"
#include "core/send.h"
#include "membership/membership_state.h"
#include "membership/permit_plan.h"
#include "membership/view_exchange.h"
#include "membership/witness.h"

#include <algorithm>
#include <utility>

namespace redwingdock {

namespace {

constexpr micros kProbeInterval = std::chrono::seconds(1);
// Used for kFastProbeDuration after a start or a new list, while permits wait for probe replies.
constexpr micros kFastProbeInterval = std::chrono::milliseconds(200);
constexpr micros kFastProbeDuration = std::chrono::seconds(2);
constexpr std::size_t kMaxProbeTargets = 64; // per interval, for the claims of earlier holders
// A gate that read its permits before they moved may start work for this long. Afterwards its
// published load includes that work.
constexpr micros kReleaseDelay = std::chrono::milliseconds(200);
constexpr std::size_t kMaxRevisionsPerVm = 8;    // VM list revisions remembered per VM
constexpr std::size_t kMaxEarlierProcesses = 16; // earlier incarnations remembered per VM
// Peers may relay state of an earlier process under this name for this long after the start of this
// process. State that was current later comes from another process that is running. Likewise, a
// peer that has heard this process so long after another one does not hear that one any more.
constexpr micros kMaxRelayedStateAge = std::chrono::seconds(10);

struct view_tick
{
  auto operator<=>(const view_tick&) const = default;
};

struct probe_tick
{
  auto operator<=>(const probe_tick&) const = default;
};

// The VM list, its confirmation or the active pair of routes and pools tables changed.
struct tables_changed
{
  auto operator<=>(const tables_changed&) const = default;
};

class membership_controller
{
public:
  membership_controller(core_context& aContext, membership_hooks aHooks)
    : mContext(aContext)
    , mHooks(std::move(aHooks))
  {
  }

  void ViewTick();
  void ProbeTick();
  void TablesChanged();
  void Paused(const process_paused& aPause);
  void PeerView(const received<view_message>& aView);
  void PeerProbe(const received<probe_message>& aProbe);
  void PeerProbeReply(const received<probe_reply_message>& aReply);
  void PeerRelease(const received<permit_release_message>& aRelease);
  void PeerConnection(const peer_connection_changed& aConnection);

private:
  membership_state Load() const;
  void Save(membership_state aState);
  vm_list List() const;
  bool SelfListed(const vm_list& aList) const;
  std::vector<std::string> OtherVms() const;

  void AdoptList(membership_state& aState, const vm_list& aList);
  void AdoptPools(membership_state& aState);
  void AssignPermits(membership_state& aState, bool aKeepsOwn, bool aReleases);
  void EvaluateClaims(membership_state& aState);
  void UpdateConfirmation(membership_state& aState);
  void SendProbes(membership_state& aState);
  void SendReleases(membership_state& aState);
  void SendViewTo(const std::string& aVm, std::uint64_t aRotation);
  void AnnounceTables(const membership_state& aState);
  bool RecordIncarnation(const std::string& aVm, const std::string& aIncarnation);
  void RecordRevision(membership_state& aState,
                      const std::string& aVm,
                      const std::string& aIncarnation,
                      const table_revision& aRevision,
                      instant aSince);
  void MergePeerEntry(const view_entry& aEntry);
  void NoteOwnName(membership_state& aState, const view_entry& aEntry);
  void PostNewSuspects(const received<view_message>& aView);

  core_context& mContext;
  const membership_hooks mHooks;
};

membership_state membership_controller::Load() const
{
  const auto state = mContext.mBoard.Read<membership_state>(kMembersKey);
  return state ? *state : membership_state{};
}

void membership_controller::Save(membership_state aState)
{
  mContext.mBoard.Write(kMembersKey, std::move(aState));
}

vm_list membership_controller::List() const
{
  const auto view = mContext.mBoard.Read<member_view>(kMembersKey);
  return view ? view->mVms : vm_list{};
}

// False also when the VM was replaced under the same name: the list then has another address.
bool membership_controller::SelfListed(const vm_list& aList) const
{
  const vm_spec* self = aList.Find(mContext.mConfig.mVm);
  const std::string& address = mContext.mConfig.mAddress;
  return self != nullptr && (address.empty() || self->mAddress == address);
}

std::vector<std::string> membership_controller::OtherVms() const
{
  const vm_list list = List();
  std::vector<std::string> names;
  for (const vm_spec& vm : list.mVms.empty() ? mContext.mConfig.mSeeds : list.mVms) {
    if (vm.mName != mContext.mConfig.mVm) {
      names.push_back(vm.mName);
    }
  }
  return names;
}

void membership_controller::ViewTick()
{
  const core_config& config = mContext.mConfig;
  membership_state state = Load();
  if (!state.mStarted) {
    state.mStarted = true;
    state.mStartedAt = mContext.Now();
    state.mRotation = mContext.Random(1U << 16U);
    mContext.mBoard.Write(kMembersKey, member_view{ config.mVm, config.mIncarnation, {}, {} });
  }
  ++state.mRotation;
  for (const std::string& vm :
       mHooks.mViewTargets(OtherVms(), config.mViewPeers, state.mRotation)) {
    SendViewTo(vm, state.mRotation);
  }
  UpdateConfirmation(state);
  mContext.After(config.mViewInterval, kMembersKey, view_tick{});
  Save(std::move(state));
}

void membership_controller::ProbeTick()
{
  membership_state state = Load();
  UpdateConfirmation(state);
  SendProbes(state);
  EvaluateClaims(state);
  SendReleases(state);
  const instant now = mContext.Now();
  const bool quick =
    (!state.mPendingClaims.empty() || !state.mPendingReleases.empty() || !state.mRecovered) &&
    now - std::max(state.mListSince, state.mStartedAt) < kFastProbeDuration;
  mContext.After(quick ? kFastProbeInterval : kProbeInterval, kMembersKey, probe_tick{});
  Save(std::move(state));
}

void membership_controller::TablesChanged()
{
  membership_state state = Load();
  const auto published = mContext.mBoard.Read<vm_list>(kTablesKey);
  if (published && mHooks.mMayReplaceList(published->mRevision, List().mRevision)) {
    AdoptList(state, *published);
  }
  AdoptPools(state);
  UpdateConfirmation(state);
  EvaluateClaims(state);
  Save(std::move(state));
}

void membership_controller::AdoptList(membership_state& aState, const vm_list& aList)
{
  const core_config& config = mContext.mConfig;
  const instant now = mContext.Now();
  const vm_list before = List();
  const auto view = mContext.mBoard.Read<member_view>(kMembersKey);
  const bool first = before.mRevision == 0;
  // This daemon has missed lists between the two. Under such a list, other daemons can only have
  // taken over its permits while its view was not confirmed.
  const bool gap = !first && !Follows(aList.mRevision, before.mRevision);
  const bool wasConfirmed = view && view->mConfirmedUntil > now;
  if (!first) {
    aState.mReplacedLists.push_back({ std::make_shared<const vm_list>(before), now });
  }
  std::erase_if(aState.mReplacedLists, [&](const replaced_list& aOlder) {
    return aOlder.mReplacedAt + config.mTakeLong <= now;
  });
  aState.mFirstList = first;
  aState.mListSince = now;
  aState.mHighestKnownRevision = std::max(aState.mHighestKnownRevision, aList.mRevision);
  aState.mWitnesses = WitnessesOf(aList, config.mVm, config.mWitnesses);
  if (first || gap) {
    aState.mStartClaim =
      claim{ claim_kind::Start, "", 0, aList.mRevision, aState.mWitnesses, false, now, kNever };
  }
  aState.mKnownRevisions.try_emplace(config.mVm);
  RecordRevision(aState, config.mVm, config.mIncarnation, aList.mRevision, now);
  mContext.mBoard.Write(
    kMembersKey,
    member_view{ config.mVm,
                 config.mIncarnation,
                 aList,
                 SelfListed(aList) && view ? view->mConfirmedUntil : instant{} });
  mContext.Log("members",
               "adopted VM list " + ToString(aList.mRevision) + " with " +
                 std::to_string(aList.mVms.size()) + " VMs, previous revision " +
                 ToString(before.mRevision) + (SelfListed(aList) ? "" : "; this VM is not listed"));
  for (const auto& [key, peer] : mContext.mBoard.List<peer_state>()) {
    if (aList.Find(peer->mVm) == nullptr) {
      mContext.mBoard.Erase<peer_state>(key);
      aState.mConfirmingProbes.erase(peer->mVm);
      mContext.mBoard.Erase<seen_processes>(key);
    }
  }
  for (auto& [id, claims] : aState.mPendingClaims) {
    for (claim& each : claims) {
      each.mHolderCanAnswer = each.mHolderCanAnswer && SameAddress(before, aList, each.mHolder);
    }
  }
  AssignPermits(aState, !gap || wasConfirmed, !gap);
  AnnounceTables(aState);
  SendProbes(aState);
}

void membership_controller::AdoptPools(membership_state& aState)
{
  const auto tables = mContext.mBoard.Read<tables_in_force>(kTablesKey);
  if (!tables || !tables->mPools || tables->PoolsRevision() == aState.mPoolsRevision) {
    return;
  }
  const instant now = mContext.Now();
  std::vector<permit_shape> shapes = ShapesOf(*tables->mPools);
  std::erase_if(aState.mReplacedShapes, [&](const replaced_shape& aOlder) {
    return aOlder.mReplacedAt + mContext.mConfig.mTakeLong <= now;
  });
  aState.mPoolsRevision = tables->PoolsRevision();
  if (!aState.mShapes || shapes != *aState.mShapes) {
    if (aState.mShapes) {
      for (replaced_shape& replaced :
           ReplacedShapes(*aState.mShapes, shapes, aState.mPoolsRevision, now)) {
        aState.mReplacedShapes.push_back(std::move(replaced));
      }
    }
    aState.mShapes = std::make_shared<const std::vector<permit_shape>>(std::move(shapes));
    AssignPermits(aState, true, false);
  }
  AnnounceTables(aState);
}

// Assigns all permits to their holders and writes server_permits. With aKeepsOwn, permits that this
// daemon held and could use stay usable; its other permits wait until the claims of earlier holders
// have expired. With aReleases, permits that moved to another daemon are released by message.
void membership_controller::AssignPermits(membership_state& aState, bool aKeepsOwn, bool aReleases)
{
  const core_config& config = mContext.mConfig;
  const instant now = mContext.Now();
  const vm_list list = List();
  if (list.mVms.empty()) {
    return;
  }
  const auto before = mContext.mBoard.List<server_permits>();
  const auto usableBefore = [&](const permit_id& aPermit) {
    const auto found = before.find(aPermit.first);
    if (found == before.end() || aPermit.second >= found->second->mPermits.size()) {
      return false;
    }
    const permit& each = found->second->mPermits[aPermit.second];
    return each.mHolder == config.mVm && each.mUsableFrom <= now;
  };
  permit_plan plan =
    PlanPermits(list, aState, config.mVm, config.mWitnesses, [&](const permit_id& aPermit) {
      return !aKeepsOwn || !usableBefore(aPermit);
    });
  std::map<permit_id, std::vector<claim>> pending;
  for (auto& [id, claims] : plan.mClaims) {
    if (aState.mStartClaim) {
      claims.push_back(*aState.mStartClaim);
    }
    const auto waiting = aState.mPendingClaims.find(id);
    if (waiting != aState.mPendingClaims.end()) {
      for (const claim& each : waiting->second) {
        const auto same = std::find_if(claims.begin(), claims.end(), [&each](const claim& aClaim) {
          return SameClaim(aClaim, each);
        });
        if (same == claims.end()) {
          claims.push_back(each);
        } else {
          same->mExpiresAt = std::min(same->mExpiresAt, each.mExpiresAt);
        }
      }
    }
    pending.emplace(id, std::move(claims));
  }
  aState.mPendingClaims = std::move(pending);
  for (const auto& [server, held] : plan.mHolders) {
    server_permits permits{ server, {} };
    for (std::uint32_t i = 0; i < held.size(); ++i) {
      const permit_id id{ server, i };
      permits.mPermits.push_back(
        { i, held[i], aState.mPendingClaims.contains(id) ? kNever : instant{} });
      // aReleases is false after missed lists: a holder under one of them may still take the permit
      // over.
      if (aReleases && held[i] != config.mVm && usableBefore(id)) {
        aState.mPendingReleases.push_back({ server, i, held[i], list.mRevision, now });
      }
    }
    mContext.mBoard.Write(server, std::move(permits));
  }
  for (const auto& [server, permits] : before) {
    if (!plan.mHolders.contains(server)) {
      mContext.mBoard.Erase<server_permits>(server);
    }
  }
  if (!aState.mPendingClaims.empty() || !aState.mPendingReleases.empty()) {
    mContext.Log("members",
                 "VM list " + ToString(list.mRevision) + ": " +
                   std::to_string(aState.mPendingClaims.size()) +
                   " permits wait for earlier holders, " +
                   std::to_string(aState.mPendingReleases.size()) + " permits to release");
  }
}

void membership_controller::EvaluateClaims(membership_state& aState)
{
  const core_config& config = mContext.mConfig;
  const instant now = mContext.Now();
  const auto updateExpiry = [&](claim& aClaim) {
    const auto holder = mContext.mBoard.Read<peer_state>(PeerKey(aClaim.mHolder));
    aClaim.mExpiresAt = mHooks.mClaimExpiry(aClaim,
                                            { aState.mKnownRevisions,
                                              config.mVm,
                                              aState.mStartedAt,
                                              holder ? holder->mPoolsRevision : 0,
                                              now },
                                            config);
    return aClaim.mExpiresAt;
  };
  if (aState.mStartClaim && updateExpiry(*aState.mStartClaim) <= now) {
    aState.mStartClaim.reset();
  }
  std::size_t taken = 0;
  for (auto it = aState.mPendingClaims.begin(); it != aState.mPendingClaims.end();) {
    const auto& [server, index] = it->first;
    instant usable{};
    for (claim& each : it->second) {
      usable = std::max(usable, updateExpiry(each));
    }
    mContext.mBoard.Update<server_permits>(server,
                                           [index = index, usable](const server_permits* aOld) {
                                             std::optional<server_permits> next;
                                             if (aOld != nullptr && index < aOld->mPermits.size()) {
                                               next = *aOld;
                                               next->mPermits[index].mUsableFrom = usable;
                                             }
                                             return next;
                                           });
    if (usable <= now) {
      ++taken;
      it = aState.mPendingClaims.erase(it);
    } else {
      ++it;
    }
  }
  if (taken > 0) {
    mContext.Count("members.permits_taken", taken);
    mContext.Log("members",
                 std::to_string(taken) + " permits became usable, " +
                   std::to_string(aState.mPendingClaims.size()) + " still waiting");
  }
}

// Updates until when the view is confirmed: mHoldTime from the latest time at which a majority of
// the witnesses answered or the read of the current list from the configuration service started.
void membership_controller::UpdateConfirmation(membership_state& aState)
{
  const core_config& config = mContext.mConfig;
  const instant now = mContext.Now();
  const auto view = mContext.mBoard.Read<member_view>(kMembersKey);
  if (!view) {
    return;
  }
  instant since{};
  const bool listed = SelfListed(view->mVms) && aState.mSupersededAt == instant{};
  if (listed) {
    const auto read = mContext.mBoard.Read<vm_list_confirmation>(kTablesKey);
    // The read is stale when other daemons already have a newer list than the service returned.
    if (read && read->mRevision == view->mVms.mRevision &&
        read->mRevision >= aState.mHighestKnownRevision &&
        read->mReadStartedAt >= aState.mConfirmNotBefore) {
      since = read->mReadStartedAt;
      aState.mRecovered = true;
    }
    const instant answered =
      mHooks.mAnsweredSince(aState.mWitnesses, config.mVm, aState.mConfirmingProbes);
    if (answered >= aState.mConfirmNotBefore) {
      since = std::max(since, answered);
    }
  }
  const instant until =
    since == instant{} ? instant{} : mHooks.mConfirmationEnds(since, config.mHoldTime);
  const bool confirmed = until > now;
  if (until != view->mConfirmedUntil) {
    member_view next = *view;
    next.mConfirmedUntil = until;
    mContext.mBoard.Write(kMembersKey, std::move(next));
  }
  if (confirmed != aState.mConfirmed) {
    aState.mConfirmed = confirmed;
    mContext.Count(confirmed ? "members.confirmed" : "members.unconfirmed");
    mContext.Log("members",
                 confirmed ? "view confirmed with VM list " + ToString(view->mVms.mRevision)
                           : "view not confirmed; permits are not used until it is",
                 confirmed ? log_level::Info : log_level::Warning);
  }
  // While probes, one per second, confirm the view, more than half of the hold time is always left.
  // A read is requested when less than 5/8 is left.
  mContext.mBoard.Write(kMembersKey,
                        confirmation_need{ listed && until < now + config.mHoldTime * 5 / 8 });
}

void membership_controller::SendProbes(membership_state& aState)
{
  std::set<std::string> targets(aState.mWitnesses.begin(), aState.mWitnesses.end());
  for (const auto& [id, claims] : aState.mPendingClaims) {
    for (const claim& each : claims) {
      if (each.mExpiresAt == kNever && targets.size() < kMaxProbeTargets) {
        targets.insert(each.mWitnesses.begin(), each.mWitnesses.end());
        if (!each.mHolder.empty()) {
          targets.insert(each.mHolder);
        }
      }
    }
  }
  targets.erase(mContext.mConfig.mVm);
  const probe_message probe{ mContext.Now().time_since_epoch().count(), List().mRevision };
  for (const std::string& vm : targets) {
    aState.mKnownRevisions.try_emplace(vm);
    mContext.Count("members.probes");
    SendToPeer(mContext, vm, probe);
  }
}

// Repeats each release message until the receiver may use the permits without it.
void membership_controller::SendReleases(membership_state& aState)
{
  const instant now = mContext.Now();
  std::erase_if(aState.mPendingReleases, [&](const pending_release& aRelease) {
    return now > aRelease.mMovedAt + mContext.mConfig.mTakeDelay;
  });
  // A message names a server once all its permits that moved to the receiver are free. Without a
  // load entry from the gate the work in flight is unknown, and the receiver waits until the claim
  // expires.
  std::map<std::pair<std::string, table_revision>, std::map<std::string, bool>> moved;
  for (const pending_release& each : aState.mPendingReleases) {
    const auto load = mContext.mBoard.Read<gate_load>(each.mServer);
    const bool free =
      now >= each.mMovedAt + kReleaseDelay && load && !load->mPermitsInUse.contains(each.mIndex);
    auto& servers = moved[{ each.mNewHolder, each.mVmRevision }];
    servers.emplace(each.mServer, true).first->second &= free;
  }
  std::map<std::pair<std::string, table_revision>, std::set<std::string>> ready;
  for (const auto& [to, servers] : moved) {
    for (const auto& [server, free] : servers) {
      if (free) {
        ready[to].insert(server);
      }
    }
  }
  for (const auto& [to, servers] : ready) {
    mContext.Count("members.releases");
    mContext.Log("members",
                 "releasing permits of " + std::to_string(servers.size()) + " servers to " +
                   to.first);
    SendToPeer(
      mContext, to.first, permit_release_message{ to.second, { servers.begin(), servers.end() } });
  }
}

void membership_controller::SendViewTo(const std::string& aVm, std::uint64_t aRotation)
{
  mContext.Count("members.views");
  SendToPeer(mContext, aVm, MakeView(mContext, aRotation));
}

// Sends the view to mViewPeers random daemons at once after new tables. They pull tables that they
// lack and announce them in turn.
void membership_controller::AnnounceTables(const membership_state& aState)
{
  std::vector<std::string> others = OtherVms();
  for (std::uint32_t i = 0; i < mContext.mConfig.mViewPeers && !others.empty(); ++i) {
    const auto chosen =
      others.begin() + static_cast<std::ptrdiff_t>(mContext.Random(others.size()));
    SendViewTo(*chosen, aState.mRotation + i);
    others.erase(chosen);
  }
}

// Records the incarnation that sent a message; false when it is an earlier process under that name.
// Messages of two processes can arrive in the wrong order. One that was taken to be the earlier is
// current again once the other has been silent for mTakeDelay, when its view is no longer confirmed
// and its work has ended.
bool membership_controller::RecordIncarnation(const std::string& aVm,
                                              const std::string& aIncarnation)
{
  const auto known = mContext.mBoard.Read<seen_processes>(PeerKey(aVm));
  seen_processes seen = known ? *known : seen_processes{};
  const instant now = mContext.Now();
  if (seen.mCurrent != aIncarnation) {
    if (seen.mEarlier.contains(aIncarnation) && now - seen.mHeardAt < mContext.mConfig.mTakeDelay) {
      return false;
    }
    if (!seen.mCurrent.empty()) {
      if (seen.mEarlier.size() >= kMaxEarlierProcesses) {
        seen.mEarlier.clear();
      }
      seen.mEarlier.insert(seen.mCurrent);
    }
    seen.mEarlier.erase(aIncarnation);
    seen.mCurrent = aIncarnation;
  }
  seen.mHeardAt = now;
  mContext.mBoard.Write(PeerKey(aVm), std::move(seen));
  return true;
}

void membership_controller::RecordRevision(membership_state& aState,
                                           const std::string& aVm,
                                           const std::string& aIncarnation,
                                           const table_revision& aRevision,
                                           instant aSince)
{
  aState.mHighestKnownRevision = std::max(aState.mHighestKnownRevision, aRevision);
  const auto found = aState.mKnownRevisions.find(aVm);
  if (found == aState.mKnownRevisions.end()) {
    return;
  }
  vm_knowledge& known = found->second;
  if (known.mIncarnation != aIncarnation) {
    known = { aIncarnation, {}, false, false };
  }
  if (aRevision == 0) {
    return;
  }
  const auto [at, isNew] = known.mReachedAt.emplace(aRevision, aSince);
  if (!isNew) {
    at->second = std::min(at->second, aSince);
  }
  while (known.mReachedAt.size() > kMaxRevisionsPerVm) {
    known.mReachedAt.erase(known.mReachedAt.begin());
  }
}

void membership_controller::MergePeerEntry(const view_entry& aEntry)
{
  const instant heard = mContext.Now() - aEntry.mAge;
  mContext.mBoard.Update<peer_state>(PeerKey(aEntry.mVm), [&](const peer_state* aOld) {
    std::optional<peer_state> next;
    if (aOld == nullptr || aOld->mHeardAt < heard) {
      next = peer_state{ aEntry.mVm,
                         aEntry.mIncarnation,
                         aEntry.mVmRevision,
                         aEntry.mRoutesRevision,
                         aEntry.mPoolsRevision,
                         aEntry.mDraining,
                         heard,
                         aOld != nullptr && aOld->mConnected };
    }
    return next;
  });
}

// Finds out from an entry under the name of this VM whether a later process runs under it. The
// clock of a peer that was suspended has not counted that time, so it can report an earlier process
// as one that runs.
void membership_controller::NoteOwnName(membership_state& aState, const view_entry& aEntry)
{
  const instant heard = mContext.Now() - aEntry.mAge;
  if (aEntry.mIncarnation == mContext.mConfig.mIncarnation) {
    if (aState.mSupersededAt != instant{} && heard >= aState.mSupersededAt + kMaxRelayedStateAge) {
      aState.mSupersededAt = instant{};
      mContext.Log("members", "no other process runs under the name of this VM any more");
    }
    return;
  }
  if (heard <= aState.mStartedAt + kMaxRelayedStateAge) {
    return;
  }
  if (aState.mSupersededAt == instant{}) {
    mContext.Log("members",
                 "another process runs under the name of this VM: incarnation " +
                   aEntry.mIncarnation + "; permits are no longer used",
                 log_level::Warning);
  }
  aState.mSupersededAt = std::max(aState.mSupersededAt, heard);
}

void membership_controller::PostNewSuspects(const received<view_message>& aView)
{
  for (const suspect_entry& each : aView.mMessage.mSuspects) {
    const auto known = mContext.mBoard.Read<suspect>(SuspectKey(each.mFingerprint));
    const bool news = !known || known->mLevel < each.mLevel ||
                      !std::includes(known->mServersLost.begin(),
                                     known->mServersLost.end(),
                                     each.mServersLost.begin(),
                                     each.mServersLost.end());
    if (news) {
      mContext.mBoard.Post(
        kSuspectsKey,
        received<suspect_message>{ aView.mFrom, aView.mFromIncarnation, suspect_message{ each } });
    }
  }
}

void membership_controller::PeerView(const received<view_message>& aView)
{
  if (aView.mMessage.mEntries.empty()) {
    return;
  }
  const core_config& config = mContext.mConfig;
  membership_state state = Load();
  if (!RecordIncarnation(aView.mFrom, aView.mFromIncarnation)) {
    return;
  }
  const vm_list list = List();
  const view_entry& sender = aView.mMessage.mEntries.front();
  for (const view_entry& entry : aView.mMessage.mEntries) {
    if (entry.mVm == config.mVm) {
      NoteOwnName(state, entry);
      continue;
    }
    if (list.mVms.empty() || list.Find(entry.mVm) != nullptr) {
      MergePeerEntry(entry);
    }
  }
  RecordRevision(state, aView.mFrom, aView.mFromIncarnation, sender.mVmRevision, mContext.Now());
  PostNewSuspects(aView);
  if (sender.mVmRevision < list.mRevision && sender.mVmRevision > 0) {
    SendViewTo(aView.mFrom, state.mRotation);
  }
  EvaluateClaims(state);
  Save(std::move(state));
}

void membership_controller::PeerProbe(const received<probe_message>& aProbe)
{
  membership_state state = Load();
  const bool current = RecordIncarnation(aProbe.mFrom, aProbe.mFromIncarnation);
  const vm_list list = List();
  const instant now = mContext.Now();
  probe_reply_message reply{ aProbe.mMessage.mSentAt, list.mRevision, false, std::nullopt, false };
  reply.mListsYou =
    current && mHooks.mMayVote(state.mRecovered) && list.Find(aProbe.mFrom) != nullptr;
  if (!state.mFirstList) {
    reply.mListAge = now - state.mListSince;
  }
  const auto processes = mContext.mBoard.Read<seen_processes>(PeerKey(aProbe.mFrom));
  reply.mKnewOther = processes && !processes->mEarlier.empty();
  SendToPeer(mContext, aProbe.mFrom, reply);
  if (current) {
    RecordRevision(state, aProbe.mFrom, aProbe.mFromIncarnation, aProbe.mMessage.mVmRevision, now);
  }
  Save(std::move(state));
}

void membership_controller::PeerProbeReply(const received<probe_reply_message>& aReply)
{
  const probe_reply_message& message = aReply.mMessage;
  const instant now = mContext.Now();
  const instant sent(micros(message.mSentAt));
  membership_state state = Load();
  if (!RecordIncarnation(aReply.mFrom, aReply.mFromIncarnation) || sent > now ||
      sent < state.mStartedAt) {
    return;
  }
  const table_revision own = List().mRevision;
  RecordRevision(state,
                 aReply.mFrom,
                 aReply.mFromIncarnation,
                 message.mVmRevision,
                 message.mListAge ? now - *message.mListAge : now);
  const auto known = state.mKnownRevisions.find(aReply.mFrom);
  if (known == state.mKnownRevisions.end()) {
    return;
  }
  known->second.mFirstList = !message.mListAge && message.mVmRevision > 0;
  known->second.mKnewOther = message.mKnewOther;
  if (mHooks.mReplyConfirms(message, own)) {
    instant& answered = state.mConfirmingProbes[aReply.mFrom];
    answered = std::max(answered, sent);
  }
  if (!state.mRecovered && own > 0 && state.mHighestKnownRevision <= own) {
    // A restarted process does not know which lists it had. A recovery quorum of its witnesses
    // does.
    const auto heard =
      std::count_if(state.mWitnesses.begin(), state.mWitnesses.end(), [&](const std::string& aVm) {
        return aVm != mContext.mConfig.mVm && state.mKnownRevisions.contains(aVm) &&
               !state.mKnownRevisions.at(aVm).mReachedAt.empty();
      });
    state.mRecovered = static_cast<std::size_t>(heard) >= RecoveryQuorum(state.mWitnesses.size());
  }
  UpdateConfirmation(state);
  EvaluateClaims(state);
  Save(std::move(state));
}

// The sender could use the permits until it got the new list, and its work under them has ended.
// Therefore the claims of all earlier holders have expired too.
void membership_controller::PeerRelease(const received<permit_release_message>& aRelease)
{
  membership_state state = Load();
  if (!RecordIncarnation(aRelease.mFrom, aRelease.mFromIncarnation)) {
    return;
  }
  const auto& servers = aRelease.mMessage.mServers;
  for (auto& [id, claims] : state.mPendingClaims) {
    if (std::find(servers.begin(), servers.end(), id.first) == servers.end()) {
      continue;
    }
    const auto latest =
      std::max_element(claims.begin(), claims.end(), [](const claim& aLeft, const claim& aRight) {
        return aLeft.mListRevision < aRight.mListRevision;
      });
    if (latest == claims.end() || latest->mKind != claim_kind::List ||
        latest->mHolder != aRelease.mFrom || latest->mEndRevision > aRelease.mMessage.mVmRevision) {
      continue;
    }
    for (claim& each : claims) {
      each.mExpiresAt = std::min(each.mExpiresAt, mContext.Now());
    }
  }
  EvaluateClaims(state);
  Save(std::move(state));
}

void membership_controller::Paused(const process_paused& aPause)
{
  membership_state state = Load();
  state.mConfirmNotBefore = mHooks.mConfirmableAfterPause(mContext.Now());
  mContext.Count("members.pauses");
  mContext.Log("members",
               "process was paused for " + std::to_string(ToMs(aPause.mLength)) +
                 " ms; the view must be confirmed again",
               log_level::Warning);
  UpdateConfirmation(state);
  SendProbes(state);
  Save(std::move(state));
}

void membership_controller::PeerConnection(const peer_connection_changed& aConnection)
{
  // The connection can be established before the first message of the peer arrives.
  mContext.mBoard.Update<peer_state>(PeerKey(aConnection.mVm),
                                     [&aConnection](const peer_state* aOld) {
                                       peer_state next = aOld != nullptr ? *aOld : peer_state{};
                                       next.mVm = aConnection.mVm;
                                       next.mConnected = aConnection.mConnected;
                                       return std::optional(next);
                                     });
}

} // namespace

void AddMembershipController(core_context& aContext, const membership_hooks& aHooks)
{
  const auto controller = std::make_shared<membership_controller>(aContext, aHooks);
  blackboard& board = aContext.mBoard;
  board.OnFact<view_tick>([controller](const auto&, const auto&) { controller->ViewTick(); });
  board.OnFact<probe_tick>([controller](const auto&, const auto&) { controller->ProbeTick(); });
  board.OnFact<tables_changed>(
    [controller](const auto&, const auto&) { controller->TablesChanged(); });
  board.OnFact<process_paused>(
    [controller](const auto&, const process_paused& aFact) { controller->Paused(aFact); });
  board.OnFact<received<view_message>>(
    [controller](const auto&, const received<view_message>& aFact) {
      controller->PeerView(aFact);
    });
  board.OnFact<received<probe_message>>(
    [controller](const auto&, const received<probe_message>& aFact) {
      controller->PeerProbe(aFact);
    });
  board.OnFact<received<probe_reply_message>>(
    [controller](const auto&, const received<probe_reply_message>& aFact) {
      controller->PeerProbeReply(aFact);
    });
  board.OnFact<received<permit_release_message>>(
    [controller](const auto&, const received<permit_release_message>& aFact) {
      controller->PeerRelease(aFact);
    });
  board.OnFact<peer_connection_changed>(
    [controller](const auto&, const peer_connection_changed& aFact) {
      controller->PeerConnection(aFact);
    });
  // These entries change in the blackboard shard of kTablesKey; the state of this controller is in
  // the shard of kMembersKey.
  const auto changed = [&board](const std::string&) { board.Post(kMembersKey, tables_changed{}); };
  board.OnChange<vm_list>(changed);
  board.OnChange<vm_list_confirmation>(changed);
  board.OnChange<tables_in_force>(changed);
  aContext.After(micros(0), kMembersKey, view_tick{});
  aContext.After(micros(0), kMembersKey, probe_tick{});
}

} // namespace redwingdock
