#pragma once

#include "endiveusher/kernel/messages/call.h"
#include "endiveusher/kernel/messages/platform.h"
#include "endiveusher/kernel/messages/target.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::protocol {

/// Body of `POST /v1/streams/{stream}/append`. Records are opaque to the log service.
struct append_request
{
  /// Identifies this append in the log service's own logs; the service does not deduplicate by it.
  std::string mAppendId;
  std::vector<std::string> mRecords;
};
/// Response to an append.
struct append_response
{
  /// Offset of the first appended record.
  log_offset mOffset = 0;
};
struct log_entry
{
  log_offset mOffset = 0;
  std::string mRecord;
};
/// Response to `GET /v1/streams/{stream}?from=&max=`.
struct read_response
{
  std::vector<log_entry> mEntries;
  log_offset mEnd = 0;
  log_offset mFirst = 0;
};

/// Returns the JSON form of aValue, as described in the schema file.
/// T: exchange_request, exchange_response, control_record, job_record, vm_list, append_request,
/// append_response, read_response, answer, and each alternative of call.
template<typename T>
std::string toJson(const T& aValue);

/// Inverse of toJson. Returns INVALID_ARGUMENT with the cause for malformed JSON, unknown or
/// repeated fields, wrong types, negative sizes and numbers out of range.
template<typename T>
absl::StatusOr<T> fromJson(std::string_view aText);

} // namespace endiveusher::protocol
