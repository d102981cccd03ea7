#pragma once

#include <string_view>

namespace endiveusher::internal {

/// Called with the text of a broken invariant. May return, in which case execution continues.
using invariant_handler = void (*)(std::string_view aText);

/// Replaces the handler and returns the earlier one. The default logs to stderr and aborts.
invariant_handler setInvariantHandler(invariant_handler aHandler);

void reportBrokenInvariant(std::string_view aText);

/// Calls the handler if aHolds is false.
///
/// Usage: `invariant(used.fitsIn(capacity), "account within capacity");`
inline void invariant(bool aHolds, std::string_view aText)
{
  if (!aHolds) {
    reportBrokenInvariant(aText);
  }
}

} // namespace endiveusher::internal
