#pragma once

#include "daemon/src/quantile_summary.h"
#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/job.h"
#include "endiveusher/scheduler/journal.h"
#include "endiveusher/scheduler/target.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>

namespace endiveusher::node {

/// Measures the time from the arrival of a target's report with the end of a run at the owner's
/// process to the completed append of that end.
///
/// Load pattern: thousands of ends a second, each listed again by its target until it is
/// acknowledged. Holds at most kMaxOpen ends, none for longer than kMaxAge; what is listed again
/// after it was stored is only held, as no second append of it completes.
class end_times
{
public:
  static constexpr std::size_t kMaxOpen = 10'000;
  static constexpr std::chrono::seconds kMaxAge{ 30 };

  /// Notes the ends of a report that arrived at aArrived; returns whether any of them is new.
  bool onReported(std::span<const scheduler::ended_run> aEnds, time_point aArrived);
  /// Called when the records of one append are stored. Returns the longest time of its ends that a
  /// target has reported, nothing if there are none.
  std::optional<duration> onStored(std::span<const scheduler::run_ended> aEnds, time_point aNow);
  /// Forgets ends that are not stored.
  void clear();
  std::size_t open() const { return mOpen.size(); }
  std::string metrics() const;

private:
  using end_key = std::pair<scheduler::task_key, std::uint32_t>;

  void forgetOld(time_point aNow);

  std::map<end_key, time_point> mOpen;
  /// The keys of mOpen in the order of arrival, and keys that were stored since.
  std::deque<std::pair<time_point, end_key>> mArrivals;
  daemon::quantile_summary mTimes;
};

} // namespace endiveusher::node
