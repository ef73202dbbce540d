#include "codec/json_reader.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

namespace redwingdock::detail {

namespace json = boost::json;

namespace {

const json::object kEmptyObject;
const json::array kEmptyArray;

// Longest id of a record, or name of a field in a record or filter, in bytes.
constexpr std::size_t kMaxFieldNameBytes = 256;

std::string Quoted(std::string_view aName)
{
  return "\"" + std::string(aName) + "\"";
}

} // namespace

json_reader::json_reader(std::string_view aBody, std::size_t aLimit)
  : mRoot(&kEmptyObject)
{
  if (aBody.size() > aLimit) {
    Fail("body has " + std::to_string(aBody.size()) + " bytes, the limit is " +
         std::to_string(aLimit));
    return;
  }
  json::error_code error;
  mValue = json::parse(json::string_view(aBody.data(), aBody.size()), error);
  if (error) {
    Fail("body is not JSON: " + error.message());
  } else if (!mValue.is_object()) {
    Fail("body is not a JSON object");
  } else {
    mRoot = &mValue.get_object();
  }
}

void json_reader::Fail(std::string aText)
{
  if (!mError) {
    mError = std::move(aText);
  }
}

bool json_reader::Has(const json::object& aObject, std::string_view aName)
{
  return aObject.contains(json::string_view(aName.data(), aName.size()));
}

const json::value* json_reader::Find(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(json::string_view(aName.data(), aName.size()));
  if (value == nullptr) {
    Fail(Quoted(aName) + " is missing");
  }
  return value;
}

std::string json_reader::String(const json::object& aObject,
                                std::string_view aName,
                                std::size_t aMin,
                                std::size_t aMax)
{
  const json::value* value = Find(aObject, aName);
  if (value == nullptr) {
    return {};
  }
  const json::string* text = value->if_string();
  if (text == nullptr) {
    Fail(Quoted(aName) + " is not a string");
    return {};
  }
  if (text->size() < aMin || text->size() > aMax) {
    Fail(Quoted(aName) + " has " + std::to_string(text->size()) + " bytes, must have " +
         std::to_string(aMin) + " to " + std::to_string(aMax));
    return {};
  }
  return { text->data(), text->size() };
}

std::uint64_t json_reader::Integer(const json::object& aObject,
                                   std::string_view aName,
                                   std::uint64_t aMin,
                                   std::uint64_t aMax)
{
  const json::value* value = Find(aObject, aName);
  if (value == nullptr) {
    return 0;
  }
  json::error_code error;
  const auto number =
    value->is_number() ? value->to_number<std::uint64_t>(error) : std::uint64_t{ 0 };
  if (!value->is_number() || error || number < aMin || number > aMax) {
    Fail(Quoted(aName) + " is not an integer from " + std::to_string(aMin) + " to " +
         std::to_string(aMax));
    return 0;
  }
  return number;
}

bool json_reader::Bool(const json::object& aObject, std::string_view aName)
{
  const json::value* value = Find(aObject, aName);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_bool()) {
    Fail(Quoted(aName) + " is not true or false");
    return false;
  }
  return value->get_bool();
}

const json::object& json_reader::Object(const json::object& aObject, std::string_view aName)
{
  const json::value* value = Find(aObject, aName);
  return value == nullptr ? kEmptyObject : AsObject(*value, aName);
}

const json::array& json_reader::Array(const json::object& aObject, std::string_view aName)
{
  const json::value* value = Find(aObject, aName);
  if (value == nullptr) {
    return kEmptyArray;
  }
  if (!value->is_array()) {
    Fail(Quoted(aName) + " is not an array");
    return kEmptyArray;
  }
  return value->get_array();
}

const json::object& json_reader::AsObject(const json::value& aValue, std::string_view aName)
{
  if (!aValue.is_object()) {
    Fail(Quoted(aName) + " is not an object");
    return kEmptyObject;
  }
  return aValue.get_object();
}

fields json_reader::Fields(const json::object& aObject, std::string_view aName)
{
  fields read;
  for (const auto& [key, value] : Object(aObject, aName)) {
    const json::string* text = value.if_string();
    if (text == nullptr || key.empty() || key.size() > kMaxFieldNameBytes) {
      Fail("field " +
           Quoted(std::string_view(key.data(), key.size()).substr(0, kMaxFieldNameBytes)) + " of " +
           Quoted(aName) + " is not a string with a name of 1 to " +
           std::to_string(kMaxFieldNameBytes) + " bytes");
      return {};
    }
    read.emplace(std::string(key), std::string(text->data(), text->size()));
  }
  return read;
}

std::vector<record> json_reader::Records(const json::object& aObject, std::string_view aName)
{
  const json::array& array = Array(aObject, aName);
  std::vector<record> records;
  records.reserve(array.size());
  for (const json::value& value : array) {
    const json::object& item = AsObject(value, aName);
    records.push_back({ String(item, "id", 1, kMaxFieldNameBytes), Fields(item, "fields") });
    if (mError) {
      return {};
    }
  }
  return records;
}

reason json_reader::Reason(const json::object& aObject, std::string_view aName)
{
  const json::object& object = Object(aObject, aName);
  constexpr std::size_t kMaxReasonFieldBytes = std::size_t{ 64 } * 1024;
  return { String(object, "step", 0, kMaxReasonFieldBytes),
           String(object, "peer", 0, kMaxReasonFieldBytes),
           String(object, "text", 0, kMaxReasonFieldBytes) };
}

array_reader::array_reader(json_reader& aReader,
                           const json::value& aValue,
                           std::string_view aName,
                           std::size_t aSize)
  : mReader(aReader)
  , mName(aName)
{
  const json::array* array = aValue.if_array();
  if (array == nullptr || array->size() != aSize) {
    mReader.Fail(Quoted(mName) + " contains a value that is not an array of " +
                 std::to_string(aSize));
    return;
  }
  mArray = array;
}

std::string array_reader::String(std::size_t aIndex, std::size_t aMax) const
{
  const json::string* text = mArray != nullptr ? (*mArray)[aIndex].if_string() : nullptr;
  if (text == nullptr || text->empty() || text->size() > aMax) {
    Fail(aIndex, "is not a string of 1 to " + std::to_string(aMax) + " bytes");
    return {};
  }
  return { text->data(), text->size() };
}

std::uint64_t array_reader::Integer(std::size_t aIndex, std::uint64_t aMax) const
{
  json::error_code error;
  const bool isNumber = mArray != nullptr && (*mArray)[aIndex].is_number();
  const auto number =
    isNumber ? (*mArray)[aIndex].to_number<std::uint64_t>(error) : std::uint64_t{ 0 };
  if (!isNumber || error || number > aMax) {
    Fail(aIndex, "is not an integer from 0 to " + std::to_string(aMax));
    return 0;
  }
  return number;
}

bool array_reader::Bool(std::size_t aIndex) const
{
  const bool* flag = mArray != nullptr ? (*mArray)[aIndex].if_bool() : nullptr;
  if (flag == nullptr) {
    Fail(aIndex, "is not true or false");
    return false;
  }
  return *flag;
}

void array_reader::Fail(std::size_t aIndex, const std::string& aText) const
{
  mReader.Fail("element " + std::to_string(aIndex) + " of " + Quoted(mName) + " " + aText);
}

json::object ToJson(const fields& aFields)
{
  json::object object;
  object.reserve(aFields.size());
  for (const auto& [name, value] : aFields) {
    object.emplace(name, value);
  }
  return object;
}

json::array ToJson(const std::vector<record>& aRecords)
{
  json::array array;
  array.reserve(aRecords.size());
  for (const record& each : aRecords) {
    json::object item;
    item.emplace("id", each.mId);
    item.emplace("fields", ToJson(each.mFields));
    array.emplace_back(std::move(item));
  }
  return array;
}

json::object ToJson(const reason& aReason)
{
  json::object object;
  object.emplace("step", aReason.mStep);
  object.emplace("peer", aReason.mPeer);
  object.emplace("text", aReason.mText);
  return object;
}

} // namespace redwingdock::detail
