#include "core/requests.h"

namespace redwingdock {

shared_records::shared_records(std::vector<record> aRecords)
{
  if (!aRecords.empty()) {
    mRecords = std::make_shared<const std::vector<record>>(std::move(aRecords));
  }
}

const std::vector<record>& shared_records::All() const
{
  static const std::vector<record> kNone;
  return mRecords ? *mRecords : kNone;
}

std::string ToString(const attempt_id& aAttempt)
{
  return aAttempt.mOrigin + "#" + std::to_string(aAttempt.mNumber);
}

const char* ToString(part_failure aFailure)
{
  switch (aFailure) {
    case part_failure::None:
      return "none";
    case part_failure::NotSent:
      return "not sent";
    case part_failure::Shed:
      return "shed";
    case part_failure::Draining:
      return "draining";
    case part_failure::VersionGone:
      return "version gone";
    case part_failure::WrongTarget:
      return "wrong target";
    case part_failure::DeadlinePassed:
      return "deadline passed";
    case part_failure::ConnectionLost:
      return "connection lost";
    case part_failure::Silent:
      return "silent";
    case part_failure::Cancelled:
      return "cancelled";
    case part_failure::Malformed:
      return "malformed";
  }
  return "none";
}

const char* ToString(outcome aOutcome)
{
  switch (aOutcome) {
    case outcome::Complete:
      return "complete";
    case outcome::Partial:
      return "partial";
    case outcome::NotRun:
      return "not_run";
    case outcome::Unknown:
      return "unknown";
    case outcome::Rejected:
      return "rejected";
  }
  return "unknown";
}

} // namespace redwingdock
