#include "endiveusher/scheduler/overload_admission.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using std::chrono::milliseconds;

/// Three teams, one of which has twice the weight of the others.
TEST_GROUP(overload_admission)
{
  cell_config config;
  overload_admission admission;
  static constexpr milliseconds kBehind = overload_admission::kMaxLag + milliseconds(1);

  void setup() override
  {
    config.mTeams.push_back({ .mName = "heavy", .mWeight = 2.0 });
    config.mTeams.push_back({ .mName = "red", .mWeight = 1.0 });
    config.mTeams.push_back({ .mName = "blue", .mWeight = 1.0 });
    config.index();
  }
};

TEST(overload_admission, acceptsAllJobsWhileTheLoopKeepsUp)
{
  admission.setWaiting({ { "red", 100'000 } });
  CHECK(admission.admits("red", config, overload_admission::kMaxLag));
}

// Load pattern: one team sends eight times its usual. Guards against a backlog in which the jobs of
// all teams are late.
TEST(overload_admission, rejectsTheTeamBeyondItsShareAndNoOther)
{
  admission.setWaiting({ { "heavy", 200 }, { "red", 1600 }, { "blue", 100 } });
  CHECK_FALSE(admission.admits("red", config, kBehind));
  CHECK(admission.admits("heavy", config, kBehind));
  CHECK(admission.admits("blue", config, kBehind));
}

TEST(overload_admission, sharesAreByWeight)
{
  admission.setWaiting({ { "heavy", 500 }, { "red", 260 }, { "blue", 240 } });
  CHECK(admission.admits("heavy", config, kBehind));
  CHECK_FALSE(admission.admits("red", config, kBehind));
  CHECK(admission.admits("blue", config, kBehind));
}

// Guards against a small team that is turned away for a few tasks because others wait for less.
TEST(overload_admission, aFewTasksAreAlwaysAccepted)
{
  admission.setWaiting({ { "red", overload_admission::kAlwaysAccepted }, { "blue", 1 } });
  CHECK(admission.admits("red", config, kBehind));
}

// A team that is not in the configuration, as that of a public route, counts with a weight of 1.
TEST(overload_admission, teamsWithoutConfigurationHaveAShare)
{
  admission.setWaiting({ { "", 900 }, { "red", 100 } });
  CHECK_FALSE(admission.admits("", config, kBehind));
  CHECK(admission.admits("green", config, kBehind));
}
