#include "end_waiters.h"

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

using namespace endiveusher;
using namespace endiveusher::node;
using scheduler::job_id;
using std::chrono::milliseconds;

TEST_GROUP(end_waiters)
{
  end_waiters waiters;
  std::set<job_id> stored;
  std::string answered;
  time_point now{ std::chrono::seconds(100) };

  void add(int aJob)
  {
    waiters.add(
      static_cast<job_id>(aJob), [this, aJob] { answered += std::to_string(aJob); }, now);
  }
  void tick(milliseconds aTime)
  {
    now += aTime;
    waiters.tick(now, [this](job_id aJob) { return stored.contains(aJob); });
  }
};

// Guards against callers that have to ask again for a job whose end is stored a moment later.
TEST(end_waiters, answersOnceTheEndIsStored)
{
  add(1);
  add(2);
  add(1);
  tick(milliseconds(5));
  STRCMP_EQUAL("", answered.c_str());
  stored.insert(static_cast<job_id>(1));
  tick(milliseconds(5));
  STRCMP_EQUAL("11", answered.c_str());
  tick(milliseconds(5));
  STRCMP_EQUAL("11", answered.c_str());
}

// Guards against callers that wait for as long as the store does not answer.
TEST(end_waiters, answersAfterTheLongestWait)
{
  add(1);
  tick(end_waiters::kMaxWait - milliseconds(1));
  STRCMP_EQUAL("", answered.c_str());
  tick(milliseconds(1));
  STRCMP_EQUAL("1", answered.c_str());
}

// Guards against callers that an owner which steps down leaves without an answer.
TEST(end_waiters, answersAll)
{
  add(1);
  add(2);
  waiters.answerAll();
  STRCMP_EQUAL("12", answered.c_str());
  tick(end_waiters::kMaxWait);
  STRCMP_EQUAL("12", answered.c_str());
}
