#include "node/src/loop_profiler.h"

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

TEST_GROUP(loop_profiler){};

// Guards against time that is counted twice, or not at all, when phases are nested.
TEST(loop_profiler, countsEachMomentForTheInnermostPhase)
{
  test_clock clock;
  loop_profiler profiler(clock);
  {
    const loop_profiler::scope calling(profiler, loop_phase::calls);
    clock.mNow += std::chrono::milliseconds(10);
    {
      const loop_profiler::scope deciding(profiler, loop_phase::decisions);
      clock.mNow += std::chrono::milliseconds(30);
    }
    clock.mNow += std::chrono::milliseconds(20);
  }
  clock.mNow += std::chrono::milliseconds(40);
  STRCMP_EQUAL("idle=0 callers=40 store=0 decisions=30 calls=30", profiler.report().c_str());
  STRCMP_EQUAL("idle=0 callers=0 store=0 decisions=0 calls=0", profiler.report().c_str());
}
