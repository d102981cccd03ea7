#pragma once

#include "endiveusher/edges/call_api.h"
#include "endiveusher/kernel/messages/call.h"

#include <string>

namespace endiveusher::edges::internal {

// What a call of each kind may hold, beyond what the schema says. Empty if all is well, otherwise
// what is wrong.

std::string problemOf(const ticket_call& aCall, const call_api_options& aOptions);
std::string problemOf(const submit_call& aCall, const call_api_options& aOptions);
std::string problemOf(const status_call& aCall, const call_api_options& aOptions);
std::string problemOf(const wait_call& aCall, const call_api_options& aOptions);
std::string problemOf(const cancel_call& aCall, const call_api_options& aOptions);
std::string problemOf(const publish_call& aCall, const call_api_options& aOptions);

} // namespace endiveusher::edges::internal
