#pragma once

#include "job_log.h"
#include "job_table.h"
#include "request_index.h"
#include "retry_policy.h"

#include "endiveusher/kernel/daemon_core.h"

#include <deque>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace endiveusher::internal {

/// State shared by the parts of a daemon_core.
template<guard_policy Guards>
struct core_context
{
  explicit core_context(daemon_options aOptions)
    : mOptions(std::move(aOptions)),
      mMembership(membership_options{ .mTiming = mOptions.mTiming,
                                      .mSelf = mOptions.mIncarnation,
                                      .mVm = mOptions.mVm,
                                      .mZone = mOptions.mZone,
                                      .mPeerAddress = mOptions.mPeerAddress,
                                      .mSeeds = mOptions.mSeeds,
                                      .mSeed = mOptions.mSeed }),
      mPlacer(placer_options{ .mTiming = mOptions.mTiming,
                              .mPolicy = mOptions.mPolicy,
                              .mSeed = mOptions.mSeed + 1 }),
      mJobLog(mOptions.mIncarnation), mRandom(mOptions.mSeed + 2)
  {
  }

  const incarnation_id& self() const { return mOptions.mIncarnation; }
  const control_state& control() const { return mMembership.control(); }

  /// Whether this daemon may accept requests, decide and start tasks at mNow.
  bool mayDecide() const
  {
    if constexpr (!Guards::kChecksFreshness) {
      return true;
    }
    return mMembership.joined() && !mMembership.ended() && mMembership.fresh(mNow);
  }

  /// Whether aIncarnation has ended and this daemon is its successor.
  bool succeeds(const incarnation_id& aIncarnation) const
  {
    return aIncarnation != self() && control().hasEnded(aIncarnation) &&
           control().resolve(aIncarnation) == self();
  }

  void send(const incarnation_id& aTo, peer_body&& aBody)
  {
    peer_message message{ .mFrom = self(), .mTo = aTo, .mBody = std::move(aBody) };
    if (aTo == self()) {
      mLocal.push_back(std::move(message));
      return;
    }
    auto address = mMembership.addressOf(aTo);
    if (!address.empty()) {
      mEffects.emplace_back(
        send_effect{ .mAddress = std::move(address), .mMessage = std::move(message) });
    }
  }

  void log(log_level aLevel, std::string aText)
  {
    mEffects.emplace_back(
      log_effect{ .mLevel = aLevel, .mPart = "home", .mText = std::move(aText) });
  }

  daemon_options mOptions;
  basic_membership<Guards> mMembership;
  basic_placer<Guards> mPlacer;
  job_table mJobs;
  job_log mJobLog;
  request_index mIndex;
  retry_budget mBudget;
  std::mt19937_64 mRandom;
  /// Time of the event or tick in progress.
  time_point mNow{};
  /// Whether a graceful shutdown has begun.
  bool mStopping = false;
  /// Sequence number of the next delegate or reserve message.
  std::uint64_t mNextSequence = 1;
  std::vector<effect> mEffects;
  /// Messages from this daemon to itself.
  std::deque<peer_message> mLocal;
};

} // namespace endiveusher::internal
