#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/journal.h"
#include "event_log.h"
#include "journal_writer.h"
#include "owner_link.h"

#include <functional>
#include <optional>
#include <string>

namespace endiveusher::node {

/// Takes the records of callers into the journal by the best way there is.
///
/// Load pattern: the store is slow, and its partition takes one append after the other. The owner
/// stores the records of all callers together with its own, so that one append carries a job and
/// the starts of its tasks; a daemon appends by itself only if it does not reach the owner. A
/// record that is stored twice has no further effect.
class job_intake
{
public:
  using done = std::function<void(write_outcome aOutcome)>;
  /// Hands a record to the owner in this process; false if there is none.
  using local_owner =
    std::function<bool(const scheduler::journal_record& aRecord, const done& aDone)>;

  job_intake(const clock& aClock, owner_link& aLink, journal_writer& aWriter, event_log& aLog,
             local_owner aLocal);

  /// The outcome is never `fenced`.
  void store(const scheduler::journal_record& aRecord, done aDone);
  /// There is no way at present: the owner is not reached, and the store does not answer or has
  /// left an append open for longer than aPeriod.
  bool closed(time_point aNow, bool aStoreLost, duration aPeriod) const;

private:
  void append(std::string aBytes, bool aUncertain, done aDone);

  const clock& mClock;
  owner_link& mLink;
  journal_writer& mWriter;
  event_log& mLog;
  local_owner mLocal;
};

} // namespace endiveusher::node
