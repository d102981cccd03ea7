#include "job_log.h"

#include "control_writer.h"

#include <algorithm>
#include <utility>

namespace endiveusher::internal {

namespace {

constexpr duration kIdleReadInterval = std::chrono::seconds(1);
constexpr duration kRetryInterval = std::chrono::milliseconds(200);
/// Time after which an answer is treated as lost; the timeout of the edge is shorter.
constexpr duration kAnswerTimeout = std::chrono::seconds(10);

std::size_t sizeOf(const job_record& aRecord)
{
  // Estimated size of a record without its command, bytes.
  constexpr std::size_t kOverhead = 300;
  const auto* accept = std::get_if<accept_record>(&aRecord.mBody);
  return kOverhead + (accept == nullptr ? 0 : accept->mJob.mCommand.size());
}

} // namespace

job_log::job_log(incarnation_id aSelf) : mSelf(std::move(aSelf)) {}

void job_log::append(std::variant<accept_record, ended_record> aBody)
{
  if (const auto* accept = std::get_if<accept_record>(&aBody)) {
    mUnsent.insert(accept->mJob.mRequest);
  }
  mQueue.push_back(
    { .mId = mSelf + "/j" + std::to_string(mNextRecord++), .mBody = std::move(aBody) });
}

bool job_log::isWithdrawn(const job_record& aRecord) const
{
  const auto* accept = std::get_if<accept_record>(&aRecord.mBody);
  return accept != nullptr && mWithdrawn.contains(accept->mJob.mRequest);
}

bool job_log::withdraw(const request_id& aRequest)
{
  if (mQueue.size() <= kMaxBatch || mUnsent.erase(aRequest) == 0) {
    return false;
  }
  mWithdrawn.insert(aRequest);
  // In a long outage most records in the queue are withdrawn.
  if (mWithdrawn.size() * 2 > mQueue.size()) {
    std::erase_if(mQueue, [this](const job_record& aRecord) { return isWithdrawn(aRecord); });
    mWithdrawn.clear();
  }
  return true;
}

bool job_log::handle(const append_event& aEvent, time_point aNow)
{
  if (aEvent.mAppendId >= control_writer::kIdBase) {
    return false;
  }
  if (aEvent.mAppendId != mAppendId) {
    return true;
  }
  mAppendId = 0;
  mReachable = aEvent.mStatus == append_status::stored;
  // Rejected records return to the front of the queue, so that the accept record of a job stays
  // before its ended record.
  for (auto id = mInFlight.rbegin(); id != mInFlight.rend(); ++id) {
    const auto found = mUnconfirmed.find(*id);
    if (found == mUnconfirmed.end()) {
      continue;
    }
    if (aEvent.mStatus == append_status::rejected) {
      mQueue.push_front(std::move(found->second.mRecord));
      mUnconfirmed.erase(found);
      continue;
    }
    found->second.mInFlight = false;
    found->second.mAnsweredAt = aNow;
  }
  mInFlight.clear();
  if (aEvent.mStatus != append_status::stored) {
    mRetryAppendAt = aNow + kRetryInterval;
  }
  // Reads back at once; a read that is already in flight may not return the record.
  mNextReadAt = aEvent.mStatus == append_status::rejected ? mNextReadAt : aNow;
  return true;
}

void job_log::handle(const jobs_read_event& aEvent, time_point aNow)
{
  if (aEvent.mReadId != mReadId || mReadId == 0) {
    return;
  }
  mReadId = 0;
  if (!aEvent.mPage) {
    mReachable = false;
    mNextReadAt = aNow + kRetryInterval;
    return;
  }
  mReachable = true;
  const auto& page = *aEvent.mPage;
  mFirst = std::max(mFirst, page.mFirst);
  // Records below the first retained offset no longer exist.
  mCursor = std::max(mCursor, page.mFirst);
  for (const auto& record : page.mRecords) {
    if (record.mOffset < mCursor) {
      continue;
    }
    mCursor = record.mOffset + 1;
    mUnconfirmed.erase(record.mRecord.mId);
    mReadRecords.push_back({ record });
  }
  if (mCursor < page.mEnd) {
    mNextReadAt = page.mRecords.empty() ? aNow + kRetryInterval : aNow;
    return;
  }
  mReadToEndAt = mReadSentAt;
  requeueMissing();
  mNextReadAt = mUnconfirmed.empty() ? aNow + kIdleReadInterval : aNow + kRetryInterval / 10;
}

void job_log::requeueMissing()
{
  for (auto entry = mUnconfirmed.begin(); entry != mUnconfirmed.end();) {
    if (!entry->second.mInFlight && entry->second.mAnsweredAt <= mReadToEndAt) {
      mQueue.push_front(std::move(entry->second.mRecord));
      entry = mUnconfirmed.erase(entry);
    } else {
      ++entry;
    }
  }
}

void job_log::tick(std::size_t aMembers, time_point aNow)
{
  if (mAppendId != 0 && aNow - mAppendedAt > kAnswerTimeout) {
    handle(append_event{ .mAppendId = mAppendId, .mStatus = append_status::unknown }, aNow);
  }
  if (mReadId != 0 && aNow - mReadSentAt > kAnswerTimeout) {
    handle(jobs_read_event{ .mReadId = mReadId }, aNow);
  }
  sendAppend(aMembers, aNow);
  sendRead(aNow);
}

void job_log::sendAppend(std::size_t aMembers, time_point aNow)
{
  const auto interval = std::chrono::duration_cast<duration>(std::chrono::duration<double>(
    static_cast<double>(std::max<std::size_t>(1, aMembers)) / kAppendsPerSecond));
  if (mAppendId != 0 || mQueue.empty() || aNow < mRetryAppendAt ||
      (mAppendedAt != time_point{} && aNow - mAppendedAt < interval)) {
    return;
  }
  append_jobs_effect effect{ .mAppendId = ++mNextId };
  std::size_t bytes = 0;
  while (!mQueue.empty() && effect.mRecords.size() < kMaxBatch && bytes < kMaxBatchBytes) {
    auto record = std::move(mQueue.front());
    mQueue.pop_front();
    if (isWithdrawn(record)) {
      mWithdrawn.erase(std::get<accept_record>(record.mBody).mJob.mRequest);
      continue;
    }
    if (const auto* accept = std::get_if<accept_record>(&record.mBody)) {
      mUnsent.erase(accept->mJob.mRequest);
    }
    bytes += sizeOf(record);
    effect.mRecords.push_back(record);
    mInFlight.push_back(record.mId);
    const auto id = record.mId;
    mUnconfirmed[id] = { .mRecord = std::move(record), .mInFlight = true };
  }
  if (effect.mRecords.empty()) {
    return;
  }
  mAppendId = effect.mAppendId;
  mAppendedAt = aNow;
  mEffects.emplace_back(std::move(effect));
}

void job_log::sendRead(time_point aNow)
{
  if (mReadId != 0 || aNow < mNextReadAt) {
    return;
  }
  mReadId = ++mNextId;
  mReadSentAt = aNow;
  mEffects.emplace_back(
    read_effect{ .mReadId = mReadId, .mStream = log_stream::jobs, .mFrom = mCursor });
}

std::vector<effect> job_log::takeEffects()
{
  return std::exchange(mEffects, {});
}

std::vector<read_job_record> job_log::takeRecords()
{
  return std::exchange(mReadRecords, {});
}

} // namespace endiveusher::internal
