#pragma once

#include "boot_clock.h"
#include "caller_gate.h"
#include "caller_record_writer.h"
#include "daemon/src/quantile_summary.h"
#include "election.h"
#include "end_hand_over.h"
#include "end_times.h"
#include "end_waiters.h"
#include "endiveusher/edges/http_loop.h"
#include "endiveusher/edges/http_server.h"
#include "endiveusher/edges/memory_budget.h"
#include "endiveusher/node/cell_node.h"
#include "endiveusher/scheduler/owner.h"
#include "event_log.h"
#include "inbox.h"
#include "input_lanes.h"
#include "job_replica.h"
#include "log_tail.h"
#include "loop_profiler.h"
#include "operator_view.h"
#include "order_relay.h"
#include "order_router.h"
#include "order_sender.h"
#include "owner_client.h"
#include "owner_view.h"
#include "peer_api.h"
#include "registry_view.h"
#include "request_handler.h"
#include "snapshot_writer.h"
#include "snapshots.h"
#include "store_connectivity.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <exception>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <semaphore>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace endiveusher::node {

namespace internal {

/// Topics of the store that hold the cell's state.
inline constexpr const char* kJournalTopic = "journal";
inline constexpr const char* kOwnerTopic = "owner";
inline constexpr const char* kSnapshotTopic = "snapshot";

/// Whether a VM is large enough to own a cell of several hundred targets, which takes a quarter of
/// a core. Large VMs are always standbys; others only if there are too few large ones.
inline bool isLarge(double aCores)
{
  constexpr double kMinOwnerCores = 0.2;
  return aCores >= kMinOwnerCores;
}

inline scheduler::wall_time wallNow()
{
  return std::chrono::duration_cast<scheduler::wall_time>(
    std::chrono::system_clock::now().time_since_epoch());
}

/// A caller's request, passed from a server thread to the event loop.
struct queued_caller_request
{
  platform::caller_request mCall;
  std::string mBody;
  /// Reservation of the body; released when the event loop has handled the request.
  std::shared_ptr<edges::memory_charge> mCharge;
  edges::responder mResponder;
};
/// A request of another daemon, passed from a server thread to the event loop.
struct peer_request
{
  std::string mPath;
  std::string mBody;
  /// Reservation of the body; released when the event loop has handled the request.
  std::shared_ptr<edges::memory_charge> mCharge;
  edges::responder mResponder;
};
using inbox_item = std::variant<queued_caller_request, peer_request>;

/// Returns the lane of a request of another daemon.
input_lane laneOf(std::string_view aPath);

} // namespace internal

class cell_node::impl : private scheduler::owner_port
{
  using journal_record = scheduler::journal_record;
  using queued_caller_request = internal::queued_caller_request;
  using peer_request = internal::peer_request;
  using inbox_item = internal::inbox_item;

public:
  explicit impl(platform::node_settings aSettings);

  ~impl() override;

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  void start(std::function<void()> aStopped);

  void stop();

  void reload(platform::node_settings aSettings);

  void dumpState();

private:
  // owner_port. Replies are passed to the owner that made the call, if it is still the owner.
  void store(std::vector<journal_record> aRecords) override;

  void onRecordStored(std::uint64_t aToken) override;

  /// Stores a caller's record as the owner; returns false if this daemon is not the owner.
  bool acceptLocally(const journal_record& aRecord,
                     const caller_record_writer::done_callback& aDone);

  static caller_record recordKey(const journal_record& aRecord);

  bool queryOwner(scheduler::job_id aId, const std::string& aTeam,
                  std::function<void(owner_answer&&)> aDone);

  bool queryWaiting(const std::string& aRoute, std::function<void(owner_answer&&)> aDone);

  /// Sends a query of a caller to the owner; returns false if the owner cannot be reached.
  bool callOwner(std::string_view aPath, std::string aBody,
                 std::function<void(owner_answer&&)> aDone);

  void sendHeartbeat(const scheduler::heartbeat_order& aOrder) override;

  void start(const scheduler::start_order& aOrder) override;

  void stop(const scheduler::stop_order& aOrder) override;

  void requestAdvice(const scheduler::advice_request& aRequest) override;

  /// Whether this daemon is still the owner of aEpoch; replies to another epoch are ignored.
  /// After an exception its state may be changed in part.
  bool isOwner(std::uint64_t aEpoch) const
  {
    return aEpoch == mEpoch && mOwner != nullptr && !mStepDownReason;
  }

  void logDecision(std::string_view aEvent, std::string_view aDetail) override;

  void makeTails();

  void tickStoreConnectivity(time_point aNow);

  /// Whether this daemon follows the journal: as the owner, or as a standby that can become owner
  /// at once. Other daemons load the state of the cell only if they become owner.
  bool followsJournal() const { return mJobs.follows(); }
  /// Whether this daemon knows the cell well enough to serve callers.
  bool caughtUp() const { return !followsJournal() || mOwner || mJobs.complete(); }

  /// Whether this daemon is partitioned from the store and its peers, so that it cannot serve
  /// callers.
  bool partitioned(time_point aNow) const;

  /// Passes the sizes of targets on to the checks of jobs: as the owner those of the registry, as
  /// a follower those that the owner has reported.
  void updateCapacity();

  void updateCellStatus();

  void onOperatorChange();

  void startCallerServer();
  void startReadinessServer();
  void startPeerServer();
  /// Applies the operator's limits to the callers' server.
  void updateCallerLimits();
  /// Number of connections that the servers have rejected.
  std::uint64_t rejectedConnections() const;
  /// Number of times that the servers have paused accepting connections.
  std::uint64_t acceptPauses() const;
  /// Logs what the servers have shed and rejected lately.
  void logShedding(time_point aNow);

  // Election and ownership.
  void readOwnerRecords(const std::vector<std::string>& aRecords, std::uint64_t aOffset);

  /// Checks whether this daemon knows enough of what others have stored to own the cell.
  void updateOwnerView(time_point aNow);
  /// Whether a follower knows enough of what others have stored to own the cell.
  bool followerIsCurrent() const;

  void tickElection(time_point aNow);

  void appendOwnerRecord(election::action aAction, time_point aNow);

  /// Completes a won election: fences the former owner off the journal, then reads the records that
  /// it has written, then starts to schedule. Called until all steps are complete.
  void becomeOwner();

  void stepDown(std::string_view aReason);

  // State of the cell.
  /// Called when a record that another daemon has stored has changed a job.
  void onJobChanged(scheduler::job& aJob);

  /// Returns the table to write snapshots from: that of the standby that the owner has chosen, or
  /// the owner's if it has no standby. The table of a standby holds exactly the journal's records;
  /// that of a busy owner is always ahead of them.
  std::optional<snapshot_source> snapshotSource() const;

  // Peers.
  void tickPeers(time_point aNow);

  void handleForwardedRecords(const peer_request& aRequest);

  /// Passes the helpers that are alive on to the users of their calls.
  void updateHelpers(time_point aNow);

  void rejectMalformed(const peer_request& aRequest, const absl::Status& aError);

  void handleOrders(const peer_request& aRequest);

  void handleOrderResults(const peer_request& aRequest);

  /// Chooses the daemons that follow the journal.
  void updateStandbys();

  void onHelloReply(const std::string& aOwner, const hello_reply& aReply, time_point aReceived);

  void handleHello(const peer_request& aRequest);

  void handleStatus(const peer_request& aRequest);
  /// Whether the journal holds the end of a job that this daemon's table shows as ended.
  bool isEndStored(scheduler::job_id aJob) const { return !mOwner || mOwner->isEndStored(aJob); }
  /// Answers callers that wait for the end of a job to be stored.
  void answerEndWaiters();

  void handleWaiting(const peer_request& aRequest);

  void handleUnstoredEnds(const peer_request& aRequest);

  /// Explains where a job would be placed, or has the owner do so.
  void handleExplain(const peer_request& aRequest);
  /// Returns the owner's answer.
  edges::http_answer explainHere(std::string_view aBody);

  /// Adopts ends that a former owner has handed over, or keeps them until this daemon schedules.
  void onEndsHandedOver(const std::string& aAddress,
                        const std::vector<scheduler::run_ended>& aEnds);

  void handlePeer(peer_request& aRequest);

  void handleCaller(const queued_caller_request& aRequest);

  void run();

  /// Handles callers' and other daemons' requests of one pass of the loop.
  void handleInputs();

  /// Has the owner store ends of runs that have waited for long.
  void passOnLateEnds();

  /// The same, and sends the append. Called before work that may take long.
  void storeLateEnds();

  /// Runs a step of the event loop. An exception ends this step only.
  template<typename Step>
  void guarded(std::string_view aName, const Step& aStep)
  {
    try {
      aStep();
    } catch (const std::exception& error) {
      onStepFailed(aName, {}, error);
    }
  }

  /// Logs and counts an exception of a step of the event loop, or of the use of a peer's answer.
  /// An owner steps down: its state may be changed in part, and the next one has that of the
  /// journal.
  void onStepFailed(std::string_view aStep, std::string_view aPeer, const std::exception& aError);

  /// The steps of a pass of the loop, except network calls.
  void readStore(time_point aNow);
  void writeStore(time_point aNow);
  /// Has the owner decide; returns the time of the next pass.
  time_point decide(time_point aNow);

  /// Processes network calls and waits until aNext or the next event.
  void serveCalls(time_point aNext);

  /// Returns true when the loop has to end.
  bool tickShutdown(time_point aNow);

  /// Stops mCallerServer once mMayStopServer is released, or the shutdown period nears its end.
  void stopServer();

  void applyReload();

  std::string metrics() const;

  std::string state() const;

  platform::node_settings mSettings;
  boot_clock mClock;
  event_log mLog;
  loop_profiler mProfiler{ mClock };
  time_point mNextProfileLog{};
  std::uint64_t mFailedSteps = 0;
  time_point mNextFailureLog{};
  time_point mLastWakeUp{};
  /// Shared by the three servers, the replies of mLoop and the records of mRequestHandler.
  const std::shared_ptr<edges::memory_budget> mBudget;
  edges::http_loop mLoop;
  inbox<inbox_item> mInbox;
  input_lanes mLanes;
  /// Time for which inputs have waited, by lane.
  std::array<daemon::quantile_summary, kInputLanes> mInputWaits;
  /// Arrival of the input that is being handled; absent between inputs.
  std::optional<time_point> mInputArrival;
  /// Whether the last pass of the loop has left inputs to the next one.
  bool mInputsLeft = false;
  platform::store mStore;
  const std::uint64_t mIncarnation;
  const std::string mPeerAddress;
  /// Whether this daemon follows the journal, so that it can become owner at once.
  bool mStandby;
  job_replica mJobs;
  election mElection;
  journal_writer mWriter;
  owner_client mOwnerClient;
  caller_record_writer mRecordWriter;
  request_handler mRequestHandler;
  std::unique_ptr<log_tail> mOperatorTail;
  std::unique_ptr<log_tail> mRegistryTail;
  std::unique_ptr<log_tail> mOwnerTail;

  operator_view mOperator{ mLog };
  registry_view mRegistry;
  order_sender mOrderSender{ mLoop, mLog };
  order_router mOrderRouter;
  order_relay mOrderRelay{ mLoop, mClock, mOrderSender, mLog };
  /// Configuration that mOwner was last given.
  std::shared_ptr<const scheduler::cell_config> mOwnerConfig;
  bool mCapacityChanged = false;
  /// Sizes that the owner reports to its followers.
  cell_capacity mLargestSizes;

  /// Epoch of this daemon's ownership; 0 if it is not the owner.
  std::uint64_t mEpoch = 0;
  /// Time at which the former owner was fenced off the journal.
  std::optional<time_point> mFencedAt;
  std::unique_ptr<journal_writer> mOwnerWriter;
  snapshot_writer mSnapshotWriter;
  /// Whether the owner has chosen this daemon to write the snapshots.
  bool mWritesSnapshots = false;
  std::unique_ptr<scheduler::owner> mOwner;
  owner_view mOwnerView;
  end_hand_over mHandOver;
  /// Ends that were reported to this daemon as an owner, or handed over to it, and that may not be
  /// in the journal. Empty while it schedules.
  std::vector<scheduler::run_ended> mUnstoredReports;
  /// Whether no orders may be sent to targets because the last accepted renewal is too old.
  bool mPaused = false;
  /// Set if the ownership is lost; the next election tick then steps down.
  std::optional<std::string> mStepDownReason;
  /// A caller's record that is being stored with the owner's.
  struct unstored_caller_record
  {
    caller_record_writer::done_callback mDone;
    caller_record mRecord;
  };
  std::map<std::uint64_t, unstored_caller_record> mUnstoredCallerRecords;
  std::uint64_t mLastToken = 0;
  end_times mEndTimes;
  end_waiters mEndWaiters;
  /// Arrival of the oldest report with ends since the owner has last passed on ends to be stored.
  std::optional<time_point> mOldestReport;
  /// Whether passOnLateEnds() has made an append that the loop may not have sent.
  bool mEndsUnsent = false;
  /// A follower that makes calls on the owner's behalf.
  struct helper
  {
    time_point mFirstHello;
    time_point mLastHello;
    double mCores = 0;
    bool mStandby = false;
    bool mViewCurrent = false;
  };
  /// Helpers by address.
  std::map<std::string, helper> mHelpers;
  /// Addresses of the helpers that follow the journal.
  std::set<std::string> mStandbys;
  time_point mNextHelperUpdate{};

  store_connectivity mStoreConnectivity;
  bool mStoreLost = false;
  /// Error of the last unanswered call to the store.
  std::string mLastStoreError;
  time_point mNextPurge{};
  /// Written before mStopping is set.
  time_point mStopSince{};
  bool mStopNoted = false;

  /// Number of explanations as the owner, and whether one that was forwarded is unanswered.
  std::uint64_t mExplanations = 0;
  bool mExplanationOpen = false;

  daemon::quantile_summary mCallTimes;
  daemon::quantile_summary mAppendTimes;

  std::mutex mReloadMutex;
  std::optional<platform::node_settings> mReloaded;
  std::atomic<bool> mQuit{ false };
  std::atomic<bool> mStopping{ false };
  std::atomic<bool> mDump{ false };
  std::atomic<bool> mReady{ false };
  std::function<void()> mStopped;
  caller_gate mCallerGate;
  /// Configuration whose limits the callers' server was last given.
  std::shared_ptr<const scheduler::cell_config> mLimitsConfig;
  time_point mNextSheddingLog{};
  /// Counters at the last log line on shedding.
  std::uint64_t mLoggedShedRequests = 0;
  std::uint64_t mLoggedShedBytes = 0;
  std::uint64_t mLoggedRejectedConnections = 0;
  std::uint64_t mLoggedAcceptPauses = 0;
  std::uint64_t mLoggedRejectedRecords = 0;
  std::uint64_t mLoggedRefusedReplies = 0;
  std::unique_ptr<edges::http_server> mCallerServer;
  std::unique_ptr<edges::http_server> mReadinessServer;
  std::unique_ptr<edges::http_server> mPeerServer;
  std::thread mThread;
  /// Released by the event loop when it has nothing more to answer, and by the destructor.
  std::counting_semaphore<2> mMayStopServer{ 0 };
  bool mServerStopAllowed = false;
  /// Written before mServerStopping is set.
  time_point mServerStopSince{};
  std::atomic<bool> mServerStopping{ false };
  /// Written before mServerStopped is set.
  edges::stop_report mServerReport;
  std::atomic<bool> mServerStopped{ false };
  /// Runs stopServer(), while the event loop answers the requests that are open.
  std::jthread mServerStop;
};

} // namespace endiveusher::node
