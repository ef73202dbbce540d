#include "forward/crash_record.h"

namespace redwingdock {

std::string CrashKey(std::uint64_t aFingerprint)
{
  return "crash/" + std::to_string(aFingerprint);
}

crash_record WithLostReplica(const crash_record& aRecord,
                             const std::string& aReplica,
                             std::int64_t aBornMs,
                             instant aNow)
{
  crash_record next = aRecord;
  next.mLostReplicas[aReplica] = aBornMs;
  next.mUntil = aNow + kCrashRecordTtl;
  return next;
}

} // namespace redwingdock
