#pragma once

// The generated schema code. Include this before any Cap'n Proto header.

#include <kj/string.h>

namespace kj {

// Cap'n Proto 0.9 compares `const char*` with StringPtr in this operand order. C++20 compilers that
// implement P2468 reject that unless these operators exist.
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
