#include "tests/soak/guards_removed.h"

#include "daemon_core_impl.h"
#include "membership_impl.h"
#include "placer_definitions.h"

namespace endiveusher::standins {

namespace {

struct removed : all_guards
{
  static constexpr bool kWaitsForLeases = false;
};

} // namespace

core_factory withoutLeases()
{
  return coreFactory<removed>();
}

} // namespace endiveusher::standins
