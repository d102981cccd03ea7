#include "endiveusher/edges/http_server.h"
#include "endiveusher/edges/memory_budget.h"
#include "raw_client.h"

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace endiveusher::edges;
using std::chrono::milliseconds;

namespace {

class holder : public sheddable
{
public:
  holder(std::shared_ptr<memory_budget> aBudget, held_memory aHeld)
    : mCharge(std::move(aBudget)), mHeld(aHeld)
  {
    mCharge.resize(aHeld.mBytes);
  }
  held_memory held() const override { return mHeld; }
  std::size_t shed() override
  {
    mCharge.resize(0);
    return std::exchange(mHeld.mBytes, 0);
  }

private:
  memory_charge mCharge;
  held_memory mHeld;
};

template<typename Condition>
bool becomesTrue(const Condition& aCondition)
{
  for (int tries = 0; tries < 4000 && !aCondition(); ++tries) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  return aCondition();
}

std::string head(std::size_t aBodyBytes, std::string_view aHeaders = "")
{
  return "POST /b HTTP/1.1\r\nHost: t\r\n" + std::string(aHeaders) +
         "Content-Length: " + std::to_string(aBodyBytes) + "\r\n\r\n";
}

constexpr std::size_t kBudgetBytes = 400'000;

http_server_options smallServer(const std::shared_ptr<memory_budget>& aBudget)
{
  return { .mStopAnswer =
             [](std::string_view aMethod) {
               return http_answer{ .mStatus =
                                     static_cast<std::uint16_t>(aMethod == "GET" ? 503 : 504) };
             },
           .mBudget = aBudget,
           .mAdmitBody =
             [](const http_request& aHead) {
               body_admission admission{ .mTrusted = aHead.header("credential") == "k" };
               if (aHead.header("credential") == "bad") {
                 admission.mRefusal = http_answer{ .mStatus = 401 };
               }
               return admission;
             } };
}

} // namespace

TEST_GROUP(memory_budget){};

// Guards against reservations beyond the limit, and against ones that are never released.
TEST(memory_budget, chargesStayWithinTheLimitAndAreReleased)
{
  const auto budget = std::make_shared<memory_budget>(100);
  {
    memory_charge first(budget);
    CHECK(first.tryResize(60));
    memory_charge second(budget);
    CHECK(!second.tryResize(41));
    CHECK_EQUAL(0, second.bytes());
    const memory_charge moved(std::move(first));
    CHECK(second.tryResize(40));
    CHECK_EQUAL(100, budget->used());
    second.resize(70);
    CHECK_EQUAL(130, budget->used());
    CHECK(second.tryResize(10));
    CHECK_EQUAL(70, budget->used());
  }
  CHECK_EQUAL(0, budget->used());
}

// Guards against ordinary callers that are shed before hostile ones.
TEST(memory_budget, largestUntrustedRequestsAreShedFirst)
{
  constexpr std::size_t kUnit = 100'000;
  const auto budget = std::make_shared<memory_budget>(16 * kUnit);
  const auto add = [&](std::size_t aBytes, bool aTrusted) {
    return std::make_shared<holder>(
      budget, sheddable::held_memory{ .mBytes = aBytes, .mTrusted = aTrusted });
  };
  const std::vector all{ add(5 * kUnit, true),  add(4 * kUnit, false), add(3 * kUnit, false),
                         add(3 * kUnit, false), add(1000, false),      add(kUnit, true) };
  budget->addSource(
    [&all](auto& aHolders) { aHolders.insert(aHolders.end(), all.begin(), all.end()); });
  // The next one is larger than the others without a key.
  CHECK(!budget->makeRoom(2 * kUnit, all[1].get()));
  CHECK_EQUAL(0, budget->shedRequests());
  // Without a requester 400,000 bytes are shed, which leaves an eighth free.
  CHECK(budget->makeRoom(kUnit, nullptr));
  CHECK_EQUAL(0, all[1]->held().mBytes);
  CHECK_EQUAL(3 * kUnit, all[2]->held().mBytes);
  // A small request is not shed while others are larger, also if these are trusted.
  std::vector<memory_charge> fillers;
  for (const std::size_t next : { 2U, 3U, 0U }) {
    fillers.emplace_back(budget).resize(budget->limit() - budget->used());
    CHECK(all[next]->held().mBytes > 0);
    CHECK(budget->makeRoom(1000, all[4].get()));
    CHECK_EQUAL(0, all[next]->held().mBytes);
  }
  CHECK_EQUAL(1000, all[4]->held().mBytes);
  CHECK_EQUAL(4, budget->shedRequests());
  CHECK_EQUAL(15 * kUnit, budget->shedBytes());
}

// Guards against a budget that hostile callers use up, and against answers to shed submissions
// which say that they have not run.
TEST(memory_budget, hostileBodiesDoNotKeepOthersFromBeingServed)
{
  const auto budget = std::make_shared<memory_budget>(kBudgetBytes);
  http_server server(smallServer(budget), [](http_request aRequest, responder aResponder) {
    aResponder.answer({ .mBody = std::to_string(aRequest.mBody.size()) });
  });
  raw_client trusted(server.port());
  trusted.send(head(100'000, "Credential: k\r\n") + std::string(90'000, 'x'));
  CHECK(becomesTrue([&] { return budget->used() >= 90'000; }));
  std::vector<std::unique_ptr<raw_client>> crowd;
  for (int count = 0; count < 8; ++count) {
    crowd.push_back(std::make_unique<raw_client>(server.port()));
    crowd.back()->send(head(200'000) + std::string(190'000, 'x'));
  }
  CHECK(becomesTrue([&] { return budget->shedRequests() >= 5; }));
  CHECK(budget->used() <= budget->limit());
  trusted.send(std::string(10'000, 'x'));
  STRCMP_EQUAL("100000", trusted.receiveAnswer().c_str());
  for (const auto& one : crowd) {
    one->disconnect();
  }
  // The server notices the ends of the connections one after the other; until then the last request
  // is the largest without a key, and may be shed in turn.
  CHECK(becomesTrue([&] { return budget->used() == 0; }));
  raw_client last(server.port());
  last.send(head(300'000) + std::string(300'000, 'x'));
  STRCMP_EQUAL("300000", last.receiveAnswer().c_str());
  CHECK(becomesTrue([&] { return budget->used() == 0; }));
}

TEST(memory_budget, shedSubmissionIsAnsweredThatItsOutcomeIsNotKnown)
{
  const auto budget = std::make_shared<memory_budget>(50'000);
  http_server server(smallServer(budget), [](const http_request&, const responder& aResponder) {
    aResponder.answer({});
  });
  raw_client client(server.port());
  client.send(head(100'000) + std::string(60'000, 'x'));
  client.receiveAnswer();
  CHECK_EQUAL(504, client.status());
  CHECK(becomesTrue([&] { return budget->used() == 0; }));
}

// Guards against requests that wait for the handler and count nowhere.
TEST(memory_budget, requestKeepsItsReservationUntilItIsDestroyed)
{
  const auto budget = std::make_shared<memory_budget>(kBudgetBytes);
  std::vector<http_request> kept;
  http_server server(smallServer(budget), [&](http_request aRequest, responder aResponder) {
    kept.push_back(std::move(aRequest));
    aResponder.answer({});
  });
  raw_client client(server.port());
  client.send(head(10'000) + std::string(10'000, 'x'));
  client.receiveAnswer();
  CHECK(budget->used() >= 10'000);
  kept.clear();
  CHECK_EQUAL(0, budget->used());
}

// Guards against bodies that are received although their header decides their answer.
TEST(memory_budget, bodiesAreRefusedByTheirHeader)
{
  http_server server(
    smallServer(std::make_shared<memory_budget>(kBudgetBytes)),
    [](const http_request&, const responder& aResponder) { aResponder.answer({}); });
  server.setLimits({ .mMaxHeaderBytes = 1000, .mMaxRequestBytes = 50'000 });
  const auto statusOf = [&server](const std::string& aBytes) {
    raw_client client(server.port());
    client.send(aBytes);
    client.receiveAnswer();
    return client.status();
  };
  CHECK_EQUAL(413, statusOf(head(50'001)));
  CHECK_EQUAL(431, statusOf(head(1, "X: " + std::string(1000, 'y') + "\r\n")));
  CHECK_EQUAL(401, statusOf(head(50'000, "Credential: bad\r\n")));
  CHECK_EQUAL(200, statusOf(head(50'000, "Credential: k\r\n") + std::string(50'000, 'x')));
  // Small bodies are received without a check of the key.
  CHECK_EQUAL(200, statusOf(head(10, "Credential: bad\r\n") + "0123456789"));
}
