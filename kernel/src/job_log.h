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

/// One record read from stream jobs.
struct job_news
{
  stored_record<job_record> mStored;
};

/// Appends to and reads stream jobs.
///
/// Records wait for the append in flight and go with the next one. A record counts as logged once
/// it has been read back. An append without an answer may take effect at any time, so its records
/// are appended again with the same ids if a later read to the end does not show them.
class job_log
{
public:
  /// Appends per second of all members together.
  static constexpr double kAppendsPerSecond = 150.0;
  static constexpr std::size_t kMaxBatch = 4000;
  static constexpr std::size_t kMaxBatchBytes = std::size_t{ 4 } * 1024 * 1024;

  explicit job_log(incarnation_id aSelf);

  void append(std::variant<accept_record, ended_record> aBody);
  /// Drops the accept record of an ended job, if it was never sent and many records wait. True if
  /// dropped; the record of the end is not needed then.
  bool withdraw(const request_id& aRequest);
  /// True if the event answers an append made here.
  bool handle(const append_event& aEvent, time_point aNow);
  void handle(const jobs_read_event& aEvent, time_point aNow);
  /// aMembers share the append rate.
  void tick(std::size_t aMembers, time_point aNow);

  std::vector<effect> takeEffects();
  /// Records in stream order; a record appended twice comes twice.
  std::vector<job_news> takeNews();

  /// The stream has been read to its end by a read sent at this time.
  time_point readToEndAt() const { return mReadToEndAt; }
  bool hasReadToEnd() const { return mReadToEndAt != time_point{}; }
  /// Lowest retained offset seen.
  log_offset first() const { return mFirst; }
  /// Whether the last read or append reached the log.
  bool reachable() const { return mReachable; }
  /// Nothing waits to be appended or read back.
  bool idle() const { return mQueue.empty() && mUnconfirmed.empty(); }
  std::size_t unconfirmed() const { return mQueue.size() + mUnconfirmed.size(); }

private:
  struct unconfirmed_record
  {
    job_record mRecord;
    /// Time of the latest answer; a read to the end sent later must show the record.
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
  std::vector<job_news> mNews;
};

} // namespace endiveusher::internal
