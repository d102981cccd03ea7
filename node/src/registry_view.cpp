#include "registry_view.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace endiveusher::node {

namespace {

/// Minimum time between two log lines on the capacity of one target; targets write their entries
/// about once a second.
constexpr std::chrono::milliseconds kCapacityLogInterval{ 1000 };

} // namespace

registry_view::registry_view(event_log& aLog, const clock& aClock, callbacks aCallbacks)
  : mLog(aLog), mClock(aClock), mCallbacks(std::move(aCallbacks))
{
}

void registry_view::read(const std::vector<std::string>& aRecords, time_point aSince)
{
  for (const auto& bytes : aRecords) {
    if (const auto record = platform::decodeKeyed(bytes)) {
      if (readRecord(*record)) {
        mCallbacks.mOnWritten(record->mKey, aSince);
      } else if (!record->mValue) {
        mCallbacks.mOnRemoved(record->mKey);
      }
    } else {
      mLog.write("bad_record", "topic=registry error=\"no key\"");
    }
  }
}

void registry_view::replace(const std::vector<platform::keyed_record>& aRecords)
{
  std::set<std::string> listed;
  for (const auto& record : aRecords) {
    listed.insert(record.mKey);
  }
  std::vector<std::string> gone;
  for (const auto& [id, entry] : mTargets) {
    if (!listed.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const auto& id : gone) {
    unlist(id);
  }
  for (const auto& record : aRecords) {
    readRecord(record);
  }
}

bool registry_view::readRecord(const platform::keyed_record& aRecord)
{
  if (!aRecord.mValue) {
    unlist(aRecord.mKey);
    return false;
  }
  auto entry = platform::decodeTargetEntry(aRecord.mKey, *aRecord.mValue);
  if (!entry.ok()) {
    if (mUnusable.insert(aRecord.mKey).second) {
      mLog.write("bad_entry", fmt::format("target={} error=\"{}\"", aRecord.mKey,
                                          std::string(entry.status().message())));
    }
    unlist(aRecord.mKey);
    return false;
  }
  const auto known = mTargets.find(aRecord.mKey);
  if (known == mTargets.end() || known->second.mDraining != entry->mDraining) {
    mLog.write("target_listed",
               fmt::format("target={} zone={} pool={} draining={} cpu={} mem={} born={}",
                           entry->mId, entry->mZone, entry->mPool, entry->mDraining,
                           entry->mCapacity.mCpuMilli, entry->mCapacity.mMemoryMb,
                           entry->mIncarnationStart));
  }
  logCapacity(*entry);
  updateLargestCapacity(*entry);
  mCallbacks.mOnListed(*entry);
  mTargets[aRecord.mKey] = *std::move(entry);
  return true;
}

void registry_view::logCapacity(const scheduler::target_entry& aEntry)
{
  const auto [at, isNew] =
    mLoggedCapacity.try_emplace(aEntry.mId, logged_capacity{ .mCapacity = aEntry.mCapacity });
  auto& logged = at->second;
  const auto now = mClock.now();
  if (isNew || logged.mCapacity == aEntry.mCapacity || logged.mNextLog > now) {
    return;
  }
  mLog.write("target_capacity",
             fmt::format("target={} old_cpu={} cpu={} old_mem={} mem={} old_gpu={} gpu={}",
                         aEntry.mId, logged.mCapacity.mCpuMilli, aEntry.mCapacity.mCpuMilli,
                         logged.mCapacity.mMemoryMb, aEntry.mCapacity.mMemoryMb,
                         logged.mCapacity.mAccelerators, aEntry.mCapacity.mAccelerators));
  logged = { .mCapacity = aEntry.mCapacity, .mNextLog = now + kCapacityLogInterval };
}

void registry_view::updateLargestCapacity(const scheduler::target_entry& aEntry)
{
  auto& largest = mLargestCapacity[aEntry.mId];
  if (largest.mIncarnationStart != aEntry.mIncarnationStart) {
    largest = { .mIncarnationStart = aEntry.mIncarnationStart, .mCapacity = {} };
  }
  auto& most = largest.mCapacity;
  most.mCpuMilli = std::max(most.mCpuMilli, aEntry.mCapacity.mCpuMilli);
  most.mMemoryMb = std::max(most.mMemoryMb, aEntry.mCapacity.mMemoryMb);
  most.mAccelerators = std::max(most.mAccelerators, aEntry.mCapacity.mAccelerators);
}

void registry_view::unlist(const std::string& aId)
{
  mLoggedCapacity.erase(aId);
  mLargestCapacity.erase(aId);
  if (mTargets.erase(aId) > 0) {
    mLog.write("target_unlisted", fmt::format("target={}", aId));
    mCallbacks.mOnUnlisted(aId);
  }
}

cell_capacity registry_view::capacity() const
{
  cell_capacity capacity;
  for (const auto& [id, entry] : mTargets) {
    auto& pool = capacity.mPools[entry.mPool];
    const auto& largest = mLargestCapacity.at(id).mCapacity;
    if (std::ranges::find(pool, largest) == pool.end()) {
      pool.push_back(largest);
    }
  }
  return capacity;
}

} // namespace endiveusher::node
