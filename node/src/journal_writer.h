#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/platform/store.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endiveusher::node {

struct journal_writer_options
{
  std::string mTopic;
  /// Appends are numbered under this name, so that a repeated one is stored once.
  std::string mProducer;
  std::uint64_t mEpoch = 1;
  /// Whether an append that the store has refused is tried again; otherwise its caller is told.
  bool mInsist = false;
};

/// How a write ended.
enum class write_outcome : std::uint8_t
{
  stored,
  /// Surely not stored.
  refused,
  /// Another writer has taken over; nothing more can be stored.
  fenced,
  /// May be stored.
  unknown,
};

/// Appends records in order, one call at a time; what arrives meanwhile shares the next call. An
/// append without an answer is repeated under the same number until its outcome is known.
class journal_writer
{
public:
  using done = std::function<void(write_outcome aOutcome)>;

  journal_writer(platform::store& aStore, const clock& aClock, journal_writer_options aOptions);

  void write(std::vector<std::string> aRecords, done aDone);
  /// Sends what is due.
  void tick(time_point aNow);
  /// Since when the oldest write on its way has had no answer.
  std::optional<time_point> openSince() const { return mOpenSince; }
  std::size_t waiting() const { return mWaiting.size(); }
  /// Of the first record of the newest append that was stored.
  std::uint64_t lastOffset() const { return mLastOffset; }
  duration lastElapsed() const { return mLastElapsed; }
  std::uint64_t repeats() const { return mRepeats; }

private:
  struct entry
  {
    std::vector<std::string> mRecords;
    done mDone;
  };
  void send();
  void answered(const platform::append_reply& aReply);
  void finish(write_outcome aOutcome);

  platform::store& mStore;
  const clock& mClock;
  const journal_writer_options mOptions;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  std::deque<entry> mWaiting;
  /// Entries of the append in progress.
  std::vector<entry> mCurrent;
  std::vector<std::string> mCurrentRecords;
  /// Starts elsewhere in each epoch: the store answers a number that it has seen lately as a
  /// repetition, also if that was in an earlier epoch.
  std::uint64_t mSequence;
  bool mInFlight = false;
  /// A try had no answer: the records may be stored.
  bool mUncertain = false;
  bool mFenced = false;
  std::optional<time_point> mOpenSince;
  time_point mRetryAt{};
  std::uint32_t mTries = 0;
  std::uint64_t mRepeats = 0;
  duration mLastElapsed{ 0 };
  std::uint64_t mLastOffset = 0;
  /// No later append can start before this offset.
  std::uint64_t mNextOffset = 0;
};

} // namespace endiveusher::node
