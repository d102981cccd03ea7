#include "backlog_estimate.h"

#include <algorithm>
#include <set>
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
  return std::tie(aOne.mBand, aOne.mPriority, aOne.mLatestStart) <=
         std::tie(aJob.mRank.mBand, aJob.mRank.mPriority, aJob.mRank.mLatestStart);
}

} // namespace

room_class roomClassOf(const step_spec& aStep)
{
  const auto task = aStep.mNeeds.mCpuMilli + aStep.mNeeds.mAccelerators * kAcceleratorCpuMilli;
  const auto room = aStep.mGang ? task * aStep.mCount : task;
  return static_cast<room_class>(std::ranges::lower_bound(kRoomLimits, room) - kRoomLimits.begin());
}

void backlog_estimate::setWaiting(std::vector<waiting_units> aWaiting, time_point aNow)
{
  mWaiting = std::move(aWaiting);
  std::map<std::string_view, std::array<std::uint32_t, kRoomClasses>> old;
  for (const auto& one : mWaiting) {
    if (one.mIsOld) {
      old[one.mPool][one.mRoom] += one.mUnits;
    }
  }
  for (const auto& [pool, units] : old) {
    if (!mPools.contains(pool)) {
      mPools.emplace(pool, pool_state{});
    }
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
      if (sum < kMinOldUnits) {
        since.reset();
      } else if (!since) {
        since = aNow;
      }
    }
  }
}

void backlog_estimate::onStarted(std::string_view aPool, room_class aRoom, bool aOnTime,
                                 time_point aNow)
{
  if (const auto pool = mPools.find(aPool); pool != mPools.end()) {
    pool->second.mStarted.push_back({ .mAt = aNow, .mRoom = aRoom, .mOnTime = aOnTime });
  }
}

void backlog_estimate::add(const new_work& aWork)
{
  mWaiting.push_back({ .mRank = aWork.mRank,
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
  std::ptrdiff_t started = 0;
  std::ptrdiff_t onTime = 0;
  for (const auto& one : pool->second.mStarted) {
    if (one.mAt >= since && one.mRoom <= aRoom) {
      ++started;
      onTime += one.mOnTime ? 1 : 0;
    }
  }
  if (started < kMinStartedUnits) {
    return std::nullopt;
  }
  return start_rate{ .mPerSecond = static_cast<double>(started) / seconds_f(aNow - since).count(),
                     .mOnTime = static_cast<double>(onTime) / static_cast<double>(started) };
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
  struct counts
  {
    double mBefore = 0;
    double mAll = 0;
  };
  counts cell;
  counts team;
  std::set<std::string_view> teams{ aWork.mTeam };
  for (const auto& one : mWaiting) {
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
  const auto excess = [&](const counts& aCounts, double aRate) {
    const seconds_f inTime = seconds_f(aCounts.mBefore / aRate) - aWork.mOnTimeWait;
    const seconds_f withValue = seconds_f(aCounts.mAll / aRate) - aWork.mValueWait;
    return rankCounts ? std::min(inTime, withValue) : withValue;
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
