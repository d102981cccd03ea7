#pragma once

#include "endiveusher/kernel/time.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace endiveusher::internal {

/// Tracks recent failures of one target and its ejection after repeated failures.
class target_health
{
public:
  static constexpr std::uint32_t kFailuresToEject = 3;
  static constexpr duration kFirstEjection = std::chrono::seconds(5);
  static constexpr duration kLongestEjection = std::chrono::minutes(5);

  void succeeded(time_point aNow)
  {
    addSample(0.0, aNow);
    mConsecutive = 0;
    mEjections = 0;
    mEjected = false;
    mProbing = false;
  }
  /// Records a failure. Returns whether the target should be ejected now.
  bool failed(time_point aNow)
  {
    addSample(1.0, aNow);
    ++mConsecutive;
    const bool probeFailed = mProbing;
    mProbing = false;
    return probeFailed || (!mEjected && mConsecutive >= kFailuresToEject);
  }
  /// Ejects the target. aJitter in [0, 1) lengthens the ejection by up to a quarter.
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
  /// Whether a task may start: the target is not ejected, or the ejection has passed and the task
  /// is its single probe.
  bool admits(time_point aNow) const { return !mEjected || (aNow >= mUntil && !mProbing); }
  bool ejected() const { return mEjected; }
  /// Records a start; the task is the probe if the target is ejected.
  void started() { mProbing = mProbing || mEjected; }
  /// Records that a start ended with neither success nor failure of the target.
  void startInconclusive() { mProbing = false; }
  /// Returns the exponentially weighted share of recent starts that failed, in [0, 1]. Decays with
  /// time, because a target that is avoided has no starts that could lower it.
  double failureRatio(time_point aNow) const
  {
    if (mFailureRatio <= 0.0) {
      return 0.0;
    }
    using seconds = std::chrono::duration<double>;
    return mFailureRatio * std::exp2(-seconds(aNow - mSampledAt) / seconds(kHalfLife));
  }

private:
  /// Weight of the latest start; the last ten or so starts dominate the ratio.
  static constexpr double kSampleWeight = 0.1;
  static constexpr duration kHalfLife = std::chrono::seconds(30);

  void addSample(double aFailed, time_point aNow)
  {
    mFailureRatio = failureRatio(aNow) * (1.0 - kSampleWeight) + kSampleWeight * aFailed;
    mSampledAt = aNow;
  }

  time_point mSampledAt{};
  double mFailureRatio = 0.0;
  std::uint32_t mConsecutive = 0;
  std::uint32_t mEjections = 0;
  bool mEjected = false;
  bool mProbing = false;
  time_point mUntil{};
};

} // namespace endiveusher::internal
