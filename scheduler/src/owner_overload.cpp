#include "owner_impl.h"

#include <algorithm>
#include <chrono>

namespace endiveusher::scheduler {

namespace {

/// Pause between planning passes, in addition to the usual interval, as a multiple of the time by
/// which ticks are late, and its upper limit: an urgent step should start within a quarter of a
/// second.
constexpr int kPlanLagFactor = 2;
constexpr auto kMaxPlanPause = std::chrono::milliseconds(80);
/// Time after which the caller of a job should come back that was rejected because the loop is
/// behind; a burst lasts some seconds.
constexpr std::chrono::seconds kRetryAfterLag{ 2 };
/// Mean lateness of ticks, of one usual interval, from which the loop counts as behind for the
/// admission of jobs, and how long after that: with less work the lateness falls at once, and with
/// the next work it rises again.
constexpr auto kBehindLag = std::chrono::milliseconds(20);
constexpr auto kBehindPeriod = std::chrono::seconds(2);
/// Interval at which the waiting work is counted; at 5,000 waiting steps a count takes some 2 ms.
constexpr auto kBacklogInterval = std::chrono::milliseconds(100);
/// Time after which the caller of a job should come back that has no room in memory: room is made
/// by jobs that end, and large ones take minutes.
constexpr std::chrono::seconds kRetryAfterFullTable{ 10 };

} // namespace

/// Load pattern: a burst, or the first seconds after all daemons have lost power, saturates the
/// event loop. A planning pass costs about the same however little has changed since the last one,
/// so that with a longer pause the loop has more time for calls, and each pass places more.
duration owner::impl::planPause() const
{
  return std::min<duration>(std::chrono::duration_cast<duration>(kPlanLagFactor * mTickLag),
                            kMaxPlanPause);
}

std::optional<job_rejection> owner::impl::rejection(const job_spec& aJob, time_point aNow) const
{
  if (!mJobTable.hasRoomFor(aJob)) {
    return job_rejection{ .mRetryAfter = kRetryAfterFullTable,
                          .mReason = "the unfinished jobs, or those of the team, take too much "
                                     "memory" };
  }
  if (!mConfig) {
    return std::nullopt;
  }
  if (!mAdmission.admits(aJob.mTeam, *mConfig, std::chrono::duration_cast<duration>(mTickLag))) {
    return job_rejection{ .mRetryAfter = kRetryAfterLag,
                          .mReason = "the owner is behind, and the team exceeds its share" };
  }
  const auto work = newWork(aJob, aNow);
  const auto retryAfter =
    work ? mBacklog.retryAfter(*work, *mConfig, aNow < mBehindUntil, aNow) : std::nullopt;
  if (!retryAfter) {
    return std::nullopt;
  }
  return job_rejection{ .mRetryAfter = *retryAfter,
                        .mReason = "it would start too late behind the waiting work" };
}

void owner::impl::addToBacklog(const job_spec& aSpec, time_point aNow)
{
  if (const auto work = newWork(aSpec, aNow)) {
    mBacklog.add(*work);
  }
}

void owner::impl::updateBacklog(time_point aNow)
{
  if (mTickLag > kBehindLag) {
    mBehindUntil = aNow + kBehindPeriod;
  }
  if (!mConfig || mNextBacklog > aNow) {
    return;
  }
  mNextBacklog = aNow + kBacklogInterval;
  std::vector<internal::waiting_units> waiting;
  for (const auto& [key, step] : mWaiting) {
    if (!step.startable() || step.mNotBefore > aNow || step.spec().mLongRunning ||
        !step.spec().mRequiredLabel.empty()) {
      continue;
    }
    // A team's limit delays only that team.
    if (teamSlots(step) == 0) {
      continue;
    }
    waiting.push_back(
      { .mRank = internal::rankOf(step, aNow),
        .mRoom = internal::roomClassOf(step.spec()),
        .mUnits = step.spec().mGang ? 1 : static_cast<std::uint32_t>(step.mPending.size()),
        .mIsOld = aNow - step.mWaitingSince >= internal::backlog_estimate::kOldWait,
        .mPool = step.mRoute.mPool,
        .mTeam = step.mJob->mSpec.mTeam });
  }
  mBacklog.setWaiting(std::move(waiting), aNow);
}

void owner::impl::countStart(const task_key& aTask, time_point aNow)
{
  const auto* owning = mJobTable.find(aTask.mStep.mJob);
  if (owning == nullptr) {
    return;
  }
  const auto& spec = owning->mSpec.mSteps[aTask.mStep.mStep];
  if (!spec.mGang || aTask.mIndex == 0) {
    const auto step = mWaiting.find(aTask.mStep);
    const bool onTime = step != mWaiting.end() &&
                        internal::rankOf(step->second, aNow).mBand <= internal::kLastOnTimeBand;
    mBacklog.onStarted(routeOf(owning->mSpec).mPool, internal::roomClassOf(spec), onTime, aNow);
  }
}

} // namespace endiveusher::scheduler
