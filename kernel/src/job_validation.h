#pragma once

#include "endiveusher/kernel/control_state.h"
#include "endiveusher/kernel/job.h"
#include "endiveusher/kernel/messages/call.h"

#include <cstdint>
#include <optional>
#include <string>

namespace endiveusher::internal {

inline constexpr std::uint32_t kMaxTasksPerJob = 10'000;
inline constexpr std::size_t kMaxCommandBytes = std::size_t{ 64 } * 1024;

/// Checks the fields of aJob without the configuration: counts, sizes, times.
std::optional<call_error> checkFields(const job_spec& aJob);

/// Checks aJob against the configuration: team, zones and the team's upper limit.
std::optional<call_error> checkConfiguration(const job_spec& aJob, const control_state& aControl);

/// Checks the key presented for aTeam. Sets an empty aTeam to the key's team.
std::optional<call_error> checkKey(const std::string& aKey, team_name& aTeam,
                                   const control_state& aControl);

} // namespace endiveusher::internal
