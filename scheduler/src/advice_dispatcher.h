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

/// Distributes advice calls over the daemons. The advice service handles one call at a time for
/// each calling daemon, so calls through different daemons run in parallel. Long calls leave as
/// many daemons free as recent short calls have needed, at most half, so that the short calls of
/// urgent steps find a free one.
class advice_dispatcher
{
public:
  /// Sets the other daemons that can make calls.
  void setHelpers(std::span<const std::string> aHelpers);
  /// Whether a daemon is free for a call of duration aCost.
  bool hasFreeHelper(duration aCost, time_point aNow) const
  {
    return choose(aCost, aNow) != nullptr;
  }
  /// Whether fewer than half of the daemons that may make long calls do so.
  bool hasSpareHelpers(time_point aNow) const;
  /// A daemon that makes a call, and the time by which the service has handled the calls of this
  /// daemon that are open then.
  struct reservation
  {
    std::string mHelper;
    duration mExpected{ 0 };
  };
  /// Chooses a daemon for a call of duration aCost and records the call as open; absent if no
  /// daemon is free.
  std::optional<reservation> reserve(duration aCost, time_point aNow, std::uint64_t aCall);
  /// Removes a call that was answered or has failed. After a failure its daemon is avoided for a
  /// while, longer with each failure in a row.
  void release(std::uint64_t aCall, bool aOk, time_point aNow);
  std::size_t openCalls() const { return mCalls.size(); }

private:
  struct helper
  {
    std::string mName;
    bool mIsPresent = true;
    std::uint32_t mOpenCalls = 0;
    duration mLoad{ 0 };
    bool mHasLongCall = false;
    /// Number of failures in a row; calls that were open at the same time fail as one.
    std::uint32_t mFailures = 0;
    time_point mLastFailure{};
    time_point mAvoidUntil{};
  };
  struct call
  {
    std::string mHelper;
    duration mCost{ 0 };
    time_point mSent{};
    bool mIsLong = false;
  };
  helper* find(const std::string& aName);
  const helper* choose(duration aCost, time_point aNow) const;
  std::size_t maxLongCalls(time_point aNow) const;
  std::size_t longCalls() const;
  /// Returns the average number of daemons that short calls have occupied lately.
  double shortLoad(time_point aNow) const;

  /// All daemons; the local one has an empty name.
  std::vector<helper> mHelpers{ helper{} };
  std::map<std::uint64_t, call> mCalls;
  /// shortLoad() at the time of the last short call.
  double mShortLoad = 0;
  time_point mShortLoadAt{};
};

} // namespace endiveusher::scheduler::internal
