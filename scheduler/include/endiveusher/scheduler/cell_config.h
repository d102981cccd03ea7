#pragma once

#include "endiveusher/kernel/resources.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endiveusher::scheduler {

/// What asking for the targets that may run a step costs.
struct advice_terms
{
  std::chrono::microseconds mPerCall{ 0 };
  std::chrono::microseconds mPerTarget{ 0 };
  /// How long a ticket is valid.
  std::chrono::milliseconds mValid{ 0 };
};

/// A queue of jobs.
struct route_config
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix;
  /// Pool of targets that run its tasks.
  std::string mPool;
  /// 0 comes first.
  int mPriority = 0;
  /// Failed runs after which a task is given up.
  std::uint32_t mMaxAttempts = 1;
  /// A job is on time within mStretch times its longest chain of work, and mObjective.
  double mStretch = 1.0;
  std::chrono::milliseconds mObjective{ 0 };
  std::chrono::milliseconds mTimeout{ 0 };
  /// Absent if any target may run any step.
  std::optional<advice_terms> mAdvice;
  /// Calls need no key.
  bool mPublic = false;
};

struct team_config
{
  std::string mName;
  std::vector<std::string> mKeys;
  double mWeight = 1.0;
  /// Most that may be running; a component of 0 is unlimited.
  resources mUpperLimit;
};

/// A version of the operator's configuration, complete.
class cell_config
{
public:
  std::int64_t mVersion = 0;
  std::vector<route_config> mRoutes;
  std::vector<team_config> mTeams;
  std::size_t mMaxBodyBytes = 262144;

  /// Builds the look-up tables; call after the fields are set.
  void index();
  /// The route of aHost with the longest prefix of aPath; nullptr if there is none. The cost does
  /// not grow with the number of routes.
  const route_config* match(std::string_view aHost, std::string_view aPath) const;
  const route_config* route(std::string_view aName) const;
  const team_config* team(std::string_view aName) const;
  const team_config* teamOfKey(std::string_view aKey) const;

private:
  std::unordered_map<std::string, std::size_t> mByHostAndPrefix;
  std::unordered_map<std::string, std::size_t> mByName;
  std::unordered_map<std::string, std::size_t> mTeamByName;
  std::unordered_map<std::string, std::size_t> mTeamByKey;
  /// Lengths of the prefixes, longest first.
  std::vector<std::size_t> mPrefixLengths;
};

/// Whether aUsed stays within aLimit, in which 0 means unlimited.
constexpr bool withinLimit(const resources& aUsed, const resources& aLimit)
{
  const auto ok = [](std::int64_t aPart, std::int64_t aWhole) {
    return aWhole <= 0 || aPart <= aWhole;
  };
  return ok(aUsed.mCpuMilli, aLimit.mCpuMilli) && ok(aUsed.mMemoryMb, aLimit.mMemoryMb) &&
         ok(aUsed.mAccelerators, aLimit.mAccelerators);
}

} // namespace endiveusher::scheduler
