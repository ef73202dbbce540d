#ifndef REDWINGDOCK_PLATFORM_PUBLISHED_CODEC_H
#define REDWINGDOCK_PLATFORM_PUBLISHED_CODEC_H

#include "base/reason.h"
#include "core/store.h"

#include <string>
#include <string_view>

// Reads the bodies of the platform's store, with the published values in them. A value that cannot
// be read becomes an unreadable_value and does not harm the others.
//
//   result<store_page_read> page = DecodePage(body);

namespace redwingdock::platform {

// One page of a range call. The round of the result is left to the caller.
result<store_page_read> DecodePage(std::string_view aBody);

// The events of a watch call.
result<store_changes_read> DecodeChanges(std::string_view aBody);

// One published value, by the key it stands under.
published_value DecodeValue(const std::string& aKey, std::string_view aBytes);

} // namespace redwingdock::platform

#endif
