#pragma once

#include "endiveusher/kernel/daemon_core.h"
#include "endiveusher/standins/target_model.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::standins {

/// Kinds of fault that a soak run injects at random times.
enum class fault
{
  kill,           ///< A daemon is killed; a new incarnation on the same or a new VM replaces it.
  pause,          ///< A daemon is paused; its events and part of its output are deferred.
  stop,           ///< A daemon is asked to shut down and is replaced.
  network,        ///< Messages are lost, duplicated, reordered and delayed everywhere.
  zone_cut,       ///< A zone is partitioned from the others, sometimes also from the platform.
  platform_cut,   ///< A zone is partitioned from the log and the VM list.
  silent,         ///< Open connections drop all messages until they are replaced.
  log_down,       ///< The log rejects all operations.
  log_lost,       ///< Replies of the log are lost after the operation took effect.
  log_slow,       ///< The log replies up to 900 ms later.
  target_fail,    ///< A target fails every start, or every task.
  target_restart, ///< A target restarts and loses its tasks.
  target_gone,    ///< A target fails and is replaced by a new VM.
  target_size,    ///< Tasks use more than their declared size.
  leaving,        ///< A target is announced as leaving and is replaced later.
  zone_out,       ///< Operators take a zone out and in.
  limits,         ///< Operators change limits, sometimes two of them concurrently.
  keys,           ///< Operators withdraw keys and grant them again.
};
inline constexpr std::size_t kFaultCount = 18;
std::string_view faultName(fault aFault);
std::optional<fault> parseFault(std::string_view aName);

/// Interface of a daemon_core, independent of its guard policy.
class soak_core
{
public:
  virtual ~soak_core() = default;
  virtual void handle(const event& aEvent, time_point aNow) = 0;
  virtual void tick(time_point aNow) = 0;
  virtual std::vector<effect> takeEffects() = 0;
  virtual const control_state& control() const = 0;
};
using core_factory = std::function<std::unique_ptr<soak_core>(daemon_options)>;

/// Usage: `soak_cell cell(options, coreFactory<all_guards>());`
template<guard_policy Guards>
core_factory coreFactory()
{
  class adapter : public soak_core
  {
  public:
    explicit adapter(daemon_options aOptions) : mCore(std::move(aOptions)) {}
    void handle(const event& aEvent, time_point aNow) override { mCore.handle(aEvent, aNow); }
    void tick(time_point aNow) override { mCore.tick(aNow); }
    std::vector<effect> takeEffects() override { return mCore.takeEffects(); }
    const control_state& control() const override { return mCore.control(); }

  private:
    basic_daemon_core<Guards> mCore;
  };
  return [](daemon_options aOptions) { return std::make_unique<adapter>(std::move(aOptions)); };
}

struct soak_options
{
  std::uint64_t mSeed = 1;
  /// Time with load and faults.
  duration mLength = std::chrono::seconds(60);
  /// Time without new load and faults at the end of the run, in which all work has to end.
  duration mRecoveryPeriod = std::chrono::seconds(90);
  std::size_t mDaemons = 6;
  std::size_t mZones = 3;
  std::size_t mTargetsPerZone = 3;
  double mJobsPerSecond = 5.0;
  std::set<fault> mFaults;
  /// By default targets accept orders beyond their capacity and starts while leaving, which the
  /// scheduler itself must not send.
  target_refusals mRefuses{ .mStale = true, .mFull = false, .mLeaving = false };
  timing_options mTiming;
  std::size_t mTraceLines = 200;
};

struct violation
{
  /// Name of the invariant, `M1` to `M11`.
  std::string mInvariant;
  std::string mText;
  duration mAt{ 0 };
};

struct soak_result
{
  std::map<std::string, std::uint64_t> mCounts;
  std::vector<violation> mViolations;
  /// Last lines of the trace before the first violation, or before the end of the run.
  std::vector<std::string> mTrace;
  /// Digest of the whole trace; equal options give equal digests.
  std::uint64_t mTraceDigest = 0;
};

} // namespace endiveusher::standins
