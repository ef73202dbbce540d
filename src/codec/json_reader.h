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

// Parses and validates JSON objects. Only the sources of the codecs include this header, because
// of the size of Boost.JSON's headers.
//
//   json_reader reader(body, 64 * 1024);
//   std::string route = reader.String(reader.Root(), "route", 1, 63);
//   if (reader.Error()) { ... }

namespace redwingdock::detail {

class json_reader
{
public:
  // Parses the body, which must be an object of at most aLimit bytes. The reader keeps the first
  // error; a read that fails returns an empty value.
  json_reader(std::string_view aBody, std::size_t aLimit);

  const boost::json::object& Root() const { return *mRoot; }
  const std::optional<std::string>& Error() const { return mError; }
  void Fail(std::string aText);

  static bool Has(const boost::json::object& aObject, std::string_view aName);

  // Each of these reads a required field. String accepts aMin to aMax bytes, Integer the integers
  // from aMin to aMax.
  std::string String(const boost::json::object& aObject,
                     std::string_view aName,
                     std::size_t aMin,
                     std::size_t aMax);
  std::uint64_t Integer(const boost::json::object& aObject,
                        std::string_view aName,
                        std::uint64_t aMin,
                        std::uint64_t aMax);
  bool Bool(const boost::json::object& aObject, std::string_view aName);
  const boost::json::object& Object(const boost::json::object& aObject, std::string_view aName);
  const boost::json::array& Array(const boost::json::object& aObject, std::string_view aName);

  // The value as an object, such as an element of the array aName.
  const boost::json::object& AsObject(const boost::json::value& aValue, std::string_view aName);

  fields Fields(const boost::json::object& aObject, std::string_view aName);
  std::vector<record> Records(const boost::json::object& aObject, std::string_view aName);
  reason Reason(const boost::json::object& aObject, std::string_view aName);

  // The enumerator whose name the field contains; aNames is in the order of the enumerators.
  template<typename Value, std::size_t Size>
  Value Enum(const boost::json::object& aObject,
             std::string_view aName,
             const char* const (&aNames)[Size])
  {
    const std::string text = String(aObject, aName, 1, 64);
    for (std::size_t i = 0; i < Size; ++i) {
      if (text == aNames[i]) {
        return static_cast<Value>(i);
      }
    }
    std::string allowed;
    for (const char* name : aNames) {
      allowed += (allowed.empty() ? "" : ", ") + std::string(name);
    }
    Fail("\"" + std::string(aName) + "\" is \"" + text + "\", must be one of " + allowed);
    return {};
  }

private:
  const boost::json::value* Find(const boost::json::object& aObject, std::string_view aName);

  boost::json::value mValue;
  const boost::json::object* mRoot;
  std::optional<std::string> mError;
};

// Reads the elements of an array with a fixed number of them. Errors are kept by the json_reader.
class array_reader
{
public:
  // The value must be an array of aSize elements; aName is its name in errors.
  array_reader(json_reader& aReader,
               const boost::json::value& aValue,
               std::string_view aName,
               std::size_t aSize);

  // A string of 1 to aMax bytes, an integer from 0 to aMax, and a flag.
  std::string String(std::size_t aIndex, std::size_t aMax) const;
  std::uint64_t Integer(std::size_t aIndex, std::uint64_t aMax) const;
  bool Bool(std::size_t aIndex) const;

private:
  void Fail(std::size_t aIndex, const std::string& aText) const;

  json_reader& mReader;
  const std::string mName;
  const boost::json::array* mArray = nullptr; // null when the value is malformed
};

// Names of the enumerators of operation, urgency and server_mode, in their order.
inline constexpr const char* kOperationNames[] = { "search", "submit" };
inline constexpr const char* kUrgencyNames[] = { "urgent", "normal", "background" };
inline constexpr const char* kModeNames[] = { "warm", "cold", "draining" };

template<typename Value, std::size_t Size>
const char* EnumName(Value aValue, const char* const (&aNames)[Size])
{
  return aNames[static_cast<std::size_t>(aValue) % Size];
}

boost::json::object ToJson(const fields& aFields);
boost::json::array ToJson(const std::vector<record>& aRecords);
boost::json::object ToJson(const reason& aReason);

} // namespace redwingdock::detail

#endif
