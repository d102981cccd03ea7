#pragma once

#include "endiveusher/kernel/time.h"

#include <chrono>

namespace endiveusher::node::testing {

/// A clock that the test sets.
class manual_clock : public endiveusher::clock
{
public:
  time_point now() const override { return mNow; }
  time_point mNow{ std::chrono::seconds(100) };
};

} // namespace endiveusher::node::testing
