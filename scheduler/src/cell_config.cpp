#include "endiveusher/scheduler/cell_config.h"

#include <algorithm>
#include <functional>
#include <set>

namespace endiveusher::scheduler {

namespace {

/// Separates host and prefix in keys; does not occur in hosts, so the keys are unambiguous.
constexpr char kSeparator = '\n';

template<typename Entry>
const Entry* lookUp(const std::unordered_map<std::string, std::size_t>& aIndex,
                    const std::vector<Entry>& aEntries, std::string_view aKey)
{
  const auto found = aIndex.find(std::string(aKey));
  return found == aIndex.end() ? nullptr : &aEntries[found->second];
}

} // namespace

route_config jobTermsOf(const route_config& aRoute)
{
  return { .mName = aRoute.mName,
           .mPool = aRoute.mPool,
           .mPriority = aRoute.mPriority,
           .mMaxAttempts = aRoute.mMaxAttempts,
           .mStretch = aRoute.mStretch,
           .mObjective = aRoute.mObjective,
           .mAdvice = aRoute.mAdvice };
}

void cell_config::index()
{
  std::set<std::size_t, std::greater<>> lengths;
  for (std::size_t at = 0; at < mRoutes.size(); ++at) {
    const auto& route = mRoutes[at];
    mByHostAndPrefix[route.mHost + kSeparator + route.mPathPrefix] = at;
    mByName[route.mName] = at;
    lengths.insert(route.mPathPrefix.size());
  }
  mPrefixLengths.assign(lengths.begin(), lengths.end());
  for (std::size_t at = 0; at < mTeams.size(); ++at) {
    mTeamByName[mTeams[at].mName] = at;
    for (const auto& key : mTeams[at].mKeys) {
      mTeamByKey[key] = at;
    }
  }
}

const route_config* cell_config::match(std::string_view aHost, std::string_view aPath) const
{
  for (const std::size_t length : mPrefixLengths) {
    if (length > aPath.size()) {
      continue;
    }
    std::string key(aHost);
    key += kSeparator;
    key += aPath.substr(0, length);
    if (const auto* found = lookUp(mByHostAndPrefix, mRoutes, key)) {
      return found;
    }
  }
  return nullptr;
}

const route_config* cell_config::route(std::string_view aName) const
{
  return lookUp(mByName, mRoutes, aName);
}

const team_config* cell_config::team(std::string_view aName) const
{
  return lookUp(mTeamByName, mTeams, aName);
}

const team_config* cell_config::teamOfKey(std::string_view aKey) const
{
  return lookUp(mTeamByKey, mTeams, aKey);
}

} // namespace endiveusher::scheduler
