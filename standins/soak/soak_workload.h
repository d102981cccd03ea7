#pragma once

#include "endiveusher/kernel/job.h"
#include "endiveusher/kernel/messages/call.h"
#include "endiveusher/kernel/time.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace endiveusher::standins {

class soak_cell;

/// Callers of a soak run. They submit all kinds of jobs with tickets or with ids of their own, use
/// wrong keys, retry one id through several daemons, reuse an id with another body, wait and
/// cancel.
class soak_workload
{
public:
  explicit soak_workload(soak_cell& aCell) : mCell(&aCell) {}
  /// Publishes the first configuration and starts to submit jobs.
  void begin();
  /// Counts the jobs that did not end in the recovery period.
  void countUnfinished();

  static std::vector<set_team> teams();
  static std::string keyOf(const team_name& aTeam) { return "key of " + aTeam; }

private:
  struct request
  {
    submit_call mSubmit;
    std::uint32_t mTries = 0;
    bool mAccepted = false;
    bool mEnded = false;
    bool mCancelled = false;
    durability mDurability = durability::memory;
  };

  std::size_t randomDaemon();
  void configure(std::uint32_t aTry);
  void submitNext();
  submit_call drawJob();
  void submit(const std::shared_ptr<request>& aRequest);
  void onAccepted(const std::shared_ptr<request>& aRequest, const job_status& aStatus);
  void wait(const std::shared_ptr<request>& aRequest);
  void cancel(const std::shared_ptr<request>& aRequest);
  void recordStatus(const std::shared_ptr<request>& aRequest, const answer& aAnswer);

  soak_cell* mCell;
  std::uint64_t mNextRequest = 1;
  std::vector<std::shared_ptr<request>> mRequests;
};

} // namespace endiveusher::standins
