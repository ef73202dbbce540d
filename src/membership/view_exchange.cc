#include "membership/view_exchange.h"

#include <algorithm>

namespace redwingdock {

namespace {

view_entry EntryOf(const peer_state& aPeer, instant aNow)
{
  return { aPeer.mVm,
           aPeer.mIncarnation,
           aPeer.mVmRevision,
           aPeer.mRoutesRevision,
           aPeer.mPoolsRevision,
           aPeer.mDraining,
           aNow - aPeer.mHeardAt };
}

view_entry OwnEntry(const core_context& aContext)
{
  const auto view = aContext.mBoard.Read<member_view>(kMembersKey);
  const auto tables = aContext.mBoard.Read<tables_in_force>(kTablesKey);
  const auto drain = aContext.mBoard.Read<drain_state>(kSelfKey);
  return { aContext.mConfig.mVm,
           aContext.mConfig.mIncarnation,
           view ? view->mVms.mRevision : table_revision{},
           tables ? tables->RoutesRevision() : table_revision{},
           tables ? tables->PoolsRevision() : table_revision{},
           drain && drain->mPhase != drain_phase::Serving,
           micros(0) };
}

void AddDigest(view_message& aView, const core_context& aContext, std::uint64_t aRotation)
{
  std::vector<std::shared_ptr<const peer_state>> peers;
  for (const auto& [key, peer] : aContext.mBoard.List<peer_state>()) {
    peers.push_back(peer);
  }
  const std::size_t count = std::min(kMaxDigestEntries, peers.size());
  const std::size_t recent = peers.size() <= kMaxDigestEntries ? count : count / 2;
  std::vector<std::shared_ptr<const peer_state>> chosen;
  for (std::size_t i = recent; i < count; ++i) {
    chosen.push_back(peers[(aRotation * (kMaxDigestEntries / 2) + i) % peers.size()]);
  }
  std::partial_sort(
    peers.begin(),
    peers.begin() + static_cast<std::ptrdiff_t>(recent),
    peers.end(),
    [](const auto& aLeft, const auto& aRight) { return aLeft->mHeardAt > aRight->mHeardAt; });
  chosen.insert(chosen.end(), peers.begin(), peers.begin() + static_cast<std::ptrdiff_t>(recent));
  for (const auto& peer : chosen) {
    aView.mEntries.push_back(EntryOf(*peer, aContext.Now()));
  }
}

void AddSuspects(view_message& aView, const core_context& aContext)
{
  std::vector<std::shared_ptr<const suspect>> suspects;
  for (const auto& [key, each] : aContext.mBoard.List<suspect>()) {
    if (each->mUntil > aContext.Now()) {
      suspects.push_back(each);
    }
  }
  std::sort(suspects.begin(), suspects.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft->mUntil > aRight->mUntil;
  });
  suspects.resize(std::min(suspects.size(), kMaxViewSuspects));
  for (const auto& each : suspects) {
    suspect_entry entry{ each->mFingerprint, each->mLevel, {}, each->mUntil - aContext.Now() };
    for (const std::string& server : each->mServersLost) {
      if (entry.mServersLost.size() < kMaxSuspectServers) {
        entry.mServersLost.insert(server);
      }
    }
    aView.mSuspects.push_back(std::move(entry));
  }
}

} // namespace

view_message MakeView(core_context& aContext, std::uint64_t aRotation)
{
  view_message view;
  view.mEntries.push_back(OwnEntry(aContext));
  AddDigest(view, aContext, aRotation);
  AddSuspects(view, aContext);
  return view;
}

} // namespace redwingdock
