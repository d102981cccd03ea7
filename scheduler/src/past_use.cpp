#include "past_use.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <vector>

namespace endiveusher::scheduler::internal {

namespace {

/// Weight of teams whose configured weight is not positive; keeps the quotients finite.
constexpr double kMinWeight = 1e-3;

} // namespace

double usableWeight(double aWeight)
{
  return aWeight > kMinWeight ? aWeight : kMinWeight;
}

past_use::past_use(std::chrono::seconds aHalfLife) : mHalfLife(aHalfLife) {}

void past_use::restore(const team_use& aRecord, wall_time aNow)
{
  mTeams.clear();
  for (const auto& one : aRecord.mTeams) {
    mTeams[one.mTeam].mUse = one.mUse;
  }
  decay(std::max(aNow - aRecord.mAt, wall_time{ 0 }));
  mAt = aNow;
  mChanged = false;
}

void past_use::advance(wall_time aNow, std::span<const team_usage_sample> aUsed,
                       const resources& aTotal)
{
  const auto elapsed =
    std::clamp<wall_time>(aNow - mAt.value_or(aNow), wall_time{ 0 }, kMaxInterval);
  mAt = aNow;
  if (elapsed.count() == 0) {
    return;
  }
  decay(elapsed);
  // Integral of a constant share that decays meanwhile.
  const std::chrono::duration<double> time = elapsed;
  const double counted =
    mHalfLife.count() / std::numbers::ln2 * (1 - std::exp2(-time.count() / mHalfLife.count()));
  for (const auto& one : aUsed) {
    // While a new owner gets in touch with the targets, few of them are usable and runs on all of
    // them are known.
    const double added = std::min(dominantShare(one.mUsed, aTotal), 1.0) * counted;
    if (added <= 0) {
      continue;
    }
    auto found = mTeams.find(one.mTeam);
    if (found == mTeams.end()) {
      found = mTeams.try_emplace(std::string(one.mTeam)).first;
    }
    found->second.mUse += added;
    mChanged = true;
  }
  dropSmallest();
}

void past_use::setWeights(const std::function<double(std::string_view)>& aWeightOf)
{
  double sum = 0;
  for (auto& [name, team] : mTeams) {
    team.mWeight = usableWeight(aWeightOf(name));
    sum += team.mUse / team.mWeight;
  }
  mMean = mTeams.empty() ? 0 : sum / static_cast<double>(mTeams.size());
}

double past_use::ratio(std::string_view aTeam) const
{
  if (mMean <= 0) {
    return 1;
  }
  const auto found = mTeams.find(aTeam);
  return found == mTeams.end() ? 0 : found->second.mUse / found->second.mWeight / mMean;
}

double past_use::use(std::string_view aTeam) const
{
  const auto found = mTeams.find(aTeam);
  return found == mTeams.end() ? 0 : found->second.mUse;
}

team_use past_use::takeRecord()
{
  mChanged = false;
  team_use record{ .mAt = mAt.value_or(wall_time{ 0 }) };
  record.mTeams.reserve(mTeams.size());
  for (const auto& [name, team] : mTeams) {
    record.mTeams.push_back({ .mTeam = name, .mUse = static_cast<float>(team.mUse) });
  }
  return record;
}

void past_use::decay(std::chrono::duration<double> aTime)
{
  const double factor = std::exp2(-aTime.count() / mHalfLife.count());
  for (auto& [name, team] : mTeams) {
    team.mUse *= factor;
  }
  std::erase_if(mTeams, [](const auto& aOne) { return aOne.second.mUse < kMinUse; });
}

void past_use::dropSmallest()
{
  if (mTeams.size() <= kMaxTeamsInRecord) {
    return;
  }
  std::vector<decltype(mTeams)::iterator> order;
  order.reserve(mTeams.size());
  for (auto at = mTeams.begin(); at != mTeams.end(); ++at) {
    order.push_back(at);
  }
  std::ranges::stable_sort(order, {}, [](const auto& aAt) { return aAt->second.mUse; });
  order.resize(mTeams.size() - kMaxTeamsInRecord);
  for (const auto at : order) {
    mTeams.erase(at);
  }
}

} // namespace endiveusher::scheduler::internal
