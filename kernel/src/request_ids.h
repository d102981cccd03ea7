#pragma once

#include "endiveusher/kernel/job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endiveusher::internal {

/// A ticket: the request id that its issuer decides for without the log.
struct ticket
{
  incarnation_id mIssuer;
  std::uint64_t mNumber = 0;
};

std::string formatTicket(const ticket& aTicket);
/// Absent if aRequest is not of the form `t.<incarnation>.<number>`.
std::optional<ticket> parseTicket(std::string_view aRequest);

/// Whether aRequest may name a request: 1 to 200 printable ASCII characters.
bool isValidRequestId(std::string_view aRequest);

/// Lower-case hex SHA-256 of a key.
std::string keyDigest(std::string_view aKey);

/// XXH3 over all fields of aJob; tells a retry from another request with the same id.
std::uint64_t bodyDigest(const job_spec& aJob);

} // namespace endiveusher::internal
