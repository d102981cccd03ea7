#pragma once

#include "held_attempt.h"

#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace endiveusher::internal {

/// All attempts of a placer by task key, with an index by coordinator and the set of coordinators
/// whose attempts have changed.
class attempt_table
{
public:
  held_attempt* find(const task_key& aKey)
  {
    const auto found = mAttempts.find(aKey);
    return found == mAttempts.end() ? nullptr : &found->second;
  }
  /// Adds an attempt; its key must not be present. The reference stays valid until erase().
  held_attempt& add(const task_attempt& aTask)
  {
    held_attempt& attempt = mAttempts[aTask.mKey];
    attempt.mTask = aTask;
    attempt.mSequence = ++mSequence;
    mByCoordinator[aTask.mCoordinator].insert(aTask.mKey);
    markChanged(attempt);
    return attempt;
  }
  void erase(const held_attempt& aAttempt)
  {
    const task_key key = aAttempt.mTask.mKey;
    const auto coordinator = mByCoordinator.find(aAttempt.mTask.mCoordinator);
    coordinator->second.erase(key);
    if (coordinator->second.empty()) {
      mByCoordinator.erase(coordinator);
    }
    mAttempts.erase(key);
  }
  void markChanged(const held_attempt& aAttempt) { mChanged.insert(aAttempt.mTask.mCoordinator); }
  std::set<incarnation_id> takeChangedCoordinators() { return std::exchange(mChanged, {}); }

  const std::map<incarnation_id, std::unordered_set<task_key>>& byCoordinator() const
  {
    return mByCoordinator;
  }
  const std::unordered_map<task_key, held_attempt>& all() const { return mAttempts; }

private:
  std::unordered_map<task_key, held_attempt> mAttempts;
  std::map<incarnation_id, std::unordered_set<task_key>> mByCoordinator;
  std::set<incarnation_id> mChanged;
  std::uint64_t mSequence = 0;
};

} // namespace endiveusher::internal
