#pragma once

#include "core_context.h"

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace endiveusher::internal {

/// Estimates the free capacity of every live member, from the local placer's summary and from the
/// gossip of the others, less the tasks delegated there since.
template<guard_policy Guards>
class member_capacity
{
public:
  explicit member_capacity(core_context<Guards>& aContext) : mContext(aContext) {}

  /// Updates the estimates from the summary and the latest gossip. Call before a series of
  /// placement choices.
  void refresh();

  /// Returns a member with free capacity for one task of aJob, and deducts the task. Prefers this
  /// daemon, then the one with more free slots of two random members.
  std::optional<incarnation_id> chooseWithFreeCapacity(const job_spec& aJob);
  /// Returns the member in whose queue a task of aJob should wait: this daemon if it may run the
  /// task, else the member with the most free slots; empty if no member may run it.
  std::optional<incarnation_id> chooseQueue(const job_spec& aJob) const;
  /// Whether aMember has free capacity for a task of aJob.
  bool hasFreeCapacity(const incarnation_id& aMember, const job_spec& aJob) const;
  void deduct(const incarnation_id& aMember, const job_spec& aJob, std::int64_t aTasks = 1);

  /// Number of tasks of aJob that fit into aMember's free (with aTotal: total) capacity and, with
  /// aWithinSlice, its unused slice. Sums over all its targets, so fragmentation is ignored.
  std::int64_t capacity(const incarnation_id& aMember, const job_spec& aJob, bool aTotal,
                        bool aWithinSlice) const;
  /// Members that may run aJob, this daemon first.
  std::vector<incarnation_id> allowed(const job_spec& aJob) const;
  /// Other members that have had free capacity for at least kSustainedCapacityPeriod.
  std::vector<incarnation_id> othersWithSustainedCapacity() const;

private:
  /// Time for which another member must have had free capacity before queued tasks are recalled to
  /// run there.
  static constexpr duration kSustainedCapacityPeriod = std::chrono::milliseconds(200);

  struct entry
  {
    zone_name mZone;
    resources mFree;
    resources mTotal;
    resources mLargestFree;
    std::map<team_name, limit_vector> mUnusedSlices;
    std::optional<time_point> mFreeSince;
    /// Probe number of the gossip that the numbers come from.
    std::uint64_t mProbe = 0;
    bool mIsLive = false;
  };
  void readSelf();
  /// Resources of the waiting tasks of a team that its unused slice allows to start. Tasks that
  /// wait because any component of the slice is used up do not occupy free capacity.
  static resources startable(const team_usage& aTeam);
  bool mayRun(const entry& aEntry, const job_spec& aJob) const;
  static bool sliceAllows(const entry& aEntry, const job_spec& aJob);
  bool fits(const entry& aEntry, const job_spec& aJob) const;

  core_context<Guards>& mContext;
  std::map<incarnation_id, entry> mEntries;
};

template<guard_policy Guards>
void member_capacity<Guards>::readSelf()
{
  const auto summary = mContext.mPlacer.summary();
  auto& self = mEntries[mContext.self()];
  self.mIsLive = !mContext.mStopping;
  self.mZone = mContext.mOptions.mZone;
  self.mFree = summary.mFree;
  self.mTotal = summary.mTotal;
  self.mLargestFree = summary.mLargestFree;
  self.mUnusedSlices.clear();
  for (const auto& team : summary.mTeams) {
    self.mUnusedSlices[team.mTeam] = team.mUnusedSlice;
    self.mFree -= startable(team);
  }
}

template<guard_policy Guards>
resources member_capacity<Guards>::startable(const team_usage& aTeam)
{
  const resources& waiting = aTeam.mWaiting;
  const limit_vector& unused = aTeam.mUnusedSlice;
  double part = 1.0;
  const auto bound = [&part](std::int64_t aWaiting, std::int64_t aUnused) {
    if (aWaiting > 0) {
      part = std::min(part, static_cast<double>(aUnused) / static_cast<double>(aWaiting));
    }
  };
  bound(waiting.mSlots, unused.mTasks);
  bound(waiting.mCpuMilli, unused.mCpuMilli);
  bound(waiting.mMemoryMb, unused.mMemoryMb);
  bound(waiting.mAccelerators, unused.mAccelerators);
  const auto scaled = [part](std::int64_t aAmount) {
    return static_cast<std::int64_t>(static_cast<double>(aAmount) * std::max(0.0, part));
  };
  return { .mSlots = scaled(waiting.mSlots),
           .mCpuMilli = scaled(waiting.mCpuMilli),
           .mMemoryMb = scaled(waiting.mMemoryMb),
           .mAccelerators = scaled(waiting.mAccelerators) };
}

template<guard_policy Guards>
void member_capacity<Guards>::refresh()
{
  for (auto& [name, entry] : mEntries) {
    entry.mIsLive = false;
  }
  readSelf();
  for (const auto& member : mContext.mMembership.live(mContext.mNow)) {
    const auto* gossip =
      member == mContext.self() ? nullptr : mContext.mMembership.lastGossip(member);
    if (gossip == nullptr || gossip->mLeaving || mContext.control().hasEnded(member)) {
      continue;
    }
    auto& entry = mEntries[member];
    entry.mIsLive = true;
    if (entry.mProbe == gossip->mProbe && entry.mProbe != 0) {
      continue;
    }
    entry.mProbe = gossip->mProbe;
    entry.mZone = gossip->mZone;
    entry.mFree = gossip->mFree;
    entry.mTotal = gossip->mTotal;
    entry.mLargestFree = gossip->mLargestFree;
    entry.mUnusedSlices.clear();
    resources waiting{ .mSlots = 0 };
    for (const auto& team : gossip->mTeams) {
      entry.mUnusedSlices[team.mTeam] = team.mUnusedSlice;
      waiting += startable(team);
    }
    entry.mFree -= waiting;
    const bool hasFreeCapacity = entry.mFree.mSlots > 0 && entry.mLargestFree.mSlots > 0;
    if (!hasFreeCapacity) {
      entry.mFreeSince.reset();
    } else if (!entry.mFreeSince) {
      entry.mFreeSince = mContext.mNow;
    }
  }
  std::erase_if(mEntries, [](const auto& aEntry) { return !aEntry.second.mIsLive; });
}

template<guard_policy Guards>
bool member_capacity<Guards>::mayRun(const entry& aEntry, const job_spec& aJob) const
{
  return mContext.control().zoneState(aEntry.mZone) == zone_state::in &&
         (aJob.mZones.empty() ||
          std::find(aJob.mZones.begin(), aJob.mZones.end(), aEntry.mZone) != aJob.mZones.end());
}

template<guard_policy Guards>
bool member_capacity<Guards>::sliceAllows(const entry& aEntry, const job_spec& aJob)
{
  const auto found = aEntry.mUnusedSlices.find(aJob.mTeam);
  if (found == aEntry.mUnusedSlices.end()) {
    return true;
  }
  const auto& slice = found->second;
  return slice.mTasks >= 1 && slice.mCpuMilli >= aJob.mPerTask.mCpuMilli &&
         slice.mMemoryMb >= aJob.mPerTask.mMemoryMb &&
         slice.mAccelerators >= aJob.mPerTask.mAccelerators;
}

template<guard_policy Guards>
bool member_capacity<Guards>::fits(const entry& aEntry, const job_spec& aJob) const
{
  return aJob.mPerTask.fitsIn(aEntry.mFree) && aJob.mPerTask.fitsIn(aEntry.mLargestFree) &&
         mayRun(aEntry, aJob) && sliceAllows(aEntry, aJob);
}

template<guard_policy Guards>
bool member_capacity<Guards>::hasFreeCapacity(const incarnation_id& aMember,
                                              const job_spec& aJob) const
{
  const auto found = mEntries.find(aMember);
  return found != mEntries.end() && fits(found->second, aJob);
}

template<guard_policy Guards>
void member_capacity<Guards>::deduct(const incarnation_id& aMember, const job_spec& aJob,
                                     std::int64_t aTasks)
{
  const auto found = mEntries.find(aMember);
  if (found == mEntries.end()) {
    return;
  }
  auto& entry = found->second;
  for (std::int64_t i = 0; i < aTasks; ++i) {
    entry.mFree -= aJob.mPerTask;
  }
  const auto slice = entry.mUnusedSlices.find(aJob.mTeam);
  if (slice == entry.mUnusedSlices.end()) {
    return;
  }
  const auto take = [aTasks](std::int64_t& aHeld, std::int64_t aAmount) {
    if (aHeld != limit_vector::kUnlimited) {
      aHeld -= aAmount * aTasks;
    }
  };
  take(slice->second.mTasks, 1);
  take(slice->second.mCpuMilli, aJob.mPerTask.mCpuMilli);
  take(slice->second.mMemoryMb, aJob.mPerTask.mMemoryMb);
  take(slice->second.mAccelerators, aJob.mPerTask.mAccelerators);
}

template<guard_policy Guards>
std::optional<incarnation_id> member_capacity<Guards>::chooseWithFreeCapacity(const job_spec& aJob)
{
  if (hasFreeCapacity(mContext.self(), aJob)) {
    deduct(mContext.self(), aJob);
    return mContext.self();
  }
  std::vector<const incarnation_id*> fitting;
  for (const auto& [member, entry] : mEntries) {
    if (member != mContext.self() && fits(entry, aJob)) {
      fitting.push_back(&member);
    }
  }
  if (fitting.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> pick(0, fitting.size() - 1);
  const auto& first = *fitting[pick(mContext.mRandom)];
  const auto& second = *fitting[pick(mContext.mRandom)];
  const auto& better =
    mEntries.at(first).mFree.mSlots >= mEntries.at(second).mFree.mSlots ? first : second;
  const auto chosen = better;
  deduct(chosen, aJob);
  return chosen;
}

template<guard_policy Guards>
std::optional<incarnation_id> member_capacity<Guards>::chooseQueue(const job_spec& aJob) const
{
  const auto self = mEntries.find(mContext.self());
  if (self != mEntries.end() && mayRun(self->second, aJob) && self->second.mTotal.mSlots > 0) {
    return mContext.self();
  }
  const incarnation_id* best = nullptr;
  std::int64_t bestFree = 0;
  for (const auto& [member, entry] : mEntries) {
    if (mayRun(entry, aJob) && entry.mTotal.mSlots > 0 &&
        (best == nullptr || entry.mFree.mSlots > bestFree)) {
      best = &member;
      bestFree = entry.mFree.mSlots;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return *best;
}

template<guard_policy Guards>
std::int64_t member_capacity<Guards>::capacity(const incarnation_id& aMember, const job_spec& aJob,
                                               bool aTotal, bool aWithinSlice) const
{
  const auto found = mEntries.find(aMember);
  if (found == mEntries.end() || !mayRun(found->second, aJob)) {
    return 0;
  }
  const auto& entry = found->second;
  const auto& sums = aTotal ? entry.mTotal : entry.mFree;
  if (!aTotal && !aJob.mPerTask.fitsIn(entry.mLargestFree)) {
    return 0;
  }
  std::int64_t tasks = std::max<std::int64_t>(0, sums.mSlots);
  const auto bound = [&tasks](std::int64_t aHeld, std::int64_t aPerTask) {
    if (aPerTask > 0) {
      tasks = std::min(tasks, std::max<std::int64_t>(0, aHeld) / aPerTask);
    }
  };
  bound(sums.mCpuMilli, aJob.mPerTask.mCpuMilli);
  bound(sums.mMemoryMb, aJob.mPerTask.mMemoryMb);
  bound(sums.mAccelerators, aJob.mPerTask.mAccelerators);
  const auto slice = entry.mUnusedSlices.find(aJob.mTeam);
  if (aWithinSlice && slice != entry.mUnusedSlices.end()) {
    bound(slice->second.mTasks, 1);
    bound(slice->second.mCpuMilli, aJob.mPerTask.mCpuMilli);
    bound(slice->second.mMemoryMb, aJob.mPerTask.mMemoryMb);
    bound(slice->second.mAccelerators, aJob.mPerTask.mAccelerators);
  }
  return tasks;
}

template<guard_policy Guards>
std::vector<incarnation_id> member_capacity<Guards>::allowed(const job_spec& aJob) const
{
  std::vector<incarnation_id> members;
  for (const auto& [member, entry] : mEntries) {
    if (mayRun(entry, aJob)) {
      members.push_back(member);
    }
  }
  const auto self = std::find(members.begin(), members.end(), mContext.self());
  if (self != members.end()) {
    std::rotate(members.begin(), self, self + 1);
  }
  return members;
}

template<guard_policy Guards>
std::vector<incarnation_id> member_capacity<Guards>::othersWithSustainedCapacity() const
{
  std::vector<incarnation_id> members;
  for (const auto& [member, entry] : mEntries) {
    if (member != mContext.self() && entry.mFreeSince &&
        mContext.mNow - *entry.mFreeSince >= kSustainedCapacityPeriod && entry.mFree.mSlots > 0) {
      members.push_back(member);
    }
  }
  return members;
}

} // namespace endiveusher::internal
