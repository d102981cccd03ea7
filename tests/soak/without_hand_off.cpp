#include "tests/soak/guards_removed.h"

#include "daemon_core_impl.h"
#include "membership_impl.h"
#include "placer_definitions.h"

namespace endiveusher::standins {

namespace {

struct removed : all_guards
{
  static constexpr bool kHandsOver = false;
};

} // namespace

core_factory withoutHandOff()
{
  return coreFactory<removed>();
}

} // namespace endiveusher::standins
