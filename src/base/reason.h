#ifndef REDWINGDOCK_BASE_REASON_H
#define REDWINGDOCK_BASE_REASON_H

#include <compare>
#include <optional>
#include <string>
#include <utility>

// Errors as values: an optional result together with the last reason it is missing.
//
//   result<int> port = ParsePort(text);
//   if (!port) {
//     log(Describe(port.mReason));
//   }

namespace redwingdock {

// Why something failed. `mStep` is the processing step (for example "parse pools"), `mPeer` the
// file, VM or backend server at which it arose; either may be empty.
struct reason
{
  std::string mStep;
  std::string mPeer;
  std::string mText;

  auto operator<=>(const reason&) const = default;
};

// "step peer: text", leaving out empty fields.
std::string Describe(const reason& aReason);

// A value, or the last reason why there is none.
template<typename T>
struct result
{
  std::optional<T> mValue;
  reason mReason;

  explicit operator bool() const { return mValue.has_value(); }
  const T& operator*() const { return *mValue; }
  T& operator*() { return *mValue; }
  const T* operator->() const { return &*mValue; }
};

template<typename T>
result<T> Success(T aValue)
{
  return { std::move(aValue), {} };
}

template<typename T>
result<T> Failure(std::string aStep, std::string aPeer, std::string aText)
{
  return { std::nullopt, { std::move(aStep), std::move(aPeer), std::move(aText) } };
}

} // namespace redwingdock

#endif
