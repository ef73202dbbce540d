#ifndef REDWINGDOCK_GATE_SHARED_VALUE_H
#define REDWINGDOCK_GATE_SHARED_VALUE_H

#include <compare>
#include <memory>
#include <utility>

// An immutable value whose copies share one object. Used in states that are copied often, to avoid
// deep copies. Compares by value.
//
//   std::vector<shared_value<waiting_part>> queue;

namespace redwingdock {

template<typename T>
class shared_value
{
public:
  shared_value(T aValue)
    : mValue(std::make_shared<const T>(std::move(aValue)))
  {
  }

  operator const T&() const { return *mValue; }
  const T* operator->() const { return mValue.get(); }
  const T& operator*() const { return *mValue; }

  bool operator==(const shared_value& aOther) const
  {
    return mValue == aOther.mValue || *mValue == *aOther.mValue;
  }
  auto operator<=>(const shared_value& aOther) const { return *mValue <=> *aOther.mValue; }

private:
  std::shared_ptr<const T> mValue;
};

} // namespace redwingdock

#endif
