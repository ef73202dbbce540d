#include "platform/store_codec.h"

#include "base/base64.h"
#include "base/yaml_reader.h"
#include "platform/protocol_names.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

namespace redwingdock::platform {

namespace {

namespace json = boost::json;

// Whether the text has 1 to 200 bytes, all printable ASCII other than space, quote and backslash.
bool IsName(std::string_view aText)
{
  constexpr std::size_t kMaxNameBytes = 200;
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           const auto byte = static_cast<unsigned char>(aChar);
           return byte > 0x20 && byte < 0x7f && aChar != '"' && aChar != '\\';
         });
}

// Reads the fields of one JSON object and keeps the first error.
class object_reader
{
public:
  explicit object_reader(const json::object& aObject)
    : mObject(aObject)
  {
  }

  std::string String(const char* aName, bool aRequired = true)
  {
    const json::value* value = Find(aName, aRequired);
    if (value == nullptr) {
      return {};
    }
    if (!value->is_string() || (aRequired && value->get_string().empty())) {
      SetError(aName, "is not a string or is empty");
      return {};
    }
    return std::string(value->get_string());
  }

  double Number(const char* aName, double aDefault, bool aRequired = false)
  {
    const json::value* value = Find(aName, aRequired);
    if (value == nullptr) {
      return aDefault;
    }
    const double number = value->is_number() ? value->to_number<double>() : -1;
    if (!value->is_number() || number < 0) {
      SetError(aName, "is not a number of at least 0");
      return aDefault;
    }
    return number;
  }

  std::uint64_t UnsignedInteger(const char* aName, std::uint64_t aDefault, bool aRequired = false)
  {
    const double number = Number(aName, static_cast<double>(aDefault), aRequired);
    // Doubles represent integers exactly up to 2^53, about 9.007e15.
    constexpr double kMaxExactInteger = 9e15;
    if (number != std::floor(number) || number > kMaxExactInteger) {
      SetError(aName, "is not an integer of at most 9e15");
      return aDefault;
    }
    return static_cast<std::uint64_t>(number);
  }

  std::uint32_t Count(const char* aName, std::uint32_t aDefault, bool aRequired = false)
  {
    const std::uint64_t number = UnsignedInteger(aName, aDefault, aRequired);
    if (number > std::numeric_limits<std::uint32_t>::max()) {
      SetError(aName, "is over 4294967295");
      return aDefault;
    }
    return static_cast<std::uint32_t>(number);
  }

  // Times of over a day are refused: they cannot be added to a point in time without a check.
  micros Milliseconds(const char* aName, micros aDefault, bool aRequired = false)
  {
    constexpr double kMaxMs = 24.0 * 3600 * 1000;
    const double ms = Number(aName, static_cast<double>(aDefault.count()) / 1000, aRequired);
    if (ms > kMaxMs) {
      SetError(aName, "is over a day");
      return aDefault;
    }
    return micros(static_cast<std::int64_t>(ms * 1000));
  }

  // A name, which becomes part of keys, log lines and header fields.
  std::string Name(const char* aName)
  {
    std::string name = String(aName);
    if (!name.empty() && !IsName(name)) {
      SetError(aName, "is not a name");
    }
    return name;
  }

  const json::array* Array(const char* aName, bool aRequired)
  {
    const json::value* value = Find(aName, aRequired);
    if (value != nullptr && !value->is_array()) {
      SetError(aName, "is not an array");
      return nullptr;
    }
    return value != nullptr ? &value->get_array() : nullptr;
  }

  const json::value* Find(const char* aName, bool aRequired)
  {
    const json::value* value = mObject.if_contains(aName);
    if (value != nullptr && value->is_null()) {
      value = nullptr;
    }
    if (value == nullptr && aRequired) {
      SetError(aName, "is missing");
    }
    return value;
  }

  void SetError(const char* aName, const char* aText)
  {
    if (!mError) {
      mError = std::string("field \"") + aName + "\" " + aText;
    }
  }

  const std::optional<std::string>& Error() const { return mError; }

private:
  const json::object& mObject;
  std::optional<std::string> mError;
};

std::optional<json::value> ParseObject(std::string_view aBytes)
{
  boost::system::error_code error;
  json::parse_options options;
  // A key that is not valid UTF-8 must not make the listing that contains it unreadable.
  options.allow_invalid_utf8 = true;
  json::value value =
    json::parse(json::string_view(aBytes.data(), aBytes.size()), error, {}, options);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return value;
}

unreadable_value Unreadable(const char* aStep, std::string aText)
{
  return { { aStep, "", std::move(aText) } };
}

// Reads the services of a route: "gather" lists services whose replies are merged into one answer,
// "trafficSplit" lists services that share the requests by weight, and "service" names a single
// one.
void ReadServices(object_reader& aReader, route_rule& aRoute)
{
  if (const json::array* shards = aReader.Array("gather", false)) {
    for (const json::value& each : *shards) {
      if (!each.is_string()) {
        aReader.SetError("gather", "contains a value that is not a string");
        return;
      }
      aRoute.mServices.push_back({ std::string(each.get_string()), 1 });
    }
    aRoute.mGather =
      gather_rule{ aReader.Count("topK", 0, true), aReader.Number("minimumSuccessShare", 1) };
    return;
  }
  if (const json::array* split = aReader.Array("trafficSplit", false)) {
    for (const json::value& each : *split) {
      if (!each.is_object()) {
        aReader.SetError("trafficSplit", "contains a value that is not an object");
        return;
      }
      object_reader part(each.get_object());
      weighted_service service{ part.String("service"), part.Number("weight", 0, true) };
      if (part.Error()) {
        aReader.SetError("trafficSplit", "contains an entry without a valid service or weight");
        return;
      }
      aRoute.mServices.push_back(std::move(service));
    }
    return;
  }
  aRoute.mServices.push_back({ aReader.String("service"), 1 });
}

std::optional<std::string> ReadRoute(const json::value& aValue, configuration& aConfiguration)
{
  if (!aValue.is_object()) {
    return "a route is not an object";
  }
  object_reader reader(aValue.get_object());
  route_rule route;
  route.mName = reader.String("name");
  route.mHost = reader.String("host");
  route.mPrefix = reader.String("prefix");
  ReadServices(reader, route);
  const std::string kind = reader.String("kind");
  route.mIdempotent = kind == "safe";
  if (kind != "safe" && kind != "unsafe") {
    reader.SetError("kind", "is neither \"safe\" nor \"unsafe\"");
  }
  route.mTimeout = reader.Milliseconds("timeoutMs", micros(0), true);
  route.mTargetLatency = reader.Milliseconds("targetLatencyMs", route.mTimeout);
  route.mMaxAttempts = reader.Count("maxAttempts", 1);
  route.mPriority = reader.Count("priority", 0);
  if (reader.Error()) {
    return "route \"" + route.mName + "\": " + *reader.Error();
  }
  aConfiguration.mRoutes.push_back(std::move(route));
  return std::nullopt;
}

std::optional<std::string> ReadService(const json::value& aValue, configuration& aConfiguration)
{
  if (!aValue.is_object()) {
    return "a service is not an object";
  }
  object_reader reader(aValue.get_object());
  service_limits service;
  service.mName = reader.String("name");
  service.mConnectionLimit = reader.Count("connectionLimit", 0);
  service.mColdRate = reader.Number("warmupPerS", 0);
  if (reader.Error()) {
    return "service \"" + service.mName + "\": " + *reader.Error();
  }
  aConfiguration.mServices.push_back(std::move(service));
  return std::nullopt;
}

std::optional<std::string> ReadLimits(object_reader& aReader, client_limits& aLimits)
{
  const json::value* value = aReader.Find("limits", false);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_object()) {
    return "field \"limits\" is not an object";
  }
  object_reader reader(value->get_object());
  aLimits.mMaxHeaderBytes = reader.UnsignedInteger("maxHeaderBytes", aLimits.mMaxHeaderBytes);
  aLimits.mMaxBodyBytes = reader.UnsignedInteger("maxBodyBytes", aLimits.mMaxBodyBytes);
  aLimits.mHeaderTimeout = reader.Milliseconds("headerTimeoutMs", aLimits.mHeaderTimeout);
  aLimits.mIdleTimeout = reader.Milliseconds("idleTimeoutMs", aLimits.mIdleTimeout);
  return reader.Error();
}

published_value DecodeConfiguration(std::string_view aBytes)
{
  constexpr char kStep[] = "parse configuration";
  const std::optional<json::value> root = ParseObject(aBytes);
  if (!root) {
    return Unreadable(kStep, "is not a JSON object");
  }
  object_reader reader(root->get_object());
  configuration parsed;
  parsed.mVersion = reader.UnsignedInteger("version", 0, true);
  std::optional<std::string> error = ReadLimits(reader, parsed.mLimits);
  if (const json::array* routes = reader.Array("routes", true)) {
    for (const json::value& each : *routes) {
      error = error ? error : ReadRoute(each, parsed);
    }
  }
  if (const json::array* services = reader.Array("services", true)) {
    for (const json::value& each : *services) {
      error = error ? error : ReadService(each, parsed);
    }
  }
  error = error ? error : reader.Error();
  if (error) {
    return Unreadable(kStep, *error);
  }
  return parsed;
}

published_value DecodeReplica(const std::string& aId, std::string_view aBytes)
{
  constexpr char kStep[] = "parse replica";
  const std::optional<json::value> root = ParseObject(aBytes);
  if (!root) {
    return Unreadable(kStep, "is not a JSON object");
  }
  object_reader reader(root->get_object());
  replica_entry entry;
  entry.mId = aId;
  entry.mService = reader.Name("service");
  entry.mAddress = reader.String("address");
  entry.mZone = reader.Name("zone");
  entry.mSlots = reader.Count("slots", 1, true);
  entry.mWarmupRemaining = reader.Milliseconds("warmupRemainingMs", micros(0), true);
  entry.mSequence = reader.UnsignedInteger("sequence", 0, true);
  entry.mBornMs = static_cast<std::int64_t>(reader.UnsignedInteger("born", 0));
  // Not used, but an entry without it is not from a replica: its sequence must not count.
  reader.String("version");
  const std::string state = reader.String("state");
  entry.mDraining = state == "draining";
  if (state != "ready" && state != "draining") {
    reader.SetError("state", "is neither \"ready\" nor \"draining\"");
  }
  if (!IsName(aId)) {
    reader.SetError("id", "is not a name");
  }
  if (!IsAddress(entry.mAddress)) {
    reader.SetError("address", "is not an address of the form ip:port");
  }
  if (reader.Error()) {
    return Unreadable(kStep, *reader.Error());
  }
  return entry;
}

// Parses an item, which is a written value or a deletion.
result<store_item_pointer> ReadItem(const json::value& aValue)
{
  constexpr char kStep[] = "parse item";
  if (!aValue.is_object()) {
    return Failure<store_item_pointer>(kStep, "", "an item is not an object");
  }
  object_reader reader(aValue.get_object());
  store_item item;
  item.mKey = reader.String("key");
  item.mRevision = reader.UnsignedInteger("revision", 0, true);
  const json::value* deleted = reader.Find("deleted", false);
  const bool isDeleted = deleted != nullptr && deleted->is_bool() && deleted->get_bool();
  const std::string value = isDeleted ? std::string() : reader.String("value", false);
  if (item.mKey.empty()) {
    return Failure<store_item_pointer>(kStep, "", *reader.Error());
  }
  if (reader.Error()) {
    // The other items of the reply can still be used.
    item.mValue = Unreadable(kStep, *reader.Error());
  } else if (!isDeleted) {
    const std::optional<std::string> bytes = FromBase64(value);
    item.mValue =
      bytes ? DecodeValue(item.mKey, *bytes) : Unreadable(kStep, "the value is not valid base64");
  }
  return Success(store_item_pointer(std::make_shared<const store_item>(std::move(item))));
}

struct item_list
{
  std::vector<store_item_pointer> mItems;
  bool mMore = false;
  std::uint64_t mAsOf = 0;
};

result<item_list> ReadItemList(std::string_view aBody, const char* aName)
{
  constexpr char kStep[] = "parse reply of the store";
  const std::optional<json::value> root = ParseObject(aBody);
  if (!root) {
    return Failure<item_list>(kStep, "", "is not a JSON object");
  }
  object_reader reader(root->get_object());
  item_list list;
  list.mAsOf = reader.UnsignedInteger("asOf", 0, true);
  const json::value* more = reader.Find("hasMore", false);
  list.mMore = more != nullptr && more->is_bool() && more->get_bool();
  if (const json::array* items = reader.Array(aName, true)) {
    for (const json::value& each : *items) {
      result<store_item_pointer> item = ReadItem(each);
      if (!item) {
        return { std::nullopt, std::move(item.mReason) };
      }
      list.mItems.push_back(std::move(*item));
    }
  }
  if (reader.Error()) {
    return Failure<item_list>(kStep, "", *reader.Error());
  }
  return Success(std::move(list));
}

} // namespace

published_value DecodeValue(const std::string& aKey, std::string_view aBytes)
{
  if (aKey == kConfigurationKey) {
    return DecodeConfiguration(aBytes);
  }
  if (aKey.starts_with(kClosedZonePrefix)) {
    std::string zone = aKey.substr(sizeof(kClosedZonePrefix) - 1);
    return IsName(zone) ? published_value(closed_zone{ std::move(zone) })
                        : Unreadable("parse closed zone", "the zone is not a name");
  }
  if (aKey.starts_with(kReplicaPrefix)) {
    return DecodeReplica(aKey.substr(sizeof(kReplicaPrefix) - 1), aBytes);
  }
  return Unreadable("parse item", "the key has no known prefix");
}

std::uint64_t DecodeEra(const std::string* aHeader)
{
  // As for the other integers of the store.
  constexpr std::uint64_t kMaxEra = 9'000'000'000'000'000;
  return aHeader != nullptr ? ParseInteger(*aHeader, 1, kMaxEra).value_or(0) : 0;
}

result<store_page_read> DecodePage(std::string_view aBody)
{
  result<item_list> list = ReadItemList(aBody, "items");
  if (!list) {
    return { std::nullopt, std::move(list.mReason) };
  }
  store_page_read page;
  page.mItems = std::move((*list).mItems);
  page.mMore = list->mMore;
  page.mAsOf.mRevision = list->mAsOf;
  return Success(std::move(page));
}

result<store_changes_read> DecodeChanges(std::string_view aBody)
{
  result<item_list> list = ReadItemList(aBody, "events");
  if (!list) {
    return { std::nullopt, std::move(list.mReason) };
  }
  store_changes_read changes;
  changes.mItems = std::move((*list).mItems);
  changes.mAsOf.mRevision = list->mAsOf;
  return Success(std::move(changes));
}

} // namespace redwingdock::platform
