#pragma once

#include "bench_meter.h"
#include "endiveusher/kernel/daemon_core.h"
#include "endiveusher/standins/log_model.h"
#include "endiveusher/standins/target_model.h"
#include "endiveusher/standins/vm_list_model.h"
#include "soak/simulation.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace endiveusher::bench {

struct cell_options
{
  std::uint64_t mSeed = 1;
  std::size_t mDaemons = 3;
  std::size_t mZones = 3;
  std::size_t mTargets = 24;
  std::size_t mTeams = 6;
  resources mCapacity{ .mSlots = 64, .mCpuMilli = 64'000, .mMemoryMb = 128'000 };
  timing_options mTiming;
  std::string mPolicy = "best_fit";
  /// Time between ticks; at most 50 ms, which the daemon requires.
  duration mTickInterval = std::chrono::milliseconds(20);
  /// Delay of one message between two zones; within a zone it is half of this.
  duration mZoneDelay = std::chrono::microseconds(1500);
};

/// Start of one attempt on a target.
struct observed_start
{
  time_point mAt{};
  task_attempt mTask;
  std::size_t mTarget = 0;
};

/// Runs daemons on models of targets, log and VM list in simulated time, without faults other than
/// those that the caller injects. Times every event and tick, and counts every message.
///
/// Usage: `bench_cell cell(options); cell.settle(); cell.measured().clear(); cell.run(20s);`
class bench_cell
{
public:
  using answer_handler = std::function<void(const answer&)>;

  explicit bench_cell(cell_options aOptions);
  ~bench_cell();
  bench_cell(const bench_cell&) = delete;
  bench_cell& operator=(const bench_cell&) = delete;

  /// Starts all daemons, publishes the teams and waits until every target has an owner.
  void settle();
  /// Sets the time between ticks, at most 50 ms. A longer interval speeds up the simulation of a
  /// large cell.
  void setTickInterval(duration aInterval) { mOptions.mTickInterval = aInterval; }
  void run(duration aLength) { mSim.runUntil(mSim.now() + aLength); }

  void call(std::size_t aDaemon, endiveusher::call aCall, answer_handler aDone);
  /// Requests a ticket and submits the job with it.
  void submit(std::size_t aDaemon, job_spec aJob, const answer_handler& aDone = {});
  /// Publishes a new share of a team through a daemon.
  void changeShare(std::size_t aDaemon, std::size_t aTeam, double aShare, answer_handler aDone);

  /// Kills the process of a daemon; events in flight to it are lost.
  void killDaemon(std::size_t aDaemon);
  /// Starts a new incarnation.
  void startDaemon(std::size_t aDaemon);
  /// Makes a target unreachable, or lets it return without tasks.
  void setTargetGone(std::size_t aTarget, bool aGone);

  /// Returns the heap bytes of each daemon's state, measured by destroying it. Ends all daemons.
  std::vector<std::uint64_t> endAndMeasureMemory();

  meter& measured() { return mMeter; }
  standins::simulation& sim() { return mSim; }
  standins::log_service_model& log() { return mLog; }
  const cell_options& options() const { return mOptions; }
  std::size_t zoneOfDaemon(std::size_t aDaemon) const { return aDaemon % mOptions.mZones; }
  std::size_t zoneOfTarget(std::size_t aTarget) const { return aTarget % mOptions.mZones; }
  /// Returns the number of targets with an owner.
  std::size_t ownedTargets() const;
  std::size_t runningTasks() const;
  /// Returns the starts since the last call.
  std::vector<observed_start> takeStarts() { return std::exchange(mStarts, {}); }
  static std::string teamName(std::size_t aTeam) { return "team" + std::to_string(aTeam); }

private:
  struct daemon_entry;
  struct target_entry;

  void deliver(std::size_t aDaemon, std::uint64_t aGeneration, const event& aEvent);
  void tick(std::size_t aDaemon, std::uint64_t aGeneration);
  void performEffects(std::size_t aDaemon);
  duration delay(std::size_t aZone, std::size_t aOther) const;
  void callPlatform(std::size_t aDaemon, std::function<event()> aOperation);

  void perform(std::size_t aDaemon, answer_effect& aEffect);
  void perform(std::size_t aDaemon, send_effect& aEffect);
  void perform(std::size_t aDaemon, exchange_effect& aEffect);
  void perform(std::size_t aDaemon, append_control_effect& aEffect);
  void perform(std::size_t aDaemon, append_jobs_effect& aEffect);
  void perform(std::size_t aDaemon, read_effect& aEffect);
  void perform(std::size_t aDaemon, read_vm_list_effect& aEffect);
  void perform(std::size_t aDaemon, stopped_effect& aEffect);
  void perform(std::size_t aDaemon, rejoin_effect& aEffect);
  void perform(std::size_t aDaemon, log_effect& aEffect);
  template<typename Record>
  void append(std::size_t aDaemon, std::uint64_t aAppendId, std::vector<Record>& aRecords,
              standins::log_stream_model<Record>& aStream);
  template<typename Event, typename Page, typename Record>
  void read(std::size_t aDaemon, const read_effect& aEffect,
            standins::log_stream_model<Record>& aStream);

  cell_options mOptions;
  standins::simulation mSim;
  standins::log_service_model mLog;
  standins::log_stream_model<control_record> mControl;
  standins::log_stream_model<job_record> mJobs;
  standins::vm_list_model mVms;
  std::vector<daemon_entry> mDaemons;
  std::vector<target_entry> mTargets;
  std::unordered_map<std::string, std::size_t> mDaemonAt;
  std::unordered_map<std::string, std::size_t> mTargetAt;
  std::unordered_map<std::uint64_t, answer_handler> mOpenCalls;
  std::uint64_t mNextCall = 1;
  std::uint64_t mNextOperation = 1;
  meter mMeter;
  std::vector<observed_start> mStarts;
};

} // namespace endiveusher::bench
