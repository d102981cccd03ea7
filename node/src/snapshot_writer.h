#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/platform/store.h"
#include "event_log.h"
#include "snapshots.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endiveusher::node {

struct snapshot_writer_options
{
  std::string mTopic;
  /// Topic whose records the snapshots replace.
  std::string mJournalTopic;
  /// Tells the snapshots of different writers apart.
  std::uint64_t mWriter = 0;
  /// Time for which the store keeps records.
  std::chrono::milliseconds mRetention{ 0 };
};

/// A complete job table, and the part of the journal that it holds.
struct snapshot_source
{
  const scheduler::job_table& mTable;
  /// Offset of the first journal record that the table may not include.
  std::uint64_t mPosition = 0;
  /// The table includes all journal records that were acknowledged before this time.
  time_point mFreshAsOf{};
};

/// Writes snapshots of the job table when they are due, and deletes what each one replaces.
///
/// A snapshot is stored only behind all others, and only if it holds at least as much of the
/// journal as they do: the writer reads the topic to its end, waits until the table includes all
/// journal records stored before that, and appends on condition that the topic still ends there.
/// So a daemon that was paused or partitioned cannot replace a newer snapshot by its old one.
class snapshot_writer
{
public:
  /// Number of records that one tick encodes; some 3 ms of a core.
  static constexpr std::size_t kRecordsPerTick = 1000;

  snapshot_writer(platform::store& aStore, const clock& aClock, event_log& aLog,
                  snapshot_writer_options aOptions);

  /// Reports the newest snapshot that was loaded, and the end of the topic at that time.
  void onLoaded(std::uint64_t aBase, std::uint64_t aTopicEnd);
  /// Gives up the snapshot that is being written, because its table lacks records.
  void abandon();
  /// Starts a snapshot if one is due, and continues the current one. aSource is absent while this
  /// daemon is not to write snapshots or its table cannot be used.
  void tick(time_point aNow, const std::optional<snapshot_source>& aSource);

private:
  enum class phase : std::uint8_t
  {
    idle,
    /// The topic is being read to its end.
    checking,
    /// The table does not include all journal records yet that were stored before the check.
    catching_up,
    /// The records are being encoded, some in each tick.
    encoding,
    appending,
  };

  void readTopic();
  void onReadReply(const platform::read_reply& aReply);
  void takeRecords(const snapshot_source& aSource);
  void encodeSome();
  void appendPart();
  void onAppendReply(const platform::append_reply& aReply);
  void onStored();

  platform::store& mStore;
  const clock& mClock;
  event_log& mLog;
  const snapshot_writer_options mOptions;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  snapshot_schedule mSchedule;
  snapshot_index mIndex;
  phase mPhase = phase::idle;
  bool mCallInFlight = false;
  time_point mRetryAt{};
  std::uint32_t mTries = 0;
  /// End of the topic as far as it was read or written.
  std::uint64_t mTopicEnd = 0;
  /// Time at which the end of the topic was read.
  time_point mCheckedAt{};
  /// The snapshot that is being encoded.
  std::optional<snapshot_encoder> mEncoder;
  /// The snapshot that is being appended.
  std::uint64_t mBase = 0;
  std::uint64_t mFirstOffset = 0;
  std::vector<std::vector<std::string>> mParts;
  std::size_t mNextPart = 0;
};

} // namespace endiveusher::node
