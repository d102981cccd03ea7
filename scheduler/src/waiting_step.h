#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/cell_config.h"
#include "endiveusher/scheduler/job.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace endiveusher::scheduler::internal {

/// Dense number of a target, given by the owner; stays with the target's id.
using target_number = std::uint32_t;

struct ticket
{
  std::string mToken;
  time_point mUntil;
};

/// What is known of the targets that may run one step. The set of good targets never changes;
/// tickets lapse.
class step_advice
{
public:
  enum class verdict : std::uint8_t
  {
    unknown,
    good,
    bad,
  };

  std::uint32_t mCallsOpen = 0;
  time_point mNextCall{};

  verdict verdictOn(target_number aTarget) const
  {
    return aTarget < mVerdicts.size() ? mVerdicts[aTarget] : verdict::unknown;
  }
  void judge(target_number aTarget, verdict aVerdict)
  {
    if (aTarget >= mVerdicts.size()) {
      mVerdicts.resize(aTarget + 1, verdict::unknown);
    }
    mVerdicts[aTarget] = aVerdict;
  }
  std::size_t goodTargets() const
  {
    return static_cast<std::size_t>(std::ranges::count(mVerdicts, verdict::good));
  }

  void admit(target_number aTarget, ticket aTicket)
  {
    mLastUntil = std::max(mLastUntil, aTicket.mUntil);
    mTickets[aTarget] = std::move(aTicket);
  }
  void dropTicket(target_number aTarget) { mTickets.erase(aTarget); }
  /// A ticket that is still valid at the time; nullptr if there is none.
  const ticket* validTicket(target_number aTarget, time_point aTime) const
  {
    if (mLastUntil <= aTime) {
      return nullptr;
    }
    const auto found = mTickets.find(aTarget);
    return found != mTickets.end() && found->second.mUntil > aTime ? &found->second : nullptr;
  }
  /// Whether any ticket may be valid at the time.
  bool anyTicket(time_point aTime) const { return mLastUntil > aTime; }
  std::size_t tickets() const { return mTickets.size(); }

private:
  /// By the numbers of the targets.
  std::vector<verdict> mVerdicts;
  std::unordered_map<target_number, ticket> mTickets;
  time_point mLastUntil{};
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
  /// Stops no work of others before this.
  time_point mNextPreemption{};
  /// Since when some of its tasks wait, and when that is to be explained next.
  time_point mSince{};
  time_point mNextExplanation{};
  /// Targets at which a run of the step has failed, and until when others are preferred.
  std::unordered_map<target_number, time_point> mFailedAt;
  step_advice mAdvice;

  const step_spec& spec() const { return mJob->mSpec.mSteps[mKey.mStep]; }
  /// Whether enough tasks wait: a gang starts as a whole.
  bool startable() const
  {
    return !mPending.empty() && (!spec().mGang || mPending.size() == spec().mCount);
  }
};

/// Estimates are off by a fifth; what takes long has to start this part of it earlier to be on
/// time.
inline constexpr double kEstimateReserve = 0.2;
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
           .mLatestStart =
             aStep.mOnTimeUntil - aStep.mRemaining -
             std::chrono::duration_cast<duration>(kEstimateReserve * aStep.mRemaining),
           .mKey = aStep.mKey };
}

} // namespace endiveusher::scheduler::internal
