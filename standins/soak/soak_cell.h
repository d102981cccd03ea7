#pragma once

#include "endiveusher/standins/log_model.h"
#include "endiveusher/standins/vm_list_model.h"
#include "soak/network_model.h"
#include "soak/simulation.h"
#include "soak/soak_checker.h"
#include "soak/soak_options.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace endiveusher::standins {

/// One entry VM of a soak run and the daemon on it.
struct soak_daemon
{
  std::string mVm;
  zone_name mZone;
  std::string mAddress;
  /// Absent while the process is down.
  std::unique_ptr<soak_core> mCore;
  incarnation_id mIncarnation;
  /// Counts processes; what was meant for an earlier one is dropped.
  std::uint64_t mGeneration = 0;
  /// The process's clock: start value and rate.
  duration mClockStart{ 0 };
  double mClockRate = 1.0;
  bool mPaused = false;
  /// Events that wait for the end of the pause.
  std::vector<std::function<void()>> mHeld;
  /// Output computed before the pause and sent after it.
  std::vector<effect> mHeldOutput;
  std::optional<time_point> mShutdownAt;
  /// Since when it runs and reaches the log; absent if it does not.
  std::optional<time_point> mConnectedSince;
  /// Calls without answer, by call id.
  std::set<std::uint64_t> mOpenCalls;
};

struct soak_target
{
  std::unique_ptr<target_model> mModel;
  zone_name mZone;
  std::string mAddress;
  bool mGone = false;
};

/// Daemons, targets, platform and network of one run, in simulated time.
///
/// Usage: `auto result = soak_cell(options, coreFactory<all_guards>()).run();`
class soak_cell
{
public:
  soak_cell(soak_options aOptions, core_factory aFactory);
  ~soak_cell();

  soak_result run();

  // The rest is for soak_workload and soak_faults.
  static std::string digestOf(const std::string& aKey);
  static constexpr const char* kOperatorKey = "operator";

  const soak_options& options() const { return mOptions; }
  simulation& sim() { return mSim; }
  network_model& network() { return mNetwork; }
  log_service_model& log() { return mLog; }
  vm_list_model& vms() { return mVms; }
  soak_checker& checker() { return mChecker; }
  std::vector<soak_daemon>& daemons() { return mDaemons; }
  std::vector<soak_target>& targets() { return mTargets; }
  const std::vector<zone_name>& zones() const { return mZones; }
  bool ending() const { return mSim.elapsed() >= mOptions.mLength; }
  void count(const std::string& aName) { ++mCounts[aName]; }

  /// Calls a daemon; aDone gets the answer, or nothing if the connection broke or timed out.
  void callDaemon(std::size_t aDaemon, call aCall, duration aTimeout,
                  std::function<void(const std::optional<answer>&)> aDone);

  void startDaemon(std::size_t aDaemon);
  void killDaemon(std::size_t aDaemon);
  void pauseDaemon(std::size_t aDaemon, bool aHoldOutput);
  void resumeDaemon(std::size_t aDaemon);
  void shutDown(std::size_t aDaemon);
  /// The entry VM is replaced by one of another name and address.
  void replaceVm(std::size_t aDaemon);
  /// The target VM dies; a new VM with a new name takes its place.
  void replaceTarget(std::size_t aTarget);
  /// Tells the checker that daemons or connections are disturbed, or not any more.
  void disturb(int aChange);

private:
  struct open_call
  {
    call mCall;
    std::uint32_t mAnswers = 0;
    time_point mAt{};
    std::size_t mDaemon = 0;
    std::uint64_t mGeneration = 0;
    std::function<void(const std::optional<answer>&)> mDone;
  };
  time_point localTime(const soak_daemon& aDaemon) const;
  void deliver(std::size_t aDaemon, std::uint64_t aGeneration, const event& aEvent);
  void drain(std::size_t aDaemon);
  void tick(std::size_t aDaemon, std::uint64_t aGeneration);
  void observe();

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
  void append(std::size_t aDaemon, std::uint64_t aAppendId, std::vector<Record> aRecords,
              log_stream_model<Record>& aStream);
  /// Runs aOperation at the platform and then aAnswer at the daemon, or aAnswer alone after the
  /// time-out. aOperation returns whether its answer gets back.
  void askPlatform(std::size_t aDaemon, const std::function<bool()>& aOperation,
                   const std::function<event(bool aAnswered)>& aAnswer);
  void finishCall(std::uint64_t aCallId, const std::optional<answer>& aAnswer);
  void lookAround();

  soak_options mOptions;
  core_factory mFactory;
  simulation mSim;
  network_model mNetwork;
  log_service_model mLog;
  log_stream_model<control_record> mControl;
  log_stream_model<job_record> mJobs;
  vm_list_model mVms;
  soak_checker mChecker;
  std::vector<zone_name> mZones;
  std::vector<soak_daemon> mDaemons;
  std::vector<soak_target> mTargets;
  std::map<std::uint64_t, open_call> mCalls;
  std::uint64_t mNextCall = 1;
  std::uint64_t mNextVm = 1;
  int mDisturbances = 0;
  time_point mCalmSince{};
  std::map<std::string, std::uint64_t> mCounts;
};

} // namespace endiveusher::standins
