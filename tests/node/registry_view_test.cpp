#include "registry_view.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <cstdio>
#include <fmt/format.h>
#include <memory>
#include <string>
#include <unistd.h>

using namespace endiveusher;
using namespace endiveusher::node;
using namespace endiveusher::scheduler;

namespace {

class manual_clock : public endiveusher::clock
{
public:
  time_point now() const override { return mNow; }
  time_point mNow{ std::chrono::seconds(100) };
};

/// Returns what the log has buffered, by way of a temporary file as standard output.
std::string linesOf(event_log& aLog)
{
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::tmpfile(), &std::fclose);
  std::fflush(stdout);
  const int saved = ::dup(STDOUT_FILENO);
  ::dup2(::fileno(file.get()), STDOUT_FILENO);
  aLog.flush();
  ::dup2(saved, STDOUT_FILENO);
  ::close(saved);
  std::rewind(file.get());
  std::string text;
  std::array<char, 4096> part{};
  while (const auto size = std::fread(part.data(), 1, part.size(), file.get())) {
    text.append(part.data(), size);
  }
  return text;
}

int count(const std::string& aText, const std::string& aPart)
{
  int found = 0;
  for (auto at = aText.find(aPart); at != std::string::npos; at = aText.find(aPart, at + 1)) {
    ++found;
  }
  return found;
}

} // namespace

/// Targets that rewrite their entries in the registry.
TEST_GROUP(registry_view)
{
  manual_clock time;
  event_log* log = nullptr;
  registry_view* view = nullptr;
  int listed = 0;

  void setup() override
  {
    log = new event_log("test");
    view = new registry_view(*log, time,
                             { .mOnListed = [this](const target_entry&) { ++listed; },
                               .mOnUnlisted = [](const auto&) {} });
  }
  void teardown() override
  {
    delete view;
    delete log;
  }

  void write(const std::string& aCapacity, int aBorn = 1, const std::string& aId = "t1")
  {
    view->read(
      { platform::encodeKeyed(
        aId, fmt::format(R"({{"service":"p","addr":"10.0.0.1:1","zone":"a","state":"ready",)"
                         R"("born":{},"labels":["k","r1"],"capacity":{}}})",
                         aBorn, aCapacity)) },
      time.now());
  }
  /// Whether a job of one task is rejected as one that can never run.
  bool rejects(const resources& aNeeds) const
  {
    job_spec job;
    job.mSteps.push_back({ .mNeeds = aNeeds });
    return !unschedulableReason(job, { .mName = "r", .mPool = "p" }, nullptr, view->capacity())
              .empty();
  }
};

// Guards against a job that is rejected for a minute although it could run seconds later.
TEST(registry_view, admitsJobsThatFitIntoACapacityThatHasShrunk)
{
  write(R"({"cpu":8000,"mem_mb":4000})");
  write(R"({"cpu":1000,"mem_mb":4000})");
  write(R"({"cpu":8000,"mem_mb":500})");
  write(R"({"cpu":0,"mem_mb":0})");
  CHECK(!rejects({ .mCpuMilli = 8000, .mMemoryMb = 4000 }));
  CHECK(rejects({ .mCpuMilli = 8001, .mMemoryMb = 4000 }));
  CHECK_EQUAL(1, view->capacity().mPools.at("p").size());
}

// Guards against jobs that wait for a capacity of a former incarnation, which may be for good.
TEST(registry_view, forgetsTheCapacityOfFormerIncarnations)
{
  write(R"({"cpu":8000,"mem_mb":4000})", 1);
  write(R"({"cpu":1000,"mem_mb":4000})", 2);
  CHECK(rejects({ .mCpuMilli = 8000 }));
  write(R"({"cpu":8000,"mem_mb":4000})", 2);
  CHECK(!rejects({ .mCpuMilli = 8000 }));
}

// A field that an entry lacks counts as no capacity; the entry is usable otherwise.
TEST(registry_view, readsEntriesWithSomeFieldsOfTheCapacity)
{
  write(R"({"cpu":8000})");
  CHECK_EQUAL(1, listed);
  CHECK(!rejects({ .mCpuMilli = 8000 }));
  CHECK(rejects({ .mCpuMilli = 1000, .mMemoryMb = 1 }));
  write(R"({"mem_mb":4000,"gpu":2})");
  CHECK_EQUAL(0, view->targets().at("t1").mCapacity.mCpuMilli);
  CHECK(!rejects({ .mCpuMilli = 1000, .mMemoryMb = 1, .mAccelerators = 2 }));
}

// Guards against a decision whose input is in no log.
TEST(registry_view, logsChangesOfTheCapacity)
{
  write(R"({"cpu":8000,"mem_mb":4000})");
  write(R"({"cpu":8000,"mem_mb":4000})");
  CHECK_EQUAL(0, count(linesOf(*log), "target_capacity"));
  write(R"({"cpu":1000,"mem_mb":500,"gpu":1})");
  const auto lines = linesOf(*log);
  CHECK_EQUAL(1, count(lines, "target_capacity target=t1 old_cpu=8000 cpu=1000 old_mem=4000 "
                              "mem=500 old_gpu=0 gpu=1"));
}

// Guards against a log that is filled by targets whose capacity changes all the time, and against
// a last value that is never logged.
TEST(registry_view, logsTheCapacityOfATargetAtMostOnceASecond)
{
  write(R"({"cpu":8000,"mem_mb":4000})");
  for (int change = 1; change <= 20; ++change) {
    time.mNow += std::chrono::milliseconds(100);
    write(fmt::format(R"({{"cpu":{},"mem_mb":4000}})", 100 * change));
  }
  const auto lines = linesOf(*log);
  CHECK_EQUAL(2, count(lines, "target_capacity"));
  time.mNow += std::chrono::milliseconds(1000);
  write(R"({"cpu":2000,"mem_mb":4000})");
  CHECK_EQUAL(1, count(linesOf(*log), "cpu=2000 "));
}
