#include "owner_impl.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace endiveusher::scheduler {

namespace {

/// Interval at which the teams' use is sampled: tasks shorter than this count on average only.
constexpr auto kUseSampleInterval = std::chrono::milliseconds(100);

double weightOf(const internal::team_state& aTeam)
{
  return internal::usableWeight(aTeam.mConfig == nullptr ? 1.0 : aTeam.mConfig->mWeight);
}

} // namespace

resources owner::impl::usableCapacity(time_point aNow) const
{
  resources total;
  for (const auto* target : mTargetsByNumber) {
    if (target != nullptr && usable(*target, aNow)) {
      total += target->mEntry.mCapacity;
    }
  }
  // Slots are no resource of their own here.
  total.mSlots = 0;
  return total;
}

void owner::impl::updatePastUse(time_point aNow, wall_time aWall)
{
  if (!mPastUse) {
    return;
  }
  if (!std::exchange(mPastUseLoaded, true) && mJobTable.teamUse() != nullptr) {
    mPastUse->restore(*mJobTable.teamUse(), aWall);
  }
  if (mNextUseSample <= aNow) {
    mNextUseSample = aNow + kUseSampleInterval;
    std::vector<internal::team_usage_sample> used;
    used.reserve(mTeams.size());
    for (const auto& [name, team] : mTeams) {
      used.push_back({ .mTeam = name, .mUsed = team.mUsed });
    }
    mPastUse->advance(aWall, used, usableCapacity(aNow));
    mPastUse->setWeights([this](std::string_view aTeam) {
      const auto* team = mConfig ? mConfig->team(aTeam) : nullptr;
      return team == nullptr ? 1.0 : team->mWeight;
    });
  }
  // A record waits while an append is open, so that an outage of the store leaves only one.
  if (mNextUseRecord <= aNow && mBatchesInFlight.empty() && mPastUse->changed()) {
    mNextUseRecord = aNow + internal::past_use::kMaxInterval;
    append(mPastUse->takeRecord(), aNow);
  }
}

void owner::impl::updateTeamPositions(time_point aNow)
{
  if (!ordersByUse()) {
    return;
  }
  const auto total = usableCapacity(aNow);
  for (auto& [name, team] : mTeams) {
    team.mShareRatio = dominantShare(team.mUsed, total) / weightOf(team);
    team.mIsActive = team.mShareRatio > 0;
  }
  for (const auto& [key, step] : mWaiting) {
    step.mTeam->mIsActive = step.mTeam->mIsActive || step.startable();
  }
  internal::mean_share mean;
  for (const auto& [name, team] : mTeams) {
    if (team.mIsActive) {
      mean.add(team.mShareRatio);
    }
  }
  for (auto& [name, team] : mTeams) {
    const bool runs = team.mShareRatio > 0;
    team.mShareRatio = mean.ratio(team.mShareRatio);
    team.mPastUseRatio = mPastUse ? mPastUse->ratio(name) : 0;
    // A team that runs nothing is never behind others, however much it has used: late steps would
    // wait for as long as others are late.
    const double ratio =
      std::max(mOptions.mOrderByShare ? team.mShareRatio : 0, team.mPastUseRatio);
    team.mPosition = runs ? internal::sharePosition(ratio) : internal::share_position{};
  }
  mDelayedSteps = static_cast<std::size_t>(std::ranges::count_if(mWaiting, [&](const auto& aOne) {
    const auto& step = aOne.second;
    return step.startable() &&
           internal::rankOf(step, aNow) != internal::rankWithoutShare(step, aNow);
  }));
}

std::vector<team_counts> owner::impl::largestTeams(std::size_t aMost) const
{
  std::vector<team_counts> teams;
  if (!ordersByUse()) {
    return teams;
  }
  teams.reserve(mTeams.size());
  for (const auto& [name, team] : mTeams) {
    teams.push_back({ .mName = name, .mShare = team.mShareRatio, .mPastUse = team.mPastUseRatio });
  }
  std::ranges::stable_sort(teams, std::greater{}, [](const team_counts& aOne) {
    return std::max(aOne.mShare, aOne.mPastUse);
  });
  teams.resize(std::min(teams.size(), aMost));
  return teams;
}

} // namespace endiveusher::scheduler
