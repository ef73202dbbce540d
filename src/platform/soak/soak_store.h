#ifndef REDWINGDOCK_PLATFORM_SOAK_SOAK_STORE_H
#define REDWINGDOCK_PLATFORM_SOAK_SOAK_STORE_H

#include "platform/soak/soak_ledger.h"
#include "platform/soak/soak_plan.h"
#include "platform/standin.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

// The store of a soak, and its writers: the operator and the replicas, who write again what the
// store has lost.

namespace redwingdock::platform {

class soak_store
{
public:
  soak_store(io_loop& aLoop, bool aStatesEra);

  result<std::string> ListenOn(const std::string& aAddress) { return mStore.ListenOn(aAddress); }
  // Without a value, deletes the key. aChange, without a time, is what this changes for daemons.
  void Write(const std::string& aKey,
             const std::optional<std::string>& aValue,
             const std::optional<acknowledged_change>& aChange);
  void SetDown(bool aDown);
  // aWrites: of replicas, which write their entries again right after the copy was made.
  void TakeCopy(std::uint32_t aWrites);
  // Until the store returns, it answers nothing but errors, and nothing can be written.
  void Return(const store_return& aReturn);

  std::vector<acknowledged_change> Changes() const;
  std::vector<time_span> Disturbances() const;

private:
  struct written_value
  {
    std::optional<std::string> mValue;
    std::optional<acknowledged_change> mChange;

    auto operator<=>(const written_value&) const = default;
  };

  // The rest is called while mLock is held.
  void Acknowledge(const std::optional<acknowledged_change>& aChange);
  void Apply(const std::string& aKey);
  void FinishReturn(const store_return& aReturn);
  void BeginDisturbance();
  void EndDisturbance();

  io_loop& mLoop;
  store_standin mStore;
  mutable std::mutex mLock;
  std::map<std::string, written_value> mWanted; // by key: what the writers wrote last
  std::map<std::string, written_value> mStored;
  bool mDown = false;
  bool mReturning = false;
  store_standin::copy mCopy;
  std::map<std::string, written_value> mStoredInCopy;
  instant mCopyAt{};
  instant mReturnBegan{};
  std::vector<acknowledged_change> mChanges;
  std::vector<time_span> mDisturbances;
};

} // namespace redwingdock::platform

#endif
