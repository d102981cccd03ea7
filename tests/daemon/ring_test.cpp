#include "daemon/src/ring.h"

#include <memory>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace endiveusher::daemon;

TEST_GROUP(ring){};

// Guards against rings that grow beyond their capacity or lose a refused value.
TEST(ring, fullRingRefusesAndKeepsTheValue)
{
  wakeup_event wakeup;
  ring<std::unique_ptr<int>> small(16, wakeup);
  for (int i = 0; i < 16; ++i) {
    CHECK(small.push(std::make_unique<int>(i)));
  }
  auto refused = std::make_unique<int>(99);
  CHECK_FALSE(small.offer(refused));
  CHECK(refused != nullptr);
  std::unique_ptr<int> first;
  CHECK(small.pop(first));
  CHECK_EQUAL(0, *first);
  CHECK(small.offer(refused));
}

// Guards against lost or reordered entries and against a consumer that is not woken.
TEST(ring, consumerReceivesEverythingInOrder)
{
  constexpr int kCount = 50'000;
  wakeup_event wakeup;
  ring<int> numbers(64, wakeup);
  std::thread producer([&numbers] {
    for (int i = 0; i < kCount;) {
      int value = i;
      i += numbers.offer(value) ? 1 : 0;
    }
  });
  int expected = 0;
  while (expected < kCount) {
    int value = -1;
    while (numbers.pop(value)) {
      if (value != expected) {
        producer.join();
        FAIL("out of order");
      }
      ++expected;
    }
    wakeup.waitUntil(std::chrono::steady_clock::now() + std::chrono::milliseconds(50));
  }
  producer.join();
}
