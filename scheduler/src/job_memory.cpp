#include "job_memory.h"

#include <numeric>

namespace endiveusher::scheduler::internal {

namespace {

/// Place of a job or an occurrence in its map, and of a range of dropped occurrences.
constexpr std::size_t kMapNodeBytes = 64;
/// Entry of a step in the owner's queue, with the advice for it.
constexpr std::size_t kQueueEntryBytes = 1024;
/// A task that waits has an index in the owner's queue, one that is done a byte in its step.
constexpr std::size_t kClaimPerTask = sizeof(std::uint32_t) + 1;

} // namespace

std::size_t bytesOf(const job_spec& aSpec)
{
  auto bytes =
    sizeof(job) + kMapNodeBytes + aSpec.mRoute.size() + aSpec.mTeam.size() + aSpec.mPayload.size();
  for (const auto& step : aSpec.mSteps) {
    bytes += sizeof(step) + step.mAfter.size() * sizeof(std::uint32_t) +
             step.mRequiredLabel.size() + step.mDataRack.size();
  }
  return bytes;
}

std::size_t claimOfOccurrence(const job_spec& aSpec)
{
  auto bytes = kMapNodeBytes;
  for (const auto& step : aSpec.mSteps) {
    bytes += sizeof(step_state) + kQueueEntryBytes + step.mCount * kClaimPerTask;
  }
  return bytes;
}

std::size_t bytesOfFullState(const step_state& aStep, std::uint32_t aTask)
{
  const auto found = aStep.mTasks.full().find(aTask);
  return found == aStep.mTasks.full().end()
           ? 0
           : task_states::kFullStateBytes + found->second.mCheckpoint.size();
}

std::size_t bytesOfFullStates(const step_state& aStep)
{
  const auto checkpoints = std::accumulate(
    aStep.mTasks.full().begin(), aStep.mTasks.full().end(), aStep.mGangCheckpoint.size(),
    [](std::size_t aSum, const auto& aOne) { return aSum + aOne.second.mCheckpoint.size(); });
  return aStep.mTasks.full().size() * task_states::kFullStateBytes + checkpoints;
}

std::size_t bytesOf(const job& aJob)
{
  auto bytes = bytesOf(aJob.mSpec) + aJob.mDropped.ranges().size() * kMapNodeBytes;
  const bool isActive = aJob.mPhase == job_phase::active;
  for (const auto& [occurrence, steps] : aJob.mOccurrences) {
    bytes += isActive ? claimOfOccurrence(aJob.mSpec) : kMapNodeBytes;
    for (const auto& step : steps) {
      bytes += bytesOfFullStates(step);
      bytes += isActive ? 0 : sizeof(step) + step.mTasks.reduced().size();
    }
  }
  return bytes;
}

std::size_t claimOf(const job_spec& aSpec)
{
  return bytesOf(aSpec) + claimOfOccurrence(aSpec);
}

} // namespace endiveusher::scheduler::internal
