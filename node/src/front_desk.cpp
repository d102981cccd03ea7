#include "front_desk.h"

#include <fmt/format.h>

#include <utility>

namespace endiveusher::node {

namespace {

/// A caller that does not say how long it waits.
constexpr std::chrono::milliseconds kDefaultPatience{ 10'000 };
/// Left of a caller's time when it is told that the outcome is not known.
constexpr std::chrono::milliseconds kAnswerMargin{ 150 };
/// The store or the journal is behind: the next daemon or the next second may do.
constexpr std::chrono::seconds kComeBackSoon{ 1 };
/// A job that never fits is worth another try only after the operator has changed something.
constexpr std::chrono::seconds kComeBackLater{ 60 };

std::chrono::milliseconds patienceOf(const platform::front_call& aCall)
{
  const auto patience = aCall.mPatience.value_or(kDefaultPatience);
  return patience > 2 * kAnswerMargin ? patience - kAnswerMargin : patience / 2;
}

} // namespace

front_desk::front_desk(const clock& aClock, const scheduler::job_book& aBook, job_intake& aIntake,
                       event_log& aLog, front_options aOptions, stored_callback aStored)
  : mClock(aClock), mBook(aBook), mIntake(aIntake), mLog(aLog), mOptions(aOptions),
    mStored(std::move(aStored))
{
}

std::int64_t front_desk::ageMs(time_point aThen) const
{
  return (mClock.now() - aThen) / std::chrono::milliseconds(1);
}

const scheduler::job* front_desk::findFor(scheduler::job_id aId, std::string_view aTeam) const
{
  const auto* found = mBook.find(aId);
  return found != nullptr && found->mSpec.visibleTo(aTeam) ? found : nullptr;
}

front_desk::caller front_desk::callerOf(const platform::front_call& aCall, reply aReply) const
{
  return { .mReply = std::move(aReply), .mUntil = mClock.now() + patienceOf(aCall) };
}

bool front_desk::join(const platform::front_call& aCall, caller_record aKey, const reply& aReply)
{
  const auto open = mWaiting.find(aKey);
  if (open == mWaiting.end()) {
    return false;
  }
  open->second.mCallers.push_back(callerOf(aCall, aReply));
  return true;
}

void front_desk::denyJob(const reply& aReply, std::string_view aSubject)
{
  const bool current = mClock.now() - mView.mJournalAsOf <= mOptions.mMaxDenialAge;
  reject(aReply, current ? 410 : 503, kComeBackSoon, aSubject, "no such job");
}

void front_desk::reject(const reply& aReply, int aStatus, std::chrono::seconds aRetryAfter,
                        std::string_view aSubject, std::string_view aReason)
{
  ++mCounters.mRejected;
  mLog.write("rejected",
             fmt::format("{} status={} reason=\"{}\" config_version={} config_age_ms={} "
                         "journal_age_ms={}",
                         aSubject, aStatus, aReason, mView.mConfig ? mView.mConfig->mVersion : 0,
                         ageMs(mView.mConfigAsOf), ageMs(mView.mJournalAsOf)));
  front_answer answer{ .mStatus = aStatus, .mBody = fmt::format(R"({{"error":"{}"}})", aReason) };
  if (aStatus == 429 || aStatus == 503) {
    answer.mRetryAfter = aRetryAfter;
  }
  aReply(std::move(answer));
}

void front_desk::handle(const platform::front_call& aCall, std::string_view aBody, reply aReply)
{
  using verb = platform::front_call::verb;
  const auto now = mClock.now();
  const auto subject = fmt::format("path={}", aCall.mPath);
  if (!mView.mConfig || !mView.mCaughtUp) {
    reject(aReply, 503, kComeBackSoon, subject, "not ready");
    return;
  }
  const auto& config = *mView.mConfig;
  const bool current = now - mView.mConfigAsOf <= mOptions.mMaxDenialAge;
  const auto deny = [&](int aStatus, std::string_view aReason) {
    // An older view may lack the newest route or key.
    reject(aReply, current ? aStatus : 503, kComeBackSoon, subject, aReason);
  };
  const auto* route = config.match(aCall.mHost, aCall.mPath);
  if (route == nullptr) {
    deny(404, "no such route");
    return;
  }
  std::string team;
  if (!route->mPublic) {
    if (now - mView.mConfigAsOf > mOptions.mMaxConfigAge) {
      reject(aReply, 503, kComeBackSoon, subject, "configuration too old to check keys");
      return;
    }
    const auto* owning = config.teamOfKey(aCall.mKey);
    if (owning == nullptr) {
      deny(401, "unknown key");
      return;
    }
    team = owning->mName;
  }
  const auto rest = std::string_view(aCall.mPath).substr(route->mPathPrefix.size());
  if (rest.empty() && aCall.mVerb == verb::status) {
    ++mCounters.mStatus;
    aReply({ .mBody = platform::encodeWaiting(mBook.waiting(route->mName)) });
    return;
  }
  const auto id = scheduler::parseJobId(rest);
  if (!id || aCall.mVerb == verb::other) {
    reject(aReply, aCall.mVerb == verb::other ? 405 : 404, kComeBackSoon, subject,
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

void front_desk::submit(const platform::front_call& aCall, scheduler::job_id aId,
                        std::string_view aBody, const scheduler::route_config& aRoute,
                        const std::string& aTeam, reply aReply)
{
  ++mCounters.mSubmitted;
  const auto subject = fmt::format("job={} route={} team={}", toText(aId), aRoute.mName, aTeam);
  if (join(aCall, { .mJob = aId }, aReply)) {
    return;
  }
  if (const auto* known = mBook.find(aId); known != nullptr && mIsStored({ .mJob = aId })) {
    mLog.write("repeated", subject);
    aReply({ .mBody = platform::encodeJobState(*known, mEndStored(aId)) });
    return;
  }
  auto spec = platform::decodeJob(aBody);
  if (!spec.ok()) {
    reject(aReply, 400, kComeBackLater, subject, "malformed job");
    mLog.write("malformed",
               fmt::format("{} error=\"{}\"", subject, std::string(spec.status().message())));
    return;
  }
  spec->mId = aId;
  spec->mRoute = aRoute.mName;
  spec->mTeam = aTeam;
  spec->mSubmitted = std::chrono::duration_cast<scheduler::wall_time>(
    std::chrono::system_clock::now().time_since_epoch());
  const auto reason = neverFits(*spec, aRoute, mView.mConfig->team(aTeam), mCapacity);
  if (!reason.empty()) {
    reject(aReply, 429, kComeBackLater, subject, reason);
    return;
  }
  store(aCall, { .mJob = aId }, scheduler::job_submitted{ .mSpec = std::move(*spec) },
        std::move(aReply));
}

void front_desk::store(const platform::front_call& aCall, caller_record aKey,
                       const scheduler::journal_record& aRecord, reply aReply)
{
  const auto now = mClock.now();
  if (mIntake.closed(now, mView.mStoreLost, mOptions.mMaxWriteAge)) {
    reject(aReply, 503, kComeBackSoon,
           fmt::format("job={} cancel={}", toText(aKey.mJob), aKey.mCancel),
           "the store does not answer");
    return;
  }
  auto& open = mWaiting[aKey];
  open.mSince = now;
  open.mCallers.push_back(callerOf(aCall, std::move(aReply)));
  mIntake.store(
    aRecord, [this, aKey, aRecord](write_outcome aOutcome) { written(aKey, aRecord, aOutcome); });
}

void front_desk::written(caller_record aKey, const scheduler::journal_record& aRecord,
                         write_outcome aOutcome)
{
  if (aOutcome == write_outcome::stored) {
    mStored(aRecord);
  }
  const auto found = mWaiting.find(aKey);
  if (found == mWaiting.end()) {
    return;
  }
  const auto open = std::move(found->second);
  mWaiting.erase(found);
  const auto subject = fmt::format("job={} cancel={}", toText(aKey.mJob), aKey.mCancel);
  if (aOutcome == write_outcome::stored) {
    ++(aKey.mCancel ? mCounters.mCancelled : mCounters.mAccepted);
    mLog.write("stored", fmt::format("{} after_ms={}", subject, ageMs(open.mSince)));
  }
  for (const auto& one : open.mCallers) {
    if (aOutcome == write_outcome::unknown) {
      answerUnknown(one, subject, open.mSince);
    } else if (aOutcome != write_outcome::stored) {
      reject(one.mReply, 503, kComeBackSoon, subject, "the store has refused it");
    } else {
      one.mReply({ .mBody = aKey.mCancel ? R"({"state":"cancelled"})" : R"({"state":"queued"})" });
    }
  }
}

void front_desk::status(scheduler::job_id aId, const std::string& aTeam, const reply& aReply)
{
  ++mCounters.mStatus;
  const auto* found = mBook.find(aId);
  const bool ended = found != nullptr && found->mPhase != scheduler::job_phase::active;
  if (!ended &&
      mAskOwner(aId, aTeam, [this, aId, aTeam, aReply](std::optional<std::string> aState) {
        if (aState) {
          aReply({ .mBody = *std::move(aState) });
        } else {
          tellState(aId, aTeam, aReply);
        }
      })) {
    return;
  }
  tellState(aId, aTeam, aReply);
}

void front_desk::tellState(scheduler::job_id aId, const std::string& aTeam, const reply& aReply)
{
  if (const auto* found = findFor(aId, aTeam)) {
    aReply({ .mBody = platform::encodeJobState(*found, mEndStored(aId)) });
  } else {
    denyJob(aReply, fmt::format("job={}", toText(aId)));
  }
}

void front_desk::cancel(const platform::front_call& aCall, scheduler::job_id aId,
                        const std::string& aTeam, reply aReply)
{
  const auto* found = findFor(aId, aTeam);
  if (found == nullptr) {
    denyJob(aReply, fmt::format("job={} cancel=true", toText(aId)));
    return;
  }
  if (found->mPhase != scheduler::job_phase::active &&
      mIsStored({ .mJob = aId, .mCancel = true })) {
    aReply({ .mBody = platform::encodeJobState(*found, true) });
    return;
  }
  if (join(aCall, { .mJob = aId, .mCancel = true }, aReply)) {
    return;
  }
  store(aCall, { .mJob = aId, .mCancel = true }, scheduler::job_cancelled{ .mJob = aId },
        std::move(aReply));
}

void front_desk::answerUnknown(const caller& aCaller, std::string_view aSubject, time_point aSince)
{
  ++mCounters.mUnknown;
  mLog.write("unknown_outcome", fmt::format("{} waited_ms={}", aSubject, ageMs(aSince)));
  aCaller.mReply({ .mStatus = 504, .mBody = R"({"error":"the outcome is not known"})" });
}

void front_desk::tick(time_point aNow)
{
  for (auto& [key, open] : mWaiting) {
    std::erase_if(open.mCallers, [&](const caller& aOne) {
      if (aOne.mUntil > aNow) {
        return false;
      }
      answerUnknown(aOne, fmt::format("job={} cancel={}", toText(key.mJob), key.mCancel),
                    open.mSince);
      return true;
    });
  }
}

} // namespace endiveusher::node
