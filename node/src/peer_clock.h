#pragma once

#include "endiveusher/kernel/time.h"

#include <chrono>

namespace endiveusher::node {

/// Lower bound of another daemon's clock, from a reading that it has sent: when the reading
/// arrived, that clock showed at least its value, and it has advanced with this daemon's clock
/// since.
class peer_clock
{
public:
  peer_clock(std::chrono::milliseconds aReading, time_point aReceived)
    : mReading(aReading), mReceived(aReceived)
  {
  }

  /// Returns the least time that the other clock shows at aNow.
  std::chrono::milliseconds atLeast(time_point aNow) const
  {
    return mReading + std::chrono::duration_cast<std::chrono::milliseconds>(aNow - mReceived);
  }

private:
  std::chrono::milliseconds mReading;
  time_point mReceived;
};

} // namespace endiveusher::node
