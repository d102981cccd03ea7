#pragma once

#include "endiveusher/kernel/ids.h"
#include "endiveusher/kernel/time.h"

#include <cstdint>
#include <random>
#include <unordered_map>

namespace endiveusher::internal {

/// Time before try number aFailures + 1: base × 2^(failures - 1) up to aLargest, of which the upper
/// half is random, so that tasks that failed together are not retried together.
duration backOff(std::uint32_t aFailures, duration aBase, duration aLargest,
                 std::mt19937_64& aRandom);

/// Retries of failed attempts, per team: at most 20% of first attempts.
class retry_budget
{
public:
  static constexpr double kRatio = 0.2;
  /// A team with little work can retry this often without any earlier first attempts.
  static constexpr double kInitial = 10.0;
  static constexpr double kLargest = 100.0;
  /// Tokens per second on top, so that a small team's last tasks come to an end.
  static constexpr double kTrickle = 1.0;

  void countFirst(const team_name& aTeam, time_point aNow);
  /// True, and one retry less, if the team may retry now.
  bool take(const team_name& aTeam, time_point aNow);

private:
  struct bucket
  {
    double mTokens = kInitial;
    time_point mFilledAt{};
  };
  bucket& refilled(const team_name& aTeam, time_point aNow);

  std::unordered_map<team_name, bucket> mBuckets;
};

} // namespace endiveusher::internal
