#pragma once

#include "endiveusher/kernel/ids.h"
#include "endiveusher/kernel/resources.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <variant>

namespace endiveusher {

/// Upper limit or a slice of one. Components without a limit are kUnlimited.
struct limit_vector
{
  static constexpr std::int64_t kUnlimited = std::numeric_limits<std::int64_t>::max();

  std::int64_t mTasks = kUnlimited;
  std::int64_t mCpuMilli = kUnlimited;
  std::int64_t mMemoryMb = kUnlimited;
  std::int64_t mAccelerators = kUnlimited;

  bool operator==(const limit_vector&) const = default;
};

enum class zone_state
{
  in,
  out, ///< No task starts; running batch tasks are checkpointed and moved, services are moved.
};

// Changes of the configuration.

struct set_team
{
  team_name mTeam;
  /// Weight of the team's share when the cell is full. Above zero.
  double mShare = 1.0;
  limit_vector mLimit;
  /// Whether the team accepts work without a key.
  bool mOpen = false;
};
struct remove_team
{
  team_name mTeam;
};
struct grant_key
{
  team_name mTeam;
  /// Lower-case hex SHA-256 of the key. The key itself is never stored.
  std::string mKeyDigest;
};
struct withdraw_key
{
  std::string mKeyDigest;
};
struct set_zone_state
{
  zone_name mZone;
  zone_state mState = zone_state::in;
};

using config_change = std::variant<set_team, remove_team, grant_key, withdraw_key, set_zone_state>;

} // namespace endiveusher
