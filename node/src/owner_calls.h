#pragma once

#include "daemon/src/quantile_summary.h"
#include "endiveusher/edges/http_loop.h"
#include "endiveusher/platform/messages.h"
#include "endiveusher/scheduler/owner_port.h"
#include "event_log.h"

#include <cstdint>
#include <functional>
#include <string>

namespace endiveusher::node {

/// The owner's calls to targets and for advice, with what they cost.
class owner_calls
{
public:
  using outcome_callback = std::function<void(scheduler::order_outcome aOutcome)>;
  using report_callback =
    std::function<void(scheduler::order_outcome aOutcome, const scheduler::target_report& aReport)>;
  using advice_callback = std::function<void(const scheduler::advice_answer& aAnswer)>;

  owner_calls(edges::http_loop& aLoop, event_log& aLog) : mLoop(aLoop), mLog(aLog) {}

  void look(const scheduler::look_order& aOrder, report_callback aDone);
  void start(const scheduler::start_order& aOrder, outcome_callback aDone);
  void stop(const scheduler::stop_order& aOrder, outcome_callback aDone);
  /// Through the helper that the request names, or to aService.
  void advise(const scheduler::advice_request& aRequest, const std::string& aService,
              advice_callback aDone);

  /// Counters and durations in the Prometheus text format.
  std::string metrics() const;

private:
  edges::http_loop& mLoop;
  event_log& mLog;
  std::uint64_t mLooks = 0;
  std::uint64_t mStarts = 0;
  std::uint64_t mAdviceCalls = 0;
  daemon::quantile_summary mStartTimes;
  daemon::quantile_summary mAdviceTimes;
};

} // namespace endiveusher::node
