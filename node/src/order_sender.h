#pragma once

#include "daemon/src/quantile_summary.h"
#include "endiveusher/edges/http_loop.h"
#include "endiveusher/platform/messages.h"
#include "endiveusher/scheduler/owner_port.h"
#include "event_log.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

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

  void sendHeartbeat(const scheduler::heartbeat_order& aOrder, report_callback aDone);
  void sendStart(const scheduler::start_order& aOrder, outcome_callback aDone);
  void sendStop(const scheduler::stop_order& aOrder, outcome_callback aDone);
  /// Sends the request through the daemon that it names, or directly to aService. A daemon that is
  /// behind is waited for longer than aRequest allows the service: it answers when that time is
  /// over, so that a missing answer says nothing of the service.
  void requestAdvice(const scheduler::advice_request& aRequest, const std::string& aService,
                     advice_callback aDone);

  /// Fails the calls for advice through daemons other than aPresent: these are gone.
  void failAdviceOfOthers(const std::vector<std::string>& aPresent);

  /// Returns counters and latencies in the Prometheus text format.
  std::string metrics() const;

private:
  struct advice_call
  {
    std::string mDaemon;
    edges::call_id mId = 0;
    std::function<void(edges::loop_reply&&)> mDone;
  };

  edges::http_loop& mLoop;
  event_log& mLog;
  /// Open calls for advice by their numbers.
  std::map<std::uint64_t, advice_call> mAdvice;
  std::uint64_t mLastAdvice = 0;
  std::uint64_t mHeartbeats = 0;
  std::uint64_t mStarts = 0;
  std::uint64_t mAdviceCalls = 0;
  daemon::quantile_summary mStartTimes;
  daemon::quantile_summary mAdviceTimes;
};

} // namespace endiveusher::node
