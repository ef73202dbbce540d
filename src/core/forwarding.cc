#include "core/forwarding.h"

namespace redwingdock {

const char* ToString(attempt_end aEnd)
{
  switch (aEnd) {
    case attempt_end::Answered:
      return "answered";
    case attempt_end::Ambiguous:
      return "ambiguous";
    case attempt_end::Rejected:
      return "rejected";
    case attempt_end::Misplaced:
      return "misplaced";
    case attempt_end::NotSent:
      return "not_sent";
    case attempt_end::Lost:
      return "lost";
    case attempt_end::Expired:
      return "expired";
  }
  return "unknown";
}

bool MayHaveRun(attempt_end aEnd)
{
  switch (aEnd) {
    case attempt_end::Answered:
    case attempt_end::Ambiguous:
    case attempt_end::Lost:
    case attempt_end::Expired:
      return true;
    case attempt_end::Rejected:
    case attempt_end::Misplaced:
    case attempt_end::NotSent:
      return false;
  }
  return true;
}

const char* ToString(replica_status aStatus)
{
  switch (aStatus) {
    case replica_status::Running:
      return "running";
    case replica_status::Ended:
      return "ended";
    case replica_status::Unknown:
      return "unknown";
  }
  return "unknown";
}

const char* ToString(answer_kind aKind)
{
  switch (aKind) {
    case answer_kind::Relayed:
      return "relayed";
    case answer_kind::Gathered:
      return "gathered";
    case answer_kind::NotRun:
      return "not_run";
    case answer_kind::NoRoute:
      return "no_route";
    case answer_kind::Failed:
      return "failed";
    case answer_kind::TimedOut:
      return "timed_out";
  }
  return "unknown";
}

} // namespace redwingdock
