#ifndef REDWINGDOCK_BASE_HASH_H
#define REDWINGDOCK_BASE_HASH_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// Hashes that are equal on every daemon (xxhash64, seed 0), and rendezvous ranking.
//
//   std::vector<std::string> order = RankByWeight("server-7/0", vmNames);

namespace redwingdock {

// Number of record positions that partition maps divide among shards.
inline constexpr std::uint32_t kPositions = 4096;

std::uint64_t Hash(std::string_view aText);

// Weight of a candidate for a key in rendezvous hashing; the highest weight wins.
std::uint64_t RendezvousWeight(std::string_view aKey, std::string_view aCandidate);

// Candidates by falling rendezvous weight for the key; ties by name.
std::vector<std::string> RankByWeight(std::string_view aKey, std::vector<std::string> aCandidates);

// Position of a record in [0, kPositions), from its id.
std::uint32_t PositionOf(std::string_view aRecordId);

} // namespace redwingdock

#endif
