#pragma once

#include <cstddef>
#include <cstdint>

namespace endiveusher::scheduler {

/// Limits of a job; a larger one takes too much of a daemon's memory.
inline constexpr std::size_t kMaxStepsPerJob = 256;
inline constexpr std::uint32_t kMaxTasksPerStep = 4096;
inline constexpr std::uint32_t kMaxOccurrences = 1'000'000;

/// Largest checkpoint of a task, in bytes. The record of the end of a run has to be one that the
/// store takes.
inline constexpr std::size_t kMaxCheckpointBytes = 4096;

} // namespace endiveusher::scheduler
