#pragma once

#include "attempt_table.h"
#include "endiveusher/kernel/invariant.h"
#include "endiveusher/kernel/placer.h"
#include "fair_queue.h"
#include "placement_policy.h"
#include "reservation_table.h"
#include "slice_account.h"
#include "target_state.h"

#include <array>
#include <fmt/format.h>
#include <optional>
#include <random>
#include <utility>

namespace endiveusher {

/// Implementation of basic_placer. Members are defined in the placer_*.h header named above each
/// group.
template<guard_policy Guards>
class basic_placer<Guards>::impl
{
public:
  explicit impl(placer_options aOptions);

  // placer_tasks.h
  void setView(cell_view aView, time_point aNow);
  void enqueue(const task_attempt& aTask, duration aStartWithin, time_point aNow);
  void recall(const incarnation_id& aCoordinator, std::span<const task_key> aKeys, bool aStop,
              time_point aNow);
  void acknowledge(const incarnation_id& aCoordinator, std::span<const placed_task> aTasks,
                   time_point aNow);
  void beginShutdown();

  // placer_gangs.h
  bool reserve(const incarnation_id& aCoordinator, std::uint64_t aReservation,
               std::span<const task_attempt> aTasks, duration aWaited, time_point aNow);
  bool commit(const incarnation_id& aCoordinator, std::uint64_t aReservation, time_point aNow);
  void release(const incarnation_id& aCoordinator, std::uint64_t aReservation);
  limit_vector keptFromLending(const incarnation_id& aBorrower, const slice_request& aRequest,
                               time_point aNow) const;

  // placer_answers.h
  void handle(const exchange_event& aEvent, time_point aNow);

  // placer_schedule.h
  void tick(time_point aNow);

  // placer_report.h
  std::vector<exchange_effect> takeExchanges() { return std::exchange(mExchanges, {}); }
  std::vector<log_effect> takeLogs() { return std::exchange(mLogs, {}); }
  std::vector<incarnation_id> takeChangedCoordinators();
  std::vector<incarnation_id> coordinators() const;
  task_report reportFor(const incarnation_id& aCoordinator) const;
  placer_summary summary() const;
  limit_vector charged(const team_name& aTeam) const { return mSlices.of(aTeam).mCharged; }
  std::vector<slice_request> shortages(time_point aNow) const;
  bool reconciled(const std::set<target_id>& aElsewhere, bool aConfirmedDead, time_point aSince,
                  time_point aNow) const;
  bool couldEverFit(const resources& aSize) const;
  bool released() const;
  std::string dump(time_point aNow) const;

private:
  using held_attempt = internal::held_attempt;
  using target_state = internal::target_state;
  using target_intent = internal::target_intent;
  using team_queue = internal::team_queue;

  /// Capacity reserved for an urgent task while preempted tasks end.
  struct urgent_hold
  {
    target_id mTarget;
    resources mSize;
    time_point mUntil{};
  };

  // placer_tasks.h: transitions of attempts.
  const incarnation_id& self() const { return mView.mSelf; }
  bool isSelf(const incarnation_id& aIncarnation) const
  {
    return mView.resolve(aIncarnation) == mView.mSelf;
  }
  void charge(held_attempt& aAttempt);
  void uncharge(held_attempt& aAttempt);
  void queue(held_attempt& aAttempt);
  /// Removes an attempt from its target: its charge, its part of the account and its orders.
  void detach(held_attempt& aAttempt);
  /// Withdraws a start that is known not to have been executed; queues or returns the task.
  void requeue(held_attempt& aAttempt);
  void setReturned(held_attempt& aAttempt);
  /// Ends an attempt that is known not to run any more and whose outcome is unknown.
  void setLost(held_attempt& aAttempt);
  void setRunning(held_attempt& aAttempt, target_state& aTarget, bool aOwn, time_point aNow);
  /// Removes the attempt from the pending starts in the account of aTarget.
  void removePendingStart(held_attempt& aAttempt, target_state& aTarget);
  void erase(held_attempt& aAttempt);
  void orderEnd(held_attempt& aAttempt, order_action aAction);
  /// Orders a stop or checkpoint, so that the task can continue on another target.
  void evict(held_attempt& aAttempt);
  void dropHold(const task_key& aKey);
  void onCapacityFreed();
  void rescore(const team_name& aTeam);
  void rescoreAll();
  target_state* targetOf(const target_id& aTarget);

  // placer_schedule.h
  bool mayStart(time_point aNow) const;
  bool placeable(const target_state& aTarget, time_point aNow, bool aUrgent) const;
  /// Whether a task fits beside the charge of its team and aKept.
  bool fitsSlice(const team_name& aTeam, const resources& aSize,
                 const limit_vector& aKept = internal::slice_account::kZero) const;
  void schedule(time_point aNow);
  bool startNext(team_queue& aTeam, time_point aNow);
  target_state* choose(const resources& aSize, bool aUrgent, time_point aNow);
  target_state* targetOfHold(const held_attempt& aAttempt, time_point aNow);
  void start(held_attempt& aAttempt, target_state& aTarget, time_point aNow);
  void scan(time_point aNow);
  void checkInvariants() const;

  // placer_eviction.h
  void evictFromLeaving();
  void enforceSlices(time_point aNow);
  void preemptForUrgent(time_point aNow);
  bool preemptFor(const held_attempt& aUrgent, time_point aNow);
  std::vector<team_queue*> teamsByScore();

  // placer_gangs.h
  void freeReservation(const internal::reservation& aReservation);
  static limit_vector needOf(std::span<const task_attempt> aTasks);
  void recordSliceWaiter(std::span<const task_attempt> aTasks, duration aWaited, time_point aNow);
  void recordWaitingGang(std::span<const task_attempt> aTasks, duration aWaited, bool aLacksTargets,
                         time_point aNow);
  void updateDraining(time_point aNow);

  // placer_exchanges.h
  target_intent decide(const target_state& aTarget) const;
  target_intent decideOwned(const target_state& aTarget) const;
  bool presumedSuccessorOf(const incarnation_id& aUnresponsive, const target_state& aTarget) const;
  bool mustPoll(const target_state& aTarget) const;
  void exchangeIfDue(target_state& aTarget, time_point aNow);
  void sendExchange(target_state& aTarget, target_intent aIntent, time_point aNow);
  void addOrders(target_state& aTarget, exchange_request& aRequest, time_point aNow);
  void onTimeout(target_state& aTarget, time_point aNow);
  void expireLeases(target_state& aTarget, time_point aNow);
  void updateResponsiveSince(time_point aNow);
  bool otherRenewalsEnded(time_point aNow) const;

  // placer_answers.h
  void onAnswer(target_state& aTarget, const exchange_response& aAnswer, time_point aNow);
  void onRestart(target_state& aTarget);
  void applyResults(target_state& aTarget, const exchange_response& aAnswer, time_point aNow);
  void applyStartResult(target_state& aTarget, held_attempt& aAttempt, order_result_code aCode,
                        time_point aNow);
  void adoptTable(target_state& aTarget, time_point aNow);
  void adoptEntry(target_state& aTarget, const running_task& aEntry, time_point aNow);
  void applyFinished(target_state& aTarget, const exchange_response& aAnswer, time_point aNow);
  void settleOrders(target_state& aTarget, const exchange_response& aAnswer, bool aEpochEnded);
  void dropMissing(target_state& aTarget);
  void recordHealth(target_state& aTarget, bool aFailed, time_point aNow);
  void updateAccount(target_state& aTarget, const exchange_response& aAnswer);

  template<typename... Arguments>
  void log(log_level aLevel, fmt::format_string<Arguments...> aText, Arguments&&... aArguments)
  {
    mLogs.push_back({ .mLevel = aLevel,
                      .mPart = "placer",
                      .mText = fmt::format(aText, std::forward<Arguments>(aArguments)...) });
  }

  placer_options mOptions;
  cell_view mView;
  bool mShuttingDown = false;
  /// Control offset at which this daemon last became a successor; targets must be read after it.
  log_offset mReconcileFromOffset = 0;

  internal::attempt_table mAttempts;
  internal::fair_queue mQueue;
  internal::slice_account mSlices;
  internal::reservation_table mReservations;
  std::optional<internal::draining_gang> mDraining;
  time_point mNextDrainFrom{};
  std::map<team_name, internal::slice_waiter> mSliceWaiters;
  std::map<task_key, urgent_hold> mHolds;
  /// Queued attempts whose earlier attempt was found running; queued again after its end.
  std::map<task_key, held_attempt> mDeferred;
  /// Time since which the charge of a team has exceeded its slice.
  std::map<team_name, time_point> mOverSince;

  std::map<target_id, target_state> mTargets;
  /// All targets, ordered by id.
  std::vector<target_state*> mOrder;
  resources mOwnTotal;
  std::unique_ptr<internal::placement_policy> mPolicy;
  std::mt19937_64 mRandom;
  std::vector<internal::placement_candidate> mCandidates;
  std::vector<target_state*> mCandidateTargets;
  /// Sizes for which no target was found since capacity was last freed; index 1 for urgent tasks.
  std::array<std::vector<resources>, 2> mUnplaceableSizes;

  /// Members that this daemon has heard from and that have no successor.
  std::set<incarnation_id> mMembersSeen;
  time_point mLastTick{};
  /// Time since which this daemon and all other members have been responsive.
  time_point mAllResponsiveSince{};

  std::uint64_t mLastExchange = 0;
  std::uint64_t mLastOrder = 0;
  time_point mLastRelease{};
  time_point mNextScan{};
  time_point mNextRetry{};
  std::vector<exchange_effect> mExchanges;
  std::vector<log_effect> mLogs;
};

} // namespace endiveusher
