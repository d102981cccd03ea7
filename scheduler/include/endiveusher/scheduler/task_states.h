#pragma once

#include "endiveusher/scheduler/task_state.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace endiveusher::scheduler {

/// States of the tasks of a step. A task that was never started takes no memory, and one that is
/// done takes a byte: a job may have a million tasks, of which few are between start and end.
class task_states
{
public:
  /// Bytes of a state that is held in full, with its place in the map; strings not included.
  static constexpr std::size_t kFullStateBytes = sizeof(task_state) + 56;

  task_states() = default;
  explicit task_states(std::uint32_t aCount) : mCount(aCount) {}

  std::uint32_t size() const { return mCount; }
  /// Returns the state of a task; aIndex is below size(). The reference is valid until the task is
  /// changed or compacted.
  const task_state& operator[](std::uint32_t aIndex) const;
  /// Returns the state of a task to be changed, which is held in full from now on. Throws
  /// std::out_of_range if there is no such task.
  task_state& edit(std::uint32_t aIndex);
  /// Reduces the state of a task that is done and has no open run to its numbers of runs and
  /// failures; no effect for others, if one of the numbers is too large, or after target losses.
  void compact(std::uint32_t aIndex);
  void compactAll();
  /// Returns the indexes of the tasks that are neither done nor open, ascending.
  std::vector<std::uint32_t> waiting() const;
  /// Whether any task has ever been started.
  bool anyStarted() const { return !mReduced.empty() || !mFull.empty(); }
  /// States that are held in full, by index; those of all other tasks are initial or just done.
  const std::map<std::uint32_t, task_state>& full() const { return mFull; }
  /// Reduced states by index, 0 for all others: the number of the latest run in the lower five
  /// bits, the number of failures above. Empty if there is none.
  const std::vector<std::uint8_t>& reduced() const { return mReduced; }
  /// Takes over reduced states as reduced() returned them. Throws std::out_of_range if there are
  /// more than tasks.
  void setReduced(std::span<const std::uint8_t> aStates);
  /// Number of tasks that are done.
  std::uint32_t countDone() const;

private:
  std::uint32_t mCount = 0;
  std::vector<std::uint8_t> mReduced;
  std::map<std::uint32_t, task_state> mFull;
};

} // namespace endiveusher::scheduler
