#include "tests/soak/guards_removed.h"

#include "daemon_core_impl.h"
#include "membership_impl.h"
#include "placer_definitions.h"

namespace endiveusher::standins {

namespace {

struct removed : all_guards
{
  static constexpr bool kChecksOffsets = false;
};

} // namespace

core_factory withoutOffsets()
{
  return coreFactory<removed>();
}

} // namespace endiveusher::standins
