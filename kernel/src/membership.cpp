#include "membership_impl.h"

namespace endiveusher {

template class basic_membership<all_guards>;

} // namespace endiveusher
