#ifndef REDWINGDOCK_PLATFORM_PROTOCOL_NAMES_H
#define REDWINGDOCK_PLATFORM_PROTOCOL_NAMES_H

// HTTP header fields, paths and store keys of the users' platform. docs/glossary.md maps them to
// the terms of this project. The codecs hold the field names of JSON bodies.

namespace redwingdock::platform {

// Header fields.
inline constexpr char kAttemptIdHeader[] = "X-Attempt-Id"; // identifies one attempt of a client
inline constexpr char kDeadlineRemainingHeader[] = "X-Deadline-Remaining"; // milliseconds
// Signature of a replica over its reply.
inline constexpr char kResponseStampHeader[] = "X-Response-Stamp";
inline constexpr char kExpectedInstanceHeader[] = "X-Expected-Instance";
// Id of the replica that replies.
inline constexpr char kInstanceHeader[] = "X-Instance";
// If present, the replica did not run the request.
inline constexpr char kNotExecutedHeader[] = "X-Not-Executed";
inline constexpr char kShardStampsHeader[] = "X-Shard-Stamps";
inline constexpr char kMissingShardsHeader[] = "X-Missing-Shards";
inline constexpr char kRetryAfterHeader[] = "Retry-After"; // seconds, may be fractional
// If "1", the replica is about to end and takes no new requests.
inline constexpr char kServerLeavingHeader[] = "Server-Leaving";
// Era of the store's history, in each of its answers; increases by one when it returns from a copy.
inline constexpr char kStoreEraHeader[] = "Store-Era";

// Paths that this daemon serves.
inline constexpr char kReadinessPath[] = "/readiness";
inline constexpr char kResolutionPath[] = "/resolution";

// Paths and keys of the store.
inline constexpr char kRangePath[] = "/kv-range";
inline constexpr char kWatchPath[] = "/kv-watch";
inline constexpr char kAllKeysPrefix[] = ""; // the empty prefix matches every key
inline constexpr char kConfigurationKey[] = "op/config";
inline constexpr char kClosedZonePrefix[] = "op/evacuate/"; // followed by the zone
inline constexpr char kReplicaPrefix[] = "servers/";        // followed by the id of the replica

} // namespace redwingdock::platform

#endif
