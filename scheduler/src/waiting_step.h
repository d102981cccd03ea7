#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/cell_config.h"
#include "endiveusher/scheduler/job.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace endiveusher::scheduler::internal {

struct ticket
{
  std::string mToken;
  time_point mUntil;
};

/// What is known of the targets that may run one step. The set of good targets never changes;
/// tickets lapse.
struct step_advice
{
  std::unordered_map<std::string, bool> mGood;
  std::unordered_map<std::string, ticket> mTickets;
  std::uint32_t mCallsOpen = 0;
  time_point mNextCall{};

  bool mayRun(const std::string& aTarget) const
  {
    const auto found = mGood.find(aTarget);
    return found == mGood.end() || found->second;
  }
  bool knownGood(const std::string& aTarget) const
  {
    const auto found = mGood.find(aTarget);
    return found != mGood.end() && found->second;
  }
  const std::string* validTicket(const std::string& aTarget, time_point aNow) const
  {
    const auto found = mTickets.find(aTarget);
    return found != mTickets.end() && found->second.mUntil > aNow ? &found->second.mToken : nullptr;
  }
};

/// A step that waits is explained this often.
inline constexpr auto kExplainInterval = std::chrono::milliseconds(3000);

/// A step of which tasks wait to be started.
struct waiting_step
{
  step_key mKey;
  job* mJob = nullptr;
  /// The route as it was last seen, also after the configuration has dropped it.
  route_config mRoute;
  /// Of one task, as it counts against capacity.
  resources mNeeds;
  /// Indexes of the tasks that wait, ascending.
  std::vector<std::uint32_t> mPending;
  /// Until when the job is on time, and until when it is of use at all.
  time_point mOnTimeUntil;
  time_point mOfUseUntil;
  /// Longest chain of estimated work from this step to the end of the occurrence.
  duration mRemaining{ 0 };
  /// No start before this; backs off after starts that targets have rejected.
  time_point mNotBefore{};
  std::uint32_t mRejections = 0;
  /// Since when some of its tasks wait, and when that is to be explained next.
  time_point mSince{};
  time_point mNextExplanation{};
  /// Targets at which a run of the step has failed, and until when others are preferred.
  std::unordered_map<std::string, time_point> mFailedAt;
  step_advice mAdvice;

  const step_spec& spec() const { return mJob->mSpec.mSteps[mKey.mStep]; }
  /// Whether enough tasks wait: a gang starts as a whole.
  bool startable() const
  {
    return !mPending.empty() && (!spec().mGang || mPending.size() == spec().mCount);
  }
};

/// Steps of later bands are late already.
inline constexpr int kLastOnTimeBand = 1;

/// Order in which steps get room; smaller comes first.
struct step_rank
{
  /// 0 urgent and on time, 1 on time, 2 late but of use, 3 of no more use.
  int mBand = 0;
  int mPriority = 0;
  time_point mLatestStart;
  step_key mKey;

  auto operator<=>(const step_rank&) const = default;
};

/// Load pattern: a burst asks for more than all cores. Steps that can still be on time go before
/// late ones, and among them the one that has to start first; what is late does not make the next
/// one late as well.
inline step_rank rankOf(const waiting_step& aStep, time_point aNow)
{
  const auto end = aNow + aStep.mRemaining;
  int band = 3;
  if (end <= aStep.mOnTimeUntil) {
    band = aStep.mRoute.mPriority == 0 ? 0 : 1;
  } else if (end <= aStep.mOfUseUntil) {
    band = 2;
  }
  return { .mBand = band,
           .mPriority = band == 1 ? 0 : aStep.mRoute.mPriority,
           .mLatestStart = aStep.mOnTimeUntil - aStep.mRemaining,
           .mKey = aStep.mKey };
}

} // namespace endiveusher::scheduler::internal
