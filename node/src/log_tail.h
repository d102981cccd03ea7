#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/platform/store.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace endiveusher::node {

struct log_tail_options
{
  std::string mTopic;
  /// Starts with the newest record of each key, where the topic has keys.
  bool mKeyed = false;
  /// How long the store may hold a read open.
  std::chrono::milliseconds mWait{ 1000 };
  /// Shortest time between two reads; more records then come with one.
  std::chrono::milliseconds mInterval{ 25 };
};

/// Follows one topic of the store from its oldest record on.
class log_tail
{
public:
  /// What the tail reports. All run on the thread of the loop.
  struct callbacks
  {
    /// Records from aOffset on.
    std::function<void(const std::vector<std::string>& aRecords, std::uint64_t aOffset)> mRecords;
    /// Newest value of each key, complete; replaces all that was known. For keyed topics only.
    std::function<void(const std::vector<platform::keyed_record>& aRecords)> mNewest = {};
    /// Records before aFirst are gone although they were not read. For other topics only.
    std::function<void(std::uint64_t aFirst)> mGap = [](std::uint64_t) {};
    std::function<void(std::uint64_t aEnd)> mAnswered = [](std::uint64_t) {};
    std::function<void()> mFailed = [] {};
  };

  log_tail(platform::store& aStore, const clock& aClock, log_tail_options aOptions,
           callbacks aCallbacks);

  /// Sends the next read if it is due.
  void tick(time_point aNow);
  void setInterval(std::chrono::milliseconds aInterval) { mOptions.mInterval = aInterval; }
  /// Reads again from aOffset; what is on its way is ignored.
  void restart(std::uint64_t aOffset);
  /// When the newest answered read was sent: everything acknowledged before is known.
  time_point freshAsOf() const { return mFreshAsOf; }
  /// Whether the end of the topic has been reached once.
  bool caughtUp() const { return mCaughtUp; }
  std::uint64_t next() const { return mNext; }

private:
  void sendNewest(time_point aNow, const std::string& aAfter);
  void sendRead(time_point aNow);
  void fail();

  platform::store& mStore;
  const clock& mClock;
  log_tail_options mOptions;
  callbacks mCallbacks;
  /// Counts restarts; answers to earlier reads are ignored.
  std::uint64_t mGeneration = 0;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  bool mOpen = false;
  bool mNeedNewest = false;
  bool mCaughtUp = false;
  std::uint64_t mNext = 0;
  time_point mDue{};
  time_point mFreshAsOf{};
  std::uint32_t mFailures = 0;
  std::vector<platform::keyed_record> mCollected;
  std::uint64_t mCollectedEnd = 0;
  time_point mCollectedSince{};
};

} // namespace endiveusher::node
