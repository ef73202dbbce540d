#ifndef REDWINGDOCK_BASE_URL_H
#define REDWINGDOCK_BASE_URL_H

#include <string>

// Encoding of text in URLs.
//
//   std::string target = "/v1/entry?caller=" + UrlEncode(caller);

namespace redwingdock {

// Percent-encodes the text for a query parameter (RFC 3986, section 2.1). Accepts any bytes.
std::string UrlEncode(const std::string& aText);

} // namespace redwingdock

#endif
