#include "capacity_fit.h"
#include "owner_impl.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <set>

namespace endiveusher::scheduler {

using internal::kMaxQueriedTargets;
using internal::kTicketMargin;
using internal::maxTasksIn;
using verdict = internal::step_advice::verdict;

namespace {

/// A ticket that expires within this time is requested again.
constexpr auto kTicketRenewalMargin = 4 * kTicketMargin;
/// A call may query at least this many targets, so that some of them are good.
constexpr std::size_t kMinQueriedTargets = 12;
/// Added to the expected duration of an advice call, for the network and a busy daemon. A call
/// without a reply keeps its step from asking elsewhere.
constexpr auto kAdviceTimeoutMargin = std::chrono::milliseconds(400);
/// Maximum time that a reply with tickets is in flight.
constexpr auto kMaxReplyDelay = std::chrono::milliseconds(50);
/// Pause of a step between two advice calls.
constexpr auto kAdvicePause = std::chrono::milliseconds(50);
/// Pause of a step that has found no target to query. Load pattern: hundreds of steps wait for
/// capacity in a cell of a thousand targets, and each visits all of them.
constexpr auto kFutileQueryPause = std::chrono::milliseconds(40);
/// Fraction of the free capacity that is left when the reply arrives: on targets without a verdict,
/// and on good ones, where it is withheld for a gang from the steps behind it.
constexpr double kLeftAtReply = 0.6;
constexpr double kGoodLeftAtReply = 0.9;
/// The slots that a call is expected to return exceed the slots needed by this many standard
/// deviations: the call costs far more than some further targets in it, and one that returns too
/// few slots for a gang is of no use.
constexpr double kDeviations = 1.2;
/// A gang without room queries more targets until the total capacity of the good ones is this many
/// times its needs.
constexpr std::uint64_t kReservableFactor = 2;
/// Fraction of good targets that is assumed before there are verdicts for a route, and the number
/// of verdicts that weigh as much as the assumption.
constexpr double kAssumedGoodFraction = 0.25;
constexpr double kAssumedVerdicts = 8;

/// Expected number of slots that a call returns, and its variance.
class slot_forecast
{
public:
  explicit slot_forecast(double aGoodFraction) : mGoodFraction(aGoodFraction) {}

  void addGood(std::uint32_t aSlots)
  {
    mMean += aSlots;
    add(kGoodLeftAtReply, aSlots);
  }
  void addUnknown(std::uint32_t aSlots)
  {
    const double left = kLeftAtReply * aSlots;
    mMean += mGoodFraction * left;
    add(mGoodFraction, left);
  }
  /// Expected number of slots if nothing is lost on good targets.
  double mean() const { return mMean; }
  /// Whether the call very likely returns at least aNeeded slots.
  bool suffices(double aNeeded) const
  {
    return mLikely - kDeviations * std::sqrt(mVariance) >= aNeeded;
  }

private:
  /// Adds a target that has aSlots with the probability, and otherwise none.
  void add(double aProbability, double aSlots)
  {
    mLikely += aProbability * aSlots;
    mVariance += aProbability * (1 - aProbability) * aSlots * aSlots;
  }

  const double mGoodFraction;
  double mMean = 0;
  double mLikely = 0;
  double mVariance = 0;
};

/// Returns when a round of calls about aTargets targets is over.
time_point roundEndFor(const advice_terms& aTerms, std::size_t aTargets, time_point aNow)
{
  return aNow + internal::adviceCost(aTerms, std::min(aTargets, kMaxQueriedTargets));
}

} // namespace

std::uint32_t owner::impl::ticketSlots(const waiting_step& aStep, time_point aNow) const
{
  std::uint32_t slots = 0;
  aStep.mAdvice.forEachValidTicket(aNow, [&](internal::target_number aNumber) {
    const auto* target = mTargetsByNumber[aNumber];
    if (target != nullptr && usable(*target, aNow)) {
      slots += maxTasksIn(aStep.mNeeds, target->freeCapacity());
    }
  });
  return slots;
}

std::vector<internal::target_number> owner::impl::targetsToQuery(
  const waiting_step& aStep, std::vector<candidate_target>& aCandidates, time_point aNow) const
{
  if (aStep.spec().mGang) {
    return gangTargetsToQuery(aStep, aCandidates, aNow);
  }
  const auto& terms = *aStep.mRoute.mAdvice;
  const auto pending = static_cast<std::uint32_t>(aStep.mPending.size());
  // As many targets as cost as much as the call itself: querying fewer would save little.
  const auto paid = terms.mPerTarget.count() > 0
                      ? static_cast<std::size_t>(terms.mPerCall / terms.mPerTarget)
                      : kMaxQueriedTargets;
  const auto most = std::clamp(paid, kMinQueriedTargets, kMaxQueriedTargets);
  std::vector<internal::target_number> queried;
  const auto withRoom = positionsWithRoom(aStep, aCandidates);
  const bool isolated = queriesInIsolation(aStep, aCandidates, aNow);
  const auto slotsOf = [this, &aStep, isolated](const candidate_target& aOne) {
    return isolated ? slotsAt(aStep, aOne) : freeSlotsAt(aStep, aOne);
  };
  std::uint32_t slots = 0;
  std::vector<const candidate_target*> unknown;
  const bool hasGood = aStep.mAdvice.goodTargets() > 0;
  slot_forecast forecast(expectedGoodFraction(aStep.mRoute.mName));
  std::size_t unknownWithRoom = 0;
  for (const auto position : withRoom) {
    const auto& candidate = aCandidates[position];
    const auto number = candidate.mTarget->mNumber;
    if (!allowedInGroup(aStep, *candidate.mTarget, aNow)) {
      continue;
    }
    if (aStep.mAdvice.verdictOn(number) == verdict::unknown) {
      unknown.push_back(&candidate);
      // Targets with a good verdict come before these; without any, no more are needed.
      const auto here = hasGood ? 0 : slotsOf(candidate);
      if (here > 0) {
        forecast.addUnknown(std::min(here, pending));
        if (++unknownWithRoom == most ||
            (unknownWithRoom >= kMinQueriedTargets && forecast.suffices(pending))) {
          break;
        }
      }
    } else if (slots < pending && queried.size() < most) {
      const auto here = slotsOf(candidate);
      if (here > 0) {
        slots += here;
        if (aStep.mAdvice.validTicket(number, aNow + kTicketRenewalMargin) == nullptr) {
          queried.push_back(number);
        }
      }
    }
    if (slots >= pending) {
      break;
    }
  }
  if (slots > 0) {
    if (!queried.empty()) {
      addGoodTargets(aStep, slots < pending ? most : kMinQueriedTargets, queried, aNow);
    }
    return queried;
  }
  for (const auto* candidate : unknown) {
    if (queried.size() == most) {
      break;
    }
    if (slotsOf(*candidate) > 0) {
      queried.push_back(candidate->mTarget->mNumber);
    }
  }
  return queried;
}

/// Load pattern: wide steps wait in a full cell, where room appears on a few targets at a time. A
/// call about these alone costs nearly as much as one about all good targets of the step, and the
/// next target with room would need another call. The tickets for the others are used as room
/// appears there while they are valid.
void owner::impl::addGoodTargets(const waiting_step& aStep, std::size_t aMost,
                                 std::vector<internal::target_number>& aQueried,
                                 time_point aNow) const
{
  const auto withRoom = std::set(aQueried.begin(), aQueried.end());
  for (const auto number : aStep.mAdvice.good()) {
    if (aQueried.size() >= aMost) {
      return;
    }
    const auto position = mPass.mCandidatePositions[number];
    if (position && !withRoom.contains(number) && allowed(aStep, *mTargetsByNumber[number], aNow) &&
        aStep.mAdvice.validTicket(number, aNow + kTicketRenewalMargin) == nullptr) {
      aQueried.push_back(number);
    }
  }
}

/// Load pattern: wide gangs wait while advice is slow and the capacity of the targets changes. A
/// gang starts only if its tickets are valid at the same time, and a call may take nearly as long
/// as a ticket lives. One round of calls therefore queries every target that the gang will use,
/// unless its ticket outlives the round: tickets that arrive in several rounds expire one part
/// after the other.
std::vector<internal::target_number> owner::impl::gangTargetsToQuery(
  const waiting_step& aStep, std::vector<candidate_target>& aCandidates, time_point aNow) const
{
  if (aStep.mReservation) {
    return reservedTargetsToQuery(aStep, aNow);
  }
  struct option
  {
    const candidate_target* mCandidate;
    std::uint32_t mSlots;
    bool mIsGood;
  };
  const bool hasRoom = hasRoomForGang(aStep, aCandidates);
  const bool hasSpareHelpers = mAdviceDispatcher.hasSpareHelpers(aNow);
  if (!hasRoom && !hasSpareHelpers) {
    return {};
  }
  const bool isolated = queriesInIsolation(aStep, aCandidates, aNow);
  const auto needed = static_cast<double>(aStep.mPending.size());
  std::vector<option> options;
  std::uint64_t slots = 0;
  const auto add = [&](const candidate_target& aCandidate, bool aIsGood) {
    const auto here = isolated ? slotsAt(aStep, aCandidate) : freeSlotsAt(aStep, aCandidate);
    slots += here;
    options.push_back({ .mCandidate = &aCandidate, .mSlots = here, .mIsGood = aIsGood });
  };
  std::uint64_t goodCapacity = 0;
  for (const auto* candidate : goodCandidates(aStep, aCandidates, aNow)) {
    goodCapacity += maxTasksIn(aStep.mNeeds, candidate->mTarget->mEntry.mCapacity);
    add(*candidate, true);
  }
  bool hasUnknown = false;
  if (static_cast<double>(slots) < needed) {
    for (const auto position : groupOf(aStep, aCandidates).positions()) {
      const auto& candidate = aCandidates[position];
      if (aStep.mAdvice.verdictOn(candidate.mTarget->mNumber) == verdict::unknown &&
          allowedInGroup(aStep, *candidate.mTarget, aNow)) {
        hasUnknown = true;
        add(candidate, false);
      }
    }
  }
  const bool wantsVerdicts =
    hasUnknown && goodCapacity < kReservableFactor * aStep.mPending.size() && hasSpareHelpers;
  if (slots < aStep.mPending.size() && !wantsVerdicts) {
    return {};
  }
  // Targets with the most free capacity first: fewer are needed, and other steps fill the fullest
  // targets first.
  std::ranges::stable_sort(options, std::greater<>{}, [](const option& aOne) {
    return std::pair(aOne.mIsGood && aOne.mSlots > 0, aOne.mSlots);
  });
  const double goodFraction = expectedGoodFraction(aStep.mRoute.mName);
  const auto& terms = *aStep.mRoute.mAdvice;
  slot_forecast forecast(goodFraction);
  std::vector<internal::target_number> queried;
  for (const auto& one : options) {
    if (one.mSlots == 0 || forecast.suffices(needed)) {
      break;
    }
    const auto slotsHere = std::min(one.mSlots, static_cast<std::uint32_t>(needed));
    if (one.mIsGood) {
      forecast.addGood(slotsHere);
    } else {
      forecast.addUnknown(slotsHere);
    }
    queried.push_back(one.mCandidate->mTarget->mNumber);
  }
  if (forecast.mean() >= needed) {
    // Tickets that outlive the round need no renewal, which in turn makes the round shorter.
    const auto roundEnd = roundEndFor(terms, queried.size(), aNow);
    std::erase_if(queried, [&](internal::target_number aTarget) {
      return aStep.mAdvice.validTicket(aTarget, roundEnd + kTicketRenewalMargin) != nullptr;
    });
    return queried;
  }
  // The gang cannot start now. Verdicts on more targets show where capacity is worth reserving.
  queried.clear();
  if (!wantsVerdicts) {
    return queried;
  }
  double reservable = static_cast<double>(goodCapacity);
  for (const auto& one : options) {
    if (queried.size() == kMaxQueriedTargets || reservable >= kReservableFactor * needed) {
      break;
    }
    if (!one.mIsGood) {
      const auto& target = *one.mCandidate->mTarget;
      queried.push_back(target.mNumber);
      reservable += goodFraction * maxTasksIn(aStep.mNeeds, target.mEntry.mCapacity);
    }
  }
  return queried;
}

/// The capacity is reserved for the gang, so that every ticket for it will be used.
std::vector<internal::target_number> owner::impl::reservedTargetsToQuery(const waiting_step& aStep,
                                                                         time_point aNow)
{
  const auto& parts = aStep.mReservation->mParts;
  const auto roundEnd = roundEndFor(*aStep.mRoute.mAdvice, parts.size(), aNow);
  std::vector<internal::target_number> queried;
  for (const auto& part : parts) {
    if (aStep.mAdvice.validTicket(part.mTarget, roundEnd + kTicketRenewalMargin) == nullptr) {
      queried.push_back(part.mTarget);
    }
  }
  return queried;
}

double owner::impl::expectedGoodFraction(const std::string& aRoute) const
{
  const auto found = mVerdictCounts.find(aRoute);
  const auto counts = found == mVerdictCounts.end() ? verdict_counts{} : found->second;
  return (static_cast<double>(counts.mGood) + kAssumedGoodFraction * kAssumedVerdicts) /
         (static_cast<double>(counts.mQueried) + kAssumedVerdicts);
}

void owner::impl::requestAdvice(waiting_step& aStep, std::vector<candidate_target>& aCandidates,
                                time_point aNow)
{
  auto& advice = aStep.mAdvice;
  const auto& terms = *aStep.mRoute.mAdvice;
  if (advice.mCallsOpen > 0 || advice.mNextCall > aNow ||
      !mAdviceDispatcher.hasFreeHelper(internal::adviceCost(terms, 1), aNow)) {
    return;
  }
  const auto queried = targetsToQuery(aStep, aCandidates, aNow);
  if (queried.empty()) {
    advice.mNextCall = aNow + kFutileQueryPause;
    return;
  }
  // Calls through several daemons run in parallel, so that their tickets arrive together.
  const auto calls = internal::adviceCalls(queried.size());
  for (std::size_t call = 0; call < calls; ++call) {
    const auto first = call * queried.size() / calls;
    const auto last = (call + 1) * queried.size() / calls;
    if (!callAdvice(aStep, std::span(queried).subspan(first, last - first), aNow)) {
      return;
    }
  }
}

bool owner::impl::callAdvice(waiting_step& aStep, std::span<const internal::target_number> aTargets,
                             time_point aNow)
{
  const auto& terms = *aStep.mRoute.mAdvice;
  const auto cost = internal::adviceCost(terms, aTargets.size());
  const auto call = mLastAdviceCall + 1;
  const auto helper = mAdviceDispatcher.reserve(cost, aNow, call);
  if (!helper) {
    return false;
  }
  mLastAdviceCall = call;
  ++aStep.mAdvice.mCallsOpen;
  auto& queried = aStep.mAdvice.mQueried;
  queried.insert(queried.end(), aTargets.begin(), aTargets.end());
  std::ranges::sort(queried);
  std::vector<std::string> targets;
  targets.reserve(aTargets.size());
  for (const auto number : aTargets) {
    targets.push_back(mTargetsByNumber[number]->mEntry.mId);
  }
  mAdviceCalls[call] = { .mStep = aStep.mKey,
                         .mDaemon = helper->mHelper,
                         .mTargets = { aTargets.begin(), aTargets.end() },
                         .mSent = aNow,
                         .mCost = cost,
                         .mSlots = slotsOn(aStep, aTargets) };
  mPort.requestAdvice(
    { .mCall = call,
      .mDaemon = helper->mHelper,
      .mStep = aStep.mKey,
      .mTargets = std::move(targets),
      .mTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(helper->mExpected) +
                  kAdviceTimeoutMargin });
  return true;
}

std::uint32_t owner::impl::slotsOn(const waiting_step& aStep,
                                   std::span<const internal::target_number> aTargets) const
{
  std::uint32_t slots = 0;
  for (const auto number : aTargets) {
    if (const auto* target = mTargetsByNumber[number]) {
      slots += maxTasksIn(aStep.mNeeds, target->freeCapacity());
    }
  }
  return slots;
}

void owner::impl::onAdviceReply(const advice_reply& aReply, time_point aNow)
{
  const auto found = mAdviceCalls.find(aReply.mCall);
  if (found == mAdviceCalls.end()) {
    return;
  }
  const auto call = std::move(found->second);
  mAdviceCalls.erase(found);
  mAdviceDispatcher.release(aReply.mCall, aReply.mOk, aNow);
  mPlanNeeded = true;
  const auto waiting = mWaiting.find(call.mStep);
  if (waiting == mWaiting.end()) {
    return;
  }
  auto& step = waiting->second;
  if (--step.mAdvice.mCallsOpen == 0) {
    step.mAdvice.mQueried.clear();
  }
  step.mAdvice.mNextCall = aNow + kAdvicePause;
  if (step.mReservation) {
    step.mReservation->mAdviceFailed = !aReply.mOk;
  }
  if (!aReply.mOk) {
    mPort.logDecision("advice_failed",
                      fmt::format("step={} targets={} after_ms={}", toText(call.mStep),
                                  call.mTargets.size(),
                                  (aNow - call.mSent) / std::chrono::milliseconds(1)));
    return;
  }
  auto& counts = mVerdictCounts[step.mRoute.mName];
  step.mAdvice.dropExpiredTickets(aNow);
  // The service issued the tickets before the reply arrived: at the earliest at the sending time
  // plus the duration of the call, but not earlier than kMaxReplyDelay ago. Since the last tick was
  // due, the reply may have waited for this daemon.
  const auto& terms = step.mRoute.mAdvice;
  const auto lifetime = terms ? terms->mTicketLifetime : std::chrono::milliseconds(0);
  const auto issued = std::max(call.mSent + call.mCost, std::min(aNow, mNextTick) - kMaxReplyDelay);
  std::vector<internal::target_number> good;
  for (const auto& ticket : aReply.mTickets) {
    const auto number = mTargetNumbers.find(ticket.mTarget);
    if (number == mTargetNumbers.end()) {
      mPort.logDecision("advice_unknown_target",
                        fmt::format("step={} target={}", toText(call.mStep), ticket.mTarget));
      continue;
    }
    good.push_back(number->second);
    step.mAdvice.addTicket(number->second,
                           { .mToken = ticket.mToken, .mExpiry = issued + lifetime });
  }
  std::ranges::sort(good);
  for (const auto number : call.mTargets) {
    const bool isFirst = step.mAdvice.verdictOn(number) == verdict::unknown;
    const bool isGood = std::ranges::binary_search(good, number);
    counts.mQueried += isFirst ? 1 : 0;
    counts.mGood += isFirst && isGood ? 1 : 0;
    step.mAdvice.setVerdict(number, isGood ? verdict::good : verdict::bad);
  }
  ++step.mAdvice.mReplies;
  mPort.logDecision(
    "advice", fmt::format("step={} helper={} targets={} good={} slots_at_call={} slots={} "
                          "ticket_slots={} pending={} replies={} after_ms={} cost_ms={}",
                          toText(call.mStep), call.mDaemon, call.mTargets.size(),
                          aReply.mTickets.size(), call.mSlots, slotsOn(step, call.mTargets),
                          ticketSlots(step, aNow), step.mPending.size(), step.mAdvice.mReplies,
                          (aNow - call.mSent) / std::chrono::milliseconds(1),
                          call.mCost / std::chrono::milliseconds(1)));
}

} // namespace endiveusher::scheduler
