#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/cell_config.h"
#include "endiveusher/scheduler/job.h"
#include "team_state.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace endiveusher::scheduler::internal {

/// Minimum remaining lifetime of a ticket when a start is decided, for storing the record and
/// sending the order.
inline constexpr auto kTicketMargin = std::chrono::milliseconds(60);

/// Dense number of a target, assigned by the owner and bound to the target's id.
using target_number = std::uint32_t;

struct ticket
{
  std::string mToken;
  time_point mExpiry;
};

/// Advice received for one step. The advice service never changes its verdict on a target; tickets
/// expire.
class step_advice
{
public:
  enum class verdict : std::uint8_t
  {
    unknown,
    /// The target may run the step.
    good,
    /// The target may not run the step.
    bad,
  };

  std::uint32_t mCallsOpen = 0;
  /// Targets of the open calls, ascending.
  std::vector<target_number> mQueried;
  /// Number of replies since the step began to wait.
  std::uint32_t mReplies = 0;
  time_point mNextCall{};

  verdict verdictOn(target_number aTarget) const
  {
    return aTarget < mVerdicts.size() ? mVerdicts[aTarget] : verdict::unknown;
  }
  void setVerdict(target_number aTarget, verdict aVerdict)
  {
    if (aTarget >= mVerdicts.size()) {
      mVerdicts.resize(aTarget + 1, verdict::unknown);
    }
    if (mVerdicts[aTarget] != verdict::good && aVerdict == verdict::good) {
      mGood.push_back(aTarget);
    } else if (mVerdicts[aTarget] == verdict::good && aVerdict != verdict::good) {
      std::erase(mGood, aTarget);
    }
    mVerdicts[aTarget] = aVerdict;
  }
  /// Returns the targets with a good verdict, in the order of the verdicts.
  std::span<const target_number> good() const { return mGood; }
  std::size_t goodTargets() const { return mGood.size(); }

  void addTicket(target_number aTarget, ticket aTicket)
  {
    mLatestExpiry = std::max(mLatestExpiry, aTicket.mExpiry);
    mTickets[aTarget] = std::move(aTicket);
  }
  void dropExpiredTickets(time_point aNow)
  {
    std::erase_if(mTickets, [aNow](const auto& aOne) { return aOne.second.mExpiry <= aNow; });
  }
  void dropTicket(target_number aTarget) { mTickets.erase(aTarget); }
  /// Returns the ticket for the target if it is valid at aTime, otherwise nullptr.
  const ticket* validTicket(target_number aTarget, time_point aTime) const
  {
    if (mLatestExpiry <= aTime) {
      return nullptr;
    }
    const auto found = mTickets.find(aTarget);
    return found != mTickets.end() && found->second.mExpiry > aTime ? &found->second : nullptr;
  }
  /// Whether the step has queried the target and waits for the reply, or has a valid ticket for it.
  bool requested(target_number aTarget, time_point aTime) const
  {
    return std::ranges::binary_search(mQueried, aTarget) || validTicket(aTarget, aTime) != nullptr;
  }
  std::size_t tickets() const { return mTickets.size(); }
  /// Calls aVisit with the number of each target for which there is a ticket that is valid at
  /// aTime.
  template<typename Visitor>
  void forEachValidTicket(time_point aTime, Visitor&& aVisit) const
  {
    if (mLatestExpiry <= aTime) {
      return;
    }
    for (const auto& [number, ticket] : mTickets) {
      if (ticket.mExpiry > aTime) {
        aVisit(number);
      }
    }
  }

private:
  /// Indexed by target number.
  std::vector<verdict> mVerdicts;
  std::vector<target_number> mGood;
  std::unordered_map<target_number, ticket> mTickets;
  time_point mLatestExpiry{};
};

/// Capacity of good targets that a gang keeps from all other steps until it starts.
struct gang_reservation
{
  struct part
  {
    target_number mTarget = 0;
    std::uint32_t mSlots = 0;
  };
  std::vector<part> mParts;
  time_point mSince;
  /// Whether the last call for advice that ended since then got no reply.
  bool mAdviceFailed = false;
};

/// Interval at which the reason for a step's waiting is logged.
inline constexpr auto kWaitLogInterval = std::chrono::milliseconds(3000);

/// Time after its start within which an owner has read the configuration that is in force, by the
/// bound that operators are given for that.
inline constexpr auto kConfigurationTime = std::chrono::milliseconds(2000);

/// A step with tasks that wait to be started.
struct waiting_step
{
  step_key mKey;
  job* mJob = nullptr;
  team_state* mTeam = nullptr;
  /// Latest known configuration of the route, kept after the route is removed.
  route_config mRoute;
  /// Capacity that one task takes from its target.
  resources mNeeds;
  /// Indexes of the waiting tasks, ascending.
  std::vector<std::uint32_t> mPending;
  /// Time up to which the job is on time, and time up to which its results have any value.
  time_point mDeadline;
  time_point mValueDeadline;
  /// Critical path from this step to the end of the occurrence, this step included.
  duration mRemainingWork{ 0 };
  /// Earliest start; moved back after starts that targets have rejected.
  time_point mNotBefore{};
  std::uint32_t mRejectedStarts = 0;
  /// The step preempts no other runs before this time.
  time_point mNextPreemption{};
  /// Time since which some of its tasks wait, and time at which the reason is logged next.
  time_point mWaitingSince{};
  time_point mNextWaitLog{};
  /// Targets at which a run of the step has failed, and the time up to which they are avoided.
  std::unordered_map<target_number, time_point> mAvoidedTargets;
  step_advice mAdvice;
  std::optional<gang_reservation> mReservation;
  /// The gang makes no reservation before this time.
  time_point mNextReservation{};
  /// Until this time the step is suspected of crashing its targets, and starts in isolation.
  time_point mSuspectUntil{};
  /// Time since which the suspect step waits for targets that run nothing of other jobs.
  std::optional<time_point> mIsolationSince;
  /// Whether the step may start only on such targets, in the current planning pass.
  bool mNeedsIsolation = false;
  /// Time since which reservations in the team's limit hold the step back while the team uses less
  /// than half of it.
  std::optional<time_point> mTeamHoldSince;
  /// Whether the step ignores these reservations, in the current planning pass.
  bool mIgnoresTeamReservations = false;
  /// Whether a task has used up its attempts, by a route that is not configured at present.
  bool mWaitsForRoute = false;

  const step_spec& spec() const { return mJob->mSpec.mSteps[mKey.mStep]; }
  /// Whether enough tasks wait: a gang starts as a whole.
  bool startable() const
  {
    return !mWaitsForRoute && !mPending.empty() &&
           (!spec().mGang || mPending.size() == spec().mCount);
  }
};

/// Estimates are wrong by up to a fifth, so the latest start of a step is this fraction of its
/// remaining work earlier.
inline constexpr double kEstimateMargin = 0.2;
/// Last band whose steps can still meet their deadline.
inline constexpr int kLastOnTimeBand = 1;

/// Order in which steps are placed; smaller ranks first.
struct step_rank
{
  /// 0: highest priority and on time, or long-running, 1: on time, 2: late, but before the value
  /// deadline, 3: past the value deadline.
  int mBand = 0;
  int mPriority = 0;
  /// share_position::mClass of the team of a late step; 0 for others.
  int mShareClass = 0;
  /// Moved back by share_position::delayFor() for a step that is on time.
  time_point mLatestStart;
  step_key mKey;

  auto operator<=>(const step_rank&) const = default;
};

/// Returns the rank of a step of a team with this position. Steps of the highest priority and
/// long-running ones keep theirs. The delay of a step that is on time ends with its slack, so that
/// it comes before all steps that have more slack left, whatever its team has used.
inline step_rank withShare(step_rank aRank, const share_position& aPosition, time_point aNow)
{
  if (aRank.mBand > kLastOnTimeBand) {
    aRank.mShareClass = aPosition.mClass;
  } else if (aRank.mBand == kLastOnTimeBand) {
    aRank.mLatestStart += aPosition.delayFor(aRank.mLatestStart - aNow);
  }
  return aRank;
}

/// Returns the rank of a step that can meet its deadline, without regard to its team's use.
inline step_rank rankOnTime(time_point aDeadline, duration aRemainingWork, int aPriority,
                            const step_key& aKey)
{
  return { .mBand = aPriority == 0 ? 0 : kLastOnTimeBand,
           .mLatestStart = aDeadline - aRemainingWork -
                           std::chrono::duration_cast<duration>(kEstimateMargin * aRemainingWork),
           .mKey = aKey };
}

/// Returns the rank of a step without regard to its team's use. Load pattern: a burst needs more
/// than all cores. Steps that can still meet their deadline come before late ones, ordered by their
/// latest start, so that late steps do not delay others past their deadlines.
inline step_rank rankWithoutShare(const waiting_step& aStep, time_point aNow)
{
  if (aStep.spec().mLongRunning) {
    // Before all others, in the order of waiting: every second without its tasks is lost to their
    // callers, however full the cell is.
    return { .mBand = 0, .mPriority = -1, .mLatestStart = aStep.mWaitingSince, .mKey = aStep.mKey };
  }
  const auto end = aNow + aStep.mRemainingWork;
  int band = 3;
  if (end <= aStep.mDeadline) {
    band = aStep.mRoute.mPriority == 0 ? 0 : 1;
  } else if (end <= aStep.mValueDeadline) {
    band = 2;
  }
  return { .mBand = band,
           .mPriority = band == 1 ? 0 : aStep.mRoute.mPriority,
           .mLatestStart =
             aStep.mDeadline - aStep.mRemainingWork -
             std::chrono::duration_cast<duration>(kEstimateMargin * aStep.mRemainingWork),
           .mKey = aStep.mKey };
}

/// Returns the rank of a step, by which it is placed.
inline step_rank rankOf(const waiting_step& aStep, time_point aNow)
{
  return withShare(rankWithoutShare(aStep, aNow), aStep.mTeam->mPosition, aNow);
}

} // namespace endiveusher::scheduler::internal
