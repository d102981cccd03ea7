#pragma once

#include <chrono>

namespace endiveusher {

/// A span of time, microseconds.
using duration = std::chrono::microseconds;

/// A point on this process's monotonic clock. Never compared between machines.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A point on one target's own monotonic clock, milliseconds since that target started.
/// Only compared with other readings of the same target incarnation.
using target_time = std::chrono::milliseconds;

/// Source of monotonic time. Passed in, so that tests choose the time.
///
/// Usage: `core.handle(event, clock.now());`
class clock
{
public:
  virtual ~clock() = default;
  virtual time_point now() const = 0;
};

} // namespace endiveusher
