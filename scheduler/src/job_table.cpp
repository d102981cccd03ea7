#include "endiveusher/scheduler/job_table.h"

#include "job_memory.h"

#include <algorithm>
#include <utility>

namespace endiveusher::scheduler {

namespace {

/// One part in this many of the limit is left to occurrences of accepted jobs that fall due.
constexpr std::size_t kOccurrencePart = 5;

bool hasOpenRuns(const job& aJob)
{
  return std::ranges::any_of(aJob.mOccurrences, [](const auto& aOne) {
    return std::ranges::any_of(aOne.second,
                               [](const step_state& aStep) { return aStep.mOpen > 0; });
  });
}

/// Whether only the cancellation of the job is known. Every submission has a route.
bool isOnlyCancelled(const job& aJob)
{
  return aJob.mPhase == job_phase::cancelled && aJob.mSpec.mRoute.empty();
}

/// Whether nothing shows that a run of the job has ever begun.
bool nothingHasBegun(const job& aJob)
{
  return aJob.mDropped.empty() && std::ranges::all_of(aJob.mOccurrences, [](const auto& aOne) {
           return std::ranges::all_of(aOne.second, [](const step_state& aStep) {
             return aStep.mGangFailures == 0 && aStep.mTasks.reduced().empty() &&
                    std::ranges::all_of(aStep.mTasks.full(), [](const auto& aOne) {
                      const task_state& task = aOne.second;
                      return !task.mOpen && !task.mDone && task.mFailures == 0 &&
                             task.mCheckpoint.empty() && task.mCertainLosses == 0 &&
                             task.mTargetLosses == task.mStartLosses;
                    });
           });
         });
}

/// Counts the crash of a target under a run of the task.
void countTargetLoss(task_state& aTask, const run_ended& aEnd, time_point aNow)
{
  if (aNow - aTask.mLastTargetLoss > kTargetLossMemory) {
    aTask.mTargetLosses = 0;
    aTask.mStartLosses = 0;
    aTask.mCertainLosses = 0;
  }
  ++aTask.mTargetLosses;
  aTask.mStartLosses += isAtStart(aEnd.mOutcome) ? 1 : 0;
  aTask.mCertainLosses += aEnd.mHasBegun ? 1 : 0;
  aTask.mLastTargetLoss = aNow;
}

void keepForLog(step_state& aStep, const run_ended& aEnd, std::string aTarget)
{
  if (aStep.mCountedEnds.size() == kMaxCountedEnds) {
    aStep.mCountedEnds.erase(aStep.mCountedEnds.begin());
  }
  aStep.mCountedEnds.push_back({ .mIndex = aEnd.mTask.mIndex,
                                 .mRun = aEnd.mRun,
                                 .mOutcome = aEnd.mOutcome,
                                 .mTarget = std::move(aTarget) });
}

void keepSilentRun(step_state& aStep, silent_run aRun)
{
  const auto isOfTask = [&aRun](const silent_run& aOne) { return aOne.mIndex == aRun.mIndex; };
  if (std::ranges::count_if(aStep.mSilentRuns, isOfTask) == kMaxSilentRuns) {
    aStep.mSilentRuns.erase(std::ranges::find_if(aStep.mSilentRuns, isOfTask));
  }
  aStep.mSilentRuns.push_back(std::move(aRun));
}

/// Applies the record that tells whether the target of a silent run has crashed. Returns whether
/// the run is one.
bool resolveSilentRun(step_state& aStep, const run_ended& aEnd, time_point aNow)
{
  const auto found = std::ranges::find_if(aStep.mSilentRuns, [&aEnd](const silent_run& aRun) {
    return aRun.mIndex == aEnd.mTask.mIndex && aRun.mRun == aEnd.mRun;
  });
  if (found == aStep.mSilentRuns.end()) {
    return false;
  }
  if (isTargetLost(aEnd.mOutcome)) {
    countTargetLoss(aStep.mTasks.edit(aEnd.mTask.mIndex), aEnd, aNow);
    aStep.mTasks.compact(aEnd.mTask.mIndex);
    keepForLog(aStep, aEnd, std::move(found->mAt.mTarget));
  }
  aStep.mSilentRuns.erase(found);
  return true;
}

} // namespace

job* job_table::apply(const journal_record& aRecord, time_point aNow)
{
  return std::visit([this, aNow](const auto& aOne) { return applyRecord(aOne, aNow); }, aRecord);
}

bool job_table::hasPlaceFor(const journal_record& aRecord) const
{
  const auto* started = std::get_if<run_started>(&aRecord);
  const auto* ended = std::get_if<run_ended>(&aRecord);
  if (const auto* abandoned = std::get_if<job_abandoned>(&aRecord)) {
    return find(abandoned->mJob) != nullptr;
  }
  if (started == nullptr && ended == nullptr) {
    return true;
  }
  const auto& task = started != nullptr ? started->mTask : ended->mTask;
  const job* found = find(task.mStep.mJob);
  if (found == nullptr || found->mPhase != job_phase::active) {
    return found != nullptr;
  }
  const auto& steps = found->mSpec.mSteps;
  if (task.mStep.mOccurrence >= found->mSpec.occurrences() || task.mStep.mStep >= steps.size() ||
      task.mIndex >= steps[task.mStep.mStep].mCount) {
    return false;
  }
  if (found->mDropped.contains(task.mStep.mOccurrence)) {
    return true;
  }
  const auto* step = found->find(task.mStep);
  const auto known = step == nullptr ? 0 : step->mTasks[task.mIndex].mRun;
  // The members of a gang share a number, which is above that of each.
  return started == nullptr ? known >= ended->mRun
                            : steps[task.mStep.mStep].mGang || started->mRun <= known + 1;
}

job* job_table::applyRecord(const job_submitted& aRecord, time_point /*aNow*/)
{
  const auto [at, isNew] = mJobs.try_emplace(aRecord.mSpec.mId);
  job& made = at->second;
  const bool isCancelledBefore = !isNew && isOnlyCancelled(made);
  if (!isNew && !isCancelledBefore) {
    return nullptr;
  }
  // What was counted before belongs to no team.
  setBytes(made, 0);
  made.mSpec = aRecord.mSpec;
  if (made.mSpec.mRepeat == 0) {
    openOccurrence(made, 0);
  }
  recount(made);
  if (isCancelledBefore) {
    // Its runs are read next: the cancellation was taken out of the journal's order.
    return nullptr;
  }
  countWaiting(made, 1);
  return &made;
}

job* job_table::applyRecord(const job_cancelled& aRecord, time_point aNow)
{
  const auto [at, isNew] = mJobs.try_emplace(aRecord.mJob);
  job& found = at->second;
  if (isNew) {
    // The owner knew the job before its submission was stored, which may still be.
    found.mSpec.mId = aRecord.mJob;
    // It was never counted as waiting.
    found.mStarted = true;
    recount(found);
  }
  if (found.mPhase != job_phase::active) {
    return nullptr;
  }
  finish(found, job_phase::cancelled, aNow);
  return &found;
}

job* job_table::applyRecord(const run_started& aRecord, time_point aNow)
{
  job* found = find(aRecord.mTask.mStep.mJob);
  if (found == nullptr) {
    return nullptr;
  }
  openOccurrence(*found, aRecord.mTask.mStep.mOccurrence);
  step_state* step = stepOf(*found, aRecord.mTask.mStep);
  if (step == nullptr || aRecord.mTask.mIndex >= step->mTasks.size()) {
    return nullptr;
  }
  if (aRecord.mRun <= step->mTasks[aRecord.mTask.mIndex].mRun) {
    return nullptr;
  }
  const auto bytesBefore = internal::bytesOfFullState(*step, aRecord.mTask.mIndex);
  auto& task = step->mTasks.edit(aRecord.mTask.mIndex);
  step->mOpen += task.mOpen ? 0 : 1;
  task.mRun = aRecord.mRun;
  task.mOpen = aRecord.mAt;
  task.mStartedAt = aNow;
  setBytes(*found,
           found->mBytes - bytesBefore + internal::bytesOfFullState(*step, aRecord.mTask.mIndex));
  if (!found->mStarted) {
    countWaiting(*found, -1);
    found->mStarted = true;
  }
  return found;
}

job* job_table::applyRecord(const run_ended& aRecord, time_point aNow)
{
  job* found = find(aRecord.mTask.mStep.mJob);
  step_state* step = found == nullptr ? nullptr : stepOf(*found, aRecord.mTask.mStep);
  if (step == nullptr || aRecord.mTask.mIndex >= step->mTasks.size()) {
    return nullptr;
  }
  if (aRecord.mRun > step->mTasks[aRecord.mTask.mIndex].mRun) {
    // The end shows a start that the table lacks.
    applyRecord(run_started{ .mTask = aRecord.mTask, .mRun = aRecord.mRun }, aNow);
  }
  const bool wasComplete = step->complete();
  const bool gang = found->mSpec.mSteps[aRecord.mTask.mStep.mStep].mGang;
  // The end of a member changes the states of others.
  const auto bytes = [&] {
    return gang ? internal::bytesOfFullStates(*step)
                : internal::bytesOfFullState(*step, aRecord.mTask.mIndex);
  };
  const auto bytesBefore = bytes();
  const auto& task = step->mTasks[aRecord.mTask.mIndex];
  const bool endsRun = aRecord.mRun == task.mRun && task.mOpen;
  if (endsRun) {
    endRun(*found, *step, aRecord, aNow);
  } else if (!resolveSilentRun(*step, aRecord, aNow)) {
    return nullptr;
  }
  setBytes(*found, found->mBytes - bytesBefore + bytes());
  if (!endsRun) {
    return found;
  }
  if (!wasComplete && step->complete()) {
    completeIfDone(*found, aRecord.mTask.mStep.mOccurrence, aNow);
  }
  const bool mayNotHaveBegun =
    aRecord.mOutcome == run_end::not_run || (isAtStart(aRecord.mOutcome) && !aRecord.mHasBegun);
  if (mayNotHaveBegun && found->mPhase == job_phase::active && found->mStarted &&
      nothingHasBegun(*found)) {
    found->mStarted = false;
    countWaiting(*found, 1);
  }
  return found;
}

void job_table::endRun(const job& aJob, step_state& aStep, const run_ended& aRecord,
                       time_point aNow)
{
  const auto index = aRecord.mTask.mIndex;
  auto& task = aStep.mTasks.edit(index);
  auto at = *std::exchange(task.mOpen, std::nullopt);
  --aStep.mOpen;
  const bool gang = aJob.mSpec.mSteps[aRecord.mTask.mStep.mStep].mGang;
  if (!aRecord.mCheckpoint.empty()) {
    (gang ? aStep.mGangCheckpoint : task.mCheckpoint) = aRecord.mCheckpoint;
  }
  if (aRecord.mOutcome == run_end::done) {
    // Members of a gang end together, so the end of one completes all, including members whose
    // target was lost just after it.
    const auto markDone = [&aStep](task_state& aTask) {
      aStep.mDone += aTask.mDone ? 0 : 1;
      aTask.mDone = true;
    };
    markDone(task);
    if (gang && !aStep.complete()) {
      for (std::uint32_t member = 0; member < aStep.mTasks.size(); ++member) {
        if (aStep.mTasks[member].mRun == aRecord.mRun && !aStep.mTasks[member].mDone) {
          markDone(aStep.mTasks.edit(member));
          aStep.mTasks.compact(member);
        }
      }
    }
  } else if (aRecord.mOutcome == run_end::failed) {
    ++task.mFailures;
    if (gang && aRecord.mRun > aStep.mLastFailedRun) {
      aStep.mLastFailedRun = aRecord.mRun;
      ++aStep.mGangFailures;
    }
    keepForLog(aStep, aRecord, std::move(at.mTarget));
  } else if (isTargetLost(aRecord.mOutcome)) {
    countTargetLoss(task, aRecord, aNow);
    keepForLog(aStep, aRecord, std::move(at.mTarget));
  } else if (isTargetSilent(aRecord.mOutcome)) {
    // A run that is still open was listed by the incarnation that was acquired last.
    at.mIncarnationStart = std::max({ at.mIncarnationStart, aRecord.mIncarnationStart,
                                      acquiredIncarnation(at.mTarget).value_or(0) });
    keepSilentRun(aStep, { .mIndex = index,
                           .mRun = aRecord.mRun,
                           .mAt = std::move(at),
                           .mAtStart = isAtStart(aRecord.mOutcome),
                           .mHasBegun = aRecord.mHasBegun });
  }
  aStep.mTasks.compact(index);
}

job* job_table::applyRecord(const job_abandoned& aRecord, time_point aNow)
{
  job* found = find(aRecord.mJob);
  if (found == nullptr || found->mPhase != job_phase::active) {
    return nullptr;
  }
  finish(*found, job_phase::failed, aNow);
  return found;
}

job* job_table::applyRecord(const job_snapshot& aRecord, time_point aNow)
{
  const auto [at, isNew] = mJobs.try_emplace(aRecord.mJob.mSpec.mId);
  if (!isNew) {
    return nullptr;
  }
  job& made = at->second;
  made = aRecord.mJob;
  made.mBytes = 0;
  for (auto& [occurrence, steps] : made.mOccurrences) {
    for (auto& step : steps) {
      for (const auto& [index, task] : step.mTasks.full()) {
        step.mTasks.edit(index).mLastTargetLoss += aNow - aRecord.mTakenAt;
      }
    }
  }
  if (made.mPhase != job_phase::active) {
    made.mEndedAt = aNow.time_since_epoch();
    mEnded.emplace_back(aNow, made.mSpec.mId);
  } else if (!made.mStarted) {
    countWaiting(made, 1);
  }
  recount(made);
  return &made;
}

job* job_table::applyRecord(const target_acquired& aRecord, time_point aNow)
{
  const auto [at, isNew] = mAcquisitions.try_emplace(aRecord.mTarget);
  auto& latest = at->second;
  if (aRecord.mEpoch < latest.mEpoch) {
    return nullptr;
  }
  const auto incarnation = aRecord.mIncarnationStart;
  auto restartedAt = latest.mRestartedAt;
  if (aRecord.mRestartAge) {
    restartedAt = aNow - *aRecord.mRestartAge;
  } else if (incarnation == 0 || (!isNew && incarnation != latest.mIncarnationStart)) {
    restartedAt = aNow;
  }
  latest = { .mEpoch = aRecord.mEpoch,
             .mVm = aRecord.mVm,
             .mIncarnationStart = incarnation,
             .mRestartedAt = restartedAt };
  return nullptr;
}

std::optional<time_point> job_table::restartedAt(std::string_view aTarget) const
{
  const auto found = mAcquisitions.find(aTarget);
  return found == mAcquisitions.end() ? std::nullopt : found->second.mRestartedAt;
}

std::optional<std::int64_t> job_table::acquiredIncarnation(std::string_view aTarget) const
{
  const auto found = mAcquisitions.find(aTarget);
  return found == mAcquisitions.end() ? std::nullopt
                                      : std::optional(found->second.mIncarnationStart);
}

job* job_table::applyRecord(const renewals_stopped& aRecord, time_point aNow)
{
  const auto found = mAcquisitions.find(aRecord.mTarget);
  if (found != mAcquisitions.end() && found->second.mEpoch == aRecord.mEpoch) {
    // Each record gives an upper bound, which is later if it is read late. A newer one may be later
    // than the one before, because the owner has learned of a restart.
    found->second.mLeaseExpiry = aNow + aRecord.mLeaseLeft;
  }
  return nullptr;
}

job* job_table::applyRecord(const team_use& aRecord, time_point /*aNow*/)
{
  // In the order of the journal: the clock of a later owner may be behind that of an earlier one.
  mTeamUse = aRecord;
  return nullptr;
}

std::optional<time_point> job_table::leaseExpiryAt(std::string_view aTarget) const
{
  const auto found = mAcquisitions.find(aTarget);
  return found == mAcquisitions.end() ? std::nullopt : found->second.mLeaseExpiry;
}

std::uint64_t job_table::lastEpochAt(std::string_view aTarget) const
{
  const auto found = mAcquisitions.find(aTarget);
  return found == mAcquisitions.end() ? 0 : found->second.mEpoch;
}

std::string job_table::vmOf(std::string_view aTarget) const
{
  const auto found = mAcquisitions.find(aTarget);
  return found == mAcquisitions.end() ? std::string() : found->second.mVm;
}

std::vector<step_state>* job_table::openOccurrence(job& aJob, std::uint32_t aOccurrence)
{
  if (aOccurrence >= aJob.mSpec.occurrences() || aJob.mDropped.contains(aOccurrence)) {
    return nullptr;
  }
  const auto [at, isNew] = aJob.mOccurrences.try_emplace(aOccurrence);
  if (isNew) {
    for (const auto& step : aJob.mSpec.mSteps) {
      at->second.push_back({ .mTasks = task_states(step.mCount) });
    }
    recount(aJob);
  }
  return &at->second;
}

step_state* job_table::stepOf(job& aJob, const step_key& aKey)
{
  return const_cast<step_state*>(std::as_const(aJob).find(aKey));
}

void job_table::completeIfDone(job& aJob, std::uint32_t aOccurrence, time_point aNow)
{
  const auto& steps = aJob.mOccurrences[aOccurrence];
  if (!std::ranges::all_of(steps, &step_state::complete)) {
    return;
  }
  ++aJob.mOccurrencesDone;
  if (aJob.mOccurrencesDone == aJob.mSpec.occurrences() && aJob.mPhase == job_phase::active) {
    finish(aJob, job_phase::completed, aNow);
  }
}

void job_table::finish(job& aJob, job_phase aPhase, time_point aNow)
{
  if (!aJob.mStarted) {
    countWaiting(aJob, -1);
    // Otherwise a start that was stored before the end of the job was known would decrement the
    // count again.
    aJob.mStarted = true;
  }
  aJob.mPhase = aPhase;
  aJob.mEndedAt = aNow.time_since_epoch();
  mEnded.emplace_back(aNow, aJob.mSpec.mId);
  recount(aJob);
}

void job_table::recount(job& aJob)
{
  setBytes(aJob, internal::bytesOf(aJob));
}

void job_table::setBytes(job& aJob, std::size_t aBytes)
{
  mBytes += aBytes - aJob.mBytes;
  auto team = mTeamBytes.try_emplace(aJob.mSpec.mTeam).first;
  team->second += aBytes - aJob.mBytes;
  if (team->second == 0) {
    mTeamBytes.erase(team);
  }
  aJob.mBytes = aBytes;
}

bool job_table::hasRoomFor(const job_spec& aSpec) const
{
  const auto claim = internal::claimOf(aSpec);
  const auto team = mTeamBytes.find(aSpec.mTeam);
  const auto ofTeam = claim + (team == mTeamBytes.end() ? 0 : team->second);
  const auto ofAll = claim + mBytes;
  const auto limit = mLimit / kOccurrencePart * (kOccurrencePart - 1);
  return ofAll <= limit && ofTeam <= limit - ofAll;
}

bool job_table::hasRoomToOpen(const job& aJob) const
{
  return mBytes + internal::claimOfOccurrence(aJob.mSpec) <= mLimit;
}

void job_table::dropCompleted()
{
  const auto isSettled = [](const step_state& aStep) {
    return aStep.complete() && aStep.mOpen == 0 && aStep.mSilentRuns.empty();
  };
  for (auto& [id, one] : mJobs) {
    if (one.mSpec.mRepeat == 0) {
      continue;
    }
    const auto dropped = std::erase_if(one.mOccurrences, [&](const auto& aOccurrence) {
      const bool drops = std::ranges::all_of(aOccurrence.second, isSettled);
      if (drops) {
        one.mDropped.insert(aOccurrence.first);
      }
      return drops;
    });
    if (dropped > 0) {
      recount(one);
    }
  }
}

void job_table::countWaiting(const job& aJob, int aChange)
{
  if (aJob.mSpec.mRepeat == 0) {
    mWaiting[aJob.mSpec.mRoute] += static_cast<std::uint32_t>(aChange);
  }
}

job* job_table::find(job_id aId)
{
  const auto found = mJobs.find(aId);
  return found == mJobs.end() ? nullptr : &found->second;
}

const job* job_table::find(job_id aId) const
{
  const auto found = mJobs.find(aId);
  return found == mJobs.end() ? nullptr : &found->second;
}

std::uint32_t job_table::waitingJobs(std::string_view aRoute) const
{
  const auto found = mWaiting.find(aRoute);
  return found == mWaiting.end() ? 0 : found->second;
}

void job_table::removeEnded(time_point aBefore)
{
  const auto firstKept =
    std::ranges::find_if(mEnded, [aBefore](const auto& aEntry) { return aEntry.first >= aBefore; });
  std::vector<std::pair<time_point, job_id>> kept;
  for (auto at = mEnded.begin(); at != firstKept; ++at) {
    const job* ended = find(at->second);
    if (ended != nullptr && hasOpenRuns(*ended)) {
      kept.push_back(*at);
    } else if (const auto found = mJobs.find(at->second); found != mJobs.end()) {
      setBytes(found->second, 0);
      mJobs.erase(found);
    }
  }
  mEnded.erase(mEnded.begin(), firstKept);
  mEnded.insert(mEnded.begin(), kept.begin(), kept.end());
}

std::vector<journal_record> job_table::snapshot(time_point aNow) const
{
  std::vector<journal_record> records;
  records.reserve(mJobs.size() + mAcquisitions.size());
  for (const auto& [target, latest] : mAcquisitions) {
    target_acquired acquired{ .mTarget = target,
                              .mEpoch = latest.mEpoch,
                              .mVm = latest.mVm,
                              .mIncarnationStart = latest.mIncarnationStart };
    if (latest.mRestartedAt) {
      acquired.mRestartAge =
        std::chrono::floor<std::chrono::milliseconds>(aNow - *latest.mRestartedAt);
    }
    records.emplace_back(std::move(acquired));
    if (latest.mLeaseExpiry) {
      const auto left = std::max(*latest.mLeaseExpiry - aNow, duration{ 0 });
      records.emplace_back(
        renewals_stopped{ .mTarget = target,
                          .mEpoch = latest.mEpoch,
                          .mLeaseLeft = std::chrono::ceil<std::chrono::milliseconds>(left) });
    }
  }
  if (mTeamUse) {
    records.emplace_back(*mTeamUse);
  }
  for (const auto& [id, one] : mJobs) {
    if (one.mPhase == job_phase::active || hasOpenRuns(one)) {
      records.emplace_back(job_snapshot{ .mJob = one, .mTakenAt = aNow });
    } else {
      records.emplace_back(job_snapshot{
        .mJob = { .mSpec = { .mId = id, .mRoute = one.mSpec.mRoute, .mTeam = one.mSpec.mTeam },
                  .mPhase = one.mPhase,
                  .mStarted = true } });
    }
  }
  return records;
}

void job_table::clear()
{
  mJobs.clear();
  mBytes = 0;
  mTeamBytes.clear();
  mWaiting.clear();
  mAcquisitions.clear();
  mTeamUse.reset();
  mEnded.clear();
}

} // namespace endiveusher::scheduler
