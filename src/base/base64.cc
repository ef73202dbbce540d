#include "base/base64.h"

#include <algorithm>
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace redwingdock {

namespace {

namespace iterators = boost::archive::iterators;

using encoder = iterators::base64_from_binary<iterators::transform_width<const char*, 6, 8>>;
using decoder = iterators::transform_width<iterators::binary_from_base64<const char*>, 8, 6>;

constexpr std::size_t kGroup = 4; // characters that encode three bytes

} // namespace

std::string ToBase64(std::string_view aBytes)
{
  std::string text(encoder(aBytes.data()), encoder(aBytes.data() + aBytes.size()));
  text.append((kGroup - text.size() % kGroup) % kGroup, '=');
  return text;
}

std::optional<std::string> FromBase64(std::string_view aText)
{
  const std::size_t padding =
    aText.size() - std::min(aText.size(), aText.find_last_not_of('=') + 1);
  if (aText.size() % kGroup != 0 || padding > 2) {
    return std::nullopt;
  }
  const std::string_view digits = aText.substr(0, aText.size() - padding);
  const bool valid = std::all_of(digits.begin(), digits.end(), [](char aChar) {
    return (aChar >= 'A' && aChar <= 'Z') || (aChar >= 'a' && aChar <= 'z') ||
           (aChar >= '0' && aChar <= '9') || aChar == '+' || aChar == '/';
  });
  if (!valid) {
    return std::nullopt;
  }
  // The decoder needs whole groups, so the padding is replaced by zero bits ('A') and the bytes
  // that they decode to are removed.
  std::string whole(digits);
  whole.append(padding, 'A');
  std::string bytes(decoder(whole.data()), decoder(whole.data() + whole.size()));
  bytes.resize(bytes.size() - padding);
  return bytes;
}

} // namespace redwingdock
