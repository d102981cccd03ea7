#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/platform/store.h"
#include "endiveusher/scheduler/job_table.h"
#include "event_log.h"
#include "log_tail.h"
#include "loop_profiler.h"
#include "snapshots.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::node {

/// Interval at which followers read the journal. They query the owner for the states of live jobs.
inline constexpr std::chrono::milliseconds kJournalReadInterval{ 200 };
/// Time after a load for a table that lacked records before it is loaded again for the same reason,
/// doubled with each such load, and its upper limit.
inline constexpr std::chrono::milliseconds kMinReloadInterval{ 10'000 };
inline constexpr std::chrono::milliseconds kMaxReloadInterval{ 160'000 };

struct job_replica_options
{
  std::string mJournalTopic;
  std::string mSnapshotTopic;
};

/// This daemon's copy of the cell's jobs: the job table, and how much of the journal it holds.
///
/// The copy is absent, being loaded, or complete. It is complete once the newest snapshot has been
/// loaded and the journal behind it has been read to its end. Only a complete table may answer
/// callers, be written to a snapshot, or be scheduled from. Records are applied in the order of the
/// journal only, also those that this daemon has stored itself: the state of a job depends on the
/// order, and must be the same at all daemons. A record that refers to a job or run which the table
/// lacks shows that it is not complete, whatever the reason; the table is then loaded again. What
/// the store itself has lost, after an outage of all daemons for longer than it keeps records, is
/// lost: the table then begins with the oldest record that is left.
class job_replica
{
public:
  struct callbacks
  {
    /// Reports a job that a record of another daemon has changed.
    std::function<void(scheduler::job& aJob)> mOnChanged = [](scheduler::job&) {};
    /// Reports that the table has been emptied, before anything else uses it.
    std::function<void()> mOnEmptied = [] {};
    /// Reports the base of the snapshot that was loaded, 0 if there was none, and the end of the
    /// snapshot topic.
    std::function<void(std::uint64_t aBase, std::uint64_t aTopicEnd)> mOnLoaded =
      [](std::uint64_t, std::uint64_t) {};
    /// Reports that the table lacks records of the journal, and why. It has to be loaded again.
    std::function<void(std::string_view aReason)> mOnIncomplete = [](std::string_view) {};
  };

  job_replica(platform::store& aStore, const clock& aClock, event_log& aLog,
              loop_profiler& aProfiler, job_replica_options aOptions, callbacks aCallbacks);

  /// Empties the table, loads the newest snapshot and follows the journal from its base on.
  void load();
  /// Empties the table and stops reading.
  void drop();
  void tick(time_point aNow);

  /// Whether the table is loaded or being loaded.
  bool follows() const { return mFollows; }
  bool complete() const
  {
    return mFollows && !mLacksRecords && !mSnapshots.active() && mTail.caughtUp();
  }
  /// Whether the table has begun anew because the store has lost the journal. An owner that lives
  /// may still have all of it.
  bool hasLost() const { return mHasLost; }
  /// Offset of the first journal record that the table does not include.
  std::uint64_t position() const { return mTail.next(); }
  /// The table includes all journal records that were acknowledged before this time.
  time_point freshAsOf() const { return mTail.freshAsOf(); }

  /// Reads the journal now. The store may be holding the read in flight open.
  void readNow();
  void setReadInterval(std::chrono::milliseconds aInterval) { mTail.setInterval(aInterval); }
  /// Number of records that were read and not applied because they could not be decoded, or because
  /// the table lacks what they refer to.
  std::uint64_t passedOver() const { return mPassedOver; }
  /// The table, to which the owner applies its records before they are stored.
  scheduler::job_table& table() { return mTable; }
  const scheduler::job_table& table() const { return mTable; }

private:
  void onLoaded(const std::optional<snapshot>& aFound);
  /// Handles the deletion of records before aFirst that were not read.
  void onGap(std::uint64_t aFirst);
  /// @param aOffset offset of the first record
  void readRecords(const std::vector<std::string>& aRecords, std::uint64_t aOffset);
  /// Handles a record that refers to what the table lacks. Returns whether the table has to be
  /// loaded again.
  /// @param aReadEnd offset behind the records that were read with this one
  bool onUnplaced(const scheduler::journal_record& aRecord, std::uint64_t aOffset,
                  std::uint64_t aReadEnd);
  /// Applies a record that was read.
  void applyRead(const scheduler::journal_record& aRecord, std::uint64_t aOffset);
  /// Applies a record, or passes it over if the table cannot. Returns the job that it changed;
  /// nullptr if it changed none.
  scheduler::job* applyToTable(const scheduler::journal_record& aRecord, std::uint64_t aOffset);

  const clock& mClock;
  event_log& mLog;
  loop_profiler& mProfiler;
  const callbacks mCallbacks;
  scheduler::job_table mTable;
  bool mFollows = false;
  std::uint64_t mPassedOver = 0;
  /// Whether a record was read that refers to what the table lacks.
  bool mLacksRecords = false;
  /// Offset up to which the table was loaded again for such records: if they still have no place,
  /// the store lacks the same, and the cell goes on without it.
  std::uint64_t mCheckedUpTo = 0;
  time_point mNextReload{};
  std::uint32_t mReloads = 0;
  /// Base of the snapshot that was loaded last, 0 if there was none.
  std::uint64_t mBase = 0;
  /// Whether a newer snapshot could not be decoded.
  bool mHasUnreadable = false;
  /// Base of the snapshot whose load has found that the journal behind it is deleted. The state is
  /// then loaded again; if that finds the same base, the store has lost the journal.
  std::optional<std::uint64_t> mGapBehind;
  bool mHasLost = false;
  snapshot_loader mSnapshots;
  log_tail mTail;
};

} // namespace endiveusher::node
