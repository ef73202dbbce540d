#ifndef REDWINGDOCK_FORWARD_LOG_TEXT_H
#define REDWINGDOCK_FORWARD_LOG_TEXT_H

#include "base/time.h"

#include <string>

// Formats values for log lines.
//
//   "request=" + Quoted(id) + " after_ms=" + MsText(elapsed)

namespace redwingdock {

inline std::string Quoted(const std::string& aText)
{
  return '"' + aText + '"';
}

inline std::string MsText(micros aTime)
{
  return std::to_string(ToMs(aTime));
}

} // namespace redwingdock

#endif
