#ifndef REDWINGDOCK_BASE_YAML_READER_H
#define REDWINGDOCK_BASE_YAML_READER_H

#include "base/reason.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>
#include <yaml-cpp/yaml.h>

// Strict reading of YAML files. The first error is kept and names file, line, key, what was found
// and what is allowed; after an error the getters return defaults, so that callers check once.
//
//   yaml_errors errors{ "parse pools", "pools.yaml" };
//   yaml_mapping root = LoadYaml(text, errors);
//   std::uint64_t slots = root.Integer("slots", 1, 64);
//   root.Finish(); // refuses keys that were not read
//   if (errors.mFirst) { ... }

namespace redwingdock {

struct yaml_errors
{
  std::string mStep;
  std::string mFile;
  std::optional<reason> mFirst;

  // Keeps the error unless there is an earlier one.
  void Add(const YAML::Node& aNode,
           const std::string& aKey,
           const std::string& aFound,
           const std::string& aAllowed);
};

class yaml_mapping
{
public:
  // aPath is the key of the mapping in its file, for example "pools[2]", empty for the root.
  yaml_mapping(const YAML::Node& aNode, std::string aPath, yaml_errors& aErrors);

  // Getters with a default treat the key as optional, the others report it when it is missing.
  std::string Text(const std::string& aKey,
                   const std::optional<std::string>& aDefault = std::nullopt);
  // Matches [a-z0-9][a-z0-9_-]*, at most 63 characters.
  std::string Name(const std::string& aKey);
  // "ip:port" with an IPv4 address or an IPv6 address in brackets.
  std::string Address(const std::string& aKey);
  std::uint64_t Integer(const std::string& aKey,
                        std::uint64_t aLeast,
                        std::uint64_t aMost,
                        std::optional<std::uint64_t> aDefault = std::nullopt);
  double Number(const std::string& aKey, double aLeast, double aMost, double aDefault);
  bool Flag(const std::string& aKey, bool aDefault);
  std::vector<std::string> Names(const std::string& aKey, bool aRequired);
  std::vector<std::string> Addresses(const std::string& aKey);

  // Index of the text among the allowed ones.
  std::size_t OneOf(const std::string& aKey,
                    const std::vector<std::string>& aAllowed,
                    std::optional<std::size_t> aDefault = std::nullopt);

  // Calls the function for each mapping of a sequence; a missing optional sequence is empty.
  void Each(const std::string& aKey,
            bool aRequired,
            const std::function<void(yaml_mapping&)>& aRead);

  // A nested mapping; an empty one when an optional key is missing.
  yaml_mapping Mapping(const std::string& aKey, bool aRequired);

  // Marks the key as read. Null node when it is missing.
  YAML::Node Take(const std::string& aKey, bool aRequired);

  // Reports a name that is already in the set, and adds it.
  void Unique(const std::string& aKey, const std::string& aValue, std::set<std::string>& aSeen);

  // Reports keys that were not read.
  void Finish();

  std::string Path(const std::string& aKey) const;
  const YAML::Node& Node() const { return mNode; }
  yaml_errors& Errors() { return *mErrors; }

private:
  YAML::Node mNode;
  std::string mPath;
  yaml_errors* mErrors;
  std::set<std::string> mRead;
};

// The root mapping. Malformed YAML is an error like the others.
yaml_mapping LoadYaml(const std::string& aText, yaml_errors& aErrors);

bool IsName(const std::string& aText);
bool IsAddress(const std::string& aText);

// Decimal number without sign, within the bounds.
std::optional<std::uint64_t> ToInteger(const std::string& aText,
                                       std::uint64_t aLeast,
                                       std::uint64_t aMost);

} // namespace redwingdock

#endif
