#include "journal_writer.h"
#include "store_fixture.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace endiveusher;
using namespace endiveusher::node;
using namespace endiveusher::node::testing;

namespace {

/// Number of a writer's second append under epoch 1.
constexpr std::uint64_t kSecondNumber = (std::uint64_t{ 1 } << 32U) + 2;

store_fixture::odd_answer outOfSequence(std::uint64_t aExpected)
{
  return { .mStatus = 409,
           .mCarriedOut = false,
           .mBody = R"({"reason":"seq","expected":)" + std::to_string(aExpected) + "}" };
}

} // namespace

TEST_GROUP(journal_writer)
{
  std::unique_ptr<store_fixture> store = std::make_unique<store_fixture>();
  std::unique_ptr<journal_writer> writer;

  void teardown() override
  {
    writer.reset();
    store.reset();
  }

  void open(std::uint64_t aEpoch, bool aRetryRefused = true, bool aSharedProducer = false)
  {
    writer = std::make_unique<journal_writer>(
      store->mStore, store->mClock,
      journal_writer_options{ .mTopic = "journal",
                              .mProducer = "owner",
                              .mEpoch = aEpoch,
                              .mRetryRefused = aRetryRefused,
                              .mSharedProducer = aSharedProducer });
  }

  write_outcome write(std::vector<std::string> aRecords)
  {
    std::optional<write_outcome> outcome;
    writer->write(std::move(aRecords), [&outcome](write_outcome aOne) { outcome = aOne; });
    CHECK(store->runUntil([&outcome] { return outcome.has_value(); },
                          [this] { writer->tick(store->mClock.now()); }));
    return *outcome;
  }

  std::size_t stored()
  {
    const std::lock_guard lock(store->mMutex);
    return store->mModel.end("journal");
  }
};

TEST(journal_writer, storesInOrder)
{
  open(1);
  CHECK(write({ "a", "b" }) == write_outcome::stored);
  CHECK(write({ "c" }) == write_outcome::stored);
  const std::lock_guard lock(store->mMutex);
  CHECK_EQUAL("c", store->mModel.read("journal", 2)->front());
}

// Guards against an append that the store treats as a repetition of one of an earlier epoch, and
// confirms without storing it.
TEST(journal_writer, storesTheFirstAppendsOfANewEpoch)
{
  open(1);
  CHECK(write({}) == write_outcome::stored);
  CHECK(write({ "a" }) == write_outcome::stored);
  open(2);
  CHECK(write({}) == write_outcome::stored);
  CHECK(write({ "b" }) == write_outcome::stored);
  CHECK_EQUAL(2, stored());
}

TEST(journal_writer, storesOnceIfTheAnswerIsLost)
{
  open(1);
  store->mLoseAnswers = 1;
  CHECK(write({ "a" }) == write_outcome::stored);
  CHECK_EQUAL(1, stored());
  CHECK(writer->repeats() > 0);
}

// Load pattern: a job of 13 steps of 4,096 tasks starts. Guards against an owner that stores
// nothing more, because the store refuses its append as too large each time that it is repeated.
TEST(journal_writer, storesWhatIsTooLargeForOneAppend)
{
  open(1);
  constexpr std::size_t kRecords = 53'248;
  std::vector<std::string> records;
  for (std::size_t record = 0; record < kRecords; ++record) {
    records.push_back(std::to_string(record) + std::string(40, '.'));
  }
  CHECK(write(records) == write_outcome::stored);
  const std::lock_guard lock(store->mMutex);
  CHECK(store->mModel.read("journal", 0) == records);
}

// The same for writes that wait for an append, each of which the store would take by itself.
TEST(journal_writer, storesWhatWaitsInAppendsThatTheStoreTakes)
{
  open(1);
  const std::array<std::size_t, 3> records{ 1, 9000, 15'000 };
  std::size_t written = 0;
  for (const auto count : records) {
    writer->write(
      std::vector<std::string>(count, std::string(100, 'r')),
      [&written](write_outcome aOne) { written += aOne == write_outcome::stored ? 1 : 0; });
  }
  CHECK(store->runUntil([&written, &records] { return written == records.size(); },
                        [this] { writer->tick(store->mClock.now()); }));
  CHECK_EQUAL(24'001, stored());
}

// Guards against records that are reported as not stored although the first of them are.
TEST(journal_writer, theOutcomeOfAWriteThatIsStoredInPartIsNotKnown)
{
  open(1, false);
  store->mOddAnswers = { { .mStatus = 503, .mCarriedOut = false } };
  CHECK(write(std::vector<std::string>(20, std::string(200'000, 'r'))) == write_outcome::unknown);
}

TEST(journal_writer, reportsARefusedAppend)
{
  open(1, false);
  store->mRefuse = 1;
  CHECK(write({ "a" }) == write_outcome::refused);
  CHECK_EQUAL(0, stored());
  CHECK(write({ "b" }) == write_outcome::stored);
}

// Guards against records that are reported as refused although they may be stored.
TEST(journal_writer, retriesUntilAnUncertainOutcomeIsKnown)
{
  open(1, false);
  store->mLoseAnswers = 1;
  std::optional<write_outcome> outcome;
  writer->write({ "a" }, [&outcome](write_outcome aOne) { outcome = aOne; });
  CHECK(store->runUntil([this] { return stored() == 1; }));
  {
    const std::lock_guard lock(store->mMutex);
    store->mRefuse = 1;
  }
  CHECK(store->runUntil([&outcome] { return outcome.has_value(); },
                        [this] { writer->tick(store->mClock.now()); }));
  CHECK(*outcome == write_outcome::stored);
  CHECK_EQUAL(1, stored());
}

// Guards against a record that is reported as refused although it is stored, and a later one that
// is reported as stored although it is not: it was sent under the same sequence number.
TEST(journal_writer, storesEachRecordOnceBesideUndefinedAnswers)
{
  open(1, false);
  for (const int status : { 500, 408, 302, 409 }) {
    const auto before = stored();
    store->mOddAnswers = { { .mStatus = status } };
    CHECK(write({ "a" }) == write_outcome::stored);
    CHECK(write({ "b" }) == write_outcome::stored);
    CHECK_EQUAL(before + 2, stored());
  }
}

// Guards against a stored record that is reported as not stored, and against the end of the writer,
// because a missing offset is taken for that of an older append.
TEST(journal_writer, anAnswerWithoutAnOffsetIsNone)
{
  open(1, false);
  CHECK(write({ "a" }) == write_outcome::stored);
  for (const char* body : { "{}", R"({"end":7})", R"({"offset":null,"end":7})" }) {
    const auto before = stored();
    store->mOddAnswers = { { .mStatus = 200, .mBody = body } };
    CHECK(write({ "b" }) == write_outcome::stored);
    CHECK_EQUAL(before + 1, stored());
  }
}

// Guards against records that are reported as stored because of a rejection that gives no reason.
TEST(journal_writer, aRejectionWithoutAReasonConfirmsNothing)
{
  open(1, false);
  CHECK(write({ "a" }) == write_outcome::stored);
  store->mOddAnswers = { { .mStatus = 502, .mCarriedOut = false },
                         { .mStatus = 409, .mCarriedOut = false } };
  CHECK(write({ "b" }) == write_outcome::stored);
  CHECK(write({ "c" }) == write_outcome::stored);
  CHECK_EQUAL(3, stored());
}

// Guards against a record that is reported as stored although the store has not taken its number,
// and against a writer that stores nothing more because it counts on from there.
TEST(journal_writer, storesWhatTheStoreHasNotTaken)
{
  open(1, false);
  CHECK(write({ "a" }) == write_outcome::stored);
  store->mOddAnswers = { { .mStatus = 500, .mCarriedOut = false }, outOfSequence(kSecondNumber) };
  CHECK(write({ "b" }) == write_outcome::stored);
  CHECK_EQUAL(2, stored());
  CHECK(write({ "c" }) == write_outcome::stored);
  CHECK_EQUAL(3, stored());
}

// The same for a store that does not know the producer any more.
TEST(journal_writer, numbersAnewWhereTheStoreExpectsAnotherNumber)
{
  open(1, false);
  CHECK(write({ "a" }) == write_outcome::stored);
  store->mOddAnswers = { outOfSequence(1) };
  CHECK(write({ "b" }) == write_outcome::stored);
  CHECK(write({ "c" }) == write_outcome::stored);
  CHECK_EQUAL(3, stored());
}

TEST(journal_writer, theNextExpectedNumberShowsThatAnAppendIsStored)
{
  open(1, false);
  CHECK(write({ "a" }) == write_outcome::stored);
  store->mOddAnswers = { { .mStatus = 500 }, outOfSequence(kSecondNumber + 1) };
  CHECK(write({ "b" }) == write_outcome::stored);
  CHECK_EQUAL(2, stored());
  CHECK(write({ "c" }) == write_outcome::stored);
  CHECK_EQUAL(3, stored());
}

// Guards against a record that is reported as stored by an answer that shows nothing of the kind.
TEST(journal_writer, withoutAUsableExpectedNumberTheOutcomeIsNotKnown)
{
  open(1, false);
  CHECK(write({ "a" }) == write_outcome::stored);
  for (const auto& answer :
       { store_fixture::odd_answer{
           .mStatus = 409, .mCarriedOut = false, .mBody = R"({"reason":"seq"})" },
         outOfSequence(std::uint64_t{ 1 } << 40U) }) {
    const auto before = stored();
    store->mOddAnswers = { { .mStatus = 500, .mCarriedOut = false }, answer };
    CHECK(write({ "b" }) == write_outcome::unknown);
    CHECK_EQUAL(before, stored());
    CHECK(write({ "c" }) == write_outcome::stored);
    CHECK_EQUAL(before + 1, stored());
  }
}

// Guards against an owner that goes on while the journal lacks one of its records: its epoch is
// that of its claim, so it cannot take the next one.
TEST(journal_writer, anOwnerOutOfSequenceStoresNothingMore)
{
  open(1, true, true);
  CHECK(write({ "a" }) == write_outcome::stored);
  store->mOddAnswers = { { .mStatus = 500, .mCarriedOut = false }, outOfSequence(kSecondNumber) };
  CHECK(write({ "b" }) == write_outcome::fenced);
  CHECK(write({ "c" }) == write_outcome::fenced);
  CHECK_EQUAL(1, stored());
}

// Guards against records that are reported as stored although the store takes them for repetitions:
// the first answer to a second writer under one epoch is lost.
TEST(journal_writer, aSecondWriterUnderOneEpochConfirmsNothing)
{
  open(1, true, true);
  CHECK(write({}) == write_outcome::stored);
  CHECK(write({ "a" }) == write_outcome::stored);
  CHECK(write({ "b" }) == write_outcome::stored);
  open(1, true, true);
  store->mLoseAnswers = 1;
  CHECK(write({}) == write_outcome::fenced);
  CHECK(write({ "c" }) == write_outcome::fenced);
  CHECK_EQUAL(2, stored());
}

// The store keeps no answer to an append without records, which only sets the epoch.
TEST(journal_writer, anUnansweredAppendWithoutRecordsHasSetTheEpoch)
{
  open(1, true, true);
  store->mOddAnswers = { { .mStatus = 500 },
                         { .mStatus = 409, .mCarriedOut = false, .mBody = R"({"reason":"seq"})" } };
  CHECK(write({}) == write_outcome::stored);
  CHECK(write({ "a" }) == write_outcome::stored);
  CHECK_EQUAL(1, stored());
}

TEST(journal_writer, stopsWhenAHigherEpochHasWritten)
{
  open(1);
  CHECK(write({ "a" }) == write_outcome::stored);
  auto former = std::move(writer);
  open(2);
  CHECK(write({}) == write_outcome::stored);
  writer = std::move(former);
  CHECK(write({ "late" }) == write_outcome::fenced);
  CHECK_EQUAL(1, stored());
}

// Guards against a caller that waits for its timeout because its record is never sent.
TEST(journal_writer, answersWritesAfterItIsFenced)
{
  open(1);
  auto former = std::move(writer);
  open(2);
  CHECK(write({ "a" }) == write_outcome::stored);
  writer = std::move(former);
  CHECK(write({ "late" }) == write_outcome::fenced);
  CHECK(write({ "later" }) == write_outcome::fenced);
  CHECK_EQUAL(1, stored());
}

// Guards against a malformed trim call, with which the journal would grow until the store is full.
TEST(journal_writer, trimmedRecordsAreGone)
{
  open(1);
  CHECK(write({ "a", "b", "c" }) == write_outcome::stored);
  std::optional<bool> deleted;
  store->mStore.trim("journal", 2, [&deleted](bool aDeleted) { deleted = aDeleted; });
  CHECK(store->runUntil([&deleted] { return deleted.has_value(); }));
  CHECK(*deleted);
  const std::lock_guard lock(store->mMutex);
  CHECK_EQUAL(2, store->mModel.first("journal"));
}
