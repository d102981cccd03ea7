#pragma once

#include "candidate_target.h"
#include "endiveusher/kernel/resources.h"
#include "room_index.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace endiveusher::scheduler::internal {

/// What a planning pass knows and has decided so far.
struct planning_pass
{
  /// Positions of the targets in the candidates, by number.
  std::vector<std::optional<std::uint32_t>> mCandidatePositions;
  room_index mRoom;
  /// Whether runs are being stopped at a candidate.
  bool mCapacityIsBeingFreed = false;
  /// CPU of all candidates.
  std::int64_t mCandidateCpuMilli = 0;
  /// CPU reserved for waiting gangs, and claimed by steps that ask for advice.
  std::int64_t mReservedCpuMilli = 0;
  std::int64_t mClaimedCpuMilli = 0;
  /// What gangs with reservations that last over several passes need, by pool.
  std::map<std::string, resources> mReservedInPools;
  /// Withheld in this pass only for the gang whose turn it is.
  std::vector<withheld_room> mWithheldForGang;
  /// pass_counts::mVisits so far.
  std::uint64_t mVisits = 0;
};

} // namespace endiveusher::scheduler::internal
