#pragma once

// The generated schema code. Include it before any header of Cap'n Proto.

#include <kj/string.h>

namespace kj {

// Cap'n Proto 0.9 compares in this order, which C++20 compilers that implement P2468 reject unless
// the operators exist.
inline bool operator==(const char* aLeft, const StringPtr& aRight)
{
  return aRight == StringPtr(aLeft);
}
inline bool operator!=(const char* aLeft, const StringPtr& aRight)
{
  return !(aRight == StringPtr(aLeft));
}

} // namespace kj

#include "endiveusher.capnp.h" // IWYU pragma: export
