#pragma once

#include "endiveusher/scheduler/owner_port.h"
#include "endiveusher/scheduler/target.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace endiveusher::node {

/// An order of the owner to a target.
using target_order =
  std::variant<scheduler::heartbeat_order, scheduler::start_order, scheduler::stop_order>;

struct numbered_order
{
  /// Number that the result quotes; unique within the owner's epoch.
  std::uint64_t mNumber = 0;
  target_order mOrder;
};

/// Orders that a daemon sends to targets on the owner's behalf. All are of the owner's epoch.
struct order_batch
{
  std::uint64_t mEpoch = 0;
  /// `ip:port` at which the owner receives the results.
  std::string mOwner;
  /// Time on the owner's clock at which the batch was sent.
  std::chrono::milliseconds mSentAt{ 0 };
  std::vector<numbered_order> mOrders;
};

/// What became of an order.
struct order_result
{
  std::uint64_t mNumber = 0;
  scheduler::order_outcome mOutcome = scheduler::order_outcome::unanswered;
  /// The target's reply to an accepted heartbeat; absent for other orders.
  std::optional<scheduler::target_report> mReport;
};

struct order_results
{
  std::uint64_t mEpoch = 0;
  std::vector<order_result> mResults;
};

std::string encode(const order_batch& aBatch);
std::string encode(const order_results& aResults);
/// INVALID_ARGUMENT if the bytes are malformed.
absl::StatusOr<order_batch> decodeOrderBatch(std::string_view aBytes);
absl::StatusOr<order_results> decodeOrderResults(std::string_view aBytes);

} // namespace endiveusher::node
