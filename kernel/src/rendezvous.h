#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace endiveusher::internal {

/// Returns the weight of aCandidate for aKey; equal on all machines.
inline std::uint64_t rendezvousWeight(std::string_view aKey, std::string_view aCandidate)
{
  const std::uint64_t seed = XXH3_64bits(aKey.data(), aKey.size());
  return XXH3_64bits_withSeed(aCandidate.data(), aCandidate.size(), seed);
}

/// Returns the candidate with the highest weight for aKey; empty if there are no candidates.
///
/// Usage: `auto owner = rendezvousPick(target, liveMembers);`
template<typename Candidates>
std::string rendezvousPick(std::string_view aKey, const Candidates& aCandidates)
{
  std::string best;
  std::uint64_t bestWeight = 0;
  for (const std::string& candidate : aCandidates) {
    const std::uint64_t weight = rendezvousWeight(aKey, candidate);
    if (best.empty() || weight > bestWeight) {
      best = candidate;
      bestWeight = weight;
    }
  }
  return best;
}

} // namespace endiveusher::internal
