#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/journal.h"

#include <cstdint>
#include <string>
#include <vector>

namespace endiveusher::scheduler::internal {

/// Records of one owner_port::store() call, in order, and what to do when they are stored.
struct record_batch
{
  std::vector<run_started> mStarts;
  /// End of a run to acknowledge to its target.
  struct stored_end
  {
    std::string mTarget;
    std::int64_t mIncarnationStart = 0;
    std::uint64_t mNumber = 0;
  };
  std::vector<stored_end> mEnds;
  /// Ends that targets have reported, for the next owner if the batch is not stored.
  std::vector<run_ended> mReportedEnds;
  /// Jobs that a record of the batch has ended.
  std::vector<job_id> mEndedJobs;
  /// Tokens of callers' records.
  std::vector<std::uint64_t> mTokens;
  /// Targets at which leases may be renewed once the batch is stored.
  std::vector<std::string> mAcquired;
  /// Time of the store() call.
  time_point mSentAt;
};

} // namespace endiveusher::scheduler::internal
