#include "relay_set.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

namespace endiveusher::node {

namespace {

/// Number of targets for each core of a relay, which also serves callers and follows the journal.
constexpr double kRelayedTargetsPerCore = 360;
/// Time for which a relay that did not answer gets no orders.
constexpr std::chrono::seconds kExclusion{ 3 };

/// Returns a value that ranks the relays of a target. A relay that joins or leaves changes only the
/// targets for which it has the highest value.
std::uint64_t rank(std::string_view aRelay, std::string_view aTarget)
{
  return XXH3_64bits_withSeed(aTarget.data(), aTarget.size(),
                              XXH3_64bits(aRelay.data(), aRelay.size()));
}

} // namespace

void relay_set::set(std::size_t aTargets, std::vector<relay_candidate> aCandidates, time_point aNow)
{
  std::erase_if(mExcludedUntil, [aNow](const auto& aOne) { return aOne.second <= aNow; });
  std::erase_if(aCandidates, [this](const relay_candidate& aOne) {
    return mExcludedUntil.contains(aOne.mAddress);
  });
  const auto targets = static_cast<double>(aTargets);
  // Relays that are usable are kept; the largest of the others are added.
  std::erase_if(mChosen, [&aCandidates](const relay_candidate& aOne) {
    return std::ranges::find(aCandidates, aOne.mAddress, &relay_candidate::mAddress) ==
           aCandidates.end();
  });
  std::ranges::sort(aCandidates, {}, [](const relay_candidate& aOne) {
    return std::pair(-aOne.mCores, std::string_view(aOne.mAddress));
  });
  double cores = 0;
  for (const auto& chosen : mChosen) {
    cores += chosen.mCores;
  }
  for (auto& candidate : aCandidates) {
    if (kRelayedTargetsPerCore * cores >= targets) {
      break;
    }
    if (std::ranges::find(mChosen, candidate.mAddress, &relay_candidate::mAddress) ==
        mChosen.end()) {
      cores += candidate.mCores;
      mChosen.push_back(std::move(candidate));
    }
  }
}

void relay_set::exclude(const std::string& aRelay, time_point aNow)
{
  mExcludedUntil[aRelay] = aNow + kExclusion;
  std::erase_if(mChosen, [&](const relay_candidate& aOne) { return aOne.mAddress == aRelay; });
}

void relay_set::clear()
{
  mChosen.clear();
  mExcludedUntil.clear();
}

const std::string* relay_set::relayOf(std::string_view aTarget) const
{
  const auto best = std::ranges::max_element(
    mChosen, {}, [aTarget](const relay_candidate& aOne) { return rank(aOne.mAddress, aTarget); });
  return best == mChosen.end() ? nullptr : &best->mAddress;
}

} // namespace endiveusher::node
