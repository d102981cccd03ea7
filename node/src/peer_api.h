#pragma once

#include "endiveusher/edges/http_loop.h"
#include "endiveusher/scheduler/owner_port.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace endiveusher::node {

/// Paths of the interface between daemons, on the first port of their range.
inline constexpr std::string_view kPeerHelloPath = "/peer/hello";
inline constexpr std::string_view kPeerAdvicePath = "/peer/advice";
/// The owner stores a record of a caller; 503 if it surely has not.
inline constexpr std::string_view kPeerStorePath = "/peer/store";
/// The state of a job as the owner knows it.
inline constexpr std::string_view kPeerStatusPath = "/peer/status";
inline constexpr std::string_view kMetricsPath = "/metrics";
inline constexpr std::string_view kStatePath = "/state";

/// A daemon tells the owner that it can make calls for advice; the answer is how long ago
/// the store has last answered the owner, milliseconds.
inline edges::loop_call encodeHello(const std::string& aOwner, const std::string& aOwnAddress)
{
  return { .mMethod = "POST",
           .mAddress = aOwner,
           .mPath = std::string(kPeerHelloPath),
           .mBody = aOwnAddress,
           .mTimeout = std::chrono::milliseconds(500) };
}

/// The owner asks a daemon to make a call for advice; the answer is the one of the service.
inline edges::loop_call encodePeerAdvice(const scheduler::advice_request& aRequest)
{
  return { .mMethod = "POST",
           .mAddress = aRequest.mHelper,
           .mPath = std::string(kPeerAdvicePath),
           .mBody = nlohmann::json::array({ static_cast<std::uint64_t>(aRequest.mStep.mJob),
                                            aRequest.mStep.mOccurrence, aRequest.mStep.mStep,
                                            aRequest.mTargets, aRequest.mTimeout.count() })
                      .dump(),
           .mTimeout = aRequest.mTimeout };
}

inline absl::StatusOr<scheduler::advice_request> decodePeerAdvice(std::string_view aBody)
{
  try {
    const auto value = nlohmann::json::parse(aBody);
    return scheduler::advice_request{
      .mStep = { .mJob = static_cast<scheduler::job_id>(value.at(0).get<std::uint64_t>()),
                 .mOccurrence = value.at(1),
                 .mStep = value.at(2) },
      .mTargets = value.at(3),
      .mTimeout = std::chrono::milliseconds(value.at(4).get<std::int64_t>())
    };
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(std::string("peer advice: ") + error.what());
  }
}

} // namespace endiveusher::node
