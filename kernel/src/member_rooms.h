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

/// Estimates the free room of every live member: the own placer's summary, others' gossip, less
/// what was delegated there since.
template<guard_policy Guards>
class member_rooms
{
public:
  explicit member_rooms(core_context<Guards>& aContext) : mContext(aContext) {}

  /// Reads the summary and the gossip again. Call before a round of choices.
  void refresh();

  /// Member for one task of aJob that has room for it now; the room is deducted. Self goes first,
  /// then the better of two random members.
  std::optional<incarnation_id> chooseWithRoom(const job_spec& aJob);
  /// Member in whose queue a task of aJob waits best; empty if none may run it.
  std::optional<incarnation_id> chooseQueue(const job_spec& aJob) const;
  /// Whether aMember has room for a task of aJob.
  bool hasRoom(const incarnation_id& aMember, const job_spec& aJob) const;
  void deduct(const incarnation_id& aMember, const job_spec& aJob, std::int64_t aTasks = 1);

  /// Tasks of aJob that fit into aMember's free (or, with aTotal, whole) room and its unused slice,
  /// by its sums.
  std::int64_t capacity(const incarnation_id& aMember, const job_spec& aJob, bool aTotal) const;
  /// Part of this daemon's slice of aTeam that is not charged; unlimited if not known.
  limit_vector unusedSlice(const team_name& aTeam) const
  {
    const auto self = mRooms.find(mContext.self());
    if (self == mRooms.end()) {
      return {};
    }
    const auto found = self->second.mUnusedSlices.find(aTeam);
    return found == self->second.mUnusedSlices.end() ? limit_vector{} : found->second;
  }
  /// Members that may run aJob, this daemon first.
  std::vector<incarnation_id> allowed(const job_spec& aJob) const;
  /// Others that have had room for kRoomPeriod.
  std::vector<incarnation_id> othersWithLastingRoom() const;

private:
  /// How long another member must have had room before queued tasks are recalled for it.
  static constexpr duration kRoomPeriod = std::chrono::milliseconds(200);

  struct room
  {
    zone_name mZone;
    resources mFree;
    resources mTotal;
    resources mLargest;
    std::map<team_name, limit_vector> mUnusedSlices;
    std::optional<time_point> mRoomSince;
    /// Probe number of the gossip read.
    std::uint64_t mProbe = 0;
    bool mSeen = false;
  };
  void readSelf();
  bool mayRun(const room& aRoom, const job_spec& aJob) const;
  static bool sliceAllows(const room& aRoom, const job_spec& aJob);
  bool fits(const room& aRoom, const job_spec& aJob) const;

  core_context<Guards>& mContext;
  std::map<incarnation_id, room> mRooms;
};

template<guard_policy Guards>
void member_rooms<Guards>::readSelf()
{
  const auto summary = mContext.mPlacer.summary();
  auto& self = mRooms[mContext.self()];
  self.mSeen = !mContext.mStopping;
  self.mZone = mContext.mOptions.mZone;
  self.mFree = summary.mFree;
  self.mTotal = summary.mTotal;
  self.mLargest = summary.mLargestRoom;
  self.mUnusedSlices.clear();
  for (const auto& team : summary.mTeams) {
    self.mUnusedSlices[team.mTeam] = team.mUnusedSlice;
    // Work that waits for lack of slice leaves its room to others.
    if (team.mUnusedSlice.mTasks > 0) {
      self.mFree -= team.mWaiting;
    }
  }
}

template<guard_policy Guards>
void member_rooms<Guards>::refresh()
{
  for (auto& [name, room] : mRooms) {
    room.mSeen = false;
  }
  readSelf();
  for (const auto& member : mContext.mMembership.live(mContext.mNow)) {
    const auto* gossip =
      member == mContext.self() ? nullptr : mContext.mMembership.lastGossip(member);
    if (gossip == nullptr || gossip->mLeaving || mContext.control().hasEnded(member)) {
      continue;
    }
    auto& room = mRooms[member];
    room.mSeen = true;
    if (room.mProbe == gossip->mProbe && room.mProbe != 0) {
      continue;
    }
    room.mProbe = gossip->mProbe;
    room.mZone = gossip->mZone;
    room.mFree = gossip->mFree;
    room.mTotal = gossip->mTotal;
    room.mLargest = gossip->mLargestRoom;
    room.mUnusedSlices.clear();
    resources waiting{ .mSlots = 0 };
    for (const auto& team : gossip->mTeams) {
      room.mUnusedSlices[team.mTeam] = team.mUnusedSlice;
      if (team.mUnusedSlice.mTasks > 0) {
        waiting += team.mWaiting;
      }
    }
    room.mFree -= waiting;
    const bool hasRoom = room.mFree.mSlots > 0 && room.mLargest.mSlots > 0;
    if (!hasRoom) {
      room.mRoomSince.reset();
    } else if (!room.mRoomSince) {
      room.mRoomSince = mContext.mNow;
    }
  }
  std::erase_if(mRooms, [](const auto& aEntry) { return !aEntry.second.mSeen; });
}

template<guard_policy Guards>
bool member_rooms<Guards>::mayRun(const room& aRoom, const job_spec& aJob) const
{
  return mContext.control().zoneState(aRoom.mZone) == zone_state::in &&
         (aJob.mZones.empty() ||
          std::find(aJob.mZones.begin(), aJob.mZones.end(), aRoom.mZone) != aJob.mZones.end());
}

template<guard_policy Guards>
bool member_rooms<Guards>::sliceAllows(const room& aRoom, const job_spec& aJob)
{
  const auto found = aRoom.mUnusedSlices.find(aJob.mTeam);
  if (found == aRoom.mUnusedSlices.end()) {
    return true;
  }
  const auto& slice = found->second;
  return slice.mTasks >= 1 && slice.mCpuMilli >= aJob.mPerTask.mCpuMilli &&
         slice.mMemoryMb >= aJob.mPerTask.mMemoryMb &&
         slice.mAccelerators >= aJob.mPerTask.mAccelerators;
}

template<guard_policy Guards>
bool member_rooms<Guards>::fits(const room& aRoom, const job_spec& aJob) const
{
  return aJob.mPerTask.fitsIn(aRoom.mFree) && aJob.mPerTask.fitsIn(aRoom.mLargest) &&
         mayRun(aRoom, aJob) && sliceAllows(aRoom, aJob);
}

template<guard_policy Guards>
bool member_rooms<Guards>::hasRoom(const incarnation_id& aMember, const job_spec& aJob) const
{
  const auto found = mRooms.find(aMember);
  return found != mRooms.end() && fits(found->second, aJob);
}

template<guard_policy Guards>
void member_rooms<Guards>::deduct(const incarnation_id& aMember, const job_spec& aJob,
                                  std::int64_t aTasks)
{
  const auto found = mRooms.find(aMember);
  if (found == mRooms.end()) {
    return;
  }
  auto& room = found->second;
  for (std::int64_t i = 0; i < aTasks; ++i) {
    room.mFree -= aJob.mPerTask;
  }
  const auto slice = room.mUnusedSlices.find(aJob.mTeam);
  if (slice == room.mUnusedSlices.end()) {
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
std::optional<incarnation_id> member_rooms<Guards>::chooseWithRoom(const job_spec& aJob)
{
  if (hasRoom(mContext.self(), aJob)) {
    deduct(mContext.self(), aJob);
    return mContext.self();
  }
  std::vector<const incarnation_id*> fitting;
  for (const auto& [member, room] : mRooms) {
    if (member != mContext.self() && fits(room, aJob)) {
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
    mRooms.at(first).mFree.mSlots >= mRooms.at(second).mFree.mSlots ? first : second;
  const auto chosen = better;
  deduct(chosen, aJob);
  return chosen;
}

template<guard_policy Guards>
std::optional<incarnation_id> member_rooms<Guards>::chooseQueue(const job_spec& aJob) const
{
  const auto self = mRooms.find(mContext.self());
  if (self != mRooms.end() && mayRun(self->second, aJob) && self->second.mTotal.mSlots > 0) {
    return mContext.self();
  }
  const incarnation_id* best = nullptr;
  std::int64_t bestFree = 0;
  for (const auto& [member, room] : mRooms) {
    if (mayRun(room, aJob) && room.mTotal.mSlots > 0 &&
        (best == nullptr || room.mFree.mSlots > bestFree)) {
      best = &member;
      bestFree = room.mFree.mSlots;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return *best;
}

template<guard_policy Guards>
std::int64_t member_rooms<Guards>::capacity(const incarnation_id& aMember, const job_spec& aJob,
                                            bool aTotal) const
{
  const auto found = mRooms.find(aMember);
  if (found == mRooms.end() || !mayRun(found->second, aJob)) {
    return 0;
  }
  const auto& room = found->second;
  const auto& sums = aTotal ? room.mTotal : room.mFree;
  if (!aTotal && !aJob.mPerTask.fitsIn(room.mLargest)) {
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
  const auto slice = room.mUnusedSlices.find(aJob.mTeam);
  if (slice != room.mUnusedSlices.end()) {
    bound(slice->second.mTasks, 1);
    bound(slice->second.mCpuMilli, aJob.mPerTask.mCpuMilli);
    bound(slice->second.mMemoryMb, aJob.mPerTask.mMemoryMb);
    bound(slice->second.mAccelerators, aJob.mPerTask.mAccelerators);
  }
  return tasks;
}

template<guard_policy Guards>
std::vector<incarnation_id> member_rooms<Guards>::allowed(const job_spec& aJob) const
{
  std::vector<incarnation_id> members;
  for (const auto& [member, room] : mRooms) {
    if (mayRun(room, aJob)) {
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
std::vector<incarnation_id> member_rooms<Guards>::othersWithLastingRoom() const
{
  std::vector<incarnation_id> members;
  for (const auto& [member, room] : mRooms) {
    if (member != mContext.self() && room.mRoomSince &&
        mContext.mNow - *room.mRoomSince >= kRoomPeriod && room.mFree.mSlots > 0) {
      members.push_back(member);
    }
  }
  return members;
}

} // namespace endiveusher::internal
