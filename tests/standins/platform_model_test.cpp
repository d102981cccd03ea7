#include <string>

#include "endiveusher/standins/log_model.h"
#include "endiveusher/standins/vm_list_model.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::standins;
using namespace std::chrono_literals;

TEST_GROUP(platform_model)
{
  time_point mStart{};
};

// Guards against offsets that change when expired records are removed.
TEST(platform_model, offsetsSurviveRetention)
{
  log_service_model service({ .mRetention = 10s });
  log_stream_model<std::string> stream(service);
  stream.append({ "a", "b" }, mStart);
  LONGS_EQUAL(2, stream.append({ "c" }, mStart + 8s).second);
  const auto page = stream.read(0, 10, mStart + 11s);
  LONGS_EQUAL(2, page->mFirst);
  LONGS_EQUAL(3, page->mEnd);
  STRCMP_EQUAL("c", page->mRecords.at(0).second.c_str());
}

// Guards against appends that take effect during an outage or beyond the rate limit, and against
// appends that are lost together with their reply.
TEST(platform_model, onlyLostAnswersTakeEffect)
{
  log_service_model service({ .mAppendsPerSecond = 2.0 });
  log_stream_model<std::string> stream(service);
  service.setFaults({ .mDown = true });
  CHECK(stream.append({ "a" }, mStart).first == log_append_result::down);
  CHECK_FALSE(stream.read(0, 1, mStart).has_value());
  service.setFaults({ .mLoseAppendAnswers = 1.0 });
  CHECK(stream.append({ "b" }, mStart).first == log_append_result::answer_lost);
  CHECK(stream.append({ "c" }, mStart).first == log_append_result::answer_lost);
  CHECK(stream.append({ "d" }, mStart).first == log_append_result::rate_exceeded);
  LONGS_EQUAL(2, stream.end());
}

// Guards against a VM list that shows changes without the configured lag.
TEST(platform_model, vmListLags)
{
  vm_list_model vms(2s, { .mVms = { { .mName = "t1" } } });
  vms.setLeaving("t1", true, mStart + 10s);
  vms.set({ .mName = "t2" }, mStart + 11s);
  CHECK_FALSE(vms.list(mStart + 11s)->mVms.at(0).mLeaving);
  CHECK_TRUE(vms.list(mStart + 12s)->mVms.at(0).mLeaving);
  LONGS_EQUAL(2, vms.list(mStart + 13s)->mVms.size());
  vms.remove("t1", mStart + 13s);
  vms.setDown(true);
  CHECK_FALSE(vms.list(mStart + 20s).has_value());
  vms.setDown(false);
  STRCMP_EQUAL("t2", vms.list(mStart + 20s)->mVms.at(0).mName.c_str());
}
