#include "bench_cell.h"

#include "endiveusher/protocol/json.h"
#include "endiveusher/protocol/peer_codec.h"
#include "soak/soak_cell.h"

#include <malloc.h>

namespace endiveusher::bench {

using namespace std::chrono_literals;

namespace {

/// Size of the headers of one HTTP request and its response together.
constexpr std::size_t kHttpHeaderBytes = 250;
/// Largest number of records in one read.
constexpr std::size_t kPageSize = 500;
constexpr const char* kOperatorKey = "operator";
/// Gossip, exchanges and VM lists are frequent and of similar size, so only every n-th message is
/// encoded to measure its size.
constexpr std::uint64_t kSampleGossip = 16;
constexpr std::uint64_t kSampleExchange = 8;
constexpr std::uint64_t kSampleVmList = 16;

work workOf(const event& aEvent)
{
  if (const auto* peer = std::get_if<peer_event>(&aEvent)) {
    return std::holds_alternative<gossip>(peer->mMessage.mBody) ? work::gossip : work::peer;
  }
  if (std::holds_alternative<exchange_event>(aEvent)) {
    return work::exchange;
  }
  if (std::holds_alternative<vm_list_event>(aEvent)) {
    return work::vm_list;
  }
  return std::holds_alternative<call_event>(aEvent) ||
             std::holds_alternative<call_dropped_event>(aEvent)
           ? work::call
           : work::log;
}

std::size_t heapInUse()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

} // namespace

struct bench_cell::daemon_entry
{
  std::string mVm;
  zone_name mZone;
  std::string mAddress;
  std::unique_ptr<daemon_core> mCore;
  /// Number of the process; events for an earlier process are dropped.
  std::uint64_t mGeneration = 0;
};

struct bench_cell::target_entry
{
  std::unique_ptr<standins::target_model> mModel;
  bool mGone = false;
  bool mOwned = false;
};

bench_cell::bench_cell(cell_options aOptions)
  : mOptions(std::move(aOptions)), mSim(mOptions.mSeed, 0), mLog({ .mSeed = mOptions.mSeed }),
    mControl(mLog), mJobs(mLog), mVms(1s)
{
  for (std::size_t at = 0; at < mOptions.mTargets; ++at) {
    const std::string name = "t" + std::to_string(at);
    const std::string address =
      "10.1." + std::to_string(at / 250) + "." + std::to_string(at % 250) + ":8000";
    mTargets.push_back(
      { .mModel = std::make_unique<standins::target_model>(
          standins::target_options{ .mTarget = name, .mCapacity = mOptions.mCapacity },
          mSim.now()) });
    mTargetAt[address] = at;
    mVms.set({ .mName = name,
               .mZone = "z" + std::to_string(zoneOfTarget(at)),
               .mRole = vm_role::target,
               .mAddress = address },
             mSim.now());
  }
  for (std::size_t at = 0; at < mOptions.mDaemons; ++at) {
    mDaemons.push_back({ .mVm = "e" + std::to_string(at),
                         .mZone = "z" + std::to_string(zoneOfDaemon(at)),
                         .mAddress = "10.2.0." + std::to_string(at) + ":7000" });
    mDaemonAt[mDaemons.back().mAddress] = at;
    mVms.set({ .mName = mDaemons.back().mVm,
               .mZone = mDaemons.back().mZone,
               .mRole = vm_role::entry,
               .mAddress = mDaemons.back().mAddress },
             mSim.now());
  }
  mMeter.mDaemonCpuNs.resize(mOptions.mDaemons);
}

bench_cell::~bench_cell() = default;

void bench_cell::settle()
{
  for (std::size_t at = 0; at < mDaemons.size(); ++at) {
    startDaemon(at);
  }
  run(5s);
  // The teams are split into several operations, so that no record exceeds a few kilobytes.
  constexpr std::size_t kTeamsPerOperation = 20;
  for (std::size_t first = 0; first < mOptions.mTeams; first += kTeamsPerOperation) {
    publish_call publish{ .mOperatorKey = kOperatorKey,
                          .mOperationId = "op" + std::to_string(mNextOperation++) };
    for (std::size_t team = first; team < std::min(first + kTeamsPerOperation, mOptions.mTeams);
         ++team) {
      publish.mChanges.emplace_back(
        set_team{ .mTeam = teamName(team), .mLimit = { .mTasks = 100'000 }, .mOpen = true });
      publish.mChanges.emplace_back(grant_key{
        .mTeam = teamName(team), .mKeyDigest = standins::soak_cell::digestOf(teamName(team)) });
    }
    call(0, publish, {});
    run(300ms);
  }
  for (int tries = 0; tries < 30 && ownedTargets() < mTargets.size(); ++tries) {
    run(1s);
  }
  run(3s);
}

duration bench_cell::delay(std::size_t aZone, std::size_t aOther) const
{
  return aZone == aOther ? mOptions.mZoneDelay / 2 : mOptions.mZoneDelay;
}

void bench_cell::startDaemon(std::size_t aDaemon)
{
  auto& daemon = mDaemons[aDaemon];
  if (daemon.mCore) {
    return;
  }
  const auto generation = ++daemon.mGeneration;
  constexpr std::size_t kDigits = 16;
  std::string number = std::to_string(mSim.draw(1'000'000'000'000'000ULL));
  number.insert(0, kDigits - number.size(), '0');
  daemon.mCore = std::make_unique<daemon_core>(
    daemon_options{ .mTiming = mOptions.mTiming,
                    .mIncarnation = daemon.mVm + "." + number,
                    .mVm = daemon.mVm,
                    .mZone = daemon.mZone,
                    .mPeerAddress = daemon.mAddress,
                    .mOperatorKeyDigests = { standins::soak_cell::digestOf(kOperatorKey) },
                    .mPolicy = mOptions.mPolicy,
                    .mSeed = mSim.draw(~std::uint64_t{ 0 }) });
  mSim.after(mSim.between(0ms, mOptions.mTickInterval), [=, this] { tick(aDaemon, generation); });
}

void bench_cell::killDaemon(std::size_t aDaemon)
{
  ++mDaemons[aDaemon].mGeneration;
  mDaemons[aDaemon].mCore.reset();
}

void bench_cell::setTargetGone(std::size_t aTarget, bool aGone)
{
  auto& target = mTargets[aTarget];
  if (target.mGone && !aGone) {
    target.mModel->restart(mSim.now());
    (void)target.mModel->takeObservations();
  }
  target.mGone = aGone;
}

std::vector<std::uint64_t> bench_cell::endAndMeasureMemory()
{
  std::vector<std::uint64_t> sizes;
  for (auto& daemon : mDaemons) {
    const auto before = heapInUse();
    daemon.mCore.reset();
    sizes.push_back(before - heapInUse());
  }
  return sizes;
}

std::size_t bench_cell::ownedTargets() const
{
  return static_cast<std::size_t>(std::count_if(
    mTargets.begin(), mTargets.end(), [](const auto& aTarget) { return aTarget.mOwned; }));
}

std::size_t bench_cell::runningTasks() const
{
  std::size_t sum = 0;
  for (const auto& target : mTargets) {
    sum += static_cast<std::size_t>(target.mModel->used().mSlots);
  }
  return sum;
}

void bench_cell::call(std::size_t aDaemon, endiveusher::call aCall, answer_handler aDone)
{
  const auto id = mNextCall++;
  mOpenCalls[id] = std::move(aDone);
  deliver(aDaemon, mDaemons[aDaemon].mGeneration,
          call_event{ .mCallId = id, .mCall = std::move(aCall) });
}

void bench_cell::submit(std::size_t aDaemon, job_spec aJob, const answer_handler& aDone)
{
  call(aDaemon, ticket_call{}, [=, this, job = std::move(aJob)](const answer& aAnswer) mutable {
    const auto* tickets = std::get_if<tickets_result>(&aAnswer.mBody);
    if (tickets == nullptr || tickets->mTickets.empty()) {
      if (aDone) {
        aDone(aAnswer);
      }
      return;
    }
    job.mRequest = tickets->mTickets.front();
    call(aDaemon, submit_call{ .mJob = std::move(job) }, aDone);
  });
}

void bench_cell::changeShare(std::size_t aDaemon, std::size_t aTeam, double aShare,
                             answer_handler aDone)
{
  publish_call publish{ .mOperatorKey = kOperatorKey,
                        .mOperationId = "op" + std::to_string(mNextOperation++) };
  publish.mChanges.emplace_back(set_team{
    .mTeam = teamName(aTeam), .mShare = aShare, .mLimit = { .mTasks = 100'000 }, .mOpen = true });
  call(aDaemon, std::move(publish), std::move(aDone));
}

void bench_cell::deliver(std::size_t aDaemon, std::uint64_t aGeneration, const event& aEvent)
{
  auto& daemon = mDaemons[aDaemon];
  if (daemon.mGeneration != aGeneration || !daemon.mCore) {
    return;
  }
  const auto before = threadCpuNs();
  daemon.mCore->handle(aEvent, mSim.now());
  mMeter.time(workOf(aEvent), aDaemon, threadCpuNs() - before);
  performEffects(aDaemon);
}

void bench_cell::tick(std::size_t aDaemon, std::uint64_t aGeneration)
{
  auto& daemon = mDaemons[aDaemon];
  if (daemon.mGeneration != aGeneration || !daemon.mCore) {
    return;
  }
  const auto before = threadCpuNs();
  daemon.mCore->tick(mSim.now());
  mMeter.time(work::tick, aDaemon, threadCpuNs() - before);
  performEffects(aDaemon);
  mSim.after(mOptions.mTickInterval, [=, this] { tick(aDaemon, aGeneration); });
}

void bench_cell::performEffects(std::size_t aDaemon)
{
  auto& daemon = mDaemons[aDaemon];
  const auto generation = daemon.mGeneration;
  for (auto& effect : daemon.mCore->takeEffects()) {
    if (daemon.mGeneration != generation) {
      return;
    }
    std::visit([&](auto& aBody) { perform(aDaemon, aBody); }, effect);
  }
}

void bench_cell::perform(std::size_t /*aDaemon*/, answer_effect& aEffect)
{
  const auto found = mOpenCalls.find(aEffect.mCallId);
  if (found == mOpenCalls.end()) {
    return;
  }
  auto done = std::move(found->second);
  mOpenCalls.erase(found);
  if (done) {
    mSim.after(0ms,
               [done = std::move(done), answer = std::move(aEffect.mAnswer)] { done(answer); });
  }
}

void bench_cell::perform(std::size_t aDaemon, send_effect& aEffect)
{
  const bool isGossip = std::holds_alternative<gossip>(aEffect.mMessage.mBody);
  mMeter.count(isGossip ? channel::gossip : channel::peer, mSim.elapsed(),
               isGossip ? kSampleGossip : 1, [&] {
                 return protocol::encodeBatch({ &aEffect.mMessage, 1 }).size();
               });
  const auto found = mDaemonAt.find(aEffect.mAddress);
  if (found == mDaemonAt.end()) {
    return;
  }
  const auto receiver = found->second;
  mSim.after(delay(zoneOfDaemon(aDaemon), zoneOfDaemon(receiver)),
             [=, this, message = std::move(aEffect.mMessage)]() mutable {
               deliver(receiver, mDaemons[receiver].mGeneration, peer_event{ std::move(message) });
             });
}

void bench_cell::perform(std::size_t aDaemon, exchange_effect& aEffect)
{
  const auto generation = mDaemons[aDaemon].mGeneration;
  const auto index = mTargetAt.at(aEffect.mAddress);
  exchange_event result{ .mTarget = aEffect.mRequest.mTarget, .mExchangeId = aEffect.mExchangeId };
  if (mTargets[index].mGone) {
    mMeter.count(channel::exchange, mSim.elapsed(), 1, [] { return kHttpHeaderBytes; });
    mSim.after(mOptions.mTiming.mExchangeTimeout,
               [=, this] { deliver(aDaemon, generation, result); });
    return;
  }
  const auto oneWay = delay(zoneOfDaemon(aDaemon), zoneOfTarget(index));
  mSim.after(oneWay, [=, this, request = std::move(aEffect.mRequest)]() mutable {
    auto& target = mTargets[index];
    target.mModel->advance(mSim.now());
    result.mResponse = target.mModel->exchange(request, mSim.now());
    target.mOwned = !result.mResponse->mOwner.empty();
    for (auto& seen : target.mModel->takeObservations()) {
      if (seen.mKind == standins::target_observation::kind::started) {
        mStarts.push_back({ .mAt = seen.mAt, .mTask = std::move(seen.mTask), .mTarget = index });
      }
    }
    mMeter.count(channel::exchange, mSim.elapsed(), kSampleExchange, [&] {
      return protocol::toJson(request).size() + protocol::toJson(*result.mResponse).size() +
             kHttpHeaderBytes;
    });
    mSim.after(oneWay,
               [=, this, answer = std::move(result)] { deliver(aDaemon, generation, answer); });
  });
}

void bench_cell::callPlatform(std::size_t aDaemon, std::function<event()> aOperation)
{
  const auto generation = mDaemons[aDaemon].mGeneration;
  mSim.after(mOptions.mZoneDelay, [=, this, operation = std::move(aOperation)] {
    mSim.after(mOptions.mZoneDelay,
               [=, this, result = operation()] { deliver(aDaemon, generation, result); });
  });
}

template<typename Record>
void bench_cell::append(std::size_t aDaemon, std::uint64_t aAppendId, std::vector<Record>& aRecords,
                        standins::log_stream_model<Record>& aStream)
{
  mMeter.count(channel::append, mSim.elapsed(), 1, [&] {
    protocol::append_request request{ .mAppendId = std::to_string(aAppendId) };
    for (const auto& record : aRecords) {
      request.mRecords.push_back(protocol::toJson(record));
    }
    return protocol::toJson(request).size() + kHttpHeaderBytes;
  });
  callPlatform(aDaemon, [=, this, &aStream, records = std::move(aRecords)]() -> event {
    const auto [outcome, offset] = aStream.append(records, mSim.now());
    const bool stored = outcome == standins::log_append_result::stored;
    return append_event{ .mAppendId = aAppendId,
                         .mStatus = stored ? append_status::stored : append_status::rejected,
                         .mOffset = offset };
  });
}

void bench_cell::perform(std::size_t aDaemon, append_control_effect& aEffect)
{
  append(aDaemon, aEffect.mAppendId, aEffect.mRecords, mControl);
}

void bench_cell::perform(std::size_t aDaemon, append_jobs_effect& aEffect)
{
  append(aDaemon, aEffect.mAppendId, aEffect.mRecords, mJobs);
}

template<typename Event, typename Page, typename Record>
void bench_cell::read(std::size_t aDaemon, const read_effect& aEffect,
                      standins::log_stream_model<Record>& aStream)
{
  callPlatform(aDaemon, [=, this, &aStream, effect = aEffect]() -> event {
    Event result{ .mReadId = effect.mReadId };
    std::size_t size = kHttpHeaderBytes;
    if (auto page = aStream.read(effect.mFrom, kPageSize, mSim.now())) {
      protocol::read_response response{ .mEnd = page->mEnd, .mFirst = page->mFirst };
      result.mPage = Page{ .mEnd = page->mEnd, .mFirst = page->mFirst };
      for (auto& [offset, record] : page->mRecords) {
        response.mEntries.push_back({ .mOffset = offset, .mRecord = protocol::toJson(record) });
        result.mPage->mRecords.push_back({ .mOffset = offset, .mRecord = std::move(record) });
      }
      size += protocol::toJson(response).size();
    }
    mMeter.count(channel::read, mSim.elapsed(), 1, [&] { return size; });
    return result;
  });
}

void bench_cell::perform(std::size_t aDaemon, read_effect& aEffect)
{
  if (aEffect.mStream == log_stream::control) {
    read<control_read_event, control_page>(aDaemon, aEffect, mControl);
  } else {
    read<jobs_read_event, jobs_page>(aDaemon, aEffect, mJobs);
  }
}

void bench_cell::perform(std::size_t aDaemon, read_vm_list_effect& /*aEffect*/)
{
  callPlatform(aDaemon, [this]() -> event {
    vm_list_event result{ .mList = mVms.list(mSim.now()) };
    mMeter.count(channel::vm_list, mSim.elapsed(), kSampleVmList, [&] {
      return kHttpHeaderBytes + (result.mList ? protocol::toJson(*result.mList).size() : 0);
    });
    return result;
  });
}

void bench_cell::perform(std::size_t aDaemon, stopped_effect& /*aEffect*/)
{
  killDaemon(aDaemon);
}

void bench_cell::perform(std::size_t aDaemon, rejoin_effect& /*aEffect*/)
{
  killDaemon(aDaemon);
  mSim.after(200ms, [=, this] { startDaemon(aDaemon); });
}

void bench_cell::perform(std::size_t /*aDaemon*/, log_effect& /*aEffect*/) {}

} // namespace endiveusher::bench
