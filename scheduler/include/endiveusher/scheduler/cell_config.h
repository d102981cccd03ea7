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

/// Cost of an advice call, and the lifetime of the tickets that it returns.
struct advice_terms
{
  std::chrono::microseconds mPerCall{ 0 };
  std::chrono::microseconds mPerTarget{ 0 };
  /// Lifetime of a ticket.
  std::chrono::milliseconds mTicketLifetime{ 0 };
};

/// A queue of jobs.
struct route_config
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix;
  /// Pool of the targets that run the route's tasks.
  std::string mPool;
  /// Priority of the route's jobs; 0 is the highest.
  int mPriority = 0;
  /// Number of failed runs after which a task, and with it the job, is abandoned.
  std::uint32_t mMaxAttempts = 1;
  /// A job is on time if it ends within mStretch times its critical path plus mObjective.
  double mStretch = 1.0;
  std::chrono::milliseconds mObjective{ 0 };
  std::chrono::milliseconds mTimeout{ 0 };
  /// Terms of advice calls; absent if any target may run any step.
  std::optional<advice_terms> mAdvice;
  /// Whether calls need no key.
  bool mPublic = false;
};

/// Returns what jobs need of their route, without its address, timeout and access.
route_config jobTermsOf(const route_config& aRoute);

struct team_config
{
  std::string mName;
  std::vector<std::string> mKeys;
  double mWeight = 1.0;
  /// Maximum total resources of the team's runs; a component of 0 is unlimited.
  resources mUpperLimit;
};

/// Limits of callers' requests.
struct request_limits
{
  /// Largest size of the request line and headers.
  std::size_t mMaxHeaderBytes = 16384;
  std::size_t mMaxBodyBytes = 262144;
  /// Time limit for receiving the request line and headers.
  std::chrono::milliseconds mHeaderTimeout{ 3000 };
  /// Time after which a connection without a request is closed.
  std::chrono::milliseconds mIdleTimeout{ 15'000 };
};

/// One complete version of the operator's configuration.
class cell_config
{
public:
  std::int64_t mVersion = 0;
  std::vector<route_config> mRoutes;
  std::vector<team_config> mTeams;
  request_limits mLimits;

  /// Builds the lookup tables; must be called after the fields are set.
  void index();
  /// Returns the route of aHost with the longest prefix of aPath; nullptr if there is none. The
  /// cost depends on the number of distinct prefix lengths, not on the number of routes.
  const route_config* match(std::string_view aHost, std::string_view aPath) const;
  const route_config* route(std::string_view aName) const;
  const team_config* team(std::string_view aName) const;
  const team_config* teamOfKey(std::string_view aKey) const;

private:
  std::unordered_map<std::string, std::size_t> mByHostAndPrefix;
  std::unordered_map<std::string, std::size_t> mByName;
  std::unordered_map<std::string, std::size_t> mTeamByName;
  std::unordered_map<std::string, std::size_t> mTeamByKey;
  /// Distinct lengths of the path prefixes, descending.
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
