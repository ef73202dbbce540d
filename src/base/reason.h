#ifndef REDWINGDOCK_BASE_REASON_H
#define REDWINGDOCK_BASE_REASON_H

#include <compare>
#include <optional>
#include <string>
#include <utility>

// Errors as values: result<T> holds an optional value and, if it is missing, the last error.
//
//   result<int> port = ParsePort(text);
//   if (!port) {
//     log(Describe(port.mReason));
//   }

namespace redwingdock {

// Describes an error. `mStep` is the processing step, for example "parse pools"; `mPeer` is the
// file, VM or backend server at which the error occurred. Either may be empty.
struct reason
{
  std::string mStep;
  std::string mPeer;
  std::string mText;

  auto operator<=>(const reason&) const = default;
};

// Formats the error as "step peer: text", without empty fields.
std::string Describe(const reason& aReason);

// A value, or the last error that prevented it.
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
