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

/// Draws the faults of a soak run at random times and heals them.
class soak_faults
{
public:
  explicit soak_faults(soak_cell& aCell) : mCell(&aCell) {}
  void begin();

private:
  void next(fault aFault);
  void inject(fault aFault);
  /// Counts as a disturbance until aHeal has run, after aTime at the latest.
  void during(duration aTime, std::function<void()> aHeal);
  void killOne();
  void pauseOne();
  void stopOne();
  void cutZone(bool aFromZones, bool aFromPlatform);
  void silenceSome();
  void changeLimits();
  void publish(const std::vector<config_change>& aChanges, std::optional<log_offset> aExpected,
               const std::string& aOperation, std::uint32_t aTry);

  soak_cell* mCell;
  std::uint64_t mNextOperation = 1;
};

} // namespace endiveusher::standins
