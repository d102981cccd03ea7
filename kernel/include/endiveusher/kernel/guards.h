#pragma once

#include <concepts>

namespace endiveusher {

/// Which safety checks a kernel class makes. Tests instantiate the kernel with one check removed to
/// show that the invariants notice its absence.
template<typename T>
concept guard_policy = requires
{
  {
    T::kChecksEpoch
    } -> std::convertible_to<bool>;
  {
    T::kChecksFreshness
    } -> std::convertible_to<bool>;
  {
    T::kChecksSlices
    } -> std::convertible_to<bool>;
  {
    T::kChecksRequestIds
    } -> std::convertible_to<bool>;
  {
    T::kCountsUnansweredOrders
    } -> std::convertible_to<bool>;
  {
    T::kChecksLeaving
    } -> std::convertible_to<bool>;
  {
    T::kWaitsForLeases
    } -> std::convertible_to<bool>;
  {
    T::kChecksOffsets
    } -> std::convertible_to<bool>;
  {
    T::kReportsUnknown
    } -> std::convertible_to<bool>;
  {
    T::kHandsOver
    } -> std::convertible_to<bool>;
};

/// All checks; the policy of the shipped daemon.
struct all_guards
{
  /// Orders name the epoch of the target's lease register (M1, M2).
  static constexpr bool kChecksEpoch = true;
  /// Nothing starts, is accepted or decided on a stale view of stream control (M2-M5, M8, M11).
  static constexpr bool kChecksFreshness = true;
  /// A team's charge stays within this daemon's slice (M4).
  static constexpr bool kChecksSlices = true;
  /// One request id is decided once (M8).
  static constexpr bool kChecksRequestIds = true;
  /// Orders without an answer count as running until they have surely expired (M1).
  static constexpr bool kCountsUnansweredOrders = true;
  /// Targets that are leaving get no new work (M9).
  static constexpr bool kChecksLeaving = true;
  /// A task starts elsewhere only after its lease has surely ended (M2).
  static constexpr bool kWaitsForLeases = true;
  /// Configuration offsets only grow (M11).
  static constexpr bool kChecksOffsets = true;
  /// A request that may have run is never refused as not run (M7).
  static constexpr bool kReportsUnknown = true;
  /// A planned stop hands over what the daemon holds (M10).
  static constexpr bool kHandsOver = true;
};
static_assert(guard_policy<all_guards>);

} // namespace endiveusher
