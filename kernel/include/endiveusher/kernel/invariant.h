#pragma once

#include <string_view>

namespace endiveusher::internal {

/// Called with the text of a violated invariant. If it returns, execution continues.
using invariant_handler = void (*)(std::string_view aText);

/// Replaces the handler and returns the previous one. The default handler logs to stderr and
/// aborts. Null restores the default.
invariant_handler setInvariantHandler(invariant_handler aHandler);

void reportBrokenInvariant(std::string_view aText);

/// Calls the handler with aText if aHolds is false.
///
/// Usage: `invariant(used.fitsIn(capacity), "account within capacity");`
inline void invariant(bool aHolds, std::string_view aText)
{
  if (!aHolds) {
    reportBrokenInvariant(aText);
  }
}

} // namespace endiveusher::internal
