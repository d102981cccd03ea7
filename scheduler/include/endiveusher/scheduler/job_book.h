#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/journal.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endiveusher::scheduler {

/// All jobs as the journal tells them. Deterministic: records that do not fit, such as the second
/// submission of a job, change nothing.
class job_book
{
public:
  /// The job that the record changed; nullptr if it changed nothing.
  job* apply(const journal_record& aRecord, time_point aNow);
  /// Makes the steps of a due occurrence; all daemons do so when its first run starts, the owner
  /// when it falls due.
  std::vector<step_state>* openOccurrence(job& aJob, std::uint32_t aOccurrence);

  job* find(job_id aId);
  const job* find(job_id aId) const;
  /// Active jobs of the route of which no task has started; jobs with due times are not counted
  /// before their first start.
  std::uint32_t waiting(std::string_view aRoute) const;
  /// Drops jobs that ended before aBefore.
  void forgetEnded(time_point aBefore);
  /// The last epoch in which leases at the target may have been renewed; 0 if there is none.
  std::uint64_t lastEpochAt(std::string_view aTarget) const;
  /// Records that lead an empty book to this state; of ended jobs only what callers may still ask.
  std::vector<journal_record> snapshot() const;
  void clear();
  std::size_t size() const { return mJobs.size(); }

  template<typename Visitor>
  void forEach(Visitor&& aVisit)
  {
    for (auto& [id, entry] : mJobs) {
      aVisit(entry);
    }
  }

private:
  job* change(const job_submitted& aRecord, time_point aNow);
  job* change(const job_cancelled& aRecord, time_point aNow);
  job* change(const run_started& aRecord, time_point aNow);
  job* change(const run_ended& aRecord, time_point aNow);
  job* change(const job_given_up& aRecord, time_point aNow);
  job* change(const job_snapshot& aRecord, time_point aNow);
  job* change(const target_taken& aRecord, time_point aNow);
  step_state* stepOf(job& aJob, const step_key& aKey);
  void finish(job& aJob, job_phase aPhase, time_point aNow);
  void completeIfDone(job& aJob, std::uint32_t aOccurrence, time_point aNow);
  void countWaiting(const job& aJob, int aChange);

  std::unordered_map<job_id, job> mJobs;
  std::map<std::string, std::uint32_t, std::less<>> mWaiting;
  std::map<std::string, std::uint64_t, std::less<>> mTakenIn;
  /// In the order of their ends.
  std::vector<std::pair<time_point, job_id>> mEnded;
};

} // namespace endiveusher::scheduler
