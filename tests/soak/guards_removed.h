#pragma once

#include "soak/soak_options.h"

namespace endiveusher::standins {

/// Factories of cores with one check removed. Each is defined in a file of its own, because a whole
/// daemon takes about a minute to compile.
core_factory withoutEpoch();
core_factory withoutFreshness();
core_factory withoutSlices();
core_factory withoutRequestIds();
core_factory withoutUnansweredOrders();
core_factory withoutLeaving();
core_factory withoutLeases();
core_factory withoutOffsets();
core_factory withoutUnknown();
core_factory withoutHandOff();

} // namespace endiveusher::standins
