#pragma once

#include "endiveusher/kernel/messages/platform.h"
#include "endiveusher/kernel/time.h"

#include <deque>
#include <optional>
#include <string>
#include <utility>

namespace endiveusher::standins {

/// Model of the platform's VM list. Reads return the state as it was mLag ago.
///
/// Usage: `vms.set({ .mName = "t1", .mZone = "z1" }, now); auto list = vms.list(now);`
class vm_list_model
{
public:
  /// aInitial is visible at once, without lag.
  explicit vm_list_model(duration aLag, vm_list aInitial = {});

  /// Adds a VM or replaces the entry of the same name.
  void set(const vm_entry& aVm, time_point aNow);
  void setLeaving(const std::string& aName, bool aLeaving, time_point aNow);
  void remove(const std::string& aName, time_point aNow);
  void setDown(bool aDown) { mDown = aDown; }

  /// Returns the list as of aNow - mLag; absent while the service is down.
  std::optional<vm_list> list(time_point aNow);
  /// Returns the newest state, without lag.
  const vm_list& current() const { return mHistory.back().second; }

private:
  /// Appends a copy of the newest state to the history and returns it for modification.
  vm_list& appendCopy(time_point aNow);

  duration mLag;
  bool mDown = false;
  std::deque<std::pair<time_point, vm_list>> mHistory;
};

} // namespace endiveusher::standins
