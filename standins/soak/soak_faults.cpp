#include "soak/soak_faults.h"

#include "soak/soak_cell.h"
#include "soak/soak_workload.h"

#include <algorithm>
#include <array>

namespace endiveusher::standins {

using namespace std::chrono_literals;

namespace {

constexpr std::array<std::string_view, kFaultCount> kNames{
  "kill",        "pause",       "stop",     "network",  "zone_cut",    "platform_cut",
  "silent",      "log_down",    "log_lost", "log_slow", "target_fail", "target_restart",
  "target_gone", "target_size", "leaving",  "zone_out", "limits",      "keys",
};

} // namespace

std::string_view faultName(fault aFault)
{
  return kNames[static_cast<std::size_t>(aFault)];
}

std::optional<fault> parseFault(std::string_view aName)
{
  const auto* const found = std::find(kNames.begin(), kNames.end(), aName);
  if (found == kNames.end()) {
    return std::nullopt;
  }
  return static_cast<fault>(found - kNames.begin());
}

void soak_faults::begin()
{
  for (const auto fault : mCell->options().mFaults) {
    mCell->sim().after(mCell->sim().between(8s, 14s), [=, this] { next(fault); });
  }
}

void soak_faults::next(fault aFault)
{
  if (mCell->loadEnded()) {
    return;
  }
  mCell->count("faults");
  mCell->sim().trace("fault " + std::string(faultName(aFault)));
  inject(aFault);
  mCell->sim().after(mCell->sim().between(2s, 14s), [=, this] { next(aFault); });
}

void soak_faults::healAfter(duration aTime, std::function<void()> aHeal)
{
  mCell->changeActiveFaults(1);
  mCell->sim().after(aTime, [this, aHeal = std::move(aHeal)] {
    aHeal();
    mCell->changeActiveFaults(-1);
  });
}

void soak_faults::inject(fault aFault)
{
  auto& cell = *mCell;
  auto& sim = cell.sim();
  auto& targets = cell.targets();
  const std::size_t target = sim.draw(targets.size());
  const auto withLog = [&](const log_faults& aFaults, duration aTime) {
    cell.log().setFaults(aFaults);
    healAfter(aTime, [&cell] { cell.log().setFaults({}); });
  };
  const auto withTarget = [&](const target_faults& aFaults, duration aTime) {
    targets[target].mModel->setFaults(aFaults);
    healAfter(aTime, [&targets, target] { targets[target].mModel->setFaults({}); });
  };
  switch (aFault) {
    case fault::kill:
      killRandomDaemon();
      break;
    case fault::pause:
      pauseRandomDaemon();
      break;
    case fault::stop:
      shutDownRandomDaemon();
      break;
    case fault::network:
      cell.network().setLossy(true);
      healAfter(sim.between(500ms, 6s), [&cell] { cell.network().setLossy(false); });
      break;
    case fault::zone_cut:
      partitionZone(true, sim.chance(0.5));
      break;
    case fault::platform_cut:
      partitionZone(false, true);
      break;
    case fault::silent:
      makeConnectionsUnresponsive();
      break;
    case fault::log_down:
      withLog({ .mDown = true }, sim.chance(0.2) ? 30s : sim.between(500ms, 8s));
      break;
    case fault::log_lost:
      withLog({ .mLoseAppendAnswers = 0.5, .mLoseReadAnswers = 0.1 }, sim.between(1s, 6s));
      break;
    case fault::log_slow:
      withLog({ .mDelay = sim.between(100ms, 900ms) }, sim.between(1s, 6s));
      break;
    case fault::target_fail:
      withTarget(sim.chance(0.5) ? target_faults{ .mFailsStarts = true }
                                 : target_faults{ .mFailsTasks = true },
                 sim.between(1s, 15s));
      break;
    case fault::target_restart:
      targets[target].mModel->restart(sim.now());
      healAfter(1s, [] {});
      break;
    case fault::target_gone:
      targets[target].mGone = true;
      targets[target].mModel->restart(sim.now());
      healAfter(sim.between(1s, 8s), [&cell, target] { cell.replaceTarget(target); });
      break;
    case fault::target_size:
      withTarget({ .mUseFactor = 2.0 }, sim.between(1s, 15s));
      break;
    case fault::leaving:
      if (!targets[target].mModel->leaving()) {
        const auto name = targets[target].mModel->options().mTarget;
        targets[target].mModel->setLeaving(true);
        cell.vms().setLeaving(name, true, sim.now());
        cell.checker().onLeaving(name);
        sim.after(sim.between(8s, 15s), [&cell, &targets, target, name] {
          if (targets[target].mModel->options().mTarget == name) {
            cell.replaceTarget(target);
          }
        });
      }
      break;
    case fault::zone_out: {
      const auto zone = cell.zones()[sim.draw(cell.zones().size())];
      const auto number = std::to_string(mNextOperation++);
      publish({ set_zone_state{ .mZone = zone, .mState = zone_state::out } }, std::nullopt,
              "zone-out-" + number, 1);
      sim.after(sim.between(3s, 12s), [=, this] {
        publish({ set_zone_state{ .mZone = zone, .mState = zone_state::in } }, std::nullopt,
                "zone-in-" + number, 1);
      });
      break;
    }
    case fault::limits:
      changeLimits();
      break;
    case fault::keys: {
      const auto team = soak_workload::teams()[sim.chance(0.5) ? 0 : 1].mTeam;
      const auto digest = soak_cell::digestOf(soak_workload::keyOf(team));
      const auto number = std::to_string(mNextOperation++);
      publish({ withdraw_key{ .mKeyDigest = digest } }, std::nullopt, "withdraw-" + number, 1);
      sim.after(sim.between(4s, 10s), [=, this] {
        publish({ grant_key{ .mTeam = team, .mKeyDigest = digest } }, std::nullopt,
                "grant-" + number, 1);
      });
      break;
    }
  }
}

void soak_faults::killRandomDaemon()
{
  auto& sim = mCell->sim();
  const std::size_t daemon = sim.draw(mCell->daemons().size());
  mCell->killDaemon(daemon);
  if (sim.chance(0.3)) {
    mCell->replaceVm(daemon);
  }
  healAfter(sim.between(200ms, 12s), [=, this] { mCell->startDaemon(daemon); });
}

void soak_faults::pauseRandomDaemon()
{
  auto& sim = mCell->sim();
  const std::size_t daemon = sim.draw(mCell->daemons().size());
  if (!mCell->daemons()[daemon].mCore || mCell->daemons()[daemon].mPaused) {
    return;
  }
  mCell->pauseDaemon(daemon, sim.chance(0.5));
  healAfter(sim.chance(0.2) ? sim.between(12s, 30s) : sim.between(200ms, 8s),
            [=, this] { mCell->resumeDaemon(daemon); });
}

void soak_faults::shutDownRandomDaemon()
{
  const std::size_t index = mCell->sim().draw(mCell->daemons().size());
  const auto& daemon = mCell->daemons()[index];
  if (daemon.mCore && !daemon.mPaused && !daemon.mShutdownAt) {
    mCell->shutDown(index);
  }
}

void soak_faults::partitionZone(bool aFromZones, bool aFromPlatform)
{
  const auto zone = mCell->zones()[mCell->sim().draw(mCell->zones().size())];
  auto& network = mCell->network();
  std::vector<std::string> others;
  for (const auto& other : mCell->zones()) {
    if (aFromZones && other != zone) {
      others.push_back(other);
    }
  }
  if (aFromPlatform) {
    others.emplace_back(network_model::kPlatform);
  }
  for (const auto& other : others) {
    network.partition(zone, other);
  }
  healAfter(mCell->sim().between(500ms, 15s), [=, &network] {
    for (const auto& other : others) {
      network.endPartition(zone, other);
    }
  });
}

void soak_faults::makeConnectionsUnresponsive()
{
  auto& sim = mCell->sim();
  auto& network = mCell->network();
  const std::string vm = mCell->daemons()[sim.draw(mCell->daemons().size())].mVm;
  std::vector<std::string> peers;
  for (const auto& daemon : mCell->daemons()) {
    if (daemon.mVm != vm && sim.chance(0.5)) {
      peers.push_back(daemon.mVm);
    }
  }
  for (const auto& target : mCell->targets()) {
    if (sim.chance(0.5)) {
      network.makeUnresponsive(vm, target.mModel->options().mTarget);
    }
  }
  if (sim.chance(0.5)) {
    network.makeUnresponsive(vm, network_model::kPlatform);
  }
  for (const auto& peer : peers) {
    network.makeUnresponsive(vm, peer);
  }
  // Connections to targets and to the platform are replaced after a timeout, those between
  // daemons when their keep-alive fails.
  healAfter(sim.between(2s, 5s), [=, &network] {
    for (const auto& peer : peers) {
      network.reconnect(vm, peer);
    }
  });
}

void soak_faults::changeLimits()
{
  auto& sim = mCell->sim();
  auto teams = soak_workload::teams();
  auto team = teams[sim.chance(0.5) ? 0 : 3];
  team.mLimit.mTasks = 2 + static_cast<std::int64_t>(sim.draw(24));
  const auto number = std::to_string(mNextOperation++);
  const bool race = sim.chance(0.3);
  // Two operators publish at the same expected offset: at most one of them may succeed.
  const auto expected =
    race ? std::optional(mCell->checker().lastChange("team " + team.mTeam)) : std::nullopt;
  publish({ team }, expected, "limit-" + number, 1);
  if (race) {
    team.mLimit.mTasks += 1;
    publish({ team }, expected, "limit-other-" + number, 1);
  }
}

void soak_faults::publish(const std::vector<config_change>& aChanges,
                          std::optional<log_offset> aExpected, const std::string& aOperation,
                          std::uint32_t aTry)
{
  const publish_call call{ .mOperatorKey = soak_cell::kOperatorKey,
                           .mOperationId = aOperation,
                           .mExpectedOffset = aExpected,
                           .mChanges = aChanges };
  const std::size_t daemon = mCell->sim().draw(mCell->daemons().size());
  mCell->callDaemon(daemon, call, 4s, [=, this](const auto& aAnswer) {
    const bool done = aAnswer && std::holds_alternative<publish_result>(aAnswer->mBody);
    const auto* error = aAnswer ? std::get_if<call_error>(&aAnswer->mBody) : nullptr;
    mCell->count(done ? "published" : "publish_failed");
    if (done || aTry == 20 || (error != nullptr && error->mStatus == 409)) {
      return;
    }
    // After the answer not_run the operator retries under a new operation id.
    const bool notRun = aAnswer && aAnswer->mClass == answer_class::not_run;
    mCell->sim().after(mCell->sim().between(100ms, 1s), [=, this] {
      publish(aChanges, aExpected, notRun ? aOperation + "'" : aOperation, aTry + 1);
    });
  });
}

} // namespace endiveusher::standins
