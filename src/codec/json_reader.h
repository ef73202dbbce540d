#ifndef REDWINGDOCK_CODEC_JSON_READER_H
#define REDWINGDOCK_CODEC_JSON_READER_H

#include "core/requests.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Checked access to JSON objects; used inside the codecs only, because of the size of Boost.JSON.
//
//   json_reader reader(body, 64 * 1024);
//   std::string route = reader.Text(reader.Root(), "route", 1, 63);
//   if (reader.Error()) { ... }

namespace redwingdock::detail {

class json_reader
{
public:
  // Parses the body, which must be an object. The first failed check is kept; later calls return
  // empty values.
  json_reader(std::string_view aBody, std::size_t aLimit);

  const boost::json::object& Root() const { return *mRoot; }
  const std::optional<std::string>& Error() const { return mError; }
  void Fail(std::string aText);

  static bool Has(const boost::json::object& aObject, std::string_view aName);

  // Each reads a required field. Numbers are refused outside [aLow, aHigh].
  std::string Text(const boost::json::object& aObject,
                   std::string_view aName,
                   std::size_t aLow,
                   std::size_t aHigh);
  std::uint64_t Number(const boost::json::object& aObject,
                       std::string_view aName,
                       std::uint64_t aLow,
                       std::uint64_t aHigh);
  bool Bool(const boost::json::object& aObject, std::string_view aName);
  const boost::json::object& Object(const boost::json::object& aObject, std::string_view aName);
  const boost::json::array& Array(const boost::json::object& aObject, std::string_view aName);

  // Element of an array that must be an object.
  const boost::json::object& Item(const boost::json::value& aValue, std::string_view aName);

  fields Fields(const boost::json::object& aObject, std::string_view aName);
  std::vector<record> Records(const boost::json::object& aObject, std::string_view aName);
  reason Reason(const boost::json::object& aObject, std::string_view aName);

  // One of the names, by index.
  template<typename Value, std::size_t Size>
  Value OneOf(const boost::json::object& aObject,
              std::string_view aName,
              const char* const (&aNames)[Size])
  {
    const std::string text = Text(aObject, aName, 1, 64);
    for (std::size_t i = 0; i < Size; ++i) {
      if (text == aNames[i]) {
        return static_cast<Value>(i);
      }
    }
    std::string allowed;
    for (const char* name : aNames) {
      allowed += (allowed.empty() ? "" : ", ") + std::string(name);
    }
    Fail("\"" + std::string(aName) + "\" is \"" + text + "\", allowed are " + allowed);
    return {};
  }

private:
  const boost::json::value* Find(const boost::json::object& aObject, std::string_view aName);

  boost::json::value mValue;
  const boost::json::object* mRoot;
  std::optional<std::string> mError;
};

// Names in the order of the enumerations operation, urgency and server_mode.
inline constexpr const char* kOperationNames[] = { "search", "submit" };
inline constexpr const char* kUrgencyNames[] = { "urgent", "normal", "background" };
inline constexpr const char* kModeNames[] = { "warm", "cold", "draining" };

template<typename Value, std::size_t Size>
const char* NameOf(Value aValue, const char* const (&aNames)[Size])
{
  return aNames[static_cast<std::size_t>(aValue) % Size];
}

boost::json::object ToJson(const fields& aFields);
boost::json::array ToJson(const std::vector<record>& aRecords);
boost::json::object ToJson(const reason& aReason);

} // namespace redwingdock::detail

#endif
