#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/cell_config.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace endiveusher::scheduler {

/// Decides whether a new job is accepted while the owner's event loop is behind.
///
/// Load pattern: a burst, or one team that sends many times its usual, brings more tasks than the
/// owner can handle. Every further job then delays the ends and starts of all others, until nothing
/// is on time any more and the backlog outlasts the burst. While the loop is behind, a team may add
/// jobs only up to its fair share of the waiting tasks, by weight; others are rejected at once,
/// with the time to come back, so that a team that stays within its share notices nothing.
class overload_admission
{
public:
  /// Lateness of the event loop up to which every job is accepted. Urgent jobs have some 250 ms.
  static constexpr std::chrono::milliseconds kMaxLag{ 150 };
  /// Waiting tasks of a team up to which its jobs are accepted in any case.
  static constexpr std::uint32_t kAlwaysAccepted = 20;

  using task_counts = std::map<std::string, std::uint32_t, std::less<>>;

  /// Sets the number of waiting tasks by team.
  void setWaiting(task_counts aTasks)
  {
    mTasks = std::move(aTasks);
    mTotal = 0;
    for (const auto& [team, tasks] : mTasks) {
      mTotal += tasks;
    }
  }

  bool admits(std::string_view aTeam, const cell_config& aConfig, duration aLag) const
  {
    const auto found = mTasks.find(aTeam);
    if (aLag <= kMaxLag || found == mTasks.end() || found->second <= kAlwaysAccepted) {
      return true;
    }
    double weights = 0;
    for (const auto& [team, tasks] : mTasks) {
      weights += weightOf(team, aConfig);
    }
    return found->second * weights <= mTotal * weightOf(aTeam, aConfig);
  }

private:
  static double weightOf(std::string_view aTeam, const cell_config& aConfig)
  {
    const auto* team = aConfig.team(aTeam);
    return team == nullptr ? 1.0 : team->mWeight;
  }

  task_counts mTasks;
  double mTotal = 0;
};

} // namespace endiveusher::scheduler
