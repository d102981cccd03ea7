#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/journal.h"
#include "event_log.h"
#include "journal_writer.h"
#include "owner_link.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace endiveusher::node {

/// Takes the records of callers into the journal by the best way there is.
///
/// Load pattern: the store is slow, and its partition takes one append after the other. The owner
/// stores the records of all callers together with its own, so that one append carries a job and
/// the starts of its tasks; a daemon appends by itself only if it does not reach the owner. While
/// the store is slow it waits for the owner however long that takes: each append of its own would
/// hold up the owner's. Many records wait then, so one call carries several, and some connections
/// to the owner stay free for other calls. A record that is stored twice has no further effect.
class job_intake
{
public:
  using done = std::function<void(write_outcome aOutcome)>;
  /// Hands a record to the owner in this process; false if there is none.
  using local_owner =
    std::function<bool(const scheduler::journal_record& aRecord, const done& aDone)>;

  job_intake(const clock& aClock, const platform::store& aStore, owner_link& aLink,
             journal_writer& aWriter, event_log& aLog, local_owner aLocal);

  /// The outcome is never `fenced`.
  void store(const scheduler::journal_record& aRecord, done aDone);
  /// Takes the direct way for records whose owner is not reached any more.
  void tick(time_point aNow);
  /// There is no way at present: the owner is not reached, and the store does not answer or has
  /// left an append open for longer than aPeriod.
  bool closed(time_point aNow, bool aStoreLost, duration aPeriod) const;

private:
  /// A record that the owner has and has not answered for.
  struct hand_over
  {
    std::string mBytes;
    done mDone;
    time_point mSince;
    bool mSent = false;
  };

  bool ownerUseful(time_point aNow) const;
  /// Sends what waits for the owner, if few enough calls are open.
  void flush(time_point aNow);
  void ownerAnswered(const std::vector<std::uint64_t>& aNumbers, const edges::loop_reply& aReply);
  void append(std::string aBytes, bool aUncertain, done aDone);

  const clock& mClock;
  const platform::store& mStore;
  owner_link& mLink;
  journal_writer& mWriter;
  event_log& mLog;
  local_owner mLocal;
  std::map<std::uint64_t, hand_over> mHandOvers;
  std::uint64_t mLastHandOver = 0;
  /// Calls to the present owner without an answer.
  std::uint32_t mOpenCalls = 0;
  std::uint64_t mGeneration = 0;
  time_point mLastSent{};
};

} // namespace endiveusher::node
