#pragma once

#include "member_capacity.h"
#include "placer_links.h"
#include "retry_policy.h"

#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace endiveusher::internal {

/// Coordinator side of task execution: delegates tasks to placers, applies their reports, retries.
template<guard_policy Guards>
class delegation
{
public:
  delegation(core_context<Guards>& aContext, placer_links<Guards>& aLinks,
             member_capacity<Guards>& aCapacity)
    : mContext(aContext), mLinks(aLinks), mCapacity(aCapacity)
  {
  }

  /// Called when the last task of a job has ended.
  std::function<void(coordinated_job&)> mOnJobEnded;
  /// Called when the placer of a gang task has reported its end; the task is already detached.
  std::function<void(coordinated_job&, std::uint32_t, const placed_task&)> mOnGangTaskFinished;

  /// Starts all tasks of a newly accepted job. Not for gangs.
  void start(coordinated_job& aJob);
  void handle(const incarnation_id& aFrom, const task_report& aReport);
  void cancel(coordinated_job& aJob);
  /// Searches for a task of a failed-over job on the targets of the next ended member that may
  /// still run it. If no such member is left, the task is started again or ended as unknown.
  void search(coordinated_job& aJob, std::uint32_t aIndex);
  void endTask(coordinated_job& aJob, std::uint32_t aIndex, task_state aState);

  /// Delegates the tasks that are ready.
  void advance();
  /// Resends messages, reassigns tasks of ended placers, recalls queued tasks.
  void tick();

  /// Whether tasks wait for a placer. Does not count delayed retries of failed attempts.
  bool hasWaiting() const;

private:
  static constexpr duration kBackOffBase = std::chrono::milliseconds(100);
  static constexpr duration kBackOffLargest = std::chrono::seconds(30);
  static constexpr duration kNoPlacerRetry = std::chrono::milliseconds(100);
  static constexpr duration kBudgetRetry = std::chrono::seconds(1);
  static constexpr duration kRecallInterval = std::chrono::milliseconds(100);
  static constexpr duration kRecallAfter = std::chrono::milliseconds(200);
  static constexpr duration kRecallRepeat = std::chrono::seconds(1);
  /// Run time after which the failure count of a service task, and so its back-off, is reset.
  static constexpr duration kStableRun = std::chrono::minutes(1);
  /// Number of distinct targets on which a task must fail before it ends as failed.
  static constexpr std::size_t kFailingTargets = 3;
  /// Number of failed attempts after which a task ends as failed even if fewer than
  /// kFailingTargets targets exist.
  static constexpr std::uint32_t kMaxFailures = 6;
  /// Largest number of tasks delegated by one call of advance(); bounds its run time.
  static constexpr std::size_t kMaxPerRound = 5000;
  static constexpr std::size_t kMaxRecallsPerRound = 500;
  /// Time for which running tasks of an unknown job of an ended coordinator are kept, so that a
  /// caller's retry of the request can adopt them.
  static constexpr duration kOrphanPeriod = std::chrono::minutes(10);

  /// Not urgent, start deadline, age, task: urgent tasks sort first, each class by deadline and
  /// age.
  using ready_key = std::tuple<bool, time_point, std::uint64_t, task_key>;

  void makeReady(coordinated_job& aJob, std::uint32_t aIndex);
  void delay(coordinated_job& aJob, std::uint32_t aIndex, duration aTime);
  /// Starts the next attempt of a detached task.
  void nextAttempt(coordinated_job& aJob, std::uint32_t aIndex, duration aDelay = duration(0));
  void releaseDelayed();
  void applyReport(const incarnation_id& aFrom, const placed_task& aPlaced,
                   std::vector<placed_task>& aAcknowledged);
  void applyUnknownJob(const incarnation_id& aFrom, const placed_task& aPlaced,
                       std::vector<placed_task>& aAcknowledged);
  static bool isFinal(const coordinated_job& aJob, const placed_task& aPlaced);
  bool belongs(coordinated_job& aJob, const incarnation_id& aFrom, const placed_task& aPlaced);
  void applyFinished(coordinated_job& aJob, std::uint32_t aIndex, const placed_task& aPlaced);
  void applyEnded(coordinated_job& aJob, std::uint32_t aIndex, const placed_task& aPlaced);
  void applyFailure(coordinated_job& aJob, std::uint32_t aIndex, const target_id& aTarget);
  void reassignFromEndedPlacers();
  void recallForFreeCapacity();
  void stopOrphans();

  core_context<Guards>& mContext;
  placer_links<Guards>& mLinks;
  member_capacity<Guards>& mCapacity;
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
