#pragma once

#include "endiveusher/kernel/messages/call.h"
#include "endiveusher/kernel/time.h"
#include "soak/soak_options.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace endiveusher::standins {

class soak_cell;

/// Injects the faults of a soak run at random times and heals them.
class soak_faults
{
public:
  explicit soak_faults(soak_cell& aCell) : mCell(&aCell) {}
  void begin();

private:
  void next(fault aFault);
  void inject(fault aFault);
  /// Runs aHeal after aTime; until then a fault counts as active.
  void healAfter(duration aTime, std::function<void()> aHeal);
  void killRandomDaemon();
  void pauseRandomDaemon();
  void shutDownRandomDaemon();
  void partitionZone(bool aFromZones, bool aFromPlatform);
  void makeConnectionsUnresponsive();
  void changeLimits();
  void publish(const std::vector<config_change>& aChanges, std::optional<log_offset> aExpected,
               const std::string& aOperation, std::uint32_t aTry);

  soak_cell* mCell;
  std::uint64_t mNextOperation = 1;
};

} // namespace endiveusher::standins
