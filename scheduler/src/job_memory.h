#pragma once

#include "endiveusher/scheduler/job.h"

#include <cstddef>
#include <cstdint>

namespace endiveusher::scheduler::internal {

/// Returns the bytes that a specification takes, with its place in the table of jobs.
std::size_t bytesOf(const job_spec& aSpec);

/// Returns what an occurrence takes at most, in the table and in the owner's queue, apart from the
/// states that are held in full. These are few: those of tasks between their first start and their
/// end, of which the capacity of the targets permits so many.
std::size_t claimOfOccurrence(const job_spec& aSpec);

/// Returns the bytes of the state of a task that is held in full, its checkpoint included; 0 for
/// any other.
std::size_t bytesOfFullState(const step_state& aStep, std::uint32_t aTask);
/// Returns the same for all tasks and the checkpoint of a gang.
std::size_t bytesOfFullStates(const step_state& aStep);

/// Returns what the job counts in the table: while it is active, its specification, the claims of
/// its open occurrences and their full states; once it has ended, what is left of it.
std::size_t bytesOf(const job& aJob);

/// Returns what a job counts when it is submitted.
std::size_t claimOf(const job_spec& aSpec);

} // namespace endiveusher::scheduler::internal
