#pragma once

#include "endiveusher/kernel/ids.h"
#include "endiveusher/kernel/time.h"

#include <cstdint>
#include <random>
#include <unordered_map>

namespace endiveusher::internal {

/// Returns the delay before try number aFailures + 1: aBase × 2^(aFailures - 1), at most aLargest.
/// The upper half of it is random, so that tasks that failed together are not retried together.
duration backOff(std::uint32_t aFailures, duration aBase, duration aLargest,
                 std::mt19937_64& aRandom);

/// Token bucket per team: limits the retries of failed attempts to 20% of first attempts, apart
/// from the constants below.
class retry_budget
{
public:
  static constexpr double kTokensPerFirstAttempt = 0.2;
  /// Retries that a team may make before it has made any first attempt.
  static constexpr double kInitialTokens = 10.0;
  static constexpr double kMaxTokens = 100.0;
  /// Additional refill, so that the last tasks of a team with few first attempts are retried.
  static constexpr double kTokensPerSecond = 1.0;

  void countFirstAttempt(const team_name& aTeam, time_point aNow);
  /// Takes one token. Returns false if there is none, so that the team may not retry now.
  bool take(const team_name& aTeam, time_point aNow);

private:
  struct bucket
  {
    double mTokens = kInitialTokens;
    time_point mFilledAt{};
  };
  bucket& refilled(const team_name& aTeam, time_point aNow);

  std::unordered_map<team_name, bucket> mBuckets;
};

} // namespace endiveusher::internal
