#pragma once

#include "endiveusher/kernel/messages/call.h"

#include <string_view>

namespace endiveusher::daemon {

/// Returns the answer to a call that was rejected because a queue was full. The class is `not_run`,
/// but `unknown` for a submission or publication with an id: an earlier attempt with the same id
/// may have been accepted.
answer shedAnswer(const call& aCall, std::string_view aDaemon);

} // namespace endiveusher::daemon
