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

// Strict reader of YAML files. Only the first error is kept; it gives the file, line and key, what
// was found and what is allowed. After an error the getters return defaults, so that callers need
// to check for errors only once, at the end.
//
//   yaml_errors errors{ "parse pools", "pools.yaml" };
//   yaml_mapping root = LoadYaml(text, errors);
//   std::uint64_t slots = root.Integer("slots", 1, 64);
//   root.RejectUnknownKeys(); // reports keys that were not read
//   if (errors.mFirstError) { ... }

namespace redwingdock {

struct yaml_errors
{
  std::string mStep;
  std::string mFile;
  std::optional<reason> mFirstError;

  // Records the error unless there is an earlier one.
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

  // The key is optional for getters that have a default; the others report a missing key.
  std::string Text(const std::string& aKey,
                   const std::optional<std::string>& aDefault = std::nullopt);
  // A name that matches [a-z0-9][a-z0-9_-]*, at most 63 characters.
  std::string Name(const std::string& aKey);
  // "ip:port", where ip is an IPv4 address or an IPv6 address in brackets.
  std::string Address(const std::string& aKey);
  std::uint64_t Integer(const std::string& aKey,
                        std::uint64_t aMin,
                        std::uint64_t aMax,
                        std::optional<std::uint64_t> aDefault = std::nullopt);
  double Number(const std::string& aKey, double aMin, double aMax, double aDefault);
  bool Flag(const std::string& aKey, bool aDefault);
  std::vector<std::string> Names(const std::string& aKey, bool aRequired);
  std::vector<std::string> Addresses(const std::string& aKey);

  // Returns the index of the value in the list of allowed values.
  std::size_t OneOf(const std::string& aKey,
                    const std::vector<std::string>& aAllowed,
                    std::optional<std::size_t> aDefault = std::nullopt);

  // Calls the function for each mapping of a sequence. A missing optional sequence counts as empty.
  void ForEach(const std::string& aKey,
               bool aRequired,
               const std::function<void(yaml_mapping&)>& aRead);

  // Returns a nested mapping, or an empty one if the key is optional and missing.
  yaml_mapping Mapping(const std::string& aKey, bool aRequired);

  // Marks the key as read and returns its node, which is undefined if the key is missing.
  YAML::Node Take(const std::string& aKey, bool aRequired);

  // Adds the value to the set and reports it if it is there already.
  void RequireUnique(const std::string& aKey,
                     const std::string& aValue,
                     std::set<std::string>& aSeen);

  // Reports keys that were not read.
  void RejectUnknownKeys();

  std::string Path(const std::string& aKey) const;
  const YAML::Node& Node() const { return mNode; }
  yaml_errors& Errors() { return *mErrors; }

private:
  YAML::Node mNode;
  std::string mPath;
  yaml_errors* mErrors;
  std::set<std::string> mRead;
};

// Parses the text and returns its root mapping. Malformed YAML is reported like other errors.
yaml_mapping LoadYaml(const std::string& aText, yaml_errors& aErrors);

bool IsName(const std::string& aText);
bool IsAddress(const std::string& aText);

// Parses a decimal number without sign. Returns nullopt if it is malformed or out of bounds.
std::optional<std::uint64_t> ParseInteger(const std::string& aText,
                                          std::uint64_t aMin,
                                          std::uint64_t aMax);

} // namespace redwingdock

#endif
