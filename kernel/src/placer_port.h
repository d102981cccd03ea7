#pragma once

#include "core_context.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace endiveusher::internal {

/// The receiving side of homes' messages: feeds the placer and reports its state to homes.
///
/// A task whose earlier placer has ended is held back until the sweep of that placer is complete,
/// because it may still run on one of its targets.
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
  /// Checks sweeps and repeats reports that were not acknowledged.
  void tick();

  /// Whether the sweep of an ended member that this daemon succeeds is complete.
  bool swept(const incarnation_id& aOrigin) const;

  /// No home waits for an acknowledgement of an end.
  bool settled() const;
  std::size_t awaitingSweep() const;

private:
  /// A report is repeated until its ends are acknowledged.
  static constexpr duration kRepeatInterval = std::chrono::milliseconds(500);
  static constexpr duration kSweepCheckInterval = std::chrono::milliseconds(100);
  /// Reports are full sets; their rate falls with their size.
  static constexpr duration kIntervalPerTask = std::chrono::microseconds(10);
  static constexpr duration kLargestInterval = std::chrono::milliseconds(500);

  struct held_task
  {
    task_attempt mTask;
    /// Ended placer that may have started the task.
    incarnation_id mOrigin;
  };
  struct home_link
  {
    /// Delegates and reserves below are void.
    std::uint64_t mClosedBefore = 0;
    std::set<std::uint64_t> mReserved;
    std::set<std::uint64_t> mCommitted;
    bool mDue = false;
    /// Ends in the last report that the home has not acknowledged.
    std::size_t mUnacknowledged = 0;
    time_point mSentAt{};
    duration mInterval{ 0 };
    /// Tasks held back for a sweep.
    std::map<task_key, held_task> mAwaiting;
    /// Tasks that a complete sweep has not found.
    std::map<task_key, placed_task> mLost;
  };

  bool accepts(const incarnation_id& aHome) const { return !mContext.control().hasEnded(aHome); }
  task_report reportFor(const incarnation_id& aHome, const home_link& aLink);
  void sendReport(const incarnation_id& aHome, home_link& aLink);
  void checkSweeps();

  core_context<Guards>& mContext;
  std::map<incarnation_id, home_link> mLinks;
  std::uint64_t mReportSequence = 0;
  time_point mNextSweepCheck{};
  /// Ended members whose sweep has been complete once.
  std::set<incarnation_id> mSwept;
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
    // Not yet applied here, or another member is the successor by now: the home repeats it.
    if (mContext.succeeds(origin) && !link.mLost.contains(task.mKey)) {
      link.mAwaiting.try_emplace(task.mKey, held_task{ .mTask = task, .mOrigin = origin });
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
  // A recall is always answered, so that a home can ask for a report with an empty one.
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
  // Only a reservation still held is committed; a late copy of the commit finds none.
  const bool committed = link.mReserved.erase(aMessage.mReservation) > 0 && mContext.mayDecide() &&
                         mContext.mPlacer.commit(aFrom, aMessage.mReservation, mContext.mNow);
  if (committed) {
    link.mCommitted.insert(aMessage.mReservation);
    link.mDue = true;
    return;
  }
  // After a commit that has been forgotten here, only the report tells the home the truth.
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
  for (const auto& home : mContext.mPlacer.takeChangedHomes()) {
    mLinks[home].mDue = true;
  }
  for (auto& [home, link] : mLinks) {
    if (link.mDue &&
        (link.mSentAt == time_point{} || mContext.mNow - link.mSentAt >= link.mInterval)) {
      sendReport(home, link);
    }
  }
}

template<guard_policy Guards>
void placer_port<Guards>::tick()
{
  if (mContext.mNow >= mNextSweepCheck) {
    mNextSweepCheck = mContext.mNow + kSweepCheckInterval;
    checkSweeps();
    std::erase_if(mLinks, [this](const auto& aEntry) { return !accepts(aEntry.first); });
  }
  for (auto& [home, link] : mLinks) {
    if (link.mUnacknowledged > 0 && mContext.mNow - link.mSentAt >= kRepeatInterval) {
      link.mDue = true;
    }
  }
}

template<guard_policy Guards>
task_report placer_port<Guards>::reportFor(const incarnation_id& aHome, const home_link& aLink)
{
  auto report = mContext.mPlacer.reportFor(aHome);
  report.mHome = aHome;
  report.mSequence = ++mReportSequence;
  report.mControlOffset = mContext.control().next();
  if (!aLink.mAwaiting.empty()) {
    std::set<task_key> found;
    for (const auto& task : report.mTasks) {
      found.insert(task.mKey);
    }
    for (const auto& [key, held] : aLink.mAwaiting) {
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
void placer_port<Guards>::sendReport(const incarnation_id& aHome, home_link& aLink)
{
  auto report = reportFor(aHome, aLink);
  aLink.mDue = false;
  aLink.mSentAt = mContext.mNow;
  aLink.mInterval =
    std::min(kLargestInterval, kIntervalPerTask * static_cast<std::int64_t>(report.mTasks.size()));
  aLink.mUnacknowledged = static_cast<std::size_t>(
    std::count_if(report.mTasks.begin(), report.mTasks.end(),
                  [](const placed_task& aTask) { return isOver(aTask.mState); }));
  mContext.send(aHome, std::move(report));
}

template<guard_policy Guards>
bool placer_port<Guards>::swept(const incarnation_id& aOrigin) const
{
  if (mSwept.contains(aOrigin)) {
    return true;
  }
  for (const auto& inherited : mContext.mMembership.inheritedMembers()) {
    if (inherited.mDead == aOrigin) {
      return mContext.mNow >= inherited.mActsFrom &&
             mContext.mPlacer.swept(
               aOrigin, mContext.mMembership.sweptElsewhere(inherited.mOffset, mContext.mNow),
               inherited.mProvedDead, inherited.mActsFrom, mContext.mNow);
    }
  }
  return false;
}

template<guard_policy Guards>
void placer_port<Guards>::checkSweeps()
{
  std::map<incarnation_id, bool> known;
  for (const auto& inherited : mContext.mMembership.inheritedMembers()) {
    if (!mSwept.contains(inherited.mDead) && swept(inherited.mDead)) {
      mSwept.insert(inherited.mDead);
      mContext.mMembership.markSwept(inherited.mDead);
    }
  }
  for (auto& [home, link] : mLinks) {
    if (link.mAwaiting.empty()) {
      continue;
    }
    std::set<task_key> found;
    for (const auto& task : mContext.mPlacer.reportFor(home).mTasks) {
      found.insert(task.mKey);
    }
    for (auto entry = link.mAwaiting.begin(); entry != link.mAwaiting.end();) {
      const auto& origin = entry->second.mOrigin;
      auto sweep = known.find(origin);
      if (sweep == known.end()) {
        sweep = known.emplace(origin, swept(origin)).first;
      }
      if (!sweep->second) {
        ++entry;
        continue;
      }
      if (!found.contains(entry->first)) {
        link.mLost[entry->first] = { .mKey = entry->first,
                                     .mAttempt = entry->second.mTask.mAttempt,
                                     .mState = placed_state::unknown };
      }
      entry = link.mAwaiting.erase(entry);
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
std::size_t placer_port<Guards>::awaitingSweep() const
{
  std::size_t count = 0;
  for (const auto& [home, link] : mLinks) {
    count += link.mAwaiting.size();
  }
  return count;
}

} // namespace endiveusher::internal
