#pragma once

#include "held_attempt.h"

#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace endiveusher::internal {

/// All attempts of a placer by task key, with an index by home and the homes that changed.
class attempt_book
{
public:
  held_attempt* find(const task_key& aKey)
  {
    const auto found = mAttempts.find(aKey);
    return found == mAttempts.end() ? nullptr : &found->second;
  }
  /// The key must not be present. The reference stays valid until erase().
  held_attempt& add(const task_attempt& aTask)
  {
    held_attempt& attempt = mAttempts[aTask.mKey];
    attempt.mTask = aTask;
    attempt.mSequence = ++mSequence;
    mHomes[aTask.mHome].insert(aTask.mKey);
    changed(attempt);
    return attempt;
  }
  void erase(const held_attempt& aAttempt)
  {
    const task_key key = aAttempt.mTask.mKey;
    const auto home = mHomes.find(aAttempt.mTask.mHome);
    home->second.erase(key);
    if (home->second.empty()) {
      mHomes.erase(home);
    }
    mAttempts.erase(key);
  }
  void changed(const held_attempt& aAttempt) { mChanged.insert(aAttempt.mTask.mHome); }
  std::set<incarnation_id> takeChanged() { return std::exchange(mChanged, {}); }

  const std::map<incarnation_id, std::unordered_set<task_key>>& homes() const { return mHomes; }
  const std::unordered_map<task_key, held_attempt>& attempts() const { return mAttempts; }

private:
  std::unordered_map<task_key, held_attempt> mAttempts;
  std::map<incarnation_id, std::unordered_set<task_key>> mHomes;
  std::set<incarnation_id> mChanged;
  std::uint64_t mSequence = 0;
};

} // namespace endiveusher::internal
