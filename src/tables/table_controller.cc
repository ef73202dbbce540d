#include "tables/table_controller.h"

#include "base/hash.h"
#include "core/controller_facts.h"
#include "core/send.h"
#include "tables/readers.h"
#include "tables/table_state.h"

#include <algorithm>
#include <utility>

namespace redwingdock {

namespace {

constexpr micros kPullInterval = std::chrono::seconds(1); // between pulls from readers of the zone
constexpr micros kPullTimeout = std::chrono::seconds(1);  // before a pull from another peer
constexpr micros kPlainReadTimeout = std::chrono::seconds(5);   // the front end answers earlier
constexpr micros kWatchTimeoutMargin = std::chrono::seconds(5); // added to the wait of a watch
constexpr micros kConfirmInterval = std::chrono::seconds(1);
// Delay of the first read after a start. Peers answer within this time, so that most daemons don't
// have to read the service.
constexpr micros kFirstReadDelay = std::chrono::milliseconds(100);
// Spreads the first reads when a whole fleet of 710 daemons starts at once.
constexpr micros kFirstReadJitter = std::chrono::milliseconds(900);

struct table_tick
{
  auto operator<=>(const table_tick&) const = default;
};

// Posted when the view of a peer shows that it has newer tables.
struct peer_ahead
{
  std::string mVm;
  pair_revisions mPair;
  table_revision mVms;

  auto operator<=>(const peer_ahead&) const = default;
};

const char* TableName(table_kind aKind)
{
  switch (aKind) {
    case table_kind::Routes:
      return "routes";
    case table_kind::Pools:
      return "pools";
    case table_kind::Vms:
      return "vms";
  }
  return "";
}

std::string FormatRevisions(const pair_revisions& aPair)
{
  return "routes " + ToString(aPair.mRoutes) + ", pools " + ToString(aPair.mPools);
}

class table_controller
{
public:
  table_controller(core_context& aContext, table_hooks aHooks)
    : mContext(aContext)
    , mHooks(std::move(aHooks))
  {
  }

  void Tick();
  void OnServiceTable(const table_read& aRead);
  void OnServiceUnchanged(const table_unchanged& aUnchanged);
  void OnServiceFailed(const table_read_failed& aFailed);
  void OnPeerAhead(const peer_ahead& aPeer);
  void OnPeerView(const received<view_message>& aView);
  void OnPeerPull(const received<table_pull_message>& aPull);
  void OnPeerTable(const received<table_message>& aTable);

private:
  table_state Load() const;
  void Save(table_state aState);

  bool IsReader(const table_state& aState) const;
  bool ReadsService(const table_state& aState) const;
  void StartReads(table_state& aState);
  void Read(table_state& aState, table_kind aKind, micros aWait);
  void StartRound(table_state& aState);
  void OnServiceVmList(table_state& aState,
                       const table_read& aRead,
                       const table_revision& aRevision);
  void OnServicePairTable(table_state& aState,
                          const table_read& aRead,
                          const table_revision& aRevision);
  void OnRoundAnswer(table_state& aState, table_kind aKind, instant aSince);
  void OnReadAnswer(table_state& aState, table_kind aKind, instant aSince);
  void OnStaleRead(table_state& aState);
  void PullFromReaders(table_state& aState);
  void Pull(table_state& aState, const std::string& aVm);

  template<typename T>
  bool UpdateLatest(table_state& aState,
                    table_kind aKind,
                    published_table<T>& aLatest,
                    const table_read& aRead,
                    const table_revision& aRevision,
                    const std::function<result<T>(const std::string&, const std::string&)>& aParse);
  void NoteTable(table_state& aState,
                 table_kind aKind,
                 const table_revision& aRevision,
                 const std::string& aText,
                 instant aSince);
  template<typename T>
  bool StageTable(staged_table<T>& aStaged,
                  const published_table<T>& aInForce,
                  const table_message& aMessage,
                  const std::string& aFrom,
                  const std::function<result<T>(const std::string&, const std::string&)>& aParse);
  void PutInForce(table_state& aState, const table_pair& aPair, const std::string& aFrom);
  void FollowPair(table_state& aState, const table_pair& aPair);
  void PutStagedInForce(table_state& aState, const std::string& aFrom);
  void PushVmList(const table_state& aState);
  bool AcceptVmList(table_state& aState,
                    const std::string& aText,
                    const table_revision& aRevision,
                    const std::string& aFrom,
                    instant aSince);

  core_context& mContext;
  const table_hooks mHooks;
};

table_state table_controller::Load() const
{
  const auto state = mContext.mBoard.Read<table_state>(kTablesKey);
  return state ? *state : table_state{};
}

void table_controller::Save(table_state aState)
{
  mContext.mBoard.Write(kTablesKey, std::move(aState));
}

bool table_controller::IsReader(const table_state& aState) const
{
  if (!aState.mVms.mTable) {
    return false;
  }
  const core_config& config = mContext.mConfig;
  const auto readers = SelectReaders(*aState.mVms.mTable, config.mZone, config.mReadersPerZone);
  return std::find(readers.begin(), readers.end(), config.mVm) != readers.end();
}

// A daemon that is no reader reads the service itself when it has not heard from a reader for
// mRelaySilence.
bool table_controller::ReadsService(const table_state& aState) const
{
  return IsReader(aState) || mHooks.mMayReadAsFallback(mContext.Now() - aState.mLastReaderContact,
                                                       mContext.mConfig.mRelaySilence);
}

void table_controller::Tick()
{
  const core_config& config = mContext.mConfig;
  const instant now = mContext.Now();
  table_state state = Load();
  if (!state.mStarted) {
    state.mStarted = true;
    state.mLastReaderContact = now - config.mRelaySilence; // no reader has been heard yet
    state.mReadNotBefore =
      now + kFirstReadDelay +
      micros(static_cast<std::int64_t>(mContext.Random(kFirstReadJitter.count())));
    std::uint32_t asked = 0;
    for (const vm_spec& seed : config.mSeeds) {
      if (seed.mName != config.mVm && asked++ < config.mViewPeers) {
        SendToPeer(mContext, seed.mName, table_pull_message{});
      }
    }
  }
  ++state.mTickCount;
  for (auto& [kind, read] : state.mReads) {
    std::erase_if(read.mPlainReads,
                  [now](instant aSince) { return now - aSince > kPlainReadTimeout; });
    if (read.mWatchStartedAt &&
        now - *read.mWatchStartedAt > config.mWatchWait + kWatchTimeoutMargin) {
      read.mWatchStartedAt.reset();
    }
  }
  if (state.mRoundStartedAt && now - *state.mRoundStartedAt > kPlainReadTimeout) {
    state.mRoundStartedAt.reset();
  }
  StartReads(state);
  if (!IsReader(state)) {
    PullFromReaders(state);
  }
  const auto need = mContext.mBoard.Read<confirmation_need>(kMembersKey);
  if (need && need->mNeeded && state.mReads[table_kind::Vms].mPlainReads.empty() &&
      state.mVms.mTable &&
      state.mTickCount % std::max<std::int64_t>(1, kConfirmInterval / config.mReadRetry) == 0) {
    mContext.Count("tables.reads_to_confirm");
    Read(state, table_kind::Vms, micros(0));
  }
  const micros wait = state.mReadNotBefore > now && state.mReadNotBefore - now < config.mReadRetry
                        ? state.mReadNotBefore - now
                        : config.mReadRetry;
  mContext.After(wait, kTablesKey, table_tick{});
  Save(std::move(state));
}

void table_controller::StartReads(table_state& aState)
{
  const core_config& config = mContext.mConfig;
  const instant now = mContext.Now();
  if (now < aState.mReadNotBefore) {
    return;
  }
  const bool reader = IsReader(aState);
  if (!reader) {
    if (now < aState.mFallbackReadNotBefore || !ReadsService(aState)) {
      return;
    }
    // Uses plain reads, because watches of all daemons would stay open at the service after the
    // readers are back. The random pause keeps 710 daemons without a reader below 500 reads/s.
    mContext.Count("tables.reads_alone");
    const micros pause = config.mRelaySilence * (aState.mServiceFailed ? 2 : 1);
    aState.mFallbackReadNotBefore =
      now + pause +
      micros(static_cast<std::int64_t>(mContext.Random(static_cast<std::uint64_t>(pause.count()))));
    if (aState.mReads[table_kind::Vms].mPlainReads.empty()) {
      Read(aState, table_kind::Vms, micros(0));
    }
    // A starting daemon needs the VM list first: it shows which readers can be asked for tables.
    if (aState.mVms.mTable && !aState.mRoundStartedAt && !aState.mServiceFailed) {
      StartRound(aState);
    }
    return;
  }
  for (const table_kind kind : { table_kind::Routes, table_kind::Pools, table_kind::Vms }) {
    const pending_read& pending = aState.mReads[kind];
    if (!pending.mPlainReads.empty() || pending.mWatchStartedAt) {
      continue;
    }
    // A watch continues from what the service has, which is less than what is in force when the
    // service is stale or has returned from an older copy.
    Read(aState, kind, aState.mHistories[kind].mStated ? config.mWatchWait : micros(0));
  }
}

void table_controller::Read(table_state& aState, table_kind aKind, micros aWait)
{
  std::uint64_t after = 0;
  if (aWait > micros(0)) {
    after = aState.mHistories[aKind].mStated.value_or(0);
    aState.mReads[aKind].mWatchStartedAt = mContext.Now();
  } else {
    aState.mReads[aKind].mPlainReads.push_back(mContext.Now());
  }
  mContext.Count("tables.reads");
  mContext.Emit(read_table{ aKind, after, aWait });
}

// Starts plain reads of both tables at the same time. When both return revisions that were known
// before, these two were the latest of the service at the same moment.
void table_controller::StartRound(table_state& aState)
{
  aState.mRoundStartedAt = mContext.Now();
  aState.mRoundAnswered.clear();
  aState.mRoundHasNewer = false;
  Read(aState, table_kind::Routes, micros(0));
  Read(aState, table_kind::Pools, micros(0));
}

void table_controller::OnRoundAnswer(table_state& aState, table_kind aKind, instant aSince)
{
  if (!aState.mRoundStartedAt || aSince < *aState.mRoundStartedAt || aKind == table_kind::Vms) {
    return;
  }
  aState.mRoundAnswered.insert(aKind);
  if (aState.mRoundAnswered.size() < 2) {
    return;
  }
  if (aState.mRoundHasNewer) {
    StartRound(aState);
    return;
  }
  aState.mRoundStartedAt.reset();
  aState.mRoundAnswered.clear();
  std::string error;
  const auto pair =
    SelectPair(aState.mInForce, aState.mLatestRoutes, aState.mLatestPools, mHooks, error);
  if (!error.empty()) {
    mContext.Count("tables.refused_pairs");
    mContext.Log("tables",
                 "refused routes " + ToString(aState.mLatestRoutes.Revision()) + " with pools " +
                   ToString(aState.mLatestPools.Revision()) + ": " + error,
                 log_level::Warning);
  }
  if (pair) {
    PutInForce(aState, *pair, "service");
  }
}

void table_controller::OnReadAnswer(table_state& aState, table_kind aKind, instant aSince)
{
  pending_read& pending = aState.mReads[aKind];
  // A watch is started only while no plain read is pending, so it is older than all plain reads.
  if (pending.mPlainReads.empty() ||
      (pending.mWatchStartedAt && aSince < pending.mPlainReads.front())) {
    pending.mWatchStartedAt.reset();
  } else {
    pending.mPlainReads.erase(pending.mPlainReads.begin());
  }
  aState.mLastServiceAnswer = mContext.Now();
  aState.mServiceFailed = false;
}

// A service with older tables answers a watch at once. Without a delay before the next read, the
// daemon would read in an endless loop.
void table_controller::OnStaleRead(table_state& aState)
{
  mContext.Count("tables.stale_reads");
  aState.mReadNotBefore =
    std::max(aState.mReadNotBefore, mContext.Now() + mContext.mConfig.mReadRetry);
}

template<typename T>
bool table_controller::UpdateLatest(
  table_state& aState,
  table_kind aKind,
  published_table<T>& aLatest,
  const table_read& aRead,
  const table_revision& aRevision,
  const std::function<result<T>(const std::string&, const std::string&)>& aParse)
{
  const table_revision& refused = aState.mRefusedRevisions[aKind];
  if (aRevision <= aLatest.Revision() ||
      (aRevision.mHistory == refused.mHistory && aRevision <= refused)) {
    return false;
  }
  result<T> table = aParse(aRead.mText, TableName(aKind));
  if (!table) {
    // An invalid table counts as unpublished, so that it does not block the other tables.
    aState.mRefusedRevisions[aKind] = aRevision;
    mContext.Count("tables.refused");
    mContext.Log("tables",
                 std::string("refused ") + TableName(aKind) + " " + ToString(aRevision) + ": " +
                   Describe(table.mReason),
                 log_level::Warning);
    return false;
  }
  table.mValue->mRevision.mHistory = aRevision.mHistory;
  aLatest = { std::make_shared<const std::string>(aRead.mText),
              std::make_shared<const T>(std::move(*table.mValue)) };
  return true;
}

// Adds a table that was read, or got from another daemon, to the known history. Later histories are
// followed, whoever has found them.
void table_controller::NoteTable(table_state& aState,
                                 table_kind aKind,
                                 const table_revision& aRevision,
                                 const std::string& aText,
                                 instant aSince)
{
  table_history& history = aState.mHistories[aKind];
  if (aRevision.mHistory > history.mNumber) {
    mContext.Count("tables.new_histories");
    mContext.Log("tables",
                 std::string("the configuration service has returned from an older copy: it has ") +
                   TableName(aKind) + " " + ToString(aRevision),
                 log_level::Warning);
  }
  history = WithTable(std::move(history), aRevision, Hash(aText), aSince);
}

void table_controller::OnServiceTable(const table_read& aRead)
{
  const table_kind kind = aRead.mKind;
  table_state state = Load();
  OnReadAnswer(state, kind, aRead.mReadStartedAt);
  if (aRead.mReadStartedAt >= state.mHistories[kind].mSince) {
    const table_revision revision =
      mHooks.mRevisionOfAnswer(state.mHistories[kind], aRead.mRevision, Hash(aRead.mText));
    state.mHistories[kind].mStated = aRead.mRevision;
    if (kind == table_kind::Vms) {
      OnServiceVmList(state, aRead, revision);
    } else {
      OnServicePairTable(state, aRead, revision);
    }
  }
  StartReads(state);
  Save(std::move(state));
}

void table_controller::OnServiceVmList(table_state& aState,
                                       const table_read& aRead,
                                       const table_revision& aRevision)
{
  if (aRevision.mHistory == aState.mHistories[table_kind::Vms].mNumber) {
    NoteTable(aState, table_kind::Vms, aRevision, aRead.mText, aRead.mReadStartedAt);
  }
  table_revision& refused = aState.mRefusedRevisions[table_kind::Vms];
  if (aRevision != refused && mHooks.mMayReplaceVmList(aRevision, aState.mVms.Revision())) {
    if (!AcceptVmList(aState, aRead.mText, aRevision, "service", aRead.mReadStartedAt)) {
      refused = aRevision;
    }
  } else if (aRevision < aState.mVms.Revision()) {
    OnStaleRead(aState);
  }
  if (aRevision == aState.mVms.Revision()) {
    mContext.mBoard.Write(kTablesKey, vm_list_confirmation{ aRevision, aRead.mReadStartedAt });
  }
}

// An answer with an older table counts for a round too: the service has nothing newer of that
// table.
void table_controller::OnServicePairTable(table_state& aState,
                                          const table_read& aRead,
                                          const table_revision& aRevision)
{
  const bool isRoutes = aRead.mKind == table_kind::Routes;
  const bool isNewer =
    isRoutes ? UpdateLatest(
                 aState, aRead.mKind, aState.mLatestRoutes, aRead, aRevision, mHooks.mParseRoutes)
             : UpdateLatest(
                 aState, aRead.mKind, aState.mLatestPools, aRead, aRevision, mHooks.mParsePools);
  if (isNewer || aRevision.mHistory == aState.mHistories[aRead.mKind].mNumber) {
    NoteTable(aState, aRead.mKind, aRevision, aRead.mText, aRead.mReadStartedAt);
  }
  if (isNewer && !aState.mRoundStartedAt) {
    StartRound(aState);
    return;
  }
  aState.mRoundHasNewer = aState.mRoundHasNewer || isNewer;
  OnRoundAnswer(aState, aRead.mKind, aRead.mReadStartedAt);
  const table_revision latest =
    isRoutes ? aState.mLatestRoutes.Revision() : aState.mLatestPools.Revision();
  if (aRevision < latest) {
    OnStaleRead(aState);
  }
}

void table_controller::OnServiceUnchanged(const table_unchanged& aUnchanged)
{
  table_state state = Load();
  OnReadAnswer(state, aUnchanged.mKind, aUnchanged.mReadStartedAt);
  table_history& history = state.mHistories[aUnchanged.mKind];
  if (aUnchanged.mReadStartedAt >= history.mSince) {
    history.mStated = aUnchanged.mRevision;
    const table_revision revision{ history.mNumber, aUnchanged.mRevision };
    if (aUnchanged.mKind != table_kind::Vms) {
      OnRoundAnswer(state, aUnchanged.mKind, aUnchanged.mReadStartedAt);
    } else if (revision == state.mVms.Revision()) {
      mContext.mBoard.Write(kTablesKey,
                            vm_list_confirmation{ revision, aUnchanged.mReadStartedAt });
    }
  }
  StartReads(state);
  Save(std::move(state));
}

void table_controller::OnServiceFailed(const table_read_failed& aFailed)
{
  table_state state = Load();
  if (!state.mServiceFailed) {
    mContext.Log("tables",
                 "cannot read the configuration service: " + Describe(aFailed.mReason),
                 log_level::Warning);
  }
  mContext.Count("tables.failed_reads");
  state.mReads[aFailed.mKind] = {};
  state.mHistories[aFailed.mKind].mStated.reset(); // it may return from an older copy
  state.mServiceFailed = true;
  state.mRoundStartedAt.reset();
  const micros retry = mContext.mConfig.mReadRetry;
  state.mReadNotBefore = std::max(state.mReadNotBefore,
                                  mContext.Now() + retry +
                                    micros(static_cast<std::int64_t>(
                                      mContext.Random(static_cast<std::uint64_t>(retry.count())))));
  Save(std::move(state));
}

void table_controller::PutInForce(table_state& aState,
                                  const table_pair& aPair,
                                  const std::string& aFrom)
{
  aState.mInForce = aPair;
  mContext.Count("tables.put_in_force");
  mContext.Log("tables", FormatRevisions(aPair.Revisions()) + " in force, from " + aFrom);
  mContext.mBoard.Write(kTablesKey, tables_in_force{ aPair.mRoutes.mTable, aPair.mPools.mTable });
}

bool table_controller::AcceptVmList(table_state& aState,
                                    const std::string& aText,
                                    const table_revision& aRevision,
                                    const std::string& aFrom,
                                    instant aSince)
{
  result<vm_list> list = mHooks.mParseVmList(aText, TableName(table_kind::Vms));
  if (!list) {
    mContext.Count("tables.refused");
    mContext.Log("tables", "refused VM list: " + Describe(list.mReason), log_level::Warning);
    return false;
  }
  list.mValue->mRevision.mHistory = aRevision.mHistory;
  NoteTable(aState, table_kind::Vms, list->mRevision, aText, aSince);
  mContext.Log("tables", "accepted VM list " + ToString(list->mRevision) + " from " + aFrom);
  const bool first = !aState.mVms.mTable;
  if (first) {
    aState.mLastReaderContact = mContext.Now(); // gives the listed readers mRelaySilence to answer
  }
  aState.mVms = { std::make_shared<const std::string>(aText),
                  std::make_shared<const vm_list>(*list) };
  mContext.mBoard.Write(kTablesKey, *list);
  if (first) {
    PushVmList(aState);
  }
  return true;
}

// Sends the first VM list to up to mViewPeers daemons that are not known to have one. A daemon
// without a list knows only the seeds and can't pull from this daemon.
void table_controller::PushVmList(const table_state& aState)
{
  const std::vector<vm_spec>& vms = aState.mVms.mTable->mVms;
  const std::uint64_t from = mContext.Random(vms.size());
  std::uint32_t sent = 0;
  for (std::size_t i = 0; i < vms.size() && sent < mContext.mConfig.mViewPeers; ++i) {
    const vm_spec& vm = vms[(from + i) % vms.size()];
    const auto peer = mContext.mBoard.Read<peer_state>(PeerKey(vm.mName));
    if (vm.mName == mContext.mConfig.mVm || (peer && peer->mVmRevision > 0)) {
      continue;
    }
    ++sent;
    mContext.Count("tables.pushed");
    mContext.Emit(send_to_peer{
      vm.mName,
      vm.mAddress,
      table_message{
        table_kind::Vms, aState.mVms.Revision(), *aState.mVms.mText, std::nullopt, false, 0 } });
  }
}

// Alternates between the readers of the zone, so that a failed reader delays new tables by one
// interval.
void table_controller::PullFromReaders(table_state& aState)
{
  const core_config& config = mContext.mConfig;
  const std::uint64_t every = std::max<std::int64_t>(1, kPullInterval / config.mReadRetry);
  if (!aState.mVms.mTable || aState.mTickCount % every != 0) {
    return;
  }
  const auto readers = SelectReaders(*aState.mVms.mTable, config.mZone, config.mReadersPerZone);
  if (!readers.empty()) {
    Pull(aState, readers[aState.mTickCount / every % readers.size()]);
  }
}

void table_controller::Pull(table_state& aState, const std::string& aVm)
{
  const pair_revisions pair = aState.mInForce.Revisions();
  mContext.Count("tables.pulls");
  SendToPeer(
    mContext, aVm, table_pull_message{ pair.mRoutes, pair.mPools, aState.mVms.Revision() });
}

void table_controller::OnPeerView(const received<view_message>& aView)
{
  if (aView.mMessage.mEntries.empty()) {
    return;
  }
  const view_entry& peer = aView.mMessage.mEntries.front();
  const auto tables = mContext.mBoard.Read<tables_in_force>(kTablesKey);
  const auto list = mContext.mBoard.Read<vm_list>(kTablesKey);
  const pair_revisions own =
    tables ? pair_revisions{ tables->RoutesRevision(), tables->PoolsRevision() } : pair_revisions{};
  const pair_revisions theirs{ peer.mRoutesRevision, peer.mPoolsRevision };
  if (IsNewerPair(theirs, own) || peer.mVmRevision > (list ? list->mRevision : table_revision{})) {
    mContext.mBoard.Post(kTablesKey, peer_ahead{ aView.mFrom, theirs, peer.mVmRevision });
  }
}

void table_controller::OnPeerAhead(const peer_ahead& aPeer)
{
  table_state state = Load();
  const bool ahead =
    IsNewerPair(aPeer.mPair, state.mInForce.Revisions()) || aPeer.mVms > state.mVms.Revision();
  if (ahead && mContext.Now() >= state.mNextPullNotBefore) {
    state.mNextPullNotBefore = mContext.Now() + kPullTimeout;
    Pull(state, aPeer.mVm);
    Save(std::move(state));
  }
}

void table_controller::OnPeerPull(const received<table_pull_message>& aPull)
{
  const table_state state = Load();
  const pair_revisions own = state.mInForce.Revisions();
  const pair_revisions theirs{ aPull.mMessage.mRoutesRevision, aPull.mMessage.mPoolsRevision };
  if (IsNewerPair(own, theirs)) {
    if (own.mRoutes > theirs.mRoutes) {
      mContext.Count("tables.sent");
      SendToPeer(mContext,
                 aPull.mFrom,
                 table_message{ table_kind::Routes,
                                own.mRoutes,
                                *state.mInForce.mRoutes.mText,
                                std::nullopt,
                                true,
                                own.mPools });
    }
    if (own.mPools > theirs.mPools) {
      mContext.Count("tables.sent");
      SendToPeer(mContext,
                 aPull.mFrom,
                 table_message{ table_kind::Pools,
                                own.mPools,
                                *state.mInForce.mPools.mText,
                                std::nullopt,
                                true,
                                own.mRoutes });
    }
  }
  std::optional<micros> age;
  if (ReadsService(state) && !state.mServiceFailed && state.mLastServiceAnswer != instant{}) {
    // A pending watch counts as contact: the service answers it as soon as there is a newer list.
    const auto vms = state.mReads.find(table_kind::Vms);
    const bool watching = vms != state.mReads.end() && vms->second.mWatchStartedAt.has_value();
    age = watching ? micros(0) : mContext.Now() - state.mLastServiceAnswer;
  }
  const bool newer = state.mVms.Revision() > aPull.mMessage.mVmRevision;
  if (newer || age) {
    SendToPeer(mContext,
               aPull.mFrom,
               table_message{ table_kind::Vms,
                              state.mVms.Revision(),
                              newer ? *state.mVms.mText : std::string(),
                              age,
                              false,
                              0 });
  }
}

template<typename T>
bool table_controller::StageTable(
  staged_table<T>& aStaged,
  const published_table<T>& aInForce,
  const table_message& aMessage,
  const std::string& aFrom,
  const std::function<result<T>(const std::string&, const std::string&)>& aParse)
{
  if (!aMessage.mInForce || aMessage.mRevision <= aInForce.Revision()) {
    return false;
  }
  if (aStaged.mTable.Revision() == aMessage.mRevision) {
    aStaged.mPairRevision = aMessage.mPairRevision;
    return true;
  }
  result<T> table = aParse(aMessage.mText, aFrom);
  if (!table || table->mRevision.mNumber != aMessage.mRevision.mNumber) {
    mContext.Count("tables.refused");
    mContext.Log("tables",
                 std::string("refused ") + TableName(aMessage.mKind) + " from " + aFrom + ": " +
                   Describe(table.mReason),
                 log_level::Warning);
    return false;
  }
  table.mValue->mRevision.mHistory = aMessage.mRevision.mHistory;
  aStaged = { { std::make_shared<const std::string>(aMessage.mText),
                std::make_shared<const T>(std::move(*table.mValue)) },
              aMessage.mPairRevision };
  return true;
}

// Notes the tables of a pair of another daemon. Reads in progress may be of an earlier history, so
// a round starts over.
void table_controller::FollowPair(table_state& aState, const table_pair& aPair)
{
  const instant now = mContext.Now();
  const bool isLater =
    aPair.mRoutes.Revision().mHistory > aState.mHistories[table_kind::Routes].mNumber ||
    aPair.mPools.Revision().mHistory > aState.mHistories[table_kind::Pools].mNumber;
  NoteTable(aState, table_kind::Routes, aPair.mRoutes.Revision(), *aPair.mRoutes.mText, now);
  NoteTable(aState, table_kind::Pools, aPair.mPools.Revision(), *aPair.mPools.mText, now);
  if (isLater && aState.mRoundStartedAt) {
    StartRound(aState);
  }
}

// Puts the pair of another daemon into force once both of its tables have arrived.
void table_controller::PutStagedInForce(table_state& aState, const std::string& aFrom)
{
  std::vector<table_pair> candidates;
  const table_pair& now = aState.mInForce;
  const auto& routes = aState.mStagedRoutes;
  const auto& pools = aState.mStagedPools;
  if (routes.mTable.mTable && pools.mTable.mTable &&
      routes.mPairRevision == pools.mTable.Revision() &&
      pools.mPairRevision == routes.mTable.Revision()) {
    candidates.push_back({ routes.mTable, pools.mTable });
  }
  if (routes.mTable.mTable && routes.mPairRevision == now.mPools.Revision()) {
    candidates.push_back({ routes.mTable, now.mPools });
  }
  if (pools.mTable.mTable && pools.mPairRevision == now.mRoutes.Revision()) {
    candidates.push_back({ now.mRoutes, pools.mTable });
  }
  for (const table_pair& pair : candidates) {
    if (!pair.mRoutes.mTable || !pair.mPools.mTable ||
        !mHooks.mMayReplace(pair.Revisions(), aState.mInForce.Revisions())) {
      continue;
    }
    if (const auto fault = mHooks.mCheckConsistency(*pair.mRoutes.mTable, *pair.mPools.mTable)) {
      mContext.Count("tables.refused_pairs");
      mContext.Log("tables",
                   "refused " + FormatRevisions(pair.Revisions()) + " from " + aFrom + ": " +
                     Describe(*fault),
                   log_level::Warning);
      continue;
    }
    PutInForce(aState, pair, aFrom);
    FollowPair(aState, pair);
    aState.mNextPullNotBefore = instant{};
    return;
  }
}

void table_controller::OnPeerTable(const received<table_message>& aTable)
{
  const table_message& message = aTable.mMessage;
  table_state state = Load();
  if (message.mKind == table_kind::Vms) {
    if (message.mConfirmedAge) {
      state.mLastReaderContact =
        std::max(state.mLastReaderContact, mContext.Now() - *message.mConfirmedAge);
    }
    if (!message.mText.empty() &&
        mHooks.mMayReplaceVmList(message.mRevision, state.mVms.Revision())) {
      AcceptVmList(state, message.mText, message.mRevision, aTable.mFrom, mContext.Now());
      state.mNextPullNotBefore = instant{};
    }
  } else {
    const bool staged =
      message.mKind == table_kind::Routes
        ? StageTable(
            state.mStagedRoutes, state.mInForce.mRoutes, message, aTable.mFrom, mHooks.mParseRoutes)
        : StageTable(
            state.mStagedPools, state.mInForce.mPools, message, aTable.mFrom, mHooks.mParsePools);
    if (staged) {
      PutStagedInForce(state, aTable.mFrom);
    }
  }
  Save(std::move(state));
}

} // namespace

void AddTableController(core_context& aContext, const table_hooks& aHooks)
{
  const auto controller = std::make_shared<table_controller>(aContext, aHooks);
  blackboard& board = aContext.mBoard;
  board.OnFact<table_tick>([controller](const auto&, const auto&) { controller->Tick(); });
  board.OnFact<table_read>(
    [controller](const auto&, const table_read& aFact) { controller->OnServiceTable(aFact); });
  board.OnFact<table_unchanged>([controller](const auto&, const table_unchanged& aFact) {
    controller->OnServiceUnchanged(aFact);
  });
  board.OnFact<table_read_failed>([controller](const auto&, const table_read_failed& aFact) {
    controller->OnServiceFailed(aFact);
  });
  board.OnFact<peer_ahead>(
    [controller](const auto&, const peer_ahead& aFact) { controller->OnPeerAhead(aFact); });
  board.OnFact<received<view_message>>(
    [controller](const auto&, const received<view_message>& aFact) {
      controller->OnPeerView(aFact);
    });
  board.OnFact<received<table_pull_message>>(
    [controller](const auto&, const received<table_pull_message>& aFact) {
      controller->OnPeerPull(aFact);
    });
  board.OnFact<received<table_message>>(
    [controller](const auto&, const received<table_message>& aFact) {
      controller->OnPeerTable(aFact);
    });
  aContext.After(micros(0), kTablesKey, table_tick{});
}

} // namespace redwingdock
