#include "core/values.h"

#include <algorithm>

namespace redwingdock {

namespace {

template<typename T>
const T* FindByName(const std::vector<T>& aItems, const std::string& aName)
{
  const auto found = std::find_if(
    aItems.begin(), aItems.end(), [&](const T& aItem) { return aItem.mName == aName; });
  return found == aItems.end() ? nullptr : &*found;
}

} // namespace

const route_spec* tables_in_force::FindRoute(const std::string& aName) const
{
  return mRoutes ? FindByName(mRoutes->mRoutes, aName) : nullptr;
}

const pool_spec* tables_in_force::FindPool(const std::string& aName) const
{
  return mPools ? FindByName(mPools->mPools, aName) : nullptr;
}

const server_spec* tables_in_force::FindServer(const std::string& aName) const
{
  if (!mPools) {
    return nullptr;
  }
  for (const pool_spec& pool : mPools->mPools) {
    if (const server_spec* server = FindByName(pool.mServers, aName)) {
      return server;
    }
  }
  return nullptr;
}

const vm_spec* vm_list::Find(const std::string& aName) const
{
  return FindByName(mVms, aName);
}

} // namespace redwingdock
