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

/// Kinds of disturbance that a soak run draws at random times.
enum class fault
{
  kill,           ///< A daemon dies; a new incarnation or a new VM replaces it.
  pause,          ///< A daemon stops for a while; its events and some of its output wait.
  stop,           ///< A daemon is asked to shut down and is replaced.
  network,        ///< Loss, duplication, reordering and long delays everywhere.
  zone_cut,       ///< A zone is cut off from the others, sometimes from the platform as well.
  platform_cut,   ///< A zone is cut off from the log and the VM list.
  silent,         ///< Open connections deliver nothing until they are replaced.
  log_down,       ///< The log refuses everything.
  log_lost,       ///< Answers of the log are lost after the operation took effect.
  log_slow,       ///< The log takes up to 900 ms more.
  target_fail,    ///< A target fails every start, or every task.
  target_restart, ///< A target comes back with empty memory.
  target_gone,    ///< A target dies and is replaced by a new VM.
  target_size,    ///< Tasks use more than declared.
  leaving,        ///< A target is announced as leaving, and later replaced.
  zone_out,       ///< Operators take a zone out and in.
  limits,         ///< Operators lower and raise limits, two of them at once.
  keys,           ///< Operators withdraw and grant keys.
};
inline constexpr std::size_t kFaultCount = 18;
std::string_view faultName(fault aFault);
std::optional<fault> parseFault(std::string_view aName);

/// A daemon_core with any guard policy.
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
  /// Time with load and faults; a calm period follows in which the work has to end.
  duration mLength = std::chrono::seconds(60);
  duration mCalm = std::chrono::seconds(90);
  std::size_t mDaemons = 6;
  std::size_t mZones = 3;
  std::size_t mTargetsPerZone = 3;
  double mJobsPerSecond = 5.0;
  std::set<fault> mFaults;
  /// Targets accept what the scheduler itself must not order.
  target_refusals mRefuses{ .mStale = true, .mFull = false, .mLeaving = false };
  timing_options mTiming;
  std::size_t mTraceLines = 200;
};

struct violation
{
  /// `M1` to `M11`.
  std::string mInvariant;
  std::string mText;
  duration mAt{ 0 };
};

struct soak_result
{
  std::map<std::string, std::uint64_t> mCounts;
  std::vector<violation> mViolations;
  /// Last lines of the trace up to the first violation, or to the end.
  std::vector<std::string> mTrace;
  /// Digest of the whole trace; equal for equal options.
  std::uint64_t mTraceDigest = 0;
};

} // namespace endiveusher::standins
