#include "operator_view.h"

#include <fmt/format.h>

#include <utility>

namespace endiveusher::node {

void operator_view::read(const std::vector<std::string>& aRecords)
{
  for (const auto& bytes : aRecords) {
    if (const auto record = platform::decodeKeyed(bytes)) {
      readRecord(*record);
    } else {
      mLog.write("bad_record", "topic=operator error=\"no key\"");
    }
  }
}

void operator_view::replace(const std::vector<platform::keyed_record>& aRecords)
{
  mClosedZones.clear();
  for (const auto& record : aRecords) {
    readRecord(record);
  }
}

void operator_view::readRecord(const platform::keyed_record& aRecord)
{
  if (aRecord.mKey == platform::kConfigKey && aRecord.mValue) {
    readConfig(*aRecord.mValue);
  } else if (aRecord.mKey.starts_with(platform::kEvacuationPrefix)) {
    const auto zone = aRecord.mKey.substr(platform::kEvacuationPrefix.size());
    const bool closed = aRecord.mValue.has_value();
    if (closed ? mClosedZones.insert(zone).second : mClosedZones.erase(zone) > 0) {
      mLog.write(closed ? "zone_closed" : "zone_opened", fmt::format("zone={}", zone));
    }
  }
}

void operator_view::readConfig(const std::string& aBody)
{
  auto decoded = platform::decodeConfig(aBody);
  if (!decoded.ok()) {
    mLog.write("bad_config", fmt::format("error=\"{}\"", std::string(decoded.status().message())));
    return;
  }
  if (mConfig && decoded->mVersion <= mConfig->mVersion) {
    return;
  }
  mLog.write("config", fmt::format("version={} routes={} teams={}", decoded->mVersion,
                                   decoded->mRoutes.size(), decoded->mTeams.size()));
  mConfig = std::make_shared<const scheduler::cell_config>(*std::move(decoded));
}

} // namespace endiveusher::node
