#include "endiveusher/edges/peer_rpc.h"
#include "tests/clients/result_queue.h"
#include "tests/clients/scripted_server.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::testing;

namespace {

peer_message numbered(std::uint64_t aNumber)
{
  return { .mFrom = "a.1", .mTo = "b.1", .mBody = gossip{ .mVm = "a", .mProbe = aNumber } };
}

std::uint64_t numberOf(const peer_message& aMessage)
{
  return std::get<gossip>(aMessage.mBody).mProbe;
}

} // namespace

TEST_GROUP(peer_rpc)
{
  result_queue<peer_message> mReceived;

  std::unique_ptr<edges::peer_rpc> startAt(const std::string& aAddress,
                                           std::size_t aQueueLimit = 512)
  {
    auto rpc = edges::peer_rpc::start(
      { .mAddress = aAddress,
        .mCallTimeout = std::chrono::seconds(20),
        .mShortestBackOff = std::chrono::milliseconds(10),
        .mLongestBackOff = std::chrono::milliseconds(40),
        .mQueueLimit = aQueueLimit,
        .mOnMessage = [this](peer_message&& aMessage) { mReceived.add(std::move(aMessage)); } });
    return rpc.ok() ? *std::move(rpc) : nullptr;
  }
};

// Guards against lost or reordered messages on a working connection.
TEST(peer_rpc, messagesArriveInOrderOverOneConnection)
{
  const auto receiver = startAt("127.0.0.1:0");
  const auto sender = startAt("127.0.0.1:0");
  constexpr std::uint64_t kCount = 300;
  for (std::uint64_t i = 1; i <= kCount; ++i) {
    sender->send(receiver->address(), numbered(i));
  }
  for (std::uint64_t i = 1; i <= kCount; ++i) {
    const auto message = mReceived.next();
    CHECK(message.has_value());
    CHECK_EQUAL(i, numberOf(*message));
    STRCMP_EQUAL("b.1", message->mTo.c_str());
  }
}

// Guards against a peer that gets no messages after a restart.
TEST(peer_rpc, restartedPeerReceivesMessages)
{
  const auto sender = startAt("127.0.0.1:0");
  auto receiver = startAt("127.0.0.1:0");
  const std::string address = receiver->address();
  sender->send(address, numbered(1));
  CHECK(mReceived.next().has_value());
  receiver.reset();
  // May be lost, or delivered after the restart.
  sender->send(address, numbered(2));
  receiver = startAt(address);
  CHECK(receiver != nullptr);
  std::uint64_t last = 0;
  for (std::uint64_t i = 3; last < 3 && i < 1000; ++i) {
    sender->send(address, numbered(i));
    if (const auto message = mReceived.next(std::chrono::milliseconds(100))) {
      last = numberOf(*message);
    }
  }
  CHECK(last >= 3);
}

// Guards against an unresponsive peer that delays others or makes its queue grow without bound.
TEST(peer_rpc, unresponsivePeerDelaysNoOthersAndItsQueueIsBounded)
{
  scripted_server unresponsive(
    [](const received_request&) { return scripted_answer{ .mReaction = reaction::silent }; });
  const auto sender = startAt("127.0.0.1:0", 8);
  const auto receiver = startAt("127.0.0.1:0");
  for (std::uint64_t i = 1; i <= 200; ++i) {
    sender->send(unresponsive.address(), numbered(i));
  }
  sender->send(receiver->address(), numbered(1));
  CHECK(mReceived.next().has_value());
  CHECK(sender->counters().mDropped > 0);
}

// Guards against a daemon that starts although it cannot listen on its peer address.
TEST(peer_rpc, addressInUseIsAnError)
{
  const auto first = startAt("127.0.0.1:0");
  CHECK(startAt(first->address()) == nullptr);
}
