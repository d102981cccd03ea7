#include "owner_impl.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace endiveusher::scheduler {

namespace {

/// Number of times that targets are looked at for the steps with smaller ranks, in one explanation.
/// Load pattern: thousands of steps wait in a full cell; an explanation may take 20 ms of the event
/// loop's time.
constexpr std::uint64_t kMaxTrialVisits = 150'000;

/// Adds aItem unless the list is full.
template<typename Item>
void addTo(std::vector<Item>& aList, Item aItem)
{
  if (aList.size() < kMaxExplainedTargets) {
    aList.push_back(std::move(aItem));
  }
}

} // namespace

std::string_view toText(target_fit aFit)
{
  switch (aFit) {
    case target_fit::other_pool:
      return "other_pool";
    case target_fit::label:
      return "label";
    case target_fit::not_usable:
      return "not_usable";
    case target_fit::draining:
      return "draining";
    case target_fit::avoided:
      return "avoided";
    case target_fit::slow:
      return "slow";
    case target_fit::closed_zone:
      return "closed_zone";
    case target_fit::no_room:
      return "no_room";
    case target_fit::isolation:
      return "isolation";
    case target_fit::fits:
      return "fits";
  }
  return "unknown";
}

/// A planning pass that chooses placements and commits none. What the owner keeps for its own
/// passes is restored at the end. Preemption and new reservations for the steps that wait are left
/// out: they change what becomes free later, not what is free now.
class owner::impl::trial_pass
{
public:
  trial_pass(impl& aOwner, time_point aNow)
    : mOwner(aOwner), mNow(aNow), mFormerPass(std::exchange(aOwner.mPass, {}))
  {
    for (auto& [name, team] : mOwner.mTeams) {
      mTeams.emplace_back(&team, team);
      team.mReserved.reset();
    }
    mCandidates = mOwner.makeCandidates(mNow);
    mOrder = mOwner.stepsInOrder(mNow);
    for (auto& [rank, step] : mOrder) {
      if (!step->mReservation) {
        continue;
      }
      if (mOwner.keepsReservation(*step, mNow)) {
        mOwner.mPass.mReservedCpuMilli +=
          static_cast<std::int64_t>(step->mPending.size()) * step->mNeeds.mCpuMilli;
        mOwner.withhold(*step, mCandidates);
      } else {
        step = &mChangedSteps.emplace_back(*step);
        step->mReservation.reset();
      }
    }
  }
  trial_pass(const trial_pass&) = delete;
  trial_pass& operator=(const trial_pass&) = delete;
  ~trial_pass()
  {
    mOwner.mPass = std::move(mFormerPass);
    for (auto& [team, saved] : mTeams) {
      *team = std::move(saved);
    }
  }

  /// Places the steps with a smaller rank, then this one; in the order of the ranks.
  step_explanation explain(waiting_step& aStep)
  {
    const auto rank = internal::rankOf(aStep, mNow);
    while (mNext < mOrder.size() && mOrder[mNext].first < rank) {
      const auto& step = *mOrder[mNext++].second;
      mTasksBefore += step.mPending.size();
      if (mOwner.mPass.mVisits >= kMaxTrialVisits) {
        ++mIgnoredSteps;
      } else {
        place(step);
      }
    }
    step_explanation result{ .mStep = aStep.mKey.mStep,
                             .mTasks = static_cast<std::uint32_t>(aStep.mPending.size()),
                             .mBand = rank.mBand,
                             .mLatestStart = rank.mLatestStart - mNow,
                             .mStepsBefore = mNext,
                             .mTasksBefore = mTasksBefore };
    mOwner.mPass.mWithheldForGang.clear();
    mOwner.updateTeamHold(aStep, mNow);
    describeTeam(aStep, result);
    describeTargets(aStep, result);
    const auto placements = choose(aStep);
    describePlacements(placements, result);
    use(aStep, placements);
    aStep.mPending.erase(aStep.mPending.begin(),
                         aStep.mPending.begin() + static_cast<std::ptrdiff_t>(placements.size()));
    if (!aStep.mPending.empty()) {
      const auto counts = mOwner.countsFor(aStep, mCandidates, mNow);
      result.mWaitReason = mOwner.waitReason(aStep, counts, mNow);
      describeQuery(aStep, result);
      describePreemption(aStep, rank, result);
      hold(aStep);
    }
    return result;
  }

  std::size_t ignoredSteps() const { return mIgnoredSteps; }
  std::optional<duration> oldestReport(const std::string& aPool) const
  {
    std::optional<duration> oldest;
    for (const auto& one : mCandidates) {
      if (one.mTarget->mEntry.mPool == aPool) {
        const auto age = mNow - one.mTarget->mLastReply;
        oldest = std::max(oldest.value_or(age), age);
      }
    }
    return oldest;
  }

private:
  /// Places a step of another job as plan() does.
  void place(const waiting_step& aStep)
  {
    if (aStep.mNotBefore > mNow && aStep.mJob->mSpec.mRepeat == 0) {
      return;
    }
    mOwner.mPass.mWithheldForGang.clear();
    if (aStep.mReservation) {
      mOwner.giveBack(aStep, mCandidates);
    }
    const auto placements = choose(aStep);
    use(aStep, placements);
    if (placements.empty()) {
      hold(aStep);
    }
    mOwner.claimQueriedRoom(aStep, mCandidates);
  }

  bool isWithinTeamLimit(const waiting_step& aStep) const
  {
    return mOwner.teamSlots(aStep) >= (aStep.spec().mGang ? aStep.mPending.size() : 1);
  }

  std::vector<placement> choose(const waiting_step& aStep)
  {
    if (!isWithinTeamLimit(aStep)) {
      return {};
    }
    return aStep.spec().mGang ? mOwner.chooseGang(aStep, mCandidates, mNow)
                              : mOwner.chooseTasks(aStep, mCandidates, mNow);
  }

  /// Counts the chosen placements for the steps behind.
  void use(const waiting_step& aStep, const std::vector<placement>& aPlacements)
  {
    if (aPlacements.empty()) {
      return;
    }
    const bool isIsolated = isolationEnd(*aStep.mJob->find(aStep.mKey), mNow) > mNow;
    for (const auto& one : aPlacements) {
      aStep.mTeam->mUsed += aStep.mNeeds;
      if (isIsolated) {
        one.mCandidate->mIsolated.add(aStep.mKey.mJob);
      }
    }
  }

  /// Reserves for a gang that does not start.
  void hold(const waiting_step& aStep)
  {
    if (!aStep.spec().mGang) {
      return;
    }
    if (isWithinTeamLimit(aStep)) {
      mOwner.holdForGang(aStep, mCandidates, mNow);
    } else {
      mOwner.reserveTeamLimit(aStep, mNow);
    }
  }

  void describeTeam(const waiting_step& aStep, step_explanation& aResult) const
  {
    const auto& team = *aStep.mTeam;
    aResult.mTeamLimit = team.mConfig == nullptr ? resources{} : team.mConfig->mUpperLimit;
    aResult.mTeamUsed = team.mUsed;
    aResult.mTeamReserved = team.mReserved ? team.mReserved->mTotal : resources{};
    aResult.mTeamSlots = mOwner.teamSlots(aStep);
  }

  target_fit fitOf(const waiting_step& aStep, const target_state& aTarget) const
  {
    if (aTarget.mEntry.mPool != aStep.mRoute.mPool) {
      return target_fit::other_pool;
    }
    if (!isSuitable(aTarget, aStep.mRoute, aStep.spec())) {
      return target_fit::label;
    }
    if (const auto fit = mOwner.fitOf(aTarget, mNow); fit != target_fit::fits) {
      return fit;
    }
    const auto& candidate = mCandidates[*mOwner.mPass.mCandidatePositions[aTarget.mNumber]];
    if (mOwner.freeSlotsAt(aStep, candidate) == 0) {
      return target_fit::no_room;
    }
    return mOwner.slotsAt(aStep, candidate) == 0 ? target_fit::isolation : target_fit::fits;
  }

  void describeTargets(const waiting_step& aStep, step_explanation& aResult) const
  {
    for (const auto* target : mOwner.mTargetsByNumber) {
      if (target != nullptr) {
        ++aResult.mTargets[static_cast<std::size_t>(fitOf(aStep, *target))];
      }
    }
  }

  static void describePlacements(const std::vector<placement>& aPlacements,
                                 step_explanation& aResult)
  {
    aResult.mStarts = aPlacements.size();
    const candidate_target* last = nullptr;
    for (const auto& one : aPlacements) {
      // The placements at one target follow each other.
      if (one.mCandidate != last) {
        last = one.mCandidate;
        ++aResult.mTakenTargets;
        addTo(aResult.mTaken,
              { .mId = last->mTarget->mEntry.mId, .mZone = last->mTarget->mEntry.mZone });
      }
      if (aResult.mTakenTargets <= kMaxExplainedTargets) {
        ++aResult.mTaken.back().mTasks;
      }
    }
  }

  void describeQuery(const waiting_step& aStep, step_explanation& aResult)
  {
    const auto& terms = aStep.mRoute.mAdvice;
    aResult.mNeedsAdvice = terms.has_value();
    if (!terms || !isWithinTeamLimit(aStep)) {
      return;
    }
    const auto queried = mOwner.targetsToQuery(aStep, mCandidates, mNow);
    aResult.mQueriedTargets = queried.size();
    aResult.mAdviceCost =
      static_cast<int>(internal::adviceCalls(queried.size())) * terms->mPerCall +
      static_cast<int>(queried.size()) * terms->mPerTarget;
    for (const auto number : queried) {
      const auto& entry = mOwner.mTargetsByNumber[number]->mEntry;
      addTo(aResult.mQueried, { .mId = entry.mId, .mZone = entry.mZone });
    }
  }

  void describePreemption(const waiting_step& aStep, const internal::step_rank& aRank,
                          step_explanation& aResult)
  {
    const auto after = preemptsAfter(aStep, aRank);
    const auto wanted = std::min<std::size_t>(aStep.mPending.size(), mOwner.teamSlots(aStep));
    if (!after || wanted == 0 || !isWithinTeamLimit(aStep)) {
      return;
    }
    for (const auto& stop : mOwner.choosePreemptions(aStep, wanted, mCandidates, mNow)) {
      aResult.mStoppedRuns += stop.mVictims.size();
      for (const auto& victim : stop.mVictims) {
        addTo(aResult.mStops,
              { .mTask = victim.mTask, .mTarget = stop.mCandidate->mTarget->mEntry.mId });
      }
    }
    if (aResult.mStoppedRuns > 0) {
      aResult.mPreemptsAfter = std::max(*after - mNow, duration{ 0 });
    }
  }

  impl& mOwner;
  const time_point mNow;
  std::vector<candidate_target> mCandidates;
  std::vector<std::pair<internal::step_rank, waiting_step*>> mOrder;
  /// Copies of waiting steps without their reservations, which the next pass drops.
  std::deque<waiting_step> mChangedSteps;
  /// Position of the next step in mOrder, and the tasks of those before it.
  std::size_t mNext = 0;
  std::size_t mTasksBefore = 0;
  std::size_t mIgnoredSteps = 0;

  // What the owner had before.
  internal::planning_pass mFormerPass;
  std::vector<std::pair<internal::team_state*, internal::team_state>> mTeams;
};

placement_explanation owner::impl::explain(const job_spec& aJob, time_point aNow)
{
  placement_explanation result{ .mRejection = rejection(aJob, aNow) };
  job submitted{ .mSpec = aJob };
  auto& states = submitted.mOccurrences[0];
  states.resize(aJob.mSteps.size());
  trial_pass pass(*this, aNow);
  internal::team_state newTeam{ .mName = aJob.mTeam,
                                .mConfig = mConfig ? mConfig->team(aJob.mTeam) : nullptr };
  const auto known = mTeams.find(aJob.mTeam);
  auto& team = known == mTeams.end() ? newTeam : known->second;
  std::vector<waiting_step> steps;
  for (std::uint32_t index = 0; index < aJob.mSteps.size(); ++index) {
    if (aJob.mSteps[index].mAfter.empty()) {
      const step_key key{ .mJob = aJob.mId, .mStep = index };
      steps.push_back(makeStep(submitted, key, team, aNow, aNow));
    }
  }
  result.mFirstSteps = steps.size();
  std::ranges::sort(steps, {},
                    [aNow](const waiting_step& aStep) { return internal::rankOf(aStep, aNow); });
  steps.erase(steps.begin() +
                static_cast<std::ptrdiff_t>(std::min(steps.size(), kMaxExplainedSteps)),
              steps.end());
  for (auto& step : steps) {
    // A job may have a million tasks: only the steps that are explained get theirs.
    auto& state = states[step.mKey.mStep];
    state.mTasks = task_states(step.spec().mCount);
    updatePending(step, state, aNow);
    result.mSteps.push_back(pass.explain(step));
  }
  result.mIgnoredSteps = pass.ignoredSteps();
  result.mOldestReport = pass.oldestReport(routeOf(aJob).mPool);
  return result;
}

} // namespace endiveusher::scheduler
