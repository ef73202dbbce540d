#ifndef REDWINGDOCK_PLATFORM_STORE_CODEC_H
#define REDWINGDOCK_PLATFORM_STORE_CODEC_H

#include "base/reason.h"
#include "core/store.h"

#include <string>
#include <string_view>

// Parses response bodies of the platform's store and the values in them. A value that cannot be
// parsed becomes an unreadable_value and does not affect the others.
//
//   result<store_page_read> page = DecodePage(body);

namespace redwingdock::platform {

// Parses one page of a range call. The caller sets mReadNumber and mAsOf.mEra of the result.
result<store_page_read> DecodePage(std::string_view aBody);

// Parses the events of a watch call. The caller sets mReadNumber and mAsOf.mEra of the result.
result<store_changes_read> DecodeChanges(std::string_view aBody);

// Parses the value of the era header of a reply. Returns 0, like a reply without the header, if it
// is not an integer from 1 to 9e15.
std::uint64_t DecodeEra(const std::string* aHeader);

// Parses one value; its key determines its type.
published_value DecodeValue(const std::string& aKey, std::string_view aBytes);

} // namespace redwingdock::platform

#endif
