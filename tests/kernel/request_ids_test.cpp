#include "kernel/src/job_validation.h"
#include "kernel/src/request_ids.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::internal;

TEST_GROUP(request_ids){};

// Guards against tickets that are forwarded to the wrong daemon because a VM name contains dots.
TEST(request_ids, ticketsNameTheirIssuer)
{
  const auto parsed = parseTicket(formatTicket({ .mIssuer = "vm.1.0a", .mNumber = 12 }));
  CHECK(parsed.has_value());
  CHECK(parsed->mIssuer == "vm.1.0a");
  CHECK_EQUAL(12, parsed->mNumber);
  CHECK_FALSE(parseTicket("t.vm.012").has_value());
  CHECK_FALSE(parseTicket("t.vm.-1").has_value());
  CHECK_FALSE(parseTicket("order 12").has_value());
}

// Guards against key digests in another form than the one that operators publish.
TEST(request_ids, keyDigestIsLowerCaseHexSha256)
{
  CHECK(keyDigest("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against another request with the same id being treated as a retry.
TEST(request_ids, everyFieldChangesTheBodyDigest)
{
  const job_spec job{ .mRequest = "r", .mTeam = "a", .mZones = { "z1", "z2" }, .mCommand = "c" };
  const auto differs = [&job](auto aChange) {
    auto other = job;
    aChange(other);
    return bodyDigest(other) != bodyDigest(job);
  };
  CHECK(differs([](job_spec& aJob) { aJob.mTeam = "b"; }));
  CHECK(differs([](job_spec& aJob) { aJob.mTaskCount = 2; }));
  CHECK(differs([](job_spec& aJob) { aJob.mIdempotent = false; }));
  CHECK(differs([](job_spec& aJob) { aJob.mZones = { "z1z2" }; }));
  CHECK(differs([](job_spec& aJob) { aJob.mPerTask.mMemoryMb = 1; }));
  CHECK_FALSE(differs([](job_spec& aJob) { aJob.mRequest = "other"; }));
}

// Guards against sizes whose sums overflow and against jobs that exhaust the daemon's memory.
TEST(request_ids, fieldsOutOfRangeAreRefused)
{
  const auto refused = [](auto aChange) {
    job_spec job{ .mTeam = "a" };
    aChange(job);
    return checkFields(job).has_value();
  };
  CHECK_FALSE(refused([](job_spec&) {}));
  CHECK(refused([](job_spec& aJob) { aJob.mTaskCount = 0; }));
  CHECK(refused([](job_spec& aJob) { aJob.mTaskCount = 10'001; }));
  CHECK(refused([](job_spec& aJob) { aJob.mPerTask.mCpuMilli = -1; }));
  CHECK(refused([](job_spec& aJob) { aJob.mPerTask.mMemoryMb = std::int64_t{ 1 } << 60; }));
  CHECK(refused([](job_spec& aJob) { aJob.mPerTask.mSlots = 0; }));
  CHECK(refused([](job_spec& aJob) { aJob.mCommand.assign(64 * 1024 + 1, 'x'); }));
  CHECK(refused([](job_spec& aJob) { aJob.mStartWithin = std::chrono::milliseconds(-1); }));
}
