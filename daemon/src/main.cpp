#include "daemon_process.h"
#include "endiveusher/node/cell_node.h"
#include "endiveusher/platform/node_settings.h"
#include "kernel/src/placement_policy.h"
#include "logger.h"
#include "settings.h"
#include "signal_watch.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <malloc.h>
#include <optional>
#include <pthread.h>
#include <sstream>
#include <string>
#include <tclap/CmdLine.h>
#include <thread>

namespace {

using namespace endiveusher;
using namespace endiveusher::daemon;

constexpr int kExitFailure = 1;
constexpr int kExitSettings = 2;

/// The threads need little stack; the default of 8 MB each counts against address space limits.
constexpr std::size_t kThreadStack = 512U << 10U;
/// By how much the shutdown may outlast its period before the process ends by force. The core ends
/// by itself at the period, and names what is left.
constexpr auto kShutdownMargin = std::chrono::seconds(1);
/// How often the platform's settings file is looked at; it may change without a signal.
constexpr auto kSettingsInterval = std::chrono::seconds(2);
/// How long the state dump of an unfinished shutdown may take.
constexpr auto kLastDumpPeriod = std::chrono::milliseconds(500);

void limitMemory()
{
  // One arena per thread would keep freed memory of each.
  mallopt(M_ARENA_MAX, 2);
  mallopt(M_TRIM_THRESHOLD, 256 << 10);
  mallopt(M_MMAP_THRESHOLD, 256 << 10);
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kThreadStack);
  pthread_setattr_default_np(&attributes);
  pthread_attr_destroy(&attributes);
}

/// Ends the process without waiting for threads that may hang.
[[noreturn]] void abandon(daemon_process& aProcess, std::string_view aReason)
{
  logLine(log_level::error, "main", fmt::format("{}; {}", aReason, aProcess.unfinished()));
  aProcess.dumpState();
  std::this_thread::sleep_for(kLastDumpPeriod);
  std::_Exit(kExitFailure);
}

int run(const settings& aSettings)
{
  limitMemory();
  signal_watch signals;
  std::atomic<bool> complete{ false };
  const auto process = daemon_process::start(aSettings, [&signals, &complete](bool aComplete) {
    complete = aComplete;
    signals.notifyStopped();
  });
  if (!process.ok()) {
    logLine(log_level::error, "main", std::string(process.status().message()));
    return kExitFailure;
  }
  std::optional<std::chrono::steady_clock::time_point> deadline;
  for (;;) {
    switch (signals.wait(deadline)) {
      case wake_reason::dump:
        (*process)->dumpState();
        break;
      case wake_reason::reload:
        logLine(log_level::info, "main", "settings of this kind are read at the start only");
        break;
      case wake_reason::terminate:
        if (deadline) {
          abandon(**process, "second signal during the shutdown");
        }
        logLine(log_level::info, "main", "shuts down");
        deadline =
          std::chrono::steady_clock::now() + aSettings.mTiming.mShutdownPeriod + kShutdownMargin;
        (*process)->shutDown();
        break;
      case wake_reason::stopped:
        if (!complete) {
          logLine(log_level::error, "main",
                  "the shutdown period has ended; " + (*process)->unfinished());
          return kExitFailure;
        }
        return EXIT_SUCCESS;
      case wake_reason::deadline:
        abandon(**process, "the core does not stop");
    }
  }
}

/// Absent if the file cannot be read.
std::optional<std::string> readFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return file ? std::optional(text.str()) : std::nullopt;
}

/// Serves a cell on the prepared platform, whose settings file may change at any time.
int runOnPlatform(bool aCheckOnly)
{
  limitMemory();
  const auto path = platform::settingsPath();
  auto text = readFile(path).value_or("");
  const auto settings = platform::parseSettings(text);
  if (!settings.ok()) {
    fmt::print(stderr, "{}: {}\n", path, std::string(settings.status().message()));
    return kExitSettings;
  }
  if (aCheckOnly) {
    fmt::print("{}: ok\n", path);
    return EXIT_SUCCESS;
  }
  signal_watch signals;
  node::cell_node cell(*settings);
  cell.start([&signals] { signals.notifyStopped(); });
  for (;;) {
    const auto reason = signals.wait(std::chrono::steady_clock::now() + kSettingsInterval);
    if (reason == wake_reason::stopped) {
      return EXIT_SUCCESS;
    }
    if (reason == wake_reason::terminate) {
      cell.stop();
    } else if (reason == wake_reason::dump) {
      cell.dumpState();
    } else if (auto newText = readFile(path).value_or(""); newText != text) {
      text = std::move(newText);
      auto changed = platform::parseSettings(text);
      if (changed.ok()) {
        cell.reload(*std::move(changed));
      } else {
        fmt::print(stderr, "{}: {}\n", path, std::string(changed.status().message()));
      }
    }
  }
}

} // namespace

int main(int aArgc, char** aArgv)
{
  TCLAP::CmdLine line("The scheduler daemon of an entry VM.", ' ', ENDIVEUSHER_VERSION);
  TCLAP::ValueArg<std::string> config("c", "config", "Settings file (YAML).", false, "", "file",
                                      line);
  TCLAP::SwitchArg check("", "check", "Check the settings, print every fault, and exit.", line);
  TCLAP::SwitchArg onPlatform("", "platform",
                              "Serve a cell on the prepared platform, by its settings file.", line);
  line.parse(aArgc, aArgv);

  if (onPlatform.getValue()) {
    return runOnPlatform(check.getValue());
  }
  if (!config.isSet()) {
    fmt::print(stderr, "one of --config and --platform is needed\n");
    return kExitSettings;
  }

  const std::string& path = config.getValue();
  const auto text = readFile(path);
  if (!text) {
    fmt::print(stderr, "{}:0: cannot be read; accepted: a readable YAML file\n", path);
    return kExitSettings;
  }
  const auto result = readSettings(*text, endiveusher::internal::policyNames());
  for (const auto& fault : result.mFaults) {
    fmt::print(check.getValue() ? stdout : stderr, "{}\n", describe(path, fault));
  }
  if (!result.mFaults.empty()) {
    return kExitSettings;
  }
  if (check.getValue()) {
    fmt::print("{}: ok\n", path);
    return EXIT_SUCCESS;
  }
  setLogLevel(result.mSettings.mLogLevel);
  return run(result.mSettings);
}
