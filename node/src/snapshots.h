#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/platform/store.h"
#include "endiveusher/scheduler/job_table.h"
#include "probed_read.h"

#include <absl/status/statusor.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace endiveusher::node {

/// State of the cell at one offset of the journal. Earlier records of the journal are not needed.
struct snapshot
{
  /// Offset of the first journal record that the snapshot may not include.
  std::uint64_t mBase = 0;
  std::vector<scheduler::journal_record> mRecords;
  /// Who wrote it, in how many parts; set by lastSnapshot().
  std::uint64_t mWriter = 0;
  std::size_t mParts = 0;
  /// Number of snapshots with a higher base that are complete but cannot be decoded.
  std::size_t mUnreadable = 0;
};

/// Decides when a daemon writes a snapshot.
///
/// Load pattern: all daemons of a busy cell lose power. The next owner reads the journal from the
/// last snapshot on before it starts any task; 30,000 records take it over half a second.
class snapshot_schedule
{
public:
  /// aRetention is the time for which the store keeps records.
  snapshot_schedule(std::chrono::milliseconds aRetention, time_point aNow)
    : mRetention(aRetention), mLast(aNow)
  {
  }
  bool due(std::uint64_t aRecordsSince, time_point aNow) const
  {
    const auto age = aNow - mLast;
    return (aRecordsSince > kMinRecords && age > kMinInterval) ||
           age > mRetention / kSnapshotsPerRetention;
  }
  void onWriteStarted(time_point aNow) { mLast = aNow; }
  /// Makes the next snapshot due after kRetryInterval.
  void onWriteFailed(time_point aNow)
  {
    mLast = aNow + kRetryInterval - mRetention / kSnapshotsPerRetention;
  }

private:
  /// Number of new records that is worth a snapshot: the next owner reads fewer in a fraction of
  /// the time that it takes to detect the loss of the owner.
  static constexpr std::uint64_t kMinRecords = 2000;
  /// Minimum time between snapshots, because encoding all jobs takes a small VM a second.
  static constexpr std::chrono::seconds kMinInterval{ 8 };
  /// Snapshots per retention period, so that the next one is written before the store deletes the
  /// last one.
  static constexpr int kSnapshotsPerRetention = 4;
  /// Pause after a snapshot that was not stored; the journal grows by some hundred records
  /// meanwhile.
  static constexpr std::chrono::seconds kRetryInterval{ 1 };

  std::chrono::milliseconds mRetention;
  time_point mLast;
};

/// Encodes a snapshot in several steps.
///
/// Load pattern: 25,000 jobs take 70 ms of a core to encode, and several times that on a VM with a
/// fifth of a core. Orders that a standby makes as a relay, and hellos, would wait for all of it.
class snapshot_encoder
{
public:
  snapshot_encoder(snapshot aSnapshot, std::uint64_t aWriter)
    : mSnapshot(std::move(aSnapshot)), mWriter(aWriter)
  {
  }

  /// Encodes up to aRecords further records; returns whether all are encoded.
  bool step(std::size_t aRecords);
  /// Returns the parts, see encodeSnapshot(), when all records are encoded.
  std::vector<std::vector<std::string>> takeParts();
  std::uint64_t base() const { return mSnapshot.mBase; }

private:
  /// Adds a record to the last part, or to a new one if that is larger than aMaxPartBytes.
  void add(std::string aRecord, std::size_t aMaxPartBytes);

  const snapshot mSnapshot;
  const std::uint64_t mWriter;
  std::size_t mNext = 0;
  std::size_t mPartBytes = 0;
  /// Without headers, which state the number of parts.
  std::vector<std::vector<std::string>> mParts{ 1 };
};

/// Returns the parts of a snapshot, each of which is to be appended to the snapshot topic at once:
/// a header, then records. aWriter tells the parts of different writers apart.
///
/// Load pattern: a busy cell has thousands of unfinished and recently ended jobs, more than the
/// store takes in one append. A job with thousands of open runs is more than it takes in one
/// record, and is written in pieces.
std::vector<std::vector<std::string>> encodeSnapshot(const snapshot& aSnapshot,
                                                     std::uint64_t aWriter);
/// Returns the complete snapshot with the highest base among the records; absent if there is none.
std::optional<snapshot> lastSnapshot(const std::vector<std::string>& aRecords);

/// Finds the newest complete snapshot from the headers of the snapshot topic, without decoding the
/// records.
class snapshot_index
{
public:
  /// Adds the next records of the topic.
  void add(const std::vector<std::string>& aRecords);
  /// Adds a complete snapshot.
  void add(std::uint64_t aBase) { mNewestBase = std::max(mNewestBase, aBase); }
  /// Base of the newest complete snapshot; 0 if none is known.
  std::uint64_t newestBase() const { return mNewestBase; }

private:
  /// Numbers of the parts found of an incomplete snapshot, by base and writer.
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::set<std::size_t>> mIncomplete;
  std::uint64_t mNewestBase = 0;
};

/// Reads the snapshot topic from its oldest record to its end.
class snapshot_loader
{
public:
  using done_callback = std::function<void(std::optional<snapshot> aFound)>;

  snapshot_loader(platform::store& aStore, const clock& aClock, std::string aTopic);

  /// Starts from the oldest record; aDone runs when the end of the topic is reached. Failed reads
  /// are retried.
  void load(done_callback aDone);
  /// Ends the current load without a result.
  void cancel()
  {
    mRead.cancel();
    mDone = nullptr;
  }
  void tick(time_point aNow);
  bool active() const { return static_cast<bool>(mDone); }
  /// Offset up to which the topic has been read.
  std::uint64_t next() const { return mNext; }

private:
  void onReadReply(platform::read_reply&& aReply);

  const clock& mClock;
  const std::string mTopic;
  probed_read mRead;
  done_callback mDone;
  std::uint64_t mNext = 0;
  time_point mRetryAt{};
  std::vector<std::string> mRecords;
};

} // namespace endiveusher::node
