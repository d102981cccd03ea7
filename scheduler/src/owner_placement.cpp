#include "owner_impl.h"
#include "room.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <limits>

namespace endiveusher::scheduler {

using internal::fits;
using internal::times;
using internal::timesIn;
using verdict = internal::step_advice::verdict;

namespace {

/// Left of a ticket's time when its start is sent, for the journal and the way to the target.
constexpr auto kTicketMargin = std::chrono::milliseconds(60);
/// A ticket that lapses within this is asked for again.
constexpr auto kTicketRenewal = 4 * kTicketMargin;
/// The platform's bound for one call.
constexpr std::size_t kMaxNamedTargets = 100;
/// A call names at least this many targets, so that some of them are good.
constexpr std::size_t kMinNamedTargets = 12;
/// Beyond its own time, for the queue at the service and the way there.
constexpr auto kAdviceSlack = std::chrono::milliseconds(600);
/// An answer with tickets is on its way for no longer than this.
constexpr auto kMaxAnswerTravel = std::chrono::milliseconds(50);
/// Pause of a step between two calls for advice.
constexpr auto kAdvicePause = std::chrono::milliseconds(50);
/// Room that waiting gangs may keep free from later steps, part of the whole.
constexpr double kMaxHeldBack = 0.4;
/// How long a step waits for room on the rack of its data before it takes any.
constexpr auto kRackPatience = std::chrono::milliseconds(1500);

} // namespace

bool owner::impl::usable(const target_state& aTarget, time_point aNow) const
{
  return aTarget.mListed && aTarget.mTakingStored && aTarget.mMissed == 0 && aTarget.mClock &&
         !aTarget.mForeignRuns && !aTarget.mEntry.mDraining && aTarget.mAvoidUntil <= aNow &&
         !mClosedZones.contains(aTarget.mEntry.mZone);
}

bool owner::impl::allowed(const waiting_step& aStep, const target_state& aTarget,
                          time_point aNow) const
{
  if (aStep.mRoute.mAdvice && aStep.mAdvice.verdictOn(aTarget.mNumber) == verdict::bad) {
    return false;
  }
  if (!aStep.mFailedAt.empty()) {
    const auto failed = aStep.mFailedAt.find(aTarget.mNumber);
    if (failed != aStep.mFailedAt.end() && failed->second > aNow) {
      return false;
    }
  }
  const auto& spec = aStep.spec();
  return aTarget.mEntry.mPool == aStep.mRoute.mPool &&
         (spec.mRequiredLabel.empty() || aTarget.mEntry.hasLabel(spec.mRequiredLabel));
}

bool owner::impl::admitted(const waiting_step& aStep, const target_state& aTarget,
                           time_point aNow) const
{
  return (!aStep.mRoute.mAdvice ||
          (aStep.mAdvice.verdictOn(aTarget.mNumber) == verdict::good &&
           aStep.mAdvice.validTicket(aTarget.mNumber, aNow + kTicketMargin) != nullptr)) &&
         allowed(aStep, aTarget, aNow);
}

std::uint32_t owner::impl::slotsAt(const waiting_step& aStep, const candidate& aWhere) const
{
  std::uint32_t slots = fits(aStep.mNeeds, aWhere.mRoom);
  const auto most = aStep.spec().mMaxPerTarget;
  if (slots > 0 && most > 0) {
    std::uint32_t there = 0;
    const auto& runs = aWhere.mTarget->mRuns;
    for (auto at = runs.lower_bound(task_key{ .mStep = aStep.mKey });
         at != runs.end() && at->first.mStep == aStep.mKey; ++at) {
      ++there;
    }
    slots = std::min(slots, most > there ? most - there : 0);
  }
  return slots;
}

std::uint32_t owner::impl::teamSlots(const waiting_step& aStep) const
{
  const auto* team = mConfig->team(aStep.mJob->mSpec.mTeam);
  if (team == nullptr) {
    return std::numeric_limits<std::int32_t>::max();
  }
  const resources& limit = team->mUpperLimit;
  const auto used = mTeamUsed.find(team->mName);
  resources taken = used == mTeamUsed.end() ? resources{} : used->second;
  if (const auto held = mTeamHeldBack.find(team->mName); held != mTeamHeldBack.end()) {
    taken += held->second;
  }
  const auto slots = [](std::int64_t aLimit, std::int64_t aUsed, std::int64_t aNeed) {
    return aLimit <= 0 ? std::numeric_limits<std::int32_t>::max() : timesIn(aNeed, aLimit - aUsed);
  };
  // What fills counts against the limit in full.
  const auto& needs = aStep.spec().mNeeds;
  return static_cast<std::uint32_t>(
    std::min({ slots(limit.mCpuMilli, taken.mCpuMilli, needs.mCpuMilli),
               slots(limit.mMemoryMb, taken.mMemoryMb, needs.mMemoryMb),
               slots(limit.mAccelerators, taken.mAccelerators, needs.mAccelerators) }));
}

void owner::impl::plan(time_point aNow)
{
  if (!mConfig || mWaiting.empty()) {
    return;
  }
  std::vector<candidate> rooms;
  for (auto& [id, target] : mTargets) {
    if (usable(target, aNow)) {
      rooms.push_back({ .mTarget = &target, .mRoom = target.room() });
      for (const auto& [task, run] : target.mRuns) {
        if (run.mStopWanted) {
          rooms.back().mComing += run.mNeeds;
        }
      }
    }
  }
  // Tight packing: what is small fills the fullest targets, so that wide gaps stay for gangs.
  std::ranges::sort(rooms, {}, [](const candidate& aOne) { return aOne.mRoom.mCpuMilli; });
  std::vector<std::pair<internal::step_rank, waiting_step*>> order;
  for (auto& [key, step] : mWaiting) {
    if (step.startable()) {
      order.emplace_back(internal::rankOf(step, aNow), &step);
    }
  }
  std::ranges::sort(order, {}, [](const auto& aOne) { return aOne.first; });
  mHeldBackCpu = 0;
  mTeamHeldBack.clear();
  for (auto& [rank, step] : order) {
    if (step->mNotBefore > aNow && step->mJob->mSpec.mRepeat == 0) {
      continue;
    }
    if (step->spec().mGang) {
      placeGang(*step, rooms, aNow);
    } else {
      placeTasks(*step, rooms, aNow);
    }
    preempt(*step, rank, rooms, aNow);
    if (step->startable() && step->mNextExplanation <= aNow) {
      explainWait(*step, rooms, aNow);
    }
  }
}

void owner::impl::explainWait(waiting_step& aStep, const std::vector<candidate>& aRooms,
                              time_point aNow)
{
  aStep.mNextExplanation = aNow + internal::kExplainInterval;
  std::size_t allowedTargets = 0;
  std::size_t tickets = 0;
  std::uint32_t slots = 0;
  for (const auto& room : aRooms) {
    if (!allowed(aStep, *room.mTarget, aNow)) {
      continue;
    }
    ++allowedTargets;
    slots += std::min(slotsAt(aStep, room), aStep.spec().mCount);
    const auto* ticket = aStep.mAdvice.validTicket(room.mTarget->mNumber, aNow);
    tickets += ticket != nullptr ? 1 : 0;
  }
  const char* reason = "no_ticket";
  if (aStep.mNotBefore > aNow) {
    reason = "not_before";
  } else if (teamSlots(aStep) < (aStep.spec().mGang ? aStep.spec().mCount : 1)) {
    reason = "team_limit";
  } else if (allowedTargets == 0) {
    reason = "no_target";
  } else if (slots < (aStep.spec().mGang ? aStep.spec().mCount : 1)) {
    reason = "no_room";
  } else if (aStep.mAdvice.mCallsOpen > 0) {
    reason = "advice_open";
  }
  mPort.explain("waits",
                fmt::format("step={} route={} waited_ms={} pending={}/{} reason={} allowed={} "
                            "slots={} tickets={} cpu={} mem={} band={}",
                            toText(aStep.mKey), aStep.mRoute.mName,
                            (aNow - aStep.mSince) / std::chrono::milliseconds(1),
                            aStep.mPending.size(), aStep.spec().mCount, reason, allowedTargets,
                            slots, tickets, aStep.mNeeds.mCpuMilli, aStep.mNeeds.mMemoryMb,
                            internal::rankOf(aStep, aNow).mBand));
}

void owner::impl::placeTasks(waiting_step& aStep, std::vector<candidate>& aRooms, time_point aNow)
{
  const auto team = teamSlots(aStep);
  if (team == 0) {
    return;
  }
  const bool ready = aStep.mNotBefore <= aNow;
  const bool noTicket = aStep.mRoute.mAdvice && !aStep.mAdvice.anyTicket(aNow + kTicketMargin);
  const auto& rack = aStep.spec().mDataRack;
  const bool anyRack = rack.empty() || aNow > aStep.mOnTimeUntil - aStep.mRemaining - kRackPatience;
  std::vector<placement> placements;
  std::size_t next = 0;
  const auto wanted = std::min<std::size_t>(aStep.mPending.size(), team);
  for (auto& room : aRooms) {
    if (next == wanted || noTicket) {
      break;
    }
    if (!admitted(aStep, *room.mTarget, aNow) || (!anyRack && room.mTarget->mEntry.mRack != rack)) {
      continue;
    }
    for (auto slots = slotsAt(aStep, room); ready && slots > 0 && next < wanted; --slots, ++next) {
      placements.push_back({ .mIndex = aStep.mPending[next], .mWhere = &room });
      room.mRoom -= aStep.mNeeds;
    }
  }
  const bool missing = next < wanted;
  if (!placements.empty()) {
    commit(aStep, placements, aNow);
  }
  if (missing && aStep.mRoute.mAdvice) {
    askForAdvice(aStep, aRooms, aNow);
  }
}

void owner::impl::placeGang(waiting_step& aStep, std::vector<candidate>& aRooms, time_point aNow)
{
  const auto count = static_cast<std::uint32_t>(aStep.mPending.size());
  if (teamSlots(aStep) < count) {
    holdBackLimit(aStep, aNow);
    return;
  }
  const auto tryOn = [&](std::string_view aRack) {
    std::vector<placement> placements;
    for (auto& room : aRooms) {
      if (!admitted(aStep, *room.mTarget, aNow) ||
          (!aRack.empty() && room.mTarget->mEntry.mRack != aRack)) {
        continue;
      }
      for (auto slots = slotsAt(aStep, room); slots > 0 && placements.size() < count; --slots) {
        placements.push_back({ .mIndex = aStep.mPending[placements.size()], .mWhere = &room });
      }
      if (placements.size() == count) {
        return placements;
      }
    }
    return std::vector<placement>{};
  };
  std::vector<placement> placements;
  const bool noTicket = aStep.mRoute.mAdvice && !aStep.mAdvice.anyTicket(aNow + kTicketMargin);
  if (aStep.mNotBefore <= aNow && !noTicket) {
    if (aStep.spec().mRackLocal) {
      std::set<std::string> racks;
      for (const auto& room : aRooms) {
        racks.insert(room.mTarget->mEntry.mRack);
      }
      for (const auto& rack : racks) {
        if (placements.empty()) {
          placements = tryOn(rack);
        }
      }
    }
    if (placements.empty()) {
      placements = tryOn({});
    }
  }
  if (!placements.empty()) {
    for (const auto& one : placements) {
      one.mWhere->mRoom -= aStep.mNeeds;
    }
    commit(aStep, placements, aNow);
    return;
  }
  if (aStep.mRoute.mAdvice) {
    askForAdvice(aStep, aRooms, aNow);
  }
  holdBackLimit(aStep, aNow);
  holdBack(aStep, aRooms, aNow);
}

/// Load pattern: a team runs near its limit, and its small tasks take every piece that becomes free
/// before there is enough for one of its gangs. Later steps of the team leave the gang its part
/// while it can be on time.
void owner::impl::holdBackLimit(const waiting_step& aStep, time_point aNow)
{
  if (internal::rankOf(aStep, aNow).mBand > internal::kLastOnTimeBand) {
    return;
  }
  mTeamHeldBack[aStep.mJob->mSpec.mTeam] +=
    times(aStep.spec().mNeeds, static_cast<std::uint32_t>(aStep.mPending.size()));
}

/// Load pattern: small tasks fill every gap that wide gangs wait for. A waiting gang keeps the room
/// that it will need from the steps behind it, on those good targets that have most room already;
/// all gangs together keep no more than a part of the pool.
void owner::impl::holdBack(waiting_step& aStep, std::vector<candidate>& aRooms, time_point aNow)
{
  std::int64_t total = 0;
  std::vector<candidate*> good;
  for (auto& room : aRooms) {
    total += room.mTarget->mEntry.mCapacity.mCpuMilli;
    const bool known =
      !aStep.mRoute.mAdvice || aStep.mAdvice.verdictOn(room.mTarget->mNumber) == verdict::good;
    if (known && allowed(aStep, *room.mTarget, aNow)) {
      good.push_back(&room);
    }
  }
  const auto needed = static_cast<std::int64_t>(aStep.mPending.size()) * aStep.mNeeds.mCpuMilli;
  if (static_cast<double>(mHeldBackCpu + needed) > kMaxHeldBack * static_cast<double>(total)) {
    return;
  }
  std::ranges::sort(good, std::greater<>{},
                    [](const candidate* aOne) { return aOne->mRoom.mCpuMilli; });
  auto left = static_cast<std::uint32_t>(aStep.mPending.size());
  std::vector<std::pair<candidate*, std::uint32_t>> parts;
  for (auto* room : good) {
    const auto slots = std::min(left, fits(aStep.mNeeds, room->mTarget->mEntry.mCapacity));
    if (slots > 0 && !room->mRoom.anyNegative()) {
      parts.emplace_back(room, slots);
      left -= slots;
    }
    if (left == 0) {
      break;
    }
  }
  if (left > 0) {
    return;
  }
  mHeldBackCpu += needed;
  for (auto& [room, slots] : parts) {
    room->mRoom -= times(aStep.mNeeds, slots);
  }
}

void owner::impl::commit(waiting_step& aStep, const std::vector<placement>& aPlacements,
                         time_point aNow)
{
  const auto key = aStep.mKey;
  const auto& spec = aStep.spec();
  const auto* state = aStep.mJob->find(key);
  std::uint32_t gangRun = 0;
  if (spec.mGang) {
    for (const auto& task : state->mTasks) {
      gangRun = std::max(gangRun, task.mRun + 1);
    }
  }
  for (const auto& one : aPlacements) {
    auto& target = *one.mWhere->mTarget;
    const task_key task{ .mStep = key, .mIndex = one.mIndex };
    const auto run = spec.mGang ? gangRun : state->mTasks[one.mIndex].mRun + 1;
    const run_started record{ .mTask = task,
                              .mRun = run,
                              .mAt = { .mTarget = target.mEntry.mId,
                                       .mBorn = target.mEntry.mBorn } };
    held_run held{ .mRun = run, .mNeeds = aStep.mNeeds, .mTeam = aStep.mJob->mSpec.mTeam };
    if (aStep.mRoute.mAdvice) {
      const auto* ticket = aStep.mAdvice.validTicket(target.mNumber, aNow);
      held.mTicket = ticket->mToken;
      held.mTicketUntil = ticket->mUntil;
    }
    hold(target, task, std::move(held));
    append(record, aNow);
    mNextBatch.mStarts.push_back(record);
    mPort.explain("start",
                  fmt::format("task={} run={} target={} zone={} cpu={} room_cpu={} "
                              "report_age_ms={} waited_ms={}",
                              toText(task), run, target.mEntry.mId, target.mEntry.mZone,
                              aStep.mNeeds.mCpuMilli, target.room().mCpuMilli,
                              (aNow - target.mLastAnswer) / std::chrono::milliseconds(1),
                              (aNow - mSubmittedAt[key.mJob]) / std::chrono::milliseconds(1)));
  }
  enqueueStep(*aStep.mJob, key, aNow);
}

std::vector<std::string> owner::impl::targetsToName(const waiting_step& aStep,
                                                    std::vector<candidate>& aRooms,
                                                    time_point aNow) const
{
  const auto& terms = *aStep.mRoute.mAdvice;
  const auto pending = static_cast<std::uint32_t>(aStep.mPending.size());
  // As many as take as long as the call itself: naming fewer saves little.
  const auto paid = terms.mPerTarget.count() > 0
                      ? static_cast<std::size_t>(terms.mPerCall / terms.mPerTarget)
                      : kMaxNamedTargets;
  const auto most = std::clamp(paid, kMinNamedTargets, kMaxNamedTargets);
  std::vector<std::string> named;
  std::uint32_t slots = 0;
  std::vector<const candidate*> unknown;
  for (const auto& room : aRooms) {
    const auto number = room.mTarget->mNumber;
    if (!allowed(aStep, *room.mTarget, aNow)) {
      continue;
    }
    if (aStep.mAdvice.verdictOn(number) == verdict::unknown) {
      unknown.push_back(&room);
    } else if (slots < pending && named.size() < most) {
      const auto here = slotsAt(aStep, room);
      if (here > 0) {
        slots += here;
        if (aStep.mAdvice.validTicket(number, aNow + kTicketRenewal) == nullptr) {
          named.push_back(room.mTarget->mEntry.mId);
        }
      }
    }
  }
  if (slots >= pending || (!aStep.spec().mGang && slots > 0)) {
    return named;
  }
  if (aStep.spec().mGang) {
    // Tickets of a part of the gang would lapse unused.
    named.clear();
  }
  // Those with room first; the others tell where room is worth waiting for.
  std::ranges::stable_partition(
    unknown, [this, &aStep](const candidate* aOne) { return slotsAt(aStep, *aOne) > 0; });
  for (const auto* room : unknown) {
    if (named.size() == most || (!aStep.spec().mGang && slotsAt(aStep, *room) == 0)) {
      break;
    }
    named.push_back(room->mTarget->mEntry.mId);
  }
  return named;
}

void owner::impl::askForAdvice(waiting_step& aStep, std::vector<candidate>& aRooms, time_point aNow)
{
  auto& advice = aStep.mAdvice;
  const auto& terms = *aStep.mRoute.mAdvice;
  if (advice.mCallsOpen > 0 || advice.mNextCall > aNow ||
      !mDesk.hasFree(terms.mPerCall + terms.mPerTarget, aNow)) {
    return;
  }
  auto named = targetsToName(aStep, aRooms, aNow);
  if (named.empty()) {
    return;
  }
  const duration cost = terms.mPerCall + static_cast<int>(named.size()) * terms.mPerTarget;
  const auto call = mLastAdviceCall + 1;
  const auto helper = mDesk.reserve(cost, aNow, call);
  if (!helper) {
    return;
  }
  mLastAdviceCall = call;
  ++advice.mCallsOpen;
  mAdviceCalls[call] = { .mStep = aStep.mKey, .mTargets = named, .mSent = aNow };
  mPort.advise(
    { .mCall = call,
      .mHelper = *helper,
      .mStep = aStep.mKey,
      .mTargets = std::move(named),
      .mTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(2 * cost) + kAdviceSlack });
}

void owner::impl::advised(const advice_answer& aAnswer, time_point aNow)
{
  const auto found = mAdviceCalls.find(aAnswer.mCall);
  if (found == mAdviceCalls.end()) {
    return;
  }
  const auto call = std::move(found->second);
  mAdviceCalls.erase(found);
  mDesk.release(aAnswer.mCall, aAnswer.mOk, aNow);
  mChanged = true;
  const auto waiting = mWaiting.find(call.mStep);
  if (waiting == mWaiting.end()) {
    return;
  }
  auto& step = waiting->second;
  --step.mAdvice.mCallsOpen;
  step.mAdvice.mNextCall = aNow + kAdvicePause;
  if (!aAnswer.mOk) {
    mPort.explain("advice_failed", fmt::format("step={} targets={} after_ms={}", toText(call.mStep),
                                               call.mTargets.size(),
                                               (aNow - call.mSent) / std::chrono::milliseconds(1)));
    return;
  }
  for (const auto& named : call.mTargets) {
    step.mAdvice.judge(mTargetNumbers.at(named), verdict::bad);
  }
  // The service issued the tickets before the answer came; the sending time is a safe bound.
  const auto& terms = step.mRoute.mAdvice;
  const auto valid = terms ? terms->mValid : std::chrono::milliseconds(0);
  const duration cost =
    terms ? terms->mPerCall + static_cast<int>(call.mTargets.size()) * terms->mPerTarget
          : duration{ 0 };
  const auto issued = std::max(call.mSent + cost, aNow - kMaxAnswerTravel);
  for (const auto& good : aAnswer.mGood) {
    const auto number = mTargetNumbers.find(good.mTarget);
    if (number == mTargetNumbers.end()) {
      mPort.explain("advice_unknown_target",
                    fmt::format("step={} target={}", toText(call.mStep), good.mTarget));
      continue;
    }
    step.mAdvice.judge(number->second, verdict::good);
    step.mAdvice.admit(number->second, { .mToken = good.mToken, .mUntil = issued + valid });
  }
}

} // namespace endiveusher::scheduler
