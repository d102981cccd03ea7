#include "endiveusher/scheduler/owner.h"

#include "owner_impl.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <utility>
#include <variant>

namespace endiveusher::scheduler {

namespace {

/// Number of targets in the advice call for a step that is assumed in estimates of critical paths.
constexpr std::size_t kAssumedTargetsPerAdviceCall = 30;
/// Value deadline of a job, as a multiple of the period in which it is on time.
constexpr int kValuePeriods = 3;
/// Deadline of a long-running step after a task of it began to wait. Shortly before it, the task
/// may start on any rack.
constexpr auto kLongRunningWaitLimit = std::chrono::seconds(2);
/// Minimum time between two store() calls, so that one call carries several records.
constexpr auto kStoreInterval = std::chrono::milliseconds(15);
/// The same, if a job has ended: callers are told only when its end is stored, and ask soon after
/// it.
constexpr auto kEndedJobStoreInterval = std::chrono::milliseconds(5);
/// The same, if there are only ends of runs to store: neither starts nor callers' records.
constexpr auto kEndStoreInterval = std::chrono::milliseconds(35);
/// Planning pauses while an append is unanswered for longer than this, because tickets expire and
/// later needs are unknown. Load pattern: a burst arrives while an append takes half a second. One
/// append is in flight at a time, so that the next one carries everything decided meanwhile: jobs,
/// starts and ends.
constexpr auto kAppendWaitLimit = std::chrono::milliseconds(700);
/// Maximum time between two planning passes, for decisions that depend only on time.
constexpr auto kIdlePlanInterval = std::chrono::milliseconds(100);
constexpr auto kTickInterval = std::chrono::milliseconds(20);
/// Weight of earlier ticks in the mean time by which ticks are late.
constexpr int kTickLagWeight = 8;
/// Time before its due time at which an occurrence is opened, so that advice can be requested. Its
/// tasks do not start before the due time.
constexpr auto kOccurrenceOpenLead = std::chrono::milliseconds(100);
/// Number of teams in the metrics and in the dump.
constexpr std::size_t kCountedTeams = 20;

/// Returns the estimated duration of a step, its advice call included.
/// @param aTimes learned run times; nullptr to use the caller's estimate
duration estimatedWork(const step_spec& aStep, const std::string& aTeam, const route_config& aRoute,
                       const internal::run_times* aTimes, time_point aNow)
{
  duration work = aStep.mEstimate;
  if (aTimes != nullptr) {
    work = aTimes->predicted(aRoute.mName, aTeam, work, aNow);
  }
  if (aRoute.mAdvice) {
    work += internal::adviceCost(*aRoute.mAdvice, kAssumedTargetsPerAdviceCall);
  }
  return work;
}

/// Returns the critical path from each step to the end of the job, the step included.
std::vector<duration> criticalPaths(const job_spec& aSpec, const route_config& aRoute,
                                    const internal::run_times* aTimes, time_point aNow)
{
  std::vector<duration> paths(aSpec.mSteps.size(), duration{ 0 });
  // Steps depend only on earlier ones, so the path of a step is final when the loop reaches it.
  for (std::size_t step = aSpec.mSteps.size(); step-- > 0;) {
    paths[step] += estimatedWork(aSpec.mSteps[step], aSpec.mTeam, aRoute, aTimes, aNow);
    for (const auto before : aSpec.mSteps[step].mAfter) {
      paths[before] = std::max(paths[before], paths[step]);
    }
  }
  return paths;
}

/// Returns the time from the submission in which a job with this critical path is on time.
duration onTimePeriod(duration aCriticalPath, const route_config& aRoute)
{
  return std::chrono::duration_cast<duration>(aCriticalPath * aRoute.mStretch) + aRoute.mObjective;
}

/// Whether any task of the occurrence has ever been started.
bool hasStarted(const job& aJob, std::uint32_t aOccurrence)
{
  return std::ranges::any_of(aJob.mOccurrences.at(aOccurrence),
                             [](const step_state& aStep) { return aStep.mTasks.anyStarted(); });
}

/// Returns the first occurrence that is not open. Opening is not in the journal: after a change of
/// owner, an occurrence without a run may be missing before one that has started.
std::uint32_t firstUnopened(const job& aJob)
{
  const auto& open = aJob.mOccurrences;
  std::uint32_t next = aJob.mDropped.firstMissing();
  if (!open.empty() && open.begin()->first == next &&
      open.rbegin()->first - next + 1 == open.size()) {
    return open.rbegin()->first + 1;
  }
  while (open.contains(next) || aJob.mDropped.contains(next)) {
    ++next;
  }
  return next;
}

/// Returns the job that the record may end, if it is of such a kind.
std::optional<job_id> mayEndJob(const journal_record& aRecord)
{
  if (const auto* end = std::get_if<run_ended>(&aRecord)) {
    return end->mTask.mStep.mJob;
  }
  if (const auto* abandoned = std::get_if<job_abandoned>(&aRecord)) {
    return abandoned->mJob;
  }
  if (const auto* cancelled = std::get_if<job_cancelled>(&aRecord)) {
    return cancelled->mJob;
  }
  return std::nullopt;
}

bool isActive(const job* aJob)
{
  return aJob != nullptr && aJob->mPhase == job_phase::active;
}

} // namespace

std::string_view toText(order_outcome aOutcome)
{
  switch (aOutcome) {
    case order_outcome::accepted:
      return "accepted";
    case order_outcome::unanswered:
      return "unanswered";
    case order_outcome::fenced:
      return "fenced";
    case order_outcome::outdated:
      return "outdated";
    case order_outcome::late:
      return "late";
    case order_outcome::no_capacity:
      return "no_room";
    case order_outcome::bad_ticket:
      return "bad_ticket";
    case order_outcome::other_incarnation:
      return "other_incarnation";
    case order_outcome::unhealthy:
      return "unhealthy";
    case order_outcome::invalid:
      return "invalid";
    case order_outcome::undefined:
      return "undefined";
    case order_outcome::unreported:
      return "unreported";
    case order_outcome::not_sent:
      return "not_sent";
    case order_outcome::unreachable:
      return "unreachable";
  }
  return "unknown";
}

owner::impl::impl(job_table& aJobTable, owner_port& aPort, owner_options aOptions,
                  std::uint64_t aEpoch, time_point aNow)
  : mJobTable(aJobTable), mPort(aPort), mOptions(std::move(aOptions)), mEpoch(aEpoch),
    mEpochStart(aNow), mStoreUnresponsiveAt(aNow)
{
  mLatestActs = mOptions.mLatestActs;
  mNewestRecord = mEpoch;
  if (mOptions.mLearnRunTimes || mOptions.mAvoidSlowTargets) {
    mLearning = std::make_unique<internal::run_time_learning>();
    mLearning->mCountedFrom = aNow;
  }
  if (mOptions.mPastUseHalfLife.count() > 0) {
    mPastUse.emplace(mOptions.mPastUseHalfLife);
    mNextUseRecord = aNow + internal::past_use::kMaxInterval;
  }
}

void owner::impl::configure(std::shared_ptr<const cell_config> aConfig)
{
  mConfig = std::move(aConfig);
  for (const auto& route : mConfig->mRoutes) {
    mRouteAdded = mRoutes.insert_or_assign(route.mName, route).second || mRouteAdded;
    mLowestPriority = std::max(mLowestPriority, route.mPriority);
  }
  for (auto& [name, team] : mTeams) {
    team.mConfig = mConfig->team(name);
  }
  for (auto& [key, step] : mWaiting) {
    step.mRoute = routeOf(step.mJob->mSpec);
    step.mWaitsForRoute = waitsForRoute(step);
  }
  mPlanNeeded = true;
}

const route_config* owner::impl::findRoute(const job_spec& aJob) const
{
  const auto found = mRoutes.find(aJob.mRoute);
  if (found != mRoutes.end()) {
    return &found->second;
  }
  return aJob.mAcceptedBy ? &*aJob.mAcceptedBy : nullptr;
}

route_config owner::impl::routeOf(const job_spec& aJob) const
{
  const auto* found = findRoute(aJob);
  return found == nullptr ? route_config{ .mName = aJob.mRoute } : *found;
}

internal::team_state& owner::impl::teamOf(const std::string& aName)
{
  const auto [at, isNew] = mTeams.try_emplace(aName);
  if (isNew) {
    at->second.mName = aName;
    at->second.mConfig = mConfig ? mConfig->team(aName) : nullptr;
  }
  return at->second;
}

void owner::impl::onRecordApplied(job& aJob, time_point aNow, wall_time aWall)
{
  adoptRuns(aJob);
  noteSilentRuns(aJob, aNow);
  if (aJob.mPhase == job_phase::active) {
    registerJob(aJob, aNow, aWall);
  } else {
    stopRuns(aJob, aNow);
    dropSteps(aJob.mSpec.mId);
  }
  mPlanNeeded = true;
}

void owner::impl::registerJob(job& aJob, time_point aNow, wall_time aWall)
{
  const auto id = aJob.mSpec.mId;
  mSubmittedAt[id] = aNow + (aJob.mSpec.mSubmitted - aWall);
  if (aJob.mSpec.mRepeat != 0) {
    mRecurringJobs.insert(id);
  }
  for (auto& [occurrence, steps] : aJob.mOccurrences) {
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      enqueueStep(aJob, { .mJob = id, .mOccurrence = occurrence, .mStep = step }, aNow);
    }
  }
}

void owner::impl::adoptRuns(const job& aJob)
{
  for (const auto& [occurrence, steps] : aJob.mOccurrences) {
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      for (const auto& [index, task] : steps[step].mTasks.full()) {
        const task_key key{
          .mStep = { .mJob = aJob.mSpec.mId, .mOccurrence = occurrence, .mStep = step },
          .mIndex = index
        };
        if (!task.mOpen || findRun(task.mOpen->mTarget, key, task.mRun) != nullptr) {
          continue;
        }
        auto& target = findOrCreateTarget(task.mOpen->mTarget);
        target.mEntry.mIncarnationStart =
          std::max(target.mEntry.mIncarnationStart, task.mOpen->mIncarnationStart);
        allocate(target, key,
                 { .mRun = task.mRun,
                   .mNeeds = aJob.mSpec.mSteps[step].capacityNeeds(),
                   .mTeam = &teamOf(aJob.mSpec.mTeam),
                   .mPhase = internal::run_phase::confirmed,
                   .mFirstOrderAt = task.mStartedAt,
                   .mMustBeListedFrom = mEpochStart,
                   .mIsolatedUntil = isolationEnd(steps[step], mEpochStart) });
      }
    }
  }
}

internal::waiting_step owner::impl::makeStep(job& aJob, const step_key& aKey,
                                             internal::team_state& aTeam, time_point aSubmitted,
                                             time_point aNow) const
{
  waiting_step step{ .mKey = aKey, .mJob = &aJob, .mTeam = &aTeam };
  step.mRoute = routeOf(aJob.mSpec);
  step.mNeeds = step.spec().capacityNeeds();
  const auto paths = criticalPaths(aJob.mSpec, step.mRoute, predictions(), aNow);
  const auto longest = *std::ranges::max_element(paths);
  auto since = aSubmitted;
  if (aJob.mSpec.mRepeat != 0) {
    since += aJob.mSpec.due(aKey.mOccurrence) - aJob.mSpec.mSubmitted;
    // An occurrence that has started is due, also if this daemon's clock is behind.
    step.mNotBefore = hasStarted(aJob, aKey.mOccurrence) ? aNow : since;
  }
  const auto period = onTimePeriod(longest, step.mRoute);
  step.mDeadline = since + period;
  step.mValueDeadline = since + kValuePeriods * period;
  step.mRemainingWork = paths[aKey.mStep];
  return step;
}

void owner::impl::enqueueStep(job& aJob, const step_key& aKey, time_point aNow)
{
  const step_state* state = aJob.find(aKey);
  if (state == nullptr || aJob.mPhase != job_phase::active || state->complete() ||
      !aJob.eligible(aKey)) {
    return;
  }
  auto [at, isNew] = mWaiting.try_emplace(aKey);
  auto& step = at->second;
  if (isNew) {
    step = makeStep(aJob, aKey, teamOf(aJob.mSpec.mTeam), mSubmittedAt[aKey.mJob], aNow);
    mLowestPriority = std::max(mLowestPriority, step.mRoute.mPriority);
  }
  updatePending(step, *state, aNow);
  step.mWaitsForRoute = waitsForRoute(step);
  updateSuspicion(step, *state, aNow);
  mPlanNeeded = true;
}

void owner::impl::updatePending(waiting_step& aStep, const step_state& aState, time_point aNow)
{
  if (aStep.mPending.empty()) {
    aStep.mWaitingSince = aNow;
    aStep.mNextWaitLog = aNow + internal::kWaitLogInterval;
    aStep.mAdvice.mReplies = 0;
  }
  const auto waitingBefore = aStep.mPending.size();
  aStep.mPending = aState.mTasks.waiting();
  if (aStep.spec().mLongRunning && aStep.mPending.size() > waitingBefore) {
    // Each restart has its own deadline, also if the step has run for hours.
    aStep.mRemainingWork = duration{ 0 };
    aStep.mDeadline = aNow + kLongRunningWaitLimit;
  }
}

std::optional<internal::new_work> owner::impl::newWork(const job_spec& aSpec, time_point aNow) const
{
  const auto route = routeOf(aSpec);
  const auto paths = criticalPaths(aSpec, route, predictions(), aNow);
  const auto longest = std::ranges::max_element(paths);
  // The longest path begins with a step that waits for no other.
  if (longest == paths.end() || aSpec.mRepeat != 0 ||
      std::ranges::any_of(aSpec.mSteps, &step_spec::mLongRunning)) {
    return std::nullopt;
  }
  const auto& first = aSpec.mSteps[static_cast<std::size_t>(longest - paths.begin())];
  const auto period = onTimePeriod(*longest, route);
  const auto team = mTeams.find(aSpec.mTeam);
  const auto position = team == mTeams.end() ? internal::share_position{} : team->second.mPosition;
  const auto rank =
    internal::rankOnTime(aNow + period, *longest, route.mPriority, { .mJob = aSpec.mId });
  return internal::new_work{ .mRank = internal::withShare(rank, position, aNow),
                             .mPriority = route.mPriority,
                             .mRoom = internal::roomClassOf(first),
                             .mUnits = first.mGang ? 1 : first.mCount,
                             .mPool = route.mPool,
                             .mTeam = aSpec.mTeam,
                             .mOnTimeWait = period - *longest,
                             .mValueWait = kValuePeriods * period - *longest };
}

void owner::impl::dropSteps(job_id aJob)
{
  const auto first = mWaiting.lower_bound(step_key{ .mJob = aJob });
  auto last = first;
  while (last != mWaiting.end() && last->first.mJob == aJob) {
    ++last;
  }
  mWaiting.erase(first, last);
  mRecurringJobs.erase(aJob);
  mSubmittedAt.erase(aJob);
}

void owner::impl::stopRuns(job& aJob, time_point aNow)
{
  for (const auto& [occurrence, steps] : aJob.mOccurrences) {
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      stopStep(aJob, { .mJob = aJob.mSpec.mId, .mOccurrence = occurrence, .mStep = step }, aNow);
    }
  }
}

void owner::impl::stopStep(job& aJob, const step_key& aKey, time_point aNow)
{
  const auto* step = aJob.find(aKey);
  if (step == nullptr) {
    return;
  }
  for (const auto& [index, task] : step->mTasks.full()) {
    if (!task.mOpen) {
      continue;
    }
    if (auto* run = findRun(task.mOpen->mTarget, { .mStep = aKey, .mIndex = index }, task.mRun)) {
      auto& target = mTargets.find(task.mOpen->mTarget)->second;
      target.wantStop(*run);
      run->mNextTry = aNow;
      target.mNextOrders = time_point{};
    }
  }
}

void owner::impl::openDueOccurrences(time_point aNow, wall_time aWall)
{
  std::vector<job_id> finished;
  for (const auto id : mRecurringJobs) {
    job* found = mJobTable.find(id);
    if (found == nullptr || found->mPhase != job_phase::active) {
      finished.push_back(id);
      continue;
    }
    const auto next = firstUnopened(*found);
    if (next >= found->mSpec.mRepeat) {
      finished.push_back(id);
    } else if (found->mSpec.due(next) <= aWall + kOccurrenceOpenLead &&
               mJobTable.hasRoomToOpen(*found)) {
      mJobTable.openOccurrence(*found, next);
      mSubmittedAt[id] = aNow + (found->mSpec.mSubmitted - aWall);
      for (std::uint32_t step = 0; step < found->mSpec.mSteps.size(); ++step) {
        enqueueStep(*found, { .mJob = id, .mOccurrence = next, .mStep = step }, aNow);
      }
    }
  }
  for (const auto id : finished) {
    mRecurringJobs.erase(id);
  }
}

void owner::impl::onRunEnded(job& aJob, const task_key& aTask, run_end aOutcome, time_point aNow)
{
  const step_state* state = aJob.find(aTask.mStep);
  if (aJob.mPhase != job_phase::active) {
    dropSteps(aJob.mSpec.mId);
    return;
  }
  if (state == nullptr) {
    return;
  }
  if (aOutcome == run_end::failed && attemptsUsedUp(aJob, aTask) && knowsAttempts(aJob, aNow)) {
    abandon(aJob, aTask, "attempts", aNow);
    return;
  }
  if (state->complete()) {
    mWaiting.erase(aTask.mStep);
    for (std::uint32_t step = 0; step < aJob.mSpec.mSteps.size(); ++step) {
      step_key next = aTask.mStep;
      next.mStep = step;
      if (std::ranges::find(aJob.mSpec.mSteps[step].mAfter, aTask.mStep.mStep) !=
          aJob.mSpec.mSteps[step].mAfter.end()) {
        enqueueStep(aJob, next, aNow);
      }
    }
  } else if (aOutcome != run_end::done) {
    enqueueStep(aJob, aTask.mStep, aNow);
  }
}

job* owner::impl::append(journal_record aRecord, time_point aNow)
{
  const auto id = mayEndJob(aRecord);
  const bool wasActive = id && isActive(mJobTable.find(*id));
  job* changed = mJobTable.apply(aRecord, aNow);
  if (wasActive && !isActive(mJobTable.find(*id))) {
    mUnstoredEnds.insert(*id);
    mNextBatch.mEndedJobs.push_back(*id);
  }
  mPendingRecords.push_back(std::move(aRecord));
  return changed;
}

void owner::impl::flush(time_point aNow)
{
  if (mPendingRecords.empty()) {
    if (!mNextBatch.mEnds.empty() && mBatchesInFlight.empty()) {
      mBatchesInFlight.push_back(std::exchange(mNextBatch, {}));
      onStored(aNow);
    }
    return;
  }
  mNextBatch.mSentAt = aNow;
  mBatchesInFlight.push_back(std::exchange(mNextBatch, {}));
  mPort.store(std::exchange(mPendingRecords, {}));
}

bool owner::impl::storeEnds(time_point aNow)
{
  if (mNextBatch.mReportedEnds.empty()) {
    return true;
  }
  if (!mBatchesInFlight.empty()) {
    return false;
  }
  flush(aNow);
  mLastFlush = aNow;
  return true;
}

void owner::impl::accept(const journal_record& aRecord, std::uint64_t aToken, time_point aNow,
                         wall_time aWall)
{
  job* changed = append(aRecord, aNow);
  mNextBatch.mTokens.push_back(aToken);
  if (changed != nullptr) {
    onRecordApplied(*changed, aNow, aWall);
    if (std::holds_alternative<job_submitted>(aRecord)) {
      addToBacklog(changed->mSpec, aNow);
    }
  }
}

void owner::impl::onStored(time_point aNow)
{
  if (mBatchesInFlight.empty()) {
    return;
  }
  const batch done = std::move(mBatchesInFlight.front());
  mBatchesInFlight.pop_front();
  for (const auto& id : done.mAcquired) {
    if (const auto found = mTargets.find(id); found != mTargets.end() && found->second.mAcquired) {
      found->second.mAcquisitionStored = true;
      found->second.mNextHeartbeat = aNow;
    }
  }
  for (const auto id : done.mEndedJobs) {
    mUnstoredEnds.erase(id);
  }
  for (const auto token : done.mTokens) {
    mPort.onRecordStored(token);
  }
  for (const auto& end : done.mEnds) {
    const auto found = mTargets.find(end.mTarget);
    if (found != mTargets.end() &&
        found->second.mEntry.mIncarnationStart == end.mIncarnationStart) {
      found->second.mStoredEndNumber = std::max(found->second.mStoredEndNumber, end.mNumber);
    }
  }
  stopIncompleteGangs(done.mStarts, aNow);
  withdrawUnfittingStarts(done.mStarts, aNow);
  for (const auto& start : done.mStarts) {
    auto* run = findRun(start.mAt.mTarget, start.mTask, start.mRun);
    if (run == nullptr || run->mPhase != internal::run_phase::storing) {
      continue;
    }
    auto& target = mTargets.find(start.mAt.mTarget)->second;
    if (!orderable(start, aNow)) {
      endRun(target, start.mTask, run_end::not_run, {}, aNow);
      release(target, start.mTask);
      continue;
    }
    // tick() sends the order: an owner that may not act at present is not ticked.
    run->mPhase = internal::run_phase::ordered;
    run->mNextTry = aNow;
    target.mNextOrders = time_point{};
  }
  mPlanNeeded = true;
}

time_point owner::impl::tick(time_point aNow, wall_time aWall)
{
  if (!mStoreResponsive || wasPaused(aNow)) {
    mStoreUnresponsiveAt = aNow;
  }
  notePause(aNow);
  mTickLag += (std::max(aNow - mNextTick, duration{ 0 }) - mTickLag) / kTickLagWeight;
  openDueOccurrences(aNow, aWall);
  const bool checksUnknownRoutes =
    !mUnknownRoutesChecked && mConfig && aNow - mEpochStart >= internal::kConfigurationTime;
  mUnknownRoutesChecked = mUnknownRoutesChecked || checksUnknownRoutes;
  if (std::exchange(mRouteAdded, false) || checksUnknownRoutes) {
    abandonAfterLastAttempts(aNow);
  }
  if (!std::exchange(mUnlistedTargetsLogged, true)) {
    logUnlistedTargets(aNow);
  }
  const bool overdue =
    !mBatchesInFlight.empty() && aNow - mBatchesInFlight.front().mSentAt > kAppendWaitLimit;
  for (auto at = mTargets.begin(); at != mTargets.end();) {
    auto& target = at->second;
    if (!target.mHeartbeatInFlight && target.mNextHeartbeat <= aNow &&
        !target.mEntry.mAddress.empty()) {
      sendHeartbeat(target, aNow);
    }
    if (mStoreResponsive && !overdue) {
      // Otherwise a target that comes back could not be acquired again before its leases end.
      recordLeaseEnd(target, aNow);
    }
    sendOrders(target, aNow);
    if (!target.mRuns.empty()) {
      if (leaseEnd(target) + reportGrace(target) < aNow) {
        const bool isHeardOf = target.mClock && target.mMissedHeartbeats == 0;
        const bool isSilent = !target.mEntry.mDraining && !isHeardOf;
        endLostRuns(target, "lease_expired",
                    isSilent ? loss_evidence::silence : loss_evidence::none, aNow);
      }
    }
    const bool removable = !target.mListed && target.mRuns.empty() && !target.mHeartbeatInFlight;
    if (removable) {
      if (mLearning) {
        mLearning->mSlow.forget(target.mNumber);
      }
      mTargetsByNumber[target.mNumber] = nullptr;
      at = mTargets.erase(at);
    } else {
      ++at;
    }
  }
  updatePastUse(aNow, aWall);
  updateSlowTargets(aNow);
  const bool viewCurrent = aNow <= mViewCurrentUntil;
  mPlanNeeded = mPlanNeeded || (viewCurrent && !mWasViewCurrent);
  mWasViewCurrent = viewCurrent;
  if (mNextPlan <= aNow && !overdue && viewCurrent) {
    if (mPlanNeeded || mNextPlan + kIdlePlanInterval <= aNow) {
      mPlanNeeded = false;
      planAndMeasure(aNow);
      mNextPlan = aNow + mOptions.mPlanInterval + planPause();
    }
  }
  updateBacklog(aNow);
  const bool urgent = !mNextBatch.mStarts.empty() || !mNextBatch.mTokens.empty();
  auto interval = urgent ? kStoreInterval : kEndStoreInterval;
  if (!mNextBatch.mEndedJobs.empty()) {
    interval = kEndedJobStoreInterval;
  }
  if (mBatchesInFlight.empty() && mLastFlush + interval <= aNow) {
    flush(aNow);
    mLastFlush = aNow;
  }
  const bool busy = mPlanNeeded || !mPendingRecords.empty();
  const auto pause = mNextBatch.mEndedJobs.empty() ? kStoreInterval : kEndedJobStoreInterval;
  mNextTick = aNow + (busy ? duration(pause) : duration(kTickInterval));
  return mNextTick;
}

owner_counts owner::impl::counts(time_point aNow) const
{
  owner_counts counts{ .mTargets = mTargets.size(),
                       .mWaitingSteps = mWaiting.size(),
                       .mAdviceCalls = mAdviceCalls.size(),
                       .mLastPass = mLastPass,
                       .mTeams = largestTeams(kCountedTeams),
                       .mDelayedSteps = mDelayedSteps };
  if (mLearning) {
    counts.mRunTimes = mLearning->mTimes.routes();
    counts.mSlowTargets = mLearning->mSlow.marks(aNow).size();
    counts.mExcludedTargets = mLearning->mExcluded;
    counts.mMovedTasks = mLearning->mMoved;
  }
  for (const auto& [id, target] : mTargets) {
    counts.mUsableTargets += target.mAcquired && target.mMissedHeartbeats == 0 ? 1 : 0;
    counts.mOpenRuns += target.mRuns.size();
    if (!target.mRuns.empty()) {
      counts.mLongestSilence =
        std::max(counts.mLongestSilence, aNow - std::max(target.mLastReply, mEpochStart));
    }
  }
  for (const auto& [key, step] : mWaiting) {
    if (step.startable() && step.mNotBefore <= aNow) {
      counts.mLongestWait = std::max(counts.mLongestWait, aNow - step.mWaitingSince);
    }
  }
  return counts;
}

std::string owner::impl::dump() const
{
  std::string text = fmt::format("epoch {} batches {} records {}\n", mEpoch,
                                 mBatchesInFlight.size(), mPendingRecords.size());
  text += fmt::format("pass steps={} starts={} visits={} us={}\n", mLastPass.mSteps,
                      mLastPass.mStarts, mLastPass.mVisits, mLastPass.mDuration.count());
  if (ordersByUse()) {
    text += fmt::format("use teams={} delayed_steps={}\n", mPastUse ? mPastUse->size() : 0,
                        mDelayedSteps);
  }
  for (const auto& team : largestTeams(kCountedTeams)) {
    text += fmt::format("team {} share={:.3f} past_use={:.3f} use_s={:.3f}\n", team.mName,
                        team.mShare, team.mPastUse, mPastUse ? mPastUse->use(team.mName) : 0.0);
  }
  for (const auto& one : mLearning ? mLearning->mTimes.routes() : std::vector<route_run_times>{}) {
    text += fmt::format("run_times {} runs={} ratio={:.3f} spread={:.3f}\n", one.mRoute, one.mRuns,
                        one.mMeanRatio, one.mSpread);
  }
  for (const auto& [id, target] : mTargets) {
    text += fmt::format(
      "target {} zone={} listed={} taken={} draining={} missed={} runs={} cpu={}/{} mem={}/{}\n",
      id, target.mEntry.mZone, target.mListed, target.mAcquired, target.mEntry.mDraining,
      target.mMissedHeartbeats, target.mRuns.size(), target.mUsed.mCpuMilli,
      target.mEntry.mCapacity.mCpuMilli, target.mUsed.mMemoryMb, target.mEntry.mCapacity.mMemoryMb);
    for (const auto& [task, run] : target.mRuns) {
      text += fmt::format("  run {} {} phase={} ended={} stop={}\n", toText(task), run.mRun,
                          static_cast<int>(run.mPhase), run.mEnded, run.mStopWanted);
    }
  }
  for (const auto& [key, step] : mWaiting) {
    text +=
      fmt::format("step {} route={} pending={}/{} good={} tickets={} calls={}\n", toText(key),
                  step.mRoute.mName, step.mPending.size(), step.spec().mCount,
                  step.mAdvice.goodTargets(), step.mAdvice.tickets(), step.mAdvice.mCallsOpen);
  }
  return text;
}

owner::owner(job_table& aJobTable, owner_port& aPort, owner_options aOptions, std::uint64_t aEpoch,
             time_point aNow)
  : mImpl(std::make_unique<impl>(aJobTable, aPort, std::move(aOptions), aEpoch, aNow))
{
}

owner::~owner() = default;

void owner::configure(std::shared_ptr<const cell_config> aConfig)
{
  mImpl->configure(std::move(aConfig));
}

void owner::setClosedZones(std::set<std::string> aZones)
{
  mImpl->mClosedZones = std::move(aZones);
  mImpl->mPlanNeeded = true;
}

void owner::setStoreResponsive(bool aResponsive)
{
  mImpl->mStoreResponsive = aResponsive;
}

void owner::setViewCurrentUntil(time_point aUntil)
{
  mImpl->mViewCurrentUntil = aUntil;
}

void owner::setNewestRecord(std::uint64_t aNumber)
{
  mImpl->mNewestRecord = std::max(mImpl->mNewestRecord, aNumber);
}

void owner::setLatestActs(std::map<std::uint64_t, time_point> aLatestActs)
{
  mImpl->mLatestActs = std::move(aLatestActs);
}

void owner::setTarget(const target_entry& aEntry, time_point aNow)
{
  mImpl->setTarget(aEntry, aNow);
}

void owner::removeTarget(std::string_view aId, time_point aNow)
{
  mImpl->removeTarget(aId, aNow);
}

void owner::onEntryWritten(std::string_view aId, time_point aSince)
{
  mImpl->onEntryWritten(aId, aSince);
}

void owner::onEntryRemoved(std::string_view aId, time_point aNow)
{
  mImpl->onEntryRemoved(aId, aNow);
}

void owner::setAdviceHelpers(std::span<const std::string> aHelpers)
{
  mImpl->mAdviceDispatcher.setHelpers(aHelpers);
}

void owner::onRecordApplied(job& aJob, time_point aNow, wall_time aWall)
{
  mImpl->onRecordApplied(aJob, aNow, aWall);
}

void owner::accept(const journal_record& aRecord, std::uint64_t aToken, time_point aNow,
                   wall_time aWall)
{
  mImpl->accept(aRecord, aToken, aNow, aWall);
}

void owner::onStored(time_point aNow)
{
  mImpl->onStored(aNow);
}

void owner::onHeartbeatReply(const std::string& aTarget, time_point aSent, order_outcome aOutcome,
                             const target_report& aReport, time_point aNow)
{
  mImpl->onHeartbeatReply(aTarget, aSent, aOutcome, aReport, aNow);
}

void owner::onStartReply(const start_order& aOrder, order_outcome aOutcome, time_point aNow)
{
  mImpl->onStartReply(aOrder, aOutcome, aNow);
}

void owner::onStopReply(const stop_order& aOrder, order_outcome aOutcome, time_point aNow)
{
  mImpl->onStopReply(aOrder, aOutcome, aNow);
}

void owner::onAdviceReply(const advice_reply& aReply, time_point aNow)
{
  mImpl->onAdviceReply(aReply, aNow);
}

bool owner::storeEnds(time_point aNow)
{
  return mImpl->storeEnds(aNow);
}

std::vector<run_ended> owner::unstoredEnds() const
{
  return mImpl->unstoredEnds();
}

void owner::adoptEnds(std::span<const run_ended> aEnds, time_point aNow)
{
  mImpl->adoptEnds(aEnds, aNow);
}

time_point owner::tick(time_point aNow, wall_time aWall)
{
  return mImpl->tick(aNow, aWall);
}

std::optional<std::chrono::seconds> owner::rejection(const job_spec& aJob, time_point aNow) const
{
  const auto rejected = mImpl->rejection(aJob, aNow);
  return rejected ? std::optional(rejected->mRetryAfter) : std::nullopt;
}

placement_explanation owner::explain(const job_spec& aJob, time_point aNow) const
{
  return mImpl->explain(aJob, aNow);
}

bool owner::fenced() const
{
  return mImpl->mFenced;
}

bool owner::isEndStored(job_id aJob) const
{
  return mImpl->isEndStored(aJob);
}

bool owner::allStored() const
{
  return mImpl->allStored();
}

owner_counts owner::counts(time_point aNow) const
{
  return mImpl->counts(aNow);
}

std::string owner::dump() const
{
  return mImpl->dump();
}

} // namespace endiveusher::scheduler
