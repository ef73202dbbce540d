#include "base/command_line.h"

#include <cerrno>
#include <cstring>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <sstream>

namespace redwingdock {

namespace {

constexpr char kVersion[] = "redwingdock 0.1.0";

} // namespace

bool parsed_arguments::Has(const std::string& aName) const
{
  return mValues.contains(aName);
}

std::string parsed_arguments::Text(const std::string& aName, const std::string& aDefault) const
{
  auto found = mValues.find(aName);
  return found == mValues.end() || found->second.empty() ? aDefault : found->second.front();
}

std::vector<std::string> parsed_arguments::List(const std::string& aName) const
{
  auto found = mValues.find(aName);
  return found == mValues.end() ? std::vector<std::string>{} : found->second;
}

parsed_arguments ParseArguments(const char* aUsage, int aArgc, char** aArgv)
{
  parsed_arguments parsed;
  try {
    auto options = docopt::docopt_parse(aUsage, { aArgv + 1, aArgv + aArgc }, true, true);
    for (const auto& [name, value] : options) {
      if (value.isString()) {
        parsed.mValues[name] = { value.asString() };
      } else if (value.isStringList() && !value.asStringList().empty()) {
        parsed.mValues[name] = value.asStringList();
      } else if (value.isBool() && value.asBool()) {
        parsed.mValues[name] = {};
      }
    }
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << aUsage;
    parsed.mExitCode = kExitOk;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << kVersion << '\n';
    parsed.mExitCode = kExitOk;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n' << aUsage;
    parsed.mExitCode = kExitUsage;
  }
  return parsed;
}

result<std::string> ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return Failure<std::string>("read file", aPath, std::strerror(errno));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return Success(text.str());
}

std::optional<reason> WriteFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream file(aPath, std::ios::binary);
  file << aText;
  file.close();
  if (!file) {
    return reason{ "write file", aPath, std::strerror(errno) };
  }
  return std::nullopt;
}

} // namespace redwingdock
