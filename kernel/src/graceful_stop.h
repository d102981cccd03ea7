#pragma once

#include "call_handler.h"

#include <string>

namespace endiveusher::internal {

/// Stops a daemon without losing its jobs and tasks.
///
/// Steps: refuse new work, answer callers, hand off tasks, make every job durable in the log or at
/// a peer, release the targets, append the leave record.
template<guard_policy Guards>
class graceful_stop
{
public:
  graceful_stop(core_context<Guards>& aContext, call_handler<Guards>& aCalls,
                submit_handler<Guards>& aSubmits, call_router<Guards>& aRouter,
                job_replicator<Guards>& aReplicator, delegation<Guards>& aDelegation,
                placer_links<Guards>& aLinks, placer_port<Guards>& aPort)
    : mContext(aContext), mCalls(aCalls), mSubmits(aSubmits), mRouter(aRouter),
      mReplicator(aReplicator), mDelegation(aDelegation), mLinks(aLinks), mPort(aPort)
  {
  }

  void begin();
  void tick();
  /// Stops at once, because the record that ended this incarnation has been read.
  void finish()
  {
    if (!mStopped) {
      stop();
    }
  }
  bool stopped() const { return mStopped; }

private:
  /// Names of the incomplete steps, separated by commas.
  std::string unfinished() const;
  void stop();

  core_context<Guards>& mContext;
  call_handler<Guards>& mCalls;
  submit_handler<Guards>& mSubmits;
  call_router<Guards>& mRouter;
  job_replicator<Guards>& mReplicator;
  delegation<Guards>& mDelegation;
  placer_links<Guards>& mLinks;
  placer_port<Guards>& mPort;
  time_point mDeadline{};
  bool mLeaving = false;
  bool mStopped = false;
};

template<guard_policy Guards>
void graceful_stop<Guards>::begin()
{
  if (mStopped) {
    return;
  }
  if (mContext.mStopping || !Guards::kHandsOver || !mContext.mMembership.joined()) {
    stop();
    return;
  }
  mContext.mStopping = true;
  mDeadline = mContext.mNow + mContext.mOptions.mTiming.mShutdownPeriod;
  mCalls.answerAll();
  mSubmits.answerAll();
  mContext.mPlacer.beginShutdown(mContext.mNow);
}

template<guard_policy Guards>
std::string graceful_stop<Guards>::unfinished() const
{
  std::string steps;
  const auto require = [&steps](bool aDone, const char* aStep) {
    if (!aDone) {
      steps += steps.empty() ? aStep : std::string(", ") + aStep;
    }
  };
  require(mCalls.idle() && mSubmits.idle() && mRouter.open() == 0, "replies to callers");
  // Without another member there is no hand-off; queued tasks remain in the job records.
  const bool alone = mContext.mMembership.live(mContext.mNow).size() <= 1;
  const auto& links = mLinks.all();
  require(alone ||
            (!mDelegation.hasWaiting() &&
             std::all_of(links.begin(), links.end(),
                         [](const auto& aEntry) { return aEntry.second.mUnreported.empty(); })),
          "task hand-off");
  require(mReplicator.allReplicated() || !mReplicator.canReplicate(), "job copies");
  require(mContext.mJobLog.idle() || !mContext.mMembership.logReachable(), "job records");
  require(alone || mPort.settled(), "reports to coordinators");
  require(mContext.mPlacer.released(), "target release");
  return steps;
}

template<guard_policy Guards>
void graceful_stop<Guards>::tick()
{
  if (!mContext.mStopping || mStopped) {
    return;
  }
  if (!mLeaving && unfinished().empty()) {
    mLeaving = true;
    mContext.mMembership.beginLeave(mContext.mNow);
  }
  if ((mLeaving && mContext.mMembership.left()) || mContext.mNow >= mDeadline) {
    stop();
  }
}

template<guard_policy Guards>
void graceful_stop<Guards>::stop()
{
  mStopped = true;
  const auto steps = unfinished();
  if (!steps.empty() || !mLeaving || !mContext.mMembership.left()) {
    mContext.log(log_level::warning, "Shutdown ended with incomplete steps: " +
                                       (steps.empty() ? std::string("leave record") : steps) + ".");
  }
  mContext.mEffects.emplace_back(stopped_effect{});
}

} // namespace endiveusher::internal
