#pragma once

#include "endiveusher/kernel/time.h"

#include <time.h>

namespace endiveusher::node {

/// Monotonic clock that includes the time in which the machine is suspended, so that a daemon that
/// resumes knows how long it was suspended.
class boot_clock : public clock
{
public:
  time_point now() const override
  {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec) +
                                                           std::chrono::nanoseconds(time.tv_nsec)));
  }
};

} // namespace endiveusher::node
