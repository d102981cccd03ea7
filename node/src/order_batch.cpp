#include "order_batch.h"

#include "endiveusher/kernel/json_number.h"
#include "endiveusher/kernel/msgpack.h"
#include "peer_api.h"

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <concepts>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <type_traits>
#include <utility>

namespace endiveusher::node {

namespace {

using nlohmann::json;

/// Largest reading of a target's clock: the year 9999, as for targets' own replies.
constexpr std::int64_t kMaxTargetTimeMs = 253'402'300'799'999;
/// Latest end of a lease.
constexpr std::int64_t kMaxLeaseMs = kMaxTargetTimeMs + kMaxPeerSpanMs;

enum class order_kind : int
{
  heartbeat = 0,
  start = 1,
  stop = 2,
};

/// Decodes an enumeration whose values are 0 to aLast.
template<typename Enum>
Enum decodeEnum(const json& aValue, Enum aLast)
{
  return static_cast<Enum>(integerFrom<std::int64_t>(aValue, 0, static_cast<std::int64_t>(aLast)));
}

/// Decodes a number of an order or end, or of a run, step or task.
template<std::unsigned_integral Integer>
Integer decodeNumber(const json& aValue)
{
  return integerFrom<Integer>(aValue, 0, std::numeric_limits<Integer>::max());
}

/// Decodes the number of an order, which is the batch's epoch unless the order has an element for
/// it.
std::uint64_t decodeFence(const json& aOrder, std::size_t aElement, std::uint64_t aEpoch)
{
  return aOrder.size() > aElement ? integerFrom<std::uint64_t>(aOrder.at(aElement), 0, kMaxEpoch)
                                  : aEpoch;
}

target_time decodeLease(const json& aValue)
{
  return target_time(integerFrom<std::int64_t>(aValue, 0, kMaxLeaseMs));
}

/// Elements of orders that hold the number.
constexpr std::size_t kHeartbeatFence = 6;
constexpr std::size_t kStartFence = 9;
constexpr std::size_t kStopFence = 5;

json encodeTask(const scheduler::task_key& aTask)
{
  return json::array({ static_cast<std::uint64_t>(aTask.mStep.mJob), aTask.mStep.mOccurrence,
                       aTask.mStep.mStep, aTask.mIndex });
}

scheduler::task_key decodeTask(const json& aTask)
{
  return { .mStep = { .mJob =
                        static_cast<scheduler::job_id>(decodeNumber<std::uint64_t>(aTask.at(0))),
                      .mOccurrence = decodeNumber<std::uint32_t>(aTask.at(1)),
                      .mStep = decodeNumber<std::uint32_t>(aTask.at(2)) },
           .mIndex = decodeNumber<std::uint32_t>(aTask.at(3)) };
}

/// The number follows only if it is not the epoch. Relays of the former version ignore it and send
/// the epoch, which a target rejects that has had a higher number.
json encodeOrder(const scheduler::heartbeat_order& aOrder)
{
  auto order = json::array({ order_kind::heartbeat, aOrder.mTarget, aOrder.mAddress,
                             aOrder.mLeaseUntil ? json(aOrder.mLeaseUntil->count()) : json(),
                             aOrder.mStoredEndNumber, aOrder.mWait.count() });
  if (aOrder.mFence != aOrder.mEpoch) {
    order.push_back(aOrder.mFence);
  }
  return order;
}

/// The payload follows only if it differs from that of the start before, as the tasks of a step
/// share it, or if the number follows.
json encodeOrder(const scheduler::start_order& aOrder, const std::string*& aLastPayload)
{
  auto order =
    json::array({ order_kind::start, aOrder.mTarget, aOrder.mAddress, encodeTask(aOrder.mTask),
                  aOrder.mRun, aOrder.mLeaseUntil.count(), aOrder.mCheckpoint, aOrder.mTicket });
  const bool hasFence = aOrder.mFence != aOrder.mEpoch;
  if (hasFence || aLastPayload == nullptr || *aLastPayload != aOrder.mPayload) {
    order.push_back(json::binary({ aOrder.mPayload.begin(), aOrder.mPayload.end() }));
    aLastPayload = &aOrder.mPayload;
  }
  if (hasFence) {
    order.push_back(aOrder.mFence);
  }
  return order;
}

json encodeOrder(const scheduler::stop_order& aOrder)
{
  auto order = json::array(
    { order_kind::stop, aOrder.mTarget, aOrder.mAddress, encodeTask(aOrder.mTask), aOrder.mRun });
  if (aOrder.mFence != aOrder.mEpoch) {
    order.push_back(aOrder.mFence);
  }
  return order;
}

target_order decodeOrder(const json& aOrder, std::uint64_t aEpoch, std::string& aLastPayload)
{
  switch (decodeEnum(aOrder.at(0), order_kind::stop)) {
    case order_kind::heartbeat: {
      scheduler::heartbeat_order order{ .mTarget = aOrder.at(1),
                                        .mAddress = aOrder.at(2),
                                        .mEpoch = aEpoch,
                                        .mFence = decodeFence(aOrder, kHeartbeatFence, aEpoch),
                                        .mStoredEndNumber =
                                          decodeNumber<std::uint64_t>(aOrder.at(4)),
                                        .mWait = millisFrom(aOrder.at(5), 0, kMaxPeerSpanMs) };
      if (!aOrder.at(3).is_null()) {
        order.mLeaseUntil = decodeLease(aOrder.at(3));
      }
      return order;
    }
    case order_kind::start: {
      if (aOrder.size() > 8) {
        const auto& payload = aOrder.at(8).get_binary();
        aLastPayload.assign(payload.begin(), payload.end());
      }
      return scheduler::start_order{ .mTarget = aOrder.at(1),
                                     .mAddress = aOrder.at(2),
                                     .mTask = decodeTask(aOrder.at(3)),
                                     .mRun = decodeNumber<std::uint32_t>(aOrder.at(4)),
                                     .mPayload = aLastPayload,
                                     .mLeaseUntil = decodeLease(aOrder.at(5)),
                                     .mEpoch = aEpoch,
                                     .mFence = decodeFence(aOrder, kStartFence, aEpoch),
                                     .mCheckpoint = aOrder.at(6),
                                     .mTicket = aOrder.at(7) };
    }
    case order_kind::stop:
      return scheduler::stop_order{ .mTarget = aOrder.at(1),
                                    .mAddress = aOrder.at(2),
                                    .mTask = decodeTask(aOrder.at(3)),
                                    .mRun = decodeNumber<std::uint32_t>(aOrder.at(4)),
                                    .mEpoch = aEpoch,
                                    .mFence = decodeFence(aOrder, kStopFence, aEpoch) };
  }
  throw std::invalid_argument("unknown kind of order");
}

json encodeReport(const scheduler::target_report& aReport)
{
  auto running = json::array();
  for (const auto& run : aReport.mRunning) {
    running.push_back({ encodeTask(run.mTask), run.mRun, run.mCheckpoint });
  }
  auto ended = json::array();
  for (const auto& end : aReport.mEnded) {
    ended.push_back(
      { end.mNumber, encodeTask(end.mTask), end.mRun, end.mOutcome, end.mCheckpoint });
  }
  return json::array(
    { aReport.mClock.count(), aReport.mIncarnationStart, std::move(running), std::move(ended) });
}

scheduler::target_report decodeReport(const json& aReport)
{
  scheduler::target_report report{
    .mClock = target_time(integerFrom<std::int64_t>(aReport.at(0), 0, kMaxTargetTimeMs)),
    .mIncarnationStart = integerFrom<std::int64_t>(aReport.at(1), 0, kMaxTargetTimeMs)
  };
  for (const auto& run : aReport.at(2)) {
    report.mRunning.push_back({ .mTask = decodeTask(run.at(0)),
                                .mRun = decodeNumber<std::uint32_t>(run.at(1)),
                                .mCheckpoint = run.at(2) });
  }
  for (const auto& end : aReport.at(3)) {
    const auto outcome = decodeEnum(end.at(3), scheduler::reported_end::gang_incomplete);
    report.mEnded.push_back({ .mNumber = integerFrom<std::uint64_t>(
                                end.at(0), 0, std::numeric_limits<std::int64_t>::max()),
                              .mTask = decodeTask(end.at(1)),
                              .mRun = decodeNumber<std::uint32_t>(end.at(2)),
                              .mOutcome = outcome,
                              .mCheckpoint = end.at(4) });
  }
  return report;
}

std::string toMsgpack(const json& aValue)
{
  std::string bytes;
  json::to_msgpack(aValue, bytes);
  return bytes;
}

} // namespace

std::string encode(const order_batch& aBatch)
{
  auto orders = json::array();
  const std::string* lastPayload = nullptr;
  for (const auto& [number, order] : aBatch.mOrders) {
    orders.push_back({ number, std::visit(
                                 [&lastPayload](const auto& aOne) {
                                   using type = std::decay_t<decltype(aOne)>;
                                   if constexpr (std::is_same_v<type, scheduler::start_order>) {
                                     return encodeOrder(aOne, lastPayload);
                                   } else {
                                     return encodeOrder(aOne);
                                   }
                                 },
                                 order) });
  }
  return toMsgpack(
    json::array({ aBatch.mEpoch, aBatch.mOwner, aBatch.mSentAt.count(), std::move(orders) }));
}

std::string encode(const order_results& aResults)
{
  auto results = json::array();
  for (const auto& result : aResults.mResults) {
    auto row = json::array({ result.mNumber, result.mOutcome });
    if (result.mReport) {
      row.push_back(encodeReport(*result.mReport));
    }
    results.push_back(std::move(row));
  }
  return toMsgpack(json::array({ aResults.mEpoch, std::move(results) }));
}

absl::StatusOr<order_batch> decodeOrderBatch(std::string_view aBytes)
{
  try {
    const auto value = parseMsgpack(aBytes);
    order_batch batch{ .mEpoch = integerFrom<std::uint64_t>(value.at(0), 0, kMaxEpoch),
                       .mOwner = value.at(1),
                       .mSentAt = millisFrom(value.at(2), 0, kMaxPeerClockMs) };
    std::string lastPayload;
    for (const auto& row : value.at(3)) {
      batch.mOrders.push_back({ .mNumber = decodeNumber<std::uint64_t>(row.at(0)),
                                .mOrder = decodeOrder(row.at(1), batch.mEpoch, lastPayload) });
    }
    return batch;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(absl::StrCat("order batch: ", error.what()));
  }
}

absl::StatusOr<order_results> decodeOrderResults(std::string_view aBytes)
{
  try {
    const auto value = parseMsgpack(aBytes);
    order_results results{ .mEpoch = integerFrom<std::uint64_t>(value.at(0), 0, kMaxEpoch) };
    for (const auto& row : value.at(1)) {
      order_result result{ .mNumber = decodeNumber<std::uint64_t>(row.at(0)),
                           .mOutcome = decodeEnum(row.at(1), scheduler::order_outcome::undefined) };
      if (row.size() > 2) {
        result.mReport = decodeReport(row.at(2));
      }
      results.mResults.push_back(std::move(result));
    }
    return results;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(absl::StrCat("order results: ", error.what()));
  }
}

} // namespace endiveusher::node
