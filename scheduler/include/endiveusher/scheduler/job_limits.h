#pragma once

#include <cstddef>
#include <cstdint>

namespace endiveusher::scheduler {

/// Limits of a job; a larger one takes too much of a daemon's memory.
inline constexpr std::size_t kMaxStepsPerJob = 256;
inline constexpr std::uint32_t kMaxTasksPerStep = 4096;
inline constexpr std::uint32_t kMaxOccurrences = 1'000'000;

} // namespace endiveusher::scheduler
