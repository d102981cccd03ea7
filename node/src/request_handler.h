#pragma once

#include "admission.h"
#include "caller_record_writer.h"
#include "endiveusher/edges/memory_budget.h"
#include "endiveusher/kernel/time.h"
#include "endiveusher/platform/messages.h"
#include "endiveusher/scheduler/cell_config.h"
#include "endiveusher/scheduler/job_table.h"
#include "event_log.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::node {

struct caller_response
{
  int mStatus = 200;
  std::string mBody;
  /// Value of the Retry-After header; set with the statuses 429 and 503.
  std::optional<std::chrono::seconds> mRetryAfter;
};

/// Identifies a caller's record: the submission or the cancellation of a job.
struct caller_record
{
  scheduler::job_id mJob{};
  bool mCancel = false;
  auto operator<=>(const caller_record&) const = default;
};

/// The owner's answer to a query of a caller.
struct owner_answer
{
  /// Body of the answer to the caller; absent if there is none.
  std::optional<std::string> mBody;
  /// Whether the owner has stated that there is no such job.
  bool mUnknownJob = false;
};

/// State of the cell, besides the jobs, that requests are checked against.
struct cell_status
{
  std::shared_ptr<const scheduler::cell_config> mConfig;
  /// All operator records acknowledged before this time are known.
  time_point mConfigAsOf{};
  /// All journal records acknowledged before this time are known.
  time_point mJournalAsOf{};
  /// Whether this daemon follows the journal; otherwise only the owner knows the jobs.
  bool mKnowsJobs = true;
  /// Whether the journal has been read to its end at least once, by a daemon that follows it.
  bool mCaughtUp = false;
  /// Whether the store does not answer this daemon.
  bool mStoreLost = false;
};

/// Age of a daemon's view of the cell up to which it denies that there is a key, a route or a job.
inline constexpr std::chrono::milliseconds kMaxDenialAge{ 1500 };

struct request_handler_options
{
  /// Calls with a key are rejected if the configuration is older, as the key may be withdrawn.
  std::chrono::milliseconds mMaxConfigAge{ 3000 };
  /// An unknown key, route or job is reported as such only if the cell status is not older. An
  /// older one may lack it, so the caller is asked to retry.
  std::chrono::milliseconds mMaxDenialAge{ kMaxDenialAge };
  /// Jobs and cancellations are rejected while a write has been unanswered for longer.
  std::chrono::milliseconds mMaxWriteAge{ 800 };
  /// Largest number of bytes that submissions and cancellations may take until they are stored;
  /// further ones are rejected with 503. The default is for tests.
  std::size_t mMaxRecordBytes = std::size_t{ 16 } << 20U;
  /// Budget that they are charged to; may be null. Incomplete requests are shed for them.
  std::shared_ptr<edges::memory_budget> mBudget = nullptr;
};

struct request_counters
{
  std::uint64_t mSubmitted = 0;
  std::uint64_t mAccepted = 0;
  std::uint64_t mRejected = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mStatus = 0;
  std::uint64_t mCancelled = 0;
  /// Submissions and cancellations for which there was no memory.
  std::uint64_t mNoMemory = 0;
};

/// Handles requests of callers: stores jobs and cancellations in the journal before it confirms
/// them, and reports job states from the journal. Not thread-safe.
class request_handler
{
public:
  using reply = std::function<void(caller_response&&)>;

  request_handler(const clock& aClock, const scheduler::job_table& aJobTable,
                  caller_record_writer& aRecordWriter, event_log& aLog,
                  request_handler_options aOptions);

  void setCellStatus(cell_status aCellStatus) { mCellStatus = std::move(aCellStatus); }
  /// Sets the sizes of the targets, against which jobs that can never fit are rejected.
  void setCapacity(cell_capacity aCapacity) { mCapacity = std::move(aCapacity); }
  /// Queries the owner for the state of a job; returns false if the owner cannot be reached.
  using query_owner_callback =
    std::function<bool(scheduler::job_id aId, const std::string& aTeam,
                       std::function<void(owner_answer&& aAnswer)> aDone)>;
  void setQueryOwner(query_owner_callback aQuery) { mQueryOwner = std::move(aQuery); }
  /// Queries the owner for the number of waiting jobs of a route; returns false if the owner cannot
  /// be reached.
  using query_waiting_callback = std::function<bool(
    const std::string& aRoute, std::function<void(owner_answer&& aAnswer)> aDone)>;
  void setQueryWaiting(query_waiting_callback aQuery) { mQueryWaiting = std::move(aQuery); }
  /// Sets the check whether the journal holds a record that the job table includes. On the owner
  /// the table is ahead of the journal, and a caller may repeat there a record that another daemon
  /// has forwarded.
  void setIsStored(std::function<bool(const caller_record& aRecord)> aIsStored)
  {
    mIsStored = std::move(aIsStored);
  }
  /// Sets the check whether the journal holds the end of a job; other ends are not shown to
  /// callers.
  void setIsEndStored(std::function<bool(scheduler::job_id)> aIsEndStored)
  {
    mIsEndStored = std::move(aIsEndStored);
  }

  /// Sets a function that runs an answer about a job once its end is stored, or after a short time.
  using await_end_callback = std::function<void(scheduler::job_id, std::function<void()> aAnswer)>;
  void setAwaitEnd(await_end_callback aAwaitEnd) { mAwaitEnd = std::move(aAwaitEnd); }

  /// Handles a request; its timeout is that from now on. One whose timeout has passed, because it
  /// has waited for the event loop, is answered without being decoded.
  void handle(const platform::caller_request& aCall, std::string_view aBody, reply aReply);
  /// Answers callers whose timeout has passed.
  void tick(time_point aNow);
  /// Answers all callers that wait for a record that its outcome is not known. Later calls are
  /// answered at once: the process ends before their work could be done.
  void answerWaiting();
  const request_counters& counters() const { return mCounters; }
  /// Number of submissions and cancellations that are being stored.
  std::size_t waiting() const { return mPending.size(); }
  /// Bytes reserved for submissions and cancellations that are not stored yet.
  std::size_t recordBytes() const { return mRecords->used(); }

private:
  /// Memory of a submission or cancellation, or of a caller who waits for it; released with the
  /// last copy.
  struct record_charge
  {
    edges::memory_charge mRecord;
    edges::memory_charge mProcess;
  };
  using charge_pointer = std::shared_ptr<record_charge>;

  struct caller
  {
    reply mReply;
    time_point mUntil;
    charge_pointer mCharge;
  };
  struct pending
  {
    std::vector<caller> mCallers;
    time_point mSince;
  };

  /// Reserves memory for a request with a body of aBodyBytes; returns null if there is none.
  charge_pointer charge(std::size_t aBodyBytes);
  /// Rejects a submission or cancellation for which there is no memory.
  void rejectForMemory(const caller_record& aKey, const reply& aReply);

  void submit(const platform::caller_request& aCall, scheduler::job_id aId, std::string_view aBody,
              const scheduler::route_config& aRoute, const std::string& aTeam, reply aReply);
  /// Rejects a submission that can never be scheduled. A daemon that is not the owner asks the
  /// owner first: the job may have been accepted before the configuration or the targets changed,
  /// and even a daemon that follows the journal may not have read of it.
  void rejectUnschedulable(const platform::caller_request& aCall, scheduler::job_spec aSpec,
                           std::string_view aReason, charge_pointer aCharge, const reply& aReply);
  void status(scheduler::job_id aId, const std::string& aTeam, const reply& aReply);
  /// Answers with the state of a job, after a wait if its end is being stored.
  void replyWithState(scheduler::job_id aId, const std::string& aTeam, const reply& aReply,
                      bool aDenied = false);
  void replyWithCurrentState(scheduler::job_id aId, const std::string& aTeam, const reply& aReply,
                             bool aDenied);
  /// Answers with an encoded state of a job. One that has ended is logged with the view that shows
  /// it: `table`, this daemon's own, or `owner`, the owner's answer.
  void replyWithBody(scheduler::job_id aId, std::string aBody, std::string_view aView,
                     const reply& aReply);
  /// Answers the callers for which aChosen returns true that the outcome is not known.
  void answerIf(const std::function<bool(const caller& aCaller)>& aChosen);
  void replyUnknownOutcome(const caller& aCaller, std::string_view aSubject, time_point aSince);
  void cancel(const platform::caller_request& aCall, scheduler::job_id aId,
              const std::string& aTeam, reply aReply);
  /// A cancellation of a job that this daemon does not know, which waits for the journal.
  struct unread_cancellation
  {
    platform::caller_request mCall;
    scheduler::job_id mJob{};
    std::string mTeam;
    caller mCaller;
    time_point mSince;
  };
  /// Denies the job once the journal has been read to where it ended when the request arrived;
  /// cancels it if it has been read by then.
  void cancelOrDeny(unread_cancellation aCancellation);
  /// Answers the cancellations that wait for the journal, where it can.
  void decideCancellations();
  /// Whether an answer to such a request can be given by now.
  bool isDecidable(const unread_cancellation& aCancellation) const;
  /// Cancels a job that this daemon has not read of, if the owner knows it.
  void cancelAtOwner(const platform::caller_request& aCall, scheduler::job_id aId,
                     const std::string& aTeam, const reply& aReply);
  void storeCancellation(const platform::caller_request& aCall, scheduler::job_id aId,
                         charge_pointer aCharge, reply aReply);
  void store(const platform::caller_request& aCall, caller_record aKey,
             const scheduler::journal_record& aRecord, charge_pointer aCharge, reply aReply);
  void onWritten(caller_record aKey, const scheduler::journal_record& aRecord,
                 caller_outcome aOutcome);
  /// Whether this daemon follows the journal, has stored the job and may not have read it yet, and
  /// callers of the team may see it.
  bool isStoredUnread(scheduler::job_id aId, std::string_view aTeam) const;
  /// Returns the job if callers of the team may see it, else null; jobs of public routes are
  /// visible to all.
  const scheduler::job* findVisible(scheduler::job_id aId, std::string_view aTeam) const;
  /// Whether an earlier try to store the record may still succeed, so that a caller may not be told
  /// that it is not stored.
  bool mayBeStored(const caller_record& aKey) const;
  /// Notes that a try to store the record may still succeed.
  void noteUnknownOutcome(const caller_record& aKey);
  /// Adds the caller to those waiting for the record; returns false if the record is not pending.
  bool joinPending(const platform::caller_request& aCall, caller_record aKey, const reply& aReply);
  caller makeCaller(const platform::caller_request& aCall, charge_pointer aCharge,
                    reply aReply) const;
  /// Rejects a request for a job that this daemon does not know; aDenied tells whether the owner
  /// has stated that there is none.
  void rejectUnknownJob(const reply& aReply, std::string_view aSubject, bool aDenied = false);
  void waiting(const std::string& aRoute, const reply& aReply);
  void reject(const reply& aReply, int aStatus, std::chrono::seconds aRetryAfter,
              std::string_view aSubject, std::string_view aReason);
  std::int64_t ageMs(time_point aThen) const;

  const clock& mClock;
  const scheduler::job_table& mJobTable;
  caller_record_writer& mRecordWriter;
  event_log& mLog;
  const request_handler_options mOptions;
  std::function<bool(scheduler::job_id)> mIsEndStored;
  std::function<bool(const caller_record&)> mIsStored;
  await_end_callback mAwaitEnd = [](scheduler::job_id /*aJob*/,
                                    const std::function<void()>& aAnswer) { aAnswer(); };
  query_owner_callback mQueryOwner;
  query_waiting_callback mQueryWaiting;
  cell_status mCellStatus;
  cell_capacity mCapacity;
  request_counters mCounters;
  /// Limit of the records that are not stored yet.
  const std::shared_ptr<edges::memory_budget> mRecords;
  /// Submissions and cancellations that are being stored in the journal.
  std::map<caller_record, pending> mPending;
  /// Records whose last outcome was unknown, with the time of it; at most kMaxUnknownOutcomes.
  std::map<caller_record, time_point> mUnknownOutcomes;
  /// A job that was stored through this daemon.
  struct stored_job
  {
    time_point mAt;
    std::string mTeam;
  };
  /// Jobs that were stored lately. The job table takes them in the order of the journal, when they
  /// are read.
  std::map<scheduler::job_id, stored_job> mStoredJobs;
  std::vector<unread_cancellation> mUnreadCancellations;
  time_point mNextPurge{};
  /// Whether answerWaiting() has been called.
  bool mStopping = false;
};

} // namespace endiveusher::node
