#ifndef REDWINGDOCK_BASE_HASH_H
#define REDWINGDOCK_BASE_HASH_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// Hashes that are the same on every daemon (XXH64, seed 0), and rendezvous hashing.
//
//   std::vector<std::string> order = RankByWeight("server-7/0", vmNames);

namespace redwingdock {

// Number of hash positions of records, which partition maps divide among shards.
inline constexpr std::uint32_t kPositions = 4096;

std::uint64_t Hash(std::string_view aText);

// Returns the weight of a candidate for a key in rendezvous hashing; the highest weight wins.
std::uint64_t RendezvousWeight(std::string_view aKey, std::string_view aCandidate);

// Sorts the candidates by falling rendezvous weight for the key, candidates of equal weight by
// name.
std::vector<std::string> RankByWeight(std::string_view aKey, std::vector<std::string> aCandidates);

// Returns the position of a record, in [0, kPositions), from the hash of its id.
std::uint32_t PositionOf(std::string_view aRecordId);

} // namespace redwingdock

#endif
