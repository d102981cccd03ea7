#pragma once

#include "core_context.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace endiveusher::internal {

/// Handles the messages of coordinators: forwards them to the placer and reports its tasks back.
///
/// A task whose earlier placer has ended is not enqueued; it is reported as starting until the
/// reconciliation of that placer is complete, because it may still run on one of its targets.
template<guard_policy Guards>
class placer_port
{
public:
  explicit placer_port(core_context<Guards>& aContext) : mContext(aContext) {}

  void handle(const incarnation_id& aFrom, const delegate& aMessage);
  void handle(const incarnation_id& aFrom, const report_ack& aMessage);
  void handle(const incarnation_id& aFrom, const recall& aMessage);
  void handle(const incarnation_id& aFrom, const reserve& aMessage);
  void handle(const incarnation_id& aFrom, const commit& aMessage);
  void handle(const incarnation_id& aFrom, const release& aMessage);

  /// Sends the reports that are due.
  void flush();
  /// Checks reconciliations and repeats reports that were not acknowledged.
  void tick();

  /// Whether the reconciliation of aOrigin, an ended member that this daemon succeeds, is complete.
  bool reconciled(const incarnation_id& aOrigin) const;

  /// Whether no report is due and all reported ends are acknowledged.
  bool settled() const;
  /// Number of tasks whose earlier placer is not reconciled yet.
  std::size_t awaitingReconciliation() const;

private:
  /// A report is repeated until its ends are acknowledged.
  static constexpr duration kRepeatInterval = std::chrono::milliseconds(500);
  static constexpr duration kReconciliationCheckInterval = std::chrono::milliseconds(100);
  /// Reports contain all tasks; their interval grows with the number of tasks.
  static constexpr duration kIntervalPerTask = std::chrono::microseconds(10);
  static constexpr duration kLargestInterval = std::chrono::milliseconds(500);

  struct held_task
  {
    task_attempt mTask;
    /// Ended placer that may have started the task.
    incarnation_id mOrigin;
  };
  struct coordinator_link
  {
    /// Delegates and reservations with smaller numbers are ignored.
    std::uint64_t mClosedBefore = 0;
    std::set<std::uint64_t> mReserved;
    std::set<std::uint64_t> mCommitted;
    bool mDue = false;
    /// Number of ends in the last report that the coordinator has not acknowledged.
    std::size_t mUnacknowledged = 0;
    time_point mSentAt{};
    duration mInterval{ 0 };
    /// Tasks that wait for a reconciliation.
    std::map<task_key, held_task> mAwaitingReconciliation;
    /// Tasks that a complete reconciliation has not found.
    std::map<task_key, placed_task> mLost;
  };

  bool accepts(const incarnation_id& aCoordinator) const
  {
    return !mContext.control().hasEnded(aCoordinator);
  }
  task_report reportFor(const incarnation_id& aCoordinator, const coordinator_link& aLink);
  void sendReport(const incarnation_id& aCoordinator, coordinator_link& aLink);
  void checkReconciliations();

  core_context<Guards>& mContext;
  std::map<incarnation_id, coordinator_link> mLinks;
  std::uint64_t mReportSequence = 0;
  time_point mNextReconciliationCheck{};
  /// Ended members whose reconciliation has completed.
  std::set<incarnation_id> mReconciled;
};

template<guard_policy Guards>
void placer_port<Guards>::handle(const incarnation_id& aFrom, const delegate& aMessage)
{
  auto& link = mLinks[aFrom];
  if (!accepts(aFrom) || (aMessage.mSequence != 0 && aMessage.mSequence < link.mClosedBefore)) {
    return;
  }
  link.mDue = true;
  for (std::size_t i = 0; i < aMessage.mTasks.size(); ++i) {
    auto task = aMessage.mTasks[i];
    const auto origin = task.mPlacer;
    const auto within =
      i < aMessage.mStartWithin.size() ? aMessage.mStartWithin[i] : std::chrono::milliseconds(0);
    task.mPlacer = mContext.self();
    if (origin.empty() || origin == mContext.self()) {
      mContext.mPlacer.enqueue(task, within, mContext.mNow);
      continue;
    }
    // Dropped if the succession is not applied here yet or another member is the successor by now;
    // the coordinator repeats the message.
    if (mContext.succeeds(origin) && !link.mLost.contains(task.mKey)) {
      link.mAwaitingReconciliation.try_emplace(task.mKey,
                                               held_task{ .mTask = task, .mOrigin = origin });
    }
  }
}

template<guard_policy Guards>
void placer_port<Guards>::handle(const incarnation_id& aFrom, const report_ack& aMessage)
{
  auto& link = mLinks[aFrom];
  if (!accepts(aFrom)) {
    return;
  }
  link.mClosedBefore = std::max(link.mClosedBefore, aMessage.mClosedBefore);
  link.mCommitted.erase(link.mCommitted.begin(), link.mCommitted.lower_bound(link.mClosedBefore));
  link.mUnacknowledged -= std::min(link.mUnacknowledged, aMessage.mTasks.size());
  mContext.mPlacer.acknowledge(aFrom, aMessage.mTasks, mContext.mNow);
  for (const auto& task : aMessage.mTasks) {
    const auto lost = link.mLost.find(task.mKey);
    if (lost != link.mLost.end() && lost->second.mAttempt == task.mAttempt) {
      link.mLost.erase(lost);
    }
  }
}

template<guard_policy Guards>
void placer_port<Guards>::handle(const incarnation_id& aFrom, const recall& aMessage)
{
  auto& link = mLinks[aFrom];
  if (!accepts(aFrom)) {
    return;
  }
  // Every recall causes a report, so that a coordinator can request one with an empty recall.
  link.mDue = true;
  if (!aMessage.mTasks.empty()) {
    mContext.mPlacer.recall(aFrom, aMessage.mTasks, aMessage.mStop, mContext.mNow);
  }
}

template<guard_policy Guards>
void placer_port<Guards>::handle(const incarnation_id& aFrom, const reserve& aMessage)
{
  auto& link = mLinks[aFrom];
  if (!accepts(aFrom) || aMessage.mTasks.empty() ||
      link.mCommitted.contains(aMessage.mReservation)) {
    return;
  }
  bool reserved = link.mReserved.contains(aMessage.mReservation);
  if (!reserved && aMessage.mReservation >= link.mClosedBefore && !mContext.mStopping &&
      mContext.mayDecide()) {
    reserved = mContext.mPlacer.reserve(aFrom, aMessage.mReservation, aMessage.mTasks,
                                        aMessage.mWaited, mContext.mNow);
    if (reserved) {
      link.mReserved.insert(aMessage.mReservation);
    }
  }
  mContext.send(aFrom, reserve_answer{ .mReservation = aMessage.mReservation,
                                       .mRequest = aMessage.mTasks.front().mKey.mRequest,
                                       .mReserved = reserved });
}

template<guard_policy Guards>
void placer_port<Guards>::handle(const incarnation_id& aFrom, const commit& aMessage)
{
  auto& link = mLinks[aFrom];
  if (!accepts(aFrom)) {
    return;
  }
  if (link.mCommitted.contains(aMessage.mReservation)) {
    link.mDue = true;
    return;
  }
  // A late copy of a commit finds no reservation and is not executed again.
  const bool committed = link.mReserved.erase(aMessage.mReservation) > 0 && mContext.mayDecide() &&
                         mContext.mPlacer.commit(aFrom, aMessage.mReservation, mContext.mNow);
  if (committed) {
    link.mCommitted.insert(aMessage.mReservation);
    link.mDue = true;
    return;
  }
  // The commit may have been executed and forgotten here; then the report shows the tasks.
  const auto held = mContext.mPlacer.reportFor(aFrom).mTasks;
  if (std::any_of(held.begin(), held.end(), [&aMessage](const placed_task& aTask) {
        return aTask.mKey.mRequest == aMessage.mRequest;
      })) {
    link.mDue = true;
    return;
  }
  mContext.mPlacer.release(aFrom, aMessage.mReservation);
  mContext.send(aFrom, reserve_answer{ .mReservation = aMessage.mReservation,
                                       .mRequest = aMessage.mRequest,
                                       .mReserved = false });
}

template<guard_policy Guards>
void placer_port<Guards>::handle(const incarnation_id& aFrom, const release& aMessage)
{
  if (mLinks[aFrom].mReserved.erase(aMessage.mReservation) > 0) {
    mContext.mPlacer.release(aFrom, aMessage.mReservation);
  }
}

template<guard_policy Guards>
void placer_port<Guards>::flush()
{
  for (const auto& coordinator : mContext.mPlacer.takeChangedCoordinators()) {
    mLinks[coordinator].mDue = true;
  }
  for (auto& [coordinator, link] : mLinks) {
    if (link.mDue &&
        (link.mSentAt == time_point{} || mContext.mNow - link.mSentAt >= link.mInterval)) {
      sendReport(coordinator, link);
    }
  }
}

template<guard_policy Guards>
void placer_port<Guards>::tick()
{
  if (mContext.mNow >= mNextReconciliationCheck) {
    mNextReconciliationCheck = mContext.mNow + kReconciliationCheckInterval;
    checkReconciliations();
    std::erase_if(mLinks, [this](const auto& aEntry) { return !accepts(aEntry.first); });
  }
  for (auto& [coordinator, link] : mLinks) {
    if (link.mUnacknowledged > 0 && mContext.mNow - link.mSentAt >= kRepeatInterval) {
      link.mDue = true;
    }
  }
}

template<guard_policy Guards>
task_report placer_port<Guards>::reportFor(const incarnation_id& aCoordinator,
                                           const coordinator_link& aLink)
{
  auto report = mContext.mPlacer.reportFor(aCoordinator);
  report.mCoordinator = aCoordinator;
  report.mSequence = ++mReportSequence;
  report.mControlOffset = mContext.control().next();
  if (!aLink.mAwaitingReconciliation.empty()) {
    std::set<task_key> found;
    for (const auto& task : report.mTasks) {
      found.insert(task.mKey);
    }
    for (const auto& [key, held] : aLink.mAwaitingReconciliation) {
      if (!found.contains(key)) {
        report.mTasks.push_back(
          { .mKey = key, .mAttempt = held.mTask.mAttempt, .mState = placed_state::starting });
      }
    }
  }
  for (const auto& [key, lost] : aLink.mLost) {
    report.mTasks.push_back(lost);
  }
  return report;
}

template<guard_policy Guards>
void placer_port<Guards>::sendReport(const incarnation_id& aCoordinator, coordinator_link& aLink)
{
  auto report = reportFor(aCoordinator, aLink);
  aLink.mDue = false;
  aLink.mSentAt = mContext.mNow;
  aLink.mInterval =
    std::min(kLargestInterval, kIntervalPerTask * static_cast<std::int64_t>(report.mTasks.size()));
  aLink.mUnacknowledged = static_cast<std::size_t>(
    std::count_if(report.mTasks.begin(), report.mTasks.end(),
                  [](const placed_task& aTask) { return isTerminal(aTask.mState); }));
  mContext.send(aCoordinator, std::move(report));
}

template<guard_policy Guards>
bool placer_port<Guards>::reconciled(const incarnation_id& aOrigin) const
{
  if (mReconciled.contains(aOrigin)) {
    return true;
  }
  for (const auto& failedOver : mContext.mMembership.failedOverMembers()) {
    if (failedOver.mDead == aOrigin) {
      return mContext.mNow >= failedOver.mEffectiveFrom &&
             mContext.mPlacer.reconciled(
               aOrigin, mContext.mMembership.reconciledElsewhere(failedOver.mOffset, mContext.mNow),
               failedOver.mConfirmedDead, failedOver.mEffectiveFrom, mContext.mNow);
    }
  }
  return false;
}

template<guard_policy Guards>
void placer_port<Guards>::checkReconciliations()
{
  std::map<incarnation_id, bool> reconciledByOrigin;
  for (const auto& failedOver : mContext.mMembership.failedOverMembers()) {
    if (!mReconciled.contains(failedOver.mDead) && reconciled(failedOver.mDead)) {
      mReconciled.insert(failedOver.mDead);
      mContext.mMembership.markReconciled(failedOver.mDead);
    }
  }
  for (auto& [coordinator, link] : mLinks) {
    if (link.mAwaitingReconciliation.empty()) {
      continue;
    }
    std::set<task_key> found;
    for (const auto& task : mContext.mPlacer.reportFor(coordinator).mTasks) {
      found.insert(task.mKey);
    }
    for (auto entry = link.mAwaitingReconciliation.begin();
         entry != link.mAwaitingReconciliation.end();) {
      const auto& origin = entry->second.mOrigin;
      auto cached = reconciledByOrigin.find(origin);
      if (cached == reconciledByOrigin.end()) {
        cached = reconciledByOrigin.emplace(origin, reconciled(origin)).first;
      }
      if (!cached->second) {
        ++entry;
        continue;
      }
      if (!found.contains(entry->first)) {
        link.mLost[entry->first] = { .mKey = entry->first,
                                     .mAttempt = entry->second.mTask.mAttempt,
                                     .mState = placed_state::unknown };
      }
      entry = link.mAwaitingReconciliation.erase(entry);
      link.mDue = true;
    }
  }
}

template<guard_policy Guards>
bool placer_port<Guards>::settled() const
{
  return std::none_of(mLinks.begin(), mLinks.end(), [](const auto& aEntry) {
    return aEntry.second.mUnacknowledged > 0 || aEntry.second.mDue;
  });
}

template<guard_policy Guards>
std::size_t placer_port<Guards>::awaitingReconciliation() const
{
  std::size_t count = 0;
  for (const auto& [coordinator, link] : mLinks) {
    count += link.mAwaitingReconciliation.size();
  }
  return count;
}

} // namespace endiveusher::internal
