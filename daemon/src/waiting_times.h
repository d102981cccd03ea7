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
  /// Jobs watched at the same time; the oldest are given up.
  static constexpr std::size_t kJobLimit = 4096;
  /// Jobs of more tasks are not watched.
  static constexpr std::size_t kTaskLimit = 4096;

  void submitted(const job_spec& aJob, time_point aNow);
  /// Calls aRecord with the waiting time of every task that aExchange starts for the first time.
  void starting(const exchange_request& aExchange, time_point aNow,
                const std::function<void(duration)>& aRecord);
  void clear();

private:
  struct job
  {
    time_point mSince;
    std::vector<bool> mStarted;
  };

  std::unordered_map<request_id, job> mJobs;
  std::deque<request_id> mOrder;
};

} // namespace endiveusher::daemon
