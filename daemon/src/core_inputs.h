#pragma once

#include "call_rings.h"
#include "endiveusher/edges/exchange_client.h"
#include "endiveusher/edges/platform_client.h"
#include "endiveusher/kernel/events.h"
#include "ring.h"

#include <cstddef>

namespace endiveusher::daemon {

/// What the main thread passes to the core.
enum class command
{
  shut_down,
  dump_state,
};

/// The rings towards the core thread: one for each producer thread, all with one bell.
struct core_inputs
{
  explicit core_inputs(std::size_t aCapacity)
    : mCalls(aCapacity, mBell), mPeers(aCapacity, mBell), mExchanges(aCapacity, mBell),
      mPlatform(aCapacity, mBell), mCommands(kCommands, mBell)
  {
  }

  static constexpr std::size_t kCommands = 16;

  doorbell mBell;
  call_rings mCalls;
  ring<peer_message> mPeers;
  ring<edges::exchange_result> mExchanges;
  ring<edges::platform_result> mPlatform;
  ring<command> mCommands;
};

} // namespace endiveusher::daemon
