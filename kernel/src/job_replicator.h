#pragma once

#include "gang_coordinator.h"

#include <functional>
#include <set>
#include <unordered_map>

namespace endiveusher::internal {

/// Creates accepted jobs and makes them durable: appends a record to stream jobs, and keeps a copy
/// at one peer until the record has been read back.
template<guard_policy Guards>
class job_replicator
{
public:
  job_replicator(core_context<Guards>& aContext, delegation<Guards>& aDelegation,
                 gang_coordinator<Guards>& aGangs)
    : mContext(aContext), mDelegation(aDelegation), mGangs(aGangs)
  {
  }

  /// Called when the durability of a job has increased.
  std::function<void(coordinated_job&)> mOnDurabilityRaised;

  /// Adds a job that this daemon has accepted: appends its record, sends a copy, starts it.
  coordinated_job& accept(const job_spec& aSpec, std::uint64_t aDigest);
  /// Adds and starts a job whose accept record has already been read back.
  coordinated_job& acceptLogged(const job_spec& aSpec, std::uint64_t aDigest);
  /// Adds an unfinished job of a coordinator that has ended, without starting it.
  coordinated_job& addFailedOver(const request_index::unfinished_job& aJob);
  void cancel(coordinated_job& aJob);

  /// Handles the read-back of the accept record of one of this daemon's jobs.
  void onLogged(const request_id& aRequest);
  void onEnded(coordinated_job& aJob);
  void handle(const incarnation_id& aFrom, const job_copy& aMessage);
  void handle(const incarnation_id& aFrom, const job_copy_ack& aMessage);
  void tick();

  /// Whether every unfinished job is in the log or has a copy at a peer.
  bool allReplicated() const;
  /// Whether an accepted job can be made durable now, by a copy or by the log.
  bool canReplicate() const { return !mPeer.empty() || mContext.mMembership.logReachable(); }

private:
  static constexpr duration kCopyRepeatInterval = std::chrono::milliseconds(300);
  static constexpr std::size_t kMaxCopiesPerTick = 500;

  /// Copy of a job whose record has not been read back yet.
  struct unlogged
  {
    incarnation_id mHolder;
    bool mAcknowledged = false;
    time_point mSentAt{};
  };
  void startTasks(coordinated_job& aJob);
  void replicate(coordinated_job& aJob);
  void sendCopy(const coordinated_job& aJob, unlogged& aEntry);
  void setDurability(coordinated_job& aJob, durability aDurability);

  core_context<Guards>& mContext;
  delegation<Guards>& mDelegation;
  gang_coordinator<Guards>& mGangs;
  std::unordered_map<request_id, unlogged> mUnlogged;
  /// Member that holds the copies: the one that would succeed this daemon; empty if none.
  incarnation_id mPeer;
  time_point mNextCopyRound{};
};

template<guard_policy Guards>
void job_replicator<Guards>::startTasks(coordinated_job& aJob)
{
  if (aJob.mSpec.mKind == job_kind::gang) {
    mGangs.start(aJob);
  } else {
    mDelegation.start(aJob);
  }
}

template<guard_policy Guards>
void job_replicator<Guards>::replicate(coordinated_job& aJob)
{
  mContext.mJobLog.append(accept_record{
    .mCoordinator = mContext.self(), .mJob = aJob.mSpec, .mBodyDigest = aJob.mDigest });
  sendCopy(aJob, mUnlogged[aJob.mSpec.mRequest]);
}

template<guard_policy Guards>
void job_replicator<Guards>::sendCopy(const coordinated_job& aJob, unlogged& aEntry)
{
  aEntry = { .mHolder = mPeer, .mSentAt = mContext.mNow };
  if (!mPeer.empty()) {
    mContext.send(mPeer, job_copy{ .mAccept = { .mCoordinator = mContext.self(),
                                                .mJob = aJob.mSpec,
                                                .mBodyDigest = aJob.mDigest },
                                   .mEnded = aJob.mEnded });
  }
}

template<guard_policy Guards>
coordinated_job& job_replicator<Guards>::accept(const job_spec& aSpec, std::uint64_t aDigest)
{
  auto& job = mContext.mJobs.add(aSpec, aDigest, mContext.mNow);
  replicate(job);
  startTasks(job);
  return job;
}

template<guard_policy Guards>
coordinated_job& job_replicator<Guards>::acceptLogged(const job_spec& aSpec, std::uint64_t aDigest)
{
  auto& job = mContext.mJobs.add(aSpec, aDigest, mContext.mNow);
  job.mDurability = durability::log;
  startTasks(job);
  return job;
}

template<guard_policy Guards>
coordinated_job& job_replicator<Guards>::addFailedOver(const request_index::unfinished_job& aJob)
{
  const auto& accept = aJob.mAccept;
  auto& job = mContext.mJobs.add(accept.mJob, accept.mBodyDigest, mContext.mNow);
  job.mFailedOver = true;
  job.mSettled = false;
  if (aJob.mLogged) {
    job.mDurability = durability::log;
  } else {
    replicate(job);
  }
  if (job.mSpec.mKind == job_kind::gang) {
    mGangs.adoptFailedOver(job);
  }
  return job;
}

template<guard_policy Guards>
void job_replicator<Guards>::cancel(coordinated_job& aJob)
{
  if (aJob.mEnded) {
    return;
  }
  if (aJob.mSpec.mKind == job_kind::gang) {
    mGangs.cancel(aJob);
  } else {
    mDelegation.cancel(aJob);
  }
}

template<guard_policy Guards>
void job_replicator<Guards>::setDurability(coordinated_job& aJob, durability aDurability)
{
  if (aDurability > aJob.mDurability) {
    aJob.mDurability = aDurability;
    mOnDurabilityRaised(aJob);
  }
}

template<guard_policy Guards>
void job_replicator<Guards>::onLogged(const request_id& aRequest)
{
  mUnlogged.erase(aRequest);
  if (auto* job = mContext.mJobs.find(aRequest)) {
    setDurability(*job, durability::log);
  }
}

template<guard_policy Guards>
void job_replicator<Guards>::onEnded(coordinated_job& aJob)
{
  if (!mContext.mJobLog.withdraw(aJob.mSpec.mRequest)) {
    mContext.mJobLog.append(job_table::summary(aJob));
  }
  mGangs.forget(aJob.mSpec.mRequest);
  const auto found = mUnlogged.find(aJob.mSpec.mRequest);
  if (found != mUnlogged.end() && !found->second.mHolder.empty()) {
    sendCopy(aJob, found->second);
  }
}

template<guard_policy Guards>
void job_replicator<Guards>::handle(const incarnation_id& aFrom, const job_copy& aMessage)
{
  mContext.mIndex.applyCopy(aMessage.mAccept, aMessage.mEnded);
  mContext.send(aFrom, job_copy_ack{ .mRequest = aMessage.mAccept.mJob.mRequest });
}

template<guard_policy Guards>
void job_replicator<Guards>::handle(const incarnation_id& aFrom, const job_copy_ack& aMessage)
{
  const auto found = mUnlogged.find(aMessage.mRequest);
  if (found == mUnlogged.end() || found->second.mHolder != aFrom) {
    return;
  }
  found->second.mAcknowledged = true;
  if (auto* job = mContext.mJobs.find(aMessage.mRequest)) {
    setDurability(*job, durability::peer);
  }
}

template<guard_policy Guards>
void job_replicator<Guards>::tick()
{
  mPeer = mContext.mMembership.successor(mContext.mNow);
  if (mPeer.empty() || mContext.mNow < mNextCopyRound) {
    return;
  }
  mNextCopyRound = mContext.mNow + kCopyRepeatInterval;
  std::size_t sent = 0;
  for (auto entry = mUnlogged.begin(); entry != mUnlogged.end() && sent < kMaxCopiesPerTick;) {
    auto& [request, copy] = *entry;
    const auto* job = mContext.mJobs.find(request);
    if (job == nullptr) {
      entry = mUnlogged.erase(entry);
      continue;
    }
    const bool current = copy.mHolder == mPeer && copy.mAcknowledged;
    if (!current && !(job->mEnded && copy.mHolder != mPeer) &&
        (copy.mHolder != mPeer || mContext.mNow - copy.mSentAt >= kCopyRepeatInterval)) {
      sendCopy(*job, copy);
      ++sent;
    }
    ++entry;
  }
}

template<guard_policy Guards>
bool job_replicator<Guards>::allReplicated() const
{
  return std::all_of(mUnlogged.begin(), mUnlogged.end(), [this](const auto& aEntry) {
    const auto* job = mContext.mJobs.find(aEntry.first);
    return job == nullptr || job->mEnded || aEntry.second.mAcknowledged;
  });
}

} // namespace endiveusher::internal
