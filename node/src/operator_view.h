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

/// State written by the operator: the newest configuration and the closed zones.
class operator_view
{
public:
  explicit operator_view(event_log& aLog) : mLog(aLog) {}

  void read(const std::vector<std::string>& aRecords);
  /// Applies aRecords, the newest record of each key; zones without a record are open.
  void replace(const std::vector<platform::keyed_record>& aRecords);

  /// Newest configuration by version; null before the first one has been read.
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
