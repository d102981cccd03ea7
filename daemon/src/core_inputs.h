#pragma once

#include "call_rings.h"
#include "endiveusher/edges/exchange_client.h"
#include "endiveusher/edges/platform_client.h"
#include "endiveusher/kernel/events.h"
#include "ring.h"

#include <cstddef>

namespace endiveusher::daemon {

/// Commands from the main thread to the core.
enum class command
{
  shut_down,
  dump_state,
};

/// Input rings of the core thread: one for each producer thread, all with one wake-up event.
struct core_inputs
{
  explicit core_inputs(std::size_t aCapacity)
    : mCalls(aCapacity, mWakeup), mPeers(aCapacity, mWakeup), mExchanges(aCapacity, mWakeup),
      mPlatform(aCapacity, mWakeup), mCommands(kCommandCapacity, mWakeup)
  {
  }

  static constexpr std::size_t kCommandCapacity = 16;

  wakeup_event mWakeup;
  call_rings mCalls;
  ring<peer_message> mPeers;
  ring<edges::exchange_result> mExchanges;
  ring<edges::platform_result> mPlatform;
  ring<command> mCommands;
};

} // namespace endiveusher::daemon
