#include "fair_queue.h"

namespace endiveusher::internal {

namespace {

std::size_t laneOf(const task_attempt& aTask)
{
  if (aTask.mUrgent) {
    return team_queue::kUrgentLane;
  }
  switch (aTask.mKind) {
    case job_kind::service:
      return 1;
    case job_kind::gang:
      return 2;
    case job_kind::batch:
      break;
  }
  return team_queue::kBatchLane;
}

queue_rank rankOf(const held_attempt& aAttempt)
{
  return { .mTime = aAttempt.mTask.mUrgent ? aAttempt.mDeadline : aAttempt.mQueuedAt,
           .mSequence = aAttempt.mSequence };
}

} // namespace

void queue_lane::push(const queue_rank& aRank, held_attempt& aAttempt)
{
  size_class& tasks = mClasses[aAttempt.mTask.mSize];
  if (!tasks.empty() && aRank < tasks.begin()->first) {
    mHeads.erase(tasks.begin()->first);
  }
  tasks.emplace(aRank, &aAttempt);
  if (tasks.begin()->first == aRank) {
    mHeads.emplace(aRank, &aAttempt);
  }
}

void queue_lane::erase(const queue_rank& aRank, const held_attempt& aAttempt)
{
  const auto found = mClasses.find(aAttempt.mTask.mSize);
  size_class& tasks = found->second;
  const bool wasHead = tasks.begin()->first == aRank;
  tasks.erase(aRank);
  if (!wasHead) {
    return;
  }
  mHeads.erase(aRank);
  if (tasks.empty()) {
    mClasses.erase(found);
  } else {
    mHeads.emplace(tasks.begin()->first, tasks.begin()->second);
  }
}

void fair_queue::push(held_attempt& aAttempt)
{
  team_queue& team = mTeams[aAttempt.mTask.mTeam];
  team.mTeam = aAttempt.mTask.mTeam;
  team.mLanes.at(laneOf(aAttempt.mTask)).push(rankOf(aAttempt), aAttempt);
  ++team.mCount;
  team.mWaiting += aAttempt.mTask.mSize;
  team.mBlocked = false;
  ++mSize;
}

void fair_queue::erase(const held_attempt& aAttempt)
{
  team_queue& team = mTeams.at(aAttempt.mTask.mTeam);
  team.mLanes.at(laneOf(aAttempt.mTask)).erase(rankOf(aAttempt), aAttempt);
  --team.mCount;
  team.mWaiting -= aAttempt.mTask.mSize;
  --mSize;
}

team_queue* fair_queue::next()
{
  team_queue* best = nullptr;
  for (auto& [name, team] : mTeams) {
    if (team.mCount > 0 && !team.mBlocked && (best == nullptr || team.mScore < best->mScore)) {
      best = &team;
    }
  }
  return best;
}

void fair_queue::unblockAll()
{
  for (auto& [name, team] : mTeams) {
    team.mBlocked = false;
  }
}

void fair_queue::setScore(const team_name& aTeam, double aScore)
{
  const auto found = mTeams.find(aTeam);
  if (found != mTeams.end()) {
    found->second.mScore = aScore;
  }
}

} // namespace endiveusher::internal
