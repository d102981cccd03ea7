#pragma once

#include "endiveusher/standins/target_model.h"
#include "http/standin_service.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace endiveusher::standins {

/// All targets of one process. Each target has its own port and target_endpoint.
class targets_service
{
public:
  targets_service(const std::vector<target_options>& aTargets, time_point aNow);
  ~targets_service();

  std::size_t size() const;
  /// Returns the service that handles the calls of one target:
  /// `POST /v1/exchange`;
  /// `POST /faults` with any of `fails_starts`, `fails_tasks`, `use_factor`, `leaving`, `silent`
  /// and `restart`; omitted ones are reset;
  /// `GET /violations` and `GET /starts`, both over all targets of the process.
  standin_service& endpoint(std::size_t aTarget);

private:
  class target_endpoint;
  struct task_history
  {
    std::set<std::size_t> mRunningOn;
    std::uint32_t mStarts = 0;
    std::uint32_t mFreshStarts = 0;
  };

  /// Records the starts and ends on a target. The caller holds mMutex.
  void collectObservations(std::size_t aTarget, time_point aNow);
  standin_reply violations();
  standin_reply starts();

  std::vector<std::unique_ptr<target_endpoint>> mTargets;
  std::mutex mMutex;
  std::map<task_key, task_history> mTasks;
  std::uint64_t mDoubleRuns = 0;
  std::uint64_t mRepeatedNonIdempotent = 0;
  std::uint64_t mStartsOnLeaving = 0;
};

} // namespace endiveusher::standins
