#include "node/src/loop_load.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::node;

namespace {

class test_clock : public clock
{
public:
  time_point now() const override { return mNow; }
  time_point mNow{};
};

} // namespace

TEST_GROUP(loop_load){};

// Guards against time counted twice, or not at all, when one phase runs within another.
TEST(loop_load, countsEachMomentForTheInnermostPhase)
{
  test_clock clock;
  loop_load load(clock);
  {
    const loop_load::scope calling(load, loop_phase::calls);
    clock.mNow += std::chrono::milliseconds(10);
    {
      const loop_load::scope deciding(load, loop_phase::decisions);
      clock.mNow += std::chrono::milliseconds(30);
    }
    clock.mNow += std::chrono::milliseconds(20);
  }
  clock.mNow += std::chrono::milliseconds(40);
  STRCMP_EQUAL("idle=0 callers=40 store=0 decisions=30 calls=30", load.report().c_str());
  STRCMP_EQUAL("idle=0 callers=0 store=0 decisions=0 calls=0", load.report().c_str());
}
