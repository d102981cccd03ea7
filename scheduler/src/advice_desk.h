#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/owner_port.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace endiveusher::scheduler::internal {

/// Shares out calls for advice. The service handles one call at a time for each calling daemon, so
/// every daemon is a server of its own. Long calls never take more than half of the daemons, so
/// that the short calls of urgent steps find a free one.
class advice_desk
{
public:
  /// Daemons besides this one.
  void setHelpers(std::span<const std::string> aHelpers);
  /// Whether a call that takes aCost would find a daemon.
  bool hasFree(duration aCost, time_point aNow) const { return choose(aCost, aNow) != nullptr; }
  /// The daemon to make a call that takes aCost; absent if all that may are busy.
  std::optional<std::string> reserve(duration aCost, time_point aNow, std::uint64_t aCall);
  /// The call has been answered, or given up.
  void release(std::uint64_t aCall, bool aOk, time_point aNow);
  std::size_t open() const { return mCalls.size(); }

private:
  struct helper
  {
    std::string mName;
    std::uint32_t mOpen = 0;
    duration mLoad{ 0 };
    bool mLong = false;
    time_point mAvoidUntil{};
  };
  struct call
  {
    std::string mHelper;
    duration mCost{ 0 };
    bool mLong = false;
  };
  helper* find(const std::string& aName);
  const helper* choose(duration aCost, time_point aNow) const;

  /// The empty name is this daemon.
  std::vector<helper> mHelpers{ helper{} };
  std::map<std::uint64_t, call> mCalls;
};

} // namespace endiveusher::scheduler::internal
