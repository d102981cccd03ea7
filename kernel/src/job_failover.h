#pragma once

#include "job_replicator.h"
#include "placer_port.h"

#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace endiveusher::internal {

/// Fails jobs over from ended coordinators to this daemon, their successor.
///
/// The jobs come from stream jobs and from replicated copies. Every member known at the failover is
/// asked which tasks of them it holds; a job is settled once all have answered or have ended
/// themselves. Only then are tasks that no member holds searched for on the targets of the ended
/// members.
template<guard_policy Guards>
class job_failover
{
public:
  job_failover(core_context<Guards>& aContext, job_replicator<Guards>& aReplicator,
               delegation<Guards>& aDelegation, placer_port<Guards>& aPort)
    : mContext(aContext), mReplicator(aReplicator), mDelegation(aDelegation), mPort(aPort)
  {
  }

  void tick();
  /// Must be called after the report has been applied to the job table.
  void onReport(const incarnation_id& aFrom, const task_report& aReport);
  /// Handles an accept record of an ended coordinator that was read after its jobs had failed over.
  void onLateRecord(const accept_record& aRecord);

  /// Accepts a request whose ticket was issued by aDead and of which no record is known here.
  /// Searches for its tasks, as for any failed-over job, before it starts them. Returns null if
  /// this daemon does not succeed aDead.
  coordinated_job* acceptForEndedIssuer(const incarnation_id& aDead, const job_spec& aSpec,
                                        std::uint64_t aDigest);

  /// Whether the jobs of aDead have been added to the job table.
  bool jobsLoaded(const incarnation_id& aDead) const;
  /// Whether the jobs of aDead are settled and its targets are reconciled, so that a request that
  /// is unknown here is not running anywhere.
  bool complete(const incarnation_id& aDead) const;
  bool idle() const { return mRounds.empty(); }

private:
  static constexpr duration kAskInterval = std::chrono::milliseconds(300);

  struct failover_round
  {
    incarnation_id mDead;
    log_offset mOffset = 0;
    std::set<incarnation_id> mWaitingFor;
    /// Members known at the failover that have ended since.
    std::set<incarnation_id> mEnded;
    std::vector<request_id> mJobs;
    time_point mAskedAt{};
  };
  /// Offset of the latest record in the chain of successions from aDead to this daemon.
  log_offset successionOffset(const incarnation_id& aDead) const;
  void begin(const typename basic_membership<Guards>::failed_over_member& aMember);
  void addRound(const typename basic_membership<Guards>::failed_over_member& aMember,
                const std::vector<request_index::unfinished_job>& aJobs);
  void ask(failover_round& aRound);
  void settle(const failover_round& aRound);

  core_context<Guards>& mContext;
  job_replicator<Guards>& mReplicator;
  delegation<Guards>& mDelegation;
  placer_port<Guards>& mPort;
  std::set<incarnation_id> mLoaded;
  std::list<failover_round> mRounds;
};

template<guard_policy Guards>
log_offset job_failover<Guards>::successionOffset(const incarnation_id& aDead) const
{
  const auto& successions = mContext.control().successions();
  log_offset offset = 0;
  for (auto entry = successions.find(aDead); entry != successions.end();
       entry = successions.find(entry->second.mSuccessor)) {
    offset = std::max(offset, entry->second.mOffset);
  }
  return offset;
}

template<guard_policy Guards>
void job_failover<Guards>::begin(
  const typename basic_membership<Guards>::failed_over_member& aMember)
{
  mLoaded.insert(aMember.mDead);
  addRound(aMember, mContext.mIndex.takeUnfinished([this](const incarnation_id& aCoordinator) {
    return mContext.succeeds(aCoordinator);
  }));
}

template<guard_policy Guards>
void job_failover<Guards>::addRound(
  const typename basic_membership<Guards>::failed_over_member& aMember,
  const std::vector<request_index::unfinished_job>& aJobs)
{
  failover_round round{ .mDead = aMember.mDead,
                        .mOffset = successionOffset(aMember.mDead),
                        .mWaitingFor = aMember.mMembersAtFailover };
  round.mWaitingFor.insert(mContext.self());
  round.mWaitingFor.erase(aMember.mDead);
  for (const auto& unfinished : aJobs) {
    const auto& request = unfinished.mAccept.mJob.mRequest;
    if (mContext.mJobs.find(request) != nullptr || unfinished.mAccept.mJob.mTaskCount == 0) {
      continue;
    }
    auto& job = mReplicator.addFailedOver(unfinished);
    if (unfinished.mAccept.mCoordinator != aMember.mDead &&
        unfinished.mAccept.mCoordinator != mContext.self()) {
      job.mMembersToSearch.push_back(unfinished.mAccept.mCoordinator);
    }
    round.mJobs.push_back(request);
  }
  ask(round);
  mRounds.push_back(std::move(round));
}

template<guard_policy Guards>
void job_failover<Guards>::ask(failover_round& aRound)
{
  aRound.mAskedAt = mContext.mNow;
  for (const auto& member : aRound.mWaitingFor) {
    mContext.send(member, recall{});
  }
}

template<guard_policy Guards>
void job_failover<Guards>::tick()
{
  for (const auto& member : mContext.mMembership.failedOverMembers()) {
    // A read sent after mEffectiveFrom returns every record that the ended member has stored.
    if (!mLoaded.contains(member.mDead) && mContext.mNow >= member.mEffectiveFrom &&
        mContext.mJobLog.hasReadToEnd() &&
        mContext.mJobLog.readToEndAt() >= member.mEffectiveFrom) {
      begin(member);
    }
  }
  for (auto round = mRounds.begin(); round != mRounds.end();) {
    std::erase_if(round->mWaitingFor, [&](const incarnation_id& aMember) {
      const bool ended = mContext.control().hasEnded(aMember);
      if (ended) {
        round->mEnded.insert(aMember);
      }
      return ended;
    });
    if (round->mWaitingFor.empty() && mContext.mayDecide()) {
      settle(*round);
      round = mRounds.erase(round);
      continue;
    }
    if (mContext.mNow - round->mAskedAt >= kAskInterval) {
      ask(*round);
    }
    ++round;
  }
}

template<guard_policy Guards>
void job_failover<Guards>::onReport(const incarnation_id& aFrom, const task_report& aReport)
{
  for (auto& round : mRounds) {
    // A report sent before the failover was applied does not include the tasks of the ended
    // coordinator.
    if (aReport.mControlOffset > round.mOffset) {
      round.mWaitingFor.erase(aFrom);
    }
  }
}

template<guard_policy Guards>
void job_failover<Guards>::settle(const failover_round& aRound)
{
  for (const auto& request : aRound.mJobs) {
    auto* job = mContext.mJobs.find(request);
    if (job == nullptr) {
      continue;
    }
    job->mSettled = true;
    job->mMembersToSearch.push_back(aRound.mDead);
    for (const auto& member : aRound.mEnded) {
      if (std::find(job->mMembersToSearch.begin(), job->mMembersToSearch.end(), member) ==
          job->mMembersToSearch.end()) {
        job->mMembersToSearch.push_back(member);
      }
    }
    for (std::uint32_t i = 0; i < job->mTasks.size(); ++i) {
      const auto& task = job->mTasks[i];
      if (!hasEnded(task.mState) && task.mPlacer.empty()) {
        mDelegation.search(*job, i);
      }
    }
  }
}

template<guard_policy Guards>
void job_failover<Guards>::onLateRecord(const accept_record& aRecord)
{
  for (const auto& member : mContext.mMembership.failedOverMembers()) {
    if (mLoaded.contains(member.mDead) &&
        (member.mDead == aRecord.mCoordinator || mContext.succeeds(aRecord.mCoordinator))) {
      mContext.mIndex.dropUnfinished(aRecord.mJob.mRequest);
      addRound(member, { { aRecord, true } });
      return;
    }
  }
}

template<guard_policy Guards>
coordinated_job* job_failover<Guards>::acceptForEndedIssuer(const incarnation_id& aDead,
                                                            const job_spec& aSpec,
                                                            std::uint64_t aDigest)
{
  for (const auto& member : mContext.mMembership.failedOverMembers()) {
    if (member.mDead == aDead) {
      addRound(
        member,
        { { { .mCoordinator = mContext.self(), .mJob = aSpec, .mBodyDigest = aDigest }, false } });
      return mContext.mJobs.find(aSpec.mRequest);
    }
  }
  return nullptr;
}

template<guard_policy Guards>
bool job_failover<Guards>::jobsLoaded(const incarnation_id& aDead) const
{
  return mLoaded.contains(aDead);
}

template<guard_policy Guards>
bool job_failover<Guards>::complete(const incarnation_id& aDead) const
{
  return mLoaded.contains(aDead) && mPort.reconciled(aDead) &&
         std::none_of(mRounds.begin(), mRounds.end(),
                      [&aDead](const failover_round& aRound) { return aRound.mDead == aDead; });
}

} // namespace endiveusher::internal
