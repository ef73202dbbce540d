#include "base/yaml_reader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <sstream>

namespace redwingdock {

namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kMaxExcerptLength = 60;
constexpr char kNameFormat[] = "a name of a-z, 0-9, _ and -, at most 63 characters, not starting "
                               "with _ or -";
constexpr char kAddressFormat[] = "\"ip:port\" with a port from 1 to 65535";

std::string DescribeNode(const YAML::Node& aNode)
{
  if (!aNode.IsDefined()) {
    return "nothing";
  }
  if (aNode.IsSequence()) {
    return "a list";
  }
  if (aNode.IsMap()) {
    return "a mapping";
  }
  if (aNode.IsNull()) {
    return "an empty value";
  }
  const std::string& text = aNode.Scalar();
  return "\"" + text.substr(0, kMaxExcerptLength) + (text.size() > kMaxExcerptLength ? "..." : "") +
         "\"";
}

std::string FormatNumber(double aNumber)
{
  std::ostringstream text;
  text << aNumber;
  return text.str();
}

std::string FormatRange(const std::string& aMin, const std::string& aMax)
{
  return aMin + " to " + aMax;
}

} // namespace

bool IsName(const std::string& aText)
{
  const auto alphanumeric = [](char aChar) {
    return (aChar >= 'a' && aChar <= 'z') || (aChar >= '0' && aChar <= '9');
  };
  return !aText.empty() && aText.size() <= kMaxNameLength && alphanumeric(aText.front()) &&
         std::all_of(aText.begin(), aText.end(), [&](char aChar) {
           return alphanumeric(aChar) || aChar == '_' || aChar == '-';
         });
}

bool IsAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos || !ParseInteger(aText.substr(colon + 1), 1, 65535)) {
    return false;
  }
  const std::string host = aText.substr(0, colon);
  if (host.find('\0') != std::string::npos) {
    return false; // inet_pton would read only the bytes before it
  }
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    in6_addr address{};
    return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &address) == 1;
  }
  in_addr address{};
  return inet_pton(AF_INET, host.c_str(), &address) == 1;
}

std::optional<std::uint64_t> ParseInteger(const std::string& aText,
                                          std::uint64_t aMin,
                                          std::uint64_t aMax)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || rest != end || number < aMin || number > aMax) {
    return std::nullopt;
  }
  return number;
}

void yaml_errors::Add(const YAML::Node& aNode,
                      const std::string& aKey,
                      const std::string& aFound,
                      const std::string& aAllowed)
{
  if (mFirstError) {
    return;
  }
  std::string text;
  if (aNode.IsDefined() && aNode.Mark().line >= 0) {
    text = "line " + std::to_string(aNode.Mark().line + 1) + ": ";
  }
  text += (aKey.empty() ? "file" : aKey) + ": found " + aFound + ", allowed: " + aAllowed;
  mFirstError = reason{ mStep, mFile, text };
}

yaml_mapping::yaml_mapping(const YAML::Node& aNode, std::string aPath, yaml_errors& aErrors)
  : mNode(aNode)
  , mPath(std::move(aPath))
  , mErrors(&aErrors)
{
  if (!mNode.IsMap()) {
    mErrors->Add(mNode, mPath, DescribeNode(mNode), "a mapping");
    mNode.reset(YAML::Node(YAML::NodeType::Map));
    return;
  }
  std::set<std::string> keys;
  for (const auto& item : mNode) {
    if (!item.first.IsScalar()) {
      mErrors->Add(item.first, mPath, DescribeNode(item.first) + " as a key", "a name");
    } else if (!keys.insert(item.first.Scalar()).second) {
      mErrors->Add(item.first, Path(item.first.Scalar()), "a second value", "one value");
    }
  }
}

std::string yaml_mapping::Path(const std::string& aKey) const
{
  return mPath.empty() ? aKey : mPath + "." + aKey;
}

YAML::Node yaml_mapping::Take(const std::string& aKey, bool aRequired)
{
  mRead.insert(aKey);
  for (const auto& item : mNode) {
    if (item.first.IsScalar() && item.first.Scalar() == aKey) {
      return item.second;
    }
  }
  if (aRequired) {
    mErrors->Add(mNode, Path(aKey), "nothing", "a value, the key is required");
  }
  return YAML::Node(YAML::NodeType::Undefined);
}

std::string yaml_mapping::Text(const std::string& aKey, const std::optional<std::string>& aDefault)
{
  const YAML::Node node = Take(aKey, !aDefault);
  if (!node.IsDefined()) {
    return aDefault.value_or("");
  }
  if (!node.IsScalar()) {
    mErrors->Add(node, Path(aKey), DescribeNode(node), "text");
    return "";
  }
  return node.Scalar();
}

std::string yaml_mapping::Name(const std::string& aKey)
{
  const YAML::Node node = Take(aKey, true);
  if (node.IsDefined() && !(node.IsScalar() && IsName(node.Scalar()))) {
    mErrors->Add(node, Path(aKey), DescribeNode(node), kNameFormat);
  }
  return node.IsDefined() && node.IsScalar() ? node.Scalar() : "";
}

std::string yaml_mapping::Address(const std::string& aKey)
{
  const YAML::Node node = Take(aKey, true);
  if (node.IsDefined() && !(node.IsScalar() && IsAddress(node.Scalar()))) {
    mErrors->Add(node, Path(aKey), DescribeNode(node), kAddressFormat);
  }
  return node.IsDefined() && node.IsScalar() ? node.Scalar() : "";
}

std::uint64_t yaml_mapping::Integer(const std::string& aKey,
                                    std::uint64_t aMin,
                                    std::uint64_t aMax,
                                    std::optional<std::uint64_t> aDefault)
{
  const YAML::Node node = Take(aKey, !aDefault);
  if (!node.IsDefined()) {
    return aDefault.value_or(aMin);
  }
  const std::optional<std::uint64_t> number =
    node.IsScalar() ? ParseInteger(node.Scalar(), aMin, aMax) : std::nullopt;
  if (!number) {
    mErrors->Add(node,
                 Path(aKey),
                 DescribeNode(node),
                 "a whole number, " + FormatRange(std::to_string(aMin), std::to_string(aMax)));
  }
  return number.value_or(aMin);
}

double yaml_mapping::Number(const std::string& aKey, double aMin, double aMax, double aDefault)
{
  const YAML::Node node = Take(aKey, false);
  if (!node.IsDefined()) {
    return aDefault;
  }
  double number = aDefault;
  const std::string text = node.IsScalar() ? node.Scalar() : "";
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || rest != end || !std::isfinite(number) || number < aMin ||
      number > aMax) {
    mErrors->Add(node,
                 Path(aKey),
                 DescribeNode(node),
                 "a number, " + FormatRange(FormatNumber(aMin), FormatNumber(aMax)));
    return aDefault;
  }
  return number;
}

bool yaml_mapping::Flag(const std::string& aKey, bool aDefault)
{
  return OneOf(aKey, { "false", "true" }, aDefault ? 1 : 0) == 1;
}

std::vector<std::string> yaml_mapping::Names(const std::string& aKey, bool aRequired)
{
  std::vector<std::string> names;
  const YAML::Node node = Take(aKey, aRequired);
  if (!node.IsDefined()) {
    return names;
  }
  if (!node.IsSequence() || (aRequired && node.size() == 0)) {
    mErrors->Add(node,
                 Path(aKey),
                 node.IsSequence() ? "an empty list" : DescribeNode(node),
                 aRequired ? "a list of at least one name" : "a list of names");
    return names;
  }
  std::set<std::string> seen;
  for (const auto& item : node) {
    if (!item.IsScalar() || !IsName(item.Scalar())) {
      mErrors->Add(item, Path(aKey), DescribeNode(item), kNameFormat);
      return names;
    }
    if (!seen.insert(item.Scalar()).second) {
      mErrors->Add(item, Path(aKey), DescribeNode(item) + " again", "each name once");
    }
    names.push_back(item.Scalar());
  }
  return names;
}

std::vector<std::string> yaml_mapping::Addresses(const std::string& aKey)
{
  std::vector<std::string> addresses;
  const YAML::Node node = Take(aKey, true);
  if (!node.IsDefined()) {
    return addresses;
  }
  if (!node.IsSequence() || node.size() == 0) {
    mErrors->Add(node,
                 Path(aKey),
                 node.IsSequence() ? "an empty list" : DescribeNode(node),
                 "a list of at least one address");
    return addresses;
  }
  for (const auto& item : node) {
    if (!item.IsScalar() || !IsAddress(item.Scalar())) {
      mErrors->Add(item, Path(aKey), DescribeNode(item), kAddressFormat);
      return addresses;
    }
    addresses.push_back(item.Scalar());
  }
  return addresses;
}

std::size_t yaml_mapping::OneOf(const std::string& aKey,
                                const std::vector<std::string>& aAllowed,
                                std::optional<std::size_t> aDefault)
{
  const YAML::Node node = Take(aKey, !aDefault);
  if (!node.IsDefined()) {
    return aDefault.value_or(0);
  }
  if (node.IsScalar()) {
    const auto found = std::find(aAllowed.begin(), aAllowed.end(), node.Scalar());
    if (found != aAllowed.end()) {
      return static_cast<std::size_t>(found - aAllowed.begin());
    }
  }
  std::string allowed;
  for (const std::string& text : aAllowed) {
    allowed += (allowed.empty() ? "" : " or ") + text;
  }
  mErrors->Add(node, Path(aKey), DescribeNode(node), allowed);
  return aDefault.value_or(0);
}

void yaml_mapping::ForEach(const std::string& aKey,
                           bool aRequired,
                           const std::function<void(yaml_mapping&)>& aRead)
{
  const YAML::Node node = Take(aKey, aRequired);
  if (!node.IsDefined()) {
    return;
  }
  if (!node.IsSequence()) {
    mErrors->Add(node, Path(aKey), DescribeNode(node), "a list of mappings");
    return;
  }
  std::size_t index = 0;
  for (const auto& item : node) {
    yaml_mapping mapping(item, Path(aKey) + "[" + std::to_string(index) + "]", *mErrors);
    aRead(mapping);
    mapping.RejectUnknownKeys();
    ++index;
  }
}

yaml_mapping yaml_mapping::Mapping(const std::string& aKey, bool aRequired)
{
  const YAML::Node node = Take(aKey, aRequired);
  return { node.IsDefined() ? node : YAML::Node(YAML::NodeType::Map), Path(aKey), *mErrors };
}

void yaml_mapping::RequireUnique(const std::string& aKey,
                                 const std::string& aValue,
                                 std::set<std::string>& aSeen)
{
  if (!aSeen.insert(aValue).second) {
    mErrors->Add(
      Take(aKey, false), Path(aKey), "\"" + aValue + "\" again", "a value that is used once");
  }
}

void yaml_mapping::RejectUnknownKeys()
{
  for (const auto& item : mNode) {
    if (item.first.IsScalar() && mRead.count(item.first.Scalar()) == 0) {
      std::string allowed;
      for (const std::string& key : mRead) {
        allowed += (allowed.empty() ? "the keys " : ", ") + key;
      }
      mErrors->Add(item.first,
                   Path(item.first.Scalar()),
                   "an unknown key",
                   allowed.empty() ? "no keys" : allowed);
      return;
    }
  }
}

yaml_mapping LoadYaml(const std::string& aText, yaml_errors& aErrors)
{
  try {
    return { YAML::Load(aText), "", aErrors };
  } catch (const YAML::Exception& error) {
    if (!aErrors.mFirstError) {
      const std::string line =
        error.mark.is_null() ? "" : "line " + std::to_string(error.mark.line + 1) + ": ";
      aErrors.mFirstError =
        reason{ aErrors.mStep,
                aErrors.mFile,
                line + "file: found " + error.msg + ", allowed: well-formed YAML" };
    }
    return { YAML::Node(YAML::NodeType::Map), "", aErrors };
  }
}

} // namespace redwingdock
