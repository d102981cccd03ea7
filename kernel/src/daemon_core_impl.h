#pragma once

#include "dump.h"
#include "graceful_stop.h"

#include "endiveusher/kernel/daemon_core.h"

#include <array>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace endiveusher {

template<guard_policy Guards>
class basic_daemon_core<Guards>::impl
{
public:
  explicit impl(daemon_options aOptions)
    : mContext(std::move(aOptions)), mLinks(mContext), mCapacity(mContext), mPort(mContext),
      mDelegation(mContext, mLinks, mCapacity), mGangs(mContext, mLinks, mCapacity, mDelegation),
      mReplicator(mContext, mDelegation, mGangs),
      mFailover(mContext, mReplicator, mDelegation, mPort), mRouter(mContext),
      mSubmits(mContext, mRouter, mReplicator, mFailover),
      mCalls(mContext, mRouter, mSubmits, mReplicator),
      mStop(mContext, mCalls, mSubmits, mRouter, mReplicator, mDelegation, mLinks, mPort)
  {
    mDelegation.mOnJobEnded = [this](internal::coordinated_job& aJob) {
      mReplicator.onEnded(aJob);
      mCalls.onJobEnded(aJob);
    };
    mDelegation.mOnGangTaskFinished = [this](internal::coordinated_job& aJob, std::uint32_t aIndex,
                                             const placed_task& aPlaced) {
      mGangs.onTaskEnded(aJob, aIndex, aPlaced);
    };
    mReplicator.mOnDurabilityRaised = [this](internal::coordinated_job& aJob) {
      mSubmits.onDurabilityRaised(aJob);
    };
    mCalls.mDump = [this] { return dump(mContext.mNow); };
  }

  void handle(const event& aEvent, time_point aNow)
  {
    mContext.mNow = aNow;
    if (hasStopped()) {
      if (const auto* called = std::get_if<call_event>(&aEvent)) {
        refuseAfterEnd(*called);
      }
      return;
    }
    std::visit([this](const auto& aBody) { this->apply(aBody); }, aEvent);
    advance();
  }

  void tick(time_point aNow)
  {
    mContext.mNow = aNow;
    if (hasStopped()) {
      return;
    }
    updateView();
    if (hasStopped()) {
      return;
    }
    mContext.mMembership.tick(mContext.mPlacer.summary(), mContext.mPlacer.shortages(aNow), aNow);
    mReplicator.tick();
    mFailover.tick();
    mPort.tick();
    mDelegation.tick();
    mRouter.tick();
    mSubmits.tick();
    mCalls.tick();
    mContext.mJobs.evict(aNow);
    advance();
    mStop.tick();
    drain();
  }

  std::vector<effect> takeEffects() { return std::exchange(mContext.mEffects, {}); }

  const incarnation_id& incarnation() const { return mContext.self(); }
  bool fresh(time_point aNow) const { return mContext.mMembership.fresh(aNow); }
  const control_state& control() const { return mContext.control(); }

  std::string dump(time_point aNow) const
  {
    const std::array<std::pair<std::string, std::string>, 4> parts{
      { { "incarnation", mContext.self() },
        { "membership", mContext.mMembership.dump(aNow) },
        { "placer", mContext.mPlacer.dump(aNow) },
        { "jobs", mContext.mJobs.dump() } }
    };
    return internal::joinDumps(parts);
  }

private:
  bool hasStopped() const { return mRejoining || mStop.stopped(); }

  void apply(const call_event& aEvent)
  {
    mCalls.handle({ .mCallId = aEvent.mCallId }, aEvent.mCall);
  }
  void apply(const call_dropped_event& aEvent) { mCalls.dropped(aEvent.mCallId); }
  void apply(const peer_event& aEvent)
  {
    const auto& message = aEvent.mMessage;
    // Drops messages to an earlier incarnation at this address, and messages from this daemon.
    if ((message.mTo.empty() && !std::holds_alternative<gossip>(message.mBody)) ||
        (!message.mTo.empty() && message.mTo != mContext.self()) ||
        message.mFrom == mContext.self()) {
      return;
    }
    dispatch(message);
  }
  void apply(const exchange_event& aEvent) { mContext.mPlacer.handle(aEvent, mContext.mNow); }
  void apply(const append_event& aEvent)
  {
    if (!mContext.mJobLog.handle(aEvent, mContext.mNow)) {
      mContext.mMembership.handle(aEvent, mContext.mNow);
      updateView();
    }
  }
  void apply(const control_read_event& aEvent)
  {
    mContext.mMembership.handle(aEvent, mContext.mNow);
    updateView();
  }
  void apply(const jobs_read_event& aEvent)
  {
    mContext.mJobLog.handle(aEvent, mContext.mNow);
    applyJobRecords();
  }
  void apply(const vm_list_event& aEvent)
  {
    mContext.mMembership.handle(aEvent, mContext.mNow);
    updateView();
  }
  void apply(const shutdown_event&) { mStop.begin(); }

  void dispatch(const peer_message& aMessage)
  {
    std::visit([&](const auto& aBody) { receive(aMessage.mFrom, aBody); }, aMessage.mBody);
  }
  void receive(const incarnation_id& aFrom, const gossip& aBody)
  {
    // The next tick updates the view: gossip revokes no right of this daemon, and building a view
    // for each message costs more than a millisecond at 1,000 targets and 320 teams.
    mContext.mMembership.handleGossip(aFrom, aBody, mContext.mNow);
  }
  void receive(const incarnation_id&, const records& aBody)
  {
    mContext.mMembership.handleRecords(aBody, mContext.mNow);
    updateView();
  }
  void receive(const incarnation_id& aFrom, const slice_request& aBody)
  {
    const auto taken = internal::sum(mContext.mPlacer.charged(aBody.mTeam),
                                     mContext.mPlacer.keptFromLending(aFrom, aBody, mContext.mNow));
    mContext.mMembership.handleSliceRequest(aFrom, aBody, taken, mContext.mNow);
    // The placer must not start tasks on the part of the slice that was just transferred.
    updateView();
  }
  void receive(const incarnation_id& aFrom, const task_report& aBody)
  {
    mDelegation.handle(aFrom, aBody);
    mFailover.onReport(aFrom, aBody);
  }
  void receive(const incarnation_id& aFrom, const reserve_answer& aBody)
  {
    mGangs.handle(aFrom, aBody);
  }
  void receive(const incarnation_id& aFrom, const forward_call& aBody)
  {
    mCalls.handle(aFrom, aBody);
  }
  void receive(const incarnation_id& aFrom, const forward_answer& aBody)
  {
    mRouter.handle(aFrom, aBody);
  }
  void receive(const incarnation_id& aFrom, const job_copy& aBody)
  {
    mReplicator.handle(aFrom, aBody);
  }
  void receive(const incarnation_id& aFrom, const job_copy_ack& aBody)
  {
    mReplicator.handle(aFrom, aBody);
  }
  template<typename Body>
  void receive(const incarnation_id& aFrom, const Body& aBody)
  {
    mPort.handle(aFrom, aBody);
  }

  void applyJobRecords()
  {
    mContext.mIndex.dropBelow(mContext.mJobLog.first());
    for (const auto& read : mContext.mJobLog.takeRecords()) {
      const auto& body = read.mStored.mRecord.mBody;
      if (const auto* accept = std::get_if<accept_record>(&body)) {
        mSubmits.onRecord(*accept, read.mStored.mOffset);
      } else {
        mContext.mIndex.apply(std::get<ended_record>(body));
      }
    }
  }

  void updateView()
  {
    if (mContext.mMembership.ended()) {
      if (mContext.mStopping) {
        mStop.finish();
      } else {
        rejoin();
      }
      return;
    }
    mContext.mPlacer.setView(mContext.mMembership.view(mContext.mNow), mContext.mNow);
  }

  /// Runs all parts until no message from this daemon to itself is left.
  void advance()
  {
    // Messages handled in one round cause those of the next. Messages left after kMaxRounds are
    // handled by the next call.
    constexpr int kMaxRounds = 8;
    for (int round = 0; round < kMaxRounds && !hasStopped(); ++round) {
      while (!mContext.mLocal.empty()) {
        const auto message = std::move(mContext.mLocal.front());
        mContext.mLocal.pop_front();
        dispatch(message);
      }
      mGangs.tick();
      mDelegation.advance();
      deliverLocal();
      mContext.mPlacer.tick(mContext.mNow);
      mPort.flush();
      if (mContext.mLocal.empty()) {
        break;
      }
    }
    if (!hasStopped()) {
      mContext.mJobLog.tick(mContext.control().members().size(), mContext.mNow);
    }
    drain();
  }

  void deliverLocal()
  {
    while (!mContext.mLocal.empty()) {
      const auto message = std::move(mContext.mLocal.front());
      mContext.mLocal.pop_front();
      dispatch(message);
    }
  }

  void drain()
  {
    // Pending effects of an ended incarnation are dropped: its successor decides about its work.
    if (hasStopped()) {
      return;
    }
    for (auto& published : mContext.mMembership.takePublished()) {
      mContext.mEffects.emplace_back(
        answer_effect{ .mCallId = published.mCallId, .mAnswer = std::move(published.mAnswer) });
    }
    append(mContext.mMembership.takeEffects());
    append(mContext.mJobLog.takeEffects());
    append(mContext.mPlacer.takeExchanges());
    append(mContext.mPlacer.takeLogs());
  }

  template<typename Effect>
  void append(std::vector<Effect> aEffects)
  {
    for (auto& one : aEffects) {
      mContext.mEffects.emplace_back(std::move(one));
    }
  }

  /// Ends this incarnation after a failover: its jobs and tasks now belong to its successor.
  void rejoin()
  {
    mRejoining = true;
    mCalls.answerAll();
    mSubmits.answerAll();
    mContext.mJobs.clear();
    mContext.mLocal.clear();
    mContext.log(log_level::warning,
                 "Another daemon has succeeded this incarnation; rejoining as a new one.");
    mContext.mEffects.emplace_back(rejoin_effect{});
  }

  void refuseAfterEnd(const call_event& aEvent)
  {
    mRouter.reply({ .mCallId = aEvent.mCallId },
                  internal::refusal(internal::call_router<Guards>::maybeRan(), 503, "ended",
                                    "This daemon has ended.", "accept", mContext.self()));
  }

  internal::core_context<Guards> mContext;
  internal::placer_links<Guards> mLinks;
  internal::member_capacity<Guards> mCapacity;
  internal::placer_port<Guards> mPort;
  internal::delegation<Guards> mDelegation;
  internal::gang_coordinator<Guards> mGangs;
  internal::job_replicator<Guards> mReplicator;
  internal::job_failover<Guards> mFailover;
  internal::call_router<Guards> mRouter;
  internal::submit_handler<Guards> mSubmits;
  internal::call_handler<Guards> mCalls;
  internal::graceful_stop<Guards> mStop;
  bool mRejoining = false;
};

template<guard_policy Guards>
basic_daemon_core<Guards>::basic_daemon_core(daemon_options aOptions)
  : mImpl(std::make_unique<impl>(std::move(aOptions)))
{
}

template<guard_policy Guards>
basic_daemon_core<Guards>::~basic_daemon_core() = default;

template<guard_policy Guards>
basic_daemon_core<Guards>::basic_daemon_core(basic_daemon_core&&) noexcept = default;

template<guard_policy Guards>
basic_daemon_core<Guards>& basic_daemon_core<Guards>::operator=(basic_daemon_core&&) noexcept =
  default;

template<guard_policy Guards>
void basic_daemon_core<Guards>::handle(const event& aEvent, time_point aNow)
{
  mImpl->handle(aEvent, aNow);
}

template<guard_policy Guards>
void basic_daemon_core<Guards>::tick(time_point aNow)
{
  mImpl->tick(aNow);
}

template<guard_policy Guards>
std::vector<effect> basic_daemon_core<Guards>::takeEffects()
{
  return mImpl->takeEffects();
}

template<guard_policy Guards>
const incarnation_id& basic_daemon_core<Guards>::incarnation() const
{
  return mImpl->incarnation();
}

template<guard_policy Guards>
bool basic_daemon_core<Guards>::fresh(time_point aNow) const
{
  return mImpl->fresh(aNow);
}

template<guard_policy Guards>
const control_state& basic_daemon_core<Guards>::control() const
{
  return mImpl->control();
}

template<guard_policy Guards>
std::string basic_daemon_core<Guards>::dump(time_point aNow) const
{
  return mImpl->dump(aNow);
}

} // namespace endiveusher
