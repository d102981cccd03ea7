#pragma once

#include "endiveusher/kernel/time.h"

#include <memory>
#include <string>
#include <string_view>

namespace endiveusher::daemon {

/// Count, sum, largest value and estimated quantiles of durations since construction, in constant
/// memory (P-square estimators).
///
/// Usage: `summary.record(elapsed); text += summary.render("endiveusher_append_seconds", "...");`
class quantile_summary
{
public:
  quantile_summary();
  ~quantile_summary();
  quantile_summary(quantile_summary&&) noexcept;
  quantile_summary& operator=(quantile_summary&&) noexcept;

  void record(duration aValue);
  /// Returns the summary in the Prometheus text format, in seconds. Quantiles are omitted below 20
  /// values, which are too few for the estimators.
  std::string render(std::string_view aName, std::string_view aHelp) const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::daemon
