#pragma once

#include "endiveusher/kernel/job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endiveusher::internal {

/// A request id on which its issuer decides without the log.
struct ticket
{
  incarnation_id mIssuer;
  std::uint64_t mNumber = 0;
};

std::string formatTicket(const ticket& aTicket);
/// Parses a ticket; absent if aRequest is not of the form `t.<incarnation>.<number>`.
std::optional<ticket> parseTicket(std::string_view aRequest);

/// Whether aRequest is a valid request id: 1 to 200 printable ASCII characters without spaces.
bool isValidRequestId(std::string_view aRequest);

/// Returns the lower-case hex SHA-256 of a key.
std::string keyDigest(std::string_view aKey);

/// Returns the XXH3 hash of all fields of aJob but its id; distinguishes a retry from another
/// request with the same id.
std::uint64_t bodyDigest(const job_spec& aJob);

} // namespace endiveusher::internal
