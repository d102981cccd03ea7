#include "loop_profiler.h"

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace endiveusher::node {

namespace {

constexpr std::array<std::string_view, 5> kPhaseNames{ "idle", "callers", "store", "decisions",
                                                       "calls" };

} // namespace

loop_profiler::loop_profiler(const clock& aClock) : mClock(aClock), mSince(aClock.now()) {}

loop_phase loop_profiler::enter(loop_phase aPhase)
{
  const auto now = mClock.now();
  mTotals[static_cast<std::size_t>(mPhase)] += now - mSince;
  mSince = now;
  return std::exchange(mPhase, aPhase);
}

loop_load loop_profiler::load()
{
  enter(mPhase);
  duration whole{ 0 };
  std::array<duration, kPhases> parts{};
  for (std::size_t phase = 0; phase < kPhases; ++phase) {
    parts[phase] = mTotals[phase] - mLoaded[phase];
    whole += parts[phase];
  }
  mLoaded = mTotals;
  if (whole <= duration{ 0 }) {
    return {};
  }
  const auto fraction = [&](loop_phase aPhase) {
    return std::chrono::duration<double>(parts[static_cast<std::size_t>(aPhase)]) /
           std::chrono::duration<double>(whole);
  };
  return { .mIdle = fraction(loop_phase::idle), .mCalls = fraction(loop_phase::calls) };
}

std::string loop_profiler::report()
{
  enter(mPhase);
  duration whole{ 0 };
  for (std::size_t phase = 0; phase < kPhases; ++phase) {
    whole += mTotals[phase] - mReported[phase];
  }
  std::string text;
  for (std::size_t phase = 0; phase < kPhases; ++phase) {
    const auto part = mTotals[phase] - mReported[phase];
    const auto percent = whole > duration{ 0 } ? 100 * part / whole : 0;
    text += fmt::format("{}{}={}", text.empty() ? "" : " ", kPhaseNames[phase], percent);
  }
  mReported = mTotals;
  return text;
}

std::string loop_profiler::metrics() const
{
  std::string text;
  for (std::size_t phase = 0; phase < kPhases; ++phase) {
    text += fmt::format("endiveusher_loop_seconds_total{{phase=\"{}\"}} {:.3f}\n",
                        kPhaseNames[phase], std::chrono::duration<double>(mTotals[phase]).count());
  }
  return text;
}

} // namespace endiveusher::node
