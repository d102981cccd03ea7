#include "election.h"
#include "endiveusher/node/cell_node.h"
#include "endiveusher/platform/messages.h"
#include "explain_api.h"
#include "peer_api.h"
#include "snapshots.h"
#include "store_fixture.h"
#include "tests/edges/raw_client.h"

#include <CppUTest/TestHarness.h>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

using namespace endiveusher;
using namespace endiveusher::node;
using namespace endiveusher::node::testing;
using std::chrono::milliseconds;

namespace {

/// An owner and advice service that answers hellos at once, and no other call.
class silent_owner
{
public:
  std::string address() const { return "127.0.0.1:" + std::to_string(mServer.port()); }
  /// Whether the daemon that asks is to write the snapshots.
  std::atomic<bool> mWritesSnapshots = false;
  /// Status of the answers to queries for jobs; there is none if it is 0.
  std::atomic<std::uint16_t> mStatusOfJobs = 0;
  /// Whether it answers forwarded records that it is not the owner, so that they are appended
  /// directly.
  std::atomic<bool> mRefusesRecords = false;
  /// Number of requests for a path.
  int count(std::string_view aPath)
  {
    const std::lock_guard lock(mMutex);
    return mCounts[std::string(aPath)];
  }
  std::optional<std::string> lastHello()
  {
    const std::lock_guard lock(mMutex);
    return mLastHello;
  }

private:
  std::mutex mMutex;
  std::vector<edges::responder> mUnanswered;
  std::optional<std::string> mLastHello;
  std::map<std::string, int> mCounts;
  edges::http_server mServer{
    {},
    [this](const edges::http_request& aRequest, const edges::responder& aResponder) {
      const std::lock_guard lock(mMutex);
      ++mCounts[aRequest.mPath];
      if (aRequest.mPath == kPeerHelloPath) {
        mLastHello = decodeHello(aRequest.mBody)->mAddress;
        aResponder.answer({ .mBody = encodeHelloReply({ .mWritesSnapshots = mWritesSnapshots }) });
        return;
      }
      if (aRequest.mPath == kPeerStorePath && mRefusesRecords) {
        const auto records = decodeForwardedRecords(aRequest.mBody);
        aResponder.answer(
          { .mBody = std::string(records->size(), static_cast<char>(forward_result::refused)) });
        return;
      }
      if (aRequest.mPath == kPeerStatusPath && mStatusOfJobs != 0) {
        aResponder.answer({ .mStatus = mStatusOfJobs.load() });
        return;
      }
      mUnanswered.push_back(aResponder);
    }
  };
};

/// A full pipe in place of the standard output, so that a thread that writes to it is held up until
/// the destructor.
class unread_output
{
public:
  unread_output() : mOutput(::dup(STDOUT_FILENO))
  {
    CHECK_EQUAL(0, ::pipe(mPipe.data()));
    ::fcntl(mPipe[1], F_SETFL, O_NONBLOCK);
    while (::write(mPipe[1], "", 1) > 0) {
    }
    ::fcntl(mPipe[1], F_SETFL, 0);
    ::dup2(mPipe[1], STDOUT_FILENO);
    ::close(mPipe[1]);
  }
  ~unread_output()
  {
    ::dup2(mOutput, STDOUT_FILENO);
    ::close(mOutput);
    std::array<char, 4096> skipped;
    while (::read(mPipe[0], skipped.data(), skipped.size()) > 0) {
    }
    ::close(mPipe[0]);
  }
  unread_output(const unread_output&) = delete;
  unread_output& operator=(const unread_output&) = delete;

private:
  const int mOutput;
  std::array<int, 2> mPipe{};
};

std::uint16_t unusedPort()
{
  const edges::http_server server({}, [](auto, auto) {});
  return server.port();
}

} // namespace

/// A follower of an owner that does not answer its calls.
TEST_GROUP(cell_node)
{
  store_fixture* store = nullptr;
  silent_owner* owner = nullptr;
  cell_node* follower = nullptr;
  std::uint16_t port = 0;
  std::uint16_t peerPort = 0;
  std::atomic<bool> stopped = false;
  std::atomic<bool> deleted = false;

  void setup() override
  {
    store = new store_fixture;
    owner = new silent_owner;
    appendToStore(std::string(platform::kOperatorTopic),
                  platform::encodeKeyed("config", R"({"version":1,"services":[{"name":"p"}],
      "routes":[{"name":"r","host":"h","path_prefix":"/r/","service":"p","public":true}]})"));
    appendOwnerRecord(owner_record::kind::claim);
    startFollower();
  }
  void teardown() override
  {
    delete follower;
    delete owner;
    delete store;
  }

  void startFollower(double aCores = 1.0, std::chrono::seconds aRetention = std::chrono::minutes(5),
                     milliseconds aShutdownPeriod = milliseconds(6000))
  {
    port = unusedPort();
    peerPort = unusedPort();
    follower =
      new cell_node({ .mNode = "follower",
                      .mIp = "127.0.0.1",
                      .mCallerAddress = "127.0.0.1:" + std::to_string(port),
                      .mReadinessAddress = "127.0.0.1:0",
                      .mPeerPort = peerPort,
                      .mStoreAddress = "127.0.0.1:" + std::to_string(store->mServer.port()),
                      .mAdviceAddress = owner->address(),
                      .mShutdownPeriod = aShutdownPeriod,
                      .mRecordRetention = aRetention,
                      .mCores = aCores });
    follower->start([this] { stopped = true; });
  }

  void appendToStore(const std::string& aTopic, const std::string& aRecord)
  {
    const std::lock_guard lock(store->mMutex);
    store->mModel.append({ .mTopic = aTopic, .mRecords = { aRecord } });
  }
  void appendOwnerRecord(owner_record::kind aKind)
  {
    appendToStore(
      "owner",
      encode(owner_record{
        .mKind = aKind, .mNode = "owner", .mIncarnation = 1, .mPeerAddress = owner->address() }));
  }
  /// Waits until aDone returns true; returns false if it does not within 10 s.
  static bool waitUntil(const std::function<bool()>& aDone)
  {
    for (int turn = 0; turn < 100 && !aDone(); ++turn) {
      std::this_thread::sleep_for(milliseconds(100));
    }
    return aDone();
  }
  /// Renews the ownership until aDone returns true; returns false if it does not within 10 s.
  bool renewUntil(const std::function<bool()>& aDone)
  {
    for (int turn = 0; turn < 100 && !aDone(); ++turn) {
      appendOwnerRecord(owner_record::kind::renewal);
      std::this_thread::sleep_for(milliseconds(100));
    }
    return aDone();
  }
  /// Sends a request on a new connection; returns the status of the answer, 0 if the connection
  /// ended without one, and -1 if no request could be sent.
  int call(const std::string& aMethod) const
  {
    edges::raw_client client(port);
    if (!client.send(aMethod + " /r/00000000000000aa HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 8000\r\n"
                               "Content-Length: 33\r\nConnection: close\r\n\r\n"
                               R"({"steps":[{"count":1,"cpu":100}]})")) {
      return -1;
    }
    pollfd waiting{ .fd = client.socket(), .events = POLLIN, .revents = 0 };
    while (::poll(&waiting, 1, 20) == 0) {
      if (deleted) {
        return -1; // The connection was never accepted.
      }
    }
    client.receiveAnswer();
    return client.status();
  }
  /// Returns the state of the job of call(), as this daemon answers it; empty if it does not.
  std::string stateOfJob() const
  {
    edges::raw_client client(port);
    client.send("GET /r/00000000000000aa HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const auto answer = client.receiveAnswer();
    const auto body = nlohmann::json::parse(answer, nullptr, false);
    return body.is_object() ? body.value("state", "") : "";
  }
  /// Sends a request of another daemon; returns the status of the answer.
  int post(std::string_view aPath, const std::string& aBody) const
  {
    edges::raw_client client(peerPort);
    client.send("POST " + std::string(aPath) + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                std::to_string(aBody.size()) + "\r\nConnection: close\r\n\r\n" + aBody);
    client.receiveAnswer();
    return client.status();
  }
  static std::string explainCall(std::string_view aPath, const std::string& aHost = "h")
  {
    const nlohmann::json call{ { "host", aHost },
                               { "path", "/r/00000000000000aa" },
                               { "body", R"({"steps":[{"count":1,"cpu":100}]})" } };
    return edges::postRequest(std::string(aPath), call.dump());
  }
  /// Calls for an explanation; returns status and answer.
  std::string explain(std::string_view aPath, const std::string& aHost = "h") const
  {
    edges::raw_client client(peerPort);
    client.send(explainCall(aPath, aHost));
    const auto answer = client.receiveAnswer();
    return std::to_string(client.status()) + answer;
  }
  bool isOwner() const
  {
    edges::raw_client client(peerPort);
    client.send("GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    return client.receiveUntil("endiveusher_owner 1\n");
  }
  /// Stops the follower while three callers send requests, and returns the number of requests whose
  /// connections ended without an answer, not at once.
  int stopUnderRequests(const std::string& aMethod)
  {
    std::atomic<int> unanswered = 0;
    std::array<std::jthread, 3> callers;
    for (auto& caller : callers) {
      caller = std::jthread([&] {
        for (;;) {
          // The rule allows a connection to end within 200 ms of the request's last byte.
          constexpr milliseconds kSlack{ 200 };
          const auto sent = std::chrono::steady_clock::now();
          const int status = call(aMethod);
          if (status < 0) {
            return;
          }
          const auto took = std::chrono::steady_clock::now() - sent;
          unanswered += status == 0 && took > kSlack ? 1 : 0;
        }
      });
    }
    follower->stop();
    CHECK(renewUntil([this] { return stopped.load(); }));
    delete std::exchange(follower, nullptr);
    deleted = true;
    for (auto& caller : callers) {
      caller.join();
    }
    return unanswered;
  }
};

// Guards against requests whose connections end without an answer because the event loop ends while
// the owner is queried for the state of a job.
TEST(cell_node, aStopAnswersStatusRequestsThatWaitForTheOwner)
{
  CHECK(renewUntil([this] { return call("GET") == 410; }));
  const int unanswered = stopUnderRequests("GET");
  CHECK_EQUAL(0, unanswered);
}

// Guards against requests whose connections end without an answer at the end of the shutdown
// period. Load pattern: the store does not answer appends, so the outcome of a job is not known.
TEST(cell_node, aStopAnswersJobsWhoseOutcomeIsNotKnown)
{
  CHECK(renewUntil([this] { return call("GET") == 410; }));
  {
    const std::lock_guard lock(store->mMutex);
    store->mLoseAnswers = 1'000'000;
  }
  const int unanswered = stopUnderRequests("POST");
  CHECK_EQUAL(0, unanswered);
}

// Guards against requests whose connections end without an answer because the event loop is held up
// when the daemon is stopped.
TEST(cell_node, aStopAnswersRequestsThatTheLoopHasNotReached)
{
  constexpr milliseconds kShutdownPeriod{ 2000 };
  delete std::exchange(follower, nullptr);
  startFollower(1.0, std::chrono::minutes(5), kShutdownPeriod);
  CHECK(renewUntil([this] { return call("GET") == 410; }));
  const auto stopping = std::chrono::steady_clock::now();
  edges::raw_client get(port);
  edges::raw_client post(port);
  {
    const unread_output output;
    // The loop writes its log in each pass that has rejected a request.
    edges::raw_client first(port);
    first.send(edges::getRequest("/none"));
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(get.send(edges::getRequest("/r/00000000000000aa")));
    CHECK(post.send(edges::postRequest("/r/00000000000000aa", "{}")));
    std::this_thread::sleep_for(milliseconds(100));
    follower->stop();
    get.receiveAnswer();
    post.receiveAnswer();
    CHECK(std::chrono::steady_clock::now() - stopping < kShutdownPeriod);
    CHECK_FALSE(stopped);
  }
  CHECK(waitUntil([this] { return stopped.load(); }));
  LONGS_EQUAL(503, get.status());
  CHECK(get.mHead.find("Retry-After: ") != std::string::npos);
  LONGS_EQUAL(504, post.status());
}

// Guards against a timeout that counts from when the event loop reaches a request.
TEST(cell_node, theTimeoutOfARequestIncludesItsWaitForTheLoop)
{
  CHECK(renewUntil([this] { return call("GET") == 410; }));
  edges::raw_client client(port);
  {
    const unread_output output;
    edges::raw_client first(port);
    first.send(edges::getRequest("/none"));
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(client.send("GET /r/00000000000000aa HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 50\r\n\r\n"));
    std::this_thread::sleep_for(milliseconds(200));
  }
  const auto body = client.receiveAnswer();
  LONGS_EQUAL(503, client.status());
  CHECK(body.find("too late") != std::string::npos);
}

// Guards against a call for advice whose caller gives up before it is told that the service does
// not answer, and then takes the daemon that made the call as unresponsive.
TEST(cell_node, anAdviceCallIsAnsweredBeforeItsTimeout)
{
  constexpr milliseconds kTimeout{ 1000 };
  CHECK(renewUntil([this] { return call("GET") == 410; }));
  edges::raw_client peer(peerPort);
  const auto sent = std::chrono::steady_clock::now();
  const auto request = encodePeerAdvice({ .mTargets = { "t" }, .mTimeout = kTimeout });
  CHECK(peer.send(edges::postRequest(request.mPath, request.mBody)));
  peer.receiveAnswer();
  CHECK_EQUAL(504, peer.status());
  CHECK(std::chrono::steady_clock::now() - sent < kTimeout);
}

// Guards against calls for advice that end without an answer because the owner still sends them
// through a daemon that is about to end.
TEST(cell_node, aStoppingDaemonOffersNoAdviceCalls)
{
  const auto ownAddress = "127.0.0.1:" + std::to_string(peerPort);
  CHECK(renewUntil([&] { return owner->lastHello() == ownAddress; }));
  follower->stop();
  CHECK(renewUntil([&] { return owner->lastHello() != ownAddress || stopped; }));
  CHECK(owner->lastHello() == "");
}

// Guards against a daemon that ends, or stops following its topics, because of records that another
// writer left in them.
TEST(cell_node, oddRecordsOfItsTopicsAreSkipped)
{
  CHECK(renewUntil([this] { return call("GET") == 410; }));
  const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
  const std::string deepMsgpack = std::string(100'000, '\x91') + '\x01';
  const auto entry = [](const std::string& aAddress, const std::string& aCpu) {
    return R"({"service":"p","zone":"z","state":"ready","addr":")" + aAddress +
           R"(","capacity":{"cpu":)" + aCpu + "}}";
  };
  const auto stateHas = [this](const std::string& aText) {
    edges::raw_client peer(peerPort);
    peer.send(edges::postRequest(std::string(kStatePath), ""));
    return peer.receiveAnswer().find(aText) != std::string::npos;
  };
  const std::string operatorTopic(platform::kOperatorTopic);
  const std::string registryTopic(platform::kRegistryTopic);
  appendToStore(operatorTopic, platform::encodeKeyed(
                                 "config", R"({"version":2,"routes":[],"limits":)" + deep + "}"));
  appendToStore(operatorTopic, platform::encodeKeyed("config", R"({"version":3,"routes":[]})"));
  appendToStore("journal", deepMsgpack);
  appendToStore("owner", deepMsgpack);
  CHECK(renewUntil([&] { return stateHas(" config=3 "); }));

  // Only an owner reads the registry.
  appendToStore(registryTopic, platform::encodeKeyed("odd-1", deep));
  appendToStore(registryTopic, platform::encodeKeyed("odd-2", entry("10.0.0.9:80", deep)));
  appendToStore(registryTopic, platform::encodeKeyed("odd-3", entry("10.0.0.9:80", "1e300")));
  appendToStore(registryTopic, platform::encodeKeyed("odd-4", entry("10.0.0.9:65536", "1")));
  appendToStore(registryTopic, platform::encodeKeyed("good", entry("10.0.0.9:80", "1")));
  CHECK(stateHas(" targets=0 "));
  appendOwnerRecord(owner_record::kind::release);
  CHECK(waitUntil([&] { return stateHas(" config=3 ") && stateHas(" targets=1 "); }));
}

// Load pattern: 147 daemons and 1,100 targets, each of which writes an entry of some 220 bytes in
// every heartbeat. Guards against followers that read the registry, more than the store can send.
TEST(cell_node, aFollowerDoesNotReadTheRegistry)
{
  CHECK(renewUntil([this] { return call("GET") == 410; }));
  const std::lock_guard lock(store->mMutex);
  CHECK_EQUAL(0, store->mReads[std::string(platform::kRegistryTopic)]);
  CHECK(store->mReads["journal"] > 0);
}

// Guards against small VMs that follow the journal, of which each would read all: the owner knows
// the jobs. It denies the one that is asked for.
TEST(cell_node, aSmallVmAsksTheOwnerInsteadOfReadingTheJournal)
{
  delete std::exchange(follower, nullptr);
  {
    const std::lock_guard lock(store->mMutex);
    store->mReads.clear();
  }
  owner->mStatusOfJobs = 404;
  startFollower(0.12);
  CHECK(renewUntil([this] { return call("GET") == 410; }));
  owner->mStatusOfJobs = 503;
  CHECK(renewUntil([this] { return call("GET") == 503; }));
  const std::lock_guard lock(store->mMutex);
  CHECK_EQUAL(0, store->mReads["journal"]);
}

// Guards against a cell without an owner if all large VMs are gone: a small one loads the state of
// the cell when it has claimed the ownership.
TEST(cell_node, aSmallVmBecomesOwnerIfNoOtherDoes)
{
  delete std::exchange(follower, nullptr);
  scheduler::job_spec spec{ .mId = static_cast<scheduler::job_id>(0xaa), .mRoute = "r" };
  spec.mSteps.push_back({ .mNeeds = { .mCpuMilli = 100 } });
  appendToStore("journal", scheduler::encode(scheduler::job_submitted{ .mSpec = spec }));
  startFollower(0.12);
  CHECK(renewUntil([this] { return call("GET") != -1; }));
  appendOwnerRecord(owner_record::kind::release);
  CHECK(waitUntil([this] { return call("GET") == 200; }));
}

// Guards against tasks that are started again although they are done: the former owner had read
// their ends and could not store them.
TEST(cell_node, aNewOwnerAsksTheFormerOneForEnds)
{
  CHECK(renewUntil([this] { return call("GET") == 410; }));
  appendOwnerRecord(owner_record::kind::renewal);
  CHECK(waitUntil([this] { return owner->count(kPeerUnstoredEndsPath) > 0; }));
  // It schedules also if there is no answer.
  CHECK(waitUntil([this] { return isOwner(); }));
}

// Guards against two owners at a time: one that does not reach the store goes on until a target
// rejects its epoch.
TEST(cell_node, anOwnerThatIsAskedForEndsStepsDown)
{
  appendOwnerRecord(owner_record::kind::release);
  CHECK(waitUntil([this] { return isOwner(); }));
  CHECK_EQUAL(400, post(kPeerUnstoredEndsPath, "{}"));
  CHECK_EQUAL(200, post(kPeerUnstoredEndsPath, encodeEpoch(1)));
  CHECK(isOwner());
  {
    const std::lock_guard lock(store->mMutex);
    store->mRefuse = 1'000'000;
  }
  CHECK_EQUAL(200, post(kPeerUnstoredEndsPath, encodeEpoch(1'000'000)));
  CHECK_FALSE(isOwner());
}

// Guards against jobs that are changed on the word of another daemon, which forwards nothing but
// submissions and cancellations.
TEST(cell_node, anOwnerStoresOnlyCallersRecordsForOthers)
{
  appendOwnerRecord(owner_record::kind::release);
  CHECK(waitUntil([this] { return isOwner(); }));
  const auto forward = [this](const scheduler::journal_record& aRecord) {
    edges::raw_client peer(peerPort);
    const std::vector<std::string> records{ scheduler::encode(aRecord) };
    peer.send(edges::postRequest(std::string(kPeerStorePath), encodeForwardedRecords(records)));
    const auto answer = peer.receiveAnswer();
    return answer.empty() ? '?' : answer.back();
  };
  CHECK_EQUAL('s', forward(scheduler::job_cancelled{}));
  CHECK_EQUAL('r', forward(scheduler::job_abandoned{}));
  CHECK_EQUAL('r', forward(scheduler::run_ended{}));
}

// Guards against explanations by a daemon that does not decide, against calls that are forwarded in
// a circle, and against callers that wait for ever for an owner that does not answer.
TEST(cell_node, anExplanationIsForwardedToTheOwnerOnce)
{
  const auto has = [](const std::string& aAnswer, const std::string& aText) {
    return aAnswer.starts_with("503") && aAnswer.find(aText) != std::string::npos;
  };
  CHECK(renewUntil([this] { return owner->count(kPeerHelloPath) > 0 && call("GET") == 410; }));
  CHECK(has(explain(kOwnerExplainPath), "not the owner any more"));
  CHECK_EQUAL(0, owner->count(kOwnerExplainPath));
  edges::raw_client first(peerPort);
  first.send(explainCall(kExplainPath));
  CHECK(waitUntil([this] { return owner->count(kOwnerExplainPath) == 1; }));
  CHECK(has(explain(kExplainPath), "another explanation is under way"));
  CHECK(first.receiveAnswer().find("does not answer within 2 s") != std::string::npos);
  CHECK_EQUAL(503, first.status());
  CHECK_EQUAL(1, owner->count(kOwnerExplainPath));
}

// Guards against an owner that forwards the call, or answers without its view.
TEST(cell_node, anOwnerExplainsByItself)
{
  appendOwnerRecord(owner_record::kind::release);
  CHECK(waitUntil([this] { return isOwner(); }));
  CHECK(waitUntil([this] { return explain(kExplainPath).starts_with("200"); }));
  const auto answer = explain(kExplainPath);
  CHECK(answer.find(R"("waits_for":"no_target")") != std::string::npos);
  CHECK(answer.find("registry_age_ms") != std::string::npos);
  CHECK(explain(kExplainPath, "x").find("no route has the host") != std::string::npos);
  CHECK_EQUAL(0, owner->count(kOwnerExplainPath));
}

// Guards against a call that waits for an owner that there is not.
TEST(cell_node, withoutAnOwnerThereIsNoExplanation)
{
  delete std::exchange(owner, nullptr);
  CHECK(waitUntil(
    [this] { return explain(kExplainPath).find("no owner is known") != std::string::npos; }));
}

// A follower asks in this way whether the owner has taken its earlier calls.
TEST(cell_node, anOwnerAnswersACallWithoutRecords)
{
  appendOwnerRecord(owner_record::kind::release);
  CHECK(waitUntil([this] { return isOwner(); }));
  CHECK_EQUAL(200, post(kPeerStorePath, encodeForwardedRecords({})));
}

// Load pattern: the owner's append is unanswered for long. Guards against a new job that is stored
// past the owner, and against a repetition that is said not to be stored while the append holds it.
TEST(cell_node, anOwnerWhoseAppendIsBehindRefusesOnlyUnknownJobs)
{
  appendOwnerRecord(owner_record::kind::release);
  CHECK(waitUntil([this] { return isOwner(); }));
  const auto setRefusedTopic = [this](const std::string& aTopic) {
    const std::lock_guard lock(store->mMutex);
    store->mRefusedTopic = aTopic;
  };
  const auto forward = [](edges::raw_client& aPeer, std::uint64_t aJob) {
    const std::vector<std::string> records{
      scheduler::encode(scheduler::job_submitted{
        .mSpec = { .mId = static_cast<scheduler::job_id>(aJob), .mRoute = "r", .mSteps = { {} } } })
    };
    aPeer.send(edges::postRequest(std::string(kPeerStorePath), encodeForwardedRecords(records)));
  };
  const auto resultOf = [](edges::raw_client& aPeer) {
    const auto answer = aPeer.receiveAnswer();
    return answer.empty() ? '?' : answer.back();
  };
  setRefusedTopic("journal");
  edges::raw_client first(peerPort);
  forward(first, 1);
  std::this_thread::sleep_for(milliseconds(3000));
  edges::raw_client repetition(peerPort);
  forward(repetition, 1);
  edges::raw_client other(peerPort);
  forward(other, 2);
  const char otherResult = resultOf(other);
  setRefusedTopic("");
  const char firstResult = resultOf(first);
  const char repetitionResult = resultOf(repetition);
  CHECK_EQUAL('b', otherResult);
  CHECK_EQUAL('s', firstResult);
  CHECK_EQUAL('s', repetitionResult);
}

// Guards against daemons that answer different things about a job, and against a snapshot that says
// so for good: the job was completed, which this daemon had not read, before it was cancelled
// there.
TEST(cell_node, aDaemonTakesItsOwnRecordsInTheOrderOfTheJournal)
{
  constexpr auto kJob = static_cast<scheduler::job_id>(0xaa);
  constexpr scheduler::task_key kTask{ .mStep = { .mJob = kJob } };
  owner->mRefusesRecords = true;
  owner->mStatusOfJobs = 503;
  appendToStore("journal",
                scheduler::encode(scheduler::job_submitted{
                  .mSpec = { .mId = kJob, .mRoute = "r", .mSteps = { { .mCount = 1 } } } }));
  appendToStore("journal", scheduler::encode(scheduler::run_started{
                             .mTask = kTask, .mRun = 1, .mAt = { .mTarget = "w" } }));
  CHECK(renewUntil([this] { return stateOfJob() == "running"; }));
  const auto setUnreadTopic = [this](const std::string& aTopic) {
    const std::lock_guard lock(store->mMutex);
    store->mUnreadTopic = aTopic;
  };
  setUnreadTopic("journal");
  appendToStore("journal", scheduler::encode(scheduler::run_ended{
                             .mTask = kTask, .mRun = 1, .mOutcome = scheduler::run_end::done }));
  CHECK_EQUAL(200, call("DELETE"));
  setUnreadTopic("");
  CHECK(renewUntil([this] { return stateOfJob() != "running"; }));
  STRCMP_EQUAL("completed", stateOfJob().c_str());
}

// Guards against the loss of the cell: a daemon that was cut off while it stored a snapshot
// replaced newer ones, whose journal records had been deleted.
TEST(cell_node, aDaemonThatWasCutOffDoesNotReplaceNewerSnapshots)
{
  const auto snapshotAt = [](std::uint64_t aBase) {
    return encodeSnapshot({ .mBase = aBase, .mRecords = {} }, 1).at(0);
  };
  const auto newestBase = [this] {
    const std::lock_guard lock(store->mMutex);
    const auto found =
      lastSnapshot(*store->mModel.read("snapshot", store->mModel.first("snapshot")));
    return found ? found->mBase : 0;
  };
  for (int record = 0; record < 8; ++record) {
    appendToStore("journal", "");
  }
  delete std::exchange(follower, nullptr);
  owner->mWritesSnapshots = true;
  startFollower(1.0, std::chrono::seconds(2));
  CHECK(waitUntil([&] { return newestBase() == 8; }));
  {
    const std::lock_guard lock(store->mMutex);
    // Long enough for the next snapshot to fall due.
    store->mRefusedTopic = "snapshot";
  }
  CHECK(renewUntil([this] {
    const std::lock_guard lock(store->mMutex);
    return store->mRefusedAppends > 0;
  }));
  {
    // The daemon that the owner has chosen meanwhile stores two snapshots.
    const std::lock_guard lock(store->mMutex);
    store->mModel.append({ .mTopic = "journal", .mRecords = std::vector<std::string>(12) });
    store->mModel.append({ .mTopic = "snapshot", .mRecords = snapshotAt(15) });
    store->mModel.append({ .mTopic = "snapshot", .mRecords = snapshotAt(18) });
    store->mModel.trim("journal", 15);
    store->mRefusedTopic.clear();
  }
  CHECK(renewUntil([&] {
    CHECK(newestBase() >= 18);
    return newestBase() == 20;
  }));
}

// Guards against waits that nothing shows: whether ends wait behind callers is seen only by lane.
TEST(cell_node, showsHowLongInputsWaitByLane)
{
  CHECK(renewUntil([this] { return call("GET") == 410; }));
  const auto shows = [this](const char* aText) {
    edges::raw_client client(peerPort);
    client.send("GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    return client.receiveUntil(aText);
  };
  CHECK(shows("endiveusher_end_store_seconds_count 0\n"));
  CHECK(shows("endiveusher_inputs_rejected_total{lane=\"promises\"} 0\n"));
  CHECK_FALSE(shows("endiveusher_input_wait_callers_seconds_count 0\n"));
  CHECK_FALSE(shows("endiveusher_input_wait_diagnostics_seconds_count 0\n"));
}
