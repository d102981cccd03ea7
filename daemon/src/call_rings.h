#pragma once

#include "endiveusher/edges/call_api.h"
#include "endiveusher/kernel/messages/call.h"
#include "ring.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <thread>
#include <variant>

namespace endiveusher::daemon {

struct received_call
{
  call mCall;
  edges::answer_sink mSink;
};

/// The caller closed its connection before the answer.
struct call_dropped
{};

/// Input from the HTTP threads to the core.
struct call_input
{
  std::uint64_t mCallId = 0;
  std::variant<call_dropped, received_call> mBody;
};

/// One ring for each thread of the HTTP server, created on the thread's first push.
class call_rings
{
public:
  using value_type = call_input;

  call_rings(std::size_t aCapacity, wakeup_event& aWakeup) : mCapacity(aCapacity), mWakeup(aWakeup)
  {
  }

  bool push(call_input&& aInput) { return offer(aInput); }

  /// Moves from aInput; if the ring of this thread is full, returns false and leaves aInput
  /// unchanged.
  bool offer(call_input& aInput)
  {
    auto* ownRing = ringOfThisThread();
    return ownRing != nullptr && ownRing->offer(aInput);
  }

  /// Core thread only.
  bool pop(call_input& aInput)
  {
    const std::size_t count = mCount.load(std::memory_order_acquire);
    for (std::size_t i = 0; i < count; ++i) {
      // Round robin from the ring after the last one served, so that no thread is starved.
      mNext = (mNext + 1) % count;
      if (mRings[mNext]->pop(aInput)) {
        return true;
      }
    }
    return false;
  }

private:
  /// Exceeds the number of HTTP server threads; pushes from any further thread fail.
  static constexpr std::size_t kMaxProducers = 8;

  ring<call_input>* ringOfThisThread()
  {
    const auto self = std::this_thread::get_id();
    const std::size_t count = mCount.load(std::memory_order_acquire);
    for (std::size_t i = 0; i < count; ++i) {
      if (mProducerIds[i] == self) {
        return mRings[i].get();
      }
    }
    const std::lock_guard lock(mMutex);
    const std::size_t at = mCount.load(std::memory_order_relaxed);
    if (at == kMaxProducers) {
      return nullptr;
    }
    mProducerIds[at] = self;
    mRings[at] = std::make_unique<ring<call_input>>(mCapacity, mWakeup);
    mCount.store(at + 1, std::memory_order_release);
    return mRings[at].get();
  }

  const std::size_t mCapacity;
  wakeup_event& mWakeup;
  std::mutex mMutex;
  std::atomic<std::size_t> mCount{ 0 };
  std::array<std::thread::id, kMaxProducers> mProducerIds;
  std::array<std::unique_ptr<ring<call_input>>, kMaxProducers> mRings;
  std::size_t mNext = 0;
};

} // namespace endiveusher::daemon
