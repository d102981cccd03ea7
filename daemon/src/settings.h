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

/// Bounds on what the daemon keeps in memory.
struct memory_bounds
{
  /// Unfinished jobs.
  std::size_t mJobs = 200'000;
  /// Entries of each ring towards the core.
  std::size_t mRingEvents = 1024;
  /// Largest body of a caller's request, kB.
  std::size_t mRequestKb = 256;
  /// Calls that wait for their answer.
  std::size_t mOpenCalls = 20'000;
  /// Messages waiting for one peer.
  std::size_t mPeerMessages = 512;
};

/// All settings of a daemon.
struct settings
{
  std::string mVm;
  zone_name mZone;
  /// `ip:port`; port 0 takes a free one.
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

/// One fault of a settings file.
struct settings_fault
{
  /// Counts from 1; zero if the fault belongs to no line.
  int mLine = 0;
  /// Path of the key, for example `timing.task_lease_ms`; empty for the whole file.
  std::string mKey;
  std::string mFault;
  /// What would be accepted.
  std::string mAccepted;
};

struct settings_result
{
  settings mSettings;
  /// In the order of the file; mSettings is usable only if there are none.
  std::vector<settings_fault> mFaults;
};

/// Reads and checks the whole text of a settings file.
///
/// Usage:
///   auto result = readSettings(text, policies);
///   for (auto& fault : result.mFaults) { puts(describe("a.yaml", fault).c_str()); }
settings_result readSettings(std::string_view aText, std::span<const std::string> aPolicies);

/// `<file>:<line>: <key>: <fault>; accepted: <what>`
std::string describe(std::string_view aFile, const settings_fault& aFault);

} // namespace endiveusher::daemon
