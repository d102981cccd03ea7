#include "front_desk.h"
#include "store_fixture.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <set>

using namespace endiveusher;
using namespace endiveusher::node;
using namespace endiveusher::node::testing;
using namespace endiveusher::scheduler;
using std::chrono::milliseconds;

namespace {

class manual_clock : public endiveusher::clock
{
public:
  time_point now() const override { return mNow; }
  time_point mNow{ std::chrono::seconds(100) };
};

} // namespace

/// A desk whose records go to an owner in the same process, which the test lets store.
TEST_GROUP(front_desk)
{
  manual_clock time;
  store_fixture* store = nullptr;
  event_log* log = nullptr;
  owner_link* link = nullptr;
  journal_writer* writer = nullptr;
  job_intake* intake = nullptr;
  front_desk* desk = nullptr;
  job_book book;
  std::vector<job_intake::done> handed;
  std::set<caller_record> unstored;
  std::vector<front_answer> answers;
  bool storeLost = false;

  void setup() override
  {
    store = new store_fixture;
    log = new event_log("test");
    link = new owner_link(store->mLoop, time, "127.0.0.1:1");
    writer = new journal_writer(store->mStore, time, { .mTopic = "journal", .mProducer = "d" });
    intake = new job_intake(time, store->mStore, *link, *writer, *log,
                            [this](const journal_record& aRecord, const job_intake::done& aDone) {
                              handed.push_back(aDone);
                              // As the owner does: the book is ahead of the journal.
                              book.apply(aRecord, time.now());
                              return true;
                            });
    desk = new front_desk(time, book, *intake, *log, {}, [this](const journal_record& aRecord) {
      book.apply(aRecord, time.now());
    });
    desk->setAskOwner([](job_id, const std::string&, auto) { return false; });
    desk->setEndStored([](job_id) { return true; });
    desk->setStored([this](const caller_record& aRecord) { return !unstored.contains(aRecord); });
    view();
  }
  void teardown() override
  {
    delete desk;
    delete intake;
    delete writer;
    delete link;
    delete log;
    delete store;
  }

  void view(milliseconds aAge = milliseconds(0))
  {
    auto config = std::make_shared<cell_config>();
    config->mRoutes.push_back(
      { .mName = "r", .mHost = "h", .mPathPrefix = "/r/", .mPool = "p", .mMaxAttempts = 1 });
    config->mTeams.push_back({ .mName = "red", .mKeys = { "k1" } });
    config->mTeams.push_back({ .mName = "blue", .mKeys = { "k2" } });
    config->index();
    desk->setView({ .mConfig = config,
                    .mConfigAsOf = time.now() - aAge,
                    .mJournalAsOf = time.now() - aAge,
                    .mCaughtUp = true,
                    .mStoreLost = storeLost });
  }

  void call(platform::front_call::verb aVerb, const std::string& aPath,
            const std::string& aKey = "k1")
  {
    desk->handle({ .mVerb = aVerb,
                   .mHost = "h",
                   .mPath = aPath,
                   .mKey = aKey,
                   .mPatience = milliseconds(3000) },
                 R"({"spec":"x","steps":[{"count":1,"cpu":100}]})",
                 [this](front_answer&& aAnswer) { answers.push_back(std::move(aAnswer)); });
  }
  int lastStatus() const
  {
    return answers.empty() ? 0 : answers.back().mStatus;
  }

  static constexpr auto kSubmit = platform::front_call::verb::submit;
  static constexpr auto kStatus = platform::front_call::verb::status;
  static constexpr auto kCancel = platform::front_call::verb::cancel;
  static constexpr const char* kPath = "/r/00000000000000aa";
};

TEST(front_desk, confirmsAJobWhenItIsStored)
{
  call(kSubmit, kPath);
  CHECK_EQUAL(0, answers.size());
  handed[0](write_outcome::stored);
  CHECK_EQUAL(200, lastStatus());
  call(kStatus, kPath);
  STRCMP_EQUAL(R"({"state":"queued"})", answers.back().mBody.c_str());
}

// Guards against an acknowledged job that is lost with the owner: the owner knows a job that
// another daemon has handed over before the journal holds it.
TEST(front_desk, doesNotConfirmARepetitionBeforeTheJobIsStored)
{
  job_spec spec{ .mId = static_cast<job_id>(0xaa), .mRoute = "r", .mTeam = "red" };
  spec.mSteps.push_back({});
  book.apply(job_submitted{ .mSpec = spec }, time.now());
  unstored.insert({ .mJob = spec.mId });
  call(kSubmit, kPath);
  CHECK_EQUAL(0, answers.size());
  handed[0](write_outcome::stored);
  CHECK_EQUAL(200, lastStatus());
}

// The same for a cancellation.
TEST(front_desk, doesNotConfirmARepeatedCancellationBeforeItIsStored)
{
  call(kSubmit, kPath);
  handed[0](write_outcome::stored);
  book.apply(job_cancelled{ .mJob = static_cast<job_id>(0xaa) }, time.now());
  unstored.insert({ .mJob = static_cast<job_id>(0xaa), .mCancel = true });
  call(kCancel, kPath);
  CHECK_EQUAL(1, answers.size());
  handed[1](write_outcome::stored);
  CHECK_EQUAL(2, answers.size());
  CHECK_EQUAL(200, lastStatus());
}

TEST(front_desk, answersARepetitionOfAStoredJobAtOnce)
{
  call(kSubmit, kPath);
  handed[0](write_outcome::stored);
  call(kSubmit, kPath);
  CHECK_EQUAL(2, answers.size());
  CHECK_EQUAL(1, handed.size());
}

// What may be stored is never called rejected.
TEST(front_desk, tellsAnUnknownOutcomeAtTheEndOfTheCallersTime)
{
  call(kSubmit, kPath);
  time.mNow += milliseconds(2900);
  desk->tick(time.now());
  CHECK_EQUAL(504, lastStatus());
}

TEST(front_desk, rejectsAtOnceWithATimeToComeBack)
{
  storeLost = true;
  view();
  call(kSubmit, kPath);
  CHECK_EQUAL(503, lastStatus());
  CHECK(answers.back().mRetryAfter.has_value());
  CHECK_EQUAL(0, handed.size());
}

TEST(front_desk, checksKeyRouteAndTeam)
{
  call(kSubmit, kPath, "nobody's");
  CHECK_EQUAL(401, lastStatus());
  call(kSubmit, "/other/00000000000000aa");
  CHECK_EQUAL(404, lastStatus());
  call(kSubmit, kPath);
  handed[0](write_outcome::stored);
  call(kStatus, kPath, "k2");
  CHECK_EQUAL(410, lastStatus());
  call(kCancel, kPath, "k2");
  CHECK_EQUAL(410, lastStatus());
}

// A view that may lack the newest configuration or job denies nothing.
TEST(front_desk, deniesNothingOnAnOldView)
{
  view(milliseconds(2000));
  call(kSubmit, kPath, "new key");
  CHECK_EQUAL(503, lastStatus());
  call(kStatus, kPath);
  CHECK_EQUAL(503, lastStatus());
}

// A withdrawn key must not work on a daemon that cannot hear of it.
TEST(front_desk, acceptsNoKeysOnAViewThatIsTooOld)
{
  view(milliseconds(3100));
  call(kSubmit, kPath);
  CHECK_EQUAL(503, lastStatus());
  CHECK_EQUAL(0, handed.size());
}

TEST(front_desk, countsWaitingJobs)
{
  call(kSubmit, kPath);
  handed[0](write_outcome::stored);
  call(kStatus, "/r/");
  STRCMP_EQUAL(R"({"waiting":1})", answers.back().mBody.c_str());
}
