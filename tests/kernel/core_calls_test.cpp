#include "tests/kernel/core_cell.h"

#include "kernel/src/daemon_core_impl.h"
#include "kernel/src/membership_impl.h"
#include "kernel/src/placer_definitions.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Instantiated by the kernel itself.
extern template class endiveusher::basic_daemon_core<all_guards>;
extern template class endiveusher::basic_membership<all_guards>;
extern template class endiveusher::basic_placer<all_guards>;

namespace {

struct without_request_ids : all_guards
{
  static constexpr bool kChecksRequestIds = false;
};
struct without_unknown : all_guards
{
  static constexpr bool kReportsUnknown = false;
};
struct without_freshness : all_guards
{
  static constexpr bool kChecksFreshness = false;
};

template<guard_policy Guards = all_guards>
struct pair_cell : core_cell<Guards>
{
  pair_cell()
  {
    this->add("d1");
    this->add("d2");
    this->addTarget("t1");
    this->addTarget("t2");
    this->start();
  }
};

/// Submits one plain id to two daemons at the same time; returns the number of starts of the task.
template<guard_policy Guards>
std::uint32_t startsOfOneIdSentTwice()
{
  pair_cell<Guards> cell;
  auto job = jobOf("order-1");
  job.mIdempotent = false;
  cell.call("d1", submit_call{ .mKey = kKey, .mJob = job });
  cell.call("d2", submit_call{ .mKey = kKey, .mJob = job });
  cell.run(seconds(5));
  return cell.starts("order-1", 1);
}

/// Submits a job while the log stores records but does not answer. Returns the class of the answer
/// and whether the task ran after the log was available again.
template<guard_policy Guards>
std::pair<answer_class, bool> answerWithoutLogAnswers()
{
  pair_cell<Guards> cell;
  cell.mLosesAppendAnswers = true;
  const auto id = cell.call("d1", submit_call{ .mKey = kKey, .mJob = jobOf("order-2") });
  cell.mLogDown = true;
  cell.run(seconds(4));
  cell.mLogDown = false;
  cell.mLosesAppendAnswers = false;
  cell.run(seconds(8));
  return { cell.mAnswers.at(id).mClass, cell.starts("order-2", 1) > 0 };
}

/// Withdraws the key while d2 is partitioned from the log and all peers; returns d2's answer to a
/// submission.
template<guard_policy Guards>
answer answerWithWithdrawnKey()
{
  pair_cell<Guards> cell;
  const auto ticket = cell.ticket("d2");
  cell.mWithoutLog.insert("d2");
  cell.mPasses = [](const peer_message&) { return false; };
  cell.publish({ withdraw_key{ internal::keyDigest(kKey) } }, "d1");
  cell.run(milliseconds(2500));
  return cell.submit("d2", jobOf(ticket));
}

} // namespace

TEST_GROUP(core_calls){};

// M8. Guards against a request that two daemons accept.
TEST(core_calls, aPlainIdRunsOnceWhereverItArrives)
{
  CHECK_EQUAL(1, startsOfOneIdSentTwice<all_guards>());
}

// Guards against a test of M8 that passes without the guard.
TEST(core_calls, aPlainIdRunsTwiceWithoutTheGuard)
{
  CHECK_EQUAL(2, startsOfOneIdSentTwice<without_request_ids>());
}

// M7. Guards against "not run" for a request whose record is in the log.
TEST(core_calls, lostLogAnswersAreAnsweredAsUnknown)
{
  const auto [answered, ran] = answerWithoutLogAnswers<all_guards>();
  CHECK(ran);
  CHECK(answered == answer_class::unknown);
}

// Guards against a test of M7 that passes without the guard.
TEST(core_calls, lostLogAnswersAreRefusedWithoutTheGuard)
{
  const auto [answered, ran] = answerWithoutLogAnswers<without_unknown>();
  CHECK(ran);
  CHECK(answered == answer_class::not_run);
}

// M3. Guards against a job accepted on a view of the configuration that may be out of date.
TEST(core_calls, aStaleDaemonAcceptsNothing)
{
  const auto answered = answerWithWithdrawnKey<all_guards>();
  CHECK(codeOf(answered) == "not_fresh");
  CHECK(answered.mClass == answer_class::unknown);
}

// Guards against a test of M3 that passes without the guard.
TEST(core_calls, aStaleDaemonAcceptsAWithdrawnKeyWithoutTheGuard)
{
  CHECK(answerWithWithdrawnKey<without_freshness>().mClass == answer_class::ran);
}

// Guards against a withdrawn key that is still accepted, and a key accepted for another team.
TEST(core_calls, keysAreChecked)
{
  pair_cell cell;
  cell.publish({ set_team{ .mTeam = "b" }, set_team{ .mTeam = "open", .mOpen = true } });
  cell.run(seconds(2));
  auto job = jobOf(cell.ticket("d1"));
  job.mTeam = "b";
  auto answered = cell.submit("d1", job);
  CHECK(codeOf(answered) == "key_of_other_team");
  CHECK(answered.mClass == answer_class::not_run);
  answered = cell.ask("d1", submit_call{ .mKey = "wrong", .mJob = job });
  CHECK(codeOf(answered) == "key_unknown");
  answered = cell.ask("d1", submit_call{ .mJob = job });
  CHECK(codeOf(answered) == "key_missing");
  job.mTeam = "open";
  CHECK(cell.ask("d1", submit_call{ .mJob = job }).mClass == answer_class::ran);
  cell.publish({ withdraw_key{ internal::keyDigest(kKey) } });
  cell.run(seconds(2));
  CHECK(codeOf(cell.submit("d2", jobOf(cell.ticket("d2")))) == "key_unknown");
  CHECK(codeOf(cell.ask("d1", show_call{ .mOperatorKey = kKey })) == "operator_key_unknown");
  CHECK(cell.ask("d1", show_call{ .mOperatorKey = kOperatorKey }).mClass == answer_class::ran);
}

// Guards against a retry that runs again, and a different request with the same id that gets the
// result of the first.
TEST(core_calls, theFirstRequestWithAnIdDecides)
{
  pair_cell cell;
  const auto ticket = cell.ticket("d1");
  CHECK(cell.submit("d1", jobOf(ticket)).mClass == answer_class::ran);
  CHECK(cell.submit("d2", jobOf(ticket)).mClass == answer_class::ran);
  auto other = jobOf(ticket);
  other.mCommand = "run=1ms";
  const auto answered = cell.submit("d2", other);
  CHECK(codeOf(answered) == "id_conflict");
  CHECK(answered.mClass == answer_class::unknown);
  cell.run(seconds(3));
  CHECK_EQUAL(1, cell.starts(ticket, 1));
  CHECK(cell.status("d2", ticket).mEnded);
}

// Guards against a ticket accepted by a daemon that did not issue it while the issuer is
// unresponsive.
TEST(core_calls, anUnresponsiveIssuerGivesUnknown)
{
  pair_cell cell;
  const auto ticket = cell.ticket("d1");
  cell.kill("d1", false);
  const auto answered = cell.submit("d2", jobOf(ticket));
  CHECK(codeOf(answered) == "decider_silent");
  CHECK(answered.mClass == answer_class::unknown);
  CHECK_EQUAL(0, cell.starts(ticket, 1));
}

// Guards against jobs that can never run and wait without an error to the caller.
TEST(core_calls, jobsThatCanNeverRunAreRefused)
{
  pair_cell cell;
  auto job = jobOf(cell.ticket("d1"));
  job.mPerTask.mCpuMilli = 1'000'000;
  auto answered = cell.submit("d1", job);
  CHECK(codeOf(answered) == "never_fits");
  CHECK(answered.mClass == answer_class::not_run);
  job = jobOf(job.mRequest);
  job.mZones = { "nowhere" };
  CHECK(codeOf(cell.submit("d1", job)) == "unknown_zone");
  cell.publish({ set_team{ .mTeam = "a", .mLimit = { .mTasks = 3 } } });
  cell.run(seconds(2));
  CHECK(codeOf(cell.submit("d1", jobOf(job.mRequest, job_kind::gang, 4))) == "limit_exceeded");
  CHECK(cell.submit("d1", jobOf(job.mRequest)).mClass == answer_class::ran);
}

// Guards against a late copy of a forwarded call that is accepted after it was refused.
TEST(core_calls, aRefusedForwardedCallIsNotAcceptedLater)
{
  pair_cell cell;
  const auto ticket = cell.ticket("d1");
  const submit_call wrong{ .mKey = "not granted yet", .mJob = jobOf(ticket) };
  const peer_message message{ .mFrom = "d2",
                              .mTo = "d1",
                              .mBody = forward_call{ .mCallId = 900, .mCall = wrong } };
  cell.at("d1").handle(peer_event{ message }, cell.now());
  cell.publish({ grant_key{ .mTeam = "a", .mKeyDigest = internal::keyDigest("not granted yet") } });
  cell.run(seconds(2));
  cell.at("d1").handle(peer_event{ message }, cell.now());
  cell.run(seconds(2));
  CHECK_EQUAL(0, cell.starts(ticket, 1));
}

// Guards against a wait that ends before both the job and the deadline, or does not end.
TEST(core_calls, waitReturnsAtTheEndOrTheDeadline)
{
  pair_cell cell;
  auto job = jobOf(cell.ticket("d1"));
  job.mCommand = "run=3s run=3000ms";
  cell.submit("d1", job);
  const auto early = cell.call(
    "d2", wait_call{ .mKey = kKey, .mRequest = job.mRequest, .mTimeout = milliseconds(500) });
  const auto late =
    cell.call("d1", wait_call{ .mKey = kKey, .mRequest = job.mRequest, .mTimeout = seconds(60) });
  cell.run(seconds(1));
  CHECK(cell.mAnswers.contains(early));
  CHECK_FALSE(std::get<job_status>(cell.mAnswers.at(early).mBody).mEnded);
  CHECK_FALSE(cell.mAnswers.contains(late));
  cell.run(seconds(5));
  CHECK(std::get<job_status>(cell.mAnswers.at(late).mBody).mEnded);
}

// Guards against an acknowledgement that reports a higher durability than the job has.
TEST(core_calls, acknowledgementsNameTheirDurability)
{
  pair_cell cell;
  const auto durabilityOf = [&cell](const request_id& aRequest) {
    return std::get<job_status>(cell.submit("d1", jobOf(aRequest)).mBody).mDurability;
  };
  CHECK(durabilityOf("plain") == durability::log);
  const auto first = cell.ticket("d1");
  const auto second = cell.ticket("d1");
  cell.mLogDown = true;
  cell.run(milliseconds(700));
  CHECK(durabilityOf(first) == durability::peer);
  cell.mPasses = [](const peer_message&) { return false; };
  CHECK(durabilityOf(second) == durability::memory);
}
