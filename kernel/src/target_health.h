#pragma once

#include "endiveusher/kernel/time.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace endiveusher::internal {

/// Recent failures of one target, and its ejection when it fails repeatedly.
class target_health
{
public:
  static constexpr std::uint32_t kFailuresToEject = 3;
  static constexpr duration kFirstEjection = std::chrono::seconds(5);
  static constexpr duration kLongestEjection = std::chrono::minutes(5);

  void succeeded(time_point aNow)
  {
    weigh(0.0, aNow);
    mConsecutive = 0;
    mEjections = 0;
    mEjected = false;
    mProbing = false;
  }
  /// Returns true if the target should be ejected now.
  bool failed(time_point aNow)
  {
    weigh(1.0, aNow);
    ++mConsecutive;
    const bool probeFailed = mProbing;
    mProbing = false;
    return probeFailed || (!mEjected && mConsecutive >= kFailuresToEject);
  }
  /// aJitter in [0, 1) lengthens the ejection by up to a quarter.
  void eject(time_point aNow, double aJitter)
  {
    const std::uint32_t doublings = std::min<std::uint32_t>(mEjections, 6);
    const duration span = std::min(kFirstEjection * (1U << doublings), kLongestEjection);
    ++mEjections;
    mEjected = true;
    mProbing = false;
    mUntil = aNow + span +
             duration(static_cast<duration::rep>(static_cast<double>(span.count()) * aJitter / 4));
  }
  /// Whether a task may start: not ejected, or as the one probe after the ejection.
  bool admits(time_point aNow) const { return !mEjected || (aNow >= mUntil && !mProbing); }
  bool ejected() const { return mEjected; }
  /// A task was started; it is the probe if the target was ejected.
  void started() { mProbing = mProbing || mEjected; }
  /// The start ended without telling anything about the target.
  void startVoid() { mProbing = false; }
  /// Exponentially weighted share of recent starts that failed. Fades with time, because a target
  /// that is avoided has no starts that could lower it.
  double failureRatio(time_point aNow) const
  {
    if (mFailureRatio <= 0.0) {
      return 0.0;
    }
    using seconds = std::chrono::duration<double>;
    return mFailureRatio * std::exp2(-seconds(aNow - mWeighed) / seconds(kHalfLife));
  }

private:
  /// The last ten or so starts dominate the ratio.
  static constexpr double kWeight = 0.1;
  static constexpr duration kHalfLife = std::chrono::seconds(30);

  void weigh(double aFailed, time_point aNow)
  {
    mFailureRatio = failureRatio(aNow) * (1.0 - kWeight) + kWeight * aFailed;
    mWeighed = aNow;
  }

  time_point mWeighed{};
  double mFailureRatio = 0.0;
  std::uint32_t mConsecutive = 0;
  std::uint32_t mEjections = 0;
  bool mEjected = false;
  bool mProbing = false;
  time_point mUntil{};
};

} // namespace endiveusher::internal
