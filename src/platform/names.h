#ifndef REDWINGDOCK_PLATFORM_NAMES_H
#define REDWINGDOCK_PLATFORM_NAMES_H

// Names that the users' platform gives to header fields, calls, keys and words. docs/glossary.md
// maps them to the names used elsewhere. Field names of JSON bodies stand in the codecs.

namespace redwingdock::platform {

// Header fields.
inline constexpr char kRequestId[] = "X-Attempt-Id";        // of one attempt of a client
inline constexpr char kTimeLeft[] = "X-Deadline-Remaining"; // milliseconds
inline constexpr char kSignature[] = "X-Response-Stamp";    // of a replica for its reply
inline constexpr char kExpectedReplica[] = "X-Expected-Instance";
inline constexpr char kNotRun[] = "X-Not-Executed"; // present: the replica did not run it
inline constexpr char kPartSignatures[] = "X-Shard-Stamps";
inline constexpr char kMissingParts[] = "X-Missing-Shards";
inline constexpr char kRetryAfter[] = "Retry-After"; // seconds, may have a fraction

// Calls to this daemon.
inline constexpr char kReadinessPath[] = "/readiness";
inline constexpr char kAddressesPath[] = "/resolution";

// The store.
inline constexpr char kRangePath[] = "/kv-range";
inline constexpr char kWatchPath[] = "/kv-watch";
inline constexpr char kAllKeys[] = ""; // a prefix of every key
inline constexpr char kConfigurationKey[] = "op/config";
inline constexpr char kClosedZonePrefix[] = "op/evacuate/"; // then the zone
inline constexpr char kReplicaPrefix[] = "servers/";        // then the id of the replica

} // namespace redwingdock::platform

#endif
