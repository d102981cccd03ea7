#pragma once

#include "daemon/src/quantile_summary.h"
#include "endiveusher/edges/http_loop.h"
#include "endiveusher/platform/messages.h"
#include "endiveusher/scheduler/owner_port.h"
#include "event_log.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace endiveusher::node {

/// Sends the owner's orders to targets and its requests for advice, and measures their latency.
class order_sender
{
public:
  using outcome_callback = std::function<void(scheduler::order_outcome aOutcome)>;
  using report_callback =
    std::function<void(scheduler::order_outcome aOutcome, const scheduler::target_report& aReport)>;
  using advice_callback = std::function<void(const scheduler::advice_reply& aReply)>;

  order_sender(edges::http_loop& aLoop, event_log& aLog) : mLoop(aLoop), mLog(aLog) {}

  /// If a reused connection ends before the answer, the target is queried on another one: the end
  /// of a connection does not show that it is silent.
  void sendHeartbeat(const scheduler::heartbeat_order& aOrder, report_callback aDone);
  /// @param aMayStart asked right before the order is sent; if it denies that, the outcome is
  ///   not_sent
  void sendStart(const scheduler::start_order& aOrder, outcome_callback aDone,
                 std::function<bool()> aMayStart = {});
  void sendStop(const scheduler::stop_order& aOrder, outcome_callback aDone);
  /// Sends the request through the daemon that it names, or directly to aService.
  void requestAdvice(const scheduler::advice_request& aRequest, const std::string& aService,
                     advice_callback aDone);

  /// Returns counters and latencies in the Prometheus text format.
  std::string metrics() const;

private:
  /// Queries the runs and ends at the target of a heartbeat, without any effect there.
  void queryTarget(scheduler::heartbeat_order aOrder, const report_callback& aDone);
  void onHeartbeatReply(const std::string& aTarget, const edges::loop_reply& aReply,
                        const report_callback& aDone);
  /// What the log says of an order, without its payload.
  struct order_subject
  {
    std::string_view mKind;
    std::string mTarget;
    scheduler::task_key mTask;
    std::uint32_t mRun = 0;
    std::uint64_t mEpoch = 0;
  };
  template<typename Order>
  static order_subject subjectOf(std::string_view aKind, const Order& aOrder)
  {
    return { .mKind = aKind,
             .mTarget = aOrder.mTarget,
             .mTask = aOrder.mTask,
             .mRun = aOrder.mRun,
             .mEpoch = aOrder.mEpoch };
  }
  /// Decodes the reply to a start or stop order. One that was not accepted is logged by the daemon
  /// that has made the call: the owner, or a relay.
  scheduler::order_outcome outcomeOf(const order_subject& aOrder, const edges::loop_reply& aReply);

  edges::http_loop& mLoop;
  event_log& mLog;
  std::uint64_t mHeartbeats = 0;
  std::uint64_t mStarts = 0;
  std::uint64_t mAdviceCalls = 0;
  daemon::quantile_summary mStartTimes;
  daemon::quantile_summary mAdviceTimes;
};

} // namespace endiveusher::node
