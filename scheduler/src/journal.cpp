#include "endiveusher/scheduler/journal.h"

#include "endiveusher/kernel/msgpack.h"
#include "endiveusher/scheduler/job_limits.h"

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <stdexcept>
#include <utility>

namespace endiveusher::scheduler {

namespace {

using nlohmann::json;

/// Kind of a record, its first element. The values are part of the stored format.
enum class record_kind : std::uint8_t
{
  submitted = 1,
  cancelled = 2,
  started = 3,
  ended = 4,
  abandoned = 5,
  snapshot = 6,
  target_acquired = 7,
  renewals_stopped = 8,
  team_use = 9,
  /// As snapshot, of a job of which occurrences were dropped. Earlier versions, which would run
  /// these once more, must not take it for the other one.
  snapshot_with_dropped = 10,
};

/// Largest number of tasks of a step that have a row each in a snapshot, whatever their state.
constexpr std::uint32_t kMaxTaskRows = 64;

std::uint64_t number(job_id aId)
{
  return static_cast<std::uint64_t>(aId);
}

json toJson(const step_spec& aStep)
{
  return json::array({ aStep.mCount, aStep.mNeeds.mCpuMilli, aStep.mNeeds.mMemoryMb,
                       aStep.mNeeds.mAccelerators, aStep.mEstimate.count(), aStep.mAfter,
                       aStep.mCheckpointing, aStep.mGang, aStep.mRackLocal, aStep.mSpeculative,
                       aStep.mLongRunning, aStep.mUsesIdleCpu, aStep.mRequiredLabel,
                       aStep.mDataRack, aStep.mMaxPerTarget, aStep.mMaxUnavailable });
}

step_spec stepFrom(const json& aValue)
{
  return { .mCount = aValue.at(0),
           .mNeeds = { .mCpuMilli = aValue.at(1),
                       .mMemoryMb = aValue.at(2),
                       .mAccelerators = aValue.at(3) },
           .mEstimate = std::chrono::milliseconds(aValue.at(4).get<std::int64_t>()),
           .mAfter = aValue.at(5),
           .mCheckpointing = aValue.at(6),
           .mGang = aValue.at(7),
           .mRackLocal = aValue.at(8),
           .mSpeculative = aValue.at(9),
           .mLongRunning = aValue.at(10),
           .mUsesIdleCpu = aValue.at(11),
           .mRequiredLabel = aValue.at(12),
           .mDataRack = aValue.at(13),
           .mMaxPerTarget = aValue.at(14),
           .mMaxUnavailable = aValue.at(15) };
}

json toJson(const route_config& aRoute)
{
  auto value = json::array({ aRoute.mPool, aRoute.mPriority, aRoute.mMaxAttempts, aRoute.mStretch,
                             aRoute.mObjective.count() });
  if (aRoute.mAdvice) {
    value.push_back(aRoute.mAdvice->mPerCall.count());
    value.push_back(aRoute.mAdvice->mPerTarget.count());
    value.push_back(aRoute.mAdvice->mTicketLifetime.count());
  }
  return value;
}

route_config routeFrom(const json& aValue, const std::string& aName)
{
  route_config route{ .mName = aName,
                      .mPool = aValue.at(0),
                      .mPriority = aValue.at(1),
                      .mMaxAttempts = aValue.at(2),
                      .mStretch = aValue.at(3),
                      .mObjective = std::chrono::milliseconds(aValue.at(4).get<std::int64_t>()) };
  if (aValue.size() > 5) {
    route.mAdvice =
      advice_terms{ .mPerCall = std::chrono::microseconds(aValue.at(5).get<std::int64_t>()),
                    .mPerTarget = std::chrono::microseconds(aValue.at(6).get<std::int64_t>()),
                    .mTicketLifetime =
                      std::chrono::milliseconds(aValue.at(7).get<std::int64_t>()) };
  }
  return route;
}

json toJson(const job_spec& aSpec)
{
  json steps = json::array();
  for (const auto& step : aSpec.mSteps) {
    steps.push_back(toJson(step));
  }
  auto value = json::array({ number(aSpec.mId), aSpec.mRoute, aSpec.mTeam,
                             json::binary({ aSpec.mPayload.begin(), aSpec.mPayload.end() }),
                             std::move(steps), aSpec.mFirstDue.count(), aSpec.mInterval.count(),
                             aSpec.mRepeat, aSpec.mSubmitted.count() });
  // Earlier versions ignore further elements.
  if (aSpec.mAcceptedBy) {
    value.push_back(toJson(*aSpec.mAcceptedBy));
  }
  return value;
}

/// Throws unless a caller may have submitted the job: a daemon that applies another one may need
/// more memory than it has, or read beyond the job's steps.
void checkSpec(const job_spec& aSpec)
{
  if (aSpec.mSteps.size() > kMaxStepsPerJob || aSpec.mRepeat > kMaxOccurrences) {
    throw std::out_of_range("the number of steps or occurrences is out of range");
  }
  for (std::size_t index = 0; index < aSpec.mSteps.size(); ++index) {
    const auto& step = aSpec.mSteps[index];
    if (step.mCount == 0 || step.mCount > kMaxTasksPerStep ||
        std::ranges::any_of(step.mAfter, [index](auto aBefore) { return aBefore >= index; })) {
      throw std::out_of_range(absl::StrCat("step ", index, " is out of range"));
    }
  }
}

job_spec specFrom(const json& aValue)
{
  const auto& payload = aValue.at(3).get_binary();
  job_spec spec{ .mId = static_cast<job_id>(aValue.at(0).get<std::uint64_t>()),
                 .mRoute = aValue.at(1),
                 .mTeam = aValue.at(2),
                 .mPayload = std::string(payload.begin(), payload.end()),
                 .mFirstDue = wall_time(aValue.at(5).get<std::int64_t>()),
                 .mInterval = std::chrono::milliseconds(aValue.at(6).get<std::int64_t>()),
                 .mRepeat = aValue.at(7),
                 .mSubmitted = wall_time(aValue.at(8).get<std::int64_t>()) };
  for (const auto& step : aValue.at(4)) {
    spec.mSteps.push_back(stepFrom(step));
  }
  checkSpec(spec);
  if (aValue.size() > 9) {
    spec.mAcceptedBy = routeFrom(aValue.at(9), spec.mRoute);
  }
  return spec;
}

json toJson(const task_state& aTask, std::string_view aCheckpoint)
{
  json value = json::array({ aTask.mRun, aTask.mFailures, aTask.mDone, aCheckpoint });
  if (aTask.mOpen) {
    value.push_back(aTask.mOpen->mTarget);
    value.push_back(aTask.mOpen->mIncarnationStart);
  }
  return value;
}

task_state taskFrom(const json& aValue)
{
  task_state task{ .mRun = aValue.at(0),
                   .mFailures = aValue.at(1),
                   .mDone = aValue.at(2),
                   .mCheckpoint = aValue.at(3) };
  if (aValue.size() > 4) {
    task.mOpen = open_run{ .mTarget = aValue.at(4), .mIncarnationStart = aValue.at(5) };
  }
  return task;
}

bool isInitial(const task_state& aTask)
{
  return aTask.mRun == 0 && aTask.mFailures == 0 && !aTask.mDone && !aTask.mOpen &&
         aTask.mCheckpoint.empty();
}

/// Returns the states of a step's tasks. A row for each up to kMaxTaskRows, which earlier versions
/// read; for more, the reduced states, the index and row of the others, and the gang's checkpoint.
json tasksToJson(const step_state& aStep)
{
  const auto& tasks = aStep.mTasks;
  json rows = json::array();
  if (tasks.size() <= kMaxTaskRows) {
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
      rows.push_back(toJson(tasks[index], aStep.checkpointOf(index)));
    }
    return rows;
  }
  for (const auto& [index, task] : tasks.full()) {
    rows.push_back(json::array({ index, toJson(task, task.mCheckpoint) }));
  }
  return json::array({ json::binary(tasks.reduced()), std::move(rows), aStep.mGangCheckpoint });
}

void readTasks(const json& aTasks, step_state& aStep, const step_spec& aSpec)
{
  aStep.mTasks = task_states(aSpec.mCount);
  if (!aTasks.empty() && aTasks.at(0).is_binary()) {
    aStep.mTasks.setReduced(aTasks.at(0).get_binary());
    for (const auto& row : aTasks.at(1)) {
      aStep.mTasks.edit(row.at(0).get<std::uint32_t>()) = taskFrom(row.at(1));
    }
    aStep.mGangCheckpoint = aTasks.at(2).get<std::string>();
  } else if (aTasks.size() != aSpec.mCount) {
    throw std::out_of_range(
      absl::StrCat("the step has ", aSpec.mCount, " tasks, not ", aTasks.size()));
  } else {
    for (std::uint32_t index = 0; index < aSpec.mCount; ++index) {
      auto task = taskFrom(aTasks.at(index));
      if (aSpec.mGang && !task.mCheckpoint.empty()) {
        aStep.mGangCheckpoint = std::move(task.mCheckpoint);
        task.mCheckpoint.clear();
      }
      if (!isInitial(task)) {
        aStep.mTasks.edit(index) = std::move(task);
      }
    }
  }
  const auto isOpen = [](const auto& aOne) { return aOne.second.mOpen.has_value(); };
  aStep.mOpen = static_cast<std::uint32_t>(std::ranges::count_if(aStep.mTasks.full(), isOpen));
  aStep.mDone = aStep.mTasks.countDone();
}

/// Returns the target losses of a step's tasks: index, number, age of the last one in ms, number at
/// the start, and number of those whose run had begun.
json lossesToJson(const step_state& aStep, time_point aTakenAt)
{
  json losses = json::array();
  for (const auto& [index, task] : aStep.mTasks.full()) {
    if (task.mTargetLosses > 0) {
      losses.push_back(json::array(
        { index, task.mTargetLosses,
          std::chrono::floor<std::chrono::milliseconds>(aTakenAt - task.mLastTargetLoss).count(),
          task.mStartLosses, task.mCertainLosses }));
    }
  }
  return losses;
}

void readLosses(const json& aLosses, step_state& aStep)
{
  for (const auto& loss : aLosses) {
    auto& task = aStep.mTasks.edit(loss.at(0).get<std::uint32_t>());
    task.mTargetLosses = loss.at(1);
    task.mLastTargetLoss = time_point{} - std::chrono::milliseconds(loss.at(2).get<std::int64_t>());
    task.mStartLosses = loss.at(3);
    // Snapshots of earlier versions do not tell.
    task.mCertainLosses = loss.size() > 4 ? loss.at(4).get<std::uint32_t>() : 0;
  }
}

/// Returns the counted ends of a step: index, run, outcome and target of each.
json countedEndsToJson(const step_state& aStep)
{
  json ends = json::array();
  for (const auto& end : aStep.mCountedEnds) {
    ends.push_back(
      json::array({ end.mIndex, end.mRun, static_cast<int>(end.mOutcome), end.mTarget }));
  }
  return ends;
}

void readCountedEnds(const json& aEnds, step_state& aStep)
{
  for (const auto& end : aEnds) {
    aStep.mCountedEnds.push_back({ .mIndex = end.at(0),
                                   .mRun = end.at(1),
                                   .mOutcome = static_cast<run_end>(end.at(2).get<int>()),
                                   .mTarget = end.at(3) });
  }
}

/// Returns the silent runs of a step: index, run, target, its incarnation, whether at the
/// start, whether it had begun.
json silentRunsToJson(const step_state& aStep)
{
  json runs = json::array();
  for (const auto& run : aStep.mSilentRuns) {
    runs.push_back(json::array({ run.mIndex, run.mRun, run.mAt.mTarget, run.mAt.mIncarnationStart,
                                 run.mAtStart, run.mHasBegun }));
  }
  return runs;
}

void readSilentRuns(const json& aRuns, step_state& aStep)
{
  for (const auto& run : aRuns) {
    aStep.mSilentRuns.push_back({ .mIndex = run.at(0),
                                  .mRun = run.at(1),
                                  .mAt = { .mTarget = run.at(2), .mIncarnationStart = run.at(3) },
                                  .mAtStart = run.at(4),
                                  .mHasBegun = run.at(5) });
  }
}

/// Earlier versions have counted each failed member of a gang's run. No member fails in more runs
/// than the gang.
void limitGangFailures(step_state& aStep)
{
  std::uint32_t most = 0;
  for (const auto& [index, task] : aStep.mTasks.full()) {
    most = std::max(most, task.mFailures);
  }
  aStep.mGangFailures = std::min(aStep.mGangFailures, most);
}

json toJson(const job& aJob, time_point aTakenAt)
{
  json occurrences = json::array();
  for (const auto& [index, steps] : aJob.mOccurrences) {
    json states = json::array();
    for (const auto& step : steps) {
      auto state = json::array({ step.mGangFailures, tasksToJson(step) });
      // Earlier versions ignore further elements of a step's row, but not of a task's.
      auto losses = lossesToJson(step, aTakenAt);
      auto ends = countedEndsToJson(step);
      auto silent = silentRunsToJson(step);
      if (!losses.empty() || !ends.empty() || !silent.empty()) {
        state.push_back(std::move(losses));
        state.push_back(std::move(ends));
        state.push_back(step.mLastFailedRun);
        state.push_back(std::move(silent));
      }
      states.push_back(std::move(state));
    }
    occurrences.push_back(json::array({ index, std::move(states) }));
  }
  auto value = json::array({ toJson(aJob.mSpec), static_cast<int>(aJob.mPhase), aJob.mStarted,
                             aJob.mOccurrencesDone, std::move(occurrences) });
  if (!aJob.mDropped.empty()) {
    json dropped = json::array();
    for (const auto& [first, last] : aJob.mDropped.ranges()) {
      dropped.push_back(json::array({ first, last }));
    }
    value.push_back(std::move(dropped));
  }
  return value;
}

/// Throws unless the states are those of the job's occurrences, steps and tasks: a daemon that uses
/// others reads beyond the job's steps.
void checkStates(const job& aJob)
{
  const auto& specs = aJob.mSpec.mSteps;
  for (const auto& [occurrence, steps] : aJob.mOccurrences) {
    const bool fits =
      occurrence < aJob.mSpec.occurrences() && !aJob.mDropped.contains(occurrence) &&
      std::ranges::equal(steps, specs, [](const step_state& aState, const step_spec& aSpec) {
        return aState.mTasks.size() == aSpec.mCount &&
               std::ranges::all_of(aState.mSilentRuns, [&aSpec](const silent_run& aRun) {
                 return aRun.mIndex < aSpec.mCount;
               });
      });
    if (!fits) {
      throw std::out_of_range(absl::StrCat("occurrence ", occurrence, " has other steps"));
    }
  }
}

/// Reads the first and last index of each range of dropped occurrences.
void readDropped(const json& aRanges, job& aJob)
{
  for (const auto& range : aRanges) {
    const auto first = range.at(0).get<std::uint32_t>();
    const auto last = range.at(1).get<std::uint32_t>();
    if (first > last || last >= aJob.mSpec.occurrences()) {
      throw std::out_of_range(
        absl::StrCat("dropped occurrences ", first, " to ", last, " are out of range"));
    }
    aJob.mDropped.insert(first, last);
  }
}

job jobFrom(const json& aValue)
{
  job result{ .mSpec = specFrom(aValue.at(0)),
              .mPhase = static_cast<job_phase>(aValue.at(1).get<int>()),
              .mStarted = aValue.at(2),
              .mOccurrencesDone = aValue.at(3) };
  if (aValue.size() > 5) {
    readDropped(aValue.at(5), result);
  }
  for (const auto& occurrence : aValue.at(4)) {
    auto& steps = result.mOccurrences[occurrence.at(0).get<std::uint32_t>()];
    for (const auto& state : occurrence.at(1)) {
      step_state step{ .mGangFailures = state.at(0) };
      readTasks(state.at(1), step, result.mSpec.mSteps.at(steps.size()));
      if (state.size() > 2) {
        readLosses(state.at(2), step);
      }
      if (state.size() > 4) {
        readCountedEnds(state.at(3), step);
        step.mLastFailedRun = state.at(4);
        readSilentRuns(state.at(5), step);
      } else {
        limitGangFailures(step);
      }
      step.mTasks.compactAll();
      steps.push_back(std::move(step));
    }
  }
  checkStates(result);
  return result;
}

void append(json& aValue, const task_key& aTask)
{
  aValue.push_back(number(aTask.mStep.mJob));
  aValue.push_back(aTask.mStep.mOccurrence);
  aValue.push_back(aTask.mStep.mStep);
  aValue.push_back(aTask.mIndex);
}

task_key taskKeyFrom(const json& aValue)
{
  return { .mStep = { .mJob = static_cast<job_id>(aValue.at(1).get<std::uint64_t>()),
                      .mOccurrence = aValue.at(2),
                      .mStep = aValue.at(3) },
           .mIndex = aValue.at(4) };
}

json start(record_kind aKind)
{
  return json::array({ static_cast<int>(aKind) });
}

struct encoder
{
  json operator()(const job_submitted& aRecord) const
  {
    auto value = start(record_kind::submitted);
    value.push_back(toJson(aRecord.mSpec));
    return value;
  }
  json operator()(const job_cancelled& aRecord) const
  {
    auto value = start(record_kind::cancelled);
    value.push_back(number(aRecord.mJob));
    return value;
  }
  json operator()(const run_started& aRecord) const
  {
    auto value = start(record_kind::started);
    append(value, aRecord.mTask);
    value.push_back(aRecord.mRun);
    value.push_back(aRecord.mAt.mTarget);
    value.push_back(aRecord.mAt.mIncarnationStart);
    return value;
  }
  json operator()(const run_ended& aRecord) const
  {
    auto value = start(record_kind::ended);
    append(value, aRecord.mTask);
    value.push_back(aRecord.mRun);
    value.push_back(static_cast<int>(aRecord.mOutcome));
    value.push_back(aRecord.mCheckpoint);
    // Earlier versions ignore further elements.
    if (aRecord.mHasBegun) {
      value.push_back(true);
      value.push_back(aRecord.mIncarnationStart);
    }
    return value;
  }
  json operator()(const job_abandoned& aRecord) const
  {
    auto value = start(record_kind::abandoned);
    value.push_back(number(aRecord.mJob));
    return value;
  }
  json operator()(const job_snapshot& aRecord) const
  {
    auto value = start(aRecord.mJob.mDropped.empty() ? record_kind::snapshot
                                                     : record_kind::snapshot_with_dropped);
    value.push_back(toJson(aRecord.mJob, aRecord.mTakenAt));
    return value;
  }
  json operator()(const target_acquired& aRecord) const
  {
    auto value = start(record_kind::target_acquired);
    value.push_back(aRecord.mTarget);
    value.push_back(aRecord.mEpoch);
    value.push_back(aRecord.mVm);
    // Earlier versions ignore further elements.
    value.push_back(aRecord.mIncarnationStart);
    if (aRecord.mRestartAge) {
      value.push_back(aRecord.mRestartAge->count());
    }
    return value;
  }
  json operator()(const renewals_stopped& aRecord) const
  {
    auto value = start(record_kind::renewals_stopped);
    value.push_back(aRecord.mTarget);
    value.push_back(aRecord.mEpoch);
    value.push_back(aRecord.mLeaseLeft.count());
    return value;
  }
  json operator()(const team_use& aRecord) const
  {
    auto value = start(record_kind::team_use);
    value.push_back(aRecord.mAt.count());
    json teams = json::array();
    for (const auto& one : aRecord.mTeams) {
      teams.push_back(json::array({ one.mTeam, one.mUse }));
    }
    value.push_back(std::move(teams));
    return value;
  }
};

target_acquired acquisitionFrom(const json& aValue)
{
  // Records of earlier versions have no VM, or no incarnation.
  target_acquired record{ .mTarget = aValue.at(1), .mEpoch = aValue.at(2) };
  if (aValue.size() > 3) {
    record.mVm = aValue.at(3);
  }
  if (aValue.size() > 4) {
    record.mIncarnationStart = aValue.at(4);
  }
  if (aValue.size() > 5) {
    record.mRestartAge = std::chrono::milliseconds(aValue.at(5).get<std::int64_t>());
  }
  return record;
}

team_use teamUseFrom(const json& aValue)
{
  team_use record{ .mAt = wall_time(aValue.at(1).get<std::int64_t>()) };
  // A later wall time minus a negative one may not be representable.
  if (record.mAt < wall_time{ 0 }) {
    throw std::out_of_range("the time of the teams' use is out of range");
  }
  const auto& teams = aValue.at(2).get_ref<const json::array_t&>();
  if (teams.size() > kMaxTeamsInRecord) {
    throw std::out_of_range("the number of teams is out of range");
  }
  for (const auto& team : teams) {
    record.mTeams.push_back({ .mTeam = team.at(0), .mUse = team.at(1) });
    const auto use = record.mTeams.back().mUse;
    if (!std::isfinite(use) || use < 0) {
      throw std::out_of_range("the use of a team is out of range");
    }
  }
  return record;
}

journal_record recordFrom(const json& aValue)
{
  const auto jobOf = [&aValue] { return static_cast<job_id>(aValue.at(1).get<std::uint64_t>()); };
  switch (static_cast<record_kind>(aValue.at(0).get<int>())) {
    case record_kind::submitted:
      return job_submitted{ .mSpec = specFrom(aValue.at(1)) };
    case record_kind::cancelled:
      return job_cancelled{ .mJob = jobOf() };
    case record_kind::started:
      return run_started{ .mTask = taskKeyFrom(aValue),
                          .mRun = aValue.at(5),
                          .mAt = { .mTarget = aValue.at(6), .mIncarnationStart = aValue.at(7) } };
    case record_kind::ended:
      return run_ended{ .mTask = taskKeyFrom(aValue),
                        .mRun = aValue.at(5),
                        .mOutcome = static_cast<run_end>(aValue.at(6).get<int>()),
                        .mCheckpoint = aValue.at(7),
                        .mHasBegun = aValue.size() > 8 && aValue.at(8).get<bool>(),
                        .mIncarnationStart =
                          aValue.size() > 9 ? aValue.at(9).get<std::int64_t>() : 0 };
    case record_kind::abandoned:
      return job_abandoned{ .mJob = jobOf() };
    case record_kind::snapshot:
    case record_kind::snapshot_with_dropped:
      return job_snapshot{ .mJob = jobFrom(aValue.at(1)) };
    case record_kind::target_acquired:
      return acquisitionFrom(aValue);
    case record_kind::renewals_stopped:
      return renewals_stopped{ .mTarget = aValue.at(1),
                               .mEpoch = aValue.at(2),
                               .mLeaseLeft =
                                 std::chrono::milliseconds(aValue.at(3).get<std::int64_t>()) };
    case record_kind::team_use:
      return teamUseFrom(aValue);
  }
  throw std::invalid_argument(absl::StrCat("unknown record kind ", aValue.at(0).get<int>()));
}

} // namespace

std::string encode(const journal_record& aRecord)
{
  std::string bytes;
  json::to_msgpack(std::visit(encoder{}, aRecord), bytes);
  return bytes;
}

std::string describe(const journal_record& aRecord)
{
  struct describer
  {
    std::string operator()(const job_submitted& aOne) const
    {
      return absl::StrCat("kind=submitted job=", toText(aOne.mSpec.mId));
    }
    std::string operator()(const job_cancelled& aOne) const
    {
      return absl::StrCat("kind=cancelled job=", toText(aOne.mJob));
    }
    std::string operator()(const run_started& aOne) const
    {
      return absl::StrCat("kind=started task=", toText(aOne.mTask), " run=", aOne.mRun,
                          " target=", aOne.mAt.mTarget);
    }
    std::string operator()(const run_ended& aOne) const
    {
      return absl::StrCat("kind=ended task=", toText(aOne.mTask), " run=", aOne.mRun,
                          " outcome=", static_cast<int>(aOne.mOutcome));
    }
    std::string operator()(const job_abandoned& aOne) const
    {
      return absl::StrCat("kind=abandoned job=", toText(aOne.mJob));
    }
    std::string operator()(const job_snapshot& aOne) const
    {
      return absl::StrCat("kind=snapshot job=", toText(aOne.mJob.mSpec.mId));
    }
    std::string operator()(const target_acquired& aOne) const
    {
      return absl::StrCat("kind=target_acquired target=", aOne.mTarget);
    }
    std::string operator()(const renewals_stopped& aOne) const
    {
      return absl::StrCat("kind=renewals_stopped target=", aOne.mTarget);
    }
    std::string operator()(const team_use& aOne) const
    {
      return absl::StrCat("kind=team_use teams=", aOne.mTeams.size());
    }
  };
  return std::visit(describer{}, aRecord);
}

absl::StatusOr<journal_record> decodeRecord(std::string_view aBytes)
{
  try {
    return recordFrom(parseMsgpack(aBytes));
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(absl::StrCat("invalid journal record: ", error.what()));
  }
}

} // namespace endiveusher::scheduler
