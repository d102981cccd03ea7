#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/platform/store.h"
#include "probed_read.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::node {

struct log_tail_options
{
  std::string mTopic;
  /// Whether the topic is keyed; reading then starts with the newest record of each key.
  bool mKeyed = false;
  /// How long the store may hold a read open.
  std::chrono::milliseconds mWait{ 1000 };
  /// Minimum time between two reads, so that one read returns several records.
  std::chrono::milliseconds mInterval{ 25 };
};

/// Follows one topic of the store, from its oldest record on.
class log_tail
{
public:
  /// All callbacks run on the event loop's thread.
  struct callbacks
  {
    /// Reports records, the first of which is at aOffset.
    std::function<void(const std::vector<std::string>& aRecords, std::uint64_t aOffset)> mOnRecords;
    /// Reports the newest record of every key, which replaces all former records. Keyed topics
    /// only.
    std::function<void(const std::vector<platform::keyed_record>& aRecords)> mOnNewest = {};
    /// Reports a newest record that was left out, or a listing that could not be read. Keyed topics
    /// only.
    std::function<void(const std::string& aError)> mOnUnreadable = [](const std::string&) {};
    /// Reports that records before aFirst were deleted before they were read. Topics without keys
    /// only.
    std::function<void(std::uint64_t aFirst)> mOnGap = [](std::uint64_t) {};
    /// Reports an answered read and the end of the topic.
    std::function<void(std::uint64_t aEnd)> mOnReply = [](std::uint64_t) {};
    std::function<void()> mOnFailure = [] {};
    /// Reports a line for the log: reads have begun to fail, or succeed again.
    std::function<void(std::string_view aEvent, std::string_view aDetail)> mOnEvent =
      [](std::string_view, std::string_view) {};
  };

  log_tail(platform::store& aStore, const clock& aClock, log_tail_options aOptions,
           callbacks aCallbacks);

  /// Sends the next read if it is due.
  void tick(time_point aNow);
  void setInterval(std::chrono::milliseconds aInterval) { mOptions.mInterval = aInterval; }
  /// Reads again from aOffset; the read in flight is given up.
  void restart(std::uint64_t aOffset);
  /// All records that were acknowledged before this time are known. It is the time at which the
  /// newest read was sent whose end of the topic has been reached: an answer holds a limited number
  /// of records.
  time_point freshAsOf() const { return mFreshAsOf; }
  /// The records that are being reported were stored at or after this time, unless the tail was
  /// restarted before them.
  time_point recordsSince() const { return mRecordsSince; }
  /// Whether the end of the topic has been reached once.
  bool caughtUp() const { return mCaughtUp; }
  std::uint64_t next() const { return mNext; }

private:
  void sendNewest(time_point aNow, const std::string& aAfter);
  void sendRead(time_point aNow);
  void onNewestReply(platform::newest_reply&& aReply, const probed_read::receipt& aReceipt,
                     bool aFirst);
  void onReadReply(platform::read_reply&& aReply, const probed_read::receipt& aReceipt);
  /// Notes that a try of a read was lost or rejected.
  void noteFailure(std::string_view aError);
  void retryLater(std::string_view aError);
  void succeed();
  /// Notes the end that the answer to a read sent at aSent has stated, after its records.
  void noteEnd(std::uint64_t aEnd, time_point aSent);

  platform::store& mStore;
  const clock& mClock;
  log_tail_options mOptions;
  callbacks mCallbacks;
  probed_read mRead;
  bool mNeedNewest = false;
  bool mCaughtUp = false;
  std::uint64_t mNext = 0;
  /// An end of the topic that has not been reached yet; records before it may be older than mAsOf.
  struct topic_end
  {
    std::uint64_t mEnd = 0;
    time_point mAsOf;
  };
  std::optional<topic_end> mAwaitedEnd;
  time_point mNextReadAt{};
  time_point mFreshAsOf{};
  time_point mRecordsSince{};
  std::uint32_t mFailures = 0;
  /// Time at which the read in flight, or the last one, was sent.
  time_point mSentAt{};
  /// Its time limit.
  std::chrono::milliseconds mTimeLimit{ 0 };
  std::vector<platform::keyed_record> mCollected;
  std::uint64_t mCollectedEnd = 0;
  time_point mCollectedSince{};
};

} // namespace endiveusher::node
