#include "caller_record_writer.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace endiveusher::node {

namespace {

/// Longer than the usual timeout of callers, which are answered before that the outcome is unknown.
constexpr std::chrono::milliseconds kForwardTimeout{ 4000 };
/// Time after which an unanswered record makes this daemon ask whether the owner has taken it.
constexpr std::chrono::milliseconds kProbeDelay{ 500 };
/// Time in which an owner stores what it has taken, and the same as a multiple of the store's
/// latency: the append that is open, and the next one, which holds the record.
constexpr std::chrono::milliseconds kMinAppendGrace{ 1000 };
constexpr int kAppendGraceLatencies = 8;
/// Pause before a record is sent again whose call has failed, or was turned away.
constexpr std::chrono::milliseconds kResendPause{ 100 };
/// The pause and the grace double each time that the record is sent again to the same owner, up to
/// this number.
constexpr std::uint32_t kMaxDoublings = 3;
/// Time after which the owner is no longer asked for the outcome of a record, and a submission is
/// no longer appended directly; callers that state no timeout have given up then.
constexpr std::chrono::seconds kMaxForwardAge{ 10 };
/// Maximum number of open calls. Below the HTTP loop's limit of connections to one address, so that
/// hellos and status calls never wait for a connection.
constexpr std::uint32_t kMaxOpenCalls = 6;
/// With at least this many calls open, calls are kBatchInterval apart so that each holds several
/// records.
constexpr std::uint32_t kMaxUnbatchedCalls = 2;
constexpr std::chrono::milliseconds kBatchInterval{ 20 };
/// Maximum number of records in one call, and their size from which on a call takes no further
/// ones: with the largest record it stays below the body limit of the owner's server, 1 MB.
constexpr std::size_t kMaxRecordsPerCall = 200;
constexpr std::size_t kMaxCallBytes = std::size_t{ 512 } << 10U;
/// Time after which the caller of a job without room should come back, the same as the owner's.
constexpr std::chrono::seconds kRetryAfterNoRoom{ 10 };

} // namespace

caller_record_writer::caller_record_writer(const clock& aClock, const platform::store& aStore,
                                           owner_client& aOwnerClient, journal_writer& aWriter,
                                           event_log& aLog, local_store aLocal, room_check aHasRoom)
  : mClock(aClock), mStore(aStore), mOwnerClient(aOwnerClient), mWriter(aWriter), mLog(aLog),
    mStoreLocally(std::move(aLocal)), mHasRoom(std::move(aHasRoom))
{
}

bool caller_record_writer::ownerUsable(time_point aNow) const
{
  return mOwnerClient.reachable(aNow) && !mOwnerClient.ownerPartitioned(mStore.latency());
}

bool caller_record_writer::unavailable(time_point aNow, bool aStoreLost, duration aPeriod) const
{
  if (ownerUsable(aNow)) {
    return false;
  }
  return aStoreLost || (mWriter.pendingSince() && aNow - *mWriter.pendingSince() > aPeriod);
}

bool caller_record_writer::ownerExpected(time_point aNow) const
{
  return ownerUsable(aNow) || mOwnerClient.awaitsFirstReply(aNow);
}

duration caller_record_writer::appendGrace(const forwarded_record& aRecord) const
{
  return std::max<duration>(kMinAppendGrace, kAppendGraceLatencies * mStore.latency()) *
         (1U << std::min(aRecord.mRepeats, kMaxDoublings));
}

void caller_record_writer::store(const scheduler::journal_record& aRecord, done_callback aDone)
{
  const bool isSubmission = std::holds_alternative<scheduler::job_submitted>(aRecord);
  const auto now = mClock.now();
  const done_callback local = [this, aRecord, aDone, now, isSubmission](caller_outcome aOutcome) {
    if (aOutcome == write_outcome::stored || aOutcome == write_outcome::overloaded ||
        (aOutcome == write_outcome::refused && isSubmission)) {
      aDone(aOutcome);
    } else {
      append(
        { .mBytes = encode(aRecord), .mDone = aDone, .mSince = now, .mIsSubmission = isSubmission },
        aOutcome != write_outcome::refused);
    }
  };
  if (mStoreLocally(aRecord, local)) {
    return;
  }
  forwarded_record one{ .mBytes = encode(aRecord),
                        .mDone = std::move(aDone),
                        .mSince = now,
                        .mIsSubmission = isSubmission };
  if (!ownerExpected(now)) {
    append(std::move(one), false);
    return;
  }
  mForwarded[++mLastForwardedId] = std::move(one);
  flush(now);
}

void caller_record_writer::sendAgain(forwarded_record& aRecord, duration aPause)
{
  aRecord.mUncertain = true;
  aRecord.mCall = 0;
  aRecord.mOvertakenAt.reset();
  aRecord.mNotBefore = mClock.now() + aPause * (1U << std::min(aRecord.mRepeats, kMaxDoublings));
  ++aRecord.mRepeats;
}

void caller_record_writer::onOwnerChanged()
{
  mGeneration = mOwnerClient.generation();
  mOpenCalls = 0;
  mProbeOpen = false;
  mNewestAnswered = mLastCall;
  // The former owner may be frozen; nothing would end the wait for it before kForwardTimeout.
  for (auto& [number, one] : mForwarded) {
    if (one.mCall != 0) {
      sendAgain(one, duration{ 0 });
    }
    one.mRepeats = 0;
    one.mNotBefore = time_point{};
  }
}

void caller_record_writer::flush(time_point aNow)
{
  if (mGeneration != mOwnerClient.generation()) {
    onOwnerChanged();
  }
  const bool pause = mOpenCalls >= kMaxUnbatchedCalls && aNow - mLastSent < kBatchInterval;
  if (mOpenCalls >= kMaxOpenCalls || pause || !ownerUsable(aNow)) {
    return;
  }
  std::vector<std::uint64_t> numbers;
  std::vector<std::string> records;
  std::size_t bytes = 0;
  for (auto& [number, one] : mForwarded) {
    if (records.size() >= kMaxRecordsPerCall || bytes >= kMaxCallBytes) {
      break;
    }
    if (one.mCall == 0 && one.mNotBefore <= aNow) {
      one.mCall = mLastCall + 1;
      one.mSentAt = aNow;
      numbers.push_back(number);
      records.push_back(one.mBytes);
      bytes += one.mBytes.size();
    }
  }
  if (records.empty()) {
    return;
  }
  ++mLastCall;
  ++mOpenCalls;
  mLastSent = aNow;
  mOwnerClient.call(kPeerStorePath, encodeForwardedRecords(records), kForwardTimeout,
                    [this, numbers = std::move(numbers), call = mLastCall,
                     generation = mGeneration](edges::loop_reply&& aReply) {
                      mOpenCalls -= generation == mGeneration ? 1 : 0;
                      onForwardReply(call, numbers, generation, aReply);
                      flush(mClock.now());
                    });
}

void caller_record_writer::onForwardReply(std::uint64_t aCall,
                                          const std::vector<std::uint64_t>& aNumbers,
                                          std::uint64_t aGeneration,
                                          const edges::loop_reply& aReply)
{
  const bool isCurrent = aGeneration == mOwnerClient.generation();
  if (!aReply.ok() || aReply.mBody.size() != aNumbers.size()) {
    mLog.write("forward_failed",
               fmt::format("status={} error=\"{}\" after_ms={} records={}",
                           aReply.mStatus.value_or(0), aReply.mError,
                           aReply.mElapsed / std::chrono::milliseconds(1), aNumbers.size()));
    if (isCurrent) {
      onForwardFailure(aCall, aNumbers, aReply);
    }
    return;
  }
  if (isCurrent) {
    mNewestAnswered = std::max(mNewestAnswered, aCall);
  }
  for (std::size_t index = 0; index < aNumbers.size(); ++index) {
    const auto found = mForwarded.find(aNumbers[index]);
    if (found == mForwarded.end()) {
      continue;
    }
    const bool isNewestCall = isCurrent && found->second.mCall == aCall;
    if (!isNewestCall && aReply.mBody[index] != static_cast<char>(forward_result::stored)) {
      continue; // The record is, or will be, sent once more, perhaps to another owner.
    }
    auto one = std::move(found->second);
    mForwarded.erase(found);
    finish(std::move(one), aReply.mBody[index]);
  }
}

void caller_record_writer::onForwardFailure(std::uint64_t aCall,
                                            const std::vector<std::uint64_t>& aNumbers,
                                            const edges::loop_reply& aReply)
{
  const bool hasTimedOut = !aReply.mStatus && aReply.mElapsed >= kForwardTimeout;
  for (const auto number : aNumbers) {
    const auto found = mForwarded.find(number);
    if (found == mForwarded.end() || found->second.mCall != aCall) {
      continue;
    }
    auto& one = found->second;
    if (aReply.mRefused) {
      // The owner's process has ended. It may have received the record on a reused connection that
      // ended with it.
      auto lost = std::move(one);
      mForwarded.erase(found);
      const bool uncertain = lost.mUncertain || !aReply.mUnsent;
      append(std::move(lost), uncertain);
    } else if (!hasTimedOut) {
      sendAgain(one, kResendPause);
    } // Otherwise the owner may still have it in its queue, see findLost().
  }
}

void caller_record_writer::finish(forwarded_record aRecord, char aResult)
{
  const auto retryAfter = decodeRetryAfter(aResult);
  const auto result =
    retryAfter.count() > 0 ? forward_result::overloaded : static_cast<forward_result>(aResult);
  // A former owner, or this one by another call, may have stored what is turned away now.
  const auto turnAway = [&aRecord](caller_outcome aOutcome) {
    aRecord.mDone(aRecord.mUncertain ? caller_outcome(write_outcome::unknown) : aOutcome);
  };
  if (result == forward_result::stored) {
    aRecord.mDone(write_outcome::stored);
  } else if (result == forward_result::overloaded) {
    turnAway({ write_outcome::overloaded, retryAfter });
  } else if (result == forward_result::busy && aRecord.mIsSubmission && ownerUsable(mClock.now())) {
    turnAway(write_outcome::refused);
  } else {
    const bool uncertain =
      aRecord.mUncertain || (result != forward_result::refused && result != forward_result::busy);
    append(std::move(aRecord), uncertain);
  }
}

void caller_record_writer::tick(time_point aNow)
{
  const bool expected = ownerExpected(aNow);
  for (auto at = mForwarded.begin(); at != mForwarded.end();) {
    const bool overdue = aNow - at->second.mSince > kMaxForwardAge;
    if (expected && !overdue) {
      ++at;
      continue;
    }
    auto one = std::move(at->second);
    at = mForwarded.erase(at);
    const bool uncertain = one.mUncertain || one.mCall != 0;
    mLog.write(expected ? "forward_unanswered" : "forward_abandoned",
               fmt::format("store_delay_ms={} after_ms={} sent={}", mStore.latency().count(),
                           (aNow - one.mSince) / std::chrono::milliseconds(1), uncertain));
    if (expected) {
      one.mDone(uncertain ? write_outcome::unknown : write_outcome::refused);
    } else {
      append(std::move(one), uncertain);
    }
  }
  findLost(aNow);
  flush(aNow);
  probe(aNow);
}

void caller_record_writer::findLost(time_point aNow)
{
  for (auto& [number, one] : mForwarded) {
    if (one.mCall == 0 || one.mCall >= mNewestAnswered) {
      continue;
    }
    if (!one.mOvertakenAt) {
      one.mOvertakenAt = aNow;
    } else if (aNow - *one.mOvertakenAt > appendGrace(one)) {
      mLog.write("forward_repeated",
                 fmt::format("after_ms={} store_delay_ms={}",
                             (aNow - one.mSentAt) / std::chrono::milliseconds(1),
                             mStore.latency().count()));
      sendAgain(one, duration{ 0 });
    }
  }
}

void caller_record_writer::probe(time_point aNow)
{
  if (mProbeOpen || !ownerUsable(aNow) || std::ranges::none_of(mForwarded, [&](const auto& aOne) {
        const auto& record = aOne.second;
        return record.mCall > mNewestAnswered && aNow - record.mSentAt > kProbeDelay;
      })) {
    return;
  }
  mProbeOpen = true;
  mOwnerClient.call(
    kPeerStorePath, encodeForwardedRecords({}), kForwardTimeout,
    [this, call = ++mLastCall, generation = mGeneration](const edges::loop_reply& aReply) {
      if (generation != mGeneration) {
        return;
      }
      mProbeOpen = false;
      if (aReply.ok()) {
        mNewestAnswered = std::max(mNewestAnswered, call);
      }
    });
}

bool caller_record_writer::lacksRoom(const forwarded_record& aRecord) const
{
  if (!aRecord.mIsSubmission) {
    return false;
  }
  const auto record = scheduler::decodeRecord(aRecord.mBytes);
  const auto* submitted = record.ok() ? std::get_if<scheduler::job_submitted>(&*record) : nullptr;
  return submitted != nullptr && !mHasRoom(submitted->mSpec);
}

void caller_record_writer::append(forwarded_record aRecord, bool aUncertain)
{
  // A submission that may be stored already is appended: it takes no further room.
  if (!aUncertain && lacksRoom(aRecord)) {
    mLog.write("append_rejected",
               fmt::format("reason=job_table_full retry_after_s={}", kRetryAfterNoRoom.count()));
    aRecord.mDone({ write_outcome::overloaded, kRetryAfterNoRoom });
    return;
  }
  // Later, a job that another copy of the record has stored may have ended and been forgotten.
  const auto notAfter =
    aRecord.mIsSubmission ? std::optional(aRecord.mSince + kMaxForwardAge) : std::nullopt;
  mWriter.write(
    { std::move(aRecord.mBytes) },
    [aUncertain, done = std::move(aRecord.mDone)](write_outcome aOutcome) {
      // The owner may have stored a record whose direct append was refused.
      done(aOutcome == write_outcome::stored ? caller_outcome(aOutcome, {}, "itself")
           : aUncertain                      ? caller_outcome(write_outcome::unknown)
                                             : caller_outcome(aOutcome));
    },
    notAfter);
}

} // namespace endiveusher::node
