#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/journal.h"
#include "endiveusher/scheduler/target.h"
#include "team_state.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace endiveusher::scheduler::internal {

/// Largest rate by which a target's clock may run slow, as a fraction.
inline constexpr double kMaxClockDrift = 0.02;
/// Added to the computed end of a lease, for rounding and delays in the target.
inline constexpr auto kLeaseMargin = std::chrono::milliseconds(200);

enum class run_phase : std::uint8_t
{
  /// The record of its start is being stored.
  storing,
  /// The start order is sent or due.
  ordered,
  /// The target has accepted the last order, or a heartbeat reply has listed the run.
  confirmed,
  /// A stop order is sent or due.
  stopping,
};

/// How the loss of a run's target counts for its task.
struct run_loss
{
  run_end mOutcome = run_end::target_lost;
  /// Whether no task of another job may have been executing at the target.
  bool mWasAlone = false;
  /// See allocated_run.
  bool mHasBegun = false;
  std::int64_t mListedBy = 0;
};

/// What is known of a target whose runs are over.
enum class loss_evidence : std::uint8_t
{
  /// It has left as planned, or its leases ended while it was heard of.
  none,
  /// It has not been heard of until its leases ended: it may have been cut off.
  silence,
  /// Another incarnation, or another target on its VM, has been heard of.
  crash,
};

/// A run whose lease has expired at a silent target, see run_end::target_silent.
struct silent_run_ref
{
  task_key mTask;
  std::uint32_t mRun = 0;
  /// Start of the incarnation of the target at which it ran.
  std::int64_t mIncarnationStart = 0;
  bool mAtStart = false;
  bool mHasBegun = false;
  /// When this owner came to know of it.
  time_point mSince{};
};

/// A run that occupies capacity at a target, from the decision to start it until it is confirmed to
/// have ended there.
struct allocated_run
{
  std::uint32_t mRun = 0;
  resources mNeeds;
  team_state* mTeam = nullptr;
  run_phase mPhase = run_phase::storing;
  /// Whether the target has accepted or listed the run, and the incarnation that has listed it
  /// last.
  bool mHasBegun = false;
  std::int64_t mListedBy = 0;
  /// Whether the end of the run is recorded, so that it only occupies capacity.
  bool mEnded = false;
  bool mStopWanted = false;
  bool mOrderOpen = false;
  /// Number of start orders without an answer, and the time at which the last of them was given up.
  std::uint32_t mTries = 0;
  time_point mUnansweredAt{};
  /// Time of the first start order.
  time_point mFirstOrderAt{};
  /// Whether the run resumes from a checkpoint, and whether it has been counted as slow.
  bool mIsResumed = false;
  bool mIsSlow = false;
  /// Time from which it counts as slow while it is open; time_point::max() if it does not, and
  /// time_point{} as long as that is not known.
  time_point mSlowAt{};
  time_point mNextTry{};
  /// Replies to heartbeats sent from this time on list the run unless it has ended.
  time_point mMustBeListedFrom = time_point::max();
  /// Set if the target has restarted while the run's start order was open: a later incarnation may
  /// execute it. If none does, the run counts as this loss.
  std::optional<run_loss> mLoss;
  /// No task of another job is started beside the run before this time.
  time_point mIsolatedUntil{};
  std::string mCheckpoint;
  std::string mTicket;
  /// Expiry of the ticket; time_point::max() if the run has none.
  time_point mTicketExpiry = time_point::max();
};

/// The jobs of some runs, as far as it matters whether there is more than one.
class occupants
{
public:
  void add(job_id aJob)
  {
    mHasSeveral = mHasSeveral || (mJob && *mJob != aJob);
    mJob = aJob;
  }
  /// Whether there is no run of another job.
  bool onlyOf(job_id aJob) const { return !mJob || (!mHasSeveral && *mJob == aJob); }

private:
  std::optional<job_id> mJob;
  bool mHasSeveral = false;
};

/// The owner's view of a target and of the runs there.
struct target_state
{
  target_entry mEntry;
  /// Dense number, bound to the target's id across incarnations.
  std::uint32_t mNumber = 0;
  /// Whether the registry currently lists the target.
  bool mListed = false;
  /// Whether the current incarnation has replied to a heartbeat of this epoch. From then on it
  /// rejects late orders of former owners, and all its runs are known.
  bool mAcquired = false;
  /// Whether the journal records that this epoch renews leases here.
  bool mAcquisitionStored = false;
  /// Whether the last reply listed runs unknown to the owner, whose needs are therefore unknown
  /// too.
  bool mHasUnknownRuns = false;

  /// Whether the registry lists an incarnation that has not replied to a heartbeat. Which runs it
  /// executes is unknown until then.
  bool mRestartListed = false;
  time_point mRestartListedAt{};
  /// Whether the former incarnation was draining.
  bool mRestartPlanned = false;

  /// Number that orders carry, of which an incarnation keeps the highest.
  std::uint64_t mFence = 0;
  /// Highest number of the orders that may be meant for a former incarnation, sent before a restart
  /// or a missed heartbeat; 0 if there are none. The present one may still execute them until it
  /// has received a heartbeat with a higher number.
  std::uint64_t mFormerFence = 0;
  /// Time from which heartbeats have carried mFence.
  time_point mFencedFrom{};
  /// Whether a former incarnation is known of, since when the target has not been acquired.
  bool mHasRestarted = false;
  /// Incarnation that mEntry describes apart from mIncarnationStart; 0 if the entry does not tell.
  std::int64_t mDescribedIncarnation = 0;

  bool mHeartbeatInFlight = false;
  /// Time at which the newest heartbeat was sent. A relay may report the reply to an earlier one.
  time_point mHeartbeatSentAt{};
  time_point mNextHeartbeat{};
  time_point mLastReply{};
  /// Time at or after which the registry took the target's last write of its entry; absent if that
  /// was read from a listing.
  std::optional<time_point> mWrittenSince;
  /// Time at which the removal of its entry was read, if it shows that the target has left unless
  /// it answers a later heartbeat.
  std::optional<time_point> mLeftAt;
  std::uint32_t mMissedHeartbeats = 0;
  /// Whether the relay has not reported on one of them, so that the target may have replied.
  bool mIsUnreported = false;
  /// Time of the first of the missed heartbeats.
  time_point mUnresponsiveSince{};
  /// Time before which the target was in contact, as far as the first missed heartbeat tells.
  time_point mLostContactAt{};
  /// Time of the next record of the end of its leases, while it is unresponsive.
  time_point mNextLeaseRecord{};
  /// Latest reading of the target's clock, and its time of arrival on the local clock.
  std::optional<target_time> mClock;
  time_point mClockAt{};
  /// Latest end of a lease that was sent, acknowledged or not, on the target's clock.
  target_time mLeaseSent{ 0 };

  /// Sequence numbers of the last end received and of the last end stored in the journal.
  std::uint64_t mLastEndNumber = 0;
  std::uint64_t mStoredEndNumber = 0;
  /// Whether the last heartbeat acknowledged no ends, as the target may have restarted.
  bool mAcknowledgementDeferred = false;
  std::map<task_key, allocated_run> mRuns;
  /// Whether one of them is to be stopped, or was.
  bool mHasStops = false;
  /// Time until which one of them may be isolated.
  time_point mIsolatedUntil{};
  /// Earliest time at which a run may need an order; in the past after any change that may need
  /// one.
  time_point mNextOrders{};
  resources mUsed;
  /// The target gets no new tasks before this time, after failures attributed to it.
  time_point mAvoidUntil{};
  /// The same, because runs there are slow.
  time_point mSlowUntil{};
  /// Time at which it was heard of again after missed heartbeats.
  time_point mHeardAgainAt{};
  std::uint32_t mConsecutiveFailures = 0;
  /// Number of times in a row that the target has rejected starts.
  std::uint32_t mRejectedStarts = 0;
  job_id mLastFailedJob{};

  /// Returns the target's clock at aNow, extrapolated from the latest reading. A lower bound unless
  /// the clock runs slow.
  target_time clockAt(time_point aNow) const
  {
    return *mClock + std::chrono::duration_cast<target_time>(aNow - mClockAt);
  }
  /// Returns the time by which every lease sent has expired, also by the slowest permitted clock;
  /// absent if the target's clock is unknown.
  std::optional<time_point> leaseExpiry() const
  {
    if (!mClock) {
      return std::nullopt;
    }
    const auto left = std::chrono::duration<double, std::milli>(
      std::max(mLeaseSent - *mClock, target_time{ 0 }) / (1.0 - kMaxClockDrift));
    return mClockAt + std::chrono::duration_cast<duration>(left) + kLeaseMargin;
  }
  /// Whether a heartbeat that was sent at aSent has a higher number than all orders to former
  /// incarnations.
  bool isFencedBy(time_point aSent) const { return mFence > mFormerFence && aSent >= mFencedFrom; }
  /// Whether the registry's entry is that of the incarnation that the target has reported: another
  /// one may have other labels and another capacity.
  bool isDescribed() const
  {
    return mDescribedIncarnation == 0 || mDescribedIncarnation >= mEntry.mIncarnationStart;
  }
  void wantStop(allocated_run& aRun)
  {
    aRun.mStopWanted = true;
    mHasStops = true;
  }
  resources freeCapacity() const { return mEntry.mCapacity - mUsed; }
  /// Returns the needs of the runs whose start orders may have been sent.
  resources orderedNeeds() const
  {
    resources needs;
    for (const auto& [task, run] : mRuns) {
      if (run.mPhase != run_phase::storing) {
        needs += run.mNeeds;
      }
    }
    return needs;
  }
};

} // namespace endiveusher::scheduler::internal
