#include "endiveusher/kernel/resources.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;

TEST_GROUP(resources){};

// Guards against placing a task on a target that lacks just one resource.
TEST(resources, oneInsufficientComponentDoesNotFit)
{
  const resources free{ .mSlots = 8, .mCpuMilli = 4000, .mMemoryMb = 1000, .mAccelerators = 0 };
  CHECK((resources{ .mSlots = 1, .mCpuMilli = 4000, .mMemoryMb = 1000 }.fitsIn(free)));
  CHECK_FALSE((resources{ .mSlots = 1, .mAccelerators = 1 }.fitsIn(free)));
}

// Guards against shares computed from a resource other than the dominant one.
TEST(resources, dominantShareIsTheLargestRatio)
{
  const resources total{ .mSlots = 10, .mCpuMilli = 1000, .mMemoryMb = 100 };
  const resources used{ .mSlots = 1, .mCpuMilli = 500, .mMemoryMb = 10 };
  DOUBLES_EQUAL(0.5, dominantShare(used, total), 1e-9);
}
