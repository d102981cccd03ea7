#include "caller_record_writer.h"

#include <fmt/format.h>

#include <utility>

namespace endiveusher::node {

namespace {

/// Time after which a forwarded record is appended directly. While the store is fast the owner
/// replies within some tens of milliseconds; a connection without a reply for longer may be dead.
constexpr std::chrono::milliseconds kForwardFallbackDelay{ 1000 };
/// Longer than the usual timeout of callers, which are answered before that the outcome is unknown.
constexpr std::chrono::milliseconds kForwardTimeout{ 4000 };
/// Maximum number of open calls. Below the HTTP loop's limit of connections to one address, so that
/// hellos and status calls never wait for a connection.
constexpr std::uint32_t kMaxOpenCalls = 6;
/// With at least this many calls open, calls are kBatchInterval apart so that each holds several
/// records.
constexpr std::uint32_t kMaxUnbatchedCalls = 2;
constexpr std::chrono::milliseconds kBatchInterval{ 20 };
/// Maximum number of records in one call.
constexpr std::size_t kMaxRecordsPerCall = 200;

} // namespace

caller_record_writer::caller_record_writer(const clock& aClock, const platform::store& aStore,
                                           owner_client& aOwnerClient, journal_writer& aWriter,
                                           event_log& aLog, local_store aLocal)
  : mClock(aClock), mStore(aStore), mOwnerClient(aOwnerClient), mWriter(aWriter), mLog(aLog),
    mStoreLocally(std::move(aLocal))
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

void caller_record_writer::store(const scheduler::journal_record& aRecord, done_callback aDone)
{
  const done_callback local = [this, aRecord, aDone](caller_outcome aOutcome) {
    if (aOutcome == write_outcome::stored || aOutcome == write_outcome::overloaded) {
      aDone(aOutcome);
    } else {
      append(encode(aRecord), aOutcome != write_outcome::refused, aDone);
    }
  };
  if (mStoreLocally(aRecord, local)) {
    return;
  }
  auto bytes = encode(aRecord);
  if (!mOwnerClient.reachable(mClock.now())) {
    append(std::move(bytes), false, std::move(aDone));
    return;
  }
  mForwarded[++mLastForwardedId] = { .mBytes = std::move(bytes),
                                     .mDone = std::move(aDone),
                                     .mSince = mClock.now() };
  flush(mClock.now());
}

void caller_record_writer::onOwnerChanged()
{
  mGeneration = mOwnerClient.generation();
  mOpenCalls = 0;
  // The former owner may be frozen; nothing would end the wait for it before kForwardTimeout.
  for (auto& [number, one] : mForwarded) {
    one.mUncertain = one.mUncertain || one.mSent;
    one.mSent = false;
  }
}

void caller_record_writer::flush(time_point aNow)
{
  if (mGeneration != mOwnerClient.generation()) {
    onOwnerChanged();
  }
  const bool pause = mOpenCalls >= kMaxUnbatchedCalls && aNow - mLastSent < kBatchInterval;
  if (mOpenCalls >= kMaxOpenCalls || pause || !mOwnerClient.reachable(aNow)) {
    return;
  }
  std::vector<std::uint64_t> numbers;
  std::vector<std::string> records;
  for (auto& [number, one] : mForwarded) {
    if (!one.mSent && records.size() < kMaxRecordsPerCall) {
      one.mSent = true;
      numbers.push_back(number);
      records.push_back(one.mBytes);
    }
  }
  if (records.empty()) {
    return;
  }
  ++mOpenCalls;
  mLastSent = aNow;
  mOwnerClient.call(
    kPeerStorePath, encodeForwardedRecords(records), kForwardTimeout,
    [this, numbers = std::move(numbers), generation = mGeneration](edges::loop_reply&& aReply) {
      mOpenCalls -= generation == mGeneration ? 1 : 0;
      onForwardReply(numbers, generation, aReply);
      flush(mClock.now());
    });
}

void caller_record_writer::onForwardReply(const std::vector<std::uint64_t>& aNumbers,
                                          std::uint64_t aGeneration,
                                          const edges::loop_reply& aReply)
{
  const bool complete = aReply.ok() && aReply.mBody.size() == aNumbers.size();
  if (!complete) {
    mLog.write("forward_failed",
               fmt::format("status={} error=\"{}\" after_ms={} records={}",
                           aReply.mStatus.value_or(0), aReply.mError,
                           aReply.mElapsed / std::chrono::milliseconds(1), aNumbers.size()));
  }
  const auto fallback =
    aReply.mUnsent || aReply.mStatus == 503 ? forward_result::refused : forward_result::unknown;
  for (std::size_t index = 0; index < aNumbers.size(); ++index) {
    const auto found = mForwarded.find(aNumbers[index]);
    if (found == mForwarded.end()) {
      continue;
    }
    const auto retryAfter =
      complete ? decodeRetryAfter(aReply.mBody[index]) : std::chrono::seconds{ 0 };
    auto result = complete ? static_cast<forward_result>(aReply.mBody[index]) : fallback;
    if (retryAfter.count() > 0) {
      result = forward_result::overloaded;
    }
    if (aGeneration != mGeneration && result != forward_result::stored) {
      continue; // The record is, or will be, sent to the new owner.
    }
    auto one = std::move(found->second);
    mForwarded.erase(found);
    if (result == forward_result::stored) {
      one.mDone(write_outcome::stored);
    } else if (result == forward_result::overloaded) {
      // A former owner may have stored it.
      one.mDone(one.mUncertain ? caller_outcome(write_outcome::unknown)
                               : caller_outcome(write_outcome::overloaded, retryAfter));
    } else {
      append(std::move(one.mBytes), one.mUncertain || result != forward_result::refused,
             std::move(one.mDone));
    }
  }
}

void caller_record_writer::tick(time_point aNow)
{
  const bool usable = ownerUsable(aNow);
  const bool slow = mStore.latency() >= kSlowStoreLatency;
  for (auto at = mForwarded.begin(); at != mForwarded.end();) {
    const bool overdue = !slow && aNow - at->second.mSince > kForwardFallbackDelay;
    if (usable && !overdue) {
      ++at;
      continue;
    }
    auto one = std::move(at->second);
    at = mForwarded.erase(at);
    mLog.write("forward_abandoned",
               fmt::format("owner_usable={} store_delay_ms={} after_ms={}", usable,
                           mStore.latency().count(),
                           (aNow - one.mSince) / std::chrono::milliseconds(1)));
    append(std::move(one.mBytes), one.mUncertain || one.mSent, std::move(one.mDone));
  }
  flush(aNow);
}

void caller_record_writer::append(std::string aBytes, bool aUncertain, done_callback aDone)
{
  mWriter.write(
    { std::move(aBytes) }, [aUncertain, done = std::move(aDone)](write_outcome aOutcome) {
      // The owner may have stored a record whose direct append was refused.
      done(aOutcome != write_outcome::stored && aUncertain ? write_outcome::unknown : aOutcome);
    });
}

} // namespace endiveusher::node
