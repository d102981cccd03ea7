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

/// What a target says of itself in the registry.
struct target_entry
{
  std::string mId;
  /// `ip:port`.
  std::string mAddress;
  std::string mPool;
  std::string mZone;
  std::string mRack;
  std::vector<std::string> mLabels;
  resources mCapacity;
  bool mDraining = false;
  /// Start of this incarnation, Unix milliseconds.
  std::int64_t mBorn = 0;

  bool hasLabel(std::string_view aLabel) const
  {
    return std::ranges::find(mLabels, aLabel) != mLabels.end();
  }
};

/// How a listed run ended, in the target's words.
enum class listed_end : std::uint8_t
{
  done,
  failed,
  stopped,
  lapsed,
  /// Another member of the gang ended.
  broken,
  /// The other members of the gang did not come in time.
  alone,
};

struct listed_run
{
  task_key mTask;
  std::uint32_t mRun = 0;
  std::string mCheckpoint;
};

struct ended_run
{
  /// Counts the ends of one incarnation, from 1.
  std::uint64_t mNumber = 0;
  task_key mTask;
  std::uint32_t mRun = 0;
  listed_end mHow = listed_end::done;
  std::string mCheckpoint;
};

/// Answer of a target to a look.
struct target_report
{
  /// The target's own clock.
  target_time mClock{ 0 };
  std::int64_t mBorn = 0;
  std::vector<listed_run> mRunning;
  std::vector<ended_run> mEnded;
};

/// Most ends that a target lists in one answer.
inline constexpr std::size_t kMaxListedEnds = 500;

} // namespace endiveusher::scheduler
