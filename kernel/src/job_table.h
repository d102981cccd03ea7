#pragma once

#include "coordinated_job.h"

#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endiveusher::internal {

/// Jobs of one coordinator. Ended jobs are kept for kKeepEnded, at most kMaxEnded of them.
class job_table
{
public:
  static constexpr duration kKeepEnded = std::chrono::minutes(10);
  static constexpr std::size_t kMaxEnded = 20'000;
  static constexpr std::size_t kMaxOutputBytes = 4096;

  coordinated_job* find(const request_id& aRequest);
  const coordinated_job* find(const request_id& aRequest) const;
  /// Adds a job; all its tasks are waiting.
  coordinated_job& add(const job_spec& aSpec, std::uint64_t aDigest, time_point aNow);

  /// Moves a task to an ended state. Returns whether it was the last open task of its job.
  bool endTask(coordinated_job& aJob, std::uint32_t aIndex, task_state aState, time_point aNow);

  void evict(time_point aNow);

  std::size_t unfinished() const { return mUnfinished; }
  std::size_t size() const { return mJobs.size(); }
  void forEach(const std::function<void(coordinated_job&)>& aVisit);
  void clear();

  static job_status status(const coordinated_job& aJob);
  static ended_record summary(const coordinated_job& aJob);
  /// Returns the state as JSON, for the state dump.
  std::string dump() const;

private:
  std::unordered_map<request_id, coordinated_job> mJobs;
  std::deque<std::pair<time_point, request_id>> mEnded;
  std::size_t mUnfinished = 0;
};

/// Returns the last job_table::kMaxOutputBytes bytes of aOutput.
std::string boundedOutput(std::string_view aOutput);

} // namespace endiveusher::internal
