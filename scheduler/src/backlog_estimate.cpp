#include "backlog_estimate.h"

#include <algorithm>
#include <set>
#include <span>
#include <tuple>
#include <utility>

namespace endiveusher::scheduler::internal {

namespace {

/// CPU that an accelerator counts as, in thousandths of a core.
constexpr std::int64_t kAcceleratorCpuMilli = 8000;

using seconds_f = std::chrono::duration<double>;

double weightOf(std::string_view aTeam, const cell_config& aConfig)
{
  const auto* team = aConfig.team(aTeam);
  return team == nullptr ? 1.0 : team->mWeight;
}

/// Whether aOne starts before the job if that starts on time.
bool isBefore(const step_rank& aOne, const new_work& aJob)
{
  return std::tie(aOne.mBand, aOne.mPriority, aOne.mShareClass, aOne.mLatestStart) <=
         std::tie(aJob.mRank.mBand, aJob.mRank.mPriority, aJob.mRank.mShareClass,
                  aJob.mRank.mLatestStart);
}

} // namespace

room_class roomClassOf(const step_spec& aStep)
{
  const auto task = aStep.mNeeds.mCpuMilli + aStep.mNeeds.mAccelerators * kAcceleratorCpuMilli;
  const auto room = aStep.mGang ? task * aStep.mCount : task;
  return static_cast<room_class>(std::ranges::lower_bound(kRoomLimits, room) - kRoomLimits.begin());
}

void backlog_estimate::ordered_units::append(const start_order_key& aKey, std::uint32_t aUnits)
{
  mSums.push_back(all() + aUnits);
  mKeys.push_back(aKey);
}

double backlog_estimate::ordered_units::before(const start_order_key& aKey) const
{
  const auto after = std::ranges::upper_bound(mKeys, aKey) - mKeys.begin();
  return after == 0 ? 0 : mSums[static_cast<std::size_t>(after) - 1];
}

void backlog_estimate::setWaiting(std::vector<waiting_units> aWaiting, time_point aNow)
{
  std::ranges::sort(aWaiting, {}, [](const waiting_units& aOne) { return keyOf(aOne.mRank); });
  mWaiting.clear();
  mAdded.clear();
  std::map<std::string_view, std::array<std::uint32_t, kRoomClasses>> old;
  for (const auto& one : aWaiting) {
    auto& pool = mWaiting[one.mPool];
    const auto key = keyOf(one.mRank);
    pool.mCell[one.mRoom].append(key, one.mUnits);
    pool.mTeams[one.mTeam][one.mRoom].append(key, one.mUnits);
    if (one.mIsOld) {
      old[one.mPool][one.mRoom] += one.mUnits;
    }
  }
  for (const auto& [pool, units] : old) {
    stateOf(pool);
  }
  for (auto& [name, pool] : mPools) {
    while (!pool.mStarted.empty() && pool.mStarted.front().mAt < aNow - kRatePeriod) {
      pool.mStarted.pop_front();
    }
    const auto found = old.find(name);
    std::uint32_t sum = 0;
    for (room_class room = 0; room < kRoomClasses; ++room) {
      sum += found == old.end() ? 0 : found->second[room];
      auto& since = pool.mSaturatedSince[room];
      if (sum < (since ? kFewOldUnits : kMinOldUnits)) {
        since.reset();
      } else if (!since) {
        // The old units have found no room for all of this time.
        since = aNow - kOldWait;
      }
    }
  }
}

void backlog_estimate::onStarted(std::string_view aPool, room_class aRoom, bool aOnTime,
                                 time_point aNow)
{
  auto& pool = stateOf(aPool);
  auto& counts = pool.mCounts;
  pool.mStarted.push_back({ .mAt = aNow, .mBefore = counts });
  for (auto room = aRoom; room < kRoomClasses; ++room) {
    ++counts.mStarted[room];
    counts.mOnTime[room] += aOnTime ? 1 : 0;
  }
}

backlog_estimate::pool_state& backlog_estimate::stateOf(std::string_view aPool)
{
  const auto found = mPools.find(aPool);
  return found != mPools.end() ? found->second : mPools[std::string(aPool)];
}

void backlog_estimate::add(const new_work& aWork)
{
  mAdded.push_back({ .mRank = aWork.mRank,
                     .mRoom = aWork.mRoom,
                     .mUnits = aWork.mUnits,
                     .mPool = aWork.mPool,
                     .mTeam = aWork.mTeam });
}

std::optional<backlog_estimate::start_rate> backlog_estimate::rate(std::string_view aPool,
                                                                   room_class aRoom,
                                                                   time_point aNow) const
{
  const auto pool = mPools.find(aPool);
  if (pool == mPools.end() || !pool->second.mSaturatedSince[aRoom]) {
    return std::nullopt;
  }
  const auto since = std::max<time_point>(*pool->second.mSaturatedSince[aRoom], aNow - kRatePeriod);
  if (aNow - since < kMinRatePeriod) {
    return std::nullopt;
  }
  const auto& units = pool->second.mStarted;
  const auto first = std::ranges::lower_bound(units, since, {}, &started_unit::mAt);
  const auto& now = pool->second.mCounts;
  const auto& before = first == units.end() ? now : first->mBefore;
  const auto started = static_cast<std::ptrdiff_t>(now.mStarted[aRoom] - before.mStarted[aRoom]);
  const auto onTime = now.mOnTime[aRoom] - before.mOnTime[aRoom];
  if (started < kMinStartedUnits) {
    return std::nullopt;
  }
  return start_rate{ .mPerSecond = static_cast<double>(started) / seconds_f(aNow - since).count(),
                     .mOnTime = static_cast<double>(onTime) / static_cast<double>(started) };
}

backlog_estimate::unit_counts backlog_estimate::countsOf(const units_by_room& aUnits,
                                                         const new_work& aWork)
{
  unit_counts counts;
  const auto key = keyOf(aWork.mRank);
  for (room_class room = 0; room <= aWork.mRoom; ++room) {
    counts.mBefore += aUnits[room].before(key);
    counts.mAll += aUnits[room].all();
  }
  return counts;
}

std::optional<std::chrono::seconds> backlog_estimate::retryAfter(const new_work& aWork,
                                                                 const cell_config& aConfig,
                                                                 bool aIsBehind,
                                                                 time_point aNow) const
{
  const auto rateNow = rate(aWork.mPool, aWork.mRoom, aNow);
  if (!rateNow) {
    return std::nullopt;
  }
  unit_counts cell;
  unit_counts team;
  std::set<std::string_view> teams{ aWork.mTeam };
  if (const auto pool = mWaiting.find(aWork.mPool); pool != mWaiting.end()) {
    cell = countsOf(pool->second.mCell, aWork);
    for (const auto& [name, units] : pool->second.mTeams) {
      if (name == aWork.mTeam) {
        team = countsOf(units, aWork);
      } else if (std::ranges::any_of(std::span(units).first(aWork.mRoom + 1),
                                     [](const auto& aOne) { return aOne.all() > 0; })) {
        teams.insert(name);
      }
    }
  }
  for (const auto& one : mAdded) {
    if (one.mPool != aWork.mPool || one.mRoom > aWork.mRoom) {
      continue;
    }
    teams.insert(one.mTeam);
    const auto before = isBefore(one.mRank, aWork) ? one.mUnits : 0;
    cell.mBefore += before;
    cell.mAll += one.mUnits;
    if (one.mTeam == aWork.mTeam) {
      team.mBefore += before;
      team.mAll += one.mUnits;
    }
  }
  double weights = 0;
  for (const auto name : teams) {
    weights += weightOf(name, aConfig);
  }
  const bool rankCounts = !aIsBehind || rateNow->mOnTime > kOnTimeFraction;
  const auto excess = [&](const unit_counts& aCounts, double aRate) {
    const seconds_f behindAll(aCounts.mAll / aRate);
    if (!rankCounts) {
      return behindAll - aWork.mOnTimeWait;
    }
    const seconds_f behindEarlier(aCounts.mBefore / aRate);
    return std::min(behindEarlier - aWork.mOnTimeWait, behindAll - aWork.mValueWait);
  };
  const auto wait =
    std::min(excess(cell, rateNow->mPerSecond),
             excess(team, rateNow->mPerSecond * weightOf(aWork.mTeam, aConfig) / weights));
  if (wait <= seconds_f(0)) {
    return std::nullopt;
  }
  return std::clamp(
    std::chrono::ceil<std::chrono::seconds>(std::min<seconds_f>(wait, kMaxRetryAfter)),
    kMinRetryAfter, kMaxRetryAfter);
}

} // namespace endiveusher::scheduler::internal
