#include <cstdint>
#include <set>
#include <string>

#include "soak/soak_cell.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::standins;
using namespace std::chrono_literals;

namespace {

soak_result runCell(std::uint64_t aSeed, std::set<fault> aFaults)
{
  soak_options options{ .mSeed = aSeed, .mLength = 30s, .mRecoveryPeriod = 40s };
  options.mFaults = std::move(aFaults);
  return soak_cell(options, coreFactory<all_guards>()).run();
}

void checkClean(std::uint64_t aSeed, const std::set<fault>& aFaults)
{
  const auto result = runCell(aSeed, aFaults);
  std::string text = "seed " + std::to_string(aSeed);
  for (const auto fault : aFaults) {
    text += " " + std::string(faultName(fault));
  }
  for (const auto& violation : result.mViolations) {
    text += "\n  " + violation.mInvariant + " " + violation.mText;
  }
  CHECK_TEXT(result.mViolations.empty(), text.c_str());
  CHECK_TEXT(result.mCounts.at("started") > 0, text.c_str());
}

void checkPairs(fault aFirst)
{
  const auto first = static_cast<std::size_t>(aFirst);
  for (std::size_t second = first + 1; second < kFaultCount; ++second) {
    checkClean(first * kFaultCount + second, { aFirst, static_cast<fault>(second) });
  }
}

} // namespace

TEST_GROUP(soak_runs){};

// Guards against a run that cannot be replayed from its seed.
TEST(soak_runs, isReplayable)
{
  const std::set<fault> faults{ fault::kill, fault::pause, fault::network, fault::limits };
  CHECK_TRUE(runCell(1, faults).mTraceDigest == runCell(1, faults).mTraceDigest);
}

// Guards against violations when daemons are killed.
TEST(soak_runs, killAlone)
{
  checkClean(1, { fault::kill });
  checkClean(2, { fault::kill });
}

// Guards against violations when daemons pause.
TEST(soak_runs, pauseAlone)
{
  checkClean(1, { fault::pause });
  checkClean(2, { fault::pause });
}

// Guards against violations during planned stops.
TEST(soak_runs, stopAlone)
{
  checkClean(1, { fault::stop });
  checkClean(2, { fault::stop });
}

// Guards against violations when messages are lost, duplicated and reordered.
TEST(soak_runs, networkAlone)
{
  checkClean(1, { fault::network });
  checkClean(2, { fault::network });
}

// Guards against violations during partitions between zones.
TEST(soak_runs, zoneCutAlone)
{
  checkClean(1, { fault::zone_cut });
  checkClean(2, { fault::zone_cut });
}

// Guards against violations when zones are partitioned from the platform.
TEST(soak_runs, platformCutAlone)
{
  checkClean(1, { fault::platform_cut });
  checkClean(2, { fault::platform_cut });
}

// Guards against violations when open connections drop all messages.
TEST(soak_runs, silentAlone)
{
  checkClean(1, { fault::silent });
  checkClean(2, { fault::silent });
}

// Guards against violations during log outages.
TEST(soak_runs, logDownAlone)
{
  checkClean(1, { fault::log_down });
  checkClean(2, { fault::log_down });
}

// Guards against violations when replies of the log are lost.
TEST(soak_runs, logLostAlone)
{
  checkClean(1, { fault::log_lost });
  checkClean(2, { fault::log_lost });
}

// Guards against violations when the log is slow.
TEST(soak_runs, logSlowAlone)
{
  checkClean(1, { fault::log_slow });
  checkClean(2, { fault::log_slow });
}

// Guards against violations when targets fail all starts or tasks.
TEST(soak_runs, targetFailAlone)
{
  checkClean(1, { fault::target_fail });
  checkClean(2, { fault::target_fail });
}

// Guards against violations when targets restart and lose their tasks.
TEST(soak_runs, targetRestartAlone)
{
  checkClean(1, { fault::target_restart });
  checkClean(2, { fault::target_restart });
}

// Guards against violations when targets fail and are replaced.
TEST(soak_runs, targetGoneAlone)
{
  checkClean(1, { fault::target_gone });
  checkClean(2, { fault::target_gone });
}

// Guards against violations when tasks use more than their declared size.
TEST(soak_runs, targetSizeAlone)
{
  checkClean(1, { fault::target_size });
  checkClean(2, { fault::target_size });
}

// Guards against violations when targets are leaving.
TEST(soak_runs, leavingAlone)
{
  checkClean(1, { fault::leaving });
  checkClean(2, { fault::leaving });
}

// Guards against violations when zones are taken out.
TEST(soak_runs, zoneOutAlone)
{
  checkClean(1, { fault::zone_out });
  checkClean(2, { fault::zone_out });
}

// Guards against violations when limits change.
TEST(soak_runs, limitsAlone)
{
  checkClean(1, { fault::limits });
  checkClean(2, { fault::limits });
}

// Guards against violations when keys are withdrawn.
TEST(soak_runs, keysAlone)
{
  checkClean(1, { fault::keys });
  checkClean(2, { fault::keys });
}

// Guards against violations that occur only with two kinds of fault together.
TEST(soak_runs, killWithEachLaterKind)
{
  checkPairs(fault::kill);
}

// Guards against violations that occur only with two kinds of fault together.
TEST(soak_runs, pauseWithEachLaterKind)
{
  checkPairs(fault::pause);
}

// Guards against violations that occur only with two kinds of fault together.
TEST(soak_runs, stopWithEachLaterKind)
{
  checkPairs(fault::stop);
}

// Guards against violations that occur only with two kinds of fault together.
TEST(soak_runs, networkWithEachLaterKind)
{
  checkPairs(fault::network);
}

// Guards against violations that occur only with two kinds of fault together.
TEST(soak_runs, zoneCutWithEachLaterKind)
{
  checkPairs(fault::zone_cut);
}

// Guards against violations that occur only with two kinds of fault together.
TEST(soak_runs, platformCutWithEachLaterKind)
{
  checkPairs(fault::platform_cut);
}

// Guards against violations that occur only with two kinds of fault together.
TEST(soak_runs, silentWithEachLaterKind)
{
  checkPairs(fault::silent);
}

// Guards against violations that occur only with two kinds of fault together.
TEST(soak_runs, logDownWithEachLaterKind)
{
  checkPairs(fault::log_down);
}

// Guards against violations that occur only with two kinds of fault together.
TEST(soak_runs, logLostWithEachLaterKind)
{
  checkPairs(fault::log_lost);
}

// Guards against violations that occur only with two kinds of fault together.
TEST(soak_runs, logSlowWithEachLaterKind)
{
  checkPairs(fault::log_slow);
}

// Guards against violations that occur only with two kinds of fault together.
TEST(soak_runs, targetFailWithEachLaterKind)
{
  checkPairs(fault::target_fail);
}

// Guards against violations that occur only with two kinds of fault together.
TEST(soak_runs, targetRestartWithEachLaterKind)
{
  checkPairs(fault::target_restart);
}

// Guards against violations that occur only with two kinds of fault together.
TEST(soak_runs, targetGoneWithEachLaterKind)
{
  checkPairs(fault::target_gone);
}

// Guards against violations that occur only with two kinds of fault together.
TEST(soak_runs, targetSizeWithEachLaterKind)
{
  checkPairs(fault::target_size);
}

// Guards against violations that occur only with two kinds of fault together.
TEST(soak_runs, leavingWithEachLaterKind)
{
  checkPairs(fault::leaving);
}

// Guards against violations that occur only with two kinds of fault together.
TEST(soak_runs, zoneOutWithEachLaterKind)
{
  checkPairs(fault::zone_out);
}

// Guards against violations that occur only with two kinds of fault together.
TEST(soak_runs, limitsWithEachLaterKind)
{
  checkPairs(fault::limits);
}
