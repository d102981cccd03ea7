#include "order_relay.h"

#include "endiveusher/kernel/back_off.h"
#include "peer_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace endiveusher::node {

namespace {

/// Minimum time between two reports of results, so that each holds several.
constexpr std::chrono::milliseconds kReportInterval{ 15 };
/// Timeout of a report, doubled with each one in a row that is not confirmed, and its upper limit.
constexpr std::chrono::milliseconds kReportTimeout{ 1000 };
constexpr std::chrono::milliseconds kMaxReportTimeout{ 4000 };
/// Pause after a report that is not confirmed, doubled with each further one, and its upper limit.
constexpr std::chrono::milliseconds kRepeatPause{ 50 };
constexpr std::chrono::milliseconds kMaxRepeatPause{ 500 };
/// Largest number of results in one report, below the body limit of the owner's server. Halved when
/// a report is not confirmed, doubled when one is: a report of 300 lists of runs takes a link of
/// 2 Mbit/s about as long as its timeout, and lists of 500 ends exceed the body limit.
constexpr std::size_t kMaxResultsPerReport = 300;
/// Reports that may be open at a time while the owner confirms them.
constexpr std::size_t kMaxOpenReports = 3;
/// The owner cannot read the report, so it would not be able to read a repetition.
constexpr int kMalformedStatus = 400;

bool hasEnds(const order_result& aResult)
{
  return aResult.mReport && !aResult.mReport->mEnded.empty();
}

} // namespace

order_relay::order_relay(edges::http_loop& aLoop, const clock& aClock, order_sender& aSender,
                         event_log& aLog)
  : mLoop(aLoop), mClock(aClock), mSender(aSender), mLog(aLog), mMaxResults(kMaxResultsPerReport)
{
}

void order_relay::setEpoch(std::uint64_t aEpoch)
{
  if (aEpoch > mEpoch) {
    mEpoch = aEpoch;
    mOwner.clear();
    mResults.clear();
    // A former owner that has ended would keep the reports to the next one waiting.
    for (const auto& [number, call] : std::exchange(mOpenReports, {})) {
      mLoop.cancel(call.mId);
    }
    mFailures = 0;
    mMaxResults = kMaxResultsPerReport;
    mNextReport = {};
  }
}

void order_relay::setOwnerClock(const std::string& aOwner, std::chrono::milliseconds aOwnerTime,
                                time_point aReceived)
{
  mClockOwner = aOwner;
  mOwnerClock.emplace(aOwnerTime, aReceived);
}

order_relay::reception order_relay::onBatch(order_batch&& aBatch)
{
  const auto now = mClock.now();
  // Without a reading of the owner's clock the age of the batch is not known.
  const bool known = mOwnerClock && mClockOwner == aBatch.mOwner;
  const auto age =
    known ? mOwnerClock->atLeast(now) - aBatch.mSentAt : std::chrono::milliseconds::max();
  if (aBatch.mEpoch < mEpoch || age > kMaxBatchAge) {
    mLog.write("batch_dropped",
               fmt::format("epoch={} newest_epoch={} age_ms={} orders={}", aBatch.mEpoch, mEpoch,
                           known ? age.count() : -1, aBatch.mOrders.size()));
    return aBatch.mEpoch < mEpoch ? reception::superseded : reception::outdated;
  }
  setEpoch(aBatch.mEpoch);
  mOwner = aBatch.mOwner;
  for (const auto& [number, order] : aBatch.mOrders) {
    std::visit([this, number = number](const auto& aOrder) { send(aOrder, number); }, order);
  }
  return reception::accepted;
}

void order_relay::send(const scheduler::heartbeat_order& aOrder, std::uint64_t aNumber)
{
  mSender.sendHeartbeat(
    aOrder, [this, epoch = aOrder.mEpoch, aNumber, target = aOrder.mTarget,
             stored = aOrder.mStoredEndNumber, alive = std::weak_ptr(mAlive)](
              scheduler::order_outcome aOutcome, const scheduler::target_report& aReport) {
      if (alive.expired()) {
        return;
      }
      kept_result kept{ .mResult = { .mNumber = aNumber, .mOutcome = aOutcome },
                        .mTarget = target,
                        .mStoredEndNumber = stored };
      if (aOutcome == scheduler::order_outcome::accepted) {
        kept.mResult.mReport = aReport;
      }
      addResult(epoch, std::move(kept));
    });
}

void order_relay::send(const scheduler::start_order& aOrder, std::uint64_t aNumber)
{
  mSender.sendStart(aOrder, [this, epoch = aOrder.mEpoch, aNumber,
                             alive = std::weak_ptr(mAlive)](scheduler::order_outcome aOutcome) {
    if (!alive.expired()) {
      addResult(epoch, { .mResult = { .mNumber = aNumber, .mOutcome = aOutcome } });
    }
  });
}

void order_relay::send(const scheduler::stop_order& aOrder, std::uint64_t aNumber)
{
  mSender.sendStop(aOrder, [this, epoch = aOrder.mEpoch, aNumber,
                            alive = std::weak_ptr(mAlive)](scheduler::order_outcome aOutcome) {
    if (!alive.expired()) {
      addResult(epoch, { .mResult = { .mNumber = aNumber, .mOutcome = aOutcome } });
    }
  });
}

bool order_relay::supersedes(const kept_result& aNewer, const kept_result& aOlder)
{
  const auto& newer = aNewer.mResult;
  const auto& older = aOlder.mResult;
  if (!newer.mReport || !older.mReport || newer.mNumber <= older.mNumber ||
      aNewer.mTarget != aOlder.mTarget ||
      newer.mReport->mIncarnationStart != older.mReport->mIncarnationStart ||
      newer.mReport->mClock < older.mReport->mClock) {
    return false;
  }
  // A target lists at most 500 ends, and its replies may overtake each other.
  return std::ranges::all_of(older.mReport->mEnded, [&](const scheduler::ended_run& aEnd) {
    return aEnd.mNumber <= aNewer.mStoredEndNumber ||
           std::ranges::find(newer.mReport->mEnded, aEnd.mNumber, &scheduler::ended_run::mNumber) !=
             newer.mReport->mEnded.end();
  });
}

bool order_relay::prune(const kept_result& aOne)
{
  if (!aOne.mResult.mReport) {
    return true;
  }
  if (std::ranges::any_of(
        mResults, [&aOne](const kept_result& aOther) { return supersedes(aOther, aOne); })) {
    return false;
  }
  std::erase_if(mResults, [&aOne](const kept_result& aOther) { return supersedes(aOne, aOther); });
  return true;
}

void order_relay::addResult(std::uint64_t aEpoch, kept_result aResult)
{
  if (aEpoch == mEpoch && prune(aResult)) {
    mResults.push_back(std::move(aResult));
    limitResults();
  }
}

void order_relay::limitResults()
{
  std::size_t dropped = 0;
  for (; mResults.size() > kMaxWaitingResults; ++dropped) {
    // The target repeats ends as well, but only with its next heartbeat.
    const auto first = std::ranges::find_if_not(
      mResults, [](const kept_result& aOne) { return hasEnds(aOne.mResult); });
    mResults.erase(first == mResults.end() ? mResults.begin() : first);
  }
  if (dropped > 0) {
    mLog.write("results_dropped", fmt::format("owner={} results={}", mOwner, dropped));
  }
}

void order_relay::tick(time_point aNow)
{
  const auto maxOpen = mFailures > 0 ? 1 : kMaxOpenReports;
  if (!mResults.empty() && mOpenReports.size() < maxOpen && !mOwner.empty() &&
      aNow >= mNextReport) {
    sendResults(aNow);
  }
}

void order_relay::sendResults(time_point aNow)
{
  std::ranges::stable_partition(mResults,
                                [](const kept_result& aOne) { return hasEnds(aOne.mResult); });
  const auto count = std::min(mResults.size(), mMaxResults);
  const auto last = mResults.begin() + static_cast<std::ptrdiff_t>(count);
  const auto number = ++mLastReport;
  auto& call = mOpenReports[number];
  call.mResults.assign(std::make_move_iterator(mResults.begin()), std::make_move_iterator(last));
  mResults.erase(mResults.begin(), last);
  mNextReport = aNow + kReportInterval;
  order_results report{ .mEpoch = mEpoch };
  report.mResults.reserve(count);
  std::ranges::transform(call.mResults, std::back_inserter(report.mResults), &kept_result::mResult);
  call.mId = mLoop.send(
    { .mMethod = "POST",
      .mAddress = mOwner,
      .mPath = std::string(kPeerResultsPath),
      .mBody = encode(report),
      .mContentType = "application/octet-stream",
      .mTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(
        doubled(kReportTimeout, mFailures, kMaxReportTimeout)),
      .mTakesWaitingAnswer = true,
      .mDone = [this, number, alive = std::weak_ptr(mAlive)](edges::loop_reply&& aReply) {
        if (!alive.expired()) {
          onReportDone(number, aReply);
        }
      } });
}

void order_relay::onReportDone(std::uint64_t aReport, const edges::loop_reply& aReply)
{
  auto call = mOpenReports.extract(aReport);
  if (call.empty()) {
    return; // Of a former epoch.
  }
  if (aReply.ok()) {
    mFailures = 0;
    mMaxResults = std::min(2 * mMaxResults, kMaxResultsPerReport);
    return;
  }
  auto& results = call.mapped().mResults;
  mLog.write("results_unconfirmed",
             fmt::format("owner={} status={} error=\"{}\" results={} waiting={}", mOwner,
                         aReply.mStatus.value_or(0), aReply.mError, results.size(),
                         mResults.size()));
  mNextReport = mClock.now() + doubled(kRepeatPause, mFailures, kMaxRepeatPause);
  ++mFailures;
  mMaxResults = std::max(mMaxResults / 2, std::size_t{ 1 });
  if (aReply.mStatus == kMalformedStatus) {
    return;
  }
  // The owner may have received them all the same; it ignores those that it has.
  std::erase_if(results, [this](const kept_result& aOne) { return !prune(aOne); });
  mResults.insert(mResults.begin(), std::make_move_iterator(results.begin()),
                  std::make_move_iterator(results.end()));
  limitResults();
}

} // namespace endiveusher::node
