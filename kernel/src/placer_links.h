#pragma once

#include "core_context.h"

#include <algorithm>
#include <map>
#include <unordered_set>
#include <vector>

namespace endiveusher::internal {

/// Tasks that this coordinator has delegated to each placer, and the messages that are repeated
/// until the placer confirms them.
template<guard_policy Guards>
class placer_links
{
public:
  explicit placer_links(core_context<Guards>& aContext) : mContext(aContext) {}

  struct link
  {
    /// Highest sequence number of the reports received.
    std::uint64_t mReportSequence = 0;
    std::unordered_set<task_key> mHeld;
    /// Delegated, but not contained in a report yet.
    std::unordered_set<task_key> mUnreported;
    std::unordered_set<task_key> mQueued;
    /// Tasks to stop; repeated until the placer reports their end.
    std::unordered_set<task_key> mStops;
    std::vector<task_key> mNewStops;
    std::vector<task_key> mNewRecalls;
    std::vector<task_key> mNewDelegates;
    time_point mStopsSentAt{};
    time_point mDelegatesSentAt{};
  };

  link& at(const incarnation_id& aPlacer) { return mLinks[aPlacer]; }
  std::map<incarnation_id, link>& all() { return mLinks; }

  /// Delegates a task to aPlacer with the next flush. aOrigin may have started it already.
  void assign(coordinated_job& aJob, std::uint32_t aIndex, const incarnation_id& aPlacer,
              const incarnation_id& aOrigin);
  /// Like assign(), but sends nothing: the placer knows the task from a commit or its own report.
  void attach(coordinated_job& aJob, std::uint32_t aIndex, const incarnation_id& aPlacer,
              const incarnation_id& aOrigin);
  void detach(coordinated_job& aJob, std::uint32_t aIndex);
  void stop(coordinated_job& aJob, std::uint32_t aIndex);
  void recallQueued(coordinated_job& aJob, std::uint32_t aIndex);

  task_attempt attemptOf(const coordinated_job& aJob, std::uint32_t aIndex) const;

  /// Sends new delegates, recalls and stops.
  void flush();
  /// Repeats delegates and stops that are not confirmed.
  void tick();

private:
  static constexpr duration kRepeatDelegates = std::chrono::milliseconds(200);
  static constexpr duration kRepeatStops = std::chrono::milliseconds(500);
  static constexpr std::size_t kMaxKeysPerMessage = 5000;

  void sendDelegates(const incarnation_id& aPlacer, const std::vector<task_key>& aKeys);
  void sendRecalls(const incarnation_id& aPlacer, const std::vector<task_key>& aKeys, bool aStop);

  core_context<Guards>& mContext;
  std::map<incarnation_id, link> mLinks;
};

template<guard_policy Guards>
void placer_links<Guards>::attach(coordinated_job& aJob, std::uint32_t aIndex,
                                  const incarnation_id& aPlacer, const incarnation_id& aOrigin)
{
  auto& task = aJob.mTasks.at(aIndex);
  if (!task.mPlacer.empty()) {
    detach(aJob, aIndex);
  }
  task.mPlacer = aPlacer;
  task.mOrigin = aOrigin;
  task.mReported = false;
  task.mRecalled = false;
  task.mDelegatedAt = mContext.mNow;
  const task_key key{ aJob.mSpec.mRequest, aIndex };
  auto& link = mLinks[aPlacer];
  link.mHeld.insert(key);
  link.mUnreported.insert(key);
}

template<guard_policy Guards>
void placer_links<Guards>::assign(coordinated_job& aJob, std::uint32_t aIndex,
                                  const incarnation_id& aPlacer, const incarnation_id& aOrigin)
{
  attach(aJob, aIndex, aPlacer, aOrigin);
  mLinks[aPlacer].mNewDelegates.push_back({ aJob.mSpec.mRequest, aIndex });
}

template<guard_policy Guards>
void placer_links<Guards>::detach(coordinated_job& aJob, std::uint32_t aIndex)
{
  auto& task = aJob.mTasks.at(aIndex);
  const task_key key{ aJob.mSpec.mRequest, aIndex };
  const auto found = mLinks.find(task.mPlacer);
  if (found != mLinks.end()) {
    found->second.mHeld.erase(key);
    found->second.mUnreported.erase(key);
    found->second.mQueued.erase(key);
    found->second.mStops.erase(key);
  }
  task.mPlacer.clear();
  task.mOrigin.clear();
  task.mReported = false;
  task.mQueued = false;
  task.mRecalled = false;
}

template<guard_policy Guards>
void placer_links<Guards>::stop(coordinated_job& aJob, std::uint32_t aIndex)
{
  const task_key key{ aJob.mSpec.mRequest, aIndex };
  auto& link = mLinks[aJob.mTasks.at(aIndex).mPlacer];
  if (link.mStops.insert(key).second) {
    link.mNewStops.push_back(key);
  }
}

template<guard_policy Guards>
void placer_links<Guards>::recallQueued(coordinated_job& aJob, std::uint32_t aIndex)
{
  auto& task = aJob.mTasks.at(aIndex);
  task.mRecalled = true;
  mLinks[task.mPlacer].mNewRecalls.push_back({ aJob.mSpec.mRequest, aIndex });
}

template<guard_policy Guards>
task_attempt placer_links<Guards>::attemptOf(const coordinated_job& aJob,
                                             std::uint32_t aIndex) const
{
  const auto& task = aJob.mTasks.at(aIndex);
  const auto& spec = aJob.mSpec;
  return { .mKey = { spec.mRequest, aIndex },
           .mAttempt = task.mAttempt,
           .mTeam = spec.mTeam,
           .mKind = spec.mKind,
           .mUrgent = spec.mUrgent,
           .mIdempotent = spec.mIdempotent,
           .mSize = spec.mPerTask,
           .mRunTime = spec.mRunTime,
           .mCommand = spec.mCommand,
           .mCheckpoint = task.mCheckpoint,
           .mCoordinator = mContext.self(),
           .mPlacer = task.mOrigin };
}

template<guard_policy Guards>
void placer_links<Guards>::sendDelegates(const incarnation_id& aPlacer,
                                         const std::vector<task_key>& aKeys)
{
  delegate message;
  const auto send = [&] {
    if (!message.mTasks.empty()) {
      message.mSequence = mContext.mNextSequence++;
      mContext.send(aPlacer, std::exchange(message, {}));
    }
  };
  for (const auto& key : aKeys) {
    auto* job = mContext.mJobs.find(key.mRequest);
    if (job == nullptr || job->mTasks.at(key.mIndex).mPlacer != aPlacer) {
      continue;
    }
    std::chrono::milliseconds within{ 0 };
    if (job->mSpec.mStartWithin.count() > 0) {
      const auto left = job->mAcceptedAt + job->mSpec.mStartWithin - mContext.mNow;
      within = std::max(std::chrono::milliseconds(1),
                        std::chrono::duration_cast<std::chrono::milliseconds>(left));
    }
    message.mTasks.push_back(attemptOf(*job, key.mIndex));
    message.mStartWithin.push_back(within);
    if (message.mTasks.size() == kMaxKeysPerMessage) {
      send();
    }
  }
  send();
}

template<guard_policy Guards>
void placer_links<Guards>::sendRecalls(const incarnation_id& aPlacer,
                                       const std::vector<task_key>& aKeys, bool aStop)
{
  for (std::size_t first = 0; first < aKeys.size(); first += kMaxKeysPerMessage) {
    const auto last = std::min(aKeys.size(), first + kMaxKeysPerMessage);
    mContext.send(aPlacer, recall{ .mTasks = { aKeys.begin() + static_cast<std::ptrdiff_t>(first),
                                               aKeys.begin() + static_cast<std::ptrdiff_t>(last) },
                                   .mStop = aStop });
  }
}

template<guard_policy Guards>
void placer_links<Guards>::flush()
{
  const bool mayDelegate = mContext.mayDecide();
  for (auto& [placer, link] : mLinks) {
    if (!link.mNewDelegates.empty() && mayDelegate) {
      sendDelegates(placer, std::exchange(link.mNewDelegates, {}));
    }
    if (!link.mNewRecalls.empty()) {
      sendRecalls(placer, std::exchange(link.mNewRecalls, {}), false);
    }
    if (!link.mNewStops.empty()) {
      link.mStopsSentAt = mContext.mNow;
      sendRecalls(placer, std::exchange(link.mNewStops, {}), true);
    }
  }
}

template<guard_policy Guards>
void placer_links<Guards>::tick()
{
  for (auto& [placer, link] : mLinks) {
    if (!link.mUnreported.empty() && mContext.mayDecide() &&
        mContext.mNow - link.mDelegatesSentAt >= kRepeatDelegates) {
      std::vector<task_key> overdue;
      for (const auto& key : link.mUnreported) {
        const auto* job = mContext.mJobs.find(key.mRequest);
        if (job == nullptr) {
          continue;
        }
        // A gang is delegated by a commit, which gang_coordinator repeats.
        const auto& task = job->mTasks.at(key.mIndex);
        if ((job->mSpec.mKind != job_kind::gang || task.mOrigin != placer) &&
            mContext.mNow - task.mDelegatedAt >= kRepeatDelegates) {
          overdue.push_back(key);
        }
      }
      link.mDelegatesSentAt = mContext.mNow;
      sendDelegates(placer, overdue);
    }
    if (!link.mStops.empty() && mContext.mNow - link.mStopsSentAt >= kRepeatStops) {
      link.mStopsSentAt = mContext.mNow;
      sendRecalls(placer, { link.mStops.begin(), link.mStops.end() }, true);
    }
  }
}

} // namespace endiveusher::internal
