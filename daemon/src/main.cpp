#include "daemon_process.h"
#include "endiveusher/node/cell_node.h"
#include "endiveusher/platform/node_settings.h"
#include "kernel/src/placement_policy.h"
#include "logger.h"
#include "settings.h"
#include "signal_watch.h"

#include <absl/status/statusor.h>
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

#include <sys/resource.h>

namespace {

using namespace endiveusher;
using namespace endiveusher::daemon;

constexpr int kExitFailure = 1;
constexpr int kExitSettings = 2;

/// Stack of each thread. The threads need little, and the default of 8 MB each would count against
/// address space limits.
constexpr std::size_t kThreadStackBytes = 512U << 10U;
/// Time after the shutdown period at which the process is forced to exit. The core normally stops
/// by itself at the end of the period and reports what is pending.
constexpr auto kShutdownMargin = std::chrono::seconds(1);
/// Interval at which the platform's settings file is checked; it may change without a signal.
constexpr auto kSettingsPollInterval = std::chrono::seconds(2);
/// Time for the core to write the state dump before a forced exit.
constexpr auto kFinalDumpTimeout = std::chrono::milliseconds(500);

/// Limits of the half-life of past use. Use is stored every 10 s, so that a shorter half-life would
/// not outlast a change of owner. The upper limit rejects values in another unit.
constexpr std::chrono::seconds kMinHalfLife{ 10 };
constexpr std::chrono::seconds kMaxHalfLife{ 30 * 24 * 3600 };

void limitMemory()
{
  // With one arena per thread, each would retain its own freed memory.
  mallopt(M_ARENA_MAX, 2);
  mallopt(M_TRIM_THRESHOLD, 256 << 10);
  mallopt(M_MMAP_THRESHOLD, 256 << 10);
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kThreadStackBytes);
  pthread_setattr_default_np(&attributes);
  pthread_attr_destroy(&attributes);
}

/// Logs aReason, dumps the state and ends the process without waiting for threads that may hang.
[[noreturn]] void forceExit(daemon_process& aProcess, std::string_view aReason)
{
  logLine(log_level::error, "main", fmt::format("{}; {}", aReason, aProcess.describePending()));
  aProcess.dumpState();
  std::this_thread::sleep_for(kFinalDumpTimeout);
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
        logLine(log_level::info, "main",
                "SIGHUP ignored: the settings file is read only at startup");
        break;
      case wake_reason::terminate:
        if (deadline) {
          forceExit(**process, "second signal during the shutdown");
        }
        logLine(log_level::info, "main", "shuts down");
        deadline =
          std::chrono::steady_clock::now() + aSettings.mTiming.mShutdownPeriod + kShutdownMargin;
        (*process)->shutDown();
        break;
      case wake_reason::stopped:
        if (!complete) {
          logLine(log_level::error, "main",
                  "the shutdown was not complete at the end of its period; " +
                    (*process)->describePending());
          return kExitFailure;
        }
        return EXIT_SUCCESS;
      case wake_reason::deadline:
        forceExit(**process, "the core did not stop by the end of the shutdown period");
    }
  }
}

/// Returns the content of the file; absent if it cannot be read.
std::optional<std::string> readFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return file ? std::optional(text.str()) : std::nullopt;
}

/// Options of the command line for a cell on the prepared platform.
struct platform_options
{
  /// 0: past use is not counted.
  std::chrono::seconds mPastUseHalfLife{ 0 };
  bool mOrderByShare = false;
  bool mLearnRunTimes = false;
  bool mAvoidSlowTargets = false;
};

/// Returns the settings of the file's text with the options of the command line.
absl::StatusOr<platform::node_settings> readNodeSettings(const std::string& aText,
                                                         const platform_options& aOptions)
{
  auto settings = platform::parseSettings(aText);
  if (settings.ok()) {
    settings->mPastUseHalfLife = aOptions.mPastUseHalfLife;
    settings->mOrderByShare = aOptions.mOrderByShare;
    settings->mLearnRunTimes = aOptions.mLearnRunTimes;
    settings->mAvoidSlowTargets = aOptions.mAvoidSlowTargets;
  }
  return settings;
}

/// Has the system refuse descriptors beyond aCount. Load pattern: hundreds of connections at once,
/// which the HTTP library accepts faster than its other thread closes them.
void limitDescriptors(std::size_t aCount)
{
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && aCount > 0 && aCount < limit.rlim_cur) {
    limit.rlim_cur = aCount;
    if (::setrlimit(RLIMIT_NOFILE, &limit) != 0) {
      fmt::print(stderr, "the number of descriptors cannot be limited to {}\n", aCount);
    }
  }
}

/// Serves a cell on the prepared platform, whose settings file may change at any time.
int runOnPlatform(bool aCheckOnly, const platform_options& aOptions)
{
  limitMemory();
  const auto path = platform::settingsPath();
  auto text = readFile(path).value_or("");
  const auto settings = readNodeSettings(text, aOptions);
  if (!settings.ok()) {
    fmt::print(stderr, "{}: {}\n", path, std::string(settings.status().message()));
    return kExitSettings;
  }
  if (aCheckOnly) {
    fmt::print("{}: ok\n", path);
    return EXIT_SUCCESS;
  }
  limitDescriptors(settings->mMaxDescriptors);
  signal_watch signals;
  node::cell_node cell(*settings);
  cell.start([&signals] { signals.notifyStopped(); });
  for (;;) {
    const auto reason = signals.wait(std::chrono::steady_clock::now() + kSettingsPollInterval);
    if (reason == wake_reason::stopped) {
      return EXIT_SUCCESS;
    }
    if (reason == wake_reason::terminate) {
      cell.stop();
    } else if (reason == wake_reason::dump) {
      cell.dumpState();
    } else if (auto newText = readFile(path).value_or(""); newText != text) {
      text = std::move(newText);
      auto changed = readNodeSettings(text, aOptions);
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
  TCLAP::SwitchArg check("", "check", "Check the settings, print every error, and exit.", line);
  TCLAP::SwitchArg onPlatform(
    "", "platform", "Serve a cell on the prepared platform, configured by its settings file.",
    line);
  TCLAP::ValueArg<long> pastUseHalfLife(
    "", "past-use-half-life",
    "Order waiting steps by the teams' past use, which halves in this time (with --platform; 0: "
    "off).",
    false, 0, "seconds", line);
  TCLAP::SwitchArg shareOrder(
    "", "share-order", "Order waiting steps by the teams' present shares (with --platform).", line);
  TCLAP::SwitchArg learnRunTimes(
    "", "learn-run-times",
    "Order waiting steps by run times that are predicted from past runs (with --platform).", line);
  TCLAP::SwitchArg avoidSlowTargets(
    "", "avoid-slow-targets",
    "Start no tasks on targets whose runs take much longer than predicted (with --platform).",
    line);
  line.parse(aArgc, aArgv);

  const long halfLife = pastUseHalfLife.getValue();
  if (halfLife != 0 && (halfLife < kMinHalfLife.count() || halfLife > kMaxHalfLife.count())) {
    fmt::print(stderr, "--past-use-half-life {}: accepted: 0 (off), or {} to {} seconds\n",
               halfLife, kMinHalfLife.count(), kMaxHalfLife.count());
    return kExitSettings;
  }
  if (onPlatform.getValue()) {
    return runOnPlatform(check.getValue(), { .mPastUseHalfLife = std::chrono::seconds(halfLife),
                                             .mOrderByShare = shareOrder.getValue(),
                                             .mLearnRunTimes = learnRunTimes.getValue(),
                                             .mAvoidSlowTargets = avoidSlowTargets.getValue() });
  }
  if (halfLife != 0 || shareOrder.getValue() || learnRunTimes.getValue() ||
      avoidSlowTargets.getValue()) {
    fmt::print(stderr, "--past-use-half-life, --share-order, --learn-run-times and "
                       "--avoid-slow-targets require --platform\n");
    return kExitSettings;
  }
  if (!config.isSet()) {
    fmt::print(stderr, "one of --config and --platform is required\n");
    return kExitSettings;
  }

  const std::string& path = config.getValue();
  const auto text = readFile(path);
  if (!text) {
    fmt::print(stderr, "{}:0: cannot be read; accepted: a readable YAML file\n", path);
    return kExitSettings;
  }
  const auto result = readSettings(*text, endiveusher::internal::policyNames());
  for (const auto& error : result.mErrors) {
    fmt::print(check.getValue() ? stdout : stderr, "{}\n", describe(path, error));
  }
  if (!result.mErrors.empty()) {
    return kExitSettings;
  }
  if (check.getValue()) {
    fmt::print("{}: ok\n", path);
    return EXIT_SUCCESS;
  }
  setLogLevel(result.mSettings.mLogLevel);
  return run(result.mSettings);
}
