#pragma once

#include "member_rooms.h"
#include "placer_links.h"
#include "retry_policy.h"

#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace endiveusher::internal {

/// The home's part in running tasks: hands them to placers, follows reports, retries.
template<guard_policy Guards>
class delegation
{
public:
  delegation(core_context<Guards>& aContext, placer_links<Guards>& aLinks,
             member_rooms<Guards>& aRooms)
    : mContext(aContext), mLinks(aLinks), mRooms(aRooms)
  {
  }

  /// Called for each job whose last task has ended.
  std::function<void(home_job&)> mOnJobEnded;
  /// Called for a gang's task that its placer is done with; the task is detached already.
  std::function<void(home_job&, std::uint32_t, const placed_task&)> mOnGangTaskOver;

  /// Starts all tasks of a newly accepted job that is not a gang.
  void start(home_job& aJob);
  void handle(const incarnation_id& aFrom, const task_report& aReport);
  void cancel(home_job& aJob);
  /// Looks for an inherited task on the targets of the next ended member that may run it; if none
  /// is left, the task is started again or ended as unknown.
  void search(home_job& aJob, std::uint32_t aIndex);
  void endTask(home_job& aJob, std::uint32_t aIndex, task_state aState);

  /// Delegates what is ready.
  void advance();
  /// Repeats messages, follows takeovers of placers, recalls queued tasks.
  void tick();

  /// Whether tasks wait for a placer, other than for the retry of a failed attempt.
  bool hasWaiting() const;

private:
  static constexpr duration kBackOffBase = std::chrono::milliseconds(100);
  static constexpr duration kBackOffLargest = std::chrono::seconds(30);
  static constexpr duration kNoPlacerRetry = std::chrono::milliseconds(100);
  static constexpr duration kBudgetRetry = std::chrono::seconds(1);
  static constexpr duration kRecallInterval = std::chrono::milliseconds(100);
  static constexpr duration kRecallAfter = std::chrono::milliseconds(200);
  static constexpr duration kRecallRepeat = std::chrono::seconds(1);
  /// A service task that ran this long starts again without the back-off of earlier failures.
  static constexpr duration kStableRun = std::chrono::minutes(1);
  static constexpr std::size_t kFailingTargets = 3;
  /// Ends tasks that fail again and again where fewer than kFailingTargets targets exist.
  static constexpr std::uint32_t kMaxFailures = 6;
  /// Bounds the time of one round.
  static constexpr std::size_t kMaxPerRound = 5000;
  static constexpr std::size_t kMaxRecallsPerRound = 500;
  /// How long running tasks of an unknown inherited job are left to a caller's retry.
  static constexpr duration kOrphanPeriod = std::chrono::minutes(10);

  /// Urgent work by deadline, then the rest by age.
  using ready_key = std::tuple<bool, time_point, std::uint64_t, task_key>;

  void makeReady(home_job& aJob, std::uint32_t aIndex);
  void delay(home_job& aJob, std::uint32_t aIndex, duration aTime);
  /// Starts the next attempt of a detached task.
  void nextAttempt(home_job& aJob, std::uint32_t aIndex, duration aDelay = duration(0));
  void releaseDelayed();
  void applyReport(const incarnation_id& aFrom, const placed_task& aPlaced,
                   std::vector<placed_task>& aAcknowledged);
  void applyUnknownJob(const incarnation_id& aFrom, const placed_task& aPlaced,
                       std::vector<placed_task>& aAcknowledged);
  static bool isFinal(const home_job& aJob, const placed_task& aPlaced);
  bool belongs(home_job& aJob, const incarnation_id& aFrom, const placed_task& aPlaced);
  void applyOver(home_job& aJob, std::uint32_t aIndex, const placed_task& aPlaced);
  void applyEnded(home_job& aJob, std::uint32_t aIndex, const placed_task& aPlaced);
  void applyFailure(home_job& aJob, std::uint32_t aIndex, const target_id& aTarget);
  void followTakeovers();
  void recallForRoom();
  void stopOrphans();

  core_context<Guards>& mContext;
  placer_links<Guards>& mLinks;
  member_rooms<Guards>& mRooms;
  std::set<ready_key> mReady;
  std::set<std::pair<time_point, task_key>> mDelayed;
  std::uint64_t mNextReady = 0;
  time_point mNextRecall{};
  struct orphan
  {
    incarnation_id mPlacer;
    time_point mSeenAt{};
  };
  std::unordered_map<task_key, orphan> mOrphans;
  time_point mNextOrphanCheck{};
};

} // namespace endiveusher::internal

#include "delegation_impl.h"
