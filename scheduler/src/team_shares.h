#pragma once

#include "endiveusher/kernel/time.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace endiveusher::scheduler::internal {

/// Mean of the present dominant shares per weight of the teams that wait or run.
class mean_share
{
public:
  void add(double aSharePerWeight)
  {
    mSum += aSharePerWeight;
    ++mTeams;
  }
  /// Returns the share over the mean; 1 if nothing is in use.
  double ratio(double aSharePerWeight) const
  {
    return mSum <= 0 ? 1 : aSharePerWeight * mTeams / mSum;
  }

private:
  double mSum = 0;
  int mTeams = 0;
};

/// Delay of the latest start for each doubling of the ratio to the mean, and its limit, which is
/// reached at a ratio of 16. Neither comes from a measurement.
inline constexpr std::chrono::milliseconds kDelayPerDoubling{ 500 };
inline constexpr std::chrono::milliseconds kMaxShareDelay{ 2000 };
/// A step is delayed by at most one part in this many of its slack.
inline constexpr int kShareDelaySlackParts = 4;

/// Position of a team among the others in the order of waiting steps, by its use.
struct share_position
{
  /// Most by which the latest starts of its steps are moved back in the order.
  duration mDelay{ 0 };
  /// Powers of two by which its use is above the mean, rounded; 0 for a team below it.
  int mClass = 0;

  /// Returns the delay of a step with this slack.
  duration delayFor(duration aSlack) const
  {
    return std::clamp(aSlack / kShareDelaySlackParts, duration{ 0 }, mDelay);
  }
};

/// Returns the position of a team.
/// @param aRatio use per weight over the mean
inline share_position sharePosition(double aRatio)
{
  if (!(aRatio > 1)) {
    return {};
  }
  // The class is bounded as the delay is: four doublings.
  const double doublings =
    std::min<double>(std::log2(aRatio), static_cast<double>(kMaxShareDelay / kDelayPerDoubling));
  return { .mDelay = std::chrono::duration_cast<duration>(doublings * kDelayPerDoubling),
           .mClass = static_cast<int>(std::lround(doublings)) };
}

} // namespace endiveusher::scheduler::internal
