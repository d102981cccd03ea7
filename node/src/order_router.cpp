#include "order_router.h"

#include "peer_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <type_traits>
#include <utility>
#include <variant>

namespace endiveusher::node {

namespace {

/// Minimum time between two batches to a relay, so that each holds several orders.
constexpr std::chrono::milliseconds kBatchInterval{ 15 };
/// The same if the batch holds the start of an urgent step, which has a quarter of a second, while
/// the loop has time for more batches.
constexpr std::chrono::milliseconds kUrgentBatchInterval{ 4 };
constexpr double kMinIdleForUrgentBatches = 0.25;
/// Largest number of orders in one batch; with payloads of 4 KB each it stays below the body limit
/// of the relay's server, 1 MB.
constexpr std::size_t kMaxOrdersPerBatch = 200;
/// Unconfirmed batches per relay; the next orders wait, and are sent together.
constexpr std::uint32_t kMaxOpenBatches = 2;
/// Timeout of a batch, which a relay confirms before it sends the orders. A relay that opens
/// connections to all of its targets is busy for up to a second; to give its targets to others
/// would only make these busy in the same way.
constexpr std::chrono::milliseconds kBatchTimeout{ 1500 };
/// Time that an order may take through a relay in addition to the timeout of its call to the
/// target: batches and results wait up to an interval each, and a busy relay delays them.
constexpr std::chrono::milliseconds kRelayMargin{ 1000 };
/// Time for which the report of an overdue heartbeat is still taken. Longer than the lease of the
/// runs at its target.
constexpr std::chrono::seconds kLateReportPeriod{ 10 };

/// Converts between the callbacks of orders with and without a report.
order_sender::outcome_callback withEmptyReport(const order_sender::report_callback& aDone)
{
  return [aDone](scheduler::order_outcome aOutcome) { aDone(aOutcome, {}); };
}
order_sender::report_callback withoutReport(const order_sender::outcome_callback& aDone)
{
  return [aDone](scheduler::order_outcome aOutcome, const scheduler::target_report& /*aReport*/) {
    aDone(aOutcome);
  };
}

} // namespace

order_router::order_router(edges::http_loop& aLoop, const clock& aClock, order_sender& aDirect,
                           event_log& aLog, relay_candidate aSelf)
  : mLoop(aLoop), mClock(aClock), mDirect(aDirect), mLog(aLog),
    mOwnAddress(std::move(aSelf.mAddress)), mOwnCores(aSelf.mCores)
{
}

void order_router::begin(std::uint64_t aEpoch)
{
  mEpoch = aEpoch;
  mSuperseded = false;
  mPolicy.reset();
  mRelays.clear();
  mQueues.clear();
  mOpen.clear();
  mKept.clear();
  mOverdue = 0;
  mExpiries.clear();
}

void order_router::setCell(const loop_load& aLoad, std::size_t aTargets,
                           std::vector<relay_candidate> aCandidates, time_point aNow)
{
  const auto before = mRelays.size();
  if (mPolicy.update(aLoad, aTargets, mOwnCores, aNow)) {
    mRelays.set(aTargets, std::move(aCandidates), aNow);
  } else {
    mRelays.clear();
  }
  if (mRelays.size() != before) {
    mCounts.mSwitches += before == 0 || mRelays.size() == 0 ? 1 : 0;
    mLog.write("relays", fmt::format("count={} targets={} reason={} idle={:.2f} calls={:.2f}",
                                     mRelays.size(), aTargets, mPolicy.reason(),
                                     mPolicy.load().mIdle, mPolicy.load().mCalls));
  }
}

template<typename Order>
bool order_router::relayed(const Order& aOrder, std::chrono::milliseconds aTimeout,
                           const order_sender::report_callback& aDone)
{
  const auto* relay = mRelays.relayOf(aOrder.mTarget);
  if (relay == nullptr) {
    return false;
  }
  const auto number = open({ .mRelay = *relay,
                             .mDone = aDone,
                             .mIsHeartbeat = std::is_same_v<Order, scheduler::heartbeat_order> },
                           aTimeout);
  auto& queue = mQueues[*relay];
  queue.mOrders.push_back({ .mNumber = number, .mOrder = aOrder });
  if constexpr (std::is_same_v<Order, scheduler::start_order>) {
    queue.mHasUrgent = queue.mHasUrgent || aOrder.mUrgent;
  }
  ++mCounts.mRelayed;
  return true;
}

std::uint64_t order_router::open(open_order aOrder, std::chrono::milliseconds aTimeout)
{
  const auto number = ++mLastNumber;
  mOpen[number] = std::move(aOrder);
  mExpiries.emplace(mClock.now() + aTimeout + kRelayMargin, number);
  return number;
}

template<typename Order>
void order_router::sendOrKeep(const Order& aOrder, std::chrono::milliseconds aTimeout,
                              const order_sender::report_callback& aDone)
{
  if (relayed(aOrder, aTimeout, aDone)) {
    return;
  }
  ++mCounts.mDirect;
  if (mMayAct()) {
    sendDirectly(aOrder, aDone);
    return;
  }
  mKept.emplace(open({ .mRelay = {},
                       .mDone = aDone,
                       .mIsHeartbeat = std::is_same_v<Order, scheduler::heartbeat_order> },
                     aTimeout),
                aOrder);
}

void order_router::sendKept()
{
  for (auto& [number, order] : std::exchange(mKept, {})) {
    if (std::holds_alternative<scheduler::start_order>(order) && !mMayStart()) {
      finish(number, scheduler::order_outcome::not_sent, {});
      continue;
    }
    if (const auto found = mOpen.extract(number)) {
      std::visit([&](const auto& aOrder) { sendDirectly(aOrder, found.mapped().mDone); }, order);
    }
  }
}

void order_router::sendDirectly(const scheduler::heartbeat_order& aOrder,
                                order_sender::report_callback aDone)
{
  mDirect.sendHeartbeat(aOrder, std::move(aDone));
}

void order_router::sendDirectly(const scheduler::start_order& aOrder,
                                const order_sender::report_callback& aDone)
{
  mDirect.sendStart(aOrder, withEmptyReport(aDone), [this, alive = std::weak_ptr(mAlive)] {
    return !alive.expired() && mMayAct() && mMayStart();
  });
}

void order_router::sendDirectly(const scheduler::stop_order& aOrder,
                                const order_sender::report_callback& aDone)
{
  mDirect.sendStop(aOrder, withEmptyReport(aDone));
}

void order_router::sendHeartbeat(const scheduler::heartbeat_order& aOrder,
                                 const order_sender::report_callback& aDone)
{
  sendOrKeep(aOrder, platform::heartbeatTimeout(aOrder), aDone);
}

void order_router::sendStart(const scheduler::start_order& aOrder,
                             const order_sender::outcome_callback& aDone)
{
  sendOrKeep(aOrder, platform::kOrderTimeout, withoutReport(aDone));
}

void order_router::sendStop(const scheduler::stop_order& aOrder,
                            const order_sender::outcome_callback& aDone)
{
  sendOrKeep(aOrder, platform::kOrderTimeout, withoutReport(aDone));
}

/// Load pattern: more orders than the relays take. A start whose ticket has expired in the queue
/// would only be rejected by its target; that of an owner that was paused meanwhile may be of a job
/// that has been cancelled.
void order_router::returnStarts(queue& aQueue, time_point aNow)
{
  const auto isExpired = [aNow, mayStart = mMayStart()](const numbered_order& aOne) {
    const auto* start = std::get_if<scheduler::start_order>(&aOne.mOrder);
    return start != nullptr && (!mayStart || start->mTicketExpiry <= aNow);
  };
  std::vector<std::uint64_t> expired;
  for (const auto& one : aQueue.mOrders) {
    if (isExpired(one)) {
      expired.push_back(one.mNumber);
    }
  }
  std::erase_if(aQueue.mOrders, isExpired);
  for (const auto number : expired) {
    finish(number, scheduler::order_outcome::not_sent, {});
  }
}

void order_router::sendBatch(const std::string& aRelay, queue& aQueue, time_point aNow)
{
  std::erase_if(aQueue.mOrders, [this](const numbered_order& aOne) {
    const auto open = mOpen.find(aOne.mNumber);
    return open == mOpen.end() || open->second.mIsOverdue;
  });
  returnStarts(aQueue, aNow);
  if (aQueue.mOrders.empty()) {
    return;
  }
  const auto count = std::min(aQueue.mOrders.size(), kMaxOrdersPerBatch);
  const auto last = aQueue.mOrders.begin() + static_cast<std::ptrdiff_t>(count);
  order_batch batch{
    .mEpoch = mEpoch,
    .mOwner = mOwnAddress,
    .mSentAt = std::chrono::duration_cast<std::chrono::milliseconds>(aNow.time_since_epoch()),
    .mOrders = { std::make_move_iterator(aQueue.mOrders.begin()), std::make_move_iterator(last) }
  };
  aQueue.mOrders.erase(aQueue.mOrders.begin(), last);
  aQueue.mLastSent = aNow;
  aQueue.mHasUrgent = aQueue.mHasUrgent && !aQueue.mOrders.empty();
  ++aQueue.mOpenCalls;
  mLoop.send({ .mMethod = "POST",
               .mAddress = aRelay,
               .mPath = std::string(kPeerOrdersPath),
               .mBody = encode(batch),
               .mContentType = "application/octet-stream",
               .mTimeout = kBatchTimeout,
               .mDone = [this, aRelay, epoch = mEpoch,
                         alive = std::weak_ptr(mAlive)](edges::loop_reply&& aReply) {
                 if (alive.expired() || epoch != mEpoch) {
                   return;
                 }
                 if (const auto found = mQueues.find(aRelay);
                     found != mQueues.end() && found->second.mOpenCalls > 0) {
                   --found->second.mOpenCalls;
                 }
                 if (aReply.mStatus == kSupersededStatus) {
                   mSuperseded = true;
                 }
                 if (!aReply.ok()) {
                   onRelayLost(aRelay, aReply.mStatus ? fmt::format("status {}", *aReply.mStatus)
                                                      : aReply.mError);
                 }
               } });
}

void order_router::onRelayLost(const std::string& aRelay, const std::string& aError)
{
  const auto now = mClock.now();
  mRelays.exclude(aRelay, now);
  mQueues.erase(aRelay);
  std::vector<std::uint64_t> lost;
  for (const auto& [number, order] : mOpen) {
    if (order.mRelay == aRelay && !order.mIsOverdue) {
      lost.push_back(number);
    }
  }
  mLog.write("relay_lost",
             fmt::format("relay={} error=\"{}\" orders={}", aRelay, aError, lost.size()));
  for (const auto number : lost) {
    expire(number);
  }
}

void order_router::expire(std::uint64_t aNumber)
{
  const auto found = mOpen.find(aNumber);
  if (found == mOpen.end()) {
    return;
  }
  auto& order = found->second;
  if (order.mIsOverdue) {
    --mOverdue;
    mOpen.erase(found);
    return;
  }
  mKept.erase(aNumber);
  const auto done = order.mDone;
  auto outcome = scheduler::order_outcome::unanswered;
  if (order.mIsHeartbeat) {
    outcome = scheduler::order_outcome::unreported;
    order.mIsOverdue = true;
    ++mOverdue;
    mExpiries.emplace(mClock.now() + kLateReportPeriod, aNumber);
  } else {
    mOpen.erase(found);
  }
  done(outcome, {});
}

void order_router::finish(std::uint64_t aNumber, scheduler::order_outcome aOutcome,
                          const scheduler::target_report& aReport)
{
  const auto found = mOpen.find(aNumber);
  if (found == mOpen.end()) {
    return; // A repeated result, or one that came after the order's time.
  }
  const auto order = std::move(found->second);
  mOpen.erase(found);
  if (order.mIsOverdue) {
    --mOverdue;
    if (aOutcome != scheduler::order_outcome::accepted) {
      return;
    }
  }
  order.mDone(aOutcome, aReport);
}

void order_router::onResults(const order_results& aResults)
{
  if (aResults.mEpoch != mEpoch) {
    return;
  }
  for (const auto& result : aResults.mResults) {
    finish(result.mNumber, result.mOutcome, result.mReport.value_or(scheduler::target_report{}));
  }
}

void order_router::tick(time_point aNow, bool aMayAct)
{
  while (!mExpiries.empty() && mExpiries.begin()->first <= aNow) {
    const auto number = mExpiries.begin()->second;
    mExpiries.erase(mExpiries.begin());
    expire(number);
  }
  if (!aMayAct) {
    return;
  }
  sendKept();
  for (auto& [relay, queue] : mQueues) {
    while (!queue.mOrders.empty() && queue.mOpenCalls < kMaxOpenBatches && due(queue) <= aNow) {
      sendBatch(relay, queue, aNow);
    }
  }
}

time_point order_router::due(const queue& aQueue) const
{
  if (aQueue.mOrders.size() >= kMaxOrdersPerBatch) {
    return aQueue.mLastSent;
  }
  const bool isUrgent = aQueue.mHasUrgent && mPolicy.load().mIdle >= kMinIdleForUrgentBatches;
  return aQueue.mLastSent + (isUrgent ? kUrgentBatchInterval : kBatchInterval);
}

std::optional<time_point> order_router::nextBatch() const
{
  std::optional<time_point> next;
  for (const auto& [relay, queue] : mQueues) {
    if (!queue.mOrders.empty() && queue.mOpenCalls < kMaxOpenBatches) {
      next = std::min(next.value_or(time_point::max()), due(queue));
    }
  }
  return next;
}

} // namespace endiveusher::node
