#pragma once

#include "placer_impl.h"

#include <algorithm>

namespace endiveusher {

template<guard_policy Guards>
void basic_placer<Guards>::impl::evictFromLeaving()
{
  if constexpr (Guards::kChecksLeaving) {
    for (target_state* target : mOrder) {
      if (!target->mOwned || !target->leaving()) {
        continue;
      }
      for (const task_key& key : target->mHeld) {
        held_attempt& attempt = *mAttempts.find(key);
        if (attempt.mState == placed_state::running && attempt.mOwn && !attempt.mEnding) {
          evict(attempt);
        }
      }
    }
  }
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::enforceSlices(time_point aNow)
{
  // Delay before evictions. Lets tasks that end soon anyway finish; a lowered limit still takes
  // effect within seconds.
  constexpr duration kGrace = std::chrono::seconds(2);
  if constexpr (!Guards::kChecksSlices) {
    return;
  }
  for (const auto& [team, charged] : mSlices.teams()) {
    const auto info = mView.mTeams.find(team);
    const limit_vector slice =
      info == mView.mTeams.end() ? internal::slice_account::kZero : info->second.mSlice;
    if (internal::within(charged.mCharged, slice)) {
      mOverSince.erase(team);
      continue;
    }
    if (aNow - mOverSince.try_emplace(team, aNow).first->second < kGrace) {
      continue;
    }
    internal::slice_account staying;
    std::vector<held_attempt*> running;
    for (target_state* target : mOrder) {
      for (const task_key& key : target->mHeld) {
        held_attempt& attempt = *mAttempts.find(key);
        if (attempt.mTask.mTeam == team && attempt.mCharged && !attempt.mEnding) {
          staying.add(team, attempt.mTask.mSize);
          running.push_back(&attempt);
        }
      }
    }
    const auto precedence = [](const held_attempt* aAttempt) {
      const job_kind kind = aAttempt->mTask.mKind;
      return kind == job_kind::batch ? 0 : kind == job_kind::gang ? 1 : 2;
    };
    std::sort(running.begin(), running.end(), [&](const auto* aLeft, const auto* aRight) {
      return std::make_tuple(precedence(aLeft), aRight->mStartedAt, aRight->mSequence) <
             std::make_tuple(precedence(aRight), aLeft->mStartedAt, aLeft->mSequence);
    });
    for (held_attempt* attempt : running) {
      if (internal::within(staying.of(team).mCharged, slice)) {
        break;
      }
      staying.remove(team, attempt->mTask.mSize);
      evict(*attempt);
    }
  }
}

template<guard_policy Guards>
std::vector<internal::team_queue*> basic_placer<Guards>::impl::teamsByScore()
{
  std::vector<team_queue*> teams;
  for (auto& [name, team] : mQueue.teams()) {
    teams.push_back(&team);
  }
  std::sort(teams.begin(), teams.end(),
            [](const auto* aLeft, const auto* aRight) { return aLeft->mScore > aRight->mScore; });
  return teams;
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::preemptForUrgent(time_point aNow)
{
  // Bounds the work of one scan; scans follow each other within milliseconds.
  constexpr std::size_t kMaxTasksPerScan = 16;
  if (!mayStart(aNow)) {
    return;
  }
  std::size_t left = kMaxTasksPerScan;
  for (auto& [name, team] : mQueue.teams()) {
    for (const auto& [size, tasks] : team.mLanes.at(team_queue::kUrgentLane).classes()) {
      for (const auto& [rank, attempt] : tasks) {
        if (left == 0) {
          return;
        }
        --left;
        if (aNow - attempt->mQueuedAt < mOptions.mPreemptAfter ||
            mHolds.contains(attempt->mTask.mKey)) {
          continue;
        }
        if (!fitsSlice(name, size) || !preemptFor(*attempt, aNow)) {
          break;
        }
      }
    }
  }
}

template<guard_policy Guards>
bool basic_placer<Guards>::impl::preemptFor(const held_attempt& aUrgent, time_point aNow)
{
  const resources& size = aUrgent.mTask.mSize;
  for (const team_queue* team : teamsByScore()) {
    target_state* best = nullptr;
    std::vector<held_attempt*> bestVictims;
    for (target_state* target : mOrder) {
      if (!placeable(*target, aNow, true)) {
        continue;
      }
      std::vector<held_attempt*> running;
      for (const task_key& key : target->mHeld) {
        held_attempt& attempt = *mAttempts.find(key);
        if (attempt.mState == placed_state::running && attempt.mOwn && !attempt.mEnding &&
            attempt.mTask.mTeam == team->mTeam && attempt.mTask.mKind == job_kind::batch &&
            attempt.mTask.mIdempotent && !attempt.mTask.mUrgent) {
          running.push_back(&attempt);
        }
      }
      // Most recently started first: they lose the least work.
      std::sort(running.begin(), running.end(), [](const auto* aLeft, const auto* aRight) {
        return aLeft->mStartedAt > aRight->mStartedAt;
      });
      resources freeCapacity = target->mAccount.freeCapacity();
      std::vector<held_attempt*> victims;
      for (held_attempt* attempt : running) {
        if (size.fitsIn(freeCapacity)) {
          break;
        }
        freeCapacity += attempt->mTask.mSize;
        victims.push_back(attempt);
      }
      if (size.fitsIn(freeCapacity) && (best == nullptr || victims.size() < bestVictims.size())) {
        best = target;
        bestVictims = std::move(victims);
      }
    }
    if (best != nullptr) {
      for (held_attempt* victim : bestVictims) {
        evict(*victim);
      }
      best->mAccount.addHold(size);
      mHolds[aUrgent.mTask.mKey] = { .mTarget = best->mInfo.mTarget,
                                     .mSize = size,
                                     .mUntil = aNow + mOptions.mTiming.mReservationPeriod };
      return true;
    }
  }
  return false;
}

} // namespace endiveusher
