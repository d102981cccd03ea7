#include "quantile_summary.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>
#include <iterator>

namespace endiveusher::daemon {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 4> kQuantiles{ 0.5, 0.9, 0.99, 0.999 };
constexpr std::size_t kMinValuesForQuantiles = 20;

using accumulator = accumulators::accumulator_set<
  double,
  accumulators::stats<accumulators::tag::count, accumulators::tag::sum, accumulators::tag::max,
                      accumulators::tag::extended_p_square_quantile>>;

} // namespace

class quantile_summary::impl
{
public:
  accumulator mValues{ accumulators::extended_p_square_probabilities = kQuantiles };
};

quantile_summary::quantile_summary() : mImpl(std::make_unique<impl>()) {}

quantile_summary::~quantile_summary() = default;
quantile_summary::quantile_summary(quantile_summary&&) noexcept = default;
quantile_summary& quantile_summary::operator=(quantile_summary&&) noexcept = default;

void quantile_summary::record(duration aValue)
{
  mImpl->mValues(std::chrono::duration<double>(aValue).count());
}

std::string quantile_summary::render(std::string_view aName, std::string_view aHelp) const
{
  const auto& values = mImpl->mValues;
  const std::size_t count = accumulators::count(values);
  std::string text;
  auto out = std::back_inserter(text);
  fmt::format_to(out, "# HELP {0} {1}\n# TYPE {0} summary\n", aName, aHelp);
  if (count >= kMinValuesForQuantiles) {
    for (const double quantile : kQuantiles) {
      fmt::format_to(out, "{}{{quantile=\"{}\"}} {:.9g}\n", aName, quantile,
                     accumulators::quantile(values, accumulators::quantile_probability = quantile));
    }
  }
  fmt::format_to(out, "{}_sum {:.9g}\n{}_count {}\n", aName,
                 count == 0 ? 0.0 : accumulators::sum(values), aName, count);
  fmt::format_to(out, "# TYPE {0}_max gauge\n{0}_max {1:.9g}\n", aName,
                 count == 0 ? 0.0 : accumulators::max(values));
  return text;
}

} // namespace endiveusher::daemon
