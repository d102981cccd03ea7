#pragma once

#include "submit_handler.h"

namespace endiveusher::internal {

template<guard_policy Guards>
void submit_handler<Guards>::handle(const call_origin& aOrigin, const ticket_call& aCall)
{
  if (aCall.mCount == 0 || aCall.mCount > kMaxTickets) {
    refuse(aOrigin, answer_class::not_run, 400, "bad_count",
           "The number of tickets is not between 1 and 1000.", "validate");
    return;
  }
  if (mContext.mStopping || !mContext.mayDecide()) {
    refuse(aOrigin, answer_class::not_run, 503, mContext.mStopping ? "stopping" : "not_fresh",
           "This daemon issues no tickets now.", "accept");
    return;
  }
  tickets_result result;
  result.mTickets.reserve(aCall.mCount);
  for (std::uint32_t i = 0; i < aCall.mCount; ++i) {
    result.mTickets.push_back(
      formatTicket({ .mIssuer = mContext.self(), .mNumber = mNextTicket++ }));
  }
  mRouter.reply(aOrigin, { .mClass = answer_class::ran, .mBody = std::move(result) });
}

template<guard_policy Guards>
void submit_handler<Guards>::handle(const call_origin& aOrigin, const submit_call& aCall)
{
  const auto& request = aCall.mJob.mRequest;
  if (!isValidRequestId(request)) {
    refuse(aOrigin, answer_class::not_run, 400, "bad_request_id",
           "The request id is empty, too long or not printable ASCII.", "validate");
    return;
  }
  const auto parsed = parseTicket(request);
  if (!parsed) {
    decidePlain(aOrigin, aCall);
    return;
  }
  if (parsed->mIssuer == mContext.self() || mContext.succeeds(parsed->mIssuer)) {
    decideTicket(aOrigin, aCall, *parsed);
    return;
  }
  const auto& control = mContext.control();
  if (!control.isMember(parsed->mIssuer) && !control.hasEnded(parsed->mIssuer)) {
    refuse(aOrigin, maybeRan(), 404, "unknown_issuer",
           "No daemon known here has issued this ticket.", "route");
    return;
  }
  mRouter.forward(aOrigin, aCall, control.resolve(parsed->mIssuer));
}

template<guard_policy Guards>
std::optional<call_error> submit_handler<Guards>::check(submit_call& aCall) const
{
  if (auto error = checkKey(aCall.mKey, aCall.mJob.mTeam, mContext.control())) {
    return error;
  }
  if (auto error = checkFields(aCall.mJob)) {
    return error;
  }
  if (auto error = checkConfiguration(aCall.mJob, mContext.control())) {
    return error;
  }
  if (auto error = checkFit(aCall.mJob)) {
    return error;
  }
  return checkLoad();
}

template<guard_policy Guards>
void submit_handler<Guards>::updateLargestTotal()
{
  const auto update = [this](const resources& aTotal) {
    mLargestTotal.mSlots = std::max(mLargestTotal.mSlots, aTotal.mSlots);
    mLargestTotal.mCpuMilli = std::max(mLargestTotal.mCpuMilli, aTotal.mCpuMilli);
    mLargestTotal.mMemoryMb = std::max(mLargestTotal.mMemoryMb, aTotal.mMemoryMb);
    mLargestTotal.mAccelerators = std::max(mLargestTotal.mAccelerators, aTotal.mAccelerators);
  };
  update(mContext.mPlacer.summary().mTotal);
  for (const auto& member : mContext.mMembership.live(mContext.mNow)) {
    const auto* gossip =
      member == mContext.self() ? nullptr : mContext.mMembership.lastGossip(member);
    if (gossip != nullptr) {
      update(gossip->mTotal);
    }
  }
}

template<guard_policy Guards>
std::optional<call_error> submit_handler<Guards>::checkFit(const job_spec& aJob) const
{
  // The placer knows the capacity of single targets only for those that it reads; the others are
  // covered by the totals of their owners.
  const bool allHeard =
    mContext.mMembership.live(mContext.mNow).size() == mContext.control().members().size();
  if (mLargestTotal.mSlots == 0 || aJob.mPerTask.fitsIn(mLargestTotal) ||
      (!allHeard && mContext.mPlacer.couldEverFit(aJob.mPerTask))) {
    return std::nullopt;
  }
  return call_error{ .mStatus = 422,
                     .mCode = "never_fits",
                     .mMessage = "No target could ever hold a task of this size.",
                     .mStep = "validate",
                     .mPeer = mContext.self() };
}

template<guard_policy Guards>
std::optional<call_error> submit_handler<Guards>::checkLoad() const
{
  if (mContext.mStopping) {
    return call_error{ .mStatus = 503,
                       .mCode = "stopping",
                       .mMessage = "This daemon is shutting down.",
                       .mStep = "accept",
                       .mPeer = mContext.self() };
  }
  if (mContext.mJobs.unfinished() >= mContext.mOptions.mJobLimit) {
    return call_error{ .mStatus = 503,
                       .mCode = "overloaded",
                       .mMessage = "This daemon holds too many unfinished jobs.",
                       .mStep = "accept",
                       .mPeer = mContext.self() };
  }
  return std::nullopt;
}

template<guard_policy Guards>
bool submit_handler<Guards>::wasAccepted(const ticket& aTicket) const
{
  return aTicket.mIssuer == mContext.self() && aTicket.mNumber < mAccepted.size() &&
         mAccepted[aTicket.mNumber];
}

template<guard_policy Guards>
void submit_handler<Guards>::decideTicket(const call_origin& aOrigin, submit_call aCall,
                                          const ticket& aTicket)
{
  const auto& request = aCall.mJob.mRequest;
  const bool isIssuer = aTicket.mIssuer == mContext.self();
  if constexpr (Guards::kChecksRequestIds) {
    if (const auto* job = mContext.mJobs.find(request)) {
      duplicate(aOrigin, std::move(aCall), *job);
      return;
    }
    if (const auto* ended = mContext.mIndex.findEnded(request)) {
      mRouter.reply(aOrigin, endedAnswer(*ended));
      return;
    }
    if (wasAccepted(aTicket)) {
      refuse(aOrigin, answer_class::ran, 410, "result_expired",
             "The job has ended and its result is no longer kept.", "look up");
      return;
    }
  }
  if (!mContext.mayDecide()) {
    refuse(aOrigin, maybeRan(), 503, "not_fresh",
           "This daemon has no fresh view of the configuration and decides about no request.",
           "accept");
    return;
  }
  if (isIssuer && (aTicket.mNumber == 0 || aTicket.mNumber >= mNextTicket)) {
    refuse(aOrigin, answer_class::not_run, 400, "ticket_not_issued",
           "This daemon has not issued the ticket.", "validate");
    return;
  }
  if (auto error = check(aCall)) {
    refuse(aOrigin, isIssuer ? answer_class::not_run : maybeRan(), std::move(*error));
    return;
  }
  const auto digest = bodyDigest(aCall.mJob);
  if (isIssuer) {
    if (mAccepted.size() <= aTicket.mNumber) {
      mAccepted.resize(aTicket.mNumber + 1);
    }
    mAccepted[aTicket.mNumber] = true;
    acknowledge(aOrigin, mReplicator.accept(aCall.mJob, digest));
    return;
  }
  if (!aCall.mJob.mIdempotent) {
    refuse(aOrigin, maybeRan(), 409, "issuer_lost",
           "The daemon that issued the ticket has ended; the request may have run there.",
           "accept");
    return;
  }
  if (!mFailover.complete(aTicket.mIssuer)) {
    refuse(aOrigin, maybeRan(), 503, "takeover_in_progress",
           "The targets of the daemon that issued the ticket have not all been read yet.",
           "accept");
    return;
  }
  if (const auto* job = mFailover.acceptForEndedIssuer(aTicket.mIssuer, aCall.mJob, digest)) {
    acknowledge(aOrigin, *job);
  }
}

template<guard_policy Guards>
void submit_handler<Guards>::duplicate(const call_origin& aOrigin, submit_call aCall,
                                       const coordinated_job& aJob)
{
  auto team = aJob.mSpec.mTeam;
  if (auto error = checkKey(aCall.mKey, team, mContext.control())) {
    refuse(aOrigin, maybeRan(), std::move(*error));
    return;
  }
  if (aCall.mJob.mTeam.empty()) {
    aCall.mJob.mTeam = team;
  }
  if (bodyDigest(aCall.mJob) != aJob.mDigest) {
    refuse(aOrigin, maybeRan(), 409, "id_conflict",
           "Another request with this id was accepted before.", "accept");
    return;
  }
  const auto pending = mAcknowledgements.find(aJob.mSpec.mRequest);
  if (pending != mAcknowledgements.end()) {
    pending->second.mOrigins.insert(aOrigin);
  } else {
    mRouter.reply(aOrigin, statusAnswer(aJob));
  }
}

template<guard_policy Guards>
void submit_handler<Guards>::acknowledge(const call_origin& aOrigin, const coordinated_job& aJob)
{
  if (aJob.mDurability != durability::memory || !mReplicator.canReplicate()) {
    mRouter.reply(aOrigin, statusAnswer(aJob));
    return;
  }
  auto& pending = mAcknowledgements[aJob.mSpec.mRequest];
  pending.mOrigins.insert(aOrigin);
  pending.mDeadline = mContext.mNow + kReplicationWait;
}

template<guard_policy Guards>
void submit_handler<Guards>::onDurabilityRaised(const coordinated_job& aJob)
{
  const auto pending = mAcknowledgements.find(aJob.mSpec.mRequest);
  if (pending == mAcknowledgements.end()) {
    return;
  }
  for (const auto& origin : pending->second.mOrigins) {
    mRouter.reply(origin, statusAnswer(aJob));
  }
  mAcknowledgements.erase(pending);
}

template<guard_policy Guards>
void submit_handler<Guards>::decidePlain(const call_origin& aOrigin, submit_call aCall)
{
  const auto request = aCall.mJob.mRequest;
  if constexpr (Guards::kChecksRequestIds) {
    if (const auto* job = mContext.mJobs.find(request)) {
      duplicate(aOrigin, std::move(aCall), *job);
      return;
    }
    if (const auto decision = mContext.mIndex.find(request)) {
      const auto& coordinator = mContext.control().resolve(decision->mCoordinator);
      if (coordinator != mContext.self()) {
        mRouter.forward(aOrigin, aCall, coordinator);
      } else if (const auto* ended = mContext.mIndex.findEnded(request)) {
        mRouter.reply(aOrigin, endedAnswer(*ended));
      } else if (decision->mCoordinator != mContext.self() &&
                 !mFailover.jobsLoaded(decision->mCoordinator)) {
        refuse(aOrigin, maybeRan(), 503, "takeover_in_progress",
               "The home of the job has ended and its jobs have not been taken over yet.",
               "look up");
      } else {
        refuse(aOrigin, answer_class::ran, 410, "result_expired",
               "The job has ended and its result is no longer kept.", "look up");
      }
      return;
    }
  }
  if (!mContext.mayDecide()) {
    refuse(aOrigin, maybeRan(), 503, "not_fresh",
           "This daemon has no fresh view of the configuration and decides about no request.",
           "accept");
    return;
  }
  // The log decides on plain ids, so a refusal here does not exclude that the request runs
  // elsewhere.
  if (auto error = check(aCall)) {
    refuse(aOrigin, maybeRan(), std::move(*error));
    return;
  }
  const auto digest = bodyDigest(aCall.mJob);
  if constexpr (!Guards::kChecksRequestIds) {
    acknowledge(aOrigin, mReplicator.accept(aCall.mJob, digest));
    return;
  }
  const auto pending = mPendingPlainIds.find(request);
  if (pending != mPendingPlainIds.end()) {
    if (pending->second.mDigest != digest) {
      refuse(aOrigin, maybeRan(), 409, "id_conflict",
             "Another request with this id is being decided.", "accept");
    } else {
      pending->second.mOrigins.insert(aOrigin);
      pending->second.mDeadline = mContext.mNow + kDecisionPeriod;
    }
    return;
  }
  if (!mContext.mMembership.logReachable() ||
      mPendingPlainIds.size() >= mContext.mOptions.mJobLimit) {
    refuse(aOrigin, maybeRan(), 503, "log_unreachable",
           "The log cannot be reached; it decides about requests without a ticket.", "append");
    return;
  }
  mContext.mJobLog.append(
    accept_record{ .mCoordinator = mContext.self(), .mJob = aCall.mJob, .mBodyDigest = digest });
  mPendingPlainIds[request] = { .mDigest = digest,
                                .mCall = std::move(aCall),
                                .mOrigins = { aOrigin },
                                .mDeadline = mContext.mNow + kDecisionPeriod };
}

template<guard_policy Guards>
void submit_handler<Guards>::onRecord(const accept_record& aRecord, log_offset aOffset)
{
  const auto& request = aRecord.mJob.mRequest;
  const bool isCoordinator = aRecord.mCoordinator == mContext.self();
  const bool decides = mContext.mIndex.apply(aRecord, aOffset);
  if (isCoordinator) {
    mContext.mIndex.dropUnfinished(request);
  }
  const auto pending = mPendingPlainIds.find(request);
  if (pending != mPendingPlainIds.end()) {
    const auto decided = std::move(pending->second);
    mPendingPlainIds.erase(pending);
    const auto decision = mContext.mIndex.find(request);
    if (decides && isCoordinator) {
      const auto& job = mReplicator.acceptLogged(aRecord.mJob, aRecord.mBodyDigest);
      for (const auto& origin : decided.mOrigins) {
        mRouter.reply(origin, statusAnswer(job));
      }
      return;
    }
    for (const auto& origin : decided.mOrigins) {
      if (decision && decision->mDigest == decided.mDigest) {
        mRouter.forward(origin, decided.mCall, mContext.control().resolve(decision->mCoordinator));
      } else {
        refuse(origin, maybeRan(), 409, "id_conflict",
               "Another request with this id was accepted before.", "accept");
      }
    }
  } else if (isCoordinator) {
    mReplicator.onLogged(request);
  }
  if (decides && mContext.succeeds(aRecord.mCoordinator)) {
    mFailover.onLateRecord(aRecord);
  }
}

template<guard_policy Guards>
void submit_handler<Guards>::tick()
{
  if (mContext.mNow >= mNextTotals) {
    mNextTotals = mContext.mNow + std::chrono::milliseconds(500);
    updateLargestTotal();
  }
  for (auto& [request, pending] : mPendingPlainIds) {
    if (mContext.mNow < pending.mDeadline || pending.mOrigins.empty()) {
      continue;
    }
    // The record may still be stored and decide the id; later calls with the id then find it.
    for (const auto& origin : pending.mOrigins) {
      refuse(origin, maybeRan(), 504, "undecided",
             "The log has not decided about the request in time.", "append");
    }
    pending.mOrigins.clear();
  }
  for (auto entry = mAcknowledgements.begin(); entry != mAcknowledgements.end();) {
    if (mContext.mNow < entry->second.mDeadline) {
      ++entry;
      continue;
    }
    const auto* job = mContext.mJobs.find(entry->first);
    for (const auto& origin : entry->second.mOrigins) {
      if (job != nullptr) {
        mRouter.reply(origin, statusAnswer(*job));
      }
    }
    entry = mAcknowledgements.erase(entry);
  }
}

template<guard_policy Guards>
void submit_handler<Guards>::answerAll()
{
  for (auto& [request, pending] : mPendingPlainIds) {
    pending.mDeadline = mContext.mNow;
  }
  for (auto& [request, pending] : mAcknowledgements) {
    pending.mDeadline = mContext.mNow;
  }
  tick();
}

} // namespace endiveusher::internal
