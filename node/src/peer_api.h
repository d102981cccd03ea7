#pragma once

#include "endiveusher/edges/http_loop.h"
#include "endiveusher/scheduler/owner_port.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::node {

/// Paths of the interface between daemons, on the first port of their range.
inline constexpr std::string_view kPeerHelloPath = "/peer/hello";
inline constexpr std::string_view kPeerAdvicePath = "/peer/advice";
/// The owner stores records of callers; the answer has one letter for each, see hand_over_result.
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

/// What became of a record that was handed to the owner.
enum class hand_over_result : char
{
  stored = 's',
  /// Surely not stored.
  refused = 'r',
  unknown = 'u',
};

inline std::string encodeHandOver(std::span<const std::string> aRecords)
{
  auto records = nlohmann::json::array();
  for (const auto& record : aRecords) {
    records.push_back(nlohmann::json::binary({ record.begin(), record.end() }));
  }
  std::string bytes;
  nlohmann::json::to_msgpack(records, bytes);
  return bytes;
}

inline absl::StatusOr<std::vector<std::string>> decodeHandOver(std::string_view aBody)
{
  try {
    std::vector<std::string> records;
    for (const auto& one : nlohmann::json::from_msgpack(aBody.begin(), aBody.end())) {
      const auto& bytes = one.get_binary();
      records.emplace_back(bytes.begin(), bytes.end());
    }
    return records;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(std::string("hand-over: ") + error.what());
  }
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
