#pragma once

#include "endiveusher/kernel/messages/peer.h"
#include "endiveusher/kernel/time.h"

#include <cstdint>

namespace endiveusher::internal {

/// One attempt that a placer holds for its home.
struct held_attempt
{
  task_attempt mTask;
  placed_state mState = placed_state::queued;
  /// Target on which it starts or runs, or ended; empty while queued.
  target_id mTarget;
  /// Its resolved placer is this daemon; otherwise the home named a task that runs on a target in
  /// interim ownership.
  bool mOwn = true;
  /// Counted in this daemon's slice.
  bool mCharged = false;
  /// Taken from the account of mTarget as a start that its table does not show yet.
  bool mCounted = false;
  /// Id of the start order without an answer; zero if none.
  std::uint64_t mStartOrder = 0;
  /// Id of the stop or checkpoint order without an answer; zero if none.
  std::uint64_t mEndOrder = 0;
  /// A stop or checkpoint has been ordered.
  bool mEnding = false;
  /// The home wants it back; it is not queued again.
  bool mRecalled = false;
  time_point mQueuedAt{};
  /// Urgency deadline; time_point::max() if none.
  time_point mDeadline = time_point::max();
  time_point mStartedAt{};
  /// Breaks ties of mQueuedAt and mDeadline.
  std::uint64_t mSequence = 0;

  attempt_outcome mOutcome = attempt_outcome::succeeded;
  std::int32_t mExitCode = 0;
  std::string mOutput;
  std::string mCheckpoint;
  /// Entry of the target to acknowledge after the home has; zero if none.
  std::uint64_t mFinishedId = 0;

  /// Nothing more happens to it here; kept until the home acknowledges.
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
