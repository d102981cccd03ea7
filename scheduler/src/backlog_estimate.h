#pragma once

#include "endiveusher/kernel/resources.h"
#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/cell_config.h"
#include "endiveusher/scheduler/job.h"
#include "waiting_step.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::scheduler::internal {

/// Class of the CPU that has to be free at once for a step to start: for one task, or for a whole
/// gang.
using room_class = std::size_t;

/// Upper limits of the room classes in thousandths of a core; the last class has none. A step is
/// assumed to be delayed by work of its own class or of smaller ones: it uses gaps that are too
/// small for the others.
inline constexpr std::array<std::int64_t, 3> kRoomLimits{ 1000, 4000, 16'000 };
inline constexpr std::size_t kRoomClasses = kRoomLimits.size() + 1;

room_class roomClassOf(const step_spec& aStep);

/// Waiting work that starts one unit after the other: each task of a step, or a gang as one unit.
struct waiting_units
{
  step_rank mRank;
  room_class mRoom = 0;
  std::uint32_t mUnits = 0;
  /// Waiting for at least backlog_estimate::kOldWait.
  bool mIsOld = false;
  std::string mPool;
  std::string mTeam;
};

/// A new job, as far as its first steps are concerned.
struct new_work
{
  /// Rank of its most urgent step while the job is on time, and its route's priority.
  step_rank mRank;
  int mPriority = 0;
  room_class mRoom = 0;
  std::uint32_t mUnits = 0;
  std::string mPool;
  std::string mTeam;
  /// Longest wait for the start with which the job is on time, and with which it has any value.
  duration mOnTimeWait{ 0 };
  duration mValueWait{ 0 };
};

/// Estimates how long new work would wait, from the work that waits before it and the rate at which
/// work has started in the last seconds.
///
/// Load pattern: a burst, or the return after all daemons have lost power, brings more than the
/// cell can do. What is accepted then waits until it is late, and delays what comes later in the
/// same way, for long after the burst. A job that could not start in time any more is rejected at
/// once, with the time after which it could.
///
/// A job is accepted if it would start on time behind the work that ranks before it: late work does
/// not, nor does that of lower priority. It is also accepted if all waiting work could start before
/// the job is worthless: a late result is better for its caller than none, and a short backlog ends
/// by itself.
///
/// Both rules hold while targets are the limit. If the owner's processor is, each turn of its loop
/// takes longer the more steps wait, of whatever rank, and what it has accepted by rank alone
/// starts late all the same. This shows by an event loop that is behind while many units start
/// late. Then a job is accepted only if it would be on time behind all waiting work: a longer
/// backlog does not start more, it only makes all of it late, for as long as the load is near what
/// the owner can do.
///
/// The rate is known only while a pool is saturated: on a calm cell, and with a new owner, work
/// starts as fast as it comes, and all of it is accepted.
class backlog_estimate
{
public:
  /// Period over which starts are counted, and the shortest one that gives a rate.
  static constexpr std::chrono::milliseconds kRatePeriod{ 2000 };
  static constexpr std::chrono::milliseconds kMinRatePeriod{ 500 };
  /// Units that have to start in that period: what starts during an outage is no forecast.
  static constexpr std::ptrdiff_t kMinStartedUnits = 10;
  /// A pool is saturated while this many units have waited for kOldWait, longer than advice, the
  /// store and the order of a start take in a calm cell. It stays saturated until there are few:
  /// near the limit the number goes up and down with the turns of the event loop.
  static constexpr std::chrono::milliseconds kOldWait{ 250 };
  static constexpr std::uint32_t kMinOldUnits = 40;
  static constexpr std::uint32_t kFewOldUnits = 10;
  /// Fraction of the started units of which more are on time while targets are the limit. Starts
  /// are confirmed some turns of the loop after their decision, so that the fraction falls late.
  static constexpr double kOnTimeFraction = 0.8;
  /// Limits of the time after which callers are asked to come back.
  static constexpr std::chrono::seconds kMinRetryAfter{ 1 };
  static constexpr std::chrono::seconds kMaxRetryAfter{ 10 };

  /// Sets the waiting work, except what a limit of its team holds back.
  void setWaiting(std::vector<waiting_units> aWaiting, time_point aNow);
  /// Counts a unit that a target has started, on time or late.
  void onStarted(std::string_view aPool, room_class aRoom, bool aOnTime, time_point aNow);
  /// Adds work that has been accepted since the last setWaiting().
  void add(const new_work& aWork);

  /// Returns the time after which the job would be accepted; absent if it is accepted now. Its team
  /// may use its share of the rate, by weight, for its own waiting work, so that the backlog of
  /// others does not keep out a team that stays within its share.
  /// @param aIsBehind whether the owner's event loop is behind, or was in the last seconds
  std::optional<std::chrono::seconds> retryAfter(const new_work& aWork, const cell_config& aConfig,
                                                 bool aIsBehind, time_point aNow) const;

private:
  struct start_rate
  {
    double mPerSecond = 0;
    /// Fraction of the units that were on time when they started.
    double mOnTime = 0;
  };
  /// Numbers of units that have started, and on time, of each room class and smaller ones.
  struct start_counts
  {
    std::array<std::uint64_t, kRoomClasses> mStarted{};
    std::array<std::uint64_t, kRoomClasses> mOnTime{};
  };
  struct started_unit
  {
    time_point mAt;
    /// Counts of the units that started before.
    start_counts mBefore;
  };
  struct pool_state
  {
    /// Ascending by time.
    std::deque<started_unit> mStarted;
    start_counts mCounts;
    /// Time since which the pool is saturated for work of the class or smaller ones.
    std::array<std::optional<time_point>, kRoomClasses> mSaturatedSince;
  };

  /// Position of a unit in the order of starts, without the tie-break by job.
  struct start_order_key
  {
    int mBand = 0;
    int mPriority = 0;
    int mShareClass = 0;
    time_point mLatestStart;
    auto operator<=>(const start_order_key&) const = default;
  };
  static start_order_key keyOf(const step_rank& aRank)
  {
    return { .mBand = aRank.mBand,
             .mPriority = aRank.mPriority,
             .mShareClass = aRank.mShareClass,
             .mLatestStart = aRank.mLatestStart };
  }
  /// Units in the order of their starts, with their running sum.
  struct ordered_units
  {
    std::vector<start_order_key> mKeys;
    std::vector<double> mSums;

    void append(const start_order_key& aKey, std::uint32_t aUnits);
    double all() const { return mSums.empty() ? 0 : mSums.back(); }
    /// Returns the number of units that start before a job with aKey.
    double before(const start_order_key& aKey) const;
  };
  using units_by_room = std::array<ordered_units, kRoomClasses>;
  /// Waiting work of a pool.
  struct pool_units
  {
    units_by_room mCell;
    std::map<std::string, units_by_room, std::less<>> mTeams;
  };
  struct unit_counts
  {
    double mBefore = 0;
    double mAll = 0;
  };

  /// Returns the state of the pool, a new one if it has none.
  pool_state& stateOf(std::string_view aPool);
  /// Returns how fast units of the class and of smaller ones start; absent while it is not known.
  std::optional<start_rate> rate(std::string_view aPool, room_class aRoom, time_point aNow) const;
  /// Counts the units of the room class and of smaller ones.
  static unit_counts countsOf(const units_by_room& aUnits, const new_work& aWork);

  /// Work at the time of the last setWaiting(), by pool. Each new job is compared with it, so that
  /// a rejection costs the same however much work waits.
  std::map<std::string, pool_units, std::less<>> mWaiting;
  /// Work that was added since.
  std::vector<waiting_units> mAdded;
  std::map<std::string, pool_state, std::less<>> mPools;
};

} // namespace endiveusher::scheduler::internal
