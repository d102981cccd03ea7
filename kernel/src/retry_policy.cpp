#include "retry_policy.h"

#include "endiveusher/kernel/back_off.h"

#include <algorithm>

namespace endiveusher::internal {

duration backOff(std::uint32_t aFailures, duration aBase, duration aLargest,
                 std::mt19937_64& aRandom)
{
  const auto whole = doubled(aBase, aFailures == 0 ? 0 : aFailures - 1, aLargest);
  std::uniform_int_distribution<duration::rep> jitter(0, whole.count() / 2);
  return whole / 2 + duration(jitter(aRandom));
}

retry_budget::bucket& retry_budget::refilled(const team_name& aTeam, time_point aNow)
{
  const auto [entry, isNew] = mBuckets.try_emplace(aTeam);
  auto& bucket = entry->second;
  if (!isNew) {
    const std::chrono::duration<double> passed = aNow - bucket.mFilledAt;
    bucket.mTokens = std::min(kMaxTokens, bucket.mTokens + kTokensPerSecond * passed.count());
  }
  bucket.mFilledAt = aNow;
  return bucket;
}

void retry_budget::countFirstAttempt(const team_name& aTeam, time_point aNow)
{
  auto& bucket = refilled(aTeam, aNow);
  bucket.mTokens = std::min(kMaxTokens, bucket.mTokens + kTokensPerFirstAttempt);
}

bool retry_budget::take(const team_name& aTeam, time_point aNow)
{
  auto& bucket = refilled(aTeam, aNow);
  if (bucket.mTokens < 1.0) {
    return false;
  }
  bucket.mTokens -= 1.0;
  return true;
}

} // namespace endiveusher::internal
