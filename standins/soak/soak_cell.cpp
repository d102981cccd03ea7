#include "soak/soak_cell.h"

#include "soak/soak_faults.h"
#include "soak/soak_workload.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>

namespace endiveusher::standins {

using namespace std::chrono_literals;

namespace {

constexpr duration kTickInterval = 20ms;
constexpr duration kCheckInterval = 50ms;
/// Time after which a daemon that hangs in its shutdown is killed, so that the run continues.
constexpr duration kShutdownKillAfter = 15s;
constexpr const char* kClients = "clients";

std::string hex(std::uint64_t aValue)
{
  std::string text(16, '0');
  for (auto at = text.rbegin(); at != text.rend(); ++at, aValue /= 16) {
    *at = "0123456789abcdef"[aValue % 16];
  }
  return text;
}

} // namespace

std::string soak_cell::digestOf(const std::string& aKey)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(aKey.data(), aKey.size(), digest.data(), &size, EVP_sha256(), nullptr);
  std::string text;
  for (unsigned int at = 0; at < size; ++at) {
    text += "0123456789abcdef"[digest[at] / 16];
    text += "0123456789abcdef"[digest[at] % 16];
  }
  return text;
}

soak_cell::soak_cell(soak_options aOptions, core_factory aFactory)
  : mOptions(std::move(aOptions)), mFactory(std::move(aFactory)),
    mSim(mOptions.mSeed, mOptions.mTraceLines), mNetwork(mSim), mLog({ .mSeed = mOptions.mSeed }),
    mControl(mLog), mJobs(mLog), mVms(1s), mChecker(mSim)
{
  for (std::size_t zone = 0; zone < mOptions.mZones; ++zone) {
    mZones.push_back("z" + std::to_string(zone + 1));
  }
  const time_point start = mSim.now();
  const auto addTarget = [&](const zone_name& aZone) {
    const std::string name = "t" + std::to_string(mNextVm);
    const std::string address = "10.1.0." + std::to_string(mNextVm++) + ":8000";
    const double rate = mSim.chance(0.5) ? 1.004 : 0.996;
    mTargets.push_back(
      { .mModel = std::make_unique<target_model>(
          target_options{ .mTarget = name, .mRefuses = mOptions.mRefuses, .mClockRate = rate },
          start),
        .mZone = aZone,
        .mAddress = address });
    mVms.set({ .mName = name, .mZone = aZone, .mRole = vm_role::target, .mAddress = address },
             start);
  };
  for (const auto& zone : mZones) {
    for (std::size_t target = 0; target < mOptions.mTargetsPerZone; ++target) {
      addTarget(zone);
    }
  }
  for (std::size_t daemon = 0; daemon < mOptions.mDaemons; ++daemon) {
    const std::string number = std::to_string(mNextVm++);
    mDaemons.push_back({ .mVm = "e" + number,
                         .mZone = mZones[daemon % mZones.size()],
                         .mAddress = "10.2.0." + number + ":7000" });
    mVms.set({ .mName = mDaemons.back().mVm,
               .mZone = mDaemons.back().mZone,
               .mRole = vm_role::entry,
               .mAddress = mDaemons.back().mAddress },
             start);
  }
}

soak_cell::~soak_cell() = default;

soak_result soak_cell::run()
{
  for (std::size_t daemon = 0; daemon < mDaemons.size(); ++daemon) {
    startDaemon(daemon);
  }
  soak_workload workload(*this);
  soak_faults faults(*this);
  workload.begin();
  faults.begin();
  runPeriodicChecks();
  mSim.runUntil(time_point{} + mOptions.mLength + mOptions.mRecoveryPeriod);
  workload.countUnfinished();
  for (const auto& [id, call] : mCalls) {
    const auto& daemon = mDaemons[call.mDaemon];
    if (daemon.mOpenCalls.contains(id) && mSim.now() - call.mAt > 40s) {
      mChecker.onUnanswered("call " + std::to_string(id) + " of kind " +
                            std::to_string(call.mCall.index()) + " to " + daemon.mVm);
    }
  }
  mCounts["started"] = mChecker.started();
  mCounts["finished"] = mChecker.finished();
  mCounts["log_appends"] = mLog.appends();
  return { .mCounts = mCounts,
           .mViolations = mChecker.violations(),
           .mTrace = mSim.traceLines(),
           .mTraceDigest = mSim.digest() };
}

time_point soak_cell::localTime(const soak_daemon& aDaemon) const
{
  const auto passed = static_cast<double>(mSim.elapsed().count()) * aDaemon.mClockRate;
  return time_point{} + aDaemon.mClockStart + duration(static_cast<std::int64_t>(passed));
}

void soak_cell::startDaemon(std::size_t aDaemon)
{
  auto& daemon = mDaemons[aDaemon];
  if (daemon.mCore) {
    return;
  }
  ++daemon.mGeneration;
  daemon.mIncarnation = daemon.mVm + "." + hex(mSim.draw(~std::uint64_t{ 0 }));
  daemon.mClockStart = mSim.between(1s, 10'000s);
  daemon.mClockRate = mSim.chance(0.5) ? 1.004 : 0.996;
  daemon.mPaused = false;
  daemon.mDeferredEvents.clear();
  daemon.mDeferredEffects.clear();
  daemon.mOpenCalls.clear();
  daemon.mShutdownAt.reset();
  daemon.mConnectedSince.reset();
  daemon.mCore = mFactory({ .mTiming = mOptions.mTiming,
                            .mIncarnation = daemon.mIncarnation,
                            .mVm = daemon.mVm,
                            .mZone = daemon.mZone,
                            .mPeerAddress = daemon.mAddress,
                            .mOperatorKeyDigests = { digestOf(kOperatorKey) },
                            .mSeed = mSim.draw(~std::uint64_t{ 0 }) });
  mSim.trace("daemon " + daemon.mIncarnation + " starts");
  tick(aDaemon, daemon.mGeneration);
}

void soak_cell::killDaemon(std::size_t aDaemon)
{
  auto& daemon = mDaemons[aDaemon];
  if (!daemon.mCore) {
    return;
  }
  mSim.trace("daemon " + daemon.mIncarnation + " ends");
  ++daemon.mGeneration;
  daemon.mCore.reset();
  daemon.mShutdownAt.reset();
  for (const auto call : std::exchange(daemon.mOpenCalls, {})) {
    finishCall(call, std::nullopt);
  }
}

void soak_cell::pauseDaemon(std::size_t aDaemon, bool aDeferEffects)
{
  auto& daemon = mDaemons[aDaemon];
  mSim.trace("daemon " + daemon.mIncarnation + " pauses");
  if (aDeferEffects) {
    daemon.mCore->tick(localTime(daemon));
    daemon.mDeferredEffects = daemon.mCore->takeEffects();
  }
  daemon.mPaused = true;
}

void soak_cell::resumeDaemon(std::size_t aDaemon)
{
  auto& daemon = mDaemons[aDaemon];
  if (!daemon.mCore || !daemon.mPaused) {
    return;
  }
  mSim.trace("daemon " + daemon.mIncarnation + " resumes");
  daemon.mPaused = false;
  if (daemon.mShutdownAt) {
    // A paused process cannot meet a deadline, so the time for the shutdown starts again.
    daemon.mShutdownAt = mSim.now();
  }
  const auto generation = daemon.mGeneration;
  for (auto& effect : std::exchange(daemon.mDeferredEffects, {})) {
    std::visit([&](auto& aBody) { perform(aDaemon, aBody); }, effect);
  }
  for (const auto& event : std::exchange(daemon.mDeferredEvents, {})) {
    event();
  }
  tick(aDaemon, generation);
}

void soak_cell::shutDown(std::size_t aDaemon)
{
  auto& daemon = mDaemons[aDaemon];
  mSim.trace("daemon " + daemon.mIncarnation + " is asked to shut down");
  daemon.mShutdownAt = mSim.now();
  deliver(aDaemon, daemon.mGeneration, shutdown_event{});
}

void soak_cell::replaceVm(std::size_t aDaemon)
{
  auto& daemon = mDaemons[aDaemon];
  const std::string number = std::to_string(mNextVm++);
  mVms.remove(daemon.mVm, mSim.now());
  daemon.mVm = "e" + number;
  daemon.mAddress = "10.2.0." + number + ":7000";
  mVms.set({ .mName = daemon.mVm,
             .mZone = daemon.mZone,
             .mRole = vm_role::entry,
             .mAddress = daemon.mAddress },
           mSim.now());
}

void soak_cell::replaceTarget(std::size_t aTarget)
{
  auto& target = mTargets[aTarget];
  target.mModel->restart(mSim.now());
  collectObservations();
  const std::string old = target.mModel->options().mTarget;
  const std::string name = "t" + std::to_string(mNextVm);
  mSim.trace("target " + old + " replaced by " + name);
  mVms.remove(old, mSim.now());
  target.mAddress = "10.1.0." + std::to_string(mNextVm++) + ":8000";
  auto options = target.mModel->options();
  options.mTarget = name;
  options.mFaults = {};
  target.mModel = std::make_unique<target_model>(options, mSim.now());
  target.mGone = false;
  mVms.set(
    { .mName = name, .mZone = target.mZone, .mRole = vm_role::target, .mAddress = target.mAddress },
    mSim.now());
}

void soak_cell::changeActiveFaults(int aChange)
{
  mActiveFaults += aChange;
  mFaultFreeSince = mSim.now();
}

void soak_cell::deliver(std::size_t aDaemon, std::uint64_t aGeneration, const event& aEvent)
{
  auto& daemon = mDaemons[aDaemon];
  if (daemon.mGeneration != aGeneration || !daemon.mCore) {
    return;
  }
  if (daemon.mPaused) {
    daemon.mDeferredEvents.push_back([=, this] { deliver(aDaemon, aGeneration, aEvent); });
    return;
  }
  if (const auto* call = std::get_if<call_event>(&aEvent)) {
    if (const auto* submit = std::get_if<submit_call>(&call->mCall)) {
      mChecker.onSubmit(submit->mJob.mRequest, submit->mKey.empty() ? "" : digestOf(submit->mKey));
    }
  }
  daemon.mCore->handle(aEvent, localTime(daemon));
  performEffects(aDaemon);
}

void soak_cell::performEffects(std::size_t aDaemon)
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

void soak_cell::tick(std::size_t aDaemon, std::uint64_t aGeneration)
{
  auto& daemon = mDaemons[aDaemon];
  if (daemon.mGeneration != aGeneration || !daemon.mCore || daemon.mPaused) {
    return;
  }
  daemon.mCore->tick(localTime(daemon));
  performEffects(aDaemon);
  mSim.after(kTickInterval, [=, this] { tick(aDaemon, aGeneration); });
}

void soak_cell::collectObservations()
{
  for (auto& target : mTargets) {
    target.mModel->advance(mSim.now());
    for (const auto& observation : target.mModel->takeObservations()) {
      mChecker.onTarget(observation, target.mZone, target.mModel->used(),
                        target.mModel->options().mCapacity);
    }
  }
}

void soak_cell::runPeriodicChecks()
{
  collectObservations();
  const bool slow = mLog.faults().mDown || mLog.faults().mDelay > 0ms || mNetwork.lossy();
  for (std::size_t index = 0; index < mDaemons.size(); ++index) {
    auto& daemon = mDaemons[index];
    if (!daemon.mCore || daemon.mPaused) {
      daemon.mConnectedSince.reset();
      continue;
    }
    if (slow || mNetwork.isPartitioned(daemon.mZone, network_model::kPlatform)) {
      daemon.mConnectedSince.reset();
    } else if (!daemon.mConnectedSince) {
      daemon.mConnectedSince = mSim.now();
    }
    mChecker.onDaemon(daemon.mIncarnation, daemon.mCore->control(), daemon.mConnectedSince);
    if (daemon.mShutdownAt && mSim.now() - *daemon.mShutdownAt > kShutdownKillAfter) {
      mChecker.onStopped(daemon.mVm, mSim.now() - *daemon.mShutdownAt, 0, true);
      killDaemon(index);
      mSim.after(1s, [=, this] { startDaemon(index); });
    }
  }
  mChecker.checkLimits(mActiveFaults == 0 ? std::optional(mFaultFreeSince) : std::nullopt);
  mSim.after(kCheckInterval, [this] { runPeriodicChecks(); });
}

void soak_cell::callDaemon(std::size_t aDaemon, call aCall, duration aTimeout,
                           std::function<void(const std::optional<answer>&)> aDone)
{
  auto& daemon = mDaemons[aDaemon];
  const std::uint64_t id = mNextCall++;
  mCalls[id] = { .mCall = std::move(aCall),
                 .mAt = mSim.now(),
                 .mDaemon = aDaemon,
                 .mGeneration = daemon.mGeneration,
                 .mDone = std::move(aDone) };
  if (!daemon.mCore) {
    mSim.after(3ms, [=, this] { finishCall(id, std::nullopt); });
    return;
  }
  if (const auto delay = mNetwork.transmit(kClients, kClients, daemon.mVm, daemon.mZone)) {
    mSim.after(3ms + *delay, [=, this, generation = daemon.mGeneration] {
      const auto found = mCalls.find(id);
      if (found == mCalls.end() || mDaemons[aDaemon].mGeneration != generation) {
        finishCall(id, std::nullopt);
        return;
      }
      mDaemons[aDaemon].mOpenCalls.insert(id);
      deliver(aDaemon, generation, call_event{ .mCallId = id, .mCall = found->second.mCall });
    });
  }
  mSim.after(aTimeout, [=, this] {
    const auto found = mCalls.find(id);
    if (found == mCalls.end() || !found->second.mDone) {
      return;
    }
    const auto generation = found->second.mGeneration;
    finishCall(id, std::nullopt);
    mDaemons[aDaemon].mOpenCalls.erase(id);
    deliver(aDaemon, generation, call_dropped_event{ .mCallId = id });
  });
}

void soak_cell::finishCall(std::uint64_t aCallId, const std::optional<answer>& aAnswer)
{
  const auto found = mCalls.find(aCallId);
  if (found == mCalls.end() || !found->second.mDone) {
    return;
  }
  if (aAnswer) {
    mChecker.onAnswer(found->second.mCall, *aAnswer);
  }
  const auto done = std::exchange(found->second.mDone, nullptr);
  done(aAnswer);
}

} // namespace endiveusher::standins
