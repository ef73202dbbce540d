#ifndef REDWINGDOCK_BASE_BASE64_H
#define REDWINGDOCK_BASE_BASE64_H

#include <optional>
#include <string>
#include <string_view>

// Standard base64 with padding (RFC 4648, section 4).
//
//   std::string text = ToBase64(bytes);
//   std::optional<std::string> bytes = FromBase64(text);

namespace redwingdock {

std::string ToBase64(std::string_view aBytes);

// Returns nullopt if the text is not valid base64.
std::optional<std::string> FromBase64(std::string_view aText);

} // namespace redwingdock

#endif
