#include "endiveusher/standins/target_model.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <sstream>
#include <string_view>

namespace endiveusher::standins {

using namespace std::chrono_literals;

namespace {

constexpr target_time kNever{ std::numeric_limits<std::int64_t>::max() };
/// Time after start_by for which results are kept, so that a late retry gets the first result.
constexpr target_time kResultRetention = 5min;
constexpr target_time kTaskFailureDelay = 5ms;

std::optional<std::int64_t> parseNumber(std::string_view& aText)
{
  std::int64_t value = 0;
  const auto parsed = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (parsed.ec != std::errc{} || value < 0) {
    return std::nullopt;
  }
  aText.remove_prefix(static_cast<std::size_t>(parsed.ptr - aText.data()));
  return value;
}

/// Returns the work contained in a checkpoint of target_model, which has the form
/// `<target>/<incarnation>/<number>/<ms>`.
target_time workInCheckpoint(const std::string& aCheckpoint)
{
  std::string_view text = aCheckpoint;
  const auto slash = text.rfind('/');
  if (slash == std::string_view::npos) {
    return 0ms;
  }
  text.remove_prefix(slash + 1);
  return target_time(parseNumber(text).value_or(0));
}

} // namespace

task_script parseScript(const std::string& aCommand)
{
  task_script script;
  std::istringstream words(aCommand);
  for (std::string word; words >> word;) {
    const auto equals = word.find('=');
    if (equals == std::string::npos) {
      continue;
    }
    const std::string name = word.substr(0, equals);
    std::string_view value = std::string_view(word).substr(equals + 1);
    const auto number = parseNumber(value);
    if (!number) {
      continue;
    }
    if (name == "run") {
      script.mRunTime = std::chrono::milliseconds(value == "s" ? *number * 1000 : *number);
    } else if (name == "exit") {
      script.mExitCode = static_cast<std::int32_t>(*number);
    } else if (name == "real_cpu") {
      script.mActualCpuMilli = *number;
    } else if (name == "real_memory") {
      script.mActualMemoryMb = *number;
    }
  }
  return script;
}

target_model::target_model(target_options aOptions, time_point aNow)
  : mOptions(std::move(aOptions)), mIncarnationStart(aNow)
{
}

target_time target_model::clockAt(time_point aNow) const
{
  const auto scaled = static_cast<double>((aNow - mIncarnationStart).count()) * mOptions.mClockRate;
  return std::chrono::floor<target_time>(duration(static_cast<std::int64_t>(scaled)));
}

exchange_response target_model::exchange(const exchange_request& aRequest, time_point aNow)
{
  advance(aNow);
  const target_time clock = clockAt(aNow);
  const std::string incarnation = mOptions.mTarget + "#" + std::to_string(mIncarnationNumber);
  const bool sameIncarnation = aRequest.mTargetIncarnation == incarnation;

  if (clock >= mOwnerUntil) {
    mOwner.clear();
  }
  if (aRequest.mAcquire && aRequest.mOwnershipLease > 0ms) {
    if (mOwner.empty()) {
      mOwner = aRequest.mDaemon;
      ++mEpoch;
      mOwnerUntil = clock + aRequest.mOwnershipLease;
    } else if (mOwner == aRequest.mDaemon) {
      mOwnerUntil = std::max(mOwnerUntil, clock + aRequest.mOwnershipLease);
    }
  }
  const bool owns = mOwner == aRequest.mDaemon && sameIncarnation;
  const bool inForce = owns && mEpoch == aRequest.mEpoch;
  if (owns && aRequest.mAcquire && aRequest.mTaskLeaseUntil > 0ms) {
    for (auto& [key, task] : mTable) {
      task.mLeaseUntil = std::max(task.mLeaseUntil, aRequest.mTaskLeaseUntil);
    }
  }

  exchange_response response;
  for (const auto& order : aRequest.mOrders) {
    const auto code = sameIncarnation || !mOptions.mRefuses.mStale
                        ? execute(order, aRequest, inForce, aNow)
                        : order_result_code::not_owner;
    response.mOrderResults.push_back({ .mOrderId = order.mOrderId, .mCode = code });
  }
  if (inForce) {
    for (const auto id : aRequest.mAcknowledgedFinished) {
      mFinished.erase(id);
    }
  }
  if (inForce && aRequest.mAcquire && aRequest.mOwnershipLease == 0ms) {
    mOwner.clear();
  }

  response.mTarget = mOptions.mTarget;
  response.mTargetIncarnation = incarnation;
  response.mClock = clock;
  response.mGranted = !mOwner.empty() && mOwner == aRequest.mDaemon;
  response.mOwner = mOwner;
  response.mEpoch = mEpoch;
  response.mOwnerUntil = mOwner.empty() ? target_time{ 0 } : mOwnerUntil;
  response.mLeaving = mLeaving;
  response.mCapacity = mOptions.mCapacity;
  response.mMeasured = measuredUse(aNow);
  response.mTableVersion = mTableVersion;
  if (!sameIncarnation || aRequest.mKnownTableVersion != mTableVersion) {
    auto& table = response.mTable.emplace();
    for (const auto& [key, task] : mTable) {
      table.push_back({ .mTask = task.mTask, .mLeaseUntil = task.mLeaseUntil });
    }
  }
  for (const auto& [id, finished] : mFinished) {
    response.mFinished.push_back(finished);
  }
  return response;
}

order_result_code target_model::execute(const target_order& aOrder,
                                        const exchange_request& aRequest, bool aInForce,
                                        time_point aNow)
{
  const target_time clock = clockAt(aNow);
  if (aOrder.mAction == order_action::start) {
    const auto id = std::pair(aRequest.mDaemon, aOrder.mOrderId);
    if (const auto known = mResults.find(id); known != mResults.end()) {
      return known->second.first;
    }
    std::erase_if(mResults, [clock](const auto& aEntry) {
      return aEntry.second.second + kResultRetention < clock;
    });
    const auto code = start(aOrder, aRequest, aInForce, aNow);
    mResults.emplace(id, std::pair(code, aOrder.mStartBy));
    return code;
  }
  if (!aInForce && mOptions.mRefuses.mStale) {
    return order_result_code::not_owner;
  }
  const auto found = mTable.find(aOrder.mTask.mKey);
  if (found == mTable.end() || found->second.mTask.mAttempt != aOrder.mTask.mAttempt) {
    return order_result_code::no_such_task;
  }
  auto& task = found->second;
  switch (aOrder.mAction) {
    case order_action::stop:
      endTask(aOrder.mTask.mKey, { .mAt = clock, .mOutcome = attempt_outcome::stopped }, aNow);
      break;
    case order_action::checkpoint:
      if (!task.mCheckpointedAt) {
        task.mCheckpointedAt =
          clock + std::chrono::duration_cast<target_time>(mOptions.mCheckpointTime);
      }
      break;
    case order_action::throttle:
      setRate(task, std::clamp<std::uint32_t>(aOrder.mThrottlePercent, 1, 100), clock);
      recordUse(aNow);
      break;
    case order_action::start:
      break;
  }
  return order_result_code::done;
}

order_result_code target_model::start(const target_order& aOrder, const exchange_request& aRequest,
                                      bool aInForce, time_point aNow)
{
  const target_time clock = clockAt(aNow);
  const auto& attempt = aOrder.mTask;
  // An attempt that resumes from a checkpoint keeps its number, so checkpoints are compared too.
  const auto same = [&attempt](const task_attempt& aOther) {
    return aOther.mKey == attempt.mKey && aOther.mAttempt == attempt.mAttempt &&
           aOther.mCheckpoint == attempt.mCheckpoint;
  };
  if (mOptions.mRefuses.mStale && !aInForce) {
    return order_result_code::not_owner;
  }
  if (const auto found = mTable.find(attempt.mKey); found != mTable.end()) {
    return same(found->second.mTask) ? order_result_code::duplicate
                                     : order_result_code::key_conflict;
  }
  if (std::any_of(mFinished.begin(), mFinished.end(),
                  [&same](const auto& aEntry) { return same(aEntry.second.mTask); })) {
    return order_result_code::duplicate;
  }
  if (mOptions.mRefuses.mStale && clock > aOrder.mStartBy) {
    return order_result_code::expired;
  }
  if (mOptions.mRefuses.mLeaving && mLeaving) {
    return order_result_code::leaving;
  }
  const bool fits = (used() + attempt.mSize).fitsIn(mOptions.mCapacity);
  if (mOptions.mRefuses.mFull && !fits) {
    return order_result_code::no_capacity;
  }
  if (mOptions.mFaults.mFailsStarts) {
    return order_result_code::failed_to_start;
  }

  const task_script script = parseScript(attempt.mCommand);
  running_entry task{ .mTask = attempt };
  task.mLeaseUntil = std::max(aRequest.mTaskLeaseUntil, aOrder.mStartBy);
  task.mStartedAt = clock;
  task.mRateSince = clock;
  task.mWorkDone = workInCheckpoint(attempt.mCheckpoint);
  task.mExitCode = script.mExitCode;
  if (mOptions.mFaults.mFailsTasks) {
    task.mRemainingWork = kTaskFailureDelay;
    task.mExitCode = 1;
  } else if (script.mRunTime || attempt.mKind != job_kind::service) {
    const auto stated = attempt.mRunTime > 0ms ? attempt.mRunTime : mOptions.mDefaultRunTime;
    task.mRemainingWork =
      std::max(target_time{ 0 }, script.mRunTime.value_or(stated) - task.mWorkDone);
  }
  const auto scaled = [this](std::int64_t aDeclared) {
    return static_cast<std::int64_t>(static_cast<double>(aDeclared) * mOptions.mFaults.mUseFactor);
  };
  task.mActualUse = attempt.mSize;
  task.mActualUse.mCpuMilli = script.mActualCpuMilli.value_or(scaled(attempt.mSize.mCpuMilli));
  task.mActualUse.mMemoryMb = script.mActualMemoryMb.value_or(scaled(attempt.mSize.mMemoryMb));
  mTable.emplace(attempt.mKey, std::move(task));
  ++mTableVersion;
  ++mStarts[attempt.mKey];
  if (!fits) {
    ++mOvercommits;
  }
  mObservations.push_back({ .mKind = target_observation::kind::started,
                            .mAt = aNow,
                            .mTarget = mOptions.mTarget,
                            .mTask = attempt,
                            .mTargetLeaving = mLeaving });
  recordUse(aNow);
  return order_result_code::done;
}

target_time target_model::workSinceRateChange(const running_entry& aTask, target_time aAt) const
{
  return (aAt - aTask.mRateSince) * aTask.mRatePercent / 100;
}

void target_model::setRate(running_entry& aTask, std::uint32_t aPercent, target_time aAt)
{
  const target_time done = workSinceRateChange(aTask, aAt);
  aTask.mWorkDone += done;
  if (aTask.mRemainingWork) {
    *aTask.mRemainingWork -= done;
  }
  aTask.mRatePercent = aPercent;
  aTask.mRateSince = aAt;
}

target_model::task_end target_model::nextEnd(const running_entry& aTask) const
{
  task_end next{ .mAt = kNever };
  const auto consider = [&next](target_time aAt, attempt_outcome aOutcome) {
    if (aAt < next.mAt) {
      next = { .mAt = aAt, .mOutcome = aOutcome };
    }
  };
  if (aTask.mRemainingWork) {
    consider(aTask.mRateSince + *aTask.mRemainingWork * 100 / aTask.mRatePercent,
             aTask.mExitCode == 0 ? attempt_outcome::succeeded : attempt_outcome::failed);
  }
  if (aTask.mCheckpointedAt) {
    consider(*aTask.mCheckpointedAt, attempt_outcome::checkpointed);
  }
  consider(aTask.mLeaseUntil, attempt_outcome::lease_expired);
  return next;
}

void target_model::advance(time_point aNow)
{
  const target_time clock = clockAt(aNow);
  std::vector<std::pair<task_key, task_end>> due;
  for (const auto& [key, task] : mTable) {
    if (const task_end next = nextEnd(task); next.mAt <= clock) {
      due.emplace_back(key, next);
    }
  }
  for (const auto& [key, next] : due) {
    endTask(key, next, aNow);
  }
}

void target_model::endTask(const task_key& aKey, const task_end& aEnd, time_point aNow)
{
  auto& task = mTable.at(aKey);
  setRate(task, 100, aEnd.mAt);
  finished_attempt finished{ .mFinishedId = mNextFinishedId++,
                             .mTask = task.mTask,
                             .mOutcome = aEnd.mOutcome };
  finished.mRanFor = aEnd.mAt - task.mStartedAt;
  if (aEnd.mOutcome == attempt_outcome::checkpointed) {
    finished.mCheckpoint = mOptions.mTarget + "/" + std::to_string(mIncarnationNumber) + "/" +
                           std::to_string(mNextCheckpoint++) + "/" +
                           std::to_string(task.mWorkDone.count());
  } else if (aEnd.mOutcome == attempt_outcome::succeeded ||
             aEnd.mOutcome == attempt_outcome::failed) {
    finished.mExitCode = task.mExitCode;
    finished.mOutput = "ran " + aKey.mRequest + "/" + std::to_string(aKey.mIndex);
  }
  mObservations.push_back({ .mKind = target_observation::kind::ended,
                            .mAt = aNow,
                            .mTarget = mOptions.mTarget,
                            .mTask = task.mTask,
                            .mOutcome = aEnd.mOutcome,
                            .mCheckpoint = finished.mCheckpoint,
                            .mTargetLeaving = mLeaving });
  mFinished.emplace(finished.mFinishedId, std::move(finished));
  mTable.erase(aKey);
  ++mTableVersion;
  recordUse(aNow);
}

void target_model::restart(time_point aNow)
{
  advance(aNow);
  for (const auto& [key, task] : mTable) {
    mObservations.push_back({ .mKind = target_observation::kind::lost,
                              .mAt = aNow,
                              .mTarget = mOptions.mTarget,
                              .mTask = task.mTask,
                              .mTargetLeaving = mLeaving });
  }
  mTable.clear();
  mFinished.clear();
  mResults.clear();
  mUseHistory.clear();
  mOwner.clear();
  mEpoch = 0;
  mOwnerUntil = target_time{ 0 };
  mTableVersion = 1;
  mIncarnationStart = aNow;
  ++mIncarnationNumber;
}

std::vector<task_attempt> target_model::running() const
{
  std::vector<task_attempt> tasks;
  tasks.reserve(mTable.size());
  for (const auto& [key, task] : mTable) {
    tasks.push_back(task.mTask);
  }
  return tasks;
}

resources target_model::used() const
{
  resources sum;
  for (const auto& [key, task] : mTable) {
    sum += task.mTask.mSize;
  }
  return sum;
}

void target_model::recordUse(time_point aNow)
{
  resources sum;
  for (const auto& [key, task] : mTable) {
    resources use = task.mActualUse;
    use.mCpuMilli = use.mCpuMilli * task.mRatePercent / 100;
    sum += use;
  }
  mUseHistory.emplace_back(aNow, sum);
}

resources target_model::measuredUse(time_point aNow)
{
  const time_point at = aNow - mOptions.mMeasureLag;
  while (mUseHistory.size() > 1 && mUseHistory[1].first <= at) {
    mUseHistory.pop_front();
  }
  return mUseHistory.empty() || mUseHistory.front().first > at ? resources{}
                                                               : mUseHistory.front().second;
}

std::vector<target_observation> target_model::takeObservations()
{
  return std::exchange(mObservations, {});
}

} // namespace endiveusher::standins
