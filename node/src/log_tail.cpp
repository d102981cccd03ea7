#include "log_tail.h"

#include "endiveusher/kernel/back_off.h"

#include <algorithm>
#include <utility>

namespace endiveusher::node {

namespace {

/// Pause after the first failed read; doubles up to the longest.
constexpr auto kFailurePause = std::chrono::milliseconds(50);
constexpr auto kMaxFailurePause = std::chrono::milliseconds(400);

/// Load pattern: a slow store takes as much longer for each call, and the calls of all daemons
/// together queue there. Reads become rarer by this many times its delay, but not so rare that a
/// cancellation or a configuration is read too late.
constexpr int kDelayFactor = 3;
constexpr std::chrono::milliseconds kMaxDelayPause{ 600 };

} // namespace

log_tail::log_tail(platform::store& aStore, const clock& aClock, log_tail_options aOptions,
                   callbacks aCallbacks)
  : mStore(aStore), mClock(aClock), mOptions(std::move(aOptions)),
    mCallbacks(std::move(aCallbacks)), mNeedNewest(mOptions.mKeyed)
{
}

void log_tail::restart(std::uint64_t aOffset)
{
  ++mGeneration;
  mOpen = false;
  mNext = aOffset;
  mCaughtUp = false;
  mNeedNewest = mOptions.mKeyed;
  mDue = time_point{};
}

void log_tail::tick(time_point aNow)
{
  if (mOpen || mDue > aNow) {
    return;
  }
  mOpen = true;
  if (mNeedNewest) {
    mCollected.clear();
    sendNewest(aNow, {});
  } else {
    sendRead(aNow);
  }
}

void log_tail::fail()
{
  mOpen = false;
  mDue = mClock.now() + doubled(kFailurePause, mFailures++, kMaxFailurePause);
  mCallbacks.mFailed();
}

void log_tail::sendNewest(time_point aNow, const std::string& aAfter)
{
  if (aAfter.empty()) {
    mCollectedSince = aNow;
  }
  mStore.newest(mOptions.mTopic, aAfter,
                [this, alive = std::weak_ptr(mAlive), generation = mGeneration,
                 first = aAfter.empty()](platform::newest_reply&& aReply) {
                  if (alive.expired() || generation != mGeneration) {
                    return;
                  }
                  if (!aReply.mOk) {
                    fail();
                    return;
                  }
                  if (first) {
                    // Pages are no snapshot: the records from the first page's end on are read
                    // again.
                    mCollectedEnd = aReply.mEnd;
                  }
                  std::ranges::move(aReply.mRecords, std::back_inserter(mCollected));
                  if (aReply.mMoreAfter) {
                    sendNewest(mClock.now(), *aReply.mMoreAfter);
                    return;
                  }
                  mOpen = false;
                  mFailures = 0;
                  mNeedNewest = false;
                  mNext = mCollectedEnd;
                  mCaughtUp = true;
                  mFreshAsOf = mCollectedSince;
                  mDue = mClock.now();
                  mCallbacks.mNewest(std::exchange(mCollected, {}));
                  mCallbacks.mAnswered(mNext);
                });
}

void log_tail::sendRead(time_point aNow)
{
  // Without a wait until the end is reached, so that the answer tells where that is.
  const auto wait = mCaughtUp ? mOptions.mWait : std::chrono::milliseconds(0);
  mStore.read(mOptions.mTopic, mNext, wait,
              [this, alive = std::weak_ptr(mAlive), generation = mGeneration,
               sent = aNow](platform::read_reply&& aReply) {
                if (alive.expired() || generation != mGeneration) {
                  return;
                }
                if (aReply.mOutcome == platform::read_reply::outcome::deleted) {
                  mOpen = false;
                  if (mOptions.mKeyed) {
                    mNeedNewest = true;
                  } else {
                    mNext = std::max(mNext, aReply.mFirst);
                    mCallbacks.mGap(aReply.mFirst);
                  }
                  return;
                }
                if (aReply.mOutcome == platform::read_reply::outcome::unanswered) {
                  fail();
                  return;
                }
                mOpen = false;
                mFailures = 0;
                const auto offset = mNext;
                mNext += aReply.mRecords.size();
                mFreshAsOf = sent;
                mCaughtUp = mCaughtUp || mNext >= aReply.mEnd;
                mDue = mNext < aReply.mEnd
                         ? time_point{}
                         : sent + mOptions.mInterval +
                             std::min(kDelayFactor * mStore.delay(), kMaxDelayPause);
                if (!aReply.mRecords.empty()) {
                  mCallbacks.mRecords(aReply.mRecords, offset);
                }
                mCallbacks.mAnswered(aReply.mEnd);
              });
}

} // namespace endiveusher::node
