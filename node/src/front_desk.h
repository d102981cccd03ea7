#pragma once

#include "admission.h"
#include "endiveusher/kernel/time.h"
#include "endiveusher/platform/messages.h"
#include "endiveusher/scheduler/cell_config.h"
#include "endiveusher/scheduler/job_book.h"
#include "event_log.h"
#include "job_intake.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endiveusher::node {

struct front_answer
{
  int mStatus = 200;
  std::string mBody;
  /// With a rejection: when to come back.
  std::optional<std::chrono::seconds> mRetryAfter;
};

/// Names a record of a caller: the submission or the cancellation of a job.
struct caller_record
{
  scheduler::job_id mJob{};
  bool mCancel = false;
  auto operator<=>(const caller_record&) const = default;
};

/// What the desk knows of the cell besides the jobs.
struct front_view
{
  std::shared_ptr<const scheduler::cell_config> mConfig;
  /// Everything that the operator had acknowledged at this time is known.
  time_point mConfigAsOf{};
  /// The same for the journal.
  time_point mJournalAsOf{};
  /// Whether the journal has been read to its end once.
  bool mCaughtUp = false;
  /// The store does not answer this daemon.
  bool mStoreLost = false;
};

struct front_options
{
  /// A call with a key is rejected if the configuration is older: the key may be withdrawn.
  std::chrono::milliseconds mMaxConfigAge{ 3000 };
  /// An unknown key, route or job is only called so by a younger view.
  std::chrono::milliseconds mMaxDenialAge{ 1500 };
  /// A write without an answer for this long rejects new jobs at once.
  std::chrono::milliseconds mMaxWriteAge{ 800 };
};

struct front_counters
{
  std::uint64_t mSubmitted = 0;
  std::uint64_t mAccepted = 0;
  std::uint64_t mRejected = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mStatus = 0;
  std::uint64_t mCancelled = 0;
};

/// Answers callers: takes jobs and cancellations into the journal before it confirms them, and
/// tells states from the journal. One thread.
class front_desk
{
public:
  using reply = std::function<void(front_answer&&)>;
  /// A record that the journal holds now.
  using stored_callback = std::function<void(const scheduler::journal_record&)>;

  front_desk(const clock& aClock, const scheduler::job_book& aBook, job_intake& aIntake,
             event_log& aLog, front_options aOptions, stored_callback aStored);

  void setView(front_view aView) { mView = std::move(aView); }
  /// What the targets can take, for jobs that never fit.
  void setCapacity(cell_capacity aCapacity) { mCapacity = std::move(aCapacity); }
  /// Ends of jobs that the journal does not hold yet are not shown.
  /// Asks the owner for the state of a job; false if it cannot be asked.
  using ask_owner =
    std::function<bool(scheduler::job_id aId, const std::string& aTeam,
                       std::function<void(std::optional<std::string> aState)> aDone)>;
  void setAskOwner(ask_owner aAsk) { mAskOwner = std::move(aAsk); }
  /// Whether the journal holds a record of which the book has the effect. On the owner the book is
  /// ahead of the journal, and a caller may repeat there what another daemon has handed over.
  void setStored(std::function<bool(const caller_record& aRecord)> aStored)
  {
    mIsStored = std::move(aStored);
  }
  void setEndStored(std::function<bool(scheduler::job_id)> aEndStored)
  {
    mEndStored = std::move(aEndStored);
  }

  void handle(const platform::front_call& aCall, std::string_view aBody, reply aReply);
  /// Answers callers whose time is over.
  void tick(time_point aNow);
  const front_counters& counters() const { return mCounters; }
  std::size_t waiting() const { return mWaiting.size(); }

private:
  struct caller
  {
    reply mReply;
    time_point mUntil;
  };
  struct pending
  {
    std::vector<caller> mCallers;
    time_point mSince;
  };

  void submit(const platform::front_call& aCall, scheduler::job_id aId, std::string_view aBody,
              const scheduler::route_config& aRoute, const std::string& aTeam, reply aReply);
  void status(scheduler::job_id aId, const std::string& aTeam, const reply& aReply);
  void tellState(scheduler::job_id aId, const std::string& aTeam, const reply& aReply);
  void answerUnknown(const caller& aCaller, std::string_view aSubject, time_point aSince);
  void cancel(const platform::front_call& aCall, scheduler::job_id aId, const std::string& aTeam,
              reply aReply);
  void store(const platform::front_call& aCall, caller_record aKey,
             const scheduler::journal_record& aRecord, reply aReply);
  void written(caller_record aKey, const scheduler::journal_record& aRecord,
               write_outcome aOutcome);
  /// The job, if callers of the team may see it; of a public route they see all.
  const scheduler::job* findFor(scheduler::job_id aId, std::string_view aTeam) const;
  /// Adds the caller to those who wait for the record, if it is on its way.
  bool join(const platform::front_call& aCall, caller_record aKey, const reply& aReply);
  caller callerOf(const platform::front_call& aCall, reply aReply) const;
  void denyJob(const reply& aReply, std::string_view aSubject);
  void reject(const reply& aReply, int aStatus, std::chrono::seconds aRetryAfter,
              std::string_view aSubject, std::string_view aReason);
  std::int64_t ageMs(time_point aThen) const;

  const clock& mClock;
  const scheduler::job_book& mBook;
  job_intake& mIntake;
  event_log& mLog;
  const front_options mOptions;
  stored_callback mStored;
  std::function<bool(scheduler::job_id)> mEndStored;
  std::function<bool(const caller_record&)> mIsStored;
  ask_owner mAskOwner;
  front_view mView;
  cell_capacity mCapacity;
  front_counters mCounters;
  /// Submissions and cancellations on their way into the journal.
  std::map<caller_record, pending> mWaiting;
};

} // namespace endiveusher::node
