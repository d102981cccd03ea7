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
#include <vector>

namespace endiveusher::node {

/// Outcome of writing a caller's record; used as a write_outcome wherever that is enough.
struct caller_outcome
{
  caller_outcome(write_outcome aOutcome, std::chrono::seconds aRetryAfter = {})
    : mOutcome(aOutcome), mRetryAfter(aRetryAfter)
  {
  }
  operator write_outcome() const { return mOutcome; }

  write_outcome mOutcome;
  /// Time after which the caller of an overloaded owner should come back; 0 if it is not known.
  std::chrono::seconds mRetryAfter;
};

/// Writes the records of callers to the journal: through the owner if it is reachable, else
/// directly.
///
/// Load pattern: the store is slow, and its partition processes appends one at a time. The owner
/// batches the records of all callers with its own, so that one append holds a job and the starts
/// of its tasks; a daemon appends directly only if it cannot reach the owner. While the store is
/// slow it waits for the owner without a time limit, because each direct append would delay the
/// owner's. Many records are pending then, so each call forwards several, and some connections to
/// the owner are left free for other calls. Storing a record twice has no further effect.
class caller_record_writer
{
public:
  using done_callback = std::function<void(caller_outcome aOutcome)>;
  /// Passes a record to the owner in this process; returns false if this daemon is not the owner.
  using local_store =
    std::function<bool(const scheduler::journal_record& aRecord, const done_callback& aDone)>;

  caller_record_writer(const clock& aClock, const platform::store& aStore,
                       owner_client& aOwnerClient, journal_writer& aWriter, event_log& aLog,
                       local_store aLocal);

  /// Writes a record; the outcome is never write_outcome::fenced.
  void store(const scheduler::journal_record& aRecord, done_callback aDone);
  /// Forwards records that are due, and appends directly those that the owner does not store in
  /// time.
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
    bool mSent = false;
    /// Whether the record was sent to a former owner, which may have stored it.
    bool mUncertain = false;
  };

  bool ownerUsable(time_point aNow) const;
  /// Prepares the records that a former owner has not answered for being sent to the new one.
  void onOwnerChanged();
  /// Forwards records that have not been sent, unless too many calls are open.
  void flush(time_point aNow);
  /// Processes the reply to a call that was sent to the owner of aGeneration.
  void onForwardReply(const std::vector<std::uint64_t>& aNumbers, std::uint64_t aGeneration,
                      const edges::loop_reply& aReply);
  void append(std::string aBytes, bool aUncertain, done_callback aDone);

  const clock& mClock;
  const platform::store& mStore;
  owner_client& mOwnerClient;
  journal_writer& mWriter;
  event_log& mLog;
  local_store mStoreLocally;
  std::map<std::uint64_t, forwarded_record> mForwarded;
  std::uint64_t mLastForwardedId = 0;
  /// Number of unanswered calls to the current owner.
  std::uint32_t mOpenCalls = 0;
  std::uint64_t mGeneration = 0;
  time_point mLastSent{};
};

} // namespace endiveusher::node
