#include "job_replica.h"

#include "endiveusher/kernel/back_off.h"

#include <exception>
#include <fmt/format.h>

#include <utility>

namespace endiveusher::node {

job_replica::job_replica(platform::store& aStore, const clock& aClock, event_log& aLog,
                         loop_profiler& aProfiler, job_replica_options aOptions,
                         callbacks aCallbacks)
  : mClock(aClock), mLog(aLog), mProfiler(aProfiler), mCallbacks(std::move(aCallbacks)),
    mSnapshots(aStore, aClock, std::move(aOptions.mSnapshotTopic)),
    mTail(aStore, aClock,
          { .mTopic = std::move(aOptions.mJournalTopic), .mInterval = kJournalReadInterval },
          { .mOnRecords = [this](const auto& aRecords,
                                 std::uint64_t aOffset) { readRecords(aRecords, aOffset); },
            .mOnGap = [this](std::uint64_t aFirst) { onGap(aFirst); },
            .mOnEvent = [this](std::string_view aEvent,
                               std::string_view aDetail) { mLog.write(aEvent, aDetail); } })
{
}

void job_replica::load()
{
  mTable.clear();
  mFollows = true;
  mLacksRecords = false;
  mHasLost = false;
  mTail.restart(0);
  mCallbacks.mOnEmptied();
  mSnapshots.load([this](const std::optional<snapshot>& aFound) { onLoaded(aFound); });
}

void job_replica::drop()
{
  mTable.clear();
  mFollows = false;
  mSnapshots.cancel();
  // A reply to the read in flight is ignored.
  mTail.restart(0);
  mCallbacks.mOnEmptied();
}

void job_replica::onLoaded(const std::optional<snapshot>& aFound)
{
  const auto base = aFound ? aFound->mBase : 0;
  mBase = base;
  mHasUnreadable = aFound && aFound->mUnreadable > 0;
  if (aFound) {
    for (const auto& record : aFound->mRecords) {
      applyToTable(record, base);
    }
    mTail.restart(base);
  }
  mLog.write("state_loaded",
             fmt::format("base={} jobs={} writer={} parts={} records={} unreadable={} topic_end={}",
                         base, mTable.size(), aFound ? aFound->mWriter : 0,
                         aFound ? aFound->mParts : 0, aFound ? aFound->mRecords.size() : 0,
                         aFound ? aFound->mUnreadable : 0, mSnapshots.next()));
  mCallbacks.mOnLoaded(base, mSnapshots.next());
}

void job_replica::tick(time_point aNow)
{
  mSnapshots.tick(aNow);
  if (mFollows && !mSnapshots.active()) {
    mTail.tick(aNow);
  }
}

void job_replica::readNow()
{
  if (!mSnapshots.active()) {
    mTail.restart(mTail.next());
  }
}

void job_replica::readRecords(const std::vector<std::string>& aRecords, std::uint64_t aOffset)
{
  const loop_profiler::scope storing(mProfiler, loop_phase::store);
  std::exception_ptr firstError;
  for (std::size_t index = 0; index < aRecords.size(); ++index) {
    const auto record = scheduler::decodeRecord(aRecords[index]);
    if (!record.ok()) {
      ++mPassedOver;
      mLog.write("bad_record", fmt::format("topic=journal offset={} error=\"{}\"", aOffset + index,
                                           std::string(record.status().message())));
      continue;
    }
    if (!mTable.hasPlaceFor(*record) &&
        onUnplaced(*record, aOffset + index, aOffset + aRecords.size())) {
      return;
    }
    try {
      applyRead(*record, aOffset + index);
    } catch (const std::exception& error) {
      // The records behind it are not read again.
      firstError = firstError ? firstError : std::current_exception();
      mLog.write("change_not_followed", fmt::format("offset={} error=\"{}\" {}", aOffset + index,
                                                    error.what(), scheduler::describe(*record)));
    }
  }
  if (firstError) {
    std::rethrow_exception(firstError);
  }
}

scheduler::job* job_replica::applyToTable(const scheduler::journal_record& aRecord,
                                          std::uint64_t aOffset)
{
  try {
    return mTable.apply(aRecord, mClock.now());
  } catch (const std::exception& error) {
    // Each daemon that reads it would fail in the same way, and no owner could begin.
    ++mPassedOver;
    mLog.write("bad_record", fmt::format("topic=journal offset={} error=\"{}\" {}", aOffset,
                                         error.what(), scheduler::describe(aRecord)));
    return nullptr;
  }
}

void job_replica::applyRead(const scheduler::journal_record& aRecord, std::uint64_t aOffset)
{
  if (const auto* cancelled = std::get_if<scheduler::job_cancelled>(&aRecord)) {
    const auto* known = mTable.find(cancelled->mJob);
    mLog.write("cancellation_read",
               fmt::format("job={} offset={} phase={} max_age_ms={}", toText(cancelled->mJob),
                           aOffset, known == nullptr ? -1 : static_cast<int>(known->mPhase),
                           (mClock.now() - mTail.recordsSince()) / std::chrono::milliseconds(1)));
  }
  // Null for this owner's records, which were applied to the table when they were created.
  if (auto* changed = applyToTable(aRecord, aOffset)) {
    mCallbacks.mOnChanged(*changed);
  }
}

void job_replica::onGap(std::uint64_t aFirst)
{
  const bool loading = !mTail.caughtUp();
  const bool isLost = loading && mGapBehind == mBase && !mHasUnreadable;
  mLog.write("journal_gap", fmt::format("first_offset={} base={} lost={}", aFirst, mBase, isLost));
  mGapBehind = loading && !isLost ? std::optional(mBase) : std::nullopt;
  if (!isLost) {
    mCallbacks.mOnIncomplete("journal records were deleted before they were read");
    return;
  }
  // Records are deleted after a newer snapshot was stored, which a second load would have found: so
  // they have expired. What the snapshot says of its jobs may have been changed by them.
  mTable.clear();
  mHasLost = true;
}

bool job_replica::onUnplaced(const scheduler::journal_record& aRecord, std::uint64_t aOffset,
                             std::uint64_t aReadEnd)
{
  const auto now = mClock.now();
  const bool reloads = aOffset >= mCheckedUpTo && mNextReload <= now;
  ++mPassedOver;
  mLog.write("unplaced_record", fmt::format("offset={} reloads={} {}", aOffset, reloads,
                                            scheduler::describe(aRecord)));
  if (reloads) {
    mLacksRecords = true;
    mCheckedUpTo = aReadEnd;
    mNextReload = now + doubled(kMinReloadInterval, mReloads++, kMaxReloadInterval);
    mCallbacks.mOnIncomplete("a record of the journal refers to what the job table lacks");
  }
  return reloads;
}

} // namespace endiveusher::node
