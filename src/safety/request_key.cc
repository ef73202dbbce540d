#include "safety/request_key.h"

#include <algorithm>

namespace redwingdock {

namespace {

constexpr std::size_t kMaxUniqueLength = 64;

bool IsKeyCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '_' || aCharacter == '-';
}

bool IsKeyField(const std::string& aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), IsKeyCharacter);
}

} // namespace

result<request_key> ParseRequestKey(const std::string& aText)
{
  const auto fail = [&aText](const std::string& aWhy) {
    return Failure<request_key>("parse request key", "", "\"" + aText + "\" " + aWhy);
  };
  const std::size_t first = aText.find('.');
  const std::size_t second = first == std::string::npos ? first : aText.find('.', first + 1);
  if (second == std::string::npos) {
    return fail("is not <vm>.<incarnation>.<unique>; ask /v1/entry for the prefix");
  }
  request_key key{ aText.substr(0, first),
                   aText.substr(first + 1, second - first - 1),
                   aText.substr(second + 1) };
  if (!IsKeyField(key.mVm) || !IsKeyField(key.mIncarnation) || !IsKeyField(key.mUnique)) {
    return fail("has an empty field or characters other than letters, digits, _ and -");
  }
  if (key.mUnique.size() > kMaxUniqueLength) {
    return fail("has more than 64 characters after the prefix");
  }
  return Success(std::move(key));
}

std::string KeyRecordKey(const std::string& aRequestKey)
{
  return "key/" + aRequestKey;
}

} // namespace redwingdock
