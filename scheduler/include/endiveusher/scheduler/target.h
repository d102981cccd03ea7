#pragma once

#include "endiveusher/kernel/resources.h"
#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/job.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::scheduler {

/// A target's own entry in the registry.
struct target_entry
{
  std::string mId;
  /// `ip:port`.
  std::string mAddress;
  std::string mPool;
  std::string mZone;
  std::string mRack;
  /// The VM, which hosts one target at a time; empty if it is unknown.
  std::string mVm;
  std::vector<std::string> mLabels;
  resources mCapacity;
  bool mDraining = false;
  /// Start of the target's incarnation, Unix milliseconds; 0 if it is unknown.
  std::int64_t mIncarnationStart = 0;

  bool hasLabel(std::string_view aLabel) const
  {
    return std::ranges::find(mLabels, aLabel) != mLabels.end();
  }
};

/// How a run ended, as reported by its target.
enum class reported_end : std::uint8_t
{
  done,
  failed,
  stopped,
  /// The lease expired.
  lease_expired,
  /// Stopped because another member of the gang ended.
  gang_broken,
  /// Stopped because the other members of the gang did not start in time.
  gang_incomplete,
};

struct reported_run
{
  task_key mTask;
  std::uint32_t mRun = 0;
  std::string mCheckpoint;
};

struct ended_run
{
  /// Sequence number of the end within the target's incarnation, from 1.
  std::uint64_t mNumber = 0;
  task_key mTask;
  std::uint32_t mRun = 0;
  reported_end mOutcome = reported_end::done;
  std::string mCheckpoint;
};

/// A target's reply to a heartbeat.
struct target_report
{
  /// Reading of the target's clock.
  target_time mClock{ 0 };
  std::int64_t mIncarnationStart = 0;
  std::vector<reported_run> mRunning;
  std::vector<ended_run> mEnded;
};

/// Maximum number of ends that a target reports in one reply.
inline constexpr std::size_t kMaxReportedEnds = 500;

} // namespace endiveusher::scheduler
