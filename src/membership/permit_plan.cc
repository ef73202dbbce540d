#include "membership/permit_plan.h"

#include "membership/witness.h"

#include <algorithm>

namespace redwingdock {

namespace {

// An earlier VM list under which daemons may still hold permits; mReplacedByRevision is the
// revision of the list that replaced it.
struct earlier_list
{
  std::shared_ptr<const vm_list> mList;
  permit_assigner mAssigner;
  table_revision mReplacedByRevision;
  instant mReplacedAt{};
};

std::vector<earlier_list> EarlierLists(const vm_list& aList, const membership_state& aState)
{
  std::vector<earlier_list> lists;
  for (std::size_t i = 0; i < aState.mReplacedLists.size(); ++i) {
    const replaced_list& older = aState.mReplacedLists[i];
    const table_revision next = i + 1 < aState.mReplacedLists.size()
                                  ? aState.mReplacedLists[i + 1].mList->mRevision
                                  : aList.mRevision;
    lists.push_back({ older.mList, permit_assigner(*older.mList), next, older.mReplacedAt });
  }
  return lists;
}

std::string HolderOf(const permit_holders& aHolders, const permit_id& aPermit)
{
  const auto found = aHolders.find(aPermit.first);
  return found != aHolders.end() && aPermit.second < found->second.size()
           ? found->second[aPermit.second]
           : std::string();
}

void AddClaim(std::vector<claim>& aClaims, claim aClaim)
{
  const bool known = std::any_of(aClaims.begin(), aClaims.end(), [&aClaim](const claim& aKnown) {
    return SameClaim(aKnown, aClaim);
  });
  if (!known) {
    aClaims.push_back(std::move(aClaim));
  }
}

} // namespace

bool SameAddress(const vm_list& aBefore, const vm_list& aNow, const std::string& aVm)
{
  const vm_spec* before = aBefore.Find(aVm);
  const vm_spec* now = aNow.Find(aVm);
  return before != nullptr && now != nullptr && before->mAddress == now->mAddress;
}

bool SameClaim(const claim& aLeft, const claim& aRight)
{
  return aLeft.mKind == aRight.mKind && aLeft.mHolder == aRight.mHolder &&
         aLeft.mListRevision == aRight.mListRevision && aLeft.mEndRevision == aRight.mEndRevision;
}

permit_plan PlanPermits(const vm_list& aList,
                        const membership_state& aState,
                        const std::string& aSelf,
                        std::uint32_t aWitnesses,
                        const std::function<bool(const permit_id&)>& aNeedsClaims)
{
  permit_plan plan;
  const permit_assigner assigner(aList);
  const std::vector<earlier_list> lists = EarlierLists(aList, aState);
  if (!aState.mShapes) {
    return plan;
  }
  for (const permit_shape& shape : *aState.mShapes) {
    permit_holders holders = assigner.Assign(shape);
    std::vector<permit_id> own;
    for (const auto& [server, held] : holders) {
      for (std::uint32_t i = 0; i < held.size(); ++i) {
        if (held[i] == aSelf && aNeedsClaims({ server, i })) {
          own.emplace_back(server, i);
        }
      }
    }
    std::vector<const replaced_shape*> olderShapes;
    for (const replaced_shape& older : aState.mReplacedShapes) {
      if (std::any_of(own.begin(), own.end(), [&older](const permit_id& aPermit) {
            const auto& servers = older.mShape.mServers;
            return std::find(servers.begin(), servers.end(), aPermit.first) != servers.end();
          })) {
        olderShapes.push_back(&older);
      }
    }
    for (const permit_id& permit : own) {
      plan.mClaims[permit];
    }
    if (!own.empty()) {
      for (const earlier_list& list : lists) {
        std::vector<permit_holders> earlier{ list.mAssigner.Assign(shape) };
        for (const replaced_shape* older : olderShapes) {
          earlier.push_back(list.mAssigner.Assign(older->mShape));
        }
        for (const permit_holders& each : earlier) {
          for (const permit_id& permit : own) {
            const std::string holder = HolderOf(each, permit);
            if (!holder.empty() && holder != aSelf) {
              AddClaim(plan.mClaims[permit],
                       { claim_kind::List,
                         holder,
                         list.mList->mRevision,
                         list.mReplacedByRevision,
                         WitnessesOf(*list.mList, holder, aWitnesses),
                         SameAddress(*list.mList, aList, holder),
                         list.mReplacedAt,
                         kNever });
            }
          }
        }
      }
      for (const replaced_shape* older : olderShapes) {
        const permit_holders earlier = assigner.Assign(older->mShape);
        for (const permit_id& permit : own) {
          const std::string holder = HolderOf(earlier, permit);
          if (!holder.empty() && holder != aSelf) {
            AddClaim(plan.mClaims[permit],
                     { claim_kind::Pools,
                       holder,
                       aList.mRevision,
                       older->mPoolsRevision,
                       {},
                       true,
                       older->mReplacedAt,
                       kNever });
          }
        }
      }
    }
    plan.mHolders.merge(holders);
  }
  return plan;
}

std::vector<replaced_shape> ReplacedShapes(const std::vector<permit_shape>& aBefore,
                                           const std::vector<permit_shape>& aAfter,
                                           const table_revision& aPoolsRevision,
                                           instant aNow)
{
  std::map<std::string, const permit_shape*> after;
  for (const permit_shape& shape : aAfter) {
    for (const std::string& server : shape.mServers) {
      after[server] = &shape;
    }
  }
  std::vector<replaced_shape> replaced;
  for (const permit_shape& shape : aBefore) {
    const bool changed =
      std::any_of(shape.mServers.begin(), shape.mServers.end(), [&](const std::string& aServer) {
        const auto found = after.find(aServer);
        return found != after.end() &&
               (found->second->mSlots != shape.mSlots || found->second->mServers != shape.mServers);
      });
    if (changed) {
      replaced.push_back({ shape, aPoolsRevision, aNow });
    }
  }
  return replaced;
}

} // namespace redwingdock
