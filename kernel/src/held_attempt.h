#pragma once

#include "endiveusher/kernel/messages/peer.h"
#include "endiveusher/kernel/time.h"

#include <cstdint>

namespace endiveusher::internal {

/// One attempt that a placer holds for its coordinator.
struct held_attempt
{
  task_attempt mTask;
  placed_state mState = placed_state::queued;
  /// Target on which the attempt starts, runs or ended; empty while queued.
  target_id mTarget;
  /// Whether the resolved placer is this daemon. Otherwise the coordinator delegated a task that is
  /// running on a target that this daemon owns in the interim.
  bool mOwn = true;
  /// Whether the attempt is charged to this daemon's slice.
  bool mCharged = false;
  /// Whether the account of mTarget counts the attempt as a pending start.
  bool mPendingStart = false;
  /// Id of the unanswered start order; zero if there is none.
  std::uint64_t mStartOrder = 0;
  /// Id of the unanswered stop or checkpoint order; zero if there is none.
  std::uint64_t mEndOrder = 0;
  /// A stop or checkpoint has been ordered.
  bool mEnding = false;
  /// The coordinator has recalled the attempt; it is not queued again.
  bool mRecalled = false;
  time_point mQueuedAt{};
  /// Time by which the task should start; time_point::max() if it has no deadline.
  time_point mDeadline = time_point::max();
  time_point mStartedAt{};
  /// Breaks ties of mQueuedAt and mDeadline.
  std::uint64_t mSequence = 0;

  attempt_outcome mOutcome = attempt_outcome::succeeded;
  std::int32_t mExitCode = 0;
  std::string mOutput;
  std::string mCheckpoint;
  /// Id of the target's entry of finished attempts, to be acknowledged to the target after the
  /// coordinator has acknowledged the end; zero if there is none.
  std::uint64_t mFinishedId = 0;

  /// Whether the state is final; the attempt is kept until the coordinator acknowledges it.
  bool final() const
  {
    return mState == placed_state::ended || mState == placed_state::returned ||
           mState == placed_state::unknown;
  }
  bool onTarget() const
  {
    return mState == placed_state::starting || mState == placed_state::running;
  }
};

} // namespace endiveusher::internal
