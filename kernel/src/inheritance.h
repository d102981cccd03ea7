#pragma once

#include "job_keeper.h"
#include "placer_port.h"

#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace endiveusher::internal {

/// Takes over the jobs of homes that this daemon succeeds.
///
/// The jobs come from stream jobs and from copies. Every member known at the takeover is asked what
/// it holds of them; a job is settled once all have answered or have ended themselves. Only then
/// are tasks that nobody holds looked for on the targets of the ended members.
template<guard_policy Guards>
class inheritance
{
public:
  inheritance(core_context<Guards>& aContext, job_keeper<Guards>& aKeeper,
              delegation<Guards>& aDelegation, placer_port<Guards>& aPort)
    : mContext(aContext), mKeeper(aKeeper), mDelegation(aDelegation), mPort(aPort)
  {
  }

  void tick();
  /// Call after the report has been applied to the job table.
  void onReport(const incarnation_id& aFrom, const task_report& aReport);
  /// An accept record of an ended home was read after its jobs had been taken over.
  void onLateRecord(const accept_record& aRecord);

  /// Takes a request up that aDead had issued and that nothing is known of here. Looks for its
  /// tasks as for any inherited job before it starts them.
  home_job* acceptAfresh(const incarnation_id& aDead, const job_spec& aSpec, std::uint64_t aDigest);

  /// The jobs of aDead have been read.
  bool adopted(const incarnation_id& aDead) const;
  /// The jobs of aDead are settled and its targets are swept, so that a request that is unknown
  /// here is not running anywhere.
  bool complete(const incarnation_id& aDead) const;
  bool idle() const { return mRounds.empty(); }

private:
  static constexpr duration kAskInterval = std::chrono::milliseconds(300);

  struct round
  {
    incarnation_id mDead;
    log_offset mOffset = 0;
    std::set<incarnation_id> mWaitingFor;
    /// Members known at the takeover that have ended since.
    std::set<incarnation_id> mEnded;
    std::vector<request_id> mJobs;
    time_point mAskedAt{};
  };
  /// Offset of the latest record by which this daemon came to answer for aDead.
  log_offset successionOffset(const incarnation_id& aDead) const;
  void begin(const typename basic_membership<Guards>::inherited& aMember);
  void addRound(const typename basic_membership<Guards>::inherited& aMember,
                const std::vector<request_index::unfinished_job>& aJobs);
  void ask(round& aRound);
  void settle(const round& aRound);

  core_context<Guards>& mContext;
  job_keeper<Guards>& mKeeper;
  delegation<Guards>& mDelegation;
  placer_port<Guards>& mPort;
  std::set<incarnation_id> mAdopted;
  std::list<round> mRounds;
};

template<guard_policy Guards>
log_offset inheritance<Guards>::successionOffset(const incarnation_id& aDead) const
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
void inheritance<Guards>::begin(const typename basic_membership<Guards>::inherited& aMember)
{
  mAdopted.insert(aMember.mDead);
  addRound(aMember, mContext.mIndex.takeUnfinished(
                      [this](const incarnation_id& aHome) { return mContext.succeeds(aHome); }));
}

template<guard_policy Guards>
void inheritance<Guards>::addRound(const typename basic_membership<Guards>::inherited& aMember,
                                   const std::vector<request_index::unfinished_job>& aJobs)
{
  round round{ .mDead = aMember.mDead,
               .mOffset = successionOffset(aMember.mDead),
               .mWaitingFor = aMember.mMembersThen };
  round.mWaitingFor.insert(mContext.self());
  round.mWaitingFor.erase(aMember.mDead);
  for (const auto& unfinished : aJobs) {
    const auto& request = unfinished.mAccept.mJob.mRequest;
    if (mContext.mJobs.find(request) != nullptr || unfinished.mAccept.mJob.mTaskCount == 0) {
      continue;
    }
    auto& job = mKeeper.adopt(unfinished);
    if (unfinished.mAccept.mHome != aMember.mDead && unfinished.mAccept.mHome != mContext.self()) {
      job.mSearch.push_back(unfinished.mAccept.mHome);
    }
    round.mJobs.push_back(request);
  }
  ask(round);
  mRounds.push_back(std::move(round));
}

template<guard_policy Guards>
void inheritance<Guards>::ask(round& aRound)
{
  aRound.mAskedAt = mContext.mNow;
  for (const auto& member : aRound.mWaitingFor) {
    mContext.send(member, recall{});
  }
}

template<guard_policy Guards>
void inheritance<Guards>::tick()
{
  for (const auto& member : mContext.mMembership.inheritedMembers()) {
    // A read sent later shows all that the dead member had stored.
    if (!mAdopted.contains(member.mDead) && mContext.mNow >= member.mActsFrom &&
        mContext.mJobLog.hasReadToEnd() && mContext.mJobLog.readToEndAt() >= member.mActsFrom) {
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
void inheritance<Guards>::onReport(const incarnation_id& aFrom, const task_report& aReport)
{
  for (auto& round : mRounds) {
    // A report made before the takeover was applied does not name the tasks of the dead home.
    if (aReport.mControlOffset > round.mOffset) {
      round.mWaitingFor.erase(aFrom);
    }
  }
}

template<guard_policy Guards>
void inheritance<Guards>::settle(const round& aRound)
{
  for (const auto& request : aRound.mJobs) {
    auto* job = mContext.mJobs.find(request);
    if (job == nullptr) {
      continue;
    }
    job->mSettled = true;
    job->mSearch.push_back(aRound.mDead);
    for (const auto& member : aRound.mEnded) {
      if (std::find(job->mSearch.begin(), job->mSearch.end(), member) == job->mSearch.end()) {
        job->mSearch.push_back(member);
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
void inheritance<Guards>::onLateRecord(const accept_record& aRecord)
{
  for (const auto& member : mContext.mMembership.inheritedMembers()) {
    if (mAdopted.contains(member.mDead) &&
        (member.mDead == aRecord.mHome || mContext.succeeds(aRecord.mHome))) {
      mContext.mIndex.dropUnfinished(aRecord.mJob.mRequest);
      addRound(member, { { aRecord, true } });
      return;
    }
  }
}

template<guard_policy Guards>
home_job* inheritance<Guards>::acceptAfresh(const incarnation_id& aDead, const job_spec& aSpec,
                                            std::uint64_t aDigest)
{
  for (const auto& member : mContext.mMembership.inheritedMembers()) {
    if (member.mDead == aDead) {
      addRound(member,
               { { { .mHome = mContext.self(), .mJob = aSpec, .mBodyDigest = aDigest }, false } });
      return mContext.mJobs.find(aSpec.mRequest);
    }
  }
  return nullptr;
}

template<guard_policy Guards>
bool inheritance<Guards>::adopted(const incarnation_id& aDead) const
{
  return mAdopted.contains(aDead);
}

template<guard_policy Guards>
bool inheritance<Guards>::complete(const incarnation_id& aDead) const
{
  return mAdopted.contains(aDead) && mPort.swept(aDead) &&
         std::none_of(mRounds.begin(), mRounds.end(),
                      [&aDead](const round& aRound) { return aRound.mDead == aDead; });
}

} // namespace endiveusher::internal
