#pragma once

#include "endiveusher/edges/http_loop.h"
#include "endiveusher/kernel/time.h"
#include "event_log.h"
#include "order_batch.h"
#include "order_sender.h"
#include "relay_set.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace endiveusher::node {

/// Sends the owner's orders to targets: directly in a small cell, and through relays in a large
/// one. A relay is a follower that makes the calls to a part of the targets; it decides nothing.
///
/// Load pattern: hundreds of targets with thousands of starts, ends and heartbeats a second. The
/// calls alone take more than the owner's processor; a batch of orders to a relay costs the owner
/// about as much as one call.
///
/// A relay that is late is told apart from one that is gone. It is gone if its port refuses
/// connections, it answers with an error, or nothing has been heard of it for kRelaySilence: no
/// hello, no confirmation and no result. Only then its targets get another relay. A batch that is
/// not confirmed proves nothing: the orders in it may have been carried out. One that the relay
/// refuses because it came too late wasn't, and its orders are sent again.
///
/// An order that is not answered through its relay in time counts as unanswered, so it may have
/// been or may still be carried out; the owner's rules for unanswered orders apply. A start or stop
/// that its relay has confirmed is waited for, up to kMaxOrderAge, while the relay is heard of,
/// because to repeat it would be more work for the same relay. A target's report that arrives later
/// is passed on all the same: the owner or the relay was behind, not the target.
class order_router
{
public:
  /// Time after which a relay of which nothing is heard counts as gone.
  static constexpr std::chrono::milliseconds kRelaySilence{ 1000 };
  /// Longest time for which the result of a confirmed order is waited for.
  static constexpr std::chrono::milliseconds kMaxOrderAge{ 4000 };

  order_router(edges::http_loop& aLoop, const clock& aClock, order_sender& aDirect, event_log& aLog,
               relay_candidate aSelf);

  /// Sets a function that tells whether this daemon may send orders now. Direct orders that it may
  /// not send are kept until tick() is told that it may, or their time is over.
  void setPermission(std::function<bool()> aMayAct) { mMayAct = std::move(aMayAct); }
  /// Begins an epoch of this daemon's ownership; orders of former epochs are forgotten.
  void begin(std::uint64_t aEpoch);
  /// Sets the number of targets and the followers that may be relays: those whose hellos are on
  /// time.
  void setCell(std::size_t aTargets, std::vector<relay_candidate> aCandidates, time_point aNow);

  void sendHeartbeat(const scheduler::heartbeat_order& aOrder,
                     const order_sender::report_callback& aDone);
  void sendStart(const scheduler::start_order& aOrder, const order_sender::outcome_callback& aDone);
  void sendStop(const scheduler::stop_order& aOrder, const order_sender::outcome_callback& aDone);

  void onResults(const order_results& aResults);
  /// Ends orders whose time is over, and sends batches that are due unless aMayAct is false: this
  /// daemon may no longer be the owner.
  void tick(time_point aNow, bool aMayAct);
  /// Whether a relay knows a higher epoch, so that this daemon is no longer the owner.
  bool superseded() const { return mSuperseded; }
  std::size_t openOrders() const { return mOpen.size() - mOverdue; }
  std::size_t relays() const { return mRelays.size(); }

private:
  struct open_order
  {
    std::string mRelay;
    order_sender::report_callback mDone;
    bool mIsHeartbeat = false;
    time_point mOpenedAt{};
    /// Whether the relay has confirmed that it has the order.
    bool mIsConfirmed = false;
    /// Whether the order has counted as unanswered.
    bool mIsOverdue = false;
  };
  /// Orders that wait for a batch to a relay, and what is known of the relay.
  struct queue
  {
    std::vector<numbered_order> mOrders;
    time_point mNextBatch{};
    std::uint32_t mOpenCalls = 0;
    /// Last sign of life: a hello, a confirmation or a result.
    time_point mLastHeard{};
    /// Time of the first of the batches in a row that were not confirmed.
    std::optional<time_point> mFailingSince;
    time_point mPauseUntil{};
  };

  /// Queues an order for the relay of its target; returns false if it is to be sent directly.
  template<typename Order>
  bool relayed(const Order& aOrder, std::chrono::milliseconds aTimeout,
               const order_sender::report_callback& aDone);
  void sendDirectly(const scheduler::heartbeat_order& aOrder, order_sender::report_callback aDone);
  void sendDirectly(const scheduler::start_order& aOrder,
                    const order_sender::report_callback& aDone);
  void sendDirectly(const scheduler::stop_order& aOrder,
                    const order_sender::report_callback& aDone);
  /// Sends an order through a relay or directly, or keeps it.
  template<typename Order>
  void sendOrKeep(const Order& aOrder, std::chrono::milliseconds aTimeout,
                  const order_sender::report_callback& aDone);
  /// Adds an order to mOpen; returns its number.
  std::uint64_t open(open_order aOrder, std::chrono::milliseconds aTimeout);
  void sendKept();
  void sendBatch(const std::string& aRelay, queue& aQueue, time_point aNow);
  void onBatchDone(const std::string& aRelay, order_batch& aBatch, const edges::loop_reply& aReply);
  /// Queues the orders of a batch that its relay has refused again.
  void requeue(queue& aQueue, order_batch& aBatch);
  /// Passes orders that their lost relay was not sent to others.
  void reroute(std::span<numbered_order> aOrders);
  queue& queueOf(const std::string& aRelay);
  bool isHeard(const queue& aQueue, time_point aNow) const;
  /// Returns starts in the queue whose ticket has expired to the owner.
  void returnExpired(queue& aQueue, time_point aNow);
  void onRelayLost(const std::string& aRelay, const std::string& aError);
  /// Reports that the order has no answer in time.
  void expire(std::uint64_t aNumber);
  void finish(std::uint64_t aNumber, scheduler::order_outcome aOutcome,
              const scheduler::target_report& aReport);

  edges::http_loop& mLoop;
  const clock& mClock;
  order_sender& mDirect;
  event_log& mLog;
  const std::string mOwnAddress;
  std::function<bool()> mMayAct = [] { return true; };
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  std::uint64_t mEpoch = 0;
  std::uint64_t mLastNumber = 0;
  bool mSuperseded = false;
  relay_set mRelays;
  time_point mLastSetCell{};
  std::map<std::string, queue> mQueues;
  std::map<std::uint64_t, open_order> mOpen;
  /// Number of orders in mOpen that are overdue.
  std::size_t mOverdue = 0;
  /// Direct orders that wait for the permission to send, by their numbers in mOpen.
  std::map<std::uint64_t, target_order> mKept;
  /// Open orders by the time at which they expire.
  std::multimap<time_point, std::uint64_t> mExpiries;
};

} // namespace endiveusher::node
