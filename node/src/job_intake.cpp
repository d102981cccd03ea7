#include "job_intake.h"

#include <fmt/format.h>

#include <utility>

namespace endiveusher::node {

namespace {

/// While the store is quick the owner answers within some tens of milliseconds; a connection
/// without an answer for this long may be silent for good.
constexpr std::chrono::milliseconds kHandOverPatience{ 1000 };
/// Beyond the usual patience of callers, who are told before that the outcome is not known.
constexpr std::chrono::milliseconds kHandOverTimeout{ 4000 };
/// Calls that may be open at a time. Below the loop's bound of connections to one address, so that
/// a hello or a call for a state never waits for them.
constexpr std::uint32_t kMostCalls = 6;
/// With more calls open than this, records wait for the pause so that one call carries several.
constexpr std::uint32_t kPromptCalls = 2;
constexpr std::chrono::milliseconds kCallPause{ 20 };
/// Records in one call.
constexpr std::size_t kMostRecords = 200;

} // namespace

job_intake::job_intake(const clock& aClock, const platform::store& aStore, owner_link& aLink,
                       journal_writer& aWriter, event_log& aLog, local_owner aLocal)
  : mClock(aClock), mStore(aStore), mLink(aLink), mWriter(aWriter), mLog(aLog),
    mLocal(std::move(aLocal))
{
}

bool job_intake::ownerUseful(time_point aNow) const
{
  return mLink.reachable(aNow) && !mLink.ownerCutOff(mStore.delay());
}

bool job_intake::closed(time_point aNow, bool aStoreLost, duration aPeriod) const
{
  if (ownerUseful(aNow)) {
    return false;
  }
  return aStoreLost || (mWriter.openSince() && aNow - *mWriter.openSince() > aPeriod);
}

void job_intake::store(const scheduler::journal_record& aRecord, done aDone)
{
  const done local = [this, aRecord, aDone](write_outcome aOutcome) {
    if (aOutcome == write_outcome::stored) {
      aDone(aOutcome);
    } else {
      append(encode(aRecord), aOutcome != write_outcome::refused, aDone);
    }
  };
  if (mLocal(aRecord, local)) {
    return;
  }
  auto bytes = encode(aRecord);
  if (!mLink.reachable(mClock.now())) {
    append(std::move(bytes), false, std::move(aDone));
    return;
  }
  mHandOvers[++mLastHandOver] = { .mBytes = std::move(bytes),
                                  .mDone = std::move(aDone),
                                  .mSince = mClock.now() };
  flush(mClock.now());
}

void job_intake::flush(time_point aNow)
{
  if (mGeneration != mLink.generation()) {
    mGeneration = mLink.generation();
    mOpenCalls = 0;
  }
  const bool pause = mOpenCalls >= kPromptCalls && aNow - mLastSent < kCallPause;
  if (mOpenCalls >= kMostCalls || pause || !mLink.reachable(aNow)) {
    return;
  }
  std::vector<std::uint64_t> numbers;
  std::vector<std::string> records;
  for (auto& [number, one] : mHandOvers) {
    if (!one.mSent && records.size() < kMostRecords) {
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
  mLink.call(
    kPeerStorePath, encodeHandOver(records), kHandOverTimeout,
    [this, numbers = std::move(numbers), generation = mGeneration](edges::loop_reply&& aReply) {
      mOpenCalls -= generation == mGeneration ? 1 : 0;
      ownerAnswered(numbers, aReply);
      flush(mClock.now());
    });
}

void job_intake::ownerAnswered(const std::vector<std::uint64_t>& aNumbers,
                               const edges::loop_reply& aReply)
{
  const bool whole = aReply.ok() && aReply.mBody.size() == aNumbers.size();
  if (!whole) {
    mLog.write("hand_over_failed",
               fmt::format("status={} error=\"{}\" after_ms={} records={}",
                           aReply.mStatus.value_or(0), aReply.mError,
                           aReply.mElapsed / std::chrono::milliseconds(1), aNumbers.size()));
  }
  const auto otherwise =
    aReply.mUnsent || aReply.mStatus == 503 ? hand_over_result::refused : hand_over_result::unknown;
  for (std::size_t index = 0; index < aNumbers.size(); ++index) {
    const auto found = mHandOvers.find(aNumbers[index]);
    if (found == mHandOvers.end()) {
      continue;
    }
    auto one = std::move(found->second);
    mHandOvers.erase(found);
    const auto result = whole ? static_cast<hand_over_result>(aReply.mBody[index]) : otherwise;
    if (result == hand_over_result::stored) {
      one.mDone(write_outcome::stored);
    } else {
      append(std::move(one.mBytes), result != hand_over_result::refused, std::move(one.mDone));
    }
  }
}

void job_intake::tick(time_point aNow)
{
  const bool useful = ownerUseful(aNow);
  const bool slow = mStore.delay() >= kSlowStore;
  for (auto at = mHandOvers.begin(); at != mHandOvers.end();) {
    const bool overdue = !slow && aNow - at->second.mSince > kHandOverPatience;
    if (useful && !overdue) {
      ++at;
      continue;
    }
    auto one = std::move(at->second);
    at = mHandOvers.erase(at);
    mLog.write("hand_over_given_up",
               fmt::format("owner_reached={} store_delay_ms={} after_ms={}", useful,
                           mStore.delay().count(),
                           (aNow - one.mSince) / std::chrono::milliseconds(1)));
    append(std::move(one.mBytes), one.mSent, std::move(one.mDone));
  }
  flush(aNow);
}

void job_intake::append(std::string aBytes, bool aUncertain, done aDone)
{
  mWriter.write(
    { std::move(aBytes) }, [aUncertain, done = std::move(aDone)](write_outcome aOutcome) {
      // The owner may have stored what the direct way has refused.
      done(aOutcome != write_outcome::stored && aUncertain ? write_outcome::unknown : aOutcome);
    });
}

} // namespace endiveusher::node
