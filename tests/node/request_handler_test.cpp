#include "manual_clock.h"
#include "request_handler.h"
#include "store_fixture.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace endiveusher;
using namespace endiveusher::node;
using namespace endiveusher::node::testing;
using namespace endiveusher::scheduler;
using std::chrono::milliseconds;

/// A handler that passes its records to an owner in the same process; the test decides when they
/// are stored.
TEST_GROUP(request_handler)
{
  manual_clock time;
  store_fixture* store = nullptr;
  event_log* log = nullptr;
  owner_client* ownerClient = nullptr;
  journal_writer* writer = nullptr;
  caller_record_writer* recordWriter = nullptr;
  request_handler* handler = nullptr;
  job_table jobTable;
  std::vector<caller_record_writer::done_callback> pendingStores;
  std::set<caller_record> unstored;
  std::vector<caller_response> answers;
  milliseconds timeout{ 3000 };
  bool storeLost = false;
  bool caughtUp = true;
  bool knowsJobs = true;
  bool endStored = true;
  /// Replies to the queries to the owner; used if queriesOwner is set.
  bool queriesOwner = false;
  bool tableIsAhead = true;
  std::vector<std::function<void(owner_answer &&)>> ownerReplies;

  void setup() override
  {
    store = new store_fixture;
    log = new event_log("test");
    ownerClient = new owner_client(store->mLoop, time, { .mAddress = "127.0.0.1:1" });
    writer = new journal_writer(store->mStore, time, { .mTopic = "journal", .mProducer = "d" });
    recordWriter = new caller_record_writer(
      time, store->mStore, *ownerClient, *writer, *log,
      [this](const journal_record& aRecord, const caller_record_writer::done_callback& aDone) {
        pendingStores.push_back(aDone);
        // Like on the owner, the job table is ahead of the journal.
        if (tableIsAhead) {
          jobTable.apply(aRecord, time.now());
        }
        return true;
      },
      [](const job_spec&) { return true; });
    makeHandler({});
  }
  void makeHandler(request_handler_options aOptions)
  {
    delete handler;
    handler = new request_handler(time, jobTable, *recordWriter, *log, std::move(aOptions));
    handler->setQueryOwner([this](job_id, const std::string&, auto aDone) {
      if (queriesOwner) {
        ownerReplies.push_back(std::move(aDone));
      }
      return queriesOwner;
    });
    handler->setIsEndStored([this](job_id) { return endStored; });
    handler->setIsStored(
      [this](const caller_record& aRecord) { return !unstored.contains(aRecord); });
    setCellStatus();
  }
  void teardown() override
  {
    delete handler;
    delete recordWriter;
    delete writer;
    delete ownerClient;
    delete log;
    delete store;
  }

  void setCellStatus(milliseconds aAge = milliseconds(0))
  {
    auto config = std::make_shared<cell_config>();
    config->mRoutes.push_back(
      { .mName = "r", .mHost = "h", .mPathPrefix = "/r/", .mPool = "p", .mMaxAttempts = 1 });
    config->mTeams.push_back({ .mName = "red", .mKeys = { "k1" } });
    config->mTeams.push_back({ .mName = "blue", .mKeys = { "k2" } });
    config->index();
    handler->setCellStatus({ .mConfig = config,
                             .mConfigAsOf = time.now() - aAge,
                             .mJournalAsOf = time.now() - aAge,
                             .mKnowsJobs = knowsJobs,
                             .mCaughtUp = caughtUp,
                             .mStoreLost = storeLost });
  }

  void call(platform::caller_request::verb aVerb, const std::string& aPath,
            const std::string& aKey = "k1",
            const std::string& aBody = R"({"spec":"x","steps":[{"count":1,"cpu":100}]})")
  {
    handler->handle(
      { .mVerb = aVerb, .mHost = "h", .mPath = aPath, .mKey = aKey, .mTimeout = timeout }, aBody,
      [this](caller_response&& aAnswer) { answers.push_back(std::move(aAnswer)); });
  }
  int lastStatus() const
  {
    return answers.empty() ? 0 : answers.back().mStatus;
  }

  static constexpr auto kSubmit = platform::caller_request::verb::submit;
  static constexpr auto kStatus = platform::caller_request::verb::status;
  static constexpr auto kCancel = platform::caller_request::verb::cancel;
  static constexpr const char* kPath = "/r/00000000000000aa";
};

TEST(request_handler, confirmsAJobWhenItIsStored)
{
  call(kSubmit, kPath);
  CHECK_EQUAL(0, answers.size());
  pendingStores[0](write_outcome::stored);
  CHECK_EQUAL(200, lastStatus());
  call(kStatus, kPath);
  STRCMP_EQUAL(R"({"state":"queued"})", answers.back().mBody.c_str());
}

// Guards against a loop that is behind and goes on to do the work of callers that have given up.
TEST(request_handler, answersRequestsThatHaveWaitedForTooLong)
{
  timeout = milliseconds(-1);
  call(kSubmit, kPath);
  CHECK_EQUAL(504, lastStatus());
  call(kCancel, kPath);
  CHECK_EQUAL(504, lastStatus());
  call(kStatus, kPath);
  CHECK_EQUAL(503, lastStatus());
  CHECK_EQUAL(3, answers.size());
  CHECK_EQUAL(0, pendingStores.size());
}

/// A daemon that has stored a job and has not read it yet.
TEST(request_handler, confirmsARepetitionOfAJobThatItHasNotReadYet)
{
  tableIsAhead = false;
  call(kSubmit, kPath);
  time.mNow += milliseconds(10);
  pendingStores[0](write_outcome::stored);
  call(kSubmit, kPath);
  CHECK_EQUAL(1, pendingStores.size());
  CHECK_EQUAL(200, lastStatus());
  STRCMP_EQUAL(R"({"state":"queued"})", answers.back().mBody.c_str());
}

TEST(request_handler, doesNotDenyAJobThatItHasNotReadYet)
{
  tableIsAhead = false;
  call(kSubmit, kPath);
  time.mNow += milliseconds(10);
  pendingStores[0](write_outcome::stored);
  call(kStatus, kPath);
  STRCMP_EQUAL(R"({"state":"queued"})", answers.back().mBody.c_str());
  // The owner has not read it either.
  queriesOwner = true;
  call(kStatus, kPath);
  ownerReplies[0]({ .mUnknownJob = true });
  STRCMP_EQUAL(R"({"state":"queued"})", answers.back().mBody.c_str());
  call(kStatus, kPath, "k2");
  ownerReplies[1]({ .mUnknownJob = true });
  CHECK(lastStatus() != 200);
}

TEST(request_handler, cancelsAJobThatItHasNotReadYet)
{
  tableIsAhead = false;
  call(kSubmit, kPath);
  time.mNow += milliseconds(10);
  pendingStores[0](write_outcome::stored);
  call(kCancel, kPath, "k2");
  CHECK_EQUAL(1, pendingStores.size());
  CHECK(lastStatus() != 200);
  call(kCancel, kPath);
  CHECK_EQUAL(2, pendingStores.size());
  pendingStores[1](write_outcome::stored);
  STRCMP_EQUAL(R"({"state":"cancelled"})", answers.back().mBody.c_str());
}

// Once the journal has been read behind it, only the table tells.
TEST(request_handler, deniesAStoredJobThatTheJournalDoesNotHold)
{
  tableIsAhead = false;
  call(kSubmit, kPath);
  pendingStores[0](write_outcome::stored);
  time.mNow += milliseconds(10);
  setCellStatus();
  call(kStatus, kPath);
  CHECK_EQUAL(410, lastStatus());
}

// Guards against a job that never starts after its route was removed and the owner has changed.
TEST(request_handler, storesWhatAJobNeedsOfItsRoute)
{
  call(kSubmit, kPath);
  const auto* accepted = jobTable.find(static_cast<job_id>(0xaa));
  CHECK(accepted != nullptr && accepted->mSpec.mAcceptedBy);
  CHECK_EQUAL("p", accepted->mSpec.mAcceptedBy->mPool);
}

// Guards against a confirmed job that is lost with the owner: the owner's table includes a job that
// another daemon has forwarded before the journal holds it.
TEST(request_handler, doesNotConfirmARepetitionBeforeTheJobIsStored)
{
  job_spec spec{ .mId = static_cast<job_id>(0xaa), .mRoute = "r", .mTeam = "red" };
  spec.mSteps.push_back({});
  jobTable.apply(job_submitted{ .mSpec = spec }, time.now());
  unstored.insert({ .mJob = spec.mId });
  call(kSubmit, kPath);
  CHECK_EQUAL(0, answers.size());
  pendingStores[0](write_outcome::stored);
  CHECK_EQUAL(200, lastStatus());
}

// Guards against callers that have to ask again for a job whose end is stored a moment later.
TEST(request_handler, showsTheEndOfAJobOnceItIsStored)
{
  call(kSubmit, kPath);
  pendingStores[0](write_outcome::stored);
  jobTable.apply(job_abandoned{ .mJob = static_cast<job_id>(0xaa) }, time.now());
  endStored = false;
  std::function<void()> waiting;
  handler->setAwaitEnd(
    [&waiting](job_id, std::function<void()> aAnswer) { waiting = std::move(aAnswer); });
  call(kStatus, kPath);
  CHECK_EQUAL(1, answers.size());
  CHECK(waiting != nullptr);
  endStored = true;
  waiting();
  CHECK_EQUAL(2, answers.size());
  STRCMP_EQUAL(R"({"state":"failed"})", answers.back().mBody.c_str());
}

// Guards against the same loss of a cancellation.
TEST(request_handler, doesNotConfirmARepeatedCancellationBeforeItIsStored)
{
  call(kSubmit, kPath);
  pendingStores[0](write_outcome::stored);
  jobTable.apply(job_cancelled{ .mJob = static_cast<job_id>(0xaa) }, time.now());
  unstored.insert({ .mJob = static_cast<job_id>(0xaa), .mCancel = true });
  call(kCancel, kPath);
  CHECK_EQUAL(1, answers.size());
  pendingStores[1](write_outcome::stored);
  CHECK_EQUAL(2, answers.size());
  CHECK_EQUAL(200, lastStatus());
}

// Guards against a confirmed cancellation that is lost with the owner: the owner's table includes
// the end of a job before the journal holds it, and the next owner may start its task again.
TEST(request_handler, doesNotConfirmACancellationByAnEndThatIsNotStored)
{
  call(kSubmit, kPath);
  pendingStores[0](write_outcome::stored);
  jobTable.apply(job_abandoned{ .mJob = static_cast<job_id>(0xaa) }, time.now());
  endStored = false;
  call(kCancel, kPath);
  CHECK_EQUAL(1, answers.size());
  pendingStores[1](write_outcome::stored);
  CHECK_EQUAL(2, answers.size());
  CHECK_EQUAL(200, lastStatus());
}

// Guards against a cancellation that is answered with 410, which confirms it, while the job goes
// on: the owner knows a job before this daemon has read of it.
TEST(request_handler, storesTheCancellationOfAJobThatOnlyTheOwnerKnows)
{
  queriesOwner = true;
  call(kCancel, kPath);
  CHECK_EQUAL(0, answers.size());
  CHECK_EQUAL(1, ownerReplies.size());
  ownerReplies[0]({ .mBody = R"({"state":"queued"})" });
  CHECK_EQUAL(1, pendingStores.size());
  pendingStores[0](write_outcome::stored);
  CHECK_EQUAL(200, lastStatus());
}

TEST(request_handler, answersTheCancellationOfAJobThatNobodyKnows)
{
  queriesOwner = true;
  call(kCancel, kPath);
  CHECK_EQUAL(1, ownerReplies.size());
  ownerReplies[0]({});
  CHECK_EQUAL(410, lastStatus());
  CHECK_EQUAL(0, pendingStores.size());
}

// Guards against a cancellation that is answered with 410 while the job goes on: the owner does not
// answer, and another daemon has stored the job after this one last read the journal.
TEST(request_handler, cancelsAJobThatIsReadAfterTheRequest)
{
  setCellStatus(milliseconds(100));
  call(kCancel, kPath);
  CHECK_EQUAL(0, answers.size());
  jobTable.apply(job_submitted{ .mSpec = { .mId = static_cast<job_id>(0xaa),
                                           .mRoute = "r",
                                           .mTeam = "red",
                                           .mSteps = { { .mCount = 1 } } } },
                 time.now());
  handler->tick(time.now());
  CHECK_EQUAL(1, pendingStores.size());
  pendingStores[0](write_outcome::stored);
  CHECK_EQUAL(1, answers.size());
  CHECK_EQUAL(200, lastStatus());
}

TEST(request_handler, deniesACancelledJobOnceTheJournalIsReadBehindTheRequest)
{
  setCellStatus(milliseconds(100));
  call(kCancel, kPath);
  time.mNow += milliseconds(50);
  setCellStatus(milliseconds(60));
  handler->tick(time.now());
  CHECK_EQUAL(0, answers.size());
  setCellStatus(milliseconds(50));
  handler->tick(time.now());
  CHECK_EQUAL(1, answers.size());
  CHECK_EQUAL(410, lastStatus());
  CHECK_EQUAL(0, pendingStores.size());
}

TEST(request_handler, confirmsNoCancellationOnAnOldViewAtTheCallersTimeout)
{
  setCellStatus(milliseconds(100));
  call(kCancel, kPath);
  time.mNow += milliseconds(2850);
  handler->tick(time.now());
  CHECK_EQUAL(1, answers.size());
  CHECK_EQUAL(503, lastStatus());
  call(kCancel, kPath);
  handler->answerWaiting();
  CHECK_EQUAL(2, answers.size());
  CHECK_EQUAL(503, lastStatus());
}

// Guards against a job that is reported as unknown because the job table is being loaded anew when
// a query to the owner fails.
TEST(request_handler, reportsNoUnknownJobWhileTheJournalIsRead)
{
  queriesOwner = true;
  call(kStatus, kPath);
  caughtUp = false;
  setCellStatus();
  CHECK_EQUAL(1, ownerReplies.size());
  ownerReplies[0]({});
  CHECK_EQUAL(503, lastStatus());
}

TEST(request_handler, answersARepetitionOfAStoredJobAtOnce)
{
  call(kSubmit, kPath);
  pendingStores[0](write_outcome::stored);
  call(kSubmit, kPath);
  CHECK_EQUAL(2, answers.size());
  CHECK_EQUAL(1, pendingStores.size());
}

// Guards against a rejection of a job that may be stored.
TEST(request_handler, reportsAnUnknownOutcomeAtTheCallersTimeout)
{
  call(kSubmit, kPath);
  time.mNow += milliseconds(2900);
  handler->tick(time.now());
  CHECK_EQUAL(504, lastStatus());
}

// Guards against a caller that is told that its job does not run, on the word of a later try, while
// the former one may still be stored.
TEST(request_handler, rejectsNoJobWhoseFormerTryMayBeStored)
{
  call(kSubmit, kPath);
  // The owner has stepped down, and the store refuses the direct append.
  store->mRefuse = 1;
  pendingStores[0](write_outcome::unknown);
  CHECK(store->runUntil([this] { return answers.size() == 1; }));
  CHECK_EQUAL(504, lastStatus());
  call(kSubmit, "/r/00000000000000bb");
  pendingStores[1](write_outcome::overloaded);
  CHECK_EQUAL(429, lastStatus());
  unstored.insert({ .mJob = static_cast<job_id>(0xaa) });
  call(kSubmit, kPath);
  pendingStores[2](write_outcome::overloaded);
  CHECK_EQUAL(504, lastStatus());
  call(kSubmit, kPath);
  pendingStores[3](write_outcome::refused);
  CHECK_EQUAL(504, lastStatus());
  storeLost = true;
  setCellStatus();
  call(kSubmit, kPath);
  CHECK_EQUAL(504, lastStatus());
  CHECK_EQUAL(4, pendingStores.size());
  // Nothing of the former tries can be under way any more.
  time.mNow += std::chrono::seconds(16);
  handler->tick(time.now());
  setCellStatus();
  call(kSubmit, kPath);
  CHECK_EQUAL(503, lastStatus());
}

TEST(request_handler, rejectsAtOnceWithARetryAfterTime)
{
  storeLost = true;
  setCellStatus();
  call(kSubmit, kPath);
  CHECK_EQUAL(503, lastStatus());
  CHECK(answers.back().mRetryAfter.has_value());
  CHECK_EQUAL(0, pendingStores.size());
}

TEST(request_handler, checksKeyRouteAndTeam)
{
  call(kSubmit, kPath, "nobody's");
  CHECK_EQUAL(401, lastStatus());
  call(kSubmit, "/other/00000000000000aa");
  CHECK_EQUAL(404, lastStatus());
  call(kSubmit, kPath);
  pendingStores[0](write_outcome::stored);
  call(kStatus, kPath, "k2");
  CHECK_EQUAL(410, lastStatus());
  call(kCancel, kPath, "k2");
  CHECK_EQUAL(410, lastStatus());
}

// Guards against a key or job that is reported as unknown because the cell status lacks the newest
// records.
TEST(request_handler, asksToRetryOnAnOldView)
{
  setCellStatus(milliseconds(2000));
  call(kSubmit, kPath, "new key");
  CHECK_EQUAL(503, lastStatus());
  call(kStatus, kPath);
  CHECK_EQUAL(503, lastStatus());
}

// Guards against a withdrawn key that is accepted by a daemon that cannot read of the withdrawal.
TEST(request_handler, rejectsKeysOnAViewThatIsTooOld)
{
  setCellStatus(milliseconds(3100));
  call(kSubmit, kPath);
  CHECK_EQUAL(503, lastStatus());
  CHECK_EQUAL(0, pendingStores.size());
}

TEST(request_handler, countsWaitingJobs)
{
  call(kSubmit, kPath);
  pendingStores[0](write_outcome::stored);
  call(kStatus, "/r/");
  STRCMP_EQUAL(R"({"waiting":1})", answers.back().mBody.c_str());
}

// Guards against the end of the daemon by the body of one caller, and against a job of which
// numbers are others than the caller's.
TEST(request_handler, answersJobsThatAreNestedOrOutOfRangeWith400)
{
  const std::string deep = std::string(1'000'000, '[') + std::string(1'000'000, ']');
  for (const auto& step : { R"({"after":)" + deep + "}", R"({"note":)" + deep + "}", deep,
                            std::string(R"({"cpu":1e300})"), std::string(R"({"count":-1})"),
                            std::string(R"({"cpu":18446744073709551615})") }) {
    answers.clear();
    call(kSubmit, kPath, "k1", R"({"steps":[)" + step + "]}");
    CHECK_EQUAL(400, lastStatus());
  }
  CHECK_EQUAL(0, pendingStores.size());
}

// Load pattern: the owner is behind. The caller is told at once, and when to come back.
TEST(request_handler, rejectsAJobThatTheOwnerTurnsAway)
{
  call(kSubmit, kPath);
  pendingStores[0](write_outcome::overloaded);
  CHECK_EQUAL(429, lastStatus());
  CHECK(answers.back().mRetryAfter.has_value());
}

TEST(request_handler, passesOnWhenTheOwnerCouldAcceptAJob)
{
  call(kSubmit, kPath);
  pendingStores[0]({ write_outcome::overloaded, std::chrono::seconds(7) });
  CHECK_EQUAL(429, lastStatus());
  CHECK(answers.back().mRetryAfter == std::chrono::seconds(7));
}

// Guards against 410 for a live job, by a daemon that does not follow the journal and whose query
// the owner has not answered.
TEST(request_handler, aDaemonWithoutTheJournalDeniesOnlyWhatTheOwnerDenies)
{
  knowsJobs = false;
  setCellStatus();
  queriesOwner = true;
  call(kStatus, kPath);
  ownerReplies[0]({});
  CHECK_EQUAL(503, lastStatus());
  call(kStatus, kPath);
  ownerReplies[1]({ .mUnknownJob = true });
  CHECK_EQUAL(410, lastStatus());
  queriesOwner = false;
  call(kStatus, kPath);
  CHECK_EQUAL(503, lastStatus());
}

// Guards against a caller that is told that its job never runs, while it does: the answer to the
// submission was lost, and the repetition reaches a daemon without the journal after the largest
// target has left.
TEST(request_handler, aRepetitionIsNotRejectedWhileTheJobRuns)
{
  knowsJobs = false;
  setCellStatus();
  queriesOwner = true;
  handler->setCapacity({ .mPools = { { "p", { { .mCpuMilli = 50 } } } } });
  call(kSubmit, kPath);
  CHECK_EQUAL(0, answers.size());
  ownerReplies[0]({ .mBody = R"({"state":"running"})" });
  CHECK_EQUAL(0, answers.size());
  pendingStores[0](write_outcome::stored);
  CHECK_EQUAL(200, lastStatus());
  jobTable.clear();
  call(kSubmit, kPath);
  ownerReplies[1]({ .mUnknownJob = true });
  CHECK_EQUAL(429, lastStatus());
  // Whether the job was accepted is not known.
  call(kSubmit, kPath);
  ownerReplies[2]({});
  CHECK_EQUAL(504, lastStatus());
  queriesOwner = false;
  call(kSubmit, kPath);
  CHECK_EQUAL(504, lastStatus());
  CHECK_EQUAL(1, pendingStores.size());
}

// Guards against a confirmed job that is lost with the owner, which knew it before the journal did,
// and against its rejection while the owner may be storing it.
TEST(request_handler, theOwnersWordDoesNotConfirmARepetition)
{
  knowsJobs = false;
  setCellStatus();
  queriesOwner = true;
  handler->setCapacity({ .mPools = { { "p", { { .mCpuMilli = 50 } } } } });
  call(kSubmit, kPath);
  ownerReplies[0]({ .mBody = R"({"state":"queued"})" });
  CHECK_EQUAL(0, answers.size());
  CHECK_EQUAL(1, pendingStores.size());
  pendingStores[0](write_outcome::refused);
  CHECK_EQUAL(504, lastStatus());
  // An end is shown only if the journal holds it, and with it the job.
  call(kSubmit, "/r/00000000000000bb");
  ownerReplies[1]({ .mBody = R"({"state":"completed"})" });
  CHECK_EQUAL(200, lastStatus());
  CHECK_EQUAL(1, pendingStores.size());
}

// Guards against the same by a daemon that follows the journal, but has not read of the job yet.
TEST(request_handler, aRepetitionIsNotRejectedBeforeTheJournalIsRead)
{
  queriesOwner = true;
  handler->setCapacity({ .mPools = { { "p", { { .mCpuMilli = 50 } } } } });
  call(kSubmit, kPath);
  CHECK_EQUAL(0, answers.size());
  ownerReplies[0]({ .mBody = R"({"state":"running"})" });
  CHECK_EQUAL(0, answers.size());
  pendingStores[0](write_outcome::stored);
  CHECK_EQUAL(200, lastStatus());
  jobTable.clear();
  call(kSubmit, kPath);
  ownerReplies[1]({ .mUnknownJob = true });
  CHECK_EQUAL(429, lastStatus());
}

// Guards against the same by the owner: its table includes a job that another daemon has forwarded,
// before the journal holds it.
TEST(request_handler, aRepetitionIsNotRejectedWhileTheJobIsBeingStored)
{
  job_spec spec{ .mId = static_cast<job_id>(0xaa), .mRoute = "r", .mTeam = "red" };
  spec.mSteps.push_back({});
  jobTable.apply(job_submitted{ .mSpec = spec }, time.now());
  unstored.insert({ .mJob = spec.mId });
  handler->setCapacity({ .mPools = { { "p", { { .mCpuMilli = 50 } } } } });
  call(kSubmit, kPath);
  CHECK_EQUAL(0, answers.size());
  pendingStores[0](write_outcome::stored);
  CHECK_EQUAL(200, lastStatus());
}

// Guards against the same if the outcome of the first try is not known.
TEST(request_handler, aRepetitionIsNotRejectedWhileItsFormerTryMayBeStored)
{
  knowsJobs = false;
  setCellStatus();
  call(kSubmit, kPath);
  store->mRefuse = 1;
  pendingStores[0](write_outcome::unknown);
  CHECK(store->runUntil([this] { return answers.size() == 1; }));
  CHECK_EQUAL(504, lastStatus());
  jobTable.clear();
  queriesOwner = true;
  handler->setCapacity({ .mPools = { { "p", { { .mCpuMilli = 50 } } } } });
  call(kSubmit, kPath);
  for (const auto& ownerReply : ownerReplies) {
    ownerReply({ .mUnknownJob = true });
  }
  CHECK_EQUAL(2, answers.size());
  CHECK_EQUAL(504, lastStatus());
}

// A daemon that knows the jobs, with no owner to ask, rejects at once what can never fit.
TEST(request_handler, rejectsAJobThatNeverFits)
{
  handler->setCapacity({ .mPools = { { "p", { { .mCpuMilli = 50 } } } } });
  call(kSubmit, kPath);
  CHECK_EQUAL(429, lastStatus());
  CHECK(answers.back().mRetryAfter.has_value());
}

// Guards against calls that wait in the queue of a daemon that stops, and are not answered before
// its connections are closed.
TEST(request_handler, answersCallsAtOnceWhenTheProcessIsAboutToEnd)
{
  call(kSubmit, kPath);
  handler->answerWaiting();
  CHECK_EQUAL(504, lastStatus());
  call(kSubmit, "/r/00000000000000bb");
  call(kCancel, kPath);
  call(kStatus, kPath);
  CHECK_EQUAL(4, answers.size());
  CHECK_EQUAL(504, answers[1].mStatus);
  CHECK_EQUAL(504, answers[2].mStatus);
  CHECK_EQUAL(503, answers[3].mStatus);
  CHECK_EQUAL(1, pendingStores.size());
}

// Guards against an owner that stores nothing more, because the store refuses one job as too large
// each time that it is repeated.
TEST(request_handler, rejectsAJobWhoseRecordTheStoreWouldRefuse)
{
  const auto bodyOf = [](std::size_t aBytes) {
    return R"({"spec":")" + std::string(aBytes, 'x') + R"(","steps":[{"count":1,"cpu":100}]})";
  };
  call(platform::caller_request::verb::submit, "/r/0000000000000001", "k1",
       bodyOf(platform::kMaxRecordBytes));
  CHECK_EQUAL(400, lastStatus());
  CHECK_EQUAL(0, pendingStores.size());
  call(platform::caller_request::verb::submit, "/r/0000000000000002", "k1",
       bodyOf(platform::kMaxRecordBytes - 1000));
  CHECK_EQUAL(1, pendingStores.size());
}

// Guards against submissions that wait for a slow store and take memory without a limit, also after
// their callers have left, and against rejections that are not true.
TEST(request_handler, recordsThatAreNotStoredAreLimited)
{
  const auto budget = std::make_shared<edges::memory_budget>(8192);
  makeHandler({ .mMaxRecordBytes = 5000, .mBudget = budget });
  tableIsAhead = false;
  const std::string body =
    R"({"spec":")" + std::string(400, 'x') + R"(","steps":[{"count":1,"cpu":100}]})";
  call(kSubmit, kPath, "k1", body);
  const auto one = budget->used();
  CHECK(one > 4 * body.size());
  call(kSubmit, "/r/00000000000000bb", "k1", body);
  CHECK_EQUAL(503, lastStatus());
  CHECK(answers.back().mRetryAfter.has_value());
  call(kSubmit, kPath, "k1", body);
  CHECK_EQUAL(1, answers.size());
  call(kSubmit, kPath, "k1", body);
  call(kSubmit, kPath, "k1", body);
  CHECK_EQUAL(504, lastStatus());
  call(kCancel, "/r/00000000000000cc");
  CHECK_EQUAL(503, lastStatus());
  CHECK_EQUAL(3, handler->counters().mNoMemory);
  time.mNow += timeout;
  handler->tick(time.now());
  CHECK_EQUAL(one, budget->used());
  CHECK_EQUAL(1, pendingStores.size());
  pendingStores.clear();
  CHECK_EQUAL(0, budget->used());
}

// Guards against a rejection of a record that the owner's table already holds.
TEST(request_handler, recordsOfTheTableAreNotRejectedForMemory)
{
  makeHandler({ .mMaxRecordBytes = 0 });
  jobTable.apply(job_submitted{ .mSpec = { .mId = static_cast<job_id>(0xaa), .mTeam = "red" } },
                 time.now());
  unstored.insert({ .mJob = static_cast<job_id>(0xaa) });
  call(kSubmit, kPath);
  CHECK_EQUAL(504, lastStatus());
  call(kCancel, kPath);
  CHECK_EQUAL(503, lastStatus());
}
