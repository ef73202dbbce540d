#ifndef REDWINGDOCK_BASE_LOG_TEXT_H
#define REDWINGDOCK_BASE_LOG_TEXT_H

#include "base/time.h"

#include <string>
#include <string_view>

// Formats values for log lines.
//
//   "request=" + Quoted(id) + " after_ms=" + MsText(elapsed)

namespace redwingdock {

// The text in double quotes. Quotes, backslashes and bytes other than printable ASCII are escaped,
// so that a text from outside cannot begin a new line or field. A text of over 300 bytes is cut.
std::string Quoted(std::string_view aText);

// Whole milliseconds.
std::string MsText(micros aTime);

} // namespace redwingdock

#endif
