#pragma once

#include "admission.h"
#include "endiveusher/kernel/time.h"
#include "endiveusher/platform/messages.h"
#include "endiveusher/platform/store.h"
#include "endiveusher/scheduler/target.h"
#include "event_log.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace endiveusher::node {

/// The targets that the registry lists. Malformed entries are logged and treated as unlisted.
class registry_view
{
public:
  struct callbacks
  {
    std::function<void(const scheduler::target_entry& aEntry)> mOnListed;
    std::function<void(const std::string& aId)> mOnUnlisted;
    /// Called after mOnListed for an entry that was read as the target wrote it, at or after
    /// aSince, not from a listing.
    std::function<void(const std::string& aId, time_point aSince)> mOnWritten =
      [](const std::string&, time_point) {};
    /// Called after mOnUnlisted if the registry has removed the entry.
    std::function<void(const std::string& aId)> mOnRemoved = [](const std::string&) {};
  };

  registry_view(event_log& aLog, const clock& aClock, callbacks aCallbacks);

  /// @param aSince time at or after which the records were stored
  void read(const std::vector<std::string>& aRecords, time_point aSince);
  /// Replaces all known targets by those of aRecords, the newest record of each key.
  void replace(const std::vector<platform::keyed_record>& aRecords);

  const std::map<std::string, scheduler::target_entry, std::less<>>& targets() const
  {
    return mTargets;
  }
  /// Returns, for each target, the largest capacity that its incarnation has stated since this
  /// daemon first read its entry: one that has shrunk may grow again.
  cell_capacity capacity() const;

private:
  /// Returns whether the record is a usable entry.
  bool readRecord(const platform::keyed_record& aRecord);
  void unlist(const std::string& aId);

  void logCapacity(const scheduler::target_entry& aEntry);
  void updateLargestCapacity(const scheduler::target_entry& aEntry);

  event_log& mLog;
  const clock& mClock;
  const callbacks mCallbacks;
  std::map<std::string, scheduler::target_entry, std::less<>> mTargets;
  /// Largest amount of each resource that a target's incarnation has stated.
  struct largest_capacity
  {
    std::int64_t mIncarnationStart = 0;
    resources mCapacity;
  };
  std::map<std::string, largest_capacity, std::less<>> mLargestCapacity;
  /// Capacity of each target that was logged last, and the time from which a change is logged.
  struct logged_capacity
  {
    resources mCapacity;
    time_point mNextLog{};
  };
  std::map<std::string, logged_capacity, std::less<>> mLoggedCapacity;
  /// Ids of malformed entries, each of which is logged once.
  std::set<std::string> mUnusable;
};

} // namespace endiveusher::node
