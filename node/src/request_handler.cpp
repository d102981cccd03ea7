#include "request_handler.h"

#include "caller_identity.h"
#include "submission.h"

#include <fmt/format.h>

#include <utility>

namespace endiveusher::node {

namespace {

/// Timeout of a caller that does not state one.
constexpr std::chrono::milliseconds kDefaultCallerTimeout{ 10'000 };
/// Time before a caller's timeout at which it is answered that the outcome is unknown.
constexpr std::chrono::milliseconds kReplyMargin{ 150 };
/// Retry delay after a failure that another daemon may not have, or that may pass within a second.
constexpr std::chrono::seconds kRetryAfterTransient{ 1 };
/// Retry delay of a job that was rejected by an overloaded owner that has stated none; a burst
/// lasts some seconds.
constexpr std::chrono::seconds kRetryAfterOverload{ 2 };
/// Time for which a record with an unknown outcome may still be stored: it waits in a connection,
/// in a queue of the owner, or for an append that is repeated. Longer than callers' timeouts.
constexpr std::chrono::seconds kUnknownOutcomePeriod{ 15 };
constexpr std::size_t kMaxUnknownOutcomes = 20'000;
/// Time after which a stored job has been read by a daemon, or by the owner that it asks. Exceeds
/// the age up to which a view is good enough to deny that there is a job.
constexpr std::chrono::seconds kStoredJobPeriod{ 5 };
constexpr std::chrono::seconds kPurgeInterval{ 1 };

/// Memory of a submission as a multiple of its body, which exists as decoded records of the handler
/// and of the writer and as encoded bytes, and that of a caller with its callbacks.
constexpr std::size_t kRecordCopies = 4;
constexpr std::size_t kCallerBytes = 1024;

constexpr std::string_view kQueuedState = R"({"state":"queued"})";
constexpr std::string_view kCancelledState = R"({"state":"cancelled"})";

std::chrono::milliseconds callerTimeout(const platform::caller_request& aCall)
{
  const auto timeout = aCall.mTimeout.value_or(kDefaultCallerTimeout);
  return timeout > 2 * kReplyMargin ? timeout - kReplyMargin : timeout / 2;
}

/// Describes a submission in the log.
std::string describe(scheduler::job_id aId, std::string_view aRoute, std::string_view aTeam)
{
  return fmt::format("job={} route={} team={}", toText(aId), aRoute, aTeam);
}

} // namespace

request_handler::request_handler(const clock& aClock, const scheduler::job_table& aJobTable,
                                 caller_record_writer& aRecordWriter, event_log& aLog,
                                 request_handler_options aOptions)
  : mClock(aClock), mJobTable(aJobTable), mRecordWriter(aRecordWriter), mLog(aLog),
    mOptions(std::move(aOptions)),
    mRecords(std::make_shared<edges::memory_budget>(mOptions.mMaxRecordBytes))
{
}

request_handler::charge_pointer request_handler::charge(std::size_t aBodyBytes)
{
  const auto bytes = kRecordCopies * aBodyBytes + kCallerBytes;
  auto made = std::make_shared<record_charge>(
    record_charge{ .mRecord = edges::memory_charge(mRecords),
                   .mProcess = edges::memory_charge(mOptions.mBudget) });
  if (!made->mRecord.tryResize(bytes)) {
    return nullptr;
  }
  if (!made->mProcess.tryResize(bytes) &&
      (!mOptions.mBudget->makeRoom(bytes, nullptr) || !made->mProcess.tryResize(bytes))) {
    return nullptr;
  }
  return made;
}

void request_handler::rejectForMemory(const caller_record& aKey, const reply& aReply)
{
  ++mCounters.mNoMemory;
  const auto subject = fmt::format("job={} cancel={}", toText(aKey.mJob), aKey.mCancel);
  // On the owner the table holds what another daemon has forwarded and is not stored yet.
  const auto* known = mJobTable.find(aKey.mJob);
  const bool isApplied =
    known != nullptr && (!aKey.mCancel || known->mPhase != scheduler::job_phase::active);
  if (mPending.contains(aKey) || mayBeStored(aKey) || isApplied) {
    replyUnknownOutcome({ .mReply = aReply, .mUntil = {} }, subject, mClock.now());
  } else {
    reject(aReply, 503, kRetryAfterTransient, subject, "no memory for it until others are stored");
  }
}

std::int64_t request_handler::ageMs(time_point aThen) const
{
  return (mClock.now() - aThen) / std::chrono::milliseconds(1);
}

const scheduler::job* request_handler::findVisible(scheduler::job_id aId,
                                                   std::string_view aTeam) const
{
  const auto* found = mJobTable.find(aId);
  return found != nullptr && found->mSpec.visibleTo(aTeam) ? found : nullptr;
}

bool request_handler::isStoredUnread(scheduler::job_id aId, std::string_view aTeam) const
{
  const auto found = mStoredJobs.find(aId);
  if (found == mStoredJobs.end() || mClock.now() - found->second.mAt >= kStoredJobPeriod ||
      !mCellStatus.mKnowsJobs || mCellStatus.mJournalAsOf >= found->second.mAt) {
    return false;
  }
  return aTeam.empty() || aTeam == found->second.mTeam;
}

request_handler::caller request_handler::makeCaller(const platform::caller_request& aCall,
                                                    charge_pointer aCharge, reply aReply) const
{
  return { .mReply = std::move(aReply),
           .mUntil = mClock.now() + callerTimeout(aCall),
           .mCharge = std::move(aCharge) };
}

bool request_handler::mayBeStored(const caller_record& aKey) const
{
  const auto found = mUnknownOutcomes.find(aKey);
  return found != mUnknownOutcomes.end() && mClock.now() - found->second < kUnknownOutcomePeriod;
}

void request_handler::noteUnknownOutcome(const caller_record& aKey)
{
  if (mUnknownOutcomes.size() < kMaxUnknownOutcomes) {
    mUnknownOutcomes[aKey] = mClock.now();
  }
}

bool request_handler::joinPending(const platform::caller_request& aCall, caller_record aKey,
                                  const reply& aReply)
{
  const auto pending = mPending.find(aKey);
  if (pending == mPending.end()) {
    return false;
  }
  if (auto charged = charge(0)) {
    pending->second.mCallers.push_back(makeCaller(aCall, std::move(charged), aReply));
  } else {
    rejectForMemory(aKey, aReply);
  }
  return true;
}

void request_handler::rejectUnknownJob(const reply& aReply, std::string_view aSubject, bool aDenied)
{
  const bool current =
    mCellStatus.mKnowsJobs
      ? mCellStatus.mCaughtUp && mClock.now() - mCellStatus.mJournalAsOf <= mOptions.mMaxDenialAge
      : aDenied;
  reject(aReply, current ? 410 : 503, kRetryAfterTransient, aSubject, "no such job");
}

void request_handler::reject(const reply& aReply, int aStatus, std::chrono::seconds aRetryAfter,
                             std::string_view aSubject, std::string_view aReason)
{
  ++mCounters.mRejected;
  mLog.write("rejected",
             fmt::format("{} status={} reason=\"{}\" config_version={} config_age_ms={} "
                         "journal_age_ms={}",
                         aSubject, aStatus, aReason,
                         mCellStatus.mConfig ? mCellStatus.mConfig->mVersion : 0,
                         ageMs(mCellStatus.mConfigAsOf), ageMs(mCellStatus.mJournalAsOf)));
  caller_response answer{ .mStatus = aStatus,
                          .mBody = fmt::format(R"({{"error":"{}"}})", aReason) };
  if (aStatus == 429 || aStatus == 503) {
    answer.mRetryAfter = aRetryAfter;
  }
  aReply(std::move(answer));
}

void request_handler::handle(const platform::caller_request& aCall, std::string_view aBody,
                             reply aReply)
{
  using verb = platform::caller_request::verb;
  const auto now = mClock.now();
  const auto subject = fmt::format("path={}", aCall.mPath);
  const bool late = aCall.mTimeout && *aCall.mTimeout < std::chrono::milliseconds(0);
  if (mStopping || late) {
    if (aCall.mVerb == verb::submit || aCall.mVerb == verb::cancel) {
      // An earlier copy of it may be stored.
      replyUnknownOutcome({ .mReply = aReply, .mUntil = {} }, subject, now);
    } else {
      reject(aReply, 503, kRetryAfterTransient, subject, late ? "too late" : "stopping");
    }
    return;
  }
  if (!mCellStatus.mConfig || (mCellStatus.mKnowsJobs && !mCellStatus.mCaughtUp)) {
    reject(aReply, 503, kRetryAfterTransient, subject, "not ready");
    return;
  }
  const auto& config = *mCellStatus.mConfig;
  const bool current = now - mCellStatus.mConfigAsOf <= mOptions.mMaxDenialAge;
  const auto deny = [&](int aStatus, std::string_view aReason) {
    // An outdated cell status may lack the newest route or key.
    reject(aReply, current ? aStatus : 503, kRetryAfterTransient, subject, aReason);
  };
  const auto identity = identify(config, aCall);
  const auto* route = identity.mRoute;
  if (route == nullptr) {
    deny(404, "no such route");
    return;
  }
  std::string team;
  if (!route->mPublic) {
    if (now - mCellStatus.mConfigAsOf > mOptions.mMaxConfigAge) {
      reject(aReply, 503, kRetryAfterTransient, subject, "configuration too old to check keys");
      return;
    }
    if (!identity.mayCall()) {
      deny(401, "unknown key");
      return;
    }
    team = identity.mTeam->mName;
  }
  const auto rest = std::string_view(aCall.mPath).substr(route->mPathPrefix.size());
  if (rest.empty() && aCall.mVerb == verb::status) {
    waiting(route->mName, aReply);
    return;
  }
  const auto id = scheduler::parseJobId(rest);
  if (!id || aCall.mVerb == verb::other) {
    reject(aReply, aCall.mVerb == verb::other ? 405 : 404, kRetryAfterTransient, subject,
           "no such resource");
    return;
  }
  switch (aCall.mVerb) {
    case verb::submit:
      submit(aCall, *id, aBody, *route, team, std::move(aReply));
      break;
    case verb::status:
      status(*id, team, aReply);
      break;
    default:
      cancel(aCall, *id, team, std::move(aReply));
  }
}

void request_handler::submit(const platform::caller_request& aCall, scheduler::job_id aId,
                             std::string_view aBody, const scheduler::route_config& aRoute,
                             const std::string& aTeam, reply aReply)
{
  ++mCounters.mSubmitted;
  const auto subject = describe(aId, aRoute.mName, aTeam);
  if (joinPending(aCall, { .mJob = aId }, aReply)) {
    return;
  }
  const auto* known = mJobTable.find(aId);
  if (known != nullptr && mIsStored({ .mJob = aId })) {
    mLog.write("duplicate_submission", subject);
    replyWithBody(aId, platform::encodeJobState(*known, mIsEndStored(aId)), "table", aReply);
    return;
  }
  if (known == nullptr && isStoredUnread(aId, aTeam)) {
    mLog.write("duplicate_submission", subject);
    aReply({ .mBody = std::string(kQueuedState) });
    return;
  }
  auto spec = decodeSubmission(aBody, aId, aRoute, aTeam);
  if (!spec.ok()) {
    reject(aReply, 400, kRetryAfterConfigChange, subject, "malformed job");
    mLog.write("malformed",
               fmt::format("{} error=\"{}\"", subject, std::string(spec.status().message())));
    return;
  }
  if (isTooLarge(*spec, aBody.size())) {
    // Such a record would be repeated for ever, and all later ones would wait for it.
    reject(aReply, 400, kRetryAfterConfigChange, subject, "job too large");
    return;
  }
  auto charged = charge(aBody.size());
  if (!charged) {
    rejectForMemory({ .mJob = aId }, aReply);
    return;
  }
  const auto reason =
    unschedulableReason(*spec, aRoute, mCellStatus.mConfig->team(aTeam), mCapacity);
  // A known job was accepted before the configuration or the targets changed.
  if (known == nullptr && !reason.empty()) {
    rejectUnschedulable(aCall, std::move(*spec), reason, std::move(charged), aReply);
    return;
  }
  store(aCall, { .mJob = aId }, scheduler::job_submitted{ .mSpec = std::move(*spec) },
        std::move(charged), std::move(aReply));
}

void request_handler::rejectUnschedulable(const platform::caller_request& aCall,
                                          scheduler::job_spec aSpec, std::string_view aReason,
                                          charge_pointer aCharge, const reply& aReply)
{
  const caller_record key{ .mJob = aSpec.mId };
  const auto team = aSpec.mTeam;
  const auto subject = describe(aSpec.mId, aSpec.mRoute, aSpec.mTeam);
  const auto rejectFinally = [this, subject, aReason, aReply] {
    reject(aReply, 429, kRetryAfterConfigChange, subject, aReason);
  };
  const auto replyUnknown = [this, subject, aReply, since = mClock.now()] {
    replyUnknownOutcome({ .mReply = aReply, .mUntil = {} }, subject, since);
  };
  if (mayBeStored(key)) {
    replyUnknown();
    return;
  }
  const auto repeat = [this, aCall, key, aReply, charged = std::move(aCharge),
                       spec = std::move(aSpec)] {
    noteUnknownOutcome(key);
    if (!joinPending(aCall, key, aReply)) {
      store(aCall, key, scheduler::job_submitted{ .mSpec = spec }, charged, aReply);
    }
  };
  const bool queried =
    mQueryOwner(key.mJob, team,
                [this, key, aReply, rejectFinally, replyUnknown, repeat](owner_answer&& aAnswer) {
                  if (aAnswer.mBody && !platform::isActiveState(*aAnswer.mBody)) {
                    replyWithBody(key.mJob, *std::move(aAnswer.mBody), "owner", aReply);
                  } else if (aAnswer.mBody) {
                    // The owner knows a job before the journal holds it.
                    repeat();
                  } else if (aAnswer.mUnknownJob) {
                    rejectFinally();
                  } else {
                    replyUnknown();
                  }
                });
  if (queried) {
    return;
  }
  // The owner itself, or a daemon whose own view is the best one there is.
  if (mCellStatus.mKnowsJobs) {
    rejectFinally();
  } else {
    replyUnknown();
  }
}

void request_handler::store(const platform::caller_request& aCall, caller_record aKey,
                            const scheduler::journal_record& aRecord, charge_pointer aCharge,
                            reply aReply)
{
  const auto now = mClock.now();
  if (mRecordWriter.unavailable(now, mCellStatus.mStoreLost, mOptions.mMaxWriteAge)) {
    const auto subject = fmt::format("job={} cancel={}", toText(aKey.mJob), aKey.mCancel);
    if (mayBeStored(aKey)) {
      replyUnknownOutcome({ .mReply = aReply, .mUntil = {} }, subject, now);
    } else {
      reject(aReply, 503, kRetryAfterTransient, subject, "the store does not answer");
    }
    return;
  }
  auto& pending = mPending[aKey];
  pending.mSince = now;
  pending.mCallers.push_back(makeCaller(aCall, aCharge, std::move(aReply)));
  // The charge is held until the outcome is known, also if the caller has been answered before.
  mRecordWriter.store(aRecord, [this, aKey, aRecord, charged = std::move(aCharge)](
                                 caller_outcome aOutcome) { onWritten(aKey, aRecord, aOutcome); });
}

void request_handler::onWritten(caller_record aKey, const scheduler::journal_record& aRecord,
                                caller_outcome aOutcome)
{
  if (const auto* submitted = std::get_if<scheduler::job_submitted>(&aRecord);
      submitted != nullptr && aOutcome == write_outcome::stored) {
    mStoredJobs[submitted->mSpec.mId] = { .mAt = mClock.now(), .mTeam = submitted->mSpec.mTeam };
  }
  const auto found = mPending.find(aKey);
  if (found == mPending.end()) {
    return;
  }
  const auto pending = std::move(found->second);
  mPending.erase(found);
  if (aOutcome == write_outcome::stored) {
    mUnknownOutcomes.erase(aKey);
  } else if (aOutcome == write_outcome::unknown) {
    noteUnknownOutcome(aKey);
  } else if (mayBeStored(aKey)) {
    aOutcome = write_outcome::unknown;
  }
  const auto subject = fmt::format("job={} cancel={}", toText(aKey.mJob), aKey.mCancel);
  if (aOutcome == write_outcome::stored) {
    ++(aKey.mCancel ? mCounters.mCancelled : mCounters.mAccepted);
    mLog.write("stored", fmt::format("{} by={} after_ms={}", subject, aOutcome.mWriter,
                                     ageMs(pending.mSince)));
  }
  for (const auto& one : pending.mCallers) {
    if (aOutcome == write_outcome::unknown) {
      replyUnknownOutcome(one, subject, pending.mSince);
    } else if (aOutcome == write_outcome::overloaded) {
      const bool isStated = aOutcome.mRetryAfter.count() > 0;
      reject(one.mReply, 429, isStated ? aOutcome.mRetryAfter : kRetryAfterOverload, subject,
             "too much work is waiting");
    } else if (aOutcome != write_outcome::stored) {
      reject(one.mReply, 503, kRetryAfterTransient, subject, "the store has refused it");
    } else {
      one.mReply({ .mBody = std::string(aKey.mCancel ? kCancelledState : kQueuedState) });
    }
  }
}

void request_handler::status(scheduler::job_id aId, const std::string& aTeam, const reply& aReply)
{
  ++mCounters.mStatus;
  const auto* found = mJobTable.find(aId);
  const bool ended = found != nullptr && found->mPhase != scheduler::job_phase::active;
  if (!ended && mQueryOwner(aId, aTeam, [this, aId, aTeam, aReply](owner_answer&& aAnswer) {
        if (aAnswer.mBody) {
          replyWithBody(aId, *std::move(aAnswer.mBody), "owner", aReply);
        } else {
          replyWithState(aId, aTeam, aReply, aAnswer.mUnknownJob);
        }
      })) {
    return;
  }
  replyWithState(aId, aTeam, aReply);
}

void request_handler::replyWithState(scheduler::job_id aId, const std::string& aTeam,
                                     const reply& aReply, bool aDenied)
{
  const auto* found = findVisible(aId, aTeam);
  if (found != nullptr && found->mPhase != scheduler::job_phase::active && !mIsEndStored(aId)) {
    mAwaitEnd(aId,
              [this, aId, aTeam, aReply] { replyWithCurrentState(aId, aTeam, aReply, false); });
    return;
  }
  replyWithCurrentState(aId, aTeam, aReply, aDenied);
}

void request_handler::replyWithCurrentState(scheduler::job_id aId, const std::string& aTeam,
                                            const reply& aReply, bool aDenied)
{
  if (const auto* found = findVisible(aId, aTeam)) {
    replyWithBody(aId, platform::encodeJobState(*found, mIsEndStored(aId)), "table", aReply);
  } else if (isStoredUnread(aId, aTeam)) {
    // What is known of it is that it is stored.
    aReply({ .mBody = std::string(kQueuedState) });
  } else {
    rejectUnknownJob(aReply, fmt::format("job={}", toText(aId)), aDenied);
  }
}

void request_handler::replyWithBody(scheduler::job_id aId, std::string aBody,
                                    std::string_view aView, const reply& aReply)
{
  if (!platform::isActiveState(aBody)) {
    mLog.write("end_shown", fmt::format("job={} body={} view={} journal_age_ms={}", toText(aId),
                                        aBody, aView, ageMs(mCellStatus.mJournalAsOf)));
  }
  aReply({ .mBody = std::move(aBody) });
}

void request_handler::waiting(const std::string& aRoute, const reply& aReply)
{
  ++mCounters.mStatus;
  if (mCellStatus.mKnowsJobs) {
    aReply({ .mBody = platform::encodeWaiting(mJobTable.waitingJobs(aRoute)) });
    return;
  }
  const auto unknown = [this, aRoute, aReply] {
    reject(aReply, 503, kRetryAfterTransient, fmt::format("route={}", aRoute),
           "the owner does not answer");
  };
  const bool queried = mQueryWaiting(aRoute, [aReply, unknown](owner_answer&& aAnswer) {
    if (aAnswer.mBody) {
      aReply({ .mBody = *std::move(aAnswer.mBody) });
    } else {
      unknown();
    }
  });
  if (!queried) {
    unknown();
  }
}

void request_handler::cancel(const platform::caller_request& aCall, scheduler::job_id aId,
                             const std::string& aTeam, reply aReply)
{
  const auto* found = mJobTable.find(aId);
  if (found == nullptr && !isStoredUnread(aId, aTeam)) {
    cancelAtOwner(aCall, aId, aTeam, aReply);
    return;
  }
  if (found != nullptr && !found->mSpec.visibleTo(aTeam)) {
    rejectUnknownJob(aReply, fmt::format("job={} cancel=true", toText(aId)));
    return;
  }
  if (found != nullptr && found->mPhase != scheduler::job_phase::active && mIsEndStored(aId) &&
      mIsStored({ .mJob = aId, .mCancel = true })) {
    auto body = platform::encodeJobState(*found, true);
    mLog.write("cancellation_needless",
               fmt::format("job={} body={} view=table journal_age_ms={}", toText(aId), body,
                           ageMs(mCellStatus.mJournalAsOf)));
    aReply({ .mBody = std::move(body) });
    return;
  }
  if (auto charged = charge(0)) {
    storeCancellation(aCall, aId, std::move(charged), std::move(aReply));
  } else {
    rejectForMemory({ .mJob = aId, .mCancel = true }, aReply);
  }
}

void request_handler::cancelAtOwner(const platform::caller_request& aCall, scheduler::job_id aId,
                                    const std::string& aTeam, const reply& aReply)
{
  auto charged = charge(0);
  if (!charged) {
    rejectForMemory({ .mJob = aId, .mCancel = true }, aReply);
    return;
  }
  unread_cancellation one{ .mCall = aCall,
                           .mJob = aId,
                           .mTeam = aTeam,
                           .mCaller = makeCaller(aCall, std::move(charged), aReply),
                           .mSince = mClock.now() };
  const bool queried = mQueryOwner(aId, aTeam, [this, one](const owner_answer& aAnswer) {
    if (aAnswer.mBody) {
      storeCancellation(one.mCall, one.mJob, one.mCaller.mCharge, one.mCaller.mReply);
    } else if (aAnswer.mUnknownJob) {
      rejectUnknownJob(one.mCaller.mReply, fmt::format("job={} cancel=true", toText(one.mJob)),
                       true);
    } else {
      cancelOrDeny(one);
    }
  });
  if (!queried) {
    cancelOrDeny(std::move(one));
  }
}

bool request_handler::isDecidable(const unread_cancellation& aCancellation) const
{
  return mStopping || aCancellation.mCaller.mUntil <= mClock.now() || !mCellStatus.mKnowsJobs ||
         !mCellStatus.mCaughtUp || mCellStatus.mJournalAsOf >= aCancellation.mSince ||
         mJobTable.find(aCancellation.mJob) != nullptr ||
         isStoredUnread(aCancellation.mJob, {}); // Perhaps one of another team.
}

void request_handler::cancelOrDeny(unread_cancellation aCancellation)
{
  if (!isDecidable(aCancellation)) {
    mUnreadCancellations.push_back(std::move(aCancellation));
    return;
  }
  const auto& [call, id, team, caller, since] = aCancellation;
  const auto now = mClock.now();
  const auto subject = fmt::format("job={} cancel=true", toText(id));
  if (mStopping || caller.mUntil <= now) {
    reject(caller.mReply, 503, kRetryAfterTransient, subject, "the journal is not read in time");
  } else if (mJobTable.find(id) != nullptr || isStoredUnread(id, team)) {
    auto rest = call;
    rest.mTimeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(caller.mUntil - now) + kReplyMargin;
    cancel(rest, id, team, caller.mReply);
  } else {
    rejectUnknownJob(caller.mReply, subject);
  }
}

void request_handler::decideCancellations()
{
  for (auto& one : std::exchange(mUnreadCancellations, {})) {
    cancelOrDeny(std::move(one));
  }
}

void request_handler::storeCancellation(const platform::caller_request& aCall,
                                        scheduler::job_id aId, charge_pointer aCharge, reply aReply)
{
  if (joinPending(aCall, { .mJob = aId, .mCancel = true }, aReply)) {
    return;
  }
  store(aCall, { .mJob = aId, .mCancel = true }, scheduler::job_cancelled{ .mJob = aId },
        std::move(aCharge), std::move(aReply));
}

void request_handler::replyUnknownOutcome(const caller& aCaller, std::string_view aSubject,
                                          time_point aSince)
{
  ++mCounters.mUnknown;
  mLog.write("unknown_outcome", fmt::format("{} waited_ms={}", aSubject, ageMs(aSince)));
  aCaller.mReply({ .mStatus = 504, .mBody = R"({"error":"the outcome is not known"})" });
}

void request_handler::tick(time_point aNow)
{
  answerIf([aNow](const caller& aOne) { return aOne.mUntil <= aNow; });
  decideCancellations();
  if (mNextPurge <= aNow) {
    mNextPurge = aNow + kPurgeInterval;
    std::erase_if(mUnknownOutcomes,
                  [aNow](const auto& aOne) { return aNow - aOne.second >= kUnknownOutcomePeriod; });
    std::erase_if(mStoredJobs,
                  [aNow](const auto& aOne) { return aNow - aOne.second.mAt >= kStoredJobPeriod; });
  }
}

void request_handler::answerWaiting()
{
  mStopping = true;
  answerIf([](const caller& /*aOne*/) { return true; });
  decideCancellations();
}

void request_handler::answerIf(const std::function<bool(const caller& aCaller)>& aChosen)
{
  for (auto& [key, pending] : mPending) {
    std::erase_if(pending.mCallers, [&](const caller& aOne) {
      if (!aChosen(aOne)) {
        return false;
      }
      replyUnknownOutcome(aOne, fmt::format("job={} cancel={}", toText(key.mJob), key.mCancel),
                          pending.mSince);
      return true;
    });
  }
}

} // namespace endiveusher::node
