#include "endiveusher/platform/node_settings.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace endiveusher;
using namespace endiveusher::platform;

/// Numbers of the settings file that are out of range.
TEST_GROUP(platform_setting_ranges){};

// Guards against settings that silently become another number.
TEST(platform_setting_ranges, errorsNameTheSettingThatIsOutOfRange)
{
  const std::string good = "node=n\nzone=z\nip=10.0.0.1\nlisten.front=10.0.0.1:1\n"
                           "listen.readiness=10.0.0.1:2\nplatform.addr=10.0.0.2:3\n";
  CHECK(parseSettings(good + "port_range=7420,7435\n").ok());
  for (const char* port : { "0", "65536", "72956", "-1", "99999999999", "x" }) {
    CHECK_TEXT(!parseSettings(good + "port_range=" + port + "\n").ok(), port);
  }
  for (const char* name :
       { "bounds.hold_max_ms", "bounds.revoke_ms", "bounds.grace_s", "bounds.status_s",
         "platform.keep_s", "heartbeat_ms", "limits.cpu_share", "limits.cores", "limits.max_fds",
         "limits.memory_mb" }) {
    for (const char* number : { "-1", "1e300", "-1e300", "1e400", "nan", "inf" }) {
      const auto settings =
        parseSettings(good + "port_range=7420,7435\n" + name + "=" + number + "\n");
      CHECK_TEXT(!settings.ok() &&
                   std::string(settings.status().message()).find(name) != std::string::npos,
                 name);
    }
  }
}
