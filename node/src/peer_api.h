#pragma once

#include "admission.h"
#include "election.h"
#include "endiveusher/edges/http_loop.h"
#include "endiveusher/edges/url.h"
#include "endiveusher/kernel/json_number.h"
#include "endiveusher/kernel/msgpack.h"
#include "endiveusher/scheduler/journal.h"
#include "endiveusher/scheduler/owner_port.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace endiveusher::node {

/// Paths of the HTTP interface between daemons, on the first port of their range.
inline constexpr std::string_view kPeerHelloPath = "/peer/hello";
inline constexpr std::string_view kPeerAdvicePath = "/peer/advice";
/// Forwards callers' records to the owner, which stores them. The reply has one letter for each
/// record, see forward_result. Without records it shows that the owner has taken the calls before.
inline constexpr std::string_view kPeerStorePath = "/peer/store";
/// Returns the state of a job as the owner knows it; 404 if there is no such job, and 503 if the
/// daemon cannot tell.
inline constexpr std::string_view kPeerStatusPath = "/peer/status";
/// Passes orders to a relay, see order_batch. The reply is 200 before the orders are carried out;
/// with any other status they never are.
inline constexpr std::string_view kPeerOrdersPath = "/peer/orders";
/// Status with which a relay refuses orders because it knows a higher epoch.
inline constexpr int kSupersededStatus = 409;
/// Passes the results of orders to the owner, see order_results.
inline constexpr std::string_view kPeerResultsPath = "/peer/order-results";
/// Returns the number of waiting jobs of the route that the body names.
inline constexpr std::string_view kPeerWaitingPath = "/peer/waiting";
/// Returns the ends of runs that targets have reported to this daemon while it was an owner of an
/// epoch below the one in the body, and that may not be in the journal. An owner of such an epoch
/// steps down first.
inline constexpr std::string_view kPeerUnstoredEndsPath = "/peer/unstored-ends";
inline constexpr std::string_view kMetricsPath = "/metrics";
inline constexpr std::string_view kStatePath = "/state";

/// Largest reading of a daemon's clock, and age: a hundred years.
inline constexpr std::int64_t kMaxPeerClockMs = 100LL * 366 * 24 * 3600 * 1000;
/// Longest time span that a daemon may request of another one.
inline constexpr std::int64_t kMaxPeerSpanMs = 10LL * 60 * 1000;
/// Largest number of cores of a daemon's VM.
inline constexpr double kMaxPeerCores = 100'000;

/// Decodes a time span or clock reading of another daemon. Throws if it is not between aMin and
/// aMax milliseconds.
inline std::chrono::milliseconds millisFrom(const nlohmann::json& aValue, std::int64_t aMin,
                                            std::int64_t aMax)
{
  return std::chrono::milliseconds(integerFrom<std::int64_t>(aValue, aMin, aMax));
}

/// A follower's heartbeat to the owner.
struct hello
{
  /// Address at which the follower makes calls on the owner's behalf; empty if it makes none.
  std::string mAddress;
  /// Cores of the follower's VM that it may use.
  double mCores = 0;
  /// Whether the follower follows the journal.
  bool mStandby = false;
  /// Whether the follower knows enough of what others have stored to own the cell.
  bool mViewCurrent = false;
  bool operator==(const hello&) const = default;
};

/// Encodes a heartbeat; the reply is a hello_reply.
inline edges::loop_call encodeHello(const std::string& aOwner, const hello& aHello)
{
  return { .mMethod = "POST",
           .mAddress = aOwner,
           .mPath = std::string(kPeerHelloPath),
           .mBody = nlohmann::json::array(
                      { aHello.mAddress, aHello.mCores, aHello.mStandby, aHello.mViewCurrent })
                      .dump(),
           .mRepeatable = true,
           .mTimeout = std::chrono::milliseconds(500) };
}

inline absl::StatusOr<hello> decodeHello(std::string_view aBody)
{
  try {
    const auto value = nlohmann::json::parse(aBody);
    hello decoded{ .mAddress = value.at(0),
                   .mCores = value.at(1),
                   .mStandby = value.at(2),
                   // Earlier versions did not write it.
                   .mViewCurrent = value.size() > 3 && value.at(3).get<bool>() };
    if (!decoded.mAddress.empty() && !edges::isIpAndPort(decoded.mAddress)) {
      throw std::invalid_argument("the address is not ip:port");
    }
    if (!(decoded.mCores >= 0 && decoded.mCores <= kMaxPeerCores)) {
      throw std::out_of_range("the number of cores is out of range");
    }
    return decoded;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(std::string("hello: ") + error.what());
  }
}

/// The owner's reply to a follower's heartbeat.
struct hello_reply
{
  /// Reading of the owner's clock.
  std::chrono::milliseconds mOwnerTime{ 0 };
  /// Time since the store last answered the owner.
  std::chrono::milliseconds mStoreAge{ 0 };
  /// Interval of heartbeats that the owner requests from daemons that are no standby.
  std::chrono::milliseconds mInterval{ 0 };
  /// Whether the follower should follow the journal, to become owner at once if this one is lost;
  /// absent while the owner has not decided.
  std::optional<bool> mStandby;
  /// Whether the follower should write the snapshots.
  bool mWritesSnapshots = false;
  /// Largest sizes of the targets, against which followers check jobs.
  cell_capacity mCapacity;
  bool operator==(const hello_reply&) const = default;
};

inline std::string encodeHelloReply(const hello_reply& aReply)
{
  auto pools = nlohmann::json::object();
  for (const auto& [pool, sizes] : aReply.mCapacity.mPools) {
    auto& rows = pools[pool] = nlohmann::json::array();
    for (const auto& size : sizes) {
      rows.push_back({ size.mSlots, size.mCpuMilli, size.mMemoryMb, size.mAccelerators });
    }
  }
  return nlohmann::json::array(
           { aReply.mOwnerTime.count(), aReply.mStoreAge.count(), aReply.mInterval.count(),
             aReply.mStandby ? nlohmann::json(*aReply.mStandby) : nlohmann::json(),
             aReply.mWritesSnapshots, pools })
    .dump();
}

inline absl::StatusOr<hello_reply> decodeHelloReply(std::string_view aBody)
{
  try {
    const auto value = nlohmann::json::parse(aBody);
    hello_reply reply{
      .mOwnerTime = millisFrom(value.at(0), 0, kMaxPeerClockMs),
      .mStoreAge = millisFrom(value.at(1), 0, kMaxPeerClockMs),
      .mInterval = millisFrom(value.at(2), 0, kMaxPeerSpanMs),
      .mWritesSnapshots = value.at(4),
    };
    if (!value.at(3).is_null()) {
      reply.mStandby = value.at(3).get<bool>();
    }
    for (const auto& [pool, rows] : value.at(5).items()) {
      auto& sizes = reply.mCapacity.mPools[pool];
      for (const auto& row : rows) {
        sizes.push_back({ .mSlots = row.at(0),
                          .mCpuMilli = row.at(1),
                          .mMemoryMb = row.at(2),
                          .mAccelerators = row.at(3) });
      }
    }
    return reply;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(std::string("hello reply: ") + error.what());
  }
}

/// Result of forwarding a record to the owner, as sent in the reply.
enum class forward_result : char
{
  stored = 's',
  /// Confirmed not to be stored: the daemon is not the owner, or may not act as such yet.
  refused = 'r',
  /// Confirmed not to be stored: the owner's own appends are behind. The follower may not append a
  /// submission past the owner's admission.
  busy = 'b',
  /// Confirmed not to be stored, and not to be appended by the follower either: the owner accepts
  /// no further job of the team at present.
  overloaded = 'o',
  unknown = 'u',
};

/// In place of forward_result::overloaded, the reply holds the time after which the caller should
/// come back: this value plus the seconds, from 1 to kMaxForwardedRetryAfter.
inline constexpr int kRetryAfterOffset = 128;
inline constexpr std::chrono::seconds kMaxForwardedRetryAfter{ 60 };

inline char encodeRetryAfter(std::chrono::seconds aTime)
{
  const auto time = std::clamp(aTime, std::chrono::seconds(1), kMaxForwardedRetryAfter);
  return static_cast<char>(kRetryAfterOffset + time.count());
}

/// Returns the time that a result in the reply states; 0 if it states none.
inline std::chrono::seconds decodeRetryAfter(char aResult)
{
  const std::chrono::seconds time(static_cast<unsigned char>(aResult) - kRetryAfterOffset);
  return time > kMaxForwardedRetryAfter ? std::chrono::seconds{ 0 }
                                        : std::max(time, std::chrono::seconds{ 0 });
}

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

inline std::string encodeEpoch(std::uint64_t aEpoch)
{
  return nlohmann::json::array({ aEpoch }).dump();
}

inline absl::StatusOr<std::uint64_t> decodeEpoch(std::string_view aBody)
{
  try {
    return integerFrom<std::uint64_t>(nlohmann::json::parse(aBody).at(0), 0, kMaxEpoch);
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(std::string("epoch: ") + error.what());
  }
}

inline std::string encodeEnds(std::span<const scheduler::run_ended> aEnds)
{
  std::vector<std::string> records;
  records.reserve(aEnds.size());
  for (const auto& one : aEnds) {
    records.push_back(scheduler::encode(one));
  }
  return encodeForwardedRecords(records);
}

inline absl::StatusOr<std::vector<scheduler::run_ended>> decodeEnds(std::string_view aBody)
{
  const auto records = decodeForwardedRecords(aBody);
  if (!records.ok()) {
    return records.status();
  }
  std::vector<scheduler::run_ended> ends;
  for (const auto& bytes : *records) {
    const auto record = scheduler::decodeRecord(bytes);
    if (!record.ok()) {
      return record.status();
    }
    const auto* end = std::get_if<scheduler::run_ended>(&*record);
    if (end == nullptr) {
      return absl::InvalidArgumentError("a record is not the end of a run");
    }
    ends.push_back(*end);
  }
  return ends;
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
                      // Targets' ids are keys of the registry, which may be no valid UTF-8.
                      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
           .mRepeatable = true,
           .mTimeout = aRequest.mTimeout };
}

inline absl::StatusOr<scheduler::advice_request> decodePeerAdvice(std::string_view aBody)
{
  try {
    const auto value = nlohmann::json::parse(aBody);
    return scheduler::advice_request{ .mStep = { .mJob = static_cast<scheduler::job_id>(
                                                   value.at(0).get<std::uint64_t>()),
                                                 .mOccurrence = value.at(1),
                                                 .mStep = value.at(2) },
                                      .mTargets = value.at(3),
                                      // libcurl takes 0 for no timeout.
                                      .mTimeout = millisFrom(value.at(4), 1, kMaxPeerSpanMs) };
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(std::string("peer advice: ") + error.what());
  }
}

} // namespace endiveusher::node
