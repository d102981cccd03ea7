#pragma once

#include "endiveusher/edges/http_loop.h"
#include "endiveusher/kernel/time.h"
#include "event_log.h"
#include "order_batch.h"
#include "order_sender.h"
#include "relay_policy.h"
#include "relay_set.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
/// An order that is not answered through its relay in time counts as unanswered, so it may have
/// been or may still be carried out; the owner's rules for unanswered orders apply. A target's
/// report that arrives later is passed on all the same: the owner or the relay was behind, not the
/// target.
class order_router
{
public:
  order_router(edges::http_loop& aLoop, const clock& aClock, order_sender& aDirect, event_log& aLog,
               relay_candidate aSelf);

  /// Sets a function that tells whether this daemon may send orders now. Direct orders that it may
  /// not send are kept until tick() is told that it may, or their time is over.
  void setPermission(std::function<bool()> aMayAct) { mMayAct = std::move(aMayAct); }
  /// Sets a function that tells whether tasks may be started now. Starts that have waited here are
  /// returned otherwise.
  void setStartPermission(std::function<bool()> aMayStart) { mMayStart = std::move(aMayStart); }
  /// Begins an epoch of this daemon's ownership; orders of former epochs are forgotten.
  void begin(std::uint64_t aEpoch);
  /// Sets the load of the event loop since the last call, the number of targets and the followers
  /// that may be relays.
  void setCell(const loop_load& aLoad, std::size_t aTargets,
               std::vector<relay_candidate> aCandidates, time_point aNow);

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
  const relay_policy& policy() const { return mPolicy; }
  /// Time at which the next batch is due, if orders wait for one.
  std::optional<time_point> nextBatch() const;
  /// Numbers of orders sent by either path, and of changes between them.
  struct path_counts
  {
    std::uint64_t mDirect = 0;
    std::uint64_t mRelayed = 0;
    std::uint64_t mSwitches = 0;
  };
  const path_counts& pathCounts() const { return mCounts; }

private:
  struct open_order
  {
    std::string mRelay;
    order_sender::report_callback mDone;
    bool mIsHeartbeat = false;
    /// Whether the order has counted as unanswered.
    bool mIsOverdue = false;
  };
  struct queue
  {
    std::vector<numbered_order> mOrders;
    time_point mLastSent{};
    std::uint32_t mOpenCalls = 0;
    /// Whether it holds the start of an urgent step.
    bool mHasUrgent = false;
  };

  /// Returns the time at which the next batch of the queue is due.
  time_point due(const queue& aQueue) const;
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
  /// Returns starts in the queue to the owner whose ticket has expired, or that are not permitted
  /// any more.
  void returnStarts(queue& aQueue, time_point aNow);
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
  std::function<bool()> mMayStart = [] { return true; };
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  std::uint64_t mEpoch = 0;
  std::uint64_t mLastNumber = 0;
  bool mSuperseded = false;
  const double mOwnCores;
  relay_policy mPolicy;
  relay_set mRelays;
  path_counts mCounts;
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
