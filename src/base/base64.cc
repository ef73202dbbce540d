#include "base/base64.h"

#include <algorithm>
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace redwingdock {

namespace {

namespace iterators = boost::archive::iterators;

using encode_iterator =
  iterators::base64_from_binary<iterators::transform_width<const char*, 6, 8>>;
using decode_iterator =
  iterators::transform_width<iterators::binary_from_base64<const char*>, 8, 6>;

constexpr std::size_t kGroupSize = 4; // characters that encode three bytes

} // namespace

std::string ToBase64(std::string_view aBytes)
{
  std::string text(encode_iterator(aBytes.data()), encode_iterator(aBytes.data() + aBytes.size()));
  text.append((kGroupSize - text.size() % kGroupSize) % kGroupSize, '=');
  return text;
}

std::optional<std::string> FromBase64(std::string_view aText)
{
  const std::size_t padding =
    aText.size() - std::min(aText.size(), aText.find_last_not_of('=') + 1);
  if (aText.size() % kGroupSize != 0 || padding > 2) {
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
  // decode_iterator needs whole groups, so the padding is replaced by zero bits ('A') and the bytes
  // that they decode to are removed.
  std::string whole(digits);
  whole.append(padding, 'A');
  std::string bytes(decode_iterator(whole.data()), decode_iterator(whole.data() + whole.size()));
  bytes.resize(bytes.size() - padding);
  return bytes;
}

} // namespace redwingdock
