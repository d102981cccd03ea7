#include "endiveusher/kernel/placer.h"

#include "placer_definitions.h"

namespace endiveusher {

template class basic_placer<all_guards>;

} // namespace endiveusher
