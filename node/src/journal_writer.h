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
  /// Producer name under which appends are numbered, so that the store keeps a repeated one once.
  std::string mProducer;
  std::uint64_t mEpoch = 1;
  /// Whether to retry appends that the store refuses; otherwise they are reported as refused.
  bool mRetryRefused = false;
  /// Whether others use the producer name under higher epochs. The writer keeps its epoch then.
  bool mSharedProducer = false;
};

/// Result of a write.
enum class write_outcome : std::uint8_t
{
  stored,
  /// Confirmed not to be stored.
  refused,
  /// Not stored, because the owner accepts no further job of the team at present.
  overloaded,
  /// A writer with a higher epoch has appended; this writer can store nothing more.
  fenced,
  /// May or may not be stored.
  unknown,
};

/// Appends records in order with one call in flight at a time; records written meanwhile are
/// batched into the next call. The records of one write that are more than the store takes in one
/// append are stored in several, so that a reader may find only the first of them. An unanswered
/// append is repeated with the same sequence number until its outcome is known. Records that may no
/// longer be stored by then are withdrawn: the append is repeated without them under the next
/// epoch, so that the store rejects copies that are under way.
class journal_writer
{
public:
  using done_callback = std::function<void(write_outcome aOutcome)>;

  journal_writer(platform::store& aStore, const clock& aClock, journal_writer_options aOptions);

  /// aNotAfter: time after which the records are not sent. Their outcome is refused then, or
  /// unknown if they were sent before. Only for a writer whose producer name no other one uses.
  void write(std::vector<std::string> aRecords, done_callback aDone,
             std::optional<time_point> aNotAfter = std::nullopt);
  /// Sends the next append or retry if it is due.
  void tick(time_point aNow);
  /// Time at which the current append was first sent; absent if there is none.
  std::optional<time_point> pendingSince() const { return mPendingSince; }
  std::size_t waiting() const { return mWaiting.size(); }
  /// Duration of the newest finished call.
  duration lastElapsed() const { return mLastElapsed; }
  /// Number of calls that repeated an append.
  std::uint64_t repeats() const { return mRepeats; }

private:
  struct entry
  {
    std::vector<std::string> mRecords;
    done_callback mDone;
    std::optional<time_point> mNotAfter;
    bool mWithdrawn = false;

    bool expired(time_point aNow) const { return !mWithdrawn && mNotAfter && *mNotAfter < aNow; }
  };
  /// Makes the next append of the records that wait. Returns those that have expired.
  std::vector<entry> takeWaiting(time_point aNow);
  /// Takes the expired records out of the current append, which may be stored.
  void withdrawExpired(time_point aNow);
  void send();
  void onAppendReply(const platform::append_reply& aReply);
  /// Handles an answer that the number of the current append is not aExpected.
  void onOutOfSequence(std::optional<std::uint64_t> aExpected);
  void beginNextEpoch();
  void finish(write_outcome aOutcome);

  platform::store& mStore;
  const clock& mClock;
  const journal_writer_options mOptions;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  std::deque<entry> mWaiting;
  std::uint64_t mEpoch;
  /// Entries of the current append.
  std::vector<entry> mCurrent;
  std::vector<std::string> mCurrentRecords;
  /// Sequence number of the current append. Each epoch uses its own range, because the store treats
  /// a recent number as a repetition even if it belongs to an earlier epoch.
  std::uint64_t mSequence;
  bool mInFlight = false;
  /// Whether a try of the current append was unanswered, so that its records may be stored.
  bool mUncertain = false;
  bool mFenced = false;
  std::optional<time_point> mPendingSince;
  time_point mRetryAt{};
  std::uint32_t mTries = 0;
  std::uint64_t mRepeats = 0;
  duration mLastElapsed{ 0 };
  /// Lowest offset at which the next append can be stored.
  std::uint64_t mNextOffset = 0;
};

} // namespace endiveusher::node
