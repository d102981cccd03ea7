#pragma once

#include "endiveusher/edges/http_loop.h"
#include "endiveusher/kernel/time.h"
#include "event_log.h"
#include "order_batch.h"
#include "order_sender.h"
#include "peer_clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::node {

/// Sends orders to targets on the owner's behalf and reports their results.
///
/// Load pattern: an owner or a link that is behind for seconds. A report without an answer in time
/// may have arrived, so its results are kept and reported again, in smaller reports and with
/// pauses, until the owner confirms them or there is a newer epoch. Then one report is open at a
/// time, otherwise several. Results with ends of runs go first. A newer report of a target
/// replaces an older one that waits if it repeats all ends in it that are not stored.
///
/// A relay that was paused or cut off may hold batches whose orders the owner has given up and
/// replaced by others. It drops a batch of a lower epoch than the highest one it knows, and one
/// that is older than kMaxBatchAge by the owner's clock.
class order_relay
{
public:
  static constexpr std::chrono::milliseconds kMaxBatchAge{ 1000 };
  /// Largest number of results that wait for a report. The load on a relay of half a core makes as
  /// many in more than ten seconds.
  static constexpr std::size_t kMaxWaitingResults = 4000;

  order_relay(edges::http_loop& aLoop, const clock& aClock, order_sender& aSender, event_log& aLog);

  /// Sets the newest epoch that this daemon has read of; batches of lower ones are dropped.
  void setEpoch(std::uint64_t aEpoch);
  /// Reports the owner's clock, as read in a reply that was received at aReceived.
  void setOwnerClock(const std::string& aOwner, std::chrono::milliseconds aOwnerTime,
                     time_point aReceived);
  enum class reception : std::uint8_t
  {
    accepted,
    /// Dropped: there is a higher epoch.
    superseded,
    /// Dropped: the batch is too old, or its age is not known.
    outdated,
  };
  /// Carries out a batch unless it has to be dropped.
  reception onBatch(order_batch&& aBatch);
  /// Sends results that are due.
  void tick(time_point aNow);

private:
  struct kept_result
  {
    order_result mResult;
    /// Target of a heartbeat, and the number of the last end that the heartbeat acknowledged.
    std::string mTarget;
    std::uint64_t mStoredEndNumber = 0;
  };
  /// Results in a report that is open.
  using open_report = std::vector<kept_result>;

  void send(const scheduler::heartbeat_order& aOrder, std::uint64_t aNumber);
  void send(const scheduler::start_order& aOrder, std::uint64_t aNumber);
  void send(const scheduler::stop_order& aOrder, std::uint64_t aNumber);
  void addResult(std::uint64_t aEpoch, kept_result aResult);
  /// Whether nothing is lost if the owner gets aNewer instead of aOlder.
  static bool supersedes(const kept_result& aNewer, const kept_result& aOlder);
  /// Removes the results that aOne supersedes; returns false if aOne itself is superseded.
  bool prune(const kept_result& aOne);
  void limitResults();
  void sendResults(time_point aNow);
  void onReportDone(std::uint64_t aReport, const edges::loop_reply& aReply);

  edges::http_loop& mLoop;
  const clock& mClock;
  order_sender& mSender;
  event_log& mLog;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  std::uint64_t mEpoch = 0;
  /// Address of the owner of mEpoch; empty while none has sent a batch.
  std::string mOwner;
  std::string mClockOwner;
  std::optional<peer_clock> mOwnerClock;
  /// Results that no open report holds, oldest first.
  std::deque<kept_result> mResults;
  struct report_call
  {
    edges::call_id mId = 0;
    open_report mResults;
  };
  /// Open reports by their numbers.
  std::map<std::uint64_t, report_call> mOpenReports;
  std::uint64_t mLastReport = 0;
  /// Reports in a row that were not confirmed.
  std::uint32_t mFailures = 0;
  std::size_t mMaxResults = 0;
  time_point mNextReport{};
};

} // namespace endiveusher::node
