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

/// The caller hung up.
struct call_dropped
{};

/// What the HTTP threads pass to the core.
struct call_input
{
  std::uint64_t mCallId = 0;
  std::variant<call_dropped, received_call> mBody;
};

/// One ring for each thread of the HTTP server, made when the thread first pushes.
class call_rings
{
public:
  using value_type = call_input;

  call_rings(std::size_t aCapacity, doorbell& aBell) : mCapacity(aCapacity), mBell(aBell) {}

  bool push(call_input&& aInput) { return offer(aInput); }

  /// Moves from aInput; if the ring of this thread is full, returns false and leaves aInput
  /// unchanged.
  bool offer(call_input& aInput)
  {
    auto* mine = ringOfThisThread();
    return mine != nullptr && mine->offer(aInput);
  }

  /// Core thread only.
  bool pop(call_input& aInput)
  {
    const std::size_t count = mCount.load(std::memory_order_acquire);
    for (std::size_t i = 0; i < count; ++i) {
      // Starts after the ring served last, so that no thread is starved.
      mNext = (mNext + 1) % count;
      if (mRings[mNext]->pop(aInput)) {
        return true;
      }
    }
    return false;
  }

private:
  /// More than the server has threads; a thread beyond it is refused.
  static constexpr std::size_t kProducers = 8;

  ring<call_input>* ringOfThisThread()
  {
    const auto self = std::this_thread::get_id();
    const std::size_t count = mCount.load(std::memory_order_acquire);
    for (std::size_t i = 0; i < count; ++i) {
      if (mOwners[i] == self) {
        return mRings[i].get();
      }
    }
    const std::lock_guard lock(mMutex);
    const std::size_t at = mCount.load(std::memory_order_relaxed);
    if (at == kProducers) {
      return nullptr;
    }
    mOwners[at] = self;
    mRings[at] = std::make_unique<ring<call_input>>(mCapacity, mBell);
    mCount.store(at + 1, std::memory_order_release);
    return mRings[at].get();
  }

  const std::size_t mCapacity;
  doorbell& mBell;
  std::mutex mMutex;
  std::atomic<std::size_t> mCount{ 0 };
  std::array<std::thread::id, kProducers> mOwners;
  std::array<std::unique_ptr<ring<call_input>>, kProducers> mRings;
  std::size_t mNext = 0;
};

} // namespace endiveusher::daemon
