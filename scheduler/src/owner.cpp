#include "endiveusher/scheduler/owner.h"

#include "owner_impl.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace endiveusher::scheduler {

namespace {

/// Targets that the chain of a job counts for one call for advice on each step.
constexpr int kAdvisedTargets = 30;
/// A job is late, but still of use, up to this many times the period in which it is on time.
constexpr int kUsePeriods = 3;
/// Most time that a long-running task may wait before it goes behind batch work that is on time.
constexpr auto kLongRunningPatience = std::chrono::seconds(2);
constexpr auto kForever = std::chrono::hours(24);
/// Shortest time between two calls of store(), so that one call carries several records: starts and
/// callers' records wait for the shorter, ends alone for the longer.
constexpr auto kStoreInterval = std::chrono::milliseconds(15);
constexpr auto kEndStoreInterval = std::chrono::milliseconds(35);
/// Load pattern: a burst arrives while an append takes half a second. One append is open at a time,
/// so that the next carries all that was decided meanwhile: jobs, their starts, ends. Without an
/// answer for this long nothing more is decided, because tickets lapse and later needs are unknown.
constexpr auto kAppendPatience = std::chrono::milliseconds(700);
/// A pass at least this often, for what only time changes.
constexpr auto kIdlePlanInterval = std::chrono::milliseconds(100);
constexpr auto kTickInterval = std::chrono::milliseconds(20);
/// An occurrence is opened this much before it is due, so that advice can be asked for; none of its
/// tasks starts earlier.
constexpr auto kMaxDueLead = std::chrono::milliseconds(100);

duration workOf(const step_spec& aStep, const route_config& aRoute)
{
  duration work = aStep.mEstimate;
  if (aRoute.mAdvice) {
    work += aRoute.mAdvice->mPerCall + kAdvisedTargets * aRoute.mAdvice->mPerTarget;
  }
  return work;
}

/// Longest chain of work from each step on, its own included.
std::vector<duration> chainsFrom(const job_spec& aSpec, const route_config& aRoute)
{
  std::vector<duration> chains(aSpec.mSteps.size(), duration{ 0 });
  // Steps name only earlier ones, so the later ones are complete when a step is reached.
  for (std::size_t step = aSpec.mSteps.size(); step-- > 0;) {
    chains[step] += workOf(aSpec.mSteps[step], aRoute);
    for (const auto before : aSpec.mSteps[step].mAfter) {
      chains[before] = std::max(chains[before], chains[step]);
    }
  }
  return chains;
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
    case order_outcome::no_room:
      return "no_room";
    case order_outcome::bad_ticket:
      return "bad_ticket";
    case order_outcome::other_incarnation:
      return "other_incarnation";
    case order_outcome::unhealthy:
      return "unhealthy";
    case order_outcome::invalid:
      return "invalid";
  }
  return "unknown";
}

owner::impl::impl(job_book& aBook, owner_port& aPort, owner_options aOptions, std::uint64_t aEpoch,
                  time_point aNow)
  : mBook(aBook), mPort(aPort), mOptions(std::move(aOptions)), mEpoch(aEpoch), mTakenOver(aNow)
{
}

void owner::impl::configure(std::shared_ptr<const cell_config> aConfig)
{
  mConfig = std::move(aConfig);
  for (const auto& route : mConfig->mRoutes) {
    mRoutes[route.mName] = route;
  }
  for (auto& [key, step] : mWaiting) {
    step.mRoute = routeOf(step.mJob->mSpec.mRoute);
  }
  mChanged = true;
}

route_config owner::impl::routeOf(const std::string& aName) const
{
  const auto found = mRoutes.find(aName);
  return found == mRoutes.end() ? route_config{ .mName = aName } : found->second;
}

void owner::impl::noticed(job& aJob, time_point aNow, wall_time aWall)
{
  adoptRuns(aJob);
  if (aJob.mPhase == job_phase::active) {
    registerJob(aJob, aNow, aWall);
  } else {
    stopRuns(aJob, aNow);
    dropSteps(aJob.mSpec.mId);
  }
  mChanged = true;
}

void owner::impl::registerJob(job& aJob, time_point aNow, wall_time aWall)
{
  const auto id = aJob.mSpec.mId;
  mSubmittedAt[id] = aNow + (aJob.mSpec.mSubmitted - aWall);
  if (aJob.mSpec.mRepeat != 0) {
    mScheduled.insert(id);
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
      for (std::uint32_t index = 0; index < steps[step].mTasks.size(); ++index) {
        const auto& task = steps[step].mTasks[index];
        const task_key key{
          .mStep = { .mJob = aJob.mSpec.mId, .mOccurrence = occurrence, .mStep = step },
          .mIndex = index
        };
        if (!task.mOpen || findRun(task.mOpen->mTarget, key, task.mRun) != nullptr) {
          continue;
        }
        auto& target = targetOf(task.mOpen->mTarget);
        target.mEntry.mBorn = std::max(target.mEntry.mBorn, task.mOpen->mBorn);
        hold(target, key,
             { .mRun = task.mRun,
               .mNeeds = aJob.mSpec.mSteps[step].roomNeeds(),
               .mTeam = aJob.mSpec.mTeam,
               .mPhase = internal::run_phase::confirmed,
               .mSettledAt = mTakenOver });
      }
    }
  }
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
    step.mKey = aKey;
    step.mJob = &aJob;
    step.mRoute = routeOf(aJob.mSpec.mRoute);
    step.mNeeds = step.spec().roomNeeds();
    const auto chains = chainsFrom(aJob.mSpec, step.mRoute);
    const auto longest = *std::ranges::max_element(chains);
    auto since = mSubmittedAt[aKey.mJob];
    if (aJob.mSpec.mRepeat != 0) {
      since += aJob.mSpec.due(aKey.mOccurrence) - aJob.mSpec.mSubmitted;
      step.mNotBefore = since;
    }
    const auto period =
      std::chrono::duration_cast<duration>(longest * step.mRoute.mStretch) + step.mRoute.mObjective;
    step.mOnTimeUntil = since + period;
    step.mOfUseUntil = since + kUsePeriods * period;
    step.mRemaining = chains[aKey.mStep];
    if (step.spec().mLongRunning) {
      step.mRemaining = duration{ 0 };
      step.mOnTimeUntil = aNow + kLongRunningPatience;
      step.mOfUseUntil = aNow + kForever;
    }
  }
  if (step.mPending.empty()) {
    step.mSince = aNow;
    step.mNextExplanation = aNow + internal::kExplainInterval;
  }
  step.mPending.clear();
  for (std::uint32_t index = 0; index < state->mTasks.size(); ++index) {
    if (!state->mTasks[index].mDone && !state->mTasks[index].mOpen) {
      step.mPending.push_back(index);
    }
  }
  mChanged = true;
}

void owner::impl::dropSteps(job_id aJob)
{
  const auto first = mWaiting.lower_bound(step_key{ .mJob = aJob });
  auto last = first;
  while (last != mWaiting.end() && last->first.mJob == aJob) {
    ++last;
  }
  mWaiting.erase(first, last);
  mScheduled.erase(aJob);
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
  const auto& tasks = aJob.find(aKey)->mTasks;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    if (!tasks[index].mOpen) {
      continue;
    }
    if (auto* run = findRun(tasks[index].mOpen->mTarget, { .mStep = aKey, .mIndex = index },
                            tasks[index].mRun)) {
      run->mStopWanted = true;
      run->mNextTry = aNow;
      mTargets.find(tasks[index].mOpen->mTarget)->second.mNextOrders = time_point{};
    }
  }
}

void owner::impl::openDueOccurrences(time_point aNow, wall_time aWall)
{
  std::vector<job_id> finished;
  for (const auto id : mScheduled) {
    job* found = mBook.find(id);
    if (found == nullptr || found->mPhase != job_phase::active) {
      finished.push_back(id);
      continue;
    }
    const auto next = found->mOccurrences.empty() ? 0 : found->mOccurrences.rbegin()->first + 1;
    if (next >= found->mSpec.mRepeat) {
      finished.push_back(id);
    } else if (found->mSpec.due(next) <= aWall + kMaxDueLead) {
      mBook.openOccurrence(*found, next);
      mSubmittedAt[id] = aNow + (found->mSpec.mSubmitted - aWall);
      for (std::uint32_t step = 0; step < found->mSpec.mSteps.size(); ++step) {
        enqueueStep(*found, { .mJob = id, .mOccurrence = next, .mStep = step }, aNow);
      }
    }
  }
  for (const auto id : finished) {
    mScheduled.erase(id);
  }
}

void owner::impl::afterEnd(job& aJob, const task_key& aTask, run_end aHow, time_point aNow)
{
  const auto& spec = aJob.mSpec.mSteps[aTask.mStep.mStep];
  const step_state* state = aJob.find(aTask.mStep);
  if (aJob.mPhase != job_phase::active) {
    dropSteps(aJob.mSpec.mId);
    return;
  }
  if (aHow == run_end::failed && !spec.mLongRunning) {
    const auto failures = spec.mGang ? state->mGangFailures : state->mTasks[aTask.mIndex].mFailures;
    const auto attempts = routeOf(aJob.mSpec.mRoute).mMaxAttempts;
    if (failures >= attempts) {
      mPort.explain("job_failed",
                    fmt::format("job={} task={} failures={} max_attempts={}",
                                toText(aJob.mSpec.mId), toText(aTask), failures, attempts));
      append(job_given_up{ .mJob = aJob.mSpec.mId }, aNow);
      stopRuns(aJob, aNow);
      dropSteps(aJob.mSpec.mId);
      return;
    }
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
  } else if (aHow != run_end::done) {
    enqueueStep(aJob, aTask.mStep, aNow);
  }
}

void owner::impl::append(journal_record aRecord, time_point aNow)
{
  // This process is the only one that stores such records, so their effect is known at once.
  mBook.apply(aRecord, aNow);
  mRecords.push_back(std::move(aRecord));
}

void owner::impl::flush(time_point aNow)
{
  if (mRecords.empty()) {
    if (!mNextBatch.mEnds.empty() && mBatches.empty()) {
      mBatches.push_back(std::exchange(mNextBatch, {}));
      stored(aNow);
    }
    return;
  }
  mNextBatch.mSince = aNow;
  mBatches.push_back(std::exchange(mNextBatch, {}));
  mPort.store(std::exchange(mRecords, {}));
}

void owner::impl::accept(const journal_record& aRecord, std::uint64_t aToken, time_point aNow,
                         wall_time aWall)
{
  job* changed = mBook.apply(aRecord, aNow);
  mRecords.push_back(aRecord);
  mNextBatch.mTokens.push_back(aToken);
  if (changed != nullptr) {
    noticed(*changed, aNow, aWall);
  }
}

void owner::impl::stored(time_point aNow)
{
  if (mBatches.empty()) {
    return;
  }
  const batch done = std::move(mBatches.front());
  mBatches.pop_front();
  for (const auto& id : done.mTaken) {
    if (const auto found = mTargets.find(id); found != mTargets.end() && found->second.mTaken) {
      found->second.mTakingStored = true;
      found->second.mNextLook = aNow;
    }
  }
  for (const auto token : done.mTokens) {
    mPort.accepted(token);
  }
  for (const auto& end : done.mEnds) {
    const auto found = mTargets.find(end.mTarget);
    if (found != mTargets.end() && found->second.mEntry.mBorn == end.mBorn) {
      found->second.mStoredEnd = std::max(found->second.mStoredEnd, end.mNumber);
    }
  }
  for (const auto& start : done.mStarts) {
    auto* run = findRun(start.mAt.mTarget, start.mTask, start.mRun);
    if (run == nullptr || run->mPhase != internal::run_phase::storing) {
      continue;
    }
    auto& target = mTargets.find(start.mAt.mTarget)->second;
    const job* owning = mBook.find(start.mTask.mStep.mJob);
    const bool wanted = owning != nullptr && owning->mPhase == job_phase::active;
    if (!wanted || run->mStopWanted || !target.mTakingStored ||
        target.mEntry.mBorn != start.mAt.mBorn || target.mEntry.mDraining ||
        mClosedZones.contains(target.mEntry.mZone) || run->mTicketUntil <= aNow) {
      endRun(target, start.mTask, run_end::not_run, {}, aNow);
      release(target, start.mTask);
      continue;
    }
    run->mPhase = internal::run_phase::ordered;
    run->mNextTry = aNow;
    sendStart(target, start.mTask, *run, aNow);
  }
  mChanged = true;
}

time_point owner::impl::tick(time_point aNow, wall_time aWall)
{
  openDueOccurrences(aNow, aWall);
  for (auto at = mTargets.begin(); at != mTargets.end();) {
    auto& target = at->second;
    if (!target.mLookOpen && target.mNextLook <= aNow && !target.mEntry.mAddress.empty()) {
      sendLook(target, aNow);
    }
    sendOrders(target, aNow);
    if (!target.mRuns.empty()) {
      if (target.leaseOver().value_or(formerLeasesOver(target)) < aNow) {
        loseRuns(target, "lease_over", aNow);
      }
    }
    const bool forgotten = !target.mListed && target.mRuns.empty() && !target.mLookOpen;
    at = forgotten ? mTargets.erase(at) : ++at;
  }
  const bool overdue = !mBatches.empty() && aNow - mBatches.front().mSince > kAppendPatience;
  if (mNextPlan <= aNow && !overdue) {
    if (mChanged || mNextPlan + kIdlePlanInterval <= aNow) {
      mChanged = false;
      plan(aNow);
      mNextPlan = aNow + mOptions.mPlanInterval;
    }
  }
  const bool urgent = !mNextBatch.mStarts.empty() || !mNextBatch.mTokens.empty();
  const auto interval = urgent ? kStoreInterval : kEndStoreInterval;
  if (mBatches.empty() && mLastFlush + interval <= aNow) {
    flush(aNow);
    mLastFlush = aNow;
  }
  const bool busy = mChanged || !mRecords.empty();
  return aNow + (busy ? duration(kStoreInterval) : duration(kTickInterval));
}

time_point owner::impl::formerLeasesOver(const target_state& aTarget) const
{
  // The owner that came after the last one there renewed nothing at the target, and when it claimed
  // its epoch the former one had renewed its own right for the last time.
  const auto successor = mOptions.mEpochs.upper_bound(mBook.lastEpochAt(aTarget.mEntry.mId));
  const auto since = successor == mOptions.mEpochs.end() ? mTakenOver : successor->second;
  return since + mOptions.mRenewalRight + internal::kLeaseMargin +
         std::chrono::duration_cast<duration>(mOptions.mLease / (1.0 - internal::kMaxClockLag));
}

owner_counts owner::impl::counts() const
{
  owner_counts counts{ .mTargets = mTargets.size(),
                       .mWaitingSteps = mWaiting.size(),
                       .mAdviceCalls = mAdviceCalls.size() };
  for (const auto& [id, target] : mTargets) {
    counts.mUsableTargets += target.mTaken && target.mMissed == 0 ? 1 : 0;
    counts.mOpenRuns += target.mRuns.size();
  }
  return counts;
}

std::string owner::impl::dump() const
{
  std::string text =
    fmt::format("epoch {} batches {} records {}\n", mEpoch, mBatches.size(), mRecords.size());
  for (const auto& [id, target] : mTargets) {
    text += fmt::format(
      "target {} zone={} listed={} taken={} draining={} missed={} runs={} cpu={}/{} mem={}/{}\n",
      id, target.mEntry.mZone, target.mListed, target.mTaken, target.mEntry.mDraining,
      target.mMissed, target.mRuns.size(), target.mUsed.mCpuMilli,
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

owner::owner(job_book& aBook, owner_port& aPort, owner_options aOptions, std::uint64_t aEpoch,
             time_point aNow)
  : mImpl(std::make_unique<impl>(aBook, aPort, std::move(aOptions), aEpoch, aNow))
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
  mImpl->mChanged = true;
}

void owner::setTarget(const target_entry& aEntry, time_point aNow)
{
  mImpl->setTarget(aEntry, aNow);
}

void owner::removeTarget(std::string_view aId, time_point aNow)
{
  mImpl->removeTarget(aId, aNow);
}

void owner::setHelpers(std::span<const std::string> aHelpers)
{
  mImpl->mDesk.setHelpers(aHelpers);
}

void owner::noticed(job& aJob, time_point aNow, wall_time aWall)
{
  mImpl->noticed(aJob, aNow, aWall);
}

void owner::accept(const journal_record& aRecord, std::uint64_t aToken, time_point aNow,
                   wall_time aWall)
{
  mImpl->accept(aRecord, aToken, aNow, aWall);
}

void owner::stored(time_point aNow)
{
  mImpl->stored(aNow);
}

void owner::looked(const std::string& aTarget, time_point aSent, order_outcome aOutcome,
                   const target_report& aReport, time_point aNow)
{
  mImpl->looked(aTarget, aSent, aOutcome, aReport, aNow);
}

void owner::startAnswered(const start_order& aOrder, order_outcome aOutcome, time_point aNow)
{
  mImpl->startAnswered(aOrder, aOutcome, aNow);
}

void owner::stopAnswered(const stop_order& aOrder, order_outcome aOutcome, time_point aNow)
{
  mImpl->stopAnswered(aOrder, aOutcome, aNow);
}

void owner::advised(const advice_answer& aAnswer, time_point aNow)
{
  mImpl->advised(aAnswer, aNow);
}

time_point owner::tick(time_point aNow, wall_time aWall)
{
  return mImpl->tick(aNow, aWall);
}

bool owner::fenced() const
{
  return mImpl->mFenced;
}

bool owner::allStored() const
{
  return mImpl->allStored();
}

owner_counts owner::counts() const
{
  return mImpl->counts();
}

std::string owner::dump() const
{
  return mImpl->dump();
}

} // namespace endiveusher::scheduler
