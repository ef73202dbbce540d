#ifndef REDWINGDOCK_DAEMON_MEMORY_BUDGET_H
#define REDWINGDOCK_DAEMON_MEMORY_BUDGET_H

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

// Counts the bytes that clients make the process hold. The bytes are counted by whoever holds them;
// what happens above the limit is decided elsewhere.
//
//   auto budget = std::make_shared<memory_budget>(64 * 1024 * 1024, [] { ... });
//   memory_charge charge(budget);
//   charge.Set(text.capacity()); // given back when the charge is destroyed

namespace redwingdock {

class memory_budget
{
public:
  // The hook is called on the thread of each change that leaves the budget above its limit, often
  // with locks of the holder held: it must only schedule work.
  memory_budget(std::size_t aLimit, std::function<void()> aOnExceeded)
    : mLimit(aLimit)
    , mOnExceeded(std::move(aOnExceeded))
  {
  }
  memory_budget(const memory_budget&) = delete;
  memory_budget& operator=(const memory_budget&) = delete;

  // Replaces aBefore bytes of a holder by aAfter.
  void Change(std::size_t aBefore, std::size_t aAfter)
  {
    const std::size_t used = mUsed.fetch_add(aAfter - aBefore) + aAfter - aBefore;
    if (aAfter > aBefore && used > mLimit && mOnExceeded) {
      mOnExceeded();
    }
  }

  std::size_t Used() const { return mUsed; }
  std::size_t Limit() const { return mLimit; }

private:
  const std::size_t mLimit;
  const std::function<void()> mOnExceeded;
  std::atomic<std::size_t> mUsed{ 0 };
};

// The bytes of one holder. Without a budget it counts nothing.
class memory_charge
{
public:
  memory_charge() = default;
  explicit memory_charge(std::shared_ptr<memory_budget> aBudget, std::size_t aBytes = 0)
    : mBudget(std::move(aBudget))
  {
    Set(aBytes);
  }
  ~memory_charge() { Set(0); }
  memory_charge(memory_charge&& aOther) noexcept
    : mBudget(std::move(aOther.mBudget))
    , mBytes(std::exchange(aOther.mBytes, 0))
  {
  }
  memory_charge& operator=(memory_charge&& aOther) noexcept
  {
    if (this != &aOther) {
      Set(0);
      mBudget = std::move(aOther.mBudget);
      mBytes = std::exchange(aOther.mBytes, 0);
    }
    return *this;
  }

  void Set(std::size_t aBytes)
  {
    const std::size_t before = std::exchange(mBytes, aBytes);
    if (mBudget && before != aBytes) {
      mBudget->Change(before, aBytes);
    }
  }

  std::size_t Bytes() const { return mBytes; }

private:
  std::shared_ptr<memory_budget> mBudget; // outlives the holder of the charge
  std::size_t mBytes = 0;
};

} // namespace redwingdock

#endif
