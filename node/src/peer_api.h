#pragma once

#include "endiveusher/edges/http_loop.h"
#include "endiveusher/kernel/msgpack.h"
#include "endiveusher/scheduler/owner_port.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::node {

/// Paths of the HTTP interface between daemons, on the first port of their range.
inline constexpr std::string_view kPeerHelloPath = "/peer/hello";
inline constexpr std::string_view kPeerAdvicePath = "/peer/advice";
/// Forwards callers' records to the owner, which stores them. The reply has one letter for each
/// record, see forward_result.
inline constexpr std::string_view kPeerStorePath = "/peer/store";
/// Returns the state of a job as the owner knows it.
inline constexpr std::string_view kPeerStatusPath = "/peer/status";
inline constexpr std::string_view kMetricsPath = "/metrics";
inline constexpr std::string_view kStatePath = "/state";

/// Encodes a follower's heartbeat, which offers the owner to make calls for advice at
/// aAdviceAddress, unless that is empty. The reply is the time since the store last answered the
/// owner, in milliseconds.
inline edges::loop_call encodeHello(const std::string& aOwner, const std::string& aAdviceAddress)
{
  return { .mMethod = "POST",
           .mAddress = aOwner,
           .mPath = std::string(kPeerHelloPath),
           .mBody = aAdviceAddress,
           .mTimeout = std::chrono::milliseconds(500) };
}

/// Result of forwarding a record to the owner, as sent in the reply.
enum class forward_result : char
{
  stored = 's',
  /// Confirmed not to be stored.
  refused = 'r',
  unknown = 'u',
};

inline std::string encodeForwardedRecords(std::span<const std::string> aRecords)
{
  auto records = nlohmann::json::array();
  for (const auto& record : aRecords) {
    records.push_back(nlohmann::json::binary({ record.begin(), record.end() }));
  }
  std::string bytes;
  nlohmann::json::to_msgpack(records, bytes);
  return bytes;
}

inline absl::StatusOr<std::vector<std::string>> decodeForwardedRecords(std::string_view aBody)
{
  try {
    std::vector<std::string> records;
    for (const auto& one : parseMsgpack(aBody)) {
      const auto& bytes = one.get_binary();
      records.emplace_back(bytes.begin(), bytes.end());
    }
    return records;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(std::string("forwarded records: ") + error.what());
  }
}

/// Encodes the owner's request that a daemon make a call for advice on its behalf. The reply is
/// that of the advice service.
inline edges::loop_call encodePeerAdvice(const scheduler::advice_request& aRequest)
{
  return { .mMethod = "POST",
           .mAddress = aRequest.mDaemon,
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
