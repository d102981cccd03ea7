#include "job_intake.h"

#include <fmt/format.h>

#include <utility>

namespace endiveusher::node {

namespace {

/// The owner answers when the store has; a slow store takes a second.
constexpr std::chrono::milliseconds kHandOverTimeout{ 1600 };

} // namespace

job_intake::job_intake(const clock& aClock, owner_link& aLink, journal_writer& aWriter,
                       event_log& aLog, local_owner aLocal)
  : mClock(aClock), mLink(aLink), mWriter(aWriter), mLog(aLog), mLocal(std::move(aLocal))
{
}

bool job_intake::closed(time_point aNow, bool aStoreLost, duration aPeriod) const
{
  if (mLink.reachable(aNow) && !mLink.ownerLostStore()) {
    return false;
  }
  return aStoreLost || (mWriter.openSince() && aNow - *mWriter.openSince() > aPeriod);
}

void job_intake::store(const scheduler::journal_record& aRecord, done aDone)
{
  const done local = [this, aRecord, aDone](write_outcome aOutcome) {
    if (aOutcome == write_outcome::stored) {
      aDone(aOutcome);
    } else {
      append(encode(aRecord), aOutcome != write_outcome::refused, aDone);
    }
  };
  if (mLocal(aRecord, local)) {
    return;
  }
  auto bytes = encode(aRecord);
  if (!mLink.reachable(mClock.now())) {
    append(std::move(bytes), false, std::move(aDone));
    return;
  }
  mLink.call(kPeerStorePath, bytes, kHandOverTimeout,
             [this, bytes, done = std::move(aDone)](edges::loop_reply&& aReply) {
               if (aReply.ok()) {
                 done(write_outcome::stored);
                 return;
               }
               const bool refused = aReply.mRefused || aReply.mStatus == 503;
               mLog.write("hand_over_failed",
                          fmt::format("status={} error=\"{}\" after_ms={}",
                                      aReply.mStatus.value_or(0), aReply.mError,
                                      aReply.mElapsed / std::chrono::milliseconds(1)));
               append(bytes, !refused, done);
             });
}

void job_intake::append(std::string aBytes, bool aUncertain, done aDone)
{
  mWriter.write(
    { std::move(aBytes) }, [aUncertain, done = std::move(aDone)](write_outcome aOutcome) {
      // The owner may have stored what the direct way has refused.
      done(aOutcome != write_outcome::stored && aUncertain ? write_outcome::unknown : aOutcome);
    });
}

} // namespace endiveusher::node
