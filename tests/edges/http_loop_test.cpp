#include "endiveusher/edges/http_loop.h"
#include "endiveusher/edges/http_server.h"
#include "endiveusher/edges/memory_budget.h"
#include "tests/clients/scripted_server.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace endiveusher::edges;
using namespace endiveusher::testing;
using std::chrono::milliseconds;

namespace {

/// Answers `/echo` immediately and holds every other call until release().
class holding_server
{
public:
  std::string address() const { return "127.0.0.1:" + std::to_string(mServer.port()); }

  std::size_t held()
  {
    const std::lock_guard lock(mMutex);
    return mHeld.size();
  }

  void release()
  {
    const std::lock_guard lock(mMutex);
    for (const auto& one : mHeld) {
      one.answer({ .mBody = "late" });
    }
    mHeld.clear();
  }

private:
  std::mutex mMutex;
  std::vector<responder> mHeld;
  http_server mServer{ {}, [this](const http_request& aRequest, const responder& aResponder) {
                        if (aRequest.mPath == "/echo") {
                          aResponder.answer({ .mBody = aRequest.mBody });
                        } else {
                          const std::lock_guard lock(mMutex);
                          mHeld.push_back(aResponder);
                        }
                      } };
};

/// Largest number of passes in a wait; reached only if the expected event is missing.
constexpr int kMaxPasses = 2000;

template<typename Condition>
bool runUntil(http_loop& aLoop, Condition&& aCondition)
{
  for (int pass = 0; pass < kMaxPasses; ++pass) {
    if (aCondition()) {
      return true;
    }
    aLoop.run(milliseconds(10));
  }
  return false;
}

} // namespace

TEST_GROUP(http_loop){};

// Load pattern: a heartbeat is held open at every target while orders are sent. Guards against held
// calls that block others, lose their answer, or receive the answer of another call.
TEST(http_loop, completesCallsWhileHundredsAreHeldOpen)
{
  constexpr std::size_t kHeld = 200;
  holding_server server;
  http_loop loop({ .mConnectionsPerAddress = 400 });
  std::size_t late = 0;
  for (std::size_t i = 0; i < kHeld; ++i) {
    loop.send(
      { .mMethod = "POST",
        .mAddress = server.address(),
        .mPath = "/hold",
        .mTimeout = milliseconds(20'000),
        .mDone = [&late](loop_reply&& aReply) { late += aReply.mBody == "late" ? 1 : 0; } });
  }
  CHECK(runUntil(loop, [&] { return server.held() == kHeld; }));
  for (int i = 0; i < 50; ++i) {
    std::string body;
    loop.send({ .mMethod = "POST",
                .mAddress = server.address(),
                .mPath = "/echo",
                .mBody = std::to_string(i),
                .mTimeout = milliseconds(20'000),
                .mDone = [&body](loop_reply&& aReply) { body = aReply.mBody; } });
    CHECK(runUntil(loop, [&body] { return !body.empty(); }));
    STRCMP_EQUAL(std::to_string(i).c_str(), body.c_str());
  }
  LONGS_EQUAL(0, late);
  server.release();
  CHECK(runUntil(loop, [&late] { return late == kHeld; }));
}

// Guards against a call that is never reported because its socket receives no data.
TEST(http_loop, reportsTimeoutOfUnansweredCall)
{
  holding_server server;
  http_loop loop;
  std::string error;
  bool answered = true;
  loop.send({ .mAddress = server.address(),
              .mPath = "/hold",
              .mTimeout = milliseconds(50),
              .mDone = [&](loop_reply&& aReply) {
                answered = aReply.mStatus.has_value();
                error = aReply.mError;
              } });
  CHECK(runUntil(loop, [&error] { return !error.empty(); }));
  CHECK_FALSE(answered);
}

// Guards against a process that ends because the use of one answer throws.
TEST(http_loop, goesOnAfterACallbackHasThrown)
{
  holding_server server;
  std::vector<std::string> errors;
  http_loop loop({ .mOnError = [&](const std::string& aAddress, const std::exception& aError) {
    errors.push_back(aAddress + " " + aError.what());
  } });
  const auto fail = [](loop_reply&& /*aReply*/) { throw std::out_of_range("no such step"); };
  loop.send({ .mAddress = server.address(), .mPath = "/echo", .mDone = fail });
  CHECK(runUntil(loop, [&errors] { return !errors.empty(); }));
  STRCMP_EQUAL((server.address() + " no such step").c_str(), errors.front().c_str());
  bool answered = false;
  loop.send({ .mAddress = server.address(),
              .mPath = "/echo",
              .mOnProgress =
                [&errors] {
                  if (errors.size() < 2) {
                    throw std::length_error("begun");
                  }
                },
              .mDone = [&answered](loop_reply&& aReply) { answered = aReply.ok(); } });
  CHECK(runUntil(loop, [&answered] { return answered; }));
  LONGS_EQUAL(2, errors.size());
}

// Guards against an exception that is lost because nobody is told of it.
TEST(http_loop, passesExceptionsOnWithoutAnErrorHandler)
{
  holding_server server;
  http_loop loop;
  loop.send({ .mAddress = server.address(), .mPath = "/echo", .mDone = [](loop_reply&& /*aReply*/) {
               throw std::out_of_range("no such step");
             } });
  CHECK_THROWS(std::out_of_range, runUntil(loop, [] { return false; }));
}

// Guards against a refused connection that is not reported as "nothing was sent".
TEST(http_loop, reportsRefusedConnections)
{
  std::string address;
  {
    holding_server server;
    address = server.address();
  }
  http_loop loop;
  bool refused = false;
  bool unsent = false;
  loop.send({ .mAddress = address, .mPath = "/echo", .mDone = [&](loop_reply&& aReply) {
               refused = aReply.mRefused;
               unsent = aReply.mUnsent;
             } });
  CHECK(runUntil(loop, [&refused] { return refused; }));
  CHECK(unsent);
}

// Guards against "nothing was sent" being reported for a request that the server received before it
// terminated: libcurl repeats a request whose reused connection is closed, and the repetition is
// refused.
TEST(http_loop, doesNotReportRepeatedRequestAsUnsent)
{
  scripted_server* running = nullptr;
  scripted_server server([&running](const received_request& aRequest) {
    if (aRequest.mTarget == "/last") {
      running->stopListening();
      return scripted_answer{ .mReaction = reaction::close };
    }
    return scripted_answer{ .mBody = "first" };
  });
  running = &server;
  http_loop loop;
  std::string body;
  loop.send({ .mAddress = server.address(),
              .mPath = "/first",
              .mDone = [&body](loop_reply&& aReply) { body = aReply.mBody; } });
  CHECK(runUntil(loop, [&body] { return !body.empty(); }));
  bool ended = false;
  bool unsent = true;
  loop.send({ .mMethod = "POST",
              .mAddress = server.address(),
              .mPath = "/last",
              .mBody = "record",
              .mDone = [&](loop_reply&& aReply) {
                ended = true;
                unsent = aReply.mUnsent;
              } });
  CHECK(runUntil(loop, [&ended] { return ended; }));
  LONGS_EQUAL(1, server.connections());
  CHECK_FALSE(unsent);
}

/// Answers the first request, closes the connection of the second one without an answer, and
/// rejects all others.
scripted_answer rejectCopies(const received_request& aRequest, int& aReceived)
{
  ++aReceived;
  if (aReceived == 2) {
    return { .mReaction = reaction::close };
  }
  return { .mStatus = aReceived == 1 ? 200 : 503, .mBody = aRequest.mBody };
}

/// Opens a connection, then makes the call; returns its reply.
loop_reply callOnReusedConnection(http_loop& aLoop, const scripted_server& aServer, loop_call aCall)
{
  bool opened = false;
  aLoop.send({ .mAddress = aServer.address(), .mPath = "/first", .mDone = [&opened](loop_reply&&) {
                opened = true;
              } });
  CHECK(runUntil(aLoop, [&opened] { return opened; }));
  std::optional<loop_reply> reply;
  aCall.mAddress = aServer.address();
  aCall.mDone = [&reply](loop_reply&& aReply) { reply = std::move(aReply); };
  aLoop.send(std::move(aCall));
  CHECK(runUntil(aLoop, [&reply] { return reply.has_value(); }));
  return *std::move(reply);
}

// Guards against a request that was carried out and is reported with the answer to a second copy.
TEST(http_loop, sendsOneCopyOfARequestWithEffects)
{
  int received = 0;
  scripted_server server(
    [&received](const received_request& aRequest) { return rejectCopies(aRequest, received); });
  http_loop loop;
  const auto reply = callOnReusedConnection(
    loop, server, { .mMethod = "POST", .mPath = "/run-start", .mBody = "start" });
  CHECK_FALSE(reply.mStatus.has_value());
  CHECK_FALSE(reply.mUnsent);
  CHECK(reply.mSentBytes > 0);
  STRCMP_EQUAL("the reused connection ended before the answer", reply.mError.c_str());
  LONGS_EQUAL(2, received);
}

// Guards against reads that fail whenever a server closes an idle connection.
TEST(http_loop, repeatsRequestsWithoutEffects)
{
  for (const loop_call& call :
       { loop_call{ .mPath = "/read" },
         loop_call{ .mMethod = "POST", .mPath = "/query", .mBody = "id", .mRepeatable = true } }) {
    int received = 0;
    scripted_server server(
      [&received](const received_request& aRequest) { return rejectCopies(aRequest, received); });
    http_loop loop;
    const auto reply = callOnReusedConnection(loop, server, call);
    CHECK(reply.mStatus == 503);
    LONGS_EQUAL(3, received);
  }
}

// Guards against a request that was permitted when it was handed over, but not any more when it is
// sent: the process was paused, or the loop was busy, in between.
TEST(http_loop, withholdsARequestThatIsNotPermittedAnyMore)
{
  int received = 0;
  scripted_server server([&received](const received_request& /*aRequest*/) {
    ++received;
    return scripted_answer{};
  });
  http_loop loop;
  bool permitted = true;
  std::optional<loop_reply> reply;
  const auto send = [&] {
    reply.reset();
    loop.send({ .mMethod = "POST",
                .mAddress = server.address(),
                .mPath = "/run-start",
                .mBody = "start",
                .mMaySend = [&permitted] { return permitted; },
                .mDone = [&reply](loop_reply&& aReply) { reply = std::move(aReply); } });
  };
  // On a new connection, and on a reused one.
  for (int connection = 0; connection < 2; ++connection) {
    permitted = true;
    send();
    permitted = false;
    CHECK(runUntil(loop, [&reply] { return reply.has_value(); }));
    CHECK_FALSE(reply->mStatus.has_value());
    CHECK(reply->mWithheld);
    CHECK(reply->mUnsent);
    LONGS_EQUAL(connection, received);
    permitted = true;
    send();
    CHECK(runUntil(loop, [&reply] { return reply.has_value(); }));
    CHECK(reply->mStatus == 200);
    CHECK_FALSE(reply->mWithheld);
  }
}

// Guards against a loop that keeps waiting although another thread has called wake().
TEST(http_loop, wakeFromAnotherThreadEndsWait)
{
  http_loop loop;
  std::thread waker([&loop] { loop.wake(); });
  // Takes an hour without the wake-up.
  loop.run(std::chrono::hours(1));
  waker.join();
}

// Load pattern: consecutive calls that fail immediately. Guards against sockets that are not polled
// while any call completes.
TEST(http_loop, pollsSocketsWhileOtherCallsFailImmediately)
{
  holding_server server;
  http_loop loop;
  bool ended = false;
  const std::function<void()> failAgain = [&] {
    loop.send({ .mAddress = "no address", .mPath = "/", .mDone = [&](loop_reply&& aReply) {
                 CHECK_FALSE(aReply.mStatus.has_value());
                 if (!ended) {
                   failAgain();
                 }
               } });
  };
  failAgain();
  std::string body;
  loop.send({ .mMethod = "POST",
              .mAddress = server.address(),
              .mPath = "/echo",
              .mBody = "answer",
              .mTimeout = milliseconds(60'000),
              .mDone = [&body](loop_reply&& aReply) { body = aReply.mBody; } });
  constexpr int kPasses = 200'000;
  for (int pass = 0; pass < kPasses && body.empty(); ++pass) {
    loop.run(milliseconds(10));
  }
  STRCMP_EQUAL("answer", body.c_str());
  ended = true;
  loop.run(milliseconds(0));
}

// Guards against calls sent in a callback that do not start until the next network activity.
TEST(http_loop, startsCallsSentInCallbacks)
{
  holding_server server;
  http_loop loop;
  std::string body;
  loop.send({ .mMethod = "POST",
              .mAddress = server.address(),
              .mPath = "/echo",
              .mBody = "first",
              .mDone = [&](loop_reply&& aReply) {
                loop.send({ .mMethod = "POST",
                            .mAddress = server.address(),
                            .mPath = "/echo",
                            .mBody = aReply.mBody + " second",
                            .mDone = [&body](loop_reply&& aNext) { body = aNext.mBody; } });
              } });
  CHECK(runUntil(loop, [&body] { return !body.empty(); }));
  STRCMP_EQUAL("first second", body.c_str());
}

// Guards against calls that a part of the addresses never completes: each multi handle has its own
// sockets and timers.
TEST(http_loop, answersAndTimesOutCallsToManyAddresses)
{
  constexpr int kAddresses = 64;
  std::mutex mutex;
  std::vector<responder> held;
  http_server server({ .mAddress = "0.0.0.0:0" },
                     [&](const http_request& aRequest, const responder& aResponder) {
                       if (aRequest.mPath == "/echo") {
                         aResponder.answer({ .mBody = aRequest.mBody });
                       } else {
                         const std::lock_guard lock(mutex);
                         held.push_back(aResponder);
                       }
                     });
  http_loop loop;
  int answered = 0;
  int timedOut = 0;
  for (int round = 0; round < 2; ++round) {
    for (int index = 1; index <= kAddresses; ++index) {
      const auto address = "127.0.0." + std::to_string(index) + ":" + std::to_string(server.port());
      loop.send({ .mMethod = "POST",
                  .mAddress = address,
                  .mPath = "/echo",
                  .mBody = address,
                  .mTimeout = milliseconds(5000),
                  .mDone = [&answered, address](loop_reply&& aReply) {
                    answered += aReply.mBody == address ? 1 : 0;
                  } });
      loop.send(
        { .mMethod = "POST",
          .mAddress = address,
          .mPath = "/held",
          .mTimeout = milliseconds(200),
          .mDone = [&timedOut](loop_reply&& aReply) { timedOut += aReply.mStatus ? 0 : 1; } });
    }
    CHECK(runUntil(loop, [&] {
      return answered == (round + 1) * kAddresses && timedOut == (round + 1) * kAddresses;
    }));
  }
}

// Guards against a call that is given up and still reports, and against others that are given up
// with it.
TEST(http_loop, cancelsOneCall)
{
  holding_server server;
  http_loop loop;
  std::vector<call_id> calls;
  std::vector<int> answered;
  for (int index = 0; index < 3; ++index) {
    calls.push_back(loop.send({ .mAddress = server.address(),
                                .mPath = "/held",
                                .mTimeout = milliseconds(5000),
                                .mDone = [&answered, index](loop_reply&& aReply) {
                                  CHECK(aReply.ok());
                                  answered.push_back(index);
                                } }));
  }
  CHECK(runUntil(loop, [&] { return server.held() == 3; }));
  loop.cancel(calls[1]);
  loop.cancel(calls[1]);
  server.release();
  CHECK(runUntil(loop, [&] { return answered.size() == 2; }));
  loop.cancel(calls[0]);
  for (int pass = 0; pass < 20; ++pass) {
    loop.run(milliseconds(1));
  }
  CHECK_EQUAL(2U, answered.size());
  CHECK(std::ranges::find(answered, 1) == answered.end());
}

// Guards against a call that ends another one whose answer has been read in the same pass.
TEST(http_loop, cancelsACallFromTheCallbackOfAnother)
{
  holding_server server;
  http_loop loop;
  std::vector<call_id> calls(8);
  int answered = 0;
  for (std::size_t index = 0; index < calls.size(); ++index) {
    calls[index] = loop.send({ .mAddress = server.address(),
                               .mPath = "/held",
                               .mTimeout = milliseconds(5000),
                               .mDone = [&, index](loop_reply&& /*aReply*/) {
                                 ++answered;
                                 for (std::size_t other = 0; other < calls.size(); ++other) {
                                   if (other != index) {
                                     loop.cancel(calls[other]);
                                   }
                                 }
                               } });
  }
  CHECK(runUntil(loop, [&] { return server.held() == calls.size(); }));
  server.release();
  CHECK(runUntil(loop, [&] { return answered > 0; }));
  for (int pass = 0; pass < 20; ++pass) {
    loop.run(milliseconds(1));
  }
  CHECK_EQUAL(1, answered);
}

// Guards against replies that are kept without a limit, and against trusted replies that fail
// because callers' requests have used up the budget.
TEST(http_loop, repliesAreChargedAndLimited)
{
  constexpr std::size_t kLimit = 400'000;
  const auto budget = std::make_shared<memory_budget>(kLimit);
  http_server server({}, [](const http_request& aRequest, const responder& aResponder) {
    aResponder.answer(
      { .mBody = std::string(aRequest.mPath == "/large" ? 500'000 : 150'000, 'x') });
  });
  http_loop loop({ .mMaxReplyBytes = kLimit, .mBudget = budget });
  const auto call = [&](const std::string& aPath) {
    std::optional<loop_reply> result;
    std::size_t charged = 0;
    loop.send({ .mAddress = "127.0.0.1:" + std::to_string(server.port()),
                .mPath = aPath,
                .mDone = [&](loop_reply&& aReply) {
                  charged = budget->used();
                  result = std::move(aReply);
                } });
    CHECK(runUntil(loop, [&] { return result.has_value(); }));
    CHECK(!result->ok() || charged >= 150'000);
    return *std::move(result);
  };
  CHECK(call("/").ok());
  CHECK_EQUAL(0, budget->used());
  const auto refused = call("/large");
  CHECK_FALSE(refused.mStatus.has_value());
  STRCMP_CONTAINS("memory limit", refused.mError.c_str());
  CHECK_EQUAL(1, loop.refusedReplies());
  CHECK_EQUAL(0, loop.replyBytes());
  memory_charge callers(budget);
  callers.resize(kLimit);
  CHECK(call("/").ok());
  CHECK_EQUAL(kLimit, budget->used());
}
