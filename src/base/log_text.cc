#include "base/log_text.h"

namespace redwingdock {

namespace {

constexpr std::size_t kMaxQuotedBytes = 300;

} // namespace

std::string Quoted(std::string_view aText)
{
  constexpr char kHexDigits[] = "0123456789abcdef";
  std::string quoted = "\"";
  for (const char each : aText.substr(0, kMaxQuotedBytes)) {
    const auto byte = static_cast<unsigned char>(each);
    if (each == '"' || each == '\\') {
      quoted += '\\';
      quoted += each;
    } else if (byte >= 0x20 && byte < 0x7f) {
      quoted += each;
    } else {
      quoted += "\\x";
      quoted += kHexDigits[byte >> 4U];
      quoted += kHexDigits[byte & 0xfU];
    }
  }
  quoted += aText.size() > kMaxQuotedBytes ? "...\"" : "\"";
  return quoted;
}

std::string MsText(micros aTime)
{
  return std::to_string(ToMs(aTime));
}

} // namespace redwingdock
