// Built-in placement policies.
#include "placement_policy.h"

#include <limits>
#include <random>

namespace endiveusher::internal {

namespace {

/// Returns the fraction of the capacity that stays free after placing aSize, summed over resources.
double leftover(const resources& aSize, const placement_candidate& aCandidate)
{
  double total = 0.0;
  const auto add = [&total](std::int64_t aFree, std::int64_t aSize, std::int64_t aCapacity) {
    if (aCapacity > 0) {
      total += static_cast<double>(aFree - aSize) / static_cast<double>(aCapacity);
    }
  };
  const resources& free = aCandidate.mFreeCapacity;
  const resources& capacity = aCandidate.mCapacity;
  add(free.mSlots, aSize.mSlots, capacity.mSlots);
  add(free.mCpuMilli, aSize.mCpuMilli, capacity.mCpuMilli);
  add(free.mMemoryMb, aSize.mMemoryMb, capacity.mMemoryMb);
  add(free.mAccelerators, aSize.mAccelerators, capacity.mAccelerators);
  return total;
}

/// Cost of a failure ratio of 1. Outweighs any difference in free capacity (at most 4), because a
/// target on which every task fails appears idle.
constexpr double kFailurePenalty = 8.0;

template<typename Cost>
std::size_t cheapest(std::span<const placement_candidate> aCandidates, const Cost& aCost)
{
  std::size_t best = 0;
  double bestCost = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const double cost = aCost(aCandidates[i]) + kFailurePenalty * aCandidates[i].mFailureRatio;
    if (cost < bestCost) {
      best = i;
      bestCost = cost;
    }
  }
  return best;
}

/// Leaves the least free capacity on the chosen target, so that large tasks fit elsewhere later.
class best_fit final : public placement_policy
{
public:
  std::size_t choose(const resources& aSize,
                     std::span<const placement_candidate> aCandidates) override
  {
    return cheapest(aCandidates,
                    [&](const auto& aCandidate) { return leftover(aSize, aCandidate); });
  }
};

/// Chooses the target with the smallest fraction of its slots in use.
class least_outstanding final : public placement_policy
{
public:
  std::size_t choose(const resources&, std::span<const placement_candidate> aCandidates) override
  {
    return cheapest(aCandidates, [](const auto& aCandidate) {
      const resources used = aCandidate.mCapacity - aCandidate.mFreeCapacity;
      return static_cast<double>(used.mSlots) /
             static_cast<double>(std::max<std::int64_t>(1, aCandidate.mCapacity.mSlots));
    });
  }
};

class round_robin final : public placement_policy
{
public:
  std::size_t choose(const resources&, std::span<const placement_candidate> aCandidates) override
  {
    std::size_t chosen = 0;
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      if (aCandidates[i].mIndex > mLast) {
        chosen = i;
        break;
      }
    }
    mLast = aCandidates[chosen].mIndex;
    return chosen;
  }

private:
  std::size_t mLast = std::numeric_limits<std::size_t>::max();
};

class random_choice final : public placement_policy
{
public:
  explicit random_choice(std::uint64_t aSeed) : mRandom(aSeed) {}
  std::size_t choose(const resources&, std::span<const placement_candidate> aCandidates) override
  {
    return mRandom() % aCandidates.size();
  }

private:
  std::mt19937_64 mRandom;
};

const policy_registration kBestFit("best_fit",
                                   [](std::uint64_t) { return std::make_unique<best_fit>(); });
const policy_registration kLeastOutstanding("least_outstanding", [](std::uint64_t) {
  return std::make_unique<least_outstanding>();
});
const policy_registration kRoundRobin("round_robin", [](std::uint64_t) {
  return std::make_unique<round_robin>();
});
const policy_registration kRandom("random", [](std::uint64_t aSeed) {
  return std::make_unique<random_choice>(aSeed);
});

} // namespace

} // namespace endiveusher::internal
