#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/job.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <iterator>
#include <utility>
#include <vector>

namespace endiveusher::node {

/// Answers about jobs whose end is being stored. Load pattern: callers ask for a job soon after its
/// last task has ended; the answer waits for the append, which takes some milliseconds, so that
/// they need not ask again. Not thread-safe.
class end_waiters
{
public:
  using answer = std::function<void()>;
  /// Longest wait. While the store is slow, callers are then told that the job runs.
  static constexpr std::chrono::milliseconds kMaxWait{ 100 };

  void add(scheduler::job_id aJob, answer aAnswer, time_point aNow)
  {
    mWaiting.push_back({ .mJob = aJob, .mAnswer = std::move(aAnswer), .mUntil = aNow + kMaxWait });
  }

  /// Runs the answers that have waited for kMaxWait, and those for whose job aIsStored(job) is
  /// true.
  template<typename IsStored>
  void tick(time_point aNow, const IsStored& aIsStored)
  {
    const auto due = std::ranges::stable_partition(
      mWaiting, [&](const waiter& aOne) { return aOne.mUntil > aNow && !aIsStored(aOne.mJob); });
    std::vector<waiter> ready{ std::move_iterator(due.begin()), std::move_iterator(due.end()) };
    mWaiting.erase(due.begin(), due.end());
    for (const auto& one : ready) {
      one.mAnswer();
    }
  }

  void answerAll()
  {
    for (const auto& one : std::exchange(mWaiting, {})) {
      one.mAnswer();
    }
  }

private:
  struct waiter
  {
    scheduler::job_id mJob{};
    answer mAnswer;
    time_point mUntil;
  };

  std::vector<waiter> mWaiting;
};

} // namespace endiveusher::node
