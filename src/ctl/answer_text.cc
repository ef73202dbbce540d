#include "ctl/answer_text.h"

#include "base/command_line.h"

#include <boost/json.hpp>

namespace redwingdock::ctl {

namespace json = boost::json;

namespace {

json::object ToJson(const reason& aReason)
{
  return { { "step", aReason.mStep }, { "peer", aReason.mPeer }, { "text", aReason.mText } };
}

json::array ToJson(const position_ranges& aRanges)
{
  json::array ranges;
  for (const position_range& each : aRanges) {
    ranges.push_back(json::array{ each.mFrom, each.mTo });
  }
  return ranges;
}

json::object ToJson(const record& aRecord)
{
  json::object values;
  for (const auto& [name, value] : aRecord.mFields) {
    values[name] = value;
  }
  return { { "id", aRecord.mId }, { "fields", std::move(values) } };
}

// Appends the value, indented by two spaces per level. aIndent is the current indentation.
void AppendIndented(const json::value& aValue, const std::string& aIndent, std::string& aText)
{
  if (const json::object* object = aValue.if_object(); object != nullptr && !object->empty()) {
    aText += "{\n";
    std::size_t left = object->size();
    for (const auto& [name, value] : *object) {
      aText += aIndent + "  " + json::serialize(json::value(name)) + ": ";
      AppendIndented(value, aIndent + "  ", aText);
      aText += --left == 0 ? "\n" : ",\n";
    }
    aText += aIndent + "}";
  } else if (const json::array* array = aValue.if_array(); array != nullptr && !array->empty()) {
    aText += "[\n";
    std::size_t left = array->size();
    for (const json::value& value : *array) {
      aText += aIndent + "  ";
      AppendIndented(value, aIndent + "  ", aText);
      aText += --left == 0 ? "\n" : ",\n";
    }
    aText += aIndent + "]";
  } else {
    aText += json::serialize(aValue);
  }
}

} // namespace

std::string FormatCall(const call_result& aResult)
{
  const query_answer& answer = aResult.mAnswer;
  std::string text = std::string(ToString(answer.mOutcome)) + " from " + aResult.mVm + " at " +
                     aResult.mAddress + " in " + std::to_string(ToMs(aResult.mElapsed)) + " ms, " +
                     std::to_string(aResult.mAttempts) + " attempts\n";
  if (answer.mReason != reason{}) {
    text += "reason: " + Describe(answer.mReason) + "\n";
  }
  if (answer.mOutcome == outcome::Complete || answer.mOutcome == outcome::Partial) {
    text += "version " + std::to_string(answer.mVersion) + ", partition map " +
            std::to_string(answer.mMap) + ", " + std::to_string(answer.mCoverage.mCovered) +
            " of " + std::to_string(answer.mCoverage.mTotal) + " positions, " +
            std::to_string(answer.mRecords.size()) + " records\n";
    for (const coverage_gap& gap : answer.mCoverage.mMissing) {
      text +=
        "missing: pool " + gap.mPool + " shard " + gap.mShard + ": " + Describe(gap.mReason) + "\n";
    }
  }
  if (!aResult.mRequestKey.empty()) {
    text += "request key: " + aResult.mRequestKey + "\n";
  }
  for (const record& each : answer.mRecords) {
    text += each.mId;
    for (const auto& [name, value] : each.mFields) {
      text.append("  ").append(name).append("=").append(value);
    }
    text += "\n";
  }
  return text;
}

std::string CallToJson(const call_result& aResult)
{
  const query_answer& answer = aResult.mAnswer;
  json::array missing;
  for (const coverage_gap& gap : answer.mCoverage.mMissing) {
    missing.push_back(json::object{ { "pool", gap.mPool },
                                    { "shard", gap.mShard },
                                    { "ranges", ToJson(gap.mRanges) },
                                    { "reason", ToJson(gap.mReason) } });
  }
  json::array records;
  for (const record& each : answer.mRecords) {
    records.push_back(ToJson(each));
  }
  return json::serialize(json::object{ { "outcome", ToString(answer.mOutcome) },
                                       { "vm", aResult.mVm },
                                       { "address", aResult.mAddress },
                                       { "attempts", aResult.mAttempts },
                                       { "elapsed_ms", ToMs(aResult.mElapsed) },
                                       { "request_key", aResult.mRequestKey },
                                       { "version", answer.mVersion },
                                       { "map", answer.mMap },
                                       { "coverage",
                                         json::object{ { "covered", answer.mCoverage.mCovered },
                                                       { "total", answer.mCoverage.mTotal },
                                                       { "missing", std::move(missing) } } },
                                       { "records", std::move(records) },
                                       { "reason", ToJson(answer.mReason) } });
}

std::string EntryToJson(const entry_answer& aEntry)
{
  return json::serialize(json::object{ { "vm", aEntry.mVm },
                                       { "address", aEntry.mAddress },
                                       { "lifetime_ms", ToMs(aEntry.mLifetime) },
                                       { "key_prefix", aEntry.mKeyPrefix } });
}

std::string ChecksToJson(const std::vector<std::string>& aErrors,
                         const std::vector<std::string>& aWarnings)
{
  return json::serialize(json::object{ { "ok", aErrors.empty() },
                                       { "errors", json::value_from(aErrors) },
                                       { "warnings", json::value_from(aWarnings) } });
}

std::string ReasonToJson(const reason& aReason)
{
  return json::serialize(json::object{ { "error", ToJson(aReason) } });
}

std::string PrettyJson(const std::string& aBody)
{
  boost::system::error_code error;
  json::value parsed = json::parse(aBody, error);
  if (error) {
    return aBody;
  }
  std::string text;
  AppendIndented(parsed, "", text);
  return text;
}

int ExitCode(outcome aOutcome)
{
  switch (aOutcome) {
    case outcome::Complete:
      return kExitOk;
    case outcome::Partial:
      return kExitDifference;
    case outcome::NotRun:
      return kExitNotRun;
    case outcome::Unknown:
      return kExitUnknown;
    case outcome::Rejected:
      break;
  }
  return kExitBadData;
}

std::string BashCompletion()
{
  return R"(_redwingdockctl() {
  local word=${COMP_WORDS[COMP_CWORD]} before=${COMP_WORDS[COMP_CWORD-1]}
  case $before in
    --settings | --routes | --pools | --vms) COMPREPLY=($(compgen -f -- "$word")); return ;;
    --urgency) COMPREPLY=($(compgen -W 'urgent normal background' -- "$word")); return ;;
  esac
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W 'check entry query coverage view limits explain trace watch drain stop completion --help --version' -- "$word"))
    return
  fi
  case ${COMP_WORDS[1]} in
    check) words='--settings --routes --pools --vms --json' ;;
    entry) words='--daemon --caller --zone --json' ;;
    query) words='--daemon --caller --zone --filter --urgency --deadline --submit --json' ;;
    coverage) words='--daemon --caller --zone --deadline --json' ;;
    view | limits | explain) words='--operator --json' ;;
    trace) words='--log' ;;
    watch) words='--operator --count --json' ;;
    drain | stop) words='--operator --wait --json' ;;
    *) words= ;;
  esac
  COMPREPLY=($(compgen -W "$words" -- "$word"))
}
complete -F _redwingdockctl redwingdockctl
)";
}

} // namespace redwingdock::ctl
