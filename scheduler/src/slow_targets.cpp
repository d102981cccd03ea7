#include "slow_targets.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace endiveusher::scheduler::internal {

namespace {

/// Sum of the weights of slow runs from which a target is slow, less than 1 for rounding.
constexpr double kEnough = 1 - 1e-9;
/// Number of runs of one step that count: one wrong estimate makes all of them slow.
constexpr std::size_t kMaxRunsOfStep = 2;

/// Whether a run from aStart to aEnd was executed for at least half of its time beside aSlow.
bool ranBeside(const slow_run& aSlow, time_point aStart, time_point aEnd)
{
  const auto common = std::min(aSlow.mAt, aEnd) - std::max(aSlow.mStart, aStart);
  return 2 * common >= aEnd - aStart;
}

} // namespace

slow_targets::judgement slow_targets::onSlow(target_number aTarget, slow_run aRun)
{
  if (aRun.mWeight <= 0) {
    return {};
  }
  const auto now = aRun.mAt;
  const auto start = aRun.mStart;
  auto& of = mTargets[aTarget];
  // In the first half of its time the target may not have been slow yet.
  if (of.mFastStart >= start + (now - start) / 2) {
    return { .mIsOutlier = true };
  }
  std::erase_if(of.mEvidence, [&aRun](const slow_run& aOne) { return aOne.mTask == aRun.mTask; });
  if (of.mEvidence.size() >= kMaxEvidence) {
    of.mEvidence.erase(of.mEvidence.begin());
  }
  of.mEvidence.push_back(std::move(aRun));
  double sum = 0;
  double ratio = 1;
  std::size_t runs = 0;
  std::map<step_key, std::size_t> runsOfStep;
  for (const auto& one : of.mEvidence) {
    if (now - one.mAt <= kEvidencePeriod) {
      sum += ++runsOfStep[one.mTask.mStep] <= kMaxRunsOfStep ? one.mWeight : 0;
      ratio = std::max(ratio, one.mRatio);
      ++runs;
    }
  }
  if (sum < kEnough) {
    return {};
  }
  const bool isLater = of.mMark && start >= of.mPeriodSince;
  const bool isNew = !of.mMark;
  if (isNew) {
    of.mMark = slow_mark{ .mTarget = aTarget, .mPeriod = kMinPeriod };
    of.mPeriodSince = now;
  } else if (isLater) {
    of.mMark->mPeriod = std::min<duration>(2 * of.mMark->mPeriod, kMaxPeriod);
    of.mPeriodSince = now;
  }
  of.mMark->mUntil = std::max(of.mMark->mUntil, now + of.mMark->mPeriod);
  of.mMark->mRatio = std::max(of.mMark->mRatio, ratio);
  of.mMark->mRuns = runs;
  of.mMark->mHasChanged = isNew || isLater;
  return { .mMark = of.mMark };
}

void slow_targets::onStillSlow(target_number aTarget, double aRatio, bool aIsOpen, time_point aNow)
{
  const auto found = mTargets.find(aTarget);
  if (found == mTargets.end() || !found->second.mMark) {
    return;
  }
  auto& mark = *found->second.mMark;
  mark.mRatio = std::max(mark.mRatio, aRatio);
  if (aIsOpen) {
    mark.mUntil = std::max(mark.mUntil, aNow + mark.mPeriod);
  }
}

slow_targets::clearance slow_targets::onFast(target_number aTarget, time_point aStart,
                                             time_point aNow)
{
  clearance result;
  auto& of = mTargets[aTarget];
  result.mWasMarked = of.mMark.has_value();
  for (auto& one : of.mEvidence) {
    if (!of.mMark || ranBeside(one, aStart, aNow)) {
      result.mOutliers.push_back(std::move(one));
    }
  }
  of.mEvidence.clear();
  of.mMark.reset();
  of.mFastStart = std::max(of.mFastStart, aStart);
  of.mFastEnd = aNow;
  return result;
}

std::vector<slow_run> slow_targets::dropOld(time_point aNow)
{
  std::vector<slow_run> outliers;
  for (auto at = mTargets.begin(); at != mTargets.end();) {
    auto& of = at->second;
    if (of.mMark && of.mMark->mUntil + kMaxPeriod < aNow) {
      of.mMark.reset();
      of.mEvidence.clear();
    }
    const auto isOld = [&](const slow_run& aOne) {
      return !of.mMark && aNow - aOne.mAt > kEvidencePeriod;
    };
    std::ranges::copy_if(of.mEvidence, std::back_inserter(outliers), isOld);
    std::erase_if(of.mEvidence, isOld);
    const bool isOver = !of.mMark && of.mEvidence.empty() && of.mFastEnd + kEvidencePeriod < aNow;
    at = isOver ? mTargets.erase(at) : std::next(at);
  }
  return outliers;
}

std::vector<slow_mark> slow_targets::marks(time_point aNow) const
{
  std::vector<slow_mark> found;
  for (const auto& [number, of] : mTargets) {
    if (of.mMark && of.mMark->mUntil > aNow) {
      found.push_back(*of.mMark);
    }
  }
  std::ranges::stable_sort(found, std::greater{}, &slow_mark::mRatio);
  return found;
}

} // namespace endiveusher::scheduler::internal
