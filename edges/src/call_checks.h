#pragma once

#include "endiveusher/edges/call_api.h"
#include "endiveusher/kernel/messages/call.h"

#include <string>

namespace endiveusher::edges::internal {

// Check the values of a call beyond the schema. Each returns a description of the first error, or
// an empty string if the call is valid.

std::string validationError(const ticket_call& aCall, const call_api_options& aOptions);
std::string validationError(const submit_call& aCall, const call_api_options& aOptions);
std::string validationError(const status_call& aCall, const call_api_options& aOptions);
std::string validationError(const wait_call& aCall, const call_api_options& aOptions);
std::string validationError(const cancel_call& aCall, const call_api_options& aOptions);
std::string validationError(const publish_call& aCall, const call_api_options& aOptions);

} // namespace endiveusher::edges::internal
