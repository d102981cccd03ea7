#include "journal_writer.h"

#include "endiveusher/kernel/back_off.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

namespace endiveusher::node {

namespace {

/// Size of an append beyond which it takes no further records.
constexpr std::size_t kMaxCallBytes = platform::kMaxAppendBytes / 2;
/// Length of a record in front of it.
constexpr std::size_t kLengthBytes = 4;
/// Bits of the sequence number within an epoch; more appends than a daemon makes in a year.
constexpr unsigned kSequenceBits = 32;
/// Pause before an append is retried. It doubles with each try after a refusal, but not after a
/// missing reply, which has already taken the append's timeout.
constexpr auto kRetryPause = std::chrono::milliseconds(10);
constexpr auto kMaxRetryPause = std::chrono::milliseconds(160);

std::size_t sizeOf(const std::vector<std::string>& aRecords)
{
  std::size_t bytes = 0;
  for (const auto& record : aRecords) {
    bytes += record.size() + kLengthBytes;
  }
  return bytes;
}

/// Returns the records in order, in parts each of which the store takes in one append.
std::vector<std::vector<std::string>> splitForStore(std::vector<std::string> aRecords)
{
  std::vector<std::vector<std::string>> parts(1);
  std::size_t bytes = 0;
  for (auto& record : aRecords) {
    const auto size = record.size() + kLengthBytes;
    if (!parts.back().empty() && bytes + size > kMaxCallBytes) {
      parts.emplace_back();
      bytes = 0;
    }
    bytes += size;
    parts.back().push_back(std::move(record));
  }
  return parts;
}

} // namespace

journal_writer::journal_writer(platform::store& aStore, const clock& aClock,
                               journal_writer_options aOptions)
  : mStore(aStore), mClock(aClock), mOptions(std::move(aOptions)), mEpoch(mOptions.mEpoch),
    mSequence((mEpoch << kSequenceBits) + 1)
{
}

void journal_writer::write(std::vector<std::string> aRecords, done_callback aDone,
                           std::optional<time_point> aNotAfter)
{
  if (mFenced) {
    aDone(write_outcome::fenced);
    return;
  }
  auto parts = splitForStore(std::move(aRecords));
  if (parts.size() > 1) {
    const auto allStored = std::make_shared<bool>(true);
    for (std::size_t part = 0; part + 1 < parts.size(); ++part) {
      mWaiting.push_back({ .mRecords = std::move(parts[part]),
                           .mDone =
                             [allStored](write_outcome aOutcome) {
                               *allStored = *allStored && aOutcome == write_outcome::stored;
                             },
                           .mNotAfter = aNotAfter });
    }
    aDone = [allStored, done = std::move(aDone)](write_outcome aOutcome) {
      const bool known =
        aOutcome == write_outcome::fenced || (aOutcome == write_outcome::stored && *allStored);
      done(known ? aOutcome : write_outcome::unknown);
    };
  }
  mWaiting.push_back(
    { .mRecords = std::move(parts.back()), .mDone = std::move(aDone), .mNotAfter = aNotAfter });
  tick(mClock.now());
}

void journal_writer::tick(time_point aNow)
{
  if (mInFlight || mFenced) {
    return;
  }
  std::vector<entry> expired;
  if (mCurrent.empty()) {
    expired = takeWaiting(aNow);
  } else {
    withdrawExpired(aNow);
  }
  if (!mCurrent.empty() && mRetryAt <= aNow) {
    send();
  }
  const auto alive = std::weak_ptr(mAlive);
  for (auto& one : expired) {
    one.mDone(write_outcome::refused);
    if (alive.expired()) {
      return;
    }
  }
}

std::vector<journal_writer::entry> journal_writer::takeWaiting(time_point aNow)
{
  std::vector<entry> expired;
  std::size_t bytes = 0;
  while (!mWaiting.empty()) {
    const bool isExpired = mWaiting.front().expired(aNow);
    const auto size = isExpired ? 0 : sizeOf(mWaiting.front().mRecords);
    if (!mCurrent.empty() && bytes + size > kMaxCallBytes) {
      break;
    }
    auto next = std::move(mWaiting.front());
    mWaiting.pop_front();
    if (isExpired) {
      expired.push_back(std::move(next));
      continue;
    }
    bytes += size;
    std::ranges::move(next.mRecords, std::back_inserter(mCurrentRecords));
    mCurrent.push_back(std::move(next));
  }
  mTries = 0;
  mUncertain = false;
  mRetryAt = time_point{};
  if (!mCurrent.empty()) {
    mPendingSince = aNow;
  }
  return expired;
}

void journal_writer::withdrawExpired(time_point aNow)
{
  if (std::ranges::none_of(mCurrent, [aNow](const entry& aOne) { return aOne.expired(aNow); })) {
    return;
  }
  beginNextEpoch();
  std::vector<std::string> kept;
  auto next = mCurrentRecords.begin();
  for (auto& one : mCurrent) {
    if (one.mWithdrawn) {
      continue;
    }
    one.mWithdrawn = one.expired(aNow);
    // Its records were moved to mCurrentRecords, which holds those of all entries in order.
    const auto end = next + static_cast<std::ptrdiff_t>(one.mRecords.size());
    if (!one.mWithdrawn) {
      kept.insert(kept.end(), std::move_iterator(next), std::move_iterator(end));
    }
    next = end;
  }
  mCurrentRecords = std::move(kept);
}

void journal_writer::send()
{
  mInFlight = true;
  mRepeats += mTries > 0 ? 1 : 0;
  ++mTries;
  mStore.append(
    { .mTopic = mOptions.mTopic,
      .mRecords = mCurrentRecords,
      .mProducer =
        platform::producer{ .mName = mOptions.mProducer, .mEpoch = mEpoch, .mSequence = mSequence },
      .mTimeout = mStore.appendTimeout(mTries) },
    [this, alive = std::weak_ptr(mAlive)](platform::append_reply&& aReply) {
      if (!alive.expired()) {
        onAppendReply(aReply);
      }
    });
}

void journal_writer::onAppendReply(const platform::append_reply& aReply)
{
  using platform::append_outcome;
  mInFlight = false;
  mLastElapsed = aReply.mElapsed;
  switch (aReply.mOutcome) {
    case append_outcome::appended:
      ++mSequence;
      if (!mCurrentRecords.empty() && aReply.mOffset < mNextOffset) {
        // The reply belongs to an older append; these records are not stored.
        mFenced = true;
        finish(write_outcome::fenced);
        return;
      }
      mNextOffset = aReply.mOffset + mCurrentRecords.size();
      finish(write_outcome::stored);
      return;
    case append_outcome::fenced:
      mFenced = true;
      finish(write_outcome::fenced);
      return;
    case append_outcome::out_of_sequence:
      onOutOfSequence(aReply.mExpectedSequence);
      return;
    case append_outcome::conflict:
    case append_outcome::refused:
      if (!mOptions.mRetryRefused && !mUncertain) {
        finish(write_outcome::refused);
        return;
      }
      break;
    case append_outcome::unanswered:
      mUncertain = true;
      break;
  }
  const auto doublings = aReply.mOutcome == append_outcome::unanswered ? 0 : mTries;
  mRetryAt = mClock.now() + doubled(kRetryPause, doublings, kMaxRetryPause);
}

void journal_writer::onOutOfSequence(std::optional<std::uint64_t> aExpected)
{
  // The store expects the next number only if it has taken this one. An append without records only
  // sets the epoch, which is in force: otherwise the store would have rejected it as too low, or
  // taken any number.
  const bool taken = aExpected ? *aExpected == mSequence + 1 : mCurrentRecords.empty();
  if (mUncertain && taken) {
    ++mSequence;
    finish(write_outcome::stored);
    return;
  }
  if (mOptions.mSharedProducer) {
    mFenced = true;
    finish(write_outcome::fenced);
    return;
  }
  // The numbers no longer follow those that the store has taken. Under the next epoch it takes any,
  // and rejects copies that are under way.
  const bool mayBeStored = mUncertain && (!aExpected || *aExpected > mSequence);
  beginNextEpoch();
  if (mayBeStored) {
    finish(write_outcome::unknown);
    return;
  }
  mRetryAt = mClock.now() + doubled(kRetryPause, mTries, kMaxRetryPause);
}

void journal_writer::beginNextEpoch()
{
  ++mEpoch;
  mSequence = (mEpoch << kSequenceBits) + 1;
}

void journal_writer::finish(write_outcome aOutcome)
{
  mPendingSince.reset();
  mCurrentRecords.clear();
  auto finished = std::exchange(mCurrent, {});
  if (aOutcome == write_outcome::fenced) {
    std::ranges::move(mWaiting, std::back_inserter(finished));
    mWaiting.clear();
  }
  const auto alive = std::weak_ptr(mAlive);
  for (auto& one : finished) {
    one.mDone(one.mWithdrawn ? write_outcome::unknown : aOutcome);
    if (alive.expired()) {
      return;
    }
  }
  tick(mClock.now());
}

} // namespace endiveusher::node
