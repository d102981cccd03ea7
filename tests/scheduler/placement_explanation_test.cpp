#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

namespace {

step_spec tasks(std::uint32_t aCount, std::int64_t aCpu = 2000)
{
  return { .mCount = aCount,
           .mNeeds = { .mCpuMilli = aCpu, .mMemoryMb = 100 },
           .mEstimate = milliseconds(20000) };
}

step_spec gang(std::uint32_t aCount, std::int64_t aCpu = 2000)
{
  auto step = tasks(aCount, aCpu);
  step.mGang = true;
  return step;
}

} // namespace

/// owner::explain() against what the owner then does.
TEST_GROUP(placement_explanation)
{
  owner_fixture cell;

  static placement_explanation explain(const owner_fixture& aCell, std::vector<step_spec> aSteps,
                                       const std::string& aTeam = "red",
                                       const std::string& aRoute = "batch")
  {
    return aCell.mOwner->explain({ .mId = static_cast<job_id>(aCell.submitted().size() + 1),
                                   .mRoute = aRoute,
                                   .mTeam = aTeam,
                                   .mSteps = std::move(aSteps),
                                   .mSubmitted = aCell.wall() },
                                 aCell.mNow);
  }
  step_explanation explainStep(const step_spec& aStep, const std::string& aTeam = "red",
                               const std::string& aRoute = "batch")
  {
    return explain(cell, { aStep }, aTeam, aRoute).mSteps.at(0);
  }
  static std::size_t count(const step_explanation& aStep, target_fit aFit)
  {
    return aStep.mTargets.at(static_cast<std::size_t>(aFit));
  }
  /// Submits the job and compares where its tasks run with what was explained.
  void checkAgrees(const step_spec& aStep)
  {
    const auto explained = explainStep(aStep);
    const auto id = cell.submit(aStep);
    cell.run(milliseconds(60));
    std::map<std::string, std::uint32_t> real;
    for (std::uint32_t index = 0; index < aStep.mCount; ++index) {
      if (const auto at = cell.targetRunning(id, 0, index); !at.empty()) {
        ++real[at];
      }
    }
    std::map<std::string, std::uint32_t> expected;
    for (const auto& one : explained.mTaken) {
      expected[one.mId] = one.mTasks;
    }
    CHECK(expected == real);
    CHECK_EQUAL(explained.mStarts < aStep.mCount, !explained.mWaitReason.empty());
  }
  void fillCell()
  {
    for (int at = 0; at < 6; ++at) {
      cell.addTarget("t" + std::to_string(at), 8000 + 1000 * at);
    }
    cell.startOwnerAndJob(tasks(5, 3000));
  }
};

// Guards against an explanation that is a copy of the decisions and drifts from them.
TEST(placement_explanation, agreesWithTheNextPlacementInACalmCell)
{
  fillCell();
  checkAgrees(tasks(3));
  checkAgrees(gang(5, 2500));
  auto spread = tasks(4, 500);
  spread.mMaxPerTarget = 1;
  checkAgrees(spread);
  auto local = tasks(2, 500);
  local.mDataRack = "r9";
  STRCMP_EQUAL("data_rack", explainStep(local).mWaitReason.c_str());
  checkAgrees(local);
  checkAgrees(gang(40));
  checkAgrees(tasks(40));
}

// Guards against an explanation that ignores what the steps before the job take.
TEST(placement_explanation, takesTheWaitingStepsBeforeIntoAccount)
{
  cell.addTarget("t1", 8000);
  cell.startOwnerAndJob(tasks(2));
  cell.submit(tasks(1, 3000));
  const auto explained = explainStep(tasks(1));
  CHECK_EQUAL(1U, explained.mStepsBefore);
  CHECK_EQUAL(1U, explained.mTasksBefore);
  CHECK_EQUAL(0U, explained.mStarts);
  STRCMP_EQUAL("no_room", explained.mWaitReason.c_str());
  CHECK_EQUAL(1U, count(explained, target_fit::no_room));
}

// Guards against effects on the state, also those that show only in later decisions.
TEST(placement_explanation, changesNeitherStateNorLaterDecisions)
{
  owner_fixture other;
  for (auto* one : { &cell, &other }) {
    one->mConfig.mTeams[0].mUpperLimit = { .mCpuMilli = 30'000 };
    one->mConfig.mRoutes[0].mAdvice = advice_terms{ .mPerCall = milliseconds(20),
                                                    .mPerTarget = milliseconds(1),
                                                    .mTicketLifetime = milliseconds(1500) };
    for (int at = 0; at < 4; ++at) {
      const auto id = "t" + std::to_string(at);
      one->addTarget(id);
      one->mGoodTargets.push_back(id);
    }
    one->startNextOwner();
    one->run(milliseconds(100));
    for (int round = 0; round < 6; ++round) {
      auto saved = tasks(3);
      saved.mCheckpointing = true;
      one->submit(saved);
      one->submit(gang(6), "blue");
      one->submitUrgent(tasks(2));
      one->run(milliseconds(5));
      for (int step = 0; step < 60; ++step) {
        if (one == &cell) {
          const auto before = cell.mOwner->dump();
          explain(cell, { gang(6), tasks(3) });
          explain(cell, { tasks(2) }, "new", "urgent");
          CHECK(before == cell.mOwner->dump());
        }
        one->run(milliseconds(5));
      }
    }
  }
  CHECK_EQUAL(other.mLog.size(), cell.mLog.size());
  CHECK(other.mLog == cell.mLog);
}

// Guards against targets that are counted under a reason that does not hold.
TEST(placement_explanation, countsTargetsByReason)
{
  for (const auto* id : { "fits", "full", "drains", "closed", "pool", "label", "silent" }) {
    cell.addTarget(id);
  }
  cell.target("full").mEntry.mCapacity.mCpuMilli = 1000;
  cell.target("closed").mEntry.mZone = "z";
  cell.target("pool").mEntry.mPool = "other";
  cell.target("label").mEntry.mLabels = {};
  cell.target("silent").mReachable = false;
  cell.startNextOwner();
  cell.run(milliseconds(300));
  cell.drainTarget("drains");
  cell.mOwner->setClosedZones({ "z" });
  auto step = tasks(1);
  step.mRequiredLabel = "k";
  const auto explained = explainStep(step);
  for (const auto fit :
       { target_fit::fits, target_fit::no_room, target_fit::draining, target_fit::closed_zone,
         target_fit::other_pool, target_fit::label, target_fit::not_usable }) {
    CHECK_EQUAL_TEXT(1U, count(explained, fit), std::string(toText(fit)).c_str());
  }
  STRCMP_EQUAL("fits", explained.mTaken.at(0).mId.c_str());
}

// Guards against a team's limit that the explanation does not show.
TEST(placement_explanation, showsTheTeamsLimit)
{
  cell.mConfig.mTeams[0].mUpperLimit = { .mCpuMilli = 6000 };
  cell.addTarget("t1");
  cell.startOwnerAndJob(tasks(2));
  const auto explained = explainStep(tasks(3));
  CHECK_EQUAL(6000, explained.mTeamLimit.mCpuMilli);
  CHECK_EQUAL(4000, explained.mTeamUsed.mCpuMilli);
  CHECK_EQUAL(1U, explained.mTeamSlots);
  CHECK_EQUAL(1U, explained.mStarts);
  STRCMP_EQUAL("team_limit", explained.mWaitReason.c_str());
}

// Guards against a number of queried targets or stopped runs that differs from the real one.
TEST(placement_explanation, namesAdviceAndPreemption)
{
  fillCell();
  auto saved = tasks(40);
  saved.mCheckpointing = true;
  cell.submit(saved);
  cell.run(milliseconds(100));
  const auto urgent = tasks(1, 6000);
  const auto explained = explainStep(urgent, "blue", "urgent");
  CHECK(explained.mPreemptsAfter.has_value());
  CHECK_FALSE(explained.mStops.empty());
  cell.submitUrgent(urgent);
  cell.run(std::chrono::duration_cast<milliseconds>(*explained.mPreemptsAfter) + milliseconds(30));
  for (const auto& stop : explained.mStops) {
    const auto line = "preempt task=" + toText(stop.mTask) + " ";
    CHECK(std::ranges::any_of(cell.mLog, [&](const auto& aOne) { return aOne.starts_with(line); }));
  }

  cell.mConfig.mRoutes[0].mAdvice = advice_terms{ .mPerCall = milliseconds(20),
                                                  .mPerTarget = milliseconds(1),
                                                  .mTicketLifetime = milliseconds(1500) };
  cell.addTarget("empty", 32'000, 32'000);
  cell.startNextOwner();
  cell.run(milliseconds(300));
  cell.mAdvice.clear();
  const auto advised = explainStep(tasks(1, 10'000), "blue");
  CHECK_EQUAL(1U, advised.mQueriedTargets);
  CHECK(advised.mAdviceCost == milliseconds(21));
  const auto id = cell.submit(tasks(1, 10'000), "blue");
  cell.run(milliseconds(60));
  const auto call =
    std::ranges::find(cell.mAdvice, id, [](const auto& aOne) { return aOne.mStep.mJob; });
  CHECK(call != cell.mAdvice.end());
  CHECK_EQUAL(advised.mQueriedTargets, call->mTargets.size());
}

// Guards against lists and a time that grow with the cell and the waiting work.
TEST(placement_explanation, isBounded)
{
  for (int at = 0; at < 350; ++at) {
    cell.addTarget("t" + std::to_string(at), 16'000, 32'000);
  }
  cell.startOwnerAndJob(tasks(20));
  cell.mOwner->setClosedZones({ "a" });
  cell.run(milliseconds(40));
  for (int at = 0; at < 3000; ++at) {
    // Such a step looks at every target with room.
    auto step = tasks(2, 1000 + at);
    step.mDataRack = "r9";
    cell.submit(step);
  }
  cell.mOwner->setClosedZones({});
  const auto explained = explain(cell, std::vector(20, tasks(40)), "blue");
  CHECK(explained.mIgnoredSteps > 0);
  CHECK_EQUAL(20U, explained.mFirstSteps);
  CHECK_EQUAL(kMaxExplainedSteps, explained.mSteps.size());
  for (const auto& step : explained.mSteps) {
    CHECK_EQUAL(3000U, step.mStepsBefore);
    CHECK(step.mTaken.size() <= kMaxExplainedTargets);
  }
}
