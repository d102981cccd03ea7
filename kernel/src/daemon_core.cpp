#include "daemon_core_impl.h"

namespace endiveusher {

template class basic_daemon_core<all_guards>;

} // namespace endiveusher
