#include "soak/soak_checker.h"

#include <algorithm>

namespace endiveusher::standins {

namespace {

std::string text(const task_key& aKey)
{
  return aKey.mRequest + "/" + std::to_string(aKey.mIndex);
}

std::string entryName(const config_change& aChange)
{
  return std::visit(
    [](const auto& aBody) -> std::string {
      if constexpr (requires { aBody.mKeyDigest; }) {
        return "key " + aBody.mKeyDigest;
      } else if constexpr (requires { aBody.mZone; }) {
        return "zone " + aBody.mZone;
      } else {
        return "team " + aBody.mTeam;
      }
    },
    aChange);
}

bool fitsLimit(const resources& aUsed, const limit_vector& aLimit)
{
  return aUsed.mSlots <= aLimit.mTasks && aUsed.mCpuMilli <= aLimit.mCpuMilli &&
         aUsed.mMemoryMb <= aLimit.mMemoryMb && aUsed.mAccelerators <= aLimit.mAccelerators;
}

std::string limitText(const limit_vector& aLimit)
{
  const auto part = [](std::int64_t aValue) {
    return aValue == limit_vector::kUnlimited ? std::string("-") : std::to_string(aValue);
  };
  return part(aLimit.mTasks) + "/" + part(aLimit.mCpuMilli) + "/" + part(aLimit.mMemoryMb);
}

std::string teamText(const set_team& aTeam)
{
  return aTeam.mTeam + " share " + std::to_string(aTeam.mShare) + " limit " +
         limitText(aTeam.mLimit) + (aTeam.mOpen ? " open" : "") + "\n";
}

bool isTerminal(task_state aState)
{
  return aState != task_state::waiting && aState != task_state::starting &&
         aState != task_state::running;
}

} // namespace

void soak_checker::reportViolation(const std::string& aInvariant, const std::string& aText)
{
  mSim->trace("VIOLATION " + aInvariant + ": " + aText);
  // Reports one violation per invariant and object, to keep the list short.
  if (mReportedObjects.insert(aInvariant + aText.substr(0, aText.find(':'))).second) {
    mViolations.push_back({ .mInvariant = aInvariant, .mText = aText, .mAt = mSim->elapsed() });
  }
  if (aInvariant != "M10") {
    mSim->freezeTrace();
  }
}

void soak_checker::onTarget(const target_observation& aObservation, const zone_name& aZone,
                            const resources& aUsed, const resources& aCapacity)
{
  const auto& task = aObservation.mTask;
  auto& history = mRequests[task.mKey.mRequest].mTasks[task.mKey.mIndex];
  if (aObservation.mKind == target_observation::kind::started) {
    mSim->trace("start " + text(task.mKey) + " attempt " + std::to_string(task.mAttempt) + " on " +
                aObservation.mTarget + " by " + task.mPlacer +
                (task.mCheckpoint.empty() ? "" : " from " + task.mCheckpoint));
    if (!aUsed.fitsIn(aCapacity)) {
      reportViolation("M1",
                      aObservation.mTarget + ": overcommitted by the start of " + text(task.mKey));
    }
    onStart(aObservation, aZone);
    return;
  }
  ++mFinished;
  mSim->trace("end " + text(task.mKey) + " attempt " + std::to_string(task.mAttempt) + " on " +
              aObservation.mTarget + " outcome " +
              (aObservation.mKind == target_observation::kind::lost
                 ? "lost"
                 : std::to_string(static_cast<int>(aObservation.mOutcome))));
  history.mRunningOn.erase(aObservation.mTarget);
  mRunning[task.mTeam] -= task.mSize;
  if (aObservation.mKind == target_observation::kind::ended) {
    history.mSucceeded |= aObservation.mOutcome == attempt_outcome::succeeded;
    if (!aObservation.mCheckpoint.empty()) {
      history.mCheckpoints.insert(aObservation.mCheckpoint);
    }
  }
}

void soak_checker::onStart(const target_observation& aObservation, const zone_name& aZone)
{
  ++mStarted;
  const auto& task = aObservation.mTask;
  const auto& target = aObservation.mTarget;
  const time_point now = mSim->now();
  auto& request = mRequests[task.mKey.mRequest];
  auto& history = request.mTasks[task.mKey.mIndex];
  const std::string name = text(task.mKey);

  for (const auto& other : history.mRunningOn) {
    reportViolation(
      "M2", std::string(name).append(": started on ").append(target).append(" while it runs on ") +
              other);
  }
  history.mRunningOn.insert(target);

  if (!request.mAuthorized || task.mTeam != request.mSpec.mTeam) {
    reportViolation("M3", name + ": started for team " + task.mTeam + " without a key of it");
  }
  auto& running = mRunning[task.mTeam];
  running += task.mSize;
  if (const auto limit = largestLimit(task.mTeam, kEnforcementDelay); !fitsLimit(running, limit)) {
    reportViolation("M4", task.mTeam + ": " + name + " raises usage to " +
                            std::to_string(running.mSlots) + " tasks, " +
                            std::to_string(running.mCpuMilli) + " mcpu, limit " + limitText(limit));
  }
  if (const auto out = mOutSince.find(aZone);
      out != mOutSince.end() && now - out->second > kEnforcementDelay) {
    reportViolation("M5", name + ": started in zone " + aZone + " that has been out for " +
                            std::to_string((now - out->second).count() / 1000) + " ms, limit " +
                            std::to_string(kEnforcementDelay.count() / 1000) + " ms");
  }
  if (const auto leaving = mLeavingSince.find(target);
      leaving != mLeavingSince.end() && now - leaving->second > kEnforcementDelay) {
    reportViolation("M9", name + ": started on " + target + " that has been leaving for " +
                            std::to_string((now - leaving->second).count() / 1000) + " ms, limit " +
                            std::to_string(kEnforcementDelay.count() / 1000) + " ms");
  }
  if (request.mAnsweredNotRun) {
    reportViolation("M7", name + ": started after it was answered not_run");
  }
  request.mStarted = true;
  if (request.mStartedCommand.empty()) {
    request.mStartedCommand = task.mCommand;
  } else if (request.mStartedCommand != task.mCommand) {
    reportViolation("M8", name + ": started with two different commands");
  }
  if (task.mCheckpoint.empty()) {
    if (++history.mFreshStarts > 1 && !request.mSpec.mIdempotent) {
      reportViolation("M8", name + ": not idempotent, started " +
                              std::to_string(history.mFreshStarts) + " times");
    }
  } else if (!history.mCheckpoints.contains(task.mCheckpoint)) {
    reportViolation("M8", name + ": resumed from a checkpoint that it never made");
  } else if (!history.mResumedFrom.insert(task.mCheckpoint).second && !request.mSpec.mIdempotent) {
    reportViolation("M8", name + ": not idempotent, resumed twice from " + task.mCheckpoint);
  }
}

limit_vector soak_checker::largestLimit(const team_name& aTeam, duration aWithin) const
{
  const auto found = mLimits.find(aTeam);
  if (found == mLimits.end()) {
    return {};
  }
  limit_vector largest{ 0, 0, 0, 0 };
  // A limit stays allowed until aWithin after the next limit replaced it.
  const auto& history = found->second;
  for (auto at = history.begin(); at != history.end(); ++at) {
    if (std::next(at) != history.end() && std::next(at)->first + aWithin < mSim->now()) {
      continue;
    }
    largest.mTasks = std::max(largest.mTasks, at->second.mTasks);
    largest.mCpuMilli = std::max(largest.mCpuMilli, at->second.mCpuMilli);
    largest.mMemoryMb = std::max(largest.mMemoryMb, at->second.mMemoryMb);
    largest.mAccelerators = std::max(largest.mAccelerators, at->second.mAccelerators);
  }
  return largest;
}

void soak_checker::checkLimits(std::optional<time_point> aFaultFreeSince)
{
  if (!aFaultFreeSince || mSim->now() - *aFaultFreeSince < kSettlingTime) {
    return;
  }
  for (const auto& [team, running] : mRunning) {
    if (const auto limit = largestLimit(team, kLoweredLimitDeadline); !fitsLimit(running, limit)) {
      reportViolation("M4", team + ": " + std::to_string(running.mSlots) + " tasks, " +
                              std::to_string(running.mCpuMilli) +
                              " mcpu still running without active faults, limit " +
                              limitText(limit));
    }
  }
}

void soak_checker::onControlRecord(log_offset aOffset, const control_record& aRecord)
{
  const auto* config = std::get_if<config_record>(&aRecord.mBody);
  if (config == nullptr || mOperations.contains(config->mOperationId)) {
    return;
  }
  const bool applies =
    !config->mExpectedOffset ||
    std::all_of(config->mChanges.begin(), config->mChanges.end(), [&](const auto& aChange) {
      return lastChange(entryName(aChange)) <= *config->mExpectedOffset;
    });
  mOperations[config->mOperationId] = { aOffset, applies };
  mSim->trace("config " + config->mOperationId + " at " + std::to_string(aOffset) +
              (applies ? "" : " rejected by its expected offset"));
  if (!applies) {
    return;
  }
  if (mRefusedOperations.contains(config->mOperationId)) {
    reportViolation("M7", config->mOperationId + ": applied after it was answered not_run");
  }
  const time_point now = mSim->now();
  for (const auto& change : config->mChanges) {
    mLastChange[entryName(change)] = aOffset;
    if (const auto* team = std::get_if<set_team>(&change)) {
      mTeams[team->mTeam] = *team;
      mLimits[team->mTeam].emplace_back(now, team->mLimit);
    } else if (const auto* grant = std::get_if<grant_key>(&change)) {
      mKeys[grant->mKeyDigest] = grant->mTeam;
    } else if (const auto* withdraw = std::get_if<withdraw_key>(&change)) {
      if (const auto key = mKeys.find(withdraw->mKeyDigest); key != mKeys.end()) {
        mWithdrawn[key->first] = { key->second, now };
        mKeys.erase(key);
      }
    } else if (const auto* zone = std::get_if<set_zone_state>(&change)) {
      if (zone->mState == zone_state::in) {
        mOutSince.erase(zone->mZone);
      } else {
        mOutSince.emplace(zone->mZone, now);
      }
    }
  }
  mConfigAt[aOffset + 1] = configText();
  mConfigTimes.emplace_back(now, aOffset);
}

log_offset soak_checker::lastChange(const std::string& aEntry) const
{
  const auto found = mLastChange.find(aEntry);
  return found == mLastChange.end() ? 0 : found->second;
}

std::string soak_checker::configText() const
{
  std::string result;
  for (const auto& [name, team] : mTeams) {
    result += teamText(team);
    for (const auto& [digest, owner] : mKeys) {
      result += owner == name ? " " + digest + "\n" : "";
    }
  }
  for (const auto& [zone, since] : mOutSince) {
    result += zone + " out\n";
  }
  return result;
}

std::string soak_checker::configText(const config_view& aView)
{
  std::map<team_name, std::string> teams;
  for (const auto& team : aView.mTeams) {
    std::string& entry = teams[team.mTeam.mTeam] = teamText(team.mTeam);
    const std::set<std::string> digests(team.mKeyDigests.begin(), team.mKeyDigests.end());
    for (const auto& digest : digests) {
      entry += " " + digest + "\n";
    }
  }
  std::set<std::string> zones;
  for (const auto& zone : aView.mZones) {
    if (zone.mZone.mState == zone_state::out) {
      zones.insert(zone.mZone.mZone + " out\n");
    }
  }
  std::string result;
  for (const auto& [name, entry] : teams) {
    result += entry;
  }
  for (const auto& zone : zones) {
    result += zone;
  }
  return result;
}

void soak_checker::onDaemon(const incarnation_id& aIncarnation, const control_state& aControl,
                            std::optional<time_point> aConnected)
{
  const log_offset next = aControl.next();
  auto& seen = mSeenOffset[aIncarnation];
  if (next < seen) {
    reportViolation("M11", aIncarnation + ": offset decreased from " + std::to_string(seen) +
                             " to " + std::to_string(next));
  }
  seen = next;
  const auto after = mConfigAt.upper_bound(next);
  const std::string expected = after == mConfigAt.begin() ? "" : std::prev(after)->second;
  if (const std::string actual = configText(aControl.config()); actual != expected) {
    reportViolation("M11", aIncarnation + ": at offset " + std::to_string(next) + " expected:\n" +
                             expected + "but found:\n" + actual);
  }
  const time_point now = mSim->now();
  if (!aConnected || now - *aConnected < kConfigDeadline) {
    return;
  }
  for (const auto& [at, offset] : mConfigTimes) {
    if (now - at > kConfigDeadline && next <= offset) {
      reportViolation("M11", aIncarnation + ": connected, but has not read offset " +
                               std::to_string(offset) + " after " +
                               std::to_string((now - at).count() / 1000) + " ms, limit " +
                               std::to_string(kConfigDeadline.count() / 1000) + " ms");
    }
  }
}

void soak_checker::onRequest(const job_spec& aSpec)
{
  mRequests[aSpec.mRequest].mSpec = aSpec;
}

void soak_checker::onSubmit(const request_id& aRequest, const std::string& aKeyDigest)
{
  auto& request = mRequests[aRequest];
  const auto& team = request.mSpec.mTeam;
  const auto key = mKeys.find(aKeyDigest);
  const auto old = mWithdrawn.find(aKeyDigest);
  const auto known = mTeams.find(team);
  request.mAuthorized |= (known != mTeams.end() && known->second.mOpen) ||
                         (key != mKeys.end() && key->second == team) ||
                         (old != mWithdrawn.end() && old->second.first == team &&
                          mSim->now() - old->second.second <= kEnforcementDelay);
}

void soak_checker::onAnswer(const call& aCall, const answer& aAnswer)
{
  const auto* error = std::get_if<call_error>(&aAnswer.mBody);
  const auto* status = std::get_if<job_status>(&aAnswer.mBody);
  if (const auto* tickets = std::get_if<ticket_call>(&aCall)) {
    if (const auto* result = std::get_if<tickets_result>(&aAnswer.mBody)) {
      if (result->mTickets.size() != tickets->mCount) {
        reportViolation("M6", "tickets: received " + std::to_string(result->mTickets.size()) +
                                " of " + std::to_string(tickets->mCount));
      }
      for (const auto& ticket : result->mTickets) {
        if (!mTickets.insert(ticket).second) {
          reportViolation("M8", ticket + ": issued twice");
        }
      }
    } else if (error == nullptr) {
      reportViolation("M6", "tickets: unexpected type of answer");
    }
    return;
  }
  if (const auto* publish = std::get_if<publish_call>(&aCall)) {
    onPublished(*publish, aAnswer);
    return;
  }
  const auto checkStatus = [&](const request_id& aRequest) {
    if (status != nullptr) {
      onJobStatus(aRequest, *status);
    } else if (error == nullptr) {
      reportViolation("M6", aRequest + ": unexpected type of answer");
    }
  };
  if (const auto* submit = std::get_if<submit_call>(&aCall)) {
    const auto& id = submit->mJob.mRequest;
    checkStatus(id);
    auto& request = mRequests[id];
    if (aAnswer.mClass == answer_class::ran && status != nullptr && !request.mAuthorized) {
      reportViolation("M3", id + ": accepted without a key of its team");
    }
    // 409 rejects a second body under the same id; the first one may still run.
    if (aAnswer.mClass == answer_class::not_run && (error == nullptr || error->mStatus != 409)) {
      request.mAnsweredNotRun = true;
      if (request.mStarted) {
        reportViolation("M7", id + ": answered not_run after a start");
      }
    }
  } else if (const auto* wait = std::get_if<wait_call>(&aCall)) {
    checkStatus(wait->mRequest);
  } else if (const auto* ask = std::get_if<status_call>(&aCall)) {
    checkStatus(ask->mRequest);
  } else if (const auto* cancel = std::get_if<cancel_call>(&aCall)) {
    checkStatus(cancel->mRequest);
  }
}

void soak_checker::onJobStatus(const request_id& aRequest, const job_status& aStatus)
{
  if (aStatus.mRequest != aRequest) {
    reportViolation("M6", aRequest + ": received the answer of " + aStatus.mRequest);
    return;
  }
  auto& request = mRequests[aRequest];
  if (aStatus.mTaskCount != request.mSpec.mTaskCount ||
      aStatus.mTasks.size() != request.mSpec.mTaskCount) {
    reportViolation("M6", aRequest + ": " + std::to_string(aStatus.mTasks.size()) + " of " +
                            std::to_string(request.mSpec.mTaskCount) + " tasks in the answer");
  }
  for (std::size_t index = 0; index < aStatus.mTasks.size(); ++index) {
    const auto& task = aStatus.mTasks[index];
    const std::string name = aRequest + "/" + std::to_string(index);
    if (task.mIndex != index || (aStatus.mEnded && !isTerminal(task.mState))) {
      reportViolation("M6", name + ": missing or not ended in the answer for an ended job");
    }
    if (task.mState != task_state::succeeded) {
      continue;
    }
    if (!request.mTasks[task.mIndex].mSucceeded) {
      reportViolation("M6", name + ": reported as succeeded, but no attempt succeeded");
    } else if (task.mOutput != "ran " + name) {
      reportViolation("M6", name + ": succeeded, but its output is '" + task.mOutput + "'");
    }
  }
}

void soak_checker::onPublished(const publish_call& aCall, const answer& aAnswer)
{
  const auto found = mOperations.find(aCall.mOperationId);
  const bool applied = found != mOperations.end() && found->second.second;
  if (const auto* result = std::get_if<publish_result>(&aAnswer.mBody)) {
    if (!applied || found->second.first != result->mOffset) {
      reportViolation("M11", aCall.mOperationId + ": accepted at offset " +
                               std::to_string(result->mOffset) + " but not in force there");
    }
  } else if (aAnswer.mClass == answer_class::not_run) {
    mRefusedOperations.insert(aCall.mOperationId);
    if (applied) {
      reportViolation("M7", aCall.mOperationId + ": applied, but answered not_run");
    }
  }
}

void soak_checker::onUnanswered(const std::string& aCallText)
{
  reportViolation("M6", aCallText + ": no answer");
}

void soak_checker::onStopped(const std::string& aVm, duration aTook, std::size_t aOpenCalls,
                             bool aFaultFree)
{
  if (aTook > kShutdownDeadline) {
    reportViolation("M10", aVm + ": shutdown took " + std::to_string(aTook.count() / 1000) +
                             " ms, limit " + std::to_string(kShutdownDeadline.count() / 1000) +
                             " ms");
  }
  if (aOpenCalls > 0 && aFaultFree) {
    reportViolation("M10",
                    aVm + ": stopped without answering " + std::to_string(aOpenCalls) + " calls");
  }
}

} // namespace endiveusher::standins
