#pragma once

#include "capacity_history.h"
#include "endiveusher/scheduler/job_table.h"
#include "endiveusher/scheduler/owner_port.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace endiveusher::scheduler::testing {

using std::chrono::milliseconds;

/// A target that executes start orders, rejects those with lower numbers and reports its runs.
struct fake_target
{
  target_entry mEntry;
  /// Highest number that orders have carried.
  std::uint64_t mFence = 0;
  std::map<task_key, std::uint32_t> mRunning;
  std::vector<ended_run> mEnded;
  std::uint64_t mLastEndNumber = 0;
  std::uint64_t mStoredEndNumber = 0;
  bool mReachable = true;
  /// Whether calls stay open without a reply.
  bool mIsSilent = false;
  bool mListed = true;
  /// Whether its writes of its entry arrive, and when the next one is due.
  bool mReachesStore = true;
  time_point mNextWrite{};
  time_point mWrittenAt{};
  /// Whether the owner has not read the last write.
  bool mHasUnreadWrite = false;
  /// Heartbeats that were sent before this time stay open until then, and get no reply.
  time_point mLosesHeartbeatsUntil{};
  /// Whether start orders are executed but their replies are lost.
  bool mLosesReplies = false;
  /// What the owner receives in place of a lost reply.
  order_outcome mLostReply = order_outcome::unanswered;
  /// Whether start orders are lost before they are executed.
  bool mLosesStarts = false;
  /// Whether orders get no answer and are kept to be executed later, see
  /// owner_fixture::deliverLateOrders().
  bool mDelaysStarts = false;
  bool mDelaysHeartbeats = false;
  /// If set, start orders are rejected with this outcome.
  std::optional<order_outcome> mRejectStarts;
  /// Time that a run takes to end after a stop order.
  milliseconds mStopDelay{ 0 };
  /// Runs that are being stopped, and the time of their end.
  std::map<task_key, time_point> mStopping;
  target_time mClock{ 1000 };
  /// End of the lease on mClock. Orders name the target by its id alone, so that it also takes the
  /// times that were meant for the clock of a former incarnation.
  target_time mLeaseUntil{ 0 };
  capacity_history mFormerCapacities;
  /// Time at which the owner reads a change of the entry; time_point::max() if there is none.
  time_point mEntryReadAt = time_point::max();

  resources used(const job_table& aJobTable) const
  {
    resources sum;
    for (const auto& [task, run] : mRunning) {
      sum += aJobTable.find(task.mStep.mJob)->mSpec.mSteps[task.mStep.mStep].mNeeds;
    }
    return sum;
  }
  void end(const task_key& aTask, reported_end aOutcome, std::string aCheckpoint = {})
  {
    const auto found = mRunning.find(aTask);
    mEnded.push_back({ .mNumber = ++mLastEndNumber,
                       .mTask = aTask,
                       .mRun = found->second,
                       .mOutcome = aOutcome,
                       .mCheckpoint = std::move(aCheckpoint) });
    mRunning.erase(found);
  }
};

/// An advice service that handles one call at a time for each calling daemon, in order, and issues
/// tickets that expire.
struct fake_advice_service
{
  /// Percentage of the targets that may run a step, by route.
  std::map<std::string, unsigned> mGoodPercent;
  std::map<std::string, time_point> mBusyUntil;
  /// Daemons whose calls get no reply.
  std::set<std::string> mUnreachable;
  std::map<std::string, time_point> mTicketExpiry;
  /// Whether calls fail whose reply would arrive after their timeout. The service still handles
  /// them.
  bool mCallsTimeOut = false;
  /// Calls that have failed so.
  std::set<std::uint64_t> mTimedOut;

  /// Returns a constant verdict, independent of the order of calls.
  bool good(const std::string& aRoute, const step_key& aStep, const std::string& aTarget) const
  {
    std::uint64_t hash = 14695981039346656037U;
    for (const char byte : toText(aStep) + aTarget) {
      hash = (hash ^ static_cast<unsigned char>(byte)) * 1099511628211U;
    }
    return (hash >> 32U) % 100 < mGoodPercent.at(aRoute);
  }
  /// Queues a call and returns the time of its reply.
  time_point enqueue(const advice_request& aRequest, const advice_terms& aTerms, time_point aNow)
  {
    if (mUnreachable.contains(aRequest.mDaemon)) {
      return aNow + aRequest.mTimeout;
    }
    auto& busyUntil = mBusyUntil[aRequest.mDaemon];
    busyUntil = std::max(busyUntil, aNow) + aTerms.mPerCall +
                static_cast<int>(aRequest.mTargets.size()) * aTerms.mPerTarget;
    mTimedOut.erase(aRequest.mCall);
    if (mCallsTimeOut && busyUntil > aNow + aRequest.mTimeout) {
      mTimedOut.insert(aRequest.mCall);
      return aNow + aRequest.mTimeout;
    }
    return busyUntil;
  }
  advice_ticket issue(const std::string& aTarget, time_point aExpiry)
  {
    auto token = "ticket-" + std::to_string(mTicketExpiry.size());
    mTicketExpiry[token] = aExpiry;
    return { .mTarget = aTarget, .mToken = std::move(token) };
  }
  bool valid(const std::string& aToken, time_point aNow) const
  {
    const auto found = mTicketExpiry.find(aToken);
    return found != mTicketExpiry.end() && aNow < found->second;
  }
};

/// What became of a task that crashes the targets that start it.
struct deadly_task
{
  unsigned mCrashes = 0;
  unsigned mStartsAfterThirdCrash = 0;
};

} // namespace endiveusher::scheduler::testing
