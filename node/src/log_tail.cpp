#include "log_tail.h"

#include "endiveusher/kernel/back_off.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace endiveusher::node {

namespace {

/// Pause after the first failed read; doubles with each further one up to kMaxFailurePause.
constexpr auto kFailurePause = std::chrono::milliseconds(50);
constexpr auto kMaxFailurePause = std::chrono::milliseconds(400);

/// Load pattern: the store is slow, and the calls of all daemons queue there. Each read is then
/// delayed by this multiple of the store's latency, but at most by kMaxLatencyPause, so that
/// cancellations and configurations are not read too late.
constexpr int kLatencyFactor = 3;
constexpr std::chrono::milliseconds kMaxLatencyPause{ 600 };

/// Reported as the error of a read whose first try was not answered, but a later one was.
constexpr std::string_view kLostTry = "no answer to the first try";

std::int64_t toMs(duration aTime)
{
  return aTime / std::chrono::milliseconds(1);
}

} // namespace

log_tail::log_tail(platform::store& aStore, const clock& aClock, log_tail_options aOptions,
                   callbacks aCallbacks)
  : mStore(aStore), mClock(aClock), mOptions(std::move(aOptions)),
    mCallbacks(std::move(aCallbacks)), mRead(aStore, aClock), mNeedNewest(mOptions.mKeyed)
{
}

void log_tail::restart(std::uint64_t aOffset)
{
  mRead.cancel();
  mNext = aOffset;
  mAwaitedEnd.reset();
  mCaughtUp = false;
  mNeedNewest = mOptions.mKeyed;
  mNextReadAt = time_point{};
}

void log_tail::tick(time_point aNow)
{
  mRead.tick(aNow);
  if (mRead.open() || mNextReadAt > aNow) {
    return;
  }
  if (mNeedNewest) {
    mCollected.clear();
    sendNewest(aNow, {});
  } else {
    sendRead(aNow);
  }
}

void log_tail::noteFailure(std::string_view aError)
{
  const auto now = mClock.now();
  if (mFailures++ == 0) {
    mCallbacks.mOnEvent("topic_behind",
                        fmt::format("topic={} age_ms={} read_ms={} limit_ms={} error=\"{}\"",
                                    mOptions.mTopic, toMs(now - mFreshAsOf), toMs(now - mSentAt),
                                    mTimeLimit.count(), aError));
  }
  mCallbacks.mOnFailure();
}

void log_tail::retryLater(std::string_view aError)
{
  mNextReadAt = mClock.now() + doubled(kFailurePause, mFailures, kMaxFailurePause);
  noteFailure(aError);
}

void log_tail::succeed()
{
  if (mFailures > 0) {
    const auto now = mClock.now();
    mCallbacks.mOnEvent("topic_current",
                        fmt::format("topic={} age_ms={} failed_reads={} read_ms={} limit_ms={}",
                                    mOptions.mTopic, toMs(now - mFreshAsOf), mFailures,
                                    toMs(now - mSentAt), mTimeLimit.count()));
  }
  mFailures = 0;
}

void log_tail::noteEnd(std::uint64_t aEnd, time_point aSent)
{
  if (mAwaitedEnd && mNext >= mAwaitedEnd->mEnd) {
    mFreshAsOf = std::max(mFreshAsOf, mAwaitedEnd->mAsOf);
    mAwaitedEnd.reset();
  }
  if (mNext >= aEnd) {
    mFreshAsOf = std::max(mFreshAsOf, aSent);
  } else if (!mAwaitedEnd) {
    mAwaitedEnd = topic_end{ .mEnd = aEnd, .mAsOf = aSent };
  }
}

void log_tail::sendNewest(time_point aNow, const std::string& aAfter)
{
  mSentAt = aNow;
  mTimeLimit = mStore.readTimeout({});
  mRead.newest(mOptions.mTopic, aAfter,
               [this, first = aAfter.empty()](platform::newest_reply&& aReply,
                                              const probed_read::receipt& aReceipt) {
                 onNewestReply(std::move(aReply), aReceipt, first);
               });
}

void log_tail::onNewestReply(platform::newest_reply&& aReply, const probed_read::receipt& aReceipt,
                             bool aFirst)
{
  for (const auto& error : aReply.mUnreadable) {
    mCallbacks.mOnUnreadable(error);
  }
  if (!aReply.mOk) {
    if (!aReply.mError.empty()) {
      mCallbacks.mOnUnreadable(aReply.mError);
    }
    retryLater(aReply.mError.empty() ? "no listing" : aReply.mError);
    return;
  }
  if (aReceipt.mByProbe) {
    noteFailure(kLostTry);
  }
  if (aFirst) {
    // The pages are not a consistent snapshot: records after the end that the first page reports
    // are read again.
    mCollectedEnd = aReply.mEnd;
    mCollectedSince = aReceipt.mSent;
  }
  std::ranges::move(aReply.mRecords, std::back_inserter(mCollected));
  if (aReply.mMoreAfter) {
    sendNewest(mClock.now(), *aReply.mMoreAfter);
    return;
  }
  mNeedNewest = false;
  mNext = mCollectedEnd;
  mAwaitedEnd.reset();
  noteEnd(mCollectedEnd, mCollectedSince);
  succeed();
  mCaughtUp = true;
  mNextReadAt = mClock.now();
  mCallbacks.mOnNewest(std::exchange(mCollected, {}));
  mCallbacks.mOnReply(mNext);
}

void log_tail::sendRead(time_point aNow)
{
  // No wait before the end has been reached, because the reply reports where the end is, nor after
  // a failure, because the reply shows that the store answers again.
  const auto wait = mCaughtUp && mFailures == 0 ? mOptions.mWait : std::chrono::milliseconds(0);
  mSentAt = aNow;
  mTimeLimit = mStore.readTimeout(wait);
  mRead.read(mOptions.mTopic, mNext, wait,
             [this](platform::read_reply&& aReply, const probed_read::receipt& aReceipt) {
               onReadReply(std::move(aReply), aReceipt);
             });
}

void log_tail::onReadReply(platform::read_reply&& aReply, const probed_read::receipt& aReceipt)
{
  if (aReply.mOutcome == platform::read_reply::outcome::failed) {
    retryLater(aReply.mError);
    return;
  }
  if (aReceipt.mByProbe) {
    noteFailure(kLostTry);
  }
  if (aReply.mOutcome == platform::read_reply::outcome::deleted) {
    if (mOptions.mKeyed) {
      mNeedNewest = true;
    } else {
      mNext = std::max(mNext, aReply.mFirst);
      mCallbacks.mOnGap(aReply.mFirst);
    }
    return;
  }
  const auto offset = mNext;
  mRecordsSince = mFreshAsOf;
  mNext += aReply.mRecords.size();
  noteEnd(aReply.mEnd, aReceipt.mSent);
  succeed();
  mCaughtUp = mCaughtUp || mNext >= aReply.mEnd;
  mNextReadAt = mNext < aReply.mEnd
                  ? time_point{}
                  : aReceipt.mSent + mOptions.mInterval +
                      std::min(kLatencyFactor * mStore.latency(), kMaxLatencyPause);
  if (!aReply.mRecords.empty()) {
    mCallbacks.mOnRecords(aReply.mRecords, offset);
  }
  mCallbacks.mOnReply(aReply.mEnd);
}

} // namespace endiveusher::node
