#pragma once

#include "endiveusher/kernel/time.h"

#include <chrono>
#include <string>

namespace endiveusher::node {

/// Times within which an owner has to act on what others have stored. From the settings.
struct owner_view_bounds
{
  /// After a cancellation no task of the job may start.
  std::chrono::milliseconds mCancelPeriod{ 3000 };
  /// After a change of the configuration, or of the closed zones, no task may start against it.
  std::chrono::milliseconds mConfigPeriod{ 2000 };
};

/// Times since which an owner knows all that was stored in the topics by which it decides.
struct owner_view_times
{
  time_point mJournal;
  time_point mOperator;
};

/// Decides whether an owner knows enough of what others have stored to start tasks.
///
/// Load pattern: the reads of an owner stand still while its appends, renewals and heartbeats go on
/// over other connections, or its process was paused. Callers' cancellations that other daemons
/// have appended, lowered limits and closed zones then reach it late or not at all.
///
/// Each topic has a limit of age of its own. The owner starts nothing on an old view of the
/// journal, without which nothing can be started anyway. An old view of the operator's records
/// counts if another daemon reads them; otherwise the store does not serve them, and to stop the
/// cell until it does would help nobody. If the view does not recover while the store is quick and
/// others can take over, the owner hands the cell over: the running tasks of a cancelled job have
/// to be stopped as well, and waiting ones to start.
class owner_view
{
public:
  explicit owner_view(owner_view_bounds aBounds) : mBounds(aBounds) {}

  /// Updates the decisions. Called in each pass of the loop.
  /// @param aLatency latency of the store; a slow store makes every daemon's view older
  /// @param aOthersKnowMore whether another daemon reads the operator's records
  void update(const owner_view_times& aTimes, std::chrono::milliseconds aLatency,
              bool aOthersKnowMore, time_point aNow);

  /// Whether tasks may be started.
  bool current() const { return mCurrent; }
  /// Returns the last time at which tasks may be started unless another update comes before.
  time_point currentUntil() const { return mCurrentUntil; }
  /// Whether the view of what other daemons read as well has been too old for so long, while the
  /// process ran, that another one should own the cell.
  bool lost() const;
  /// Describes the ages of the topics, for the log.
  std::string describe() const;

private:
  const owner_view_bounds mBounds;
  duration mJournalAge{ 0 };
  duration mOperatorAge{ 0 };
  duration mJournalLimit{ 0 };
  duration mOperatorLimit{ 0 };
  bool mCurrent = true;
  time_point mCurrentUntil{};
  /// Time for which the view has been too old, without the pauses of the process.
  duration mOldFor{ 0 };
  time_point mLastUpdate{};
};

} // namespace endiveusher::node
