#pragma once

#include "boot_clock.h"
#include "daemon/src/quantile_summary.h"
#include "election.h"
#include "endiveusher/edges/http_loop.h"
#include "endiveusher/edges/http_server.h"
#include "endiveusher/node/cell_node.h"
#include "endiveusher/scheduler/owner.h"
#include "event_log.h"
#include "front_desk.h"
#include "inbox.h"
#include "job_intake.h"
#include "log_tail.h"
#include "loop_load.h"
#include "operator_view.h"
#include "owner_calls.h"
#include "owner_link.h"
#include "peer_api.h"
#include "registry_view.h"
#include "snapshots.h"
#include "store_contact.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace endiveusher::node {

namespace internal {

/// Topics of the store that the cell keeps its state in.
inline constexpr const char* kJournalTopic = "journal";
inline constexpr const char* kOwnerTopic = "owner";
inline constexpr const char* kSnapshotTopic = "snapshot";

/// How often daemons that are not the owner read the journal: they ask the owner for the states of
/// live jobs.
inline constexpr std::chrono::milliseconds kJournalInterval{ 200 };
/// How often they read the registry, of which they need the sizes of targets only.
inline constexpr std::chrono::milliseconds kRegistryInterval{ 8000 };

inline scheduler::wall_time wallNow()
{
  return std::chrono::duration_cast<scheduler::wall_time>(
    std::chrono::system_clock::now().time_since_epoch());
}

/// A call that a server thread hands to the loop.
struct front_request
{
  platform::front_call mCall;
  std::string mBody;
  edges::responder mResponder;
};
struct peer_request
{
  std::string mPath;
  std::string mBody;
  edges::responder mResponder;
};
using inbox_item = std::variant<front_request, peer_request>;

} // namespace internal

class cell_node::impl : private scheduler::owner_port
{
  using journal_record = scheduler::journal_record;
  using front_request = internal::front_request;
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
  // owner_port; the answers go to the owner that asked, if it still is one.
  void store(std::vector<journal_record> aRecords) override;

  void accepted(std::uint64_t aToken) override;

  /// False if this daemon is not the owner.
  bool acceptLocally(const journal_record& aRecord, const job_intake::done& aDone);

  static caller_record recordKey(const journal_record& aRecord);

  bool askOwner(scheduler::job_id aId, const std::string& aTeam,
                std::function<void(std::optional<std::string>)> aDone);

  void look(const scheduler::look_order& aOrder) override;

  void start(const scheduler::start_order& aOrder) override;

  void stop(const scheduler::stop_order& aOrder) override;

  void advise(const scheduler::advice_request& aRequest) override;

  /// Answers to an owner of another epoch have no meaning.
  bool isOwner(std::uint64_t aEpoch) const { return aEpoch == mEpoch && mOwner != nullptr; }

  void explain(std::string_view aEvent, std::string_view aDetail) override;

  void makeTails();

  void contact();

  void tickContact(time_point aNow);

  /// Neither the store nor the owner is reached: this daemon can do nothing for callers.
  bool cutOff(time_point aNow) const;

  void operatorChanged();

  // Ownership.
  void readOwners(const std::vector<std::string>& aRecords, std::uint64_t aOffset);

  void tickElection(time_point aNow);

  void appendOwnerRecord(election::action aAction, time_point aNow);

  /// First shuts the former owner out of the journal, then reads what it has written.
  void takeOver();

  void giveUp(std::string_view aReason);

  // State of the cell.
  void loadBook();

  void tickSnapshot(time_point aNow);

  void readJournal(const std::vector<std::string>& aRecords);

  void applied(const journal_record& aRecord);

  // Peers.
  void tickPeers(time_point aNow);

  void handleStore(const peer_request& aRequest);

  void handleStatus(const peer_request& aRequest);

  void handlePeer(peer_request& aRequest);

  void handleFront(const front_request& aRequest);

  void run();

  /// Makes calls and waits until the next deadline.
  void serveCalls(time_point aNext);

  /// True when the loop has to end.
  bool tickShutdown(time_point aNow);

  void applyReload();

  std::string metrics() const;

  std::string state() const;

  platform::node_settings mSettings;
  boot_clock mClock;
  event_log mLog;
  loop_load mLoad{ mClock };
  time_point mNextLoadReport{};
  /// When the loop last woke up.
  time_point mTurnSince{};
  edges::http_loop mLoop;
  inbox<inbox_item> mInbox;
  platform::store mStore;
  snapshot_loader mSnapshots;
  const std::uint64_t mIncarnation;
  const std::string mPeerAddress;
  scheduler::job_book mBook;
  election mElection;
  journal_writer mWriter;
  owner_link mLink;
  job_intake mIntake;
  front_desk mDesk;
  std::unique_ptr<log_tail> mOperatorTail;
  std::unique_ptr<log_tail> mRegistryTail;
  std::unique_ptr<log_tail> mOwnerTail;
  std::unique_ptr<log_tail> mJournalTail;

  operator_view mOperator{ mLog };
  registry_view mRegistry;
  owner_calls mCalls{ mLoop, mLog };
  /// The configuration that the owner has.
  std::shared_ptr<const scheduler::cell_config> mOwnerConfig;
  bool mCapacityChanged = false;

  /// Of the own ownership; 0 if there is none.
  std::uint64_t mEpoch = 0;
  /// When the former owner was shut out of the journal.
  std::optional<time_point> mFencedAt;
  std::unique_ptr<journal_writer> mOwnerWriter;
  std::unique_ptr<journal_writer> mSnapshotWriter;
  bool mSnapshotOpen = false;
  std::optional<snapshot_schedule> mSnapshotSchedule;
  /// Where the journal goes on after the newest snapshot known.
  std::uint64_t mSnapshotBase = 0;
  std::unique_ptr<scheduler::owner> mOwner;
  /// No renewal has been accepted for so long that nothing may be sent to targets.
  bool mPaused = false;
  std::optional<std::string> mLost;
  /// Callers' records on their way into the journal with the owner's.
  struct accepting_record
  {
    job_intake::done mDone;
    caller_record mRecord;
  };
  std::map<std::uint64_t, accepting_record> mAccepting;
  std::uint64_t mLastToken = 0;
  /// Jobs with ends that are on their way into the journal, and how many calls hold some.
  std::map<scheduler::job_id, std::uint32_t> mUnstoredEnds;
  /// Daemons that make calls for advice, and when each was last heard of.
  std::map<std::string, time_point> mHelpers;

  store_contact mContact;
  bool mStoreLost = false;
  /// Why the last call to the store had no answer.
  std::string mContactError;
  time_point mNextForget{};
  std::optional<time_point> mStopSince;

  daemon::quantile_summary mCallTimes;
  daemon::quantile_summary mAppendTimes;

  std::mutex mReloadMutex;
  std::optional<platform::node_settings> mReloaded;
  std::atomic<bool> mQuit{ false };
  std::atomic<bool> mStopping{ false };
  std::atomic<bool> mDump{ false };
  std::atomic<bool> mReady{ false };
  std::function<void()> mStopped;
  std::unique_ptr<edges::http_server> mFront;
  std::unique_ptr<edges::http_server> mReadiness;
  std::unique_ptr<edges::http_server> mPeers;
  std::thread mThread;
};

} // namespace endiveusher::node
