#pragma once

#include "endiveusher/kernel/resources.h"
#include "held_attempt.h"

#include <array>
#include <map>
#include <string>
#include <tuple>

namespace endiveusher::internal {

/// Position of a task within its lane: earliest deadline first for urgent tasks, else oldest first.
struct queue_rank
{
  time_point mTime{};
  std::uint64_t mSequence = 0;

  // clang-tidy mistakes the zero in the generated comparison for a null pointer.
  auto operator<=>(const queue_rank&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Arbitrary total order of sizes, for use as map keys.
struct size_order
{
  bool operator()(const resources& aLeft, const resources& aRight) const
  {
    return std::tie(aLeft.mSlots, aLeft.mCpuMilli, aLeft.mMemoryMb, aLeft.mAccelerators) <
           std::tie(aRight.mSlots, aRight.mCpuMilli, aRight.mMemoryMb, aRight.mAccelerators);
  }
};

/// Tasks of one team and one precedence. Tasks of the same size form a class, so that a size that
/// does not fit is skipped in one step, whatever the number of its tasks.
class queue_lane
{
public:
  using size_class = std::map<queue_rank, held_attempt*>;

  void push(const queue_rank& aRank, held_attempt& aAttempt);
  void erase(const queue_rank& aRank, const held_attempt& aAttempt);
  bool empty() const { return mHeads.empty(); }
  /// Returns the first task of every class, by rank.
  const std::map<queue_rank, held_attempt*>& heads() const { return mHeads; }
  const std::map<resources, size_class, size_order>& classes() const { return mClasses; }

private:
  std::map<resources, size_class, size_order> mClasses;
  std::map<queue_rank, held_attempt*> mHeads;
};

/// Queue of one team. Lanes in order of precedence: urgent, services, gangs, batch.
struct team_queue
{
  static constexpr std::size_t kUrgentLane = 0;
  static constexpr std::size_t kBatchLane = 3;

  std::string mTeam;
  std::array<queue_lane, 4> mLanes;
  std::size_t mCount = 0;
  resources mWaiting;
  /// No task can start until free capacity, slices or the queue change.
  bool mBlocked = false;
  /// A task would fit on a target, but exceeds the slice.
  bool mLimitedBySlice = false;
  /// Weighted dominant share.
  double mScore = 0.0;
};

/// Waiting tasks of all teams. The team with the smallest weighted dominant share is served first.
class fair_queue
{
public:
  void push(held_attempt& aAttempt);
  void erase(const held_attempt& aAttempt);
  std::size_t size() const { return mSize; }

  /// Returns the team to serve next, or null if all are empty or blocked.
  team_queue* next();
  void unblockAll();
  void setScore(const team_name& aTeam, double aScore);
  std::map<team_name, team_queue>& teams() { return mTeams; }
  const std::map<team_name, team_queue>& teams() const { return mTeams; }

private:
  std::map<team_name, team_queue> mTeams;
  std::size_t mSize = 0;
};

} // namespace endiveusher::internal
