#pragma once

#include "endiveusher/kernel/events.h"
#include "endiveusher/kernel/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

namespace endiveusher::internal {

/// A record read from stream jobs.
struct read_job_record
{
  stored_record<job_record> mStored;
};

/// Appends to and reads stream jobs.
///
/// Records added while an append is in flight are sent with the next one. A record counts as logged
/// once it has been read back. An unanswered append may take effect at any time, so its records are
/// appended again with the same ids if a later read to the end does not return them.
class job_log
{
public:
  /// Largest number of appends per second, over all members.
  static constexpr double kAppendsPerSecond = 150.0;
  /// Largest number of records in one append.
  static constexpr std::size_t kMaxBatch = 4000;
  static constexpr std::size_t kMaxBatchBytes = std::size_t{ 4 } * 1024 * 1024;

  explicit job_log(incarnation_id aSelf);

  void append(std::variant<accept_record, ended_record> aBody);
  /// Drops the accept record of an ended job if it was never sent and more than kMaxBatch records
  /// wait. Returns whether it was dropped; the ended record is not needed then.
  bool withdraw(const request_id& aRequest);
  /// Returns whether the event answers an append of stream jobs.
  bool handle(const append_event& aEvent, time_point aNow);
  void handle(const jobs_read_event& aEvent, time_point aNow);
  /// Sends the appends and reads that are due. The append rate is divided by aMembers.
  void tick(std::size_t aMembers, time_point aNow);

  std::vector<effect> takeEffects();
  /// Removes and returns the records read, in stream order; a record appended twice occurs twice.
  std::vector<read_job_record> takeRecords();

  /// Sending time of the latest read that reached the end of the stream.
  time_point readToEndAt() const { return mReadToEndAt; }
  bool hasReadToEnd() const { return mReadToEndAt != time_point{}; }
  /// Lowest retained offset of the stream, as far as known.
  log_offset first() const { return mFirst; }
  /// Whether the last read or append reached the log.
  bool reachable() const { return mReachable; }
  /// Whether no record waits to be appended or read back.
  bool idle() const { return mQueue.empty() && mUnconfirmed.empty(); }
  std::size_t unconfirmed() const { return mQueue.size() + mUnconfirmed.size(); }

private:
  struct unconfirmed_record
  {
    job_record mRecord;
    /// Time of the latest answer; a read to the end that is sent later must return the record.
    time_point mAnsweredAt{};
    bool mInFlight = false;
  };

  void sendAppend(std::size_t aMembers, time_point aNow);
  void sendRead(time_point aNow);
  void requeueMissing();
  bool isWithdrawn(const job_record& aRecord) const;

  incarnation_id mSelf;
  std::uint64_t mNextRecord = 1;
  std::uint64_t mNextId = 0;
  std::deque<job_record> mQueue;
  /// Requests whose accept records wait for their first append.
  std::unordered_set<request_id> mUnsent;
  std::unordered_set<request_id> mWithdrawn;
  std::map<std::string, unconfirmed_record> mUnconfirmed;
  std::vector<std::string> mInFlight;
  std::uint64_t mAppendId = 0;
  time_point mAppendedAt{};
  time_point mRetryAppendAt{};

  std::uint64_t mReadId = 0;
  time_point mReadSentAt{};
  time_point mNextReadAt{};
  time_point mReadToEndAt{};
  log_offset mCursor = 0;
  log_offset mFirst = 0;
  bool mReachable = false;

  std::vector<effect> mEffects;
  std::vector<read_job_record> mReadRecords;
};

} // namespace endiveusher::internal
