#pragma once

#include "endiveusher/kernel/events.h"
#include "endiveusher/kernel/time.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

namespace endiveusher::daemon {

/// Measures how long tasks wait from the submission of their job to this daemon until the first
/// start order that this daemon sends for them. Tasks that another daemon starts are not measured.
class waiting_times
{
public:
  /// Most jobs tracked at the same time; beyond it the oldest is dropped.
  static constexpr std::size_t kMaxTrackedJobs = 4096;
  /// Jobs with more tasks are not tracked.
  static constexpr std::size_t kMaxTasksPerJob = 4096;

  void recordSubmission(const job_spec& aJob, time_point aNow);
  /// Calls aRecord with the waiting time of every task that aExchange orders to start for the first
  /// time.
  void recordStarts(const exchange_request& aExchange, time_point aNow,
                    const std::function<void(duration)>& aRecord);
  void clear();

private:
  struct job
  {
    time_point mSubmittedAt;
    std::vector<bool> mStarted;
  };

  std::unordered_map<request_id, job> mJobs;
  std::deque<request_id> mSubmissionOrder;
};

} // namespace endiveusher::daemon
