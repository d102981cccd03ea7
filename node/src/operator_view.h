#pragma once

#include "endiveusher/platform/messages.h"
#include "endiveusher/platform/store.h"
#include "endiveusher/scheduler/cell_config.h"
#include "event_log.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace endiveusher::node {

/// What the operator has written: the newest configuration, and the zones that are closed.
class operator_view
{
public:
  explicit operator_view(event_log& aLog) : mLog(aLog) {}

  void read(const std::vector<std::string>& aRecords);
  /// The newest record of each key replaces what was known.
  void replace(const std::vector<platform::keyed_record>& aRecords);

  /// Null before the first configuration. Versions never go back.
  const std::shared_ptr<const scheduler::cell_config>& config() const { return mConfig; }
  const std::set<std::string>& closedZones() const { return mClosedZones; }

private:
  void readRecord(const platform::keyed_record& aRecord);
  void readConfig(const std::string& aBody);

  event_log& mLog;
  std::shared_ptr<const scheduler::cell_config> mConfig;
  std::set<std::string> mClosedZones;
};

} // namespace endiveusher::node
