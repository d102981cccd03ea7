#include "order_router.h"

#include "peer_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <span>
#include <type_traits>
#include <utility>
#include <variant>

namespace endiveusher::node {

namespace {

/// Minimum time between two batches to a relay, so that each holds several orders.
constexpr std::chrono::milliseconds kBatchInterval{ 15 };
/// Largest number of orders in one batch; with payloads of 4 KB each it stays below the body limit
/// of the relay's server, 1 MB.
constexpr std::size_t kMaxOrdersPerBatch = 200;
/// Unconfirmed batches per relay; the next orders wait, and are sent together.
constexpr std::uint32_t kMaxOpenBatches = 2;
/// Timeout of a batch, which a relay confirms before it sends the orders. A relay that opens
/// connections to all of its targets is busy for up to a second; it refuses a batch that is older
/// than that.
constexpr std::chrono::milliseconds kBatchTimeout{ 1500 };
/// Pause before the next batch to a relay that has refused or not confirmed one.
constexpr std::chrono::milliseconds kBatchRetryPause{ 100 };
/// Time after which a relay that has confirmed no batch counts as lost although it is heard of: its
/// reading of this clock may be wrong. Shorter than the leases at its targets, which it does not
/// renew meanwhile.
constexpr std::chrono::milliseconds kMaxFailurePeriod{ 3000 };
/// Status with which a relay refuses a batch that is too old, and a server one for which it has no
/// room.
constexpr int kUnavailableStatus = 503;
/// Longest time between two reports of the hellos that this daemon has received after which these
/// still tell which relays are silent.
constexpr std::chrono::milliseconds kMaxUpdatePause{ 500 };
/// Interval at which an order is looked at again whose relay is late.
constexpr std::chrono::milliseconds kLateOrderInterval{ 200 };
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
    mOwnAddress(std::move(aSelf.mAddress)), mRelays(aSelf.mCores)
{
}

void order_router::begin(std::uint64_t aEpoch)
{
  mEpoch = aEpoch;
  mSuperseded = false;
  mRelays.clear();
  mQueues.clear();
  mOpen.clear();
  mKept.clear();
  mOverdue = 0;
  mLastSetCell = {};
  mExpiries.clear();
}

void order_router::setCell(std::size_t aTargets, std::vector<relay_candidate> aCandidates,
                           time_point aNow)
{
  const auto before = mRelays.size();
  const auto isCandidate = [&aCandidates](const std::string& aRelay) {
    return std::ranges::find(aCandidates, aRelay, &relay_candidate::mAddress) != aCandidates.end();
  };
  for (const auto& candidate : aCandidates) {
    if (const auto found = mQueues.find(candidate.mAddress); found != mQueues.end()) {
      found->second.mLastHeard = std::max(found->second.mLastHeard, candidate.mLastHello);
    }
  }
  // Hellos are not read either while this daemon is paused.
  if (aNow - std::exchange(mLastSetCell, aNow) > kMaxUpdatePause) {
    for (auto& [relay, queue] : mQueues) {
      queue.mLastHeard = aNow;
    }
  }
  // The hellos of a busy relay may be late, while its results arrive.
  std::vector<std::string> gone;
  for (const auto& [relay, queue] : mQueues) {
    if (isCandidate(relay)) {
      continue;
    }
    const auto chosen = std::ranges::find(mRelays.chosen(), relay, &relay_candidate::mAddress);
    if (!isHeard(queue, aNow)) {
      gone.push_back(relay);
    } else if (chosen != mRelays.chosen().end()) {
      aCandidates.push_back(*chosen);
    }
  }
  mRelays.set(aTargets, std::move(aCandidates), aNow);
  if (mRelays.size() != before) {
    mLog.write("relays", fmt::format("count={} targets={}", mRelays.size(), aTargets));
  }
  for (const auto& relay : gone) {
    onRelayLost(relay, "silent");
  }
}

bool order_router::isHeard(const queue& aQueue, time_point aNow) const
{
  return aNow - aQueue.mLastHeard < kRelaySilence;
}

order_router::queue& order_router::queueOf(const std::string& aRelay)
{
  const auto [found, isNew] = mQueues.try_emplace(aRelay);
  if (isNew) {
    const auto chosen = std::ranges::find(mRelays.chosen(), aRelay, &relay_candidate::mAddress);
    if (chosen != mRelays.chosen().end()) {
      found->second.mLastHeard = chosen->mLastHello;
    }
  }
  return found->second;
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
  queueOf(*relay).mOrders.push_back({ .mNumber = number, .mOrder = aOrder });
  return true;
}

std::uint64_t order_router::open(open_order aOrder, std::chrono::milliseconds aTimeout)
{
  const auto number = ++mLastNumber;
  const auto now = mClock.now();
  aOrder.mOpenedAt = now;
  mOpen[number] = std::move(aOrder);
  mExpiries.emplace(now + aTimeout + kRelayMargin, number);
  return number;
}

template<typename Order>
void order_router::sendOrKeep(const Order& aOrder, std::chrono::milliseconds aTimeout,
                              const order_sender::report_callback& aDone)
{
  if (relayed(aOrder, aTimeout, aDone)) {
    return;
  }
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
  mDirect.sendStart(aOrder, withEmptyReport(aDone));
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
/// would only be rejected by its target.
void order_router::returnExpired(queue& aQueue, time_point aNow)
{
  const auto isExpired = [aNow](const numbered_order& aOne) {
    const auto* start = std::get_if<scheduler::start_order>(&aOne.mOrder);
    return start != nullptr && start->mTicketExpiry <= aNow;
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
  returnExpired(aQueue, aNow);
  if (aQueue.mOrders.empty()) {
    return;
  }
  const auto count = std::min(aQueue.mOrders.size(), kMaxOrdersPerBatch);
  const auto last = aQueue.mOrders.begin() + static_cast<std::ptrdiff_t>(count);
  auto batch = std::make_shared<order_batch>(order_batch{
    .mEpoch = mEpoch,
    .mOwner = mOwnAddress,
    .mSentAt = std::chrono::duration_cast<std::chrono::milliseconds>(aNow.time_since_epoch()),
    .mOrders = { std::make_move_iterator(aQueue.mOrders.begin()),
                 std::make_move_iterator(last) } });
  aQueue.mOrders.erase(aQueue.mOrders.begin(), last);
  aQueue.mNextBatch = aNow + kBatchInterval;
  ++aQueue.mOpenCalls;
  mLoop.send(
    { .mMethod = "POST",
      .mAddress = aRelay,
      .mPath = std::string(kPeerOrdersPath),
      .mBody = encode(*batch),
      .mContentType = "application/octet-stream",
      .mTimeout = kBatchTimeout,
      .mTakesWaitingAnswer = true,
      .mDone = [this, aRelay, batch, alive = std::weak_ptr(mAlive)](edges::loop_reply&& aReply) {
        if (!alive.expired() && batch->mEpoch == mEpoch) {
          onBatchDone(aRelay, *batch, aReply);
        }
      } });
}

void order_router::onBatchDone(const std::string& aRelay, order_batch& aBatch,
                               const edges::loop_reply& aReply)
{
  if (aReply.mStatus == kSupersededStatus) {
    mSuperseded = true;
  }
  if (aReply.ok()) {
    for (const auto& order : aBatch.mOrders) {
      if (const auto open = mOpen.find(order.mNumber); open != mOpen.end()) {
        open->second.mIsConfirmed = true;
      }
    }
  }
  const auto found = mQueues.find(aRelay);
  if (found == mQueues.end()) {
    return; // The relay was lost meanwhile.
  }
  auto& queue = found->second;
  const auto now = mClock.now();
  queue.mOpenCalls -= std::min(queue.mOpenCalls, 1U);
  if (aReply.ok()) {
    queue.mLastHeard = now;
    queue.mFailingSince.reset();
    return;
  }
  const auto error = aReply.mStatus ? fmt::format("status {}", *aReply.mStatus) : aReply.mError;
  const bool isRefusal = aReply.mStatus == kUnavailableStatus;
  if (isRefusal) {
    queue.mLastHeard = now;
  }
  queue.mFailingSince = queue.mFailingSince.value_or(now);
  const bool gone = (aReply.mStatus && !isRefusal) || aReply.mRefused || !isHeard(queue, now) ||
                    now - *queue.mFailingSince >= kMaxFailurePeriod;
  if (gone) {
    mRelays.exclude(aRelay, now);
    onRelayLost(aRelay, error);
    return;
  }
  mLog.write("relay_late",
             fmt::format("relay={} error=\"{}\" orders={}", aRelay, error, aBatch.mOrders.size()));
  queue.mPauseUntil = now + kBatchRetryPause;
  if (isRefusal) {
    requeue(queue, aBatch);
  }
}

void order_router::requeue(queue& aQueue, order_batch& aBatch)
{
  aQueue.mOrders.insert(aQueue.mOrders.begin(), std::make_move_iterator(aBatch.mOrders.begin()),
                        std::make_move_iterator(aBatch.mOrders.end()));
}

void order_router::reroute(std::span<numbered_order> aOrders)
{
  for (auto& [number, order] : aOrders) {
    const auto open = mOpen.find(number);
    if (open == mOpen.end() || open->second.mIsOverdue) {
      continue;
    }
    const auto* relay = mRelays.relayOf(
      std::visit([](const auto& aOrder) -> std::string_view { return aOrder.mTarget; }, order));
    if (relay == nullptr) {
      open->second.mRelay.clear();
      mKept.emplace(number, std::move(order));
    } else {
      open->second.mRelay = *relay;
      queueOf(*relay).mOrders.push_back({ .mNumber = number, .mOrder = std::move(order) });
    }
  }
}

void order_router::onRelayLost(const std::string& aRelay, const std::string& aError)
{
  auto queue = mQueues.extract(aRelay);
  if (!queue.empty()) {
    reroute(queue.mapped().mOrders);
  }
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
  const auto now = mClock.now();
  if (!order.mIsHeartbeat && order.mIsConfirmed && now - order.mOpenedAt < kMaxOrderAge) {
    if (const auto queue = mQueues.find(order.mRelay);
        queue != mQueues.end() && isHeard(queue->second, now)) {
      mExpiries.emplace(now + kLateOrderInterval, aNumber);
      return;
    }
  }
  mKept.erase(aNumber);
  const auto done = order.mDone;
  auto outcome = scheduler::order_outcome::unanswered;
  if (order.mIsHeartbeat) {
    outcome = scheduler::order_outcome::unreported;
    order.mIsOverdue = true;
    ++mOverdue;
    mExpiries.emplace(now + kLateReportPeriod, aNumber);
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
  if (const auto queue = mQueues.find(order.mRelay); queue != mQueues.end()) {
    queue->second.mLastHeard = std::max(queue->second.mLastHeard, mClock.now());
  }
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
    while (!queue.mOrders.empty() && queue.mOpenCalls < kMaxOpenBatches &&
           aNow >= queue.mPauseUntil &&
           (aNow >= queue.mNextBatch || queue.mOrders.size() >= kMaxOrdersPerBatch)) {
      sendBatch(relay, queue, aNow);
    }
  }
}

} // namespace endiveusher::node
