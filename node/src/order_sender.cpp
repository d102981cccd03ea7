#include "order_sender.h"

#include "peer_api.h"

#include <fmt/format.h>

#include <utility>

namespace endiveusher::node {

void order_sender::sendHeartbeat(const scheduler::heartbeat_order& aOrder, report_callback aDone)
{
  ++mHeartbeats;
  auto call = platform::encodeHeartbeat(aOrder);
  call.mDone = [this, aOrder, done = std::move(aDone)](edges::loop_reply&& aReply) {
    if (aReply.mInterrupted) {
      queryTarget(aOrder, done);
    } else {
      onHeartbeatReply(aOrder.mTarget, aReply, done);
    }
  };
  mLoop.send(std::move(call));
}

void order_sender::queryTarget(scheduler::heartbeat_order aOrder, const report_callback& aDone)
{
  ++mHeartbeats;
  // This daemon may not be the owner any more.
  aOrder.mLeaseUntil.reset();
  // The query may reach the target's next incarnation, whose ends have other numbers.
  aOrder.mStoredEndNumber = 0;
  aOrder.mWait = std::chrono::milliseconds(0);
  auto call = platform::encodeHeartbeat(aOrder);
  call.mDone = [this, target = std::move(aOrder.mTarget), aDone](edges::loop_reply&& aReply) {
    onHeartbeatReply(target, aReply, aDone);
  };
  mLoop.send(std::move(call));
}

void order_sender::onHeartbeatReply(const std::string& aTarget, const edges::loop_reply& aReply,
                                    const report_callback& aDone)
{
  auto outcome = platform::decodeOutcome(aReply);
  scheduler::target_report report;
  if (outcome == scheduler::order_outcome::accepted) {
    auto decoded = platform::decodeReport(aReply.mBody);
    if (decoded.ok()) {
      report = *std::move(decoded);
    } else {
      mLog.write("bad_report", fmt::format("target={} error=\"{}\"", aTarget,
                                           std::string(decoded.status().message())));
      outcome = scheduler::order_outcome::invalid;
    }
  }
  aDone(outcome, report);
}

scheduler::order_outcome order_sender::outcomeOf(const order_subject& aOrder,
                                                 const edges::loop_reply& aReply)
{
  auto outcome = platform::decodeOutcome(aReply);
  if (!aReply.mStatus && aReply.mSentBytes == 0) {
    outcome = scheduler::order_outcome::unreachable;
  }
  if (outcome != scheduler::order_outcome::accepted) {
    mLog.write("order_not_accepted",
               fmt::format("kind={} task={} run={} target={} epoch={} outcome={} status={} "
                           "sent_bytes={} after_ms={} error=\"{}\"",
                           aOrder.mKind, toText(aOrder.mTask), aOrder.mRun, aOrder.mTarget,
                           aOrder.mEpoch, toText(outcome), aReply.mStatus.value_or(0),
                           aReply.mSentBytes, aReply.mElapsed / std::chrono::milliseconds(1),
                           aReply.mError));
  }
  return outcome;
}

void order_sender::sendStart(const scheduler::start_order& aOrder, outcome_callback aDone,
                             std::function<bool()> aMayStart)
{
  ++mStarts;
  auto call = platform::encodeStart(aOrder);
  call.mMaySend = std::move(aMayStart);
  call.mDone = [this, subject = subjectOf("start", aOrder),
                done = std::move(aDone)](edges::loop_reply&& aReply) {
    if (aReply.mWithheld) {
      done(scheduler::order_outcome::not_sent);
      return;
    }
    mStartTimes.record(aReply.mElapsed);
    done(outcomeOf(subject, aReply));
  };
  mLoop.send(std::move(call));
}

void order_sender::sendStop(const scheduler::stop_order& aOrder, outcome_callback aDone)
{
  auto call = platform::encodeStop(aOrder);
  call.mDone = [this, subject = subjectOf("stop", aOrder), done = std::move(aDone)](
                 edges::loop_reply&& aReply) { done(outcomeOf(subject, aReply)); };
  mLoop.send(std::move(call));
}

void order_sender::requestAdvice(const scheduler::advice_request& aRequest,
                                 const std::string& aService, advice_callback aDone)
{
  ++mAdviceCalls;
  auto call = aRequest.mDaemon.empty() ? platform::encodeAdvice(aService, aRequest)
                                       : encodePeerAdvice(aRequest);
  call.mDone = [this, number = aRequest.mCall, step = aRequest.mStep, viaDaemon = aRequest.mDaemon,
                done = std::move(aDone)](edges::loop_reply&& aReply) {
    mAdviceTimes.record(aReply.mElapsed);
    scheduler::advice_reply reply{ .mCall = number };
    if (aReply.ok()) {
      auto tickets = platform::decodeAdvice(aReply.mBody);
      reply.mOk = tickets.ok();
      reply.mTickets = tickets.ok() ? *std::move(tickets) : std::vector<scheduler::advice_ticket>{};
    }
    if (!reply.mOk) {
      mLog.write("advice_unanswered",
                 fmt::format("step={} helper={} status={} error=\"{}\" after_ms={}", toText(step),
                             viaDaemon, aReply.mStatus.value_or(0), aReply.mError,
                             aReply.mElapsed / std::chrono::milliseconds(1)));
    }
    done(reply);
  };
  mLoop.send(std::move(call));
}

std::string order_sender::metrics() const
{
  return fmt::format("endiveusher_looks_total {}\nendiveusher_starts_total {}\n"
                     "endiveusher_advice_calls_total {}\n",
                     mHeartbeats, mStarts, mAdviceCalls) +
         mStartTimes.render("endiveusher_start_seconds", "Orders to start a task.") +
         mAdviceTimes.render("endiveusher_advice_seconds", "Calls for advice.");
}

} // namespace endiveusher::node
