#include "endiveusher/kernel/invariant.h"

#include <atomic>
#include <cstdlib>
#include <fmt/format.h>

namespace endiveusher::internal {

namespace {

void logAndAbort(std::string_view aText)
{
  fmt::print(stderr, "kernel: invariant broken: {}\n", aText);
  std::abort();
}

std::atomic<invariant_handler> gHandler{ &logAndAbort };

} // namespace

invariant_handler setInvariantHandler(invariant_handler aHandler)
{
  return gHandler.exchange(aHandler == nullptr ? &logAndAbort : aHandler);
}

void reportBrokenInvariant(std::string_view aText)
{
  gHandler.load()(aText);
}

} // namespace endiveusher::internal
