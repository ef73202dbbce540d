#include "base/url.h"

#include <cctype>

namespace redwingdock {

std::string UrlEncode(const std::string& aText)
{
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (char each : aText) {
    auto byte = static_cast<unsigned char>(each);
    if (std::isalnum(byte) != 0 || each == '-' || each == '.' || each == '_' || each == '~') {
      encoded += each;
    } else {
      encoded += { '%', kDigits[byte >> 4U], kDigits[byte & 15U] };
    }
  }
  return encoded;
}

} // namespace redwingdock
