#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/platform/store.h"
#include "endiveusher/scheduler/job_book.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endiveusher::node {

/// State of the cell at one place of the journal. The journal before it is not needed any more.
struct snapshot
{
  /// Offset of the first record of the journal that the snapshot may lack.
  std::uint64_t mBase = 0;
  std::vector<scheduler::journal_record> mRecords;
};

/// Load pattern: all daemons lose power on a busy cell. The next owner reads what the journal holds
/// beyond the last snapshot before it starts anything; 30,000 records take it over half a second.
class snapshot_schedule
{
public:
  /// aRetention is how long the store keeps records.
  snapshot_schedule(std::chrono::milliseconds aRetention, time_point aNow)
    : mRetention(aRetention), mLast(aNow)
  {
  }
  bool due(std::uint64_t aRecordsSince, time_point aNow) const
  {
    const auto age = aNow - mLast;
    return (aRecordsSince > kRecords && age > kInterval) || age > mRetention / kPerRetention;
  }
  void written(time_point aNow) { mLast = aNow; }

private:
  /// Worth a snapshot: a successor reads them in a fraction of the time that it takes to notice the
  /// loss.
  static constexpr std::uint64_t kRecords = 2000;
  /// Encoding all jobs holds up the decisions of the owner.
  static constexpr std::chrono::seconds kInterval{ 8 };
  /// In time before the store deletes the last one.
  static constexpr int kPerRetention = 4;

  std::chrono::milliseconds mRetention;
  time_point mLast;
};

/// Records of the snapshot's topic: a header with the base and the number of records that follow.
std::vector<std::string> encodeSnapshot(const snapshot& aSnapshot);
/// The last complete snapshot among the records; absent if there is none.
std::optional<snapshot> lastSnapshot(const std::vector<std::string>& aRecords);

/// Reads the topic of snapshots from its oldest record to its end.
class snapshot_loader
{
public:
  using done = std::function<void(std::optional<snapshot> aFound)>;

  snapshot_loader(platform::store& aStore, const clock& aClock, std::string aTopic);

  /// Starts anew; aDone runs when the end of the topic is reached. Failed reads are repeated.
  void load(done aDone);
  void tick(time_point aNow);
  bool active() const { return static_cast<bool>(mDone); }

private:
  void answered(platform::read_reply&& aReply);

  platform::store& mStore;
  const clock& mClock;
  const std::string mTopic;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  std::uint64_t mGeneration = 0;
  done mDone;
  bool mOpen = false;
  std::uint64_t mNext = 0;
  time_point mRetryAt{};
  std::vector<std::string> mRecords;
};

} // namespace endiveusher::node
