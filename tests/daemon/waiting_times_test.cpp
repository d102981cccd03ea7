#include "daemon/src/waiting_times.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::daemon;

TEST_GROUP(waiting_times){};

// Guards against a repeated submission or start order that is measured as another wait.
TEST(waiting_times, eachTaskIsMeasuredOnce)
{
  const time_point start{ std::chrono::seconds(100) };
  waiting_times times;
  times.recordSubmission({ .mRequest = "r", .mTaskCount = 2 }, start);
  times.recordSubmission({ .mRequest = "r", .mTaskCount = 2 }, start + std::chrono::seconds(5));
  std::vector<duration> waits;
  const auto record = [&waits](duration aWait) { waits.push_back(aWait); };
  exchange_request request;
  request.mOrders.push_back({ .mTask = { .mKey = { "r", 1 } } });
  request.mOrders.push_back({ .mTask = { .mKey = { "other", 0 } } });
  times.recordStarts(request, start + std::chrono::seconds(1), record);
  times.recordStarts(request, start + std::chrono::seconds(2), record);
  CHECK_EQUAL(1, waits.size());
  CHECK(std::chrono::seconds(1) == waits[0]);
}
