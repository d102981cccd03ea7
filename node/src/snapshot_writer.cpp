#include "snapshot_writer.h"

#include "endiveusher/kernel/back_off.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace endiveusher::node {

namespace {

/// Pause before a failed call is repeated, doubled with each further try, and its upper limit.
constexpr auto kRetryPause = std::chrono::milliseconds(10);
constexpr auto kMaxRetryPause = std::chrono::milliseconds(160);

} // namespace

snapshot_writer::snapshot_writer(platform::store& aStore, const clock& aClock, event_log& aLog,
                                 snapshot_writer_options aOptions)
  : mStore(aStore), mClock(aClock), mLog(aLog), mOptions(std::move(aOptions)),
    mSchedule(mOptions.mRetention, aClock.now())
{
}

void snapshot_writer::onLoaded(std::uint64_t aBase, std::uint64_t aTopicEnd)
{
  if (mPhase == phase::idle) {
    mTopicEnd = std::max(mTopicEnd, aTopicEnd);
  }
  mIndex.add(aBase);
}

void snapshot_writer::abandon()
{
  if (mPhase == phase::encoding || mPhase == phase::appending) {
    mLog.write("snapshot", fmt::format("base={} stored=false part={} reason=incomplete_table",
                                       mBase, mNextPart));
    mSchedule.onWriteFailed(mClock.now());
    mTries = 0;
    mEncoder.reset();
    mParts.clear();
    mPhase = phase::idle;
  }
}

void snapshot_writer::tick(time_point aNow, const std::optional<snapshot_source>& aSource)
{
  if (aSource && mPhase == phase::idle) {
    const auto position = aSource->mPosition;
    if (mSchedule.due(position - std::min(position, mIndex.newestBase()), aNow)) {
      mSchedule.onWriteStarted(aNow);
      mPhase = phase::checking;
    }
  }
  if (aSource && mPhase == phase::catching_up && aSource->mFreshAsOf > mCheckedAt) {
    takeRecords(*aSource);
  }
  if (mPhase == phase::encoding) {
    encodeSome();
  }
  if (mCallInFlight || mRetryAt > aNow) {
    return;
  }
  if (mPhase == phase::checking) {
    readTopic();
  } else if (mPhase == phase::appending) {
    appendPart();
  }
}

void snapshot_writer::readTopic()
{
  mCallInFlight = true;
  mStore.read(mOptions.mTopic, mTopicEnd, std::chrono::milliseconds(0),
              [this, alive = std::weak_ptr(mAlive)](platform::read_reply&& aReply) {
                if (!alive.expired()) {
                  onReadReply(aReply);
                }
              });
}

void snapshot_writer::onReadReply(const platform::read_reply& aReply)
{
  mCallInFlight = false;
  switch (aReply.mOutcome) {
    case platform::read_reply::outcome::failed:
      mRetryAt = mClock.now() + doubled(kRetryPause, mTries++, kMaxRetryPause);
      return;
    case platform::read_reply::outcome::deleted:
      mTopicEnd = std::max(mTopicEnd + 1, aReply.mFirst);
      return;
    case platform::read_reply::outcome::ok:
      break;
  }
  mTries = 0;
  mTopicEnd += aReply.mRecords.size();
  mIndex.add(aReply.mRecords);
  if (mPhase == phase::checking && mTopicEnd >= aReply.mEnd) {
    mCheckedAt = mClock.now();
    mPhase = phase::catching_up;
  }
}

void snapshot_writer::takeRecords(const snapshot_source& aSource)
{
  if (aSource.mPosition < mIndex.newestBase()) {
    mLog.write("snapshot", fmt::format("base={} stored=false newest_base={} reason=outdated",
                                       aSource.mPosition, mIndex.newestBase()));
    mPhase = phase::idle;
    return;
  }
  mBase = aSource.mPosition;
  mEncoder.emplace(snapshot{ .mBase = mBase, .mRecords = aSource.mTable.snapshot(mClock.now()) },
                   mOptions.mWriter);
  mPhase = phase::encoding;
  mLog.write("snapshot_started",
             fmt::format("base={} jobs={} topic_end={}", mBase, aSource.mTable.size(), mTopicEnd));
}

void snapshot_writer::encodeSome()
{
  if (mEncoder->step(kRecordsPerTick)) {
    mParts = mEncoder->takeParts();
    mEncoder.reset();
    mNextPart = 0;
    mPhase = phase::appending;
  }
}

void snapshot_writer::appendPart()
{
  mCallInFlight = true;
  ++mTries;
  mStore.append({ .mTopic = mOptions.mTopic,
                  .mRecords = mParts[mNextPart],
                  .mExpectedEnd = mTopicEnd,
                  .mTimeout = mStore.appendTimeout(mTries) },
                [this, alive = std::weak_ptr(mAlive)](platform::append_reply&& aReply) {
                  if (!alive.expired()) {
                    onAppendReply(aReply);
                  }
                });
}

void snapshot_writer::onAppendReply(const platform::append_reply& aReply)
{
  mCallInFlight = false;
  if (mPhase != phase::appending) {
    return; // Abandoned. What was stored is read with the next check.
  }
  switch (aReply.mOutcome) {
    case platform::append_outcome::appended:
      if (mNextPart == 0) {
        mFirstOffset = aReply.mOffset;
      }
      mTopicEnd = aReply.mOffset + mParts[mNextPart].size();
      mTries = 0;
      if (++mNextPart == mParts.size()) {
        onStored();
      }
      return;
    case platform::append_outcome::conflict:
      // Another daemon has written a snapshot, or an unanswered try of this part was stored. What
      // was stored of this one is deleted with the next one.
      mLog.write("snapshot", fmt::format("base={} stored=false part={} tries={} expected_end={} "
                                         "end={} reason=conflict",
                                         mBase, mNextPart, mTries, mTopicEnd, aReply.mEnd));
      mSchedule.onWriteFailed(mClock.now());
      mTries = 0;
      mParts.clear();
      mPhase = phase::idle;
      return;
    default:
      mRetryAt = mClock.now() + doubled(kRetryPause, mTries, kMaxRetryPause);
  }
}

void snapshot_writer::onStored()
{
  mLog.write("snapshot", fmt::format("base={} stored=true", mBase));
  // Only up to the former snapshot, so that daemons that are slightly behind find no gap.
  mStore.trim(mOptions.mJournalTopic, mIndex.newestBase(), [](bool /*aDeleted*/) {});
  mStore.trim(mOptions.mTopic, mFirstOffset, [](bool /*aDeleted*/) {});
  mIndex.add(mBase);
  mParts.clear();
  mPhase = phase::idle;
}

} // namespace endiveusher::node
