#pragma once

#include "endiveusher/kernel/events.h"
#include "endiveusher/kernel/ids.h"
#include "endiveusher/kernel/timing.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::daemon {

/// Upper bounds on what the daemon keeps in memory.
struct memory_bounds
{
  /// Unfinished jobs.
  std::size_t mJobs = 200'000;
  /// Entries of each input ring of the core.
  std::size_t mRingEvents = 1024;
  /// Largest body of a caller's request, kB.
  std::size_t mRequestKb = 256;
  /// Calls without an answer.
  std::size_t mOpenCalls = 20'000;
  /// Messages queued for one peer.
  std::size_t mPeerMessages = 512;
};

/// All settings of a daemon.
struct settings
{
  std::string mVm;
  zone_name mZone;
  /// `ip:port`; port 0 selects a free port.
  std::string mHttpAddress;
  std::string mPeerAddress;
  /// `http://ip:port`
  std::string mLogUrl;
  std::string mVmListUrl;
  std::vector<std::string> mSeeds;
  std::vector<std::string> mOperatorKeyDigests;
  std::string mPolicy = "best_fit";
  log_level mLogLevel = log_level::info;
  timing_options mTiming;
  memory_bounds mMemory;
};

/// One error in a settings file.
struct settings_error
{
  /// Line number from 1; 0 if the error belongs to no line.
  int mLine = 0;
  /// Path of the key, for example `timing.task_lease_ms`; empty for the whole file.
  std::string mKey;
  /// What is wrong, as the predicate of a sentence about the key.
  std::string mProblem;
  /// Description of the accepted values.
  std::string mAccepted;
};

struct settings_result
{
  settings mSettings;
  /// In the order of their lines; mSettings is usable only if there are none.
  std::vector<settings_error> mErrors;
};

/// Reads and checks the whole text of a settings file.
///
/// Usage:
///   auto result = readSettings(text, policies);
///   for (auto& error : result.mErrors) { puts(describe("a.yaml", error).c_str()); }
settings_result readSettings(std::string_view aText, std::span<const std::string> aPolicies);

/// Returns `<file>:<line>: <key> <problem>; accepted: <accepted values>`.
std::string describe(std::string_view aFile, const settings_error& aError);

} // namespace endiveusher::daemon
