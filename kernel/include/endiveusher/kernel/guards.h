#pragma once

#include <concepts>

namespace endiveusher {

/// Selects the safety checks of a kernel class. Tests instantiate the kernel with one check
/// removed, to show that the invariants detect its absence.
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

/// Policy with all checks, used by the released daemon.
struct all_guards
{
  /// Orders name the epoch of the target's lease register (M1, M2).
  static constexpr bool kChecksEpoch = true;
  /// No task starts and no request is accepted or decided on a stale view of stream control (M2-M5,
  /// M8, M11).
  static constexpr bool kChecksFreshness = true;
  /// The resources charged to a team stay within this daemon's slice (M4).
  static constexpr bool kChecksSlices = true;
  /// A request id is decided once (M8).
  static constexpr bool kChecksRequestIds = true;
  /// Unanswered start orders count as running until they are confirmed expired (M1).
  static constexpr bool kCountsUnansweredOrders = true;
  /// Targets that are leaving get no new work (M9).
  static constexpr bool kChecksLeaving = true;
  /// A task starts elsewhere only after its lease is confirmed expired (M2).
  static constexpr bool kWaitsForLeases = true;
  /// Configuration offsets only increase (M11).
  static constexpr bool kChecksOffsets = true;
  /// A request that may have run is never refused as not run (M7).
  static constexpr bool kReportsUnknown = true;
  /// A planned stop hands off the jobs and tasks of the daemon (M10).
  static constexpr bool kHandsOver = true;
};
static_assert(guard_policy<all_guards>);

} // namespace endiveusher
