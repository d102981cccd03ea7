#include "kernel/src/job_log.h"
#include "kernel/src/retry_policy.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::internal;

namespace {

/// Answers the effects of one job_log from an in-memory stream.
struct log_fixture
{
  void run(duration aSpan)
  {
    const auto end = mNow + aSpan;
    while (mNow < end) {
      mNow += std::chrono::milliseconds(10);
      mLog.tick(1, mNow);
      for (auto& one : mLog.takeEffects()) {
        if (const auto* append = std::get_if<append_jobs_effect>(&one)) {
          ++mAppends;
          if (mStatus != append_status::rejected && !mLosesAppends) {
            for (const auto& record : append->mRecords) {
              mStream.push_back({ .mOffset = mStream.size(), .mRecord = record });
            }
          }
          mLog.handle(append_event{ .mAppendId = append->mAppendId, .mStatus = mStatus }, mNow);
        } else if (const auto* read = std::get_if<read_effect>(&one)) {
          jobs_page page{ .mEnd = mStream.size(), .mFirst = mFirst };
          for (auto at = std::max(read->mFrom, mFirst); at < mStream.size(); ++at) {
            page.mRecords.push_back(mStream[at]);
          }
          mLog.handle(jobs_read_event{ .mReadId = read->mReadId, .mPage = page }, mNow);
        }
      }
      mReadRecords += mLog.takeRecords().size();
    }
  }

  job_log mLog{ "d1" };
  time_point mNow{ std::chrono::seconds(10) };
  std::vector<stored_record<job_record>> mStream;
  log_offset mFirst = 0;
  append_status mStatus = append_status::stored;
  bool mLosesAppends = false;
  int mAppends = 0;
  std::size_t mReadRecords = 0;
};

} // namespace

TEST_GROUP(job_log){};

// Guards against more appends per second than the log accepts from all daemons together.
TEST(job_log, recordsWaitForTheAppendInFlight)
{
  log_fixture fixture;
  for (int i = 0; i < 1000; ++i) {
    fixture.mLog.append(ended_record{ .mRequest = std::to_string(i) });
  }
  fixture.run(std::chrono::milliseconds(100));
  CHECK_EQUAL(1, fixture.mAppends);
  CHECK_EQUAL(1000, fixture.mReadRecords);
  CHECK(fixture.mLog.idle());
}

// Guards against a record lost with an append that took no effect and had no answer.
TEST(job_log, anUnansweredAppendIsRepeatedOnlyIfTheRecordIsAbsent)
{
  log_fixture fixture;
  fixture.mStatus = append_status::unknown;
  fixture.mLosesAppends = true;
  fixture.mLog.append(ended_record{ .mRequest = "r" });
  fixture.run(std::chrono::milliseconds(100));
  CHECK_FALSE(fixture.mLog.idle());
  fixture.mLosesAppends = false;
  fixture.run(std::chrono::seconds(1));
  CHECK(fixture.mLog.idle());
  CHECK_EQUAL(1, fixture.mStream.size());
  CHECK(fixture.mStream.front().mRecord.mId == "d1/j1");
}

// Guards against a reader that stops at records that the log no longer retains.
TEST(job_log, readingStartsAtTheFirstRetainedOffset)
{
  log_fixture fixture;
  for (log_offset i = 0; i < 10; ++i) {
    fixture.mStream.push_back(
      { .mOffset = i, .mRecord = { .mId = std::to_string(i), .mBody = ended_record{} } });
  }
  fixture.mFirst = 6;
  fixture.run(std::chrono::seconds(2));
  CHECK_EQUAL(4, fixture.mReadRecords);
  CHECK(fixture.mLog.hasReadToEnd());
}

TEST_GROUP(retry_policy){};

// Guards against a failing job whose retries use the capacity of other jobs.
TEST(retry_policy, retriesStayWithinAFifthOfFirstAttempts)
{
  retry_budget budget;
  const time_point now{ std::chrono::seconds(10) };
  for (int i = 0; i < 400; ++i) {
    budget.countFirstAttempt("a", now);
  }
  int retries = 0;
  while (budget.take("a", now)) {
    ++retries;
  }
  CHECK_EQUAL(90, retries);
}

// Guards against tasks that failed together being retried together, and against unbounded delays.
TEST(retry_policy, backOffGrowsWithJitterUpToItsLargest)
{
  std::mt19937_64 random(1);
  const auto time = [&random](std::uint32_t aFailures) {
    return backOff(aFailures, std::chrono::milliseconds(100), std::chrono::seconds(30), random);
  };
  CHECK(time(1) >= std::chrono::milliseconds(50) && time(1) <= std::chrono::milliseconds(100));
  CHECK(time(4) >= std::chrono::milliseconds(400) && time(4) <= std::chrono::milliseconds(800));
  CHECK(time(60) >= std::chrono::seconds(15) && time(60) <= std::chrono::seconds(30));
  CHECK(time(5) != time(5));
}
