#include "order_relay.h"

#include "peer_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace endiveusher::node {

namespace {

/// Minimum time between two reports of results, so that each holds several.
constexpr std::chrono::milliseconds kReportInterval{ 15 };
constexpr std::chrono::milliseconds kReportTimeout{ 500 };
/// Largest number of results in one report, below the body limit of the owner's server.
constexpr std::size_t kMaxResultsPerReport = 300;
/// Failed reports after which the results are dropped: the owner has given up their orders.
constexpr std::uint32_t kMaxFailures = 2;

} // namespace

order_relay::order_relay(edges::http_loop& aLoop, const clock& aClock, order_sender& aSender,
                         event_log& aLog)
  : mLoop(aLoop), mClock(aClock), mSender(aSender), mLog(aLog)
{
}

void order_relay::setEpoch(std::uint64_t aEpoch)
{
  if (aEpoch > mEpoch) {
    mEpoch = aEpoch;
    mOwner.clear();
    mResults.clear();
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
    std::visit([&, number = number](
                 const auto& aOrder) { send(aOrder, number, now + (kMaxBatchAge - age)); },
               order);
  }
  return reception::accepted;
}

void order_relay::send(const scheduler::heartbeat_order& aOrder, std::uint64_t aNumber,
                       time_point /*aSendBy*/)
{
  mSender.sendHeartbeat(
    aOrder, [this, epoch = aOrder.mEpoch, aNumber, alive = std::weak_ptr(mAlive)](
              scheduler::order_outcome aOutcome, const scheduler::target_report& aReport) {
      if (alive.expired()) {
        return;
      }
      order_result result{ .mNumber = aNumber, .mOutcome = aOutcome };
      if (aOutcome == scheduler::order_outcome::accepted) {
        result.mReport = aReport;
      }
      addResult(epoch, std::move(result));
    });
}

void order_relay::send(const scheduler::start_order& aOrder, std::uint64_t aNumber,
                       time_point aSendBy)
{
  mSender.sendStart(
    aOrder,
    [this, epoch = aOrder.mEpoch, aNumber,
     alive = std::weak_ptr(mAlive)](scheduler::order_outcome aOutcome) {
      if (!alive.expired()) {
        addResult(epoch, { .mNumber = aNumber, .mOutcome = aOutcome });
      }
    },
    [this, epoch = aOrder.mEpoch, aSendBy, alive = std::weak_ptr(mAlive)] {
      return !alive.expired() && epoch >= mEpoch && mClock.now() <= aSendBy;
    });
}

void order_relay::send(const scheduler::stop_order& aOrder, std::uint64_t aNumber,
                       time_point /*aSendBy*/)
{
  mSender.sendStop(aOrder, [this, epoch = aOrder.mEpoch, aNumber,
                            alive = std::weak_ptr(mAlive)](scheduler::order_outcome aOutcome) {
    if (!alive.expired()) {
      addResult(epoch, { .mNumber = aNumber, .mOutcome = aOutcome });
    }
  });
}

void order_relay::addResult(std::uint64_t aEpoch, order_result aResult)
{
  if (aResult.mOutcome == scheduler::order_outcome::not_sent ||
      aResult.mOutcome == scheduler::order_outcome::unreachable) {
    // Results have no value for it; the owner repeats the order or stops the run.
    aResult.mOutcome = scheduler::order_outcome::unanswered;
  }
  if (aEpoch == mEpoch) {
    mResults.push_back(std::move(aResult));
  }
}

void order_relay::tick(time_point aNow)
{
  if (!mResults.empty() && !mCallOpen && !mOwner.empty() && aNow - mLastSent >= kReportInterval) {
    sendResults(aNow);
  }
}

void order_relay::sendResults(time_point aNow)
{
  const auto count = std::min(mResults.size(), kMaxResultsPerReport);
  const auto last = mResults.begin() + static_cast<std::ptrdiff_t>(count);
  auto report = std::make_shared<order_results>(order_results{
    .mEpoch = mEpoch,
    .mResults = { std::make_move_iterator(mResults.begin()), std::make_move_iterator(last) } });
  mResults.erase(mResults.begin(), last);
  mCallOpen = true;
  mLastSent = aNow;
  mLoop.send(
    { .mMethod = "POST",
      .mAddress = mOwner,
      .mPath = std::string(kPeerResultsPath),
      .mBody = encode(*report),
      .mContentType = "application/octet-stream",
      // The owner ignores results that it has received before.
      .mRepeatable = true,
      .mTimeout = kReportTimeout,
      .mDone = [this, report, alive = std::weak_ptr(mAlive)](edges::loop_reply&& aReply) {
        if (alive.expired()) {
          return;
        }
        mCallOpen = false;
        if (aReply.ok()) {
          mFailures = 0;
          return;
        }
        mLog.write("results_unconfirmed",
                   fmt::format("owner={} status={} error=\"{}\" results={}", mOwner,
                               aReply.mStatus.value_or(0), aReply.mError, report->mResults.size()));
        if (++mFailures <= kMaxFailures && report->mEpoch == mEpoch) {
          mResults.insert(mResults.begin(), std::make_move_iterator(report->mResults.begin()),
                          std::make_move_iterator(report->mResults.end()));
        } else {
          mFailures = 0;
        }
      } });
}

} // namespace endiveusher::node
