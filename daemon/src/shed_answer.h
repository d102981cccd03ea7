#pragma once

#include "endiveusher/kernel/messages/call.h"

#include <string_view>

namespace endiveusher::daemon {

/// Answer to a call that the core never saw because a queue was full. The class is `not_run`, but
/// `unknown` for a submission or publication with an id: it may repeat one that was taken earlier.
answer shedAnswer(const call& aCall, std::string_view aDaemon);

} // namespace endiveusher::daemon
