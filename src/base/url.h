#ifndef REDWINGDOCK_BASE_URL_H
#define REDWINGDOCK_BASE_URL_H

#include <string>

// Text in URLs.
//
//   std::string target = "/v1/entry?caller=" + UrlEncode(caller);

namespace redwingdock {

// The text as a query parameter, percent-encoded (RFC 3986, section 2.1). Takes any bytes.
std::string UrlEncode(const std::string& aText);

} // namespace redwingdock

#endif
