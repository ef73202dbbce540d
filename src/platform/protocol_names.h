#ifndef REDWINGDOCK_PLATFORM_PROTOCOL_NAMES_H
#define REDWINGDOCK_PLATFORM_PROTOCOL_NAMES_H

// HTTP header fields, paths and store keys of the users' platform. docs/glossary.md maps them to
// the terms of this project. The codecs hold the field names of JSON bodies.

namespace redwingdock::platform {

// Header fields.
inline constexpr char kRequestId[] = "X-Attempt-Id";        // identifies one attempt of a client
inline constexpr char kTimeLeft[] = "X-Deadline-Remaining"; // milliseconds
inline constexpr char kSignature[] = "X-Response-Stamp";    // signature of a replica over its reply
inline constexpr char kExpectedReplica[] = "X-Expected-Instance";
inline constexpr char kNotRun[] =
  "X-Not-Executed"; // if present, the replica did not run the request
inline constexpr char kPartSignatures[] = "X-Shard-Stamps";
inline constexpr char kMissingParts[] = "X-Missing-Shards";
inline constexpr char kRetryAfter[] = "Retry-After"; // seconds, may be fractional

// Paths that this daemon serves.
inline constexpr char kReadinessPath[] = "/readiness";
inline constexpr char kAddressesPath[] = "/resolution";

// Paths and keys of the store.
inline constexpr char kRangePath[] = "/kv-range";
inline constexpr char kWatchPath[] = "/kv-watch";
inline constexpr char kAllKeys[] = ""; // the empty prefix matches every key
inline constexpr char kConfigurationKey[] = "op/config";
inline constexpr char kClosedZonePrefix[] = "op/evacuate/"; // followed by the zone
inline constexpr char kReplicaPrefix[] = "servers/";        // followed by the id of the replica

} // namespace redwingdock::platform

#endif
