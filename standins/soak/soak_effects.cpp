#include "soak/soak_cell.h"

#include <algorithm>
#include <type_traits>

namespace endiveusher::standins {

using namespace std::chrono_literals;

namespace {

/// Timeout of calls to the log and the VM list.
constexpr duration kPlatformTimeout = 1s;
/// Largest number of records in one read.
constexpr std::size_t kPageSize = 500;

} // namespace

void soak_cell::perform(std::size_t aDaemon, answer_effect& aEffect)
{
  mDaemons[aDaemon].mOpenCalls.erase(aEffect.mCallId);
  const auto found = mCalls.find(aEffect.mCallId);
  if (found == mCalls.end()) {
    mChecker.reportViolation("M6", mDaemons[aDaemon].mIncarnation + ": answered an unknown call");
    return;
  }
  if (++found->second.mAnswers > 1) {
    mChecker.reportViolation("M6", "call " + std::to_string(aEffect.mCallId) + ": answered twice");
  }
  mSim.after(3ms, [=, this, answer = aEffect.mAnswer] { finishCall(aEffect.mCallId, answer); });
}

void soak_cell::perform(std::size_t aDaemon, send_effect& aEffect)
{
  const auto& sender = mDaemons[aDaemon];
  const auto receiver = static_cast<std::size_t>(
    std::find_if(mDaemons.begin(), mDaemons.end(),
                 [&](const auto& aOther) { return aOther.mAddress == aEffect.mAddress; }) -
    mDaemons.begin());
  if (receiver == mDaemons.size()) {
    return;
  }
  const auto& other = mDaemons[receiver];
  for (int copies = mNetwork.drawDuplicate() ? 2 : 1; copies > 0; --copies) {
    if (const auto delay = mNetwork.transmit(sender.mVm, sender.mZone, other.mVm, other.mZone)) {
      mSim.after(*delay, [=, this, message = aEffect.mMessage, address = aEffect.mAddress] {
        if (mDaemons[receiver].mAddress == address) {
          deliver(receiver, mDaemons[receiver].mGeneration, peer_event{ message });
        }
      });
    }
  }
}

void soak_cell::perform(std::size_t aDaemon, exchange_effect& aEffect)
{
  const auto& daemon = mDaemons[aDaemon];
  const auto generation = daemon.mGeneration;
  const auto id = aEffect.mExchangeId;
  const auto name = aEffect.mRequest.mTarget;
  // The exchange ends once, by its reply or by the timeout.
  auto open = std::make_shared<bool>(true);
  mSim.after(mOptions.mTiming.mExchangeTimeout, [=, this, vm = daemon.mVm] {
    if (std::exchange(*open, false)) {
      mNetwork.reconnect(vm, name);
      deliver(aDaemon, generation, exchange_event{ .mTarget = name, .mExchangeId = id });
    }
  });
  const auto index = static_cast<std::size_t>(
    std::find_if(mTargets.begin(), mTargets.end(),
                 [&](const auto& aTarget) { return aTarget.mAddress == aEffect.mAddress; }) -
    mTargets.begin());
  if (index == mTargets.size()) {
    return;
  }
  const auto delay = mNetwork.transmit(daemon.mVm, daemon.mZone, name, mTargets[index].mZone);
  if (!delay) {
    return;
  }
  mSim.after(*delay, [=, this, vm = daemon.mVm, zone = daemon.mZone, request = aEffect.mRequest,
                      address = aEffect.mAddress] {
    auto& target = mTargets[index];
    if (target.mGone || target.mAddress != address) {
      return;
    }
    collectObservations();
    auto response = target.mModel->exchange(request, mSim.now());
    collectObservations();
    if (const auto back = mNetwork.transmit(name, target.mZone, vm, zone)) {
      mSim.after(*back, [=, this, response = std::move(response)] {
        if (std::exchange(*open, false)) {
          deliver(aDaemon, generation,
                  exchange_event{ .mTarget = name, .mExchangeId = id, .mResponse = response });
        }
      });
    }
  });
}

void soak_cell::callPlatform(std::size_t aDaemon, const std::function<bool()>& aOperation,
                             const std::function<event(bool)>& aAnswer)
{
  const auto& daemon = mDaemons[aDaemon];
  const auto generation = daemon.mGeneration;
  const std::string vm = daemon.mVm;
  const zone_name zone = daemon.mZone;
  auto open = std::make_shared<bool>(true);
  mSim.after(kPlatformTimeout, [=, this] {
    if (std::exchange(*open, false)) {
      mNetwork.reconnect(vm, network_model::kPlatform);
      deliver(aDaemon, generation, aAnswer(false));
    }
  });
  const auto delay =
    mNetwork.transmit(vm, zone, network_model::kPlatform, network_model::kPlatform);
  if (!delay) {
    return;
  }
  const duration slow = mLog.faults().mDelay;
  mSim.after(*delay + slow / 2, [=, this] {
    if (!aOperation()) {
      return;
    }
    if (const auto back =
          mNetwork.transmit(network_model::kPlatform, network_model::kPlatform, vm, zone)) {
      mSim.after(*back + slow / 2, [=, this] {
        if (std::exchange(*open, false)) {
          deliver(aDaemon, generation, aAnswer(true));
        }
      });
    }
  });
}

template<typename Record>
void soak_cell::append(std::size_t aDaemon, std::uint64_t aAppendId, std::vector<Record> aRecords,
                       log_stream_model<Record>& aStream)
{
  auto result = std::make_shared<append_event>();
  result->mAppendId = aAppendId;
  callPlatform(
    aDaemon,
    [=, this, &aStream] {
      const auto [outcome, offset] = aStream.append(aRecords, mSim.now());
      const bool stored =
        outcome == log_append_result::stored || outcome == log_append_result::answer_lost;
      if constexpr (std::is_same_v<Record, control_record>) {
        for (std::size_t at = 0; stored && at < aRecords.size(); ++at) {
          mChecker.onControlRecord(offset + at, aRecords[at]);
        }
      }
      result->mStatus = stored ? append_status::stored : append_status::rejected;
      result->mOffset = offset;
      return outcome != log_append_result::answer_lost;
    },
    [result](bool aAnswered) -> event {
      return aAnswered
               ? *result
               : append_event{ .mAppendId = result->mAppendId, .mStatus = append_status::unknown };
    });
}

void soak_cell::perform(std::size_t aDaemon, append_control_effect& aEffect)
{
  append(aDaemon, aEffect.mAppendId, aEffect.mRecords, mControl);
}

void soak_cell::perform(std::size_t aDaemon, append_jobs_effect& aEffect)
{
  append(aDaemon, aEffect.mAppendId, aEffect.mRecords, mJobs);
}

namespace {

template<typename Page, typename Event, typename Stream>
std::pair<std::function<bool(time_point)>, std::function<event(bool)>> readFrom(
  const read_effect& aEffect, Stream& aStream)
{
  auto result = std::make_shared<Event>();
  result->mReadId = aEffect.mReadId;
  return { [result, from = aEffect.mFrom, &aStream](time_point aNow) {
            auto page = aStream.read(from, kPageSize, aNow);
            if (page) {
              auto& copy =
                result->mPage.emplace(Page{ .mEnd = page->mEnd, .mFirst = page->mFirst });
              for (auto& [offset, record] : page->mRecords) {
                copy.mRecords.push_back({ .mOffset = offset, .mRecord = std::move(record) });
              }
            }
            return true;
          },
           [result](bool aAnswered) -> event {
             return aAnswered ? *result : Event{ .mReadId = result->mReadId };
           } };
}

} // namespace

void soak_cell::perform(std::size_t aDaemon, read_effect& aEffect)
{
  const auto [operation, answer] = aEffect.mStream == log_stream::control
                                     ? readFrom<control_page, control_read_event>(aEffect, mControl)
                                     : readFrom<jobs_page, jobs_read_event>(aEffect, mJobs);
  callPlatform(
    aDaemon, [this, operation = operation] { return operation(mSim.now()); }, answer);
}

void soak_cell::perform(std::size_t aDaemon, read_vm_list_effect& /*aEffect*/)
{
  auto result = std::make_shared<vm_list_event>();
  callPlatform(
    aDaemon,
    [this, result] {
      result->mList = mVms.list(mSim.now());
      return true;
    },
    [result](bool aAnswered) -> event { return aAnswered ? *result : vm_list_event{}; });
}

void soak_cell::perform(std::size_t aDaemon, stopped_effect& /*aEffect*/)
{
  auto& daemon = mDaemons[aDaemon];
  const duration took = mSim.now() - daemon.mShutdownAt.value_or(mSim.now());
  mChecker.onStopped(daemon.mVm, took, daemon.mOpenCalls.size(), mActiveFaults == 0);
  killDaemon(aDaemon);
  mSim.after(mSim.between(500ms, 3s), [=, this] { startDaemon(aDaemon); });
}

void soak_cell::perform(std::size_t aDaemon, rejoin_effect& /*aEffect*/)
{
  count("rejoined");
  killDaemon(aDaemon);
  mSim.after(200ms, [=, this] { startDaemon(aDaemon); });
}

void soak_cell::perform(std::size_t aDaemon, log_effect& aEffect)
{
  if (aEffect.mLevel != log_level::debug) {
    mSim.trace(mDaemons[aDaemon].mIncarnation + " " + aEffect.mPart + ": " + aEffect.mText);
  }
}

} // namespace endiveusher::standins
