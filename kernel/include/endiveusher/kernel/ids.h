#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace endiveusher {

/// Identity of one run of a daemon process: `<VM name>.<16 hex digits>`. Never reused.
using incarnation_id = std::string;
/// Name of a target VM, from the VM list.
using target_id = std::string;
/// Name of a team, from the configuration.
using team_name = std::string;
/// Name of an availability zone, from the settings and the configuration.
using zone_name = std::string;
/// Identity of a caller's request: a ticket `t.<incarnation>.<number>` or any other string.
using request_id = std::string;

/// Identity of one task of a job.
struct task_key
{
  request_id mRequest;
  std::uint32_t mIndex = 0;

  // clang-tidy reports the zero in the generated comparison as a null pointer.
  auto operator<=>(const task_key&) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace endiveusher

template<>
struct std::hash<endiveusher::task_key>
{
  std::size_t operator()(const endiveusher::task_key& aKey) const noexcept
  {
    return std::hash<std::string>{}(aKey.mRequest) * 31U + aKey.mIndex;
  }
};
