#include "endiveusher/edges/http_server.h"
#include "raw_client.h"

#include <netinet/tcp.h>
#include <sys/resource.h>

#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <mutex>
#include <optional>
#include <random>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace endiveusher::edges;
using std::chrono::milliseconds;

namespace {

/// Handler that holds requests until the test answers them.
class kept_requests
{
public:
  http_server::handler handler()
  {
    return [this](http_request aRequest, responder aResponder) {
      const std::lock_guard lock(mMutex);
      mRequests.push_back(std::move(aRequest));
      mResponders.push_back(std::move(aResponder));
      mChanged.notify_all();
    };
  }
  responder wait(std::size_t aIndex)
  {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, [&] { return mResponders.size() > aIndex; });
    return mResponders[aIndex];
  }
  http_request request(std::size_t aIndex)
  {
    const std::lock_guard lock(mMutex);
    return mRequests.at(aIndex);
  }
  std::size_t count()
  {
    const std::lock_guard lock(mMutex);
    return mRequests.size();
  }
  void dropResponders()
  {
    const std::lock_guard lock(mMutex);
    mResponders.clear();
  }

private:
  std::mutex mMutex;
  std::vector<http_request> mRequests;
  std::condition_variable mChanged;
  std::vector<responder> mResponders;
};

/// Answers requests with their path; after the answer to `/block`, holds the server's thread until
/// release().
class blocking_echo
{
public:
  http_server::handler handler()
  {
    return [this](const http_request& aRequest, const responder& aResponder) {
      aResponder.answer({ .mBody = aRequest.mPath });
      if (aRequest.mPath == "/block") {
        mReleased.get_future().wait();
      }
    };
  }
  void release() { mReleased.set_value(); }

private:
  std::promise<void> mReleased;
};

http_answer stopAnswer(std::string_view aMethod)
{
  return { .mStatus = 504, .mBody = "stopped " + std::string(aMethod) };
}

void echoPath(const http_request& aRequest, const responder& aResponder)
{
  aResponder.answer({ .mBody = aRequest.mPath });
}

bool contains(const std::string& aText, const char* aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

TEST_GROUP(http_server){};

// Guards against parts of a request that are not passed to the handler.
TEST(http_server, handlerReceivesCompleteRequest)
{
  kept_requests kept;
  http_server server({}, kept.handler());
  raw_client client(server.port());
  client.send("POST /a%2Fb/c?from=5&name=x%20y HTTP/1.1\r\nHost: t\r\nauthorization: bearer k-1\r\n"
              "Content-Length: 3\r\n\r\nxyz");
  kept.wait(0).answer({ .mStatus = 201, .mBody = "done" });
  STRCMP_EQUAL("done", client.receiveAnswer().c_str());
  LONGS_EQUAL(201, client.status());
  const auto request = kept.request(0);
  STRCMP_EQUAL("POST", request.mMethod.c_str());
  STRCMP_EQUAL("/a%2Fb/c", request.mPath.c_str());
  STRCMP_EQUAL("5", request.mQuery.at("from").c_str());
  STRCMP_EQUAL("x y", request.mQuery.at("name").c_str());
  STRCMP_EQUAL("k-1", request.mBearer.c_str());
  STRCMP_EQUAL("xyz", request.mBody.c_str());
}

// Guards against connections that cannot be used for a second request.
TEST(http_server, connectionIsReusedForSeveralRequests)
{
  http_server server({}, echoPath);
  raw_client client(server.port());
  for (int i = 0; i < 50; ++i) {
    const auto path = "/" + std::to_string(i);
    client.send(getRequest(path));
    STRCMP_EQUAL(path.c_str(), client.receiveAnswer().c_str());
  }
}

// Guards against a caller that waits indefinitely because its pipelined request was discarded.
TEST(http_server, pipeliningClosesConnectionAfterFirstAnswer)
{
  http_server server({}, echoPath);
  raw_client client(server.port());
  client.send(getRequest("/1") + getRequest("/2"));
  STRCMP_EQUAL("/1", client.receiveAnswer().c_str());
  CHECK(contains(client.mHead, "Connection: close"));
  CHECK(client.ended());
}

// Guards against a request that is discarded silently because the previous one is unanswered.
TEST(http_server, requestDuringAnotherClosesConnectionAfterAnswer)
{
  kept_requests kept;
  http_server server({ .mThreads = 1 }, kept.handler());
  raw_client client(server.port());
  client.send(getRequest("/1"));
  const auto first = kept.wait(0);
  client.send(getRequest("/2"));
  // The one thread reads the second request before the one of a later connection.
  raw_client later(server.port());
  later.send(getRequest("/3"));
  kept.wait(1);
  first.answer({ .mBody = "one" });
  STRCMP_EQUAL("one", client.receiveAnswer().c_str());
  CHECK(client.ended());
  LONGS_EQUAL(2, kept.count());
}

// Guards against Pistache's limit of 4,096 bytes, and against bodies truncated at the end of a TCP
// segment.
TEST(http_server, largeBodiesAreComplete)
{
  http_server server({ .mMaxRequestBytes = 1'000'000 },
                     [](const http_request& aRequest, const responder& aResponder) {
                       aResponder.answer({ .mBody = aRequest.mBody });
                     });
  raw_client client(server.port());
  std::string body(1'000'000, 'x');
  body[999'999] = 'y';
  client.send(postRequest("/", body));
  CHECK(client.receiveAnswer() == body);
}

// Guards against oversized requests that are rejected without an answer that states the reason.
TEST(http_server, tooLargeBodiesGetStatus413)
{
  http_server server({ .mMaxRequestBytes = 1000 }, echoPath);
  raw_client client(server.port());
  client.send(postRequest("/", std::string(1001, 'x')));
  const auto body = client.receiveAnswer();
  LONGS_EQUAL(413, client.status());
  CHECK_TEXT(contains(body, R"("class":"not_run")"), body.c_str());
  CHECK_TEXT(contains(body, R"("code":"request_too_large")"), body.c_str());
  CHECK(client.ended());
}

// Guards against requests that two HTTP implementations could parse differently.
TEST(http_server, malformedRequestsAreRejected)
{
  http_server server({}, echoPath);
  const std::pair<int, std::string> cases[] = {
    { 400, "nonsense\r\n\r\n" },
    { 400, "GET / HTTP/9.9\r\n\r\n" },
    { 400, "GARBAGE / HTTP/1.1\r\n\r\n" },
    { 400, "GET / HTTP/1.1\r\nno colon\r\n\r\n" },
    { 400, "GET / HTTP/1.1\r\nName : space\r\n\r\n" },
    { 400, "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n" },
    { 400, "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n" },
    { 400, "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab" },
    { 400, "GET /?a=%zz HTTP/1.1\r\n\r\n" },
    { 411, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
    { 431, "GET / HTTP/1.1\r\nLong: " + std::string(20'000, 'x') + "\r\n\r\n" },
  };
  for (const auto& [status, text] : cases) {
    raw_client client(server.port());
    client.send(text);
    const auto body = client.receiveAnswer();
    LONGS_EQUAL_TEXT(status, client.status(), text.substr(0, 60).c_str());
    CHECK_TEXT(contains(body, R"("class":"not_run")"), body.c_str());
    CHECK(client.ended());
  }
}

// Guards against callers that wait indefinitely for `100 Continue`.
TEST(http_server, expectationOfContinueIsAnswered)
{
  http_server server({}, echoPath);
  raw_client client(server.port());
  client.send("POST /c HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
  CHECK(client.receiveUntil("HTTP/1.1 100 Continue\r\n\r\n"));
  client.mReceived.clear();
  client.send("ab");
  STRCMP_EQUAL("/c", client.receiveAnswer().c_str());
}

// Guards against callers that stop reading and thereby block a server thread.
TEST(http_server, stalledReadersDoNotDelayOthers)
{
  const std::string large(6'000'000, 'z');
  http_server server({ .mThreads = 1, .mSendTimeout = milliseconds(600) },
                     [&](const http_request& aRequest, const responder& aResponder) {
                       aResponder.answer({ .mBody = aRequest.mPath == "/large" ? large : "small" });
                     });
  std::vector<std::unique_ptr<raw_client>> stalled;
  for (int i = 0; i < 8; ++i) {
    stalled.push_back(std::make_unique<raw_client>(server.port()));
    stalled.back()->send(getRequest("/large"));
  }
  for (int i = 0; i < 100; ++i) {
    raw_client other(server.port());
    other.send(getRequest("/"));
    STRCMP_EQUAL("small", other.receiveAnswer().c_str());
  }
  raw_client reader(server.port());
  reader.send(getRequest("/large"));
  CHECK(reader.receiveAnswer() == large);
  std::this_thread::sleep_for(milliseconds(1200));
  for (const auto& one : stalled) {
    STRCMP_EQUAL("truncated answer", one->receiveAnswer().c_str());
  }
}

// Guards against unread answers that exhaust memory.
TEST(http_server, unsentBytesAreBounded)
{
  const std::string large(6'000'000, 'z');
  std::promise<void> answered;
  http_server server({ .mMaxUnsentBytes = 1 },
                     [&](const http_request& /*aRequest*/, const responder& aResponder) {
                       aResponder.answer({ .mBody = large });
                       answered.set_value();
                     });
  raw_client client(server.port());
  client.send(getRequest("/"));
  // A caller that reads meanwhile may leave nothing unsent.
  answered.get_future().wait();
  STRCMP_EQUAL("truncated answer", client.receiveAnswer().c_str());
}

// Guards against callers that are delayed by a second because a burst of connections exceeds the
// listen queue, so that the system drops their first packets.
TEST(http_server, listenQueueHoldsABurstOfConnections)
{
  http_server server({}, echoPath);
  std::uint32_t limit = 0;
  for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
    const int fd = std::atoi(entry.path().filename().c_str());
    int listens = 0;
    socklen_t size = sizeof listens;
    sockaddr_in address{};
    socklen_t addressSize = sizeof address;
    tcp_info info{};
    socklen_t infoSize = sizeof info;
    if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 && listens != 0 &&
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &addressSize) == 0 &&
        ntohs(address.sin_port) == server.port() &&
        ::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &infoSize) == 0) {
      limit = info.tcpi_sacked; // Of a listening socket, the longest queue.
    }
  }
  CHECK(limit >= 1000);
}

// Guards against an answer above the size limit that is sent in part.
TEST(http_server, tooLargeAnswersAreReplaced)
{
  http_server server({ .mMaxAnswerBytes = 10 },
                     [](const http_request& /*aRequest*/, const responder& aResponder) {
                       aResponder.answer({ .mBody = "12345678901" });
                     });
  raw_client client(server.port());
  client.send(getRequest("/"));
  const auto body = client.receiveAnswer();
  LONGS_EQUAL(500, client.status());
  CHECK_TEXT(contains(body, R"("class":"unknown")"), body.c_str());
}

// Guards against a late answer that is sent to a later connection with the same descriptor.
TEST(http_server, lateAnswersAreNotSentToOtherCallers)
{
  kept_requests kept;
  http_server server({ .mThreads = 1 }, kept.handler());
  for (std::size_t i = 0; i < 20; ++i) {
    auto gone = std::make_unique<raw_client>(server.port());
    gone->send(getRequest("/gone"));
    const auto late = kept.wait(2 * i);
    std::mutex mutex;
    std::condition_variable changed;
    bool disconnected = false;
    late.onDisconnect([&] {
      const std::lock_guard lock(mutex);
      disconnected = true;
      changed.notify_all();
    });
    gone.reset();
    {
      std::unique_lock lock(mutex);
      changed.wait(lock, [&] { return disconnected; });
    }
    raw_client next(server.port());
    next.send(getRequest("/next"));
    const auto wanted = kept.wait(2 * i + 1);
    CHECK_FALSE(late.answer({ .mBody = "late" }));
    CHECK(wanted.answer({ .mBody = "wanted" }));
    CHECK_FALSE(wanted.answer({ .mBody = "second" }));
    STRCMP_EQUAL("wanted", next.receiveAnswer().c_str());
  }
}

// Guards against answers sent to the wrong caller while connections are opened and closed.
TEST(http_server, everyCallerGetsItsOwnAnswerUnderChurn)
{
  kept_requests kept;
  http_server server({}, kept.handler());
  constexpr std::size_t kThreads = 6;
  constexpr std::size_t kRequests = 300;
  std::thread answering([&] {
    std::mt19937 engine(3);
    for (std::size_t i = 0; i < kThreads * kRequests; ++i) {
      const auto next = kept.wait(i);
      if (engine() % 4 == 0) {
        std::this_thread::sleep_for(std::chrono::microseconds(engine() % 500));
      }
      next.answer({ .mBody = kept.request(i).mPath + std::string(engine() % 3000, '.') });
    }
  });
  std::atomic<int> wrong = 0;
  std::vector<std::thread> callers;
  for (std::size_t t = 0; t < kThreads; ++t) {
    callers.emplace_back([&, t] {
      std::mt19937 engine(static_cast<unsigned>(t));
      std::optional<raw_client> client;
      for (std::size_t i = 0; i < kRequests; ++i) {
        if (!client) {
          client.emplace(server.port());
        }
        const auto path = "/" + std::to_string(t) + "-" + std::to_string(i);
        client->send(getRequest(path));
        if (engine() % 3 == 0) {
          // The request must arrive, otherwise the answering thread waits for it indefinitely.
          ::shutdown(client->socket(), SHUT_WR);
          client.reset();
          continue;
        }
        auto body = client->receiveAnswer();
        body.erase(std::min(body.find('.'), body.size()));
        wrong += body != path ? 1 : 0;
      }
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  answering.join();
  LONGS_EQUAL(0, wrong.load());
}

// Guards against an abandoned request whose caller gets no answer.
TEST(http_server, abandonedRequestsAreAnswered)
{
  kept_requests kept;
  http_server server({}, kept.handler());
  raw_client client(server.port());
  client.send(getRequest("/"));
  kept.wait(0);
  kept.dropResponders();
  const auto body = client.receiveAnswer();
  LONGS_EQUAL(500, client.status());
  CHECK_TEXT(contains(body, R"("class":"unknown")"), body.c_str());
}

// Guards against idle or slowly sending connections that delay others.
TEST(http_server, idleAndSlowConnectionsDoNotDelayOthers)
{
  http_server server(
    { .mThreads = 1, .mReceiveTimeout = milliseconds(400), .mIdleTimeout = milliseconds(300) },
    echoPath);
  std::vector<std::unique_ptr<raw_client>> idle;
  for (int i = 0; i < 100; ++i) {
    idle.push_back(std::make_unique<raw_client>(server.port()));
  }
  raw_client trickling(server.port());
  trickling.send("GET / HT");
  for (int i = 0; i < 100; ++i) {
    raw_client other(server.port());
    other.send(getRequest("/x"));
    STRCMP_EQUAL("/x", other.receiveAnswer().c_str());
  }
  trickling.receiveAnswer();
  LONGS_EQUAL(408, trickling.status());
  for (const auto& one : idle) {
    CHECK(one->ended());
  }
}

// Guards against an unbounded number of connections that exhausts the file descriptors.
TEST(http_server, tooManyConnectionsAreRefused)
{
  http_server server({ .mMaxConnections = 2 }, echoPath);
  raw_client first(server.port());
  raw_client second(server.port());
  first.send(getRequest("/1"));
  second.send(getRequest("/2"));
  first.receiveAnswer();
  second.receiveAnswer();
  raw_client third(server.port());
  const auto body = third.receiveAnswer();
  LONGS_EQUAL(503, third.status());
  // An earlier copy of a request that was not read may have run on another daemon.
  CHECK_TEXT(contains(body, R"("class":"unknown")"), body.c_str());
  first.send(getRequest("/again"));
  STRCMP_EQUAL("/again", first.receiveAnswer().c_str());
}

// Guards against a graceful shutdown that loses pending answers.
TEST(http_server, stopCompletesPendingRequests)
{
  kept_requests kept;
  http_server server({}, kept.handler());
  raw_client held(server.port());
  raw_client later(server.port());
  held.send(getRequest("/held"));
  const auto pending = kept.wait(0);
  std::thread stopping([&] { server.stop(milliseconds(20'000)); });
  // Before stop() takes effect, requests are passed to the handler.
  std::this_thread::sleep_for(milliseconds(100));
  later.send(getRequest("/later"));
  later.receiveAnswer();
  LONGS_EQUAL(503, later.status());
  pending.answer({ .mBody = "held" });
  STRCMP_EQUAL("held", held.receiveAnswer().c_str());
  stopping.join();
  CHECK(held.ended());
  CHECK_FALSE(pending.answer({ .mBody = "again" }));
}

// Guards against a request that has arrived when the server stops, and is not read in time by a
// thread that is held up.
TEST(http_server, stopAnswersRequestsThatAreNotReadYet)
{
  blocking_echo echo;
  http_server server({ .mThreads = 1 }, echo.handler());
  raw_client blocking(server.port());
  raw_client waiting(server.port());
  waiting.send(getRequest("/first"));
  STRCMP_EQUAL("/first", waiting.receiveAnswer().c_str());
  blocking.send(getRequest("/block"));
  STRCMP_EQUAL("/block", blocking.receiveAnswer().c_str());
  waiting.send(getRequest("/second"));
  std::thread stopping([&] { server.stop(milliseconds(20'000)); });
  std::this_thread::sleep_for(milliseconds(100));
  echo.release();
  const auto body = waiting.receiveAnswer();
  stopping.join();
  CHECK_FALSE(body.starts_with("no answer"));
  LONGS_EQUAL(503, waiting.status());
}

// Guards against requests whose connections end without an answer because their handler is behind
// at the end of a stop.
TEST(http_server, stopAnswersRequestsThatTheHandlerHolds)
{
  kept_requests kept;
  http_server server({ .mStopAnswer = stopAnswer }, kept.handler());
  raw_client get(server.port());
  raw_client post(server.port());
  get.send(getRequest("/"));
  kept.wait(0);
  post.send(postRequest("/", "body"));
  const auto held = kept.wait(1);
  std::atomic<bool> givenUp = false;
  held.onDisconnect([&] { givenUp = true; });
  const auto report = server.stop(milliseconds(50));
  STRCMP_EQUAL("stopped GET", get.receiveAnswer().c_str());
  LONGS_EQUAL(504, get.status());
  STRCMP_EQUAL("stopped POST", post.receiveAnswer().c_str());
  CHECK(contains(post.mHead, "Connection: close"));
  CHECK(post.ended());
  CHECK(givenUp);
  CHECK_FALSE(held.answer({ .mBody = "late" }));
  LONGS_EQUAL(2, report.mUnanswered);
  LONGS_EQUAL(0, report.mUnread);
  LONGS_EQUAL(0, report.mUnsent);
}

// Guards against a request that has arrived, and whose connection ends without an answer because
// the server's thread is held up for longer than the stop may take.
TEST(http_server, stopAnswersRequestsThatItsThreadDoesNotRead)
{
  blocking_echo echo;
  http_server server({ .mThreads = 1, .mStopAnswer = stopAnswer }, echo.handler());
  raw_client blocking(server.port());
  raw_client waiting(server.port());
  waiting.send(getRequest("/first"));
  STRCMP_EQUAL("/first", waiting.receiveAnswer().c_str());
  blocking.send(getRequest("/block"));
  STRCMP_EQUAL("/block", blocking.receiveAnswer().c_str());
  waiting.send(getRequest("/second"));
  std::thread stopping([&] { server.stop(milliseconds(50)); });
  const auto body = waiting.receiveAnswer();
  echo.release();
  stopping.join();
  STRCMP_EQUAL("stopped ", body.c_str());
  LONGS_EQUAL(504, waiting.status());
}

// Guards against a request on a connection that is accepted, and that no thread of the server has
// taken over when it stops.
TEST(http_server, stopAnswersRequestsOnConnectionsThatNoThreadHas)
{
  blocking_echo echo;
  http_server server({ .mThreads = 1, .mStopAnswer = stopAnswer }, echo.handler());
  raw_client blocking(server.port());
  blocking.send(getRequest("/block"));
  STRCMP_EQUAL("/block", blocking.receiveAnswer().c_str());
  raw_client waiting(server.port());
  waiting.send(getRequest("/first"));
  std::this_thread::sleep_for(milliseconds(100));
  std::thread stopping([&] { server.stop(milliseconds(50)); });
  std::this_thread::sleep_for(milliseconds(200));
  echo.release();
  const auto body = waiting.receiveAnswer();
  stopping.join();
  STRCMP_EQUAL("stopped ", body.c_str());
}

// Guards against a stop that cuts off a request of which a part has been read.
TEST(http_server, stopAnswersRequestsThatAreReadInPart)
{
  http_server server({ .mStopAnswer = stopAnswer }, echoPath);
  raw_client client(server.port());
  const auto request = postRequest("/", std::string(1000, 'x'));
  client.send(request.substr(0, 500));
  std::this_thread::sleep_for(milliseconds(100));
  std::thread stopping([&] { server.stop(milliseconds(20'000)); });
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(client.send(request.substr(500)));
  const auto body = client.receiveAnswer();
  stopping.join();
  STRCMP_EQUAL("stopped POST", body.c_str());
}

// Guards against a request that has arrived when the idle timeout of its connection ends.
TEST(http_server, idleTimeoutKeepsConnectionsWithUnreadRequests)
{
  blocking_echo echo;
  http_server server({ .mThreads = 1, .mIdleTimeout = milliseconds(300) }, echo.handler());
  raw_client blocking(server.port());
  raw_client waiting(server.port());
  waiting.send(getRequest("/first"));
  STRCMP_EQUAL("/first", waiting.receiveAnswer().c_str());
  blocking.send(getRequest("/block"));
  STRCMP_EQUAL("/block", blocking.receiveAnswer().c_str());
  waiting.send(getRequest("/second"));
  std::this_thread::sleep_for(milliseconds(600));
  echo.release();
  STRCMP_EQUAL("/second", waiting.receiveAnswer().c_str());
}

// Guards against sockets that remain open after their connection or server has ended.
TEST(http_server, stoppedServersLeakNoSockets)
{
  const auto sockets = [] {
    std::size_t count = 0;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
      std::error_code gone;
      count += read_symlink(entry.path(), gone).string().starts_with("socket:") ? 1 : 0;
    }
    return count;
  };
  const auto before = sockets();
  for (int i = 0; i < 5; ++i) {
    http_server server({}, echoPath);
    raw_client client(server.port());
    client.send(getRequest("/"));
    client.receiveAnswer();
  }
  LONGS_EQUAL(before, sockets());
}

// Guards against an error whose body is left out because the request before it was a HEAD: the
// caller waits for the announced bytes, and takes the answer for one that was cut off.
TEST(http_server, errorAfterAHeadRequestHasItsBody)
{
  http_server server(
    {}, [](const http_request&, const responder& aResponder) { aResponder.answer({}); });
  raw_client client(server.port());
  client.send("HEAD /x HTTP/1.1\r\nHost: t\r\n\r\n");
  CHECK(client.receiveUntil("\r\n\r\n"));
  client.send("GET /x HTTP/9\r\n\r\n");
  CHECK(client.receiveUntil("malformed_request"));
}

// Guards against a connection that line breaks keep open without a request.
TEST(http_server, lineBreaksDoNotProlongAnIdleConnection)
{
  http_server server(
    { .mIdleTimeout = std::chrono::milliseconds(400) },
    [](const http_request&, const responder& aResponder) { aResponder.answer({}); });
  raw_client client(server.port());
  bool open = true;
  for (int sent = 0; sent < 40 && open; ++sent) {
    open = client.send("\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  CHECK_FALSE(open);
}

// Guards against a server that spins while it can accept no connection, and takes each descriptor
// that is freed, so that other parts of the process get none.
TEST(http_server, acceptingIsPausedWhileNoDescriptorIsLeft)
{
  http_server server({}, [](const http_request&, const responder& aResponder) {
    aResponder.answer({ .mBody = "ok" });
  });
  rlimit former{};
  ::getrlimit(RLIMIT_NOFILE, &former);
  rlimit lowered = former;
  lowered.rlim_cur = 200;
  ::setrlimit(RLIMIT_NOFILE, &lowered);
  std::vector<int> taken;
  for (int next = ::dup(0); next >= 0; next = ::dup(0)) {
    taken.push_back(next);
  }
  for (int tries = 0; tries < 4000 && server.acceptPauses() == 0; ++tries) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  CHECK_EQUAL(1, server.acceptPauses());
  // Descriptors were held back for this socket; the connection waits to be accepted.
  raw_client client(server.port());
  CHECK(client.send("GET /x HTTP/1.1\r\nHost: t\r\n\r\n"));
  CHECK_EQUAL(0, server.connections());
  for (const int one : taken) {
    ::close(one);
  }
  STRCMP_EQUAL("ok", client.receiveAnswer().c_str());
  ::setrlimit(RLIMIT_NOFILE, &former);
}
