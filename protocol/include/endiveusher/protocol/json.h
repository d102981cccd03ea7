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
  /// Names this append in the service's own logs; the service does not look for duplicates.
  std::string mAppendId;
  std::vector<std::string> mRecords;
};
/// Answer to an append.
struct append_response
{
  /// Offset of the first record.
  log_offset mOffset = 0;
};
struct log_entry
{
  log_offset mOffset = 0;
  std::string mRecord;
};
/// Answer to `GET /v1/streams/{stream}?from=&max=`.
struct read_response
{
  std::vector<log_entry> mEntries;
  log_offset mEnd = 0;
  log_offset mFirst = 0;
};

/// JSON form of T as the schema file describes it.
/// T: exchange_request, exchange_response, control_record, job_record, vm_list, append_request,
/// append_response, read_response, answer, and each alternative of call.
template<typename T>
std::string toJson(const T& aValue);

/// Inverse of toJson. Errors: INVALID_ARGUMENT with what was wrong; unknown fields, wrong types,
/// negative sizes and numbers out of range are errors.
template<typename T>
absl::StatusOr<T> fromJson(std::string_view aText);

} // namespace endiveusher::protocol
