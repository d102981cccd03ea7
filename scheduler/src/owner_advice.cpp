#include "capacity_fit.h"
#include "owner_impl.h"

#include <algorithm>
#include <fmt/format.h>

namespace endiveusher::scheduler {

using internal::kTicketMargin;
using internal::maxTasksIn;
using verdict = internal::step_advice::verdict;

namespace {

/// A ticket that expires within this time is requested again.
constexpr auto kTicketRenewalMargin = 4 * kTicketMargin;
/// Maximum number of targets in one advice call, set by the platform.
constexpr std::size_t kMaxQueriedTargets = 100;
/// A call may query at least this many targets, so that some of them are good.
constexpr std::size_t kMinQueriedTargets = 12;
/// Added to the timeout of an advice call, for the queue at the service and the network.
constexpr auto kAdviceTimeoutMargin = std::chrono::milliseconds(600);
/// Maximum time that a reply with tickets is in flight.
constexpr auto kMaxReplyDelay = std::chrono::milliseconds(50);
/// Pause of a step between two advice calls.
constexpr auto kAdvicePause = std::chrono::milliseconds(50);
} // namespace

std::uint32_t owner::impl::ticketSlots(const waiting_step& aStep, time_point aNow) const
{
  std::uint32_t slots = 0;
  for (const auto& [id, target] : mTargets) {
    if (aStep.mAdvice.validTicket(target.mNumber, aNow) != nullptr && usable(target, aNow)) {
      slots += maxTasksIn(aStep.mNeeds, target.freeCapacity());
    }
  }
  return slots;
}

std::vector<std::string> owner::impl::targetsToQuery(const waiting_step& aStep,
                                                     std::vector<candidate_target>& aCandidates,
                                                     time_point aNow) const
{
  const auto& terms = *aStep.mRoute.mAdvice;
  const auto pending = static_cast<std::uint32_t>(aStep.mPending.size());
  // As many targets as cost as much as the call itself: querying fewer would save little.
  const auto paid = terms.mPerTarget.count() > 0
                      ? static_cast<std::size_t>(terms.mPerCall / terms.mPerTarget)
                      : kMaxQueriedTargets;
  const auto most = std::clamp(paid, kMinQueriedTargets, kMaxQueriedTargets);
  std::vector<std::string> queried;
  std::uint32_t slots = 0;
  std::vector<const candidate_target*> unknown;
  for (const auto& candidate : aCandidates) {
    const auto number = candidate.mTarget->mNumber;
    if (!allowed(aStep, *candidate.mTarget, aNow)) {
      continue;
    }
    if (aStep.mAdvice.verdictOn(number) == verdict::unknown) {
      unknown.push_back(&candidate);
    } else if (slots < pending && queried.size() < most) {
      const auto here = slotsAt(aStep, candidate);
      if (here > 0) {
        slots += here;
        if (aStep.mAdvice.validTicket(number, aNow + kTicketRenewalMargin) == nullptr) {
          queried.push_back(candidate.mTarget->mEntry.mId);
        }
      }
    }
  }
  if (slots >= pending || (!aStep.spec().mGang && slots > 0)) {
    return queried;
  }
  if (aStep.spec().mGang) {
    // Tickets for only a part of the gang would expire unused.
    queried.clear();
  }
  // Targets with free capacity first; verdicts on the others show where it is worth waiting for.
  std::ranges::stable_partition(
    unknown, [this, &aStep](const candidate_target* aOne) { return slotsAt(aStep, *aOne) > 0; });
  for (const auto* candidate : unknown) {
    if (queried.size() == most || (!aStep.spec().mGang && slotsAt(aStep, *candidate) == 0)) {
      break;
    }
    queried.push_back(candidate->mTarget->mEntry.mId);
  }
  return queried;
}

void owner::impl::requestAdvice(waiting_step& aStep, std::vector<candidate_target>& aCandidates,
                                time_point aNow)
{
  auto& advice = aStep.mAdvice;
  const auto& terms = *aStep.mRoute.mAdvice;
  if (advice.mCallsOpen > 0 || advice.mNextCall > aNow ||
      !mAdviceDispatcher.hasFreeHelper(terms.mPerCall + terms.mPerTarget, aNow)) {
    return;
  }
  auto queried = targetsToQuery(aStep, aCandidates, aNow);
  if (queried.empty()) {
    return;
  }
  const duration cost = terms.mPerCall + static_cast<int>(queried.size()) * terms.mPerTarget;
  const auto call = mLastAdviceCall + 1;
  const auto helper = mAdviceDispatcher.reserve(cost, aNow, call);
  if (!helper) {
    return;
  }
  mLastAdviceCall = call;
  ++advice.mCallsOpen;
  std::uint32_t slots = 0;
  for (const auto& id : queried) {
    slots += maxTasksIn(aStep.mNeeds, mTargets.find(id)->second.freeCapacity());
  }
  mAdviceCalls[call] = { .mStep = aStep.mKey,
                         .mDaemon = *helper,
                         .mTargets = queried,
                         .mSent = aNow,
                         .mCost = cost,
                         .mSlots = slots };
  mPort.requestAdvice(
    { .mCall = call,
      .mDaemon = *helper,
      .mStep = aStep.mKey,
      .mTargets = std::move(queried),
      .mTimeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(2 * cost) + kAdviceTimeoutMargin });
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
  --step.mAdvice.mCallsOpen;
  step.mAdvice.mNextCall = aNow + kAdvicePause;
  if (!aReply.mOk) {
    mPort.logDecision("advice_failed",
                      fmt::format("step={} targets={} after_ms={}", toText(call.mStep),
                                  call.mTargets.size(),
                                  (aNow - call.mSent) / std::chrono::milliseconds(1)));
    return;
  }
  for (const auto& queried : call.mTargets) {
    step.mAdvice.setVerdict(mTargetNumbers.at(queried), verdict::bad);
  }
  // The service issued the tickets before the reply arrived: at the earliest at the sending time
  // plus the duration of the call, but not earlier than kMaxReplyDelay ago.
  const auto& terms = step.mRoute.mAdvice;
  const auto lifetime = terms ? terms->mTicketLifetime : std::chrono::milliseconds(0);
  const duration cost =
    terms ? terms->mPerCall + static_cast<int>(call.mTargets.size()) * terms->mPerTarget
          : duration{ 0 };
  const auto issued = std::max(call.mSent + cost, aNow - kMaxReplyDelay);
  for (const auto& ticket : aReply.mTickets) {
    const auto number = mTargetNumbers.find(ticket.mTarget);
    if (number == mTargetNumbers.end()) {
      mPort.logDecision("advice_unknown_target",
                        fmt::format("step={} target={}", toText(call.mStep), ticket.mTarget));
      continue;
    }
    step.mAdvice.setVerdict(number->second, verdict::good);
    step.mAdvice.addTicket(number->second,
                           { .mToken = ticket.mToken, .mExpiry = issued + lifetime });
  }
  ++step.mAdvice.mReplies;
  std::uint32_t slots = 0;
  for (const auto& queried : call.mTargets) {
    if (const auto target = mTargets.find(queried); target != mTargets.end()) {
      slots += maxTasksIn(step.mNeeds, target->second.freeCapacity());
    }
  }
  mPort.logDecision("advice",
                    fmt::format("step={} helper={} targets={} good={} slots_at_call={} slots={} "
                                "ticket_slots={} pending={} replies={} after_ms={} cost_ms={}",
                                toText(call.mStep), call.mDaemon, call.mTargets.size(),
                                aReply.mTickets.size(), call.mSlots, slots, ticketSlots(step, aNow),
                                step.mPending.size(), step.mAdvice.mReplies,
                                (aNow - call.mSent) / std::chrono::milliseconds(1),
                                call.mCost / std::chrono::milliseconds(1)));
}

} // namespace endiveusher::scheduler
