#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/journal.h"
#include "event_log.h"
#include "journal_writer.h"
#include "owner_client.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::node {

/// Outcome of writing a caller's record; used as a write_outcome wherever that is enough.
struct caller_outcome
{
  caller_outcome(write_outcome aOutcome, std::chrono::seconds aRetryAfter = {},
                 std::string_view aWriter = "owner")
    : mOutcome(aOutcome), mRetryAfter(aRetryAfter), mWriter(aWriter)
  {
  }
  operator write_outcome() const { return mOutcome; }

  write_outcome mOutcome;
  /// Time after which the caller of an overloaded owner should come back; 0 if it is not known.
  std::chrono::seconds mRetryAfter;
  /// Who has stored the record, for the log: `owner`, or `itself` if this daemon has appended it
  /// directly, so that the owner learns of it by reading the journal. An owner that has stored a
  /// record of its own callers counts as `owner`.
  std::string_view mWriter;
};

/// Writes the records of callers to the journal: through the owner while it can be reached, else
/// directly.
///
/// Load pattern: the store is slow, and its partition processes appends one at a time. The owner
/// batches the records of all callers with its own, so that one append holds a job and the starts
/// of its tasks. Many records are pending then, so each call forwards several, and some connections
/// to the owner are left free for other calls. Storing a record twice has no further effect.
///
/// Load pattern: the owner's event loop is behind, and answers after seconds. Its admission has to
/// see every job, and a second append of a record is more work for the same loop. A record is
/// therefore appended directly only if the owner cannot be reached, is partitioned from the store,
/// or states that it is not the owner. A late answer is no reason to send a record again either: it
/// is, once the owner has answered a later call and still not that record, whose connection is
/// silent then.
class caller_record_writer
{
public:
  using done_callback = std::function<void(caller_outcome aOutcome)>;
  /// Passes a record to the owner in this process; returns false if this daemon is not the owner.
  using local_store =
    std::function<bool(const scheduler::journal_record& aRecord, const done_callback& aDone)>;

  /// Whether a job may be appended directly, by what this daemon knows of the jobs' memory.
  using room_check = std::function<bool(const scheduler::job_spec& aJob)>;

  caller_record_writer(const clock& aClock, const platform::store& aStore,
                       owner_client& aOwnerClient, journal_writer& aWriter, event_log& aLog,
                       local_store aLocal, room_check aHasRoom);

  /// Writes a record; the outcome is never write_outcome::fenced.
  void store(const scheduler::journal_record& aRecord, done_callback aDone);
  /// Forwards records that are due, and appends directly those of an owner that cannot be reached.
  void tick(time_point aNow);
  /// Whether no record can be written at present: the owner cannot be used, and the store is lost
  /// or has not answered an append for longer than aPeriod.
  bool unavailable(time_point aNow, bool aStoreLost, duration aPeriod) const;

private:
  /// A record to be stored by the owner, without a reply so far.
  struct forwarded_record
  {
    std::string mBytes;
    done_callback mDone;
    time_point mSince;
    bool mIsSubmission = false;
    /// Number of the call that holds the record; 0 if it has to be sent.
    std::uint64_t mCall = 0;
    time_point mSentAt{};
    /// Time at which the owner was found to have answered a later call.
    std::optional<time_point> mOvertakenAt;
    /// Number of times that the record was sent again to the same owner.
    std::uint32_t mRepeats = 0;
    /// The record is not sent again before this time.
    time_point mNotBefore{};
    /// Whether an earlier call, or a former owner, may have stored it.
    bool mUncertain = false;
  };

  bool ownerUsable(time_point aNow) const;
  /// Whether records may be handed to the owner: it is usable, or has just become known.
  bool ownerExpected(time_point aNow) const;
  /// Lets a record that may have been stored be sent once more, after aPause at least.
  void sendAgain(forwarded_record& aRecord, duration aPause);
  /// Finds the records that the owner has passed over.
  void findLost(time_point aNow);
  /// Sends a call without records if one has been unanswered for long.
  void probe(time_point aNow);
  /// Time that the owner has for a record after it has answered a later call.
  duration appendGrace(const forwarded_record& aRecord) const;
  /// Prepares the records that a former owner has not answered for being sent to the new one.
  void onOwnerChanged();
  /// Forwards records that have not been sent, unless too many calls are open.
  void flush(time_point aNow);
  /// Processes the reply to a call that was sent to the owner of aGeneration.
  void onForwardReply(std::uint64_t aCall, const std::vector<std::uint64_t>& aNumbers,
                      std::uint64_t aGeneration, const edges::loop_reply& aReply);
  /// Processes a call that the owner has not answered for its records.
  void onForwardFailure(std::uint64_t aCall, const std::vector<std::uint64_t>& aNumbers,
                        const edges::loop_reply& aReply);
  /// Processes the owner's answer for one record, which is no longer among the forwarded ones.
  void finish(forwarded_record aRecord, char aResult);
  /// Appends a record directly, unless it is a submission that is too old, or has no room.
  void append(forwarded_record aRecord, bool aUncertain);
  /// Whether the record is a submission for which there is no room.
  bool lacksRoom(const forwarded_record& aRecord) const;

  const clock& mClock;
  const platform::store& mStore;
  owner_client& mOwnerClient;
  journal_writer& mWriter;
  event_log& mLog;
  local_store mStoreLocally;
  room_check mHasRoom;
  std::map<std::uint64_t, forwarded_record> mForwarded;
  std::uint64_t mLastForwardedId = 0;
  std::uint64_t mLastCall = 0;
  /// Number of the newest call that the owner has answered.
  std::uint64_t mNewestAnswered = 0;
  bool mProbeOpen = false;
  /// Number of unanswered calls to the current owner.
  std::uint32_t mOpenCalls = 0;
  std::uint64_t mGeneration = 0;
  time_point mLastSent{};
};

} // namespace endiveusher::node
