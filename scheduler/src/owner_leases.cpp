#include "owner_impl.h"

#include <algorithm>
#include <fmt/format.h>

namespace endiveusher::scheduler {

namespace {

/// Time for which a target has to be unresponsive before the journal records that its leases are
/// not renewed. Targets that a busy or paused daemon takes as unresponsive answer sooner, and each
/// record costs another one before leases are renewed again.
constexpr auto kStopRenewalsDelay = std::chrono::milliseconds(500);
/// Interval at which the record is repeated, so that a daemon that reads the journal anew counts
/// the time left from a recent one.
constexpr auto kLeaseRecordInterval = std::chrono::milliseconds(1000);

/// Time after the end of the leases in which the report of a relay is expected that is behind. The
/// registry drops a target that is gone sooner.
constexpr auto kReportGrace = std::chrono::milliseconds(5000);

/// Returns the time by which a lease that a target has granted for aLease, at the latest at aSince,
/// has expired by the slowest permitted clock.
time_point expiryOf(std::chrono::milliseconds aLease, time_point aSince)
{
  return aSince + internal::kLeaseMargin +
         std::chrono::duration_cast<duration>(aLease / (1.0 - internal::kMaxClockDrift));
}

/// Returns the longest lease that a target may hold by an order whose time is of another clock.
std::chrono::milliseconds longestLease(const owner_options& aOptions)
{
  return std::max(aOptions.mLease, aOptions.mMaxLease);
}

} // namespace

target_time owner::impl::extendLease(target_state& aTarget, time_point aNow) const
{
  const auto until = aTarget.clockAt(aNow) + mOptions.mLease;
  aTarget.mLeaseSent = std::max(aTarget.mLeaseSent, until);
  return until;
}

std::chrono::milliseconds owner::impl::longestFormerLease(const target_state& aTarget,
                                                          std::int64_t aIncarnationStart,
                                                          time_point aNow) const
{
  // An order that was meant for a former incarnation states a time of another clock.
  const auto longest = longestLease(mOptions);
  const auto& id = aTarget.mEntry.mId;
  if (aTarget.mHasRestarted ||
      mJobTable.acquiredIncarnation(id).value_or(aIncarnationStart) != aIncarnationStart) {
    return longest;
  }
  const auto restartedAt = mJobTable.restartedAt(id);
  if (!restartedAt) {
    return mOptions.mLease;
  }
  const auto left =
    std::chrono::ceil<std::chrono::milliseconds>(expiryOf(longest, *restartedAt) - aNow);
  return std::clamp(left, mOptions.mLease, longest);
}

time_point owner::impl::formerLeaseExpiry(const target_state& aTarget) const
{
  // The successor of the last owner that acquired the target has renewed no lease there. Unless
  // more is known, its predecessor had renewed its ownership for the last time when the successor
  // claimed its epoch.
  const auto& id = aTarget.mEntry.mId;
  const auto successor = mOptions.mEpochs.upper_bound(mJobTable.lastEpochAt(id));
  const auto since = successor == mOptions.mEpochs.end() ? mEpochStart : successor->second;
  const auto lastAct = mLatestActs.find(mJobTable.lastEpochAt(id));
  const auto renewed =
    lastAct == mLatestActs.end() ? since + mOptions.mMaxRenewalAge : lastAct->second;
  const auto longest = longestLease(mOptions);
  if (aTarget.mHasRestarted) {
    // What a former owner has recorded of the leases is about another clock.
    return expiryOf(longest, renewed);
  }
  auto assumed = expiryOf(mOptions.mLease, renewed);
  if (const auto restartedAt = mJobTable.restartedAt(id)) {
    assumed = std::max(assumed, expiryOf(longest, *restartedAt));
  }
  // The owner that has recorded it may have known of a restart that this one does not.
  return mJobTable.leaseExpiryAt(id).value_or(assumed);
}

time_point owner::impl::leaseEnd(const target_state& aTarget) const
{
  const auto known = aTarget.leaseExpiry();
  const auto end = known ? *known : formerLeaseExpiry(aTarget);
  if (!known || !aTarget.mRestartListed) {
    return end;
  }
  // The clock and the leases are those of the former incarnation. The new one may have executed
  // orders that were sent until its entry was read.
  return std::max(end, expiryOf(longestLease(mOptions), aTarget.mRestartListedAt));
}

duration owner::impl::reportGrace(const target_state& aTarget)
{
  return aTarget.mListed && aTarget.mIsUnreported ? kReportGrace : std::chrono::milliseconds(0);
}

std::string owner::impl::describeLease(const target_state& aTarget, time_point aNow) const
{
  const auto known = aTarget.leaseExpiry();
  const char* source = "epochs";
  if (aTarget.mHasRestarted) {
    source = "restart";
  } else if (known) {
    source = "own_renewals";
  } else if (mJobTable.leaseExpiryAt(aTarget.mEntry.mId)) {
    source = "journal";
  }
  return fmt::format("born={} lease_left_ms={} lease_known_from={}",
                     aTarget.mEntry.mIncarnationStart,
                     (leaseEnd(aTarget) - aNow) / std::chrono::milliseconds(1), source);
}

void owner::impl::logUnlistedTargets(time_point aNow)
{
  for (const auto& [id, target] : mTargets) {
    if (target.mEntry.mAddress.empty()) {
      mPort.logDecision("target_gone", fmt::format("target={} runs={} {}", id, target.mRuns.size(),
                                                   describeLease(target, aNow)));
    }
  }
}

void owner::impl::recordLeaseEnd(target_state& aTarget, time_point aNow)
{
  const bool silent =
    aTarget.mEntry.mAddress.empty() ||
    (aTarget.mMissedHeartbeats > 0 && aNow - aTarget.mUnresponsiveSince >= kStopRenewalsDelay);
  if (!silent || aTarget.mRuns.empty() || aTarget.mNextLeaseRecord > aNow ||
      (aTarget.mAcquired && !aTarget.mAcquisitionStored)) {
    return;
  }
  aTarget.mAcquired = false;
  aTarget.mAcquisitionStored = false;
  aTarget.mNextLeaseRecord = aNow + kLeaseRecordInterval;
  const auto expiry = leaseEnd(aTarget);
  const auto left =
    std::chrono::ceil<std::chrono::milliseconds>(std::max(expiry - aNow, duration{ 0 }));
  mPort.logDecision("renewals_stopped",
                    fmt::format("target={} runs={} lease_left_ms={}", aTarget.mEntry.mId,
                                aTarget.mRuns.size(), left.count()));
  append(renewals_stopped{ .mTarget = aTarget.mEntry.mId,
                           .mEpoch = mJobTable.lastEpochAt(aTarget.mEntry.mId),
                           .mLeaseLeft = left },
         aNow);
}

} // namespace endiveusher::scheduler
