#pragma once

#include "endiveusher/platform/messages.h"
#include "endiveusher/platform/store.h"
#include "endiveusher/scheduler/cell_config.h"
#include "endiveusher/scheduler/journal.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <string>
#include <string_view>

namespace endiveusher::node {

/// Retry delay of a job that can never fit unless the operator changes the configuration.
inline constexpr std::chrono::seconds kRetryAfterConfigChange{ 60 };

/// Decodes a caller's submission of a job that is submitted now.
inline absl::StatusOr<scheduler::job_spec> decodeSubmission(std::string_view aBody,
                                                            scheduler::job_id aId,
                                                            const scheduler::route_config& aRoute,
                                                            const std::string& aTeam)
{
  auto spec = platform::decodeJob(aBody);
  if (spec.ok()) {
    spec->mId = aId;
    spec->mRoute = aRoute.mName;
    spec->mTeam = aTeam;
    spec->mAcceptedBy = jobTermsOf(aRoute);
    spec->mSubmitted = std::chrono::duration_cast<scheduler::wall_time>(
      std::chrono::system_clock::now().time_since_epoch());
  }
  return spec;
}

/// Whether the job's record is larger than the store takes. Only long bodies make long records.
inline bool isTooLarge(const scheduler::job_spec& aSpec, std::size_t aBodyBytes)
{
  return aBodyBytes > platform::kMaxRecordBytes / 2 &&
         encode(scheduler::job_submitted{ .mSpec = aSpec }).size() > platform::kMaxRecordBytes;
}

} // namespace endiveusher::node
