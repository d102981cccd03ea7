#pragma once

#include "owner_fixture.h"

#include <set>

namespace endiveusher::scheduler::testing {

/// Measures how long jobs have nothing running while at least half of the cell is free and there is
/// capacity for them twice over.
class starvation_meter
{
public:
  explicit starvation_meter(const owner_fixture& aCell) : mCell(aCell) {}

  void sample()
  {
    resources used;
    resources total;
    std::set<job_id> running;
    std::vector<std::pair<const fake_target*, resources>> free;
    for (const auto& [id, target] : mCell.targets()) {
      const auto here = target.used(mCell.mJobTable);
      used += here;
      total += target.mEntry.mCapacity;
      free.emplace_back(&target, target.mEntry.mCapacity - here);
      for (const auto& [task, run] : target.mRunning) {
        running.insert(task.mStep.mJob);
      }
    }
    mUsedCpu = used.mCpuMilli;
    const bool halfFree =
      2 * used.mCpuMilli < total.mCpuMilli && 2 * used.mMemoryMb < total.mMemoryMb;
    std::set<job_id> starving;
    for (const auto id : mCell.submitted()) {
      const auto& job = mCell.find(id);
      if (halfFree && job.mPhase == job_phase::active && !running.contains(id) &&
          fitsTwice(job, free)) {
        starving.insert(id);
      }
    }
    std::erase_if(mSince, [&starving](const auto& aOne) { return !starving.contains(aOne.first); });
    for (const auto id : starving) {
      const auto since = mSince.try_emplace(id, mCell.mNow).first->second;
      if (mCell.mNow - since > mLongest) {
        mLongest = mCell.mNow - since;
        mWorst = id;
      }
    }
  }
  milliseconds longest() const { return std::chrono::duration_cast<milliseconds>(mLongest); }
  job_id worst() const { return mWorst; }
  std::int64_t mUsedCpu = 0;

private:
  /// Whether the first unfinished step of the job fits twice on the targets that are good for it.
  bool fitsTwice(const job& aJob,
                 const std::vector<std::pair<const fake_target*, resources>>& aFree) const
  {
    step_key key{ .mJob = aJob.mSpec.mId };
    while (aJob.find(key)->complete()) {
      ++key.mStep;
    }
    const auto& spec = aJob.mSpec.mSteps[key.mStep];
    std::int64_t slots = 0;
    for (const auto& [target, free] : aFree) {
      if (mCell.mAdviceService->good(aJob.mSpec.mRoute, key, target->mEntry.mId)) {
        slots +=
          std::min(free.mCpuMilli / spec.mNeeds.mCpuMilli, free.mMemoryMb / spec.mNeeds.mMemoryMb);
      }
    }
    return slots >= 2 * static_cast<std::int64_t>(spec.mCount);
  }

  const owner_fixture& mCell;
  std::map<job_id, time_point> mSince;
  duration mLongest{ 0 };
  job_id mWorst{};
};

} // namespace endiveusher::scheduler::testing
