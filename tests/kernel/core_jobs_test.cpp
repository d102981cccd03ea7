#include "tests/kernel/core_cell.h"

#include "kernel/src/job_table.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

bool allAre(const job_status& aStatus, task_state aState)
{
  return !aStatus.mTasks.empty() &&
         std::all_of(aStatus.mTasks.begin(), aStatus.mTasks.end(),
                     [aState](const task_status& aTask) { return aTask.mState == aState; });
}

} // namespace

TEST_GROUP(core_jobs){};

// Guards against a kind of job that a single daemon does not run.
TEST(core_jobs, oneDaemonRunsAllKinds)
{
  core_cell cell;
  cell.add("d1");
  cell.addTarget("t1");
  cell.addTarget("t2");
  cell.start();
  const auto batch = cell.ticket("d1");
  const auto gang = cell.ticket("d1");
  const auto service = cell.ticket("d1");
  CHECK(cell.submit("d1", jobOf(batch, job_kind::batch, 3)).mClass == answer_class::ran);
  CHECK(cell.submit("d1", jobOf(gang, job_kind::gang, 10)).mClass == answer_class::ran);
  auto steady = jobOf(service, job_kind::service, 2);
  steady.mCommand = "run=100000ms";
  CHECK(cell.submit("d1", steady).mClass == answer_class::ran);
  cell.run(seconds(8));
  CHECK(allAre(cell.status("d1", batch), task_state::succeeded));
  CHECK(allAre(cell.status("d1", gang), task_state::succeeded));
  CHECK(allAre(cell.status("d1", service), task_state::running));
}

// Guards against tasks that stay queued at a full daemon while another has free capacity.
TEST(core_jobs, tasksAreDelegatedToMembersWithFreeCapacity)
{
  core_cell cell;
  cell.add("d1", "z1");
  cell.add("d2", "z2");
  cell.addTarget("t1", "z1", 2);
  cell.addTarget("t2", "z2", 8);
  cell.start();
  auto job = jobOf(cell.ticket("d1"), job_kind::batch, 10);
  job.mCommand = "run=20000ms";
  cell.submit("d1", job);
  cell.run(seconds(6));
  CHECK_EQUAL(10, cell.running());
  auto elsewhere = jobOf(cell.ticket("d1"), job_kind::gang, 12);
  elsewhere.mCommand = "run=100ms";
  cell.submit("d1", elsewhere);
  cell.run(seconds(2));
  CHECK_EQUAL(0, cell.starts(elsewhere.mRequest, 12));
}

// Guards against a gang that never starts because no single daemon has the capacity for it.
TEST(core_jobs, aGangIsSpreadOverDaemons)
{
  core_cell cell;
  cell.add("d1", "z1");
  cell.add("d2", "z2");
  cell.addTarget("t1", "z1", 4);
  cell.addTarget("t2", "z2", 4);
  cell.start();
  auto job = jobOf(cell.ticket("d1"), job_kind::gang, 8);
  cell.submit("d1", job);
  cell.run(seconds(6));
  CHECK(allAre(cell.status("d1", job.mRequest), task_state::succeeded));
  CHECK_EQUAL(8, cell.starts(job.mRequest, 8));
}

// Guards against cancelled tasks that keep running, and a message for each of many cancellations.
TEST(core_jobs, manyCancellationsSendFewMessages)
{
  core_cell cell;
  cell.add("d1");
  cell.add("d2");
  cell.addTarget("t1");
  cell.addTarget("t2");
  cell.start();
  std::vector<request_id> requests;
  for (int i = 0; i < 200; ++i) {
    auto job = jobOf(cell.ticket("d1"), job_kind::batch, 10);
    job.mCommand = "run=100000ms";
    requests.push_back(job.mRequest);
    cell.call("d1", submit_call{ .mKey = kKey, .mJob = job });
  }
  cell.run(seconds(2));
  CHECK_EQUAL(16, cell.running());
  const auto before = cell.mMessages;
  for (const auto& request : requests) {
    cell.call("d1", cancel_call{ .mKey = kKey, .mRequest = request });
  }
  cell.run(seconds(3));
  CHECK_EQUAL(0, cell.running());
  for (const auto& request : requests) {
    CHECK(allAre(cell.status("d1", request), task_state::cancelled));
  }
  CHECK(cell.mMessages - before < 200);
}

// Guards against services that are not restarted and batch tasks that are retried without limit.
TEST(core_jobs, servicesRestartAndFailingTasksEnd)
{
  core_cell cell;
  cell.add("d1");
  for (const auto* name : { "t1", "t2", "t3", "t4" }) {
    cell.addTarget(name);
  }
  cell.start();
  const auto service = cell.ticket("d1");
  cell.submit("d1", jobOf(service, job_kind::service));
  auto failing = jobOf(cell.ticket("d1"));
  failing.mCommand = "run=100ms exit=1";
  cell.submit("d1", failing);
  auto once = jobOf(cell.ticket("d1"));
  once.mCommand = "run=100ms exit=1";
  once.mIdempotent = false;
  cell.submit("d1", once);
  cell.run(seconds(60));
  CHECK(cell.starts(service, 1) > 3);
  CHECK(allAre(cell.status("d1", failing.mRequest), task_state::failed));
  CHECK(cell.starts(failing.mRequest, 1) >= 3);
  CHECK(allAre(cell.status("d1", once.mRequest), task_state::failed));
  CHECK_EQUAL(1, cell.starts(once.mRequest, 1));
}

// Guards against tasks that run twice or never when messages are lost, repeated or late.
TEST(core_jobs, lostAndRepeatedMessagesDoNotRepeatTasks)
{
  core_cell cell;
  cell.add("d1", "z1");
  cell.add("d2", "z2");
  cell.addTarget("t2", "z2");
  cell.start();
  std::mt19937_64 random(7);
  std::vector<peer_message> delegates;
  cell.mPasses = [&](const peer_message& aMessage) {
    if (std::holds_alternative<delegate>(aMessage.mBody)) {
      delegates.push_back(aMessage);
    }
    return random() % 3 != 0;
  };
  cell.mCopies = [&](const peer_message&) { return 1 + static_cast<int>(random() % 2); };
  auto job = jobOf(cell.ticket("d1"), job_kind::batch, 20);
  job.mIdempotent = false;
  cell.submit("d1", job);
  cell.run(seconds(20));
  CHECK(allAre(cell.status("d1", job.mRequest), task_state::succeeded));
  CHECK_EQUAL(20, cell.starts(job.mRequest, 20));
  CHECK_FALSE(delegates.empty());
  for (const auto& late : delegates) {
    cell.at("d2").handle(peer_event{ late }, cell.now());
  }
  cell.run(seconds(5));
  CHECK_EQUAL(20, cell.starts(job.mRequest, 20));
}

// Guards against unbounded memory use by outputs and results of ended jobs.
TEST(core_jobs, outputsAreBoundedAndOldResultsDropped)
{
  using namespace endiveusher::internal;
  CHECK_EQUAL(job_table::kMaxOutputBytes, boundedOutput(std::string(10'000, 'x')).size());
  job_table jobs;
  const time_point now{ seconds(10) };
  for (std::size_t i = 0; i < job_table::kMaxEnded + 10; ++i) {
    jobs.endTask(jobs.add(jobOf(std::to_string(i)), 0, now), 0, task_state::succeeded, now);
  }
  jobs.evict(now);
  CHECK_EQUAL(job_table::kMaxEnded, jobs.size());
  jobs.evict(now + job_table::kKeepEnded);
  CHECK_EQUAL(0, jobs.size());
}

// Guards against a daemon that stops before another member has its jobs and tasks.
TEST(core_jobs, shutdownHandsOffJobsAndTasks)
{
  core_cell cell;
  cell.add("d1");
  cell.add("d2");
  cell.addTarget("t1");
  cell.addTarget("t2");
  cell.start();
  auto job = jobOf(cell.ticket("d1"), job_kind::batch, 24);
  job.mIdempotent = false;
  job.mCommand = "run=4000ms";
  cell.submit("d1", job);
  cell.run(seconds(1));
  const auto waiting =
    cell.call("d1", wait_call{ .mKey = kKey, .mRequest = job.mRequest, .mTimeout = seconds(60) });
  cell.at("d1").handle(shutdown_event{}, cell.now());
  CHECK(cell.submit("d1", jobOf(cell.ticket("d1"))).mClass == answer_class::not_run);
  cell.run(seconds(10));
  CHECK(cell.mAnswers.contains(waiting));
  CHECK_EQUAL(1, cell.effects<stopped_effect>("d1"));
  cell.kill("d1");
  cell.run(seconds(60));
  const auto status = cell.status("d2", job.mRequest);
  CHECK(status.mEnded);
  CHECK(allAre(status, task_state::succeeded));
  CHECK_EQUAL(24, cell.starts(job.mRequest, 24));
}
