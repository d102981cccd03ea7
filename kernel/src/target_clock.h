#pragma once

#include "endiveusher/kernel/time.h"

#include <chrono>

namespace endiveusher::internal {

/// Converts local times to bounds on one target's clock, from the clock reading in its last answer.
/// The reading was taken at an unknown time between sending and receiving.
class target_clock
{
public:
  explicit target_clock(double aDrift = 0.01) : mDrift(aDrift) {}

  void read(target_time aReading, time_point aSent, time_point aReceived)
  {
    mReading = aReading;
    mSent = aSent;
    mReceived = aReceived;
    mKnown = true;
  }
  bool known() const { return mKnown; }
  target_time reading() const { return mReading; }

  /// Returns the smallest value that the target's clock can have at aLocal.
  target_time earliest(time_point aLocal) const
  {
    const duration passed = aLocal - mReceived;
    return mReading + scaled(passed, passed.count() >= 0 ? 1.0 - mDrift : 1.0 + mDrift);
  }
  /// Returns the largest value that the target's clock can have at aLocal.
  target_time latest(time_point aLocal) const
  {
    const duration passed = aLocal - mSent;
    return mReading + scaled(passed, passed.count() >= 0 ? 1.0 + mDrift : 1.0 - mDrift) +
           target_time(1);
  }

private:
  static target_time scaled(duration aSpan, double aFactor)
  {
    return std::chrono::floor<target_time>(
      duration(static_cast<duration::rep>(static_cast<double>(aSpan.count()) * aFactor)));
  }

  double mDrift;
  bool mKnown = false;
  target_time mReading{ 0 };
  time_point mSent{};
  time_point mReceived{};
};

} // namespace endiveusher::internal
