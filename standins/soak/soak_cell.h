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

/// Entry VM of a soak run and the daemon on it.
struct soak_daemon
{
  std::string mVm;
  zone_name mZone;
  std::string mAddress;
  /// Null while the process is down.
  std::unique_ptr<soak_core> mCore;
  incarnation_id mIncarnation;
  /// Number of the process; events for an earlier process are dropped.
  std::uint64_t mGeneration = 0;
  /// Start value and rate of the process's clock.
  duration mClockStart{ 0 };
  double mClockRate = 1.0;
  bool mPaused = false;
  /// Events that are delivered at the end of the pause.
  std::vector<std::function<void()>> mDeferredEvents;
  /// Effects computed before the pause and performed after it.
  std::vector<effect> mDeferredEffects;
  std::optional<time_point> mShutdownAt;
  /// Start of the time in which it runs and reaches the log; absent if it does not.
  std::optional<time_point> mConnectedSince;
  /// Ids of the calls without an answer.
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

  // The following members are used by soak_workload and soak_faults.
  /// Returns the SHA-256 digest of aKey in hexadecimal.
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
  bool loadEnded() const { return mSim.elapsed() >= mOptions.mLength; }
  void count(const std::string& aName) { ++mCounts[aName]; }

  /// Calls a daemon; aDone gets the answer, or nothing if the connection failed or timed out.
  void callDaemon(std::size_t aDaemon, call aCall, duration aTimeout,
                  std::function<void(const std::optional<answer>&)> aDone);

  void startDaemon(std::size_t aDaemon);
  void killDaemon(std::size_t aDaemon);
  void pauseDaemon(std::size_t aDaemon, bool aDeferEffects);
  void resumeDaemon(std::size_t aDaemon);
  void shutDown(std::size_t aDaemon);
  /// Replaces the entry VM by one with another name and address.
  void replaceVm(std::size_t aDaemon);
  /// Replaces the target VM by one with another name and address; its tasks are lost.
  void replaceTarget(std::size_t aTarget);
  /// Adds aChange to the number of active faults.
  void changeActiveFaults(int aChange);

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
  void performEffects(std::size_t aDaemon);
  void tick(std::size_t aDaemon, std::uint64_t aGeneration);
  void collectObservations();

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
  /// Runs aOperation on the platform and then delivers aAnswer(true) to the daemon, or
  /// aAnswer(false) after the timeout. aOperation returns false if its reply is lost.
  void callPlatform(std::size_t aDaemon, const std::function<bool()>& aOperation,
                    const std::function<event(bool aAnswered)>& aAnswer);
  void finishCall(std::uint64_t aCallId, const std::optional<answer>& aAnswer);
  void runPeriodicChecks();

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
  int mActiveFaults = 0;
  time_point mFaultFreeSince{};
  std::map<std::string, std::uint64_t> mCounts;
};

} // namespace endiveusher::standins
