#pragma once

#include <chrono>

namespace endiveusher {

/// Time span, microseconds.
using duration = std::chrono::microseconds;

/// Time point of this process's monotonic clock. Must not be compared between machines.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Time point of a target's monotonic clock, milliseconds since that target started. Comparable
/// only with other readings of the same target incarnation.
using target_time = std::chrono::milliseconds;

/// Source of monotonic time. Passed as a dependency, so that tests control the time.
///
/// Usage: `core.handle(event, clock.now());`
class clock
{
public:
  virtual ~clock() = default;
  virtual time_point now() const = 0;
};

} // namespace endiveusher
