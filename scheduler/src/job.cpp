#include "endiveusher/scheduler/job.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>

namespace endiveusher::scheduler {

namespace {

template<typename Number>
bool parseNumber(std::string_view aText, Number& aNumber, int aBase = 10)
{
  const auto* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, aNumber, aBase);
  return !aText.empty() && parsed.ec == std::errc() && parsed.ptr == end;
}

} // namespace

std::optional<job_id> parseJobId(std::string_view aText)
{
  // Upper-case digits are rejected: an id has exactly one textual form.
  const bool lowerHex = std::ranges::all_of(
    aText, [](char aOne) { return (aOne >= '0' && aOne <= '9') || (aOne >= 'a' && aOne <= 'f'); });
  std::uint64_t number = 0;
  if (aText.size() != kJobIdDigits || !lowerHex || !parseNumber(aText, number, 16)) {
    return std::nullopt;
  }
  return static_cast<job_id>(number);
}

std::string toText(job_id aId)
{
  return fmt::format("{:016x}", static_cast<std::uint64_t>(aId));
}

std::string toText(const step_key& aKey)
{
  return fmt::format("{:016x}.{}.{}", static_cast<std::uint64_t>(aKey.mJob), aKey.mOccurrence,
                     aKey.mStep);
}

std::string toText(const task_key& aKey)
{
  return fmt::format("{}.{}", toText(aKey.mStep), aKey.mIndex);
}

std::optional<task_key> parseTaskKey(std::string_view aText)
{
  std::array<std::string_view, 4> parts;
  for (std::size_t part = 0; part < parts.size(); ++part) {
    const auto dot = aText.find('.');
    if ((dot == std::string_view::npos) != (part + 1 == parts.size())) {
      return std::nullopt;
    }
    parts[part] = aText.substr(0, dot);
    aText.remove_prefix(dot == std::string_view::npos ? aText.size() : dot + 1);
  }
  task_key key;
  const auto id = parseJobId(parts[0]);
  if (!id || !parseNumber(parts[1], key.mStep.mOccurrence) ||
      !parseNumber(parts[2], key.mStep.mStep) || !parseNumber(parts[3], key.mIndex)) {
    return std::nullopt;
  }
  key.mStep.mJob = *id;
  return key;
}

std::string_view toText(run_end aOutcome)
{
  switch (aOutcome) {
    case run_end::done:
      return "done";
    case run_end::failed:
      return "failed";
    case run_end::interrupted:
      return "interrupted";
    case run_end::not_run:
      return "not_run";
    case run_end::target_lost:
      return "target_lost";
    case run_end::target_lost_at_start:
      return "target_lost_at_start";
    case run_end::target_silent:
      return "target_silent";
    case run_end::target_silent_at_start:
      return "target_silent_at_start";
  }
  return "unknown";
}

const step_state* job::find(const step_key& aKey) const
{
  const auto found = mOccurrences.find(aKey.mOccurrence);
  return found == mOccurrences.end() || aKey.mStep >= found->second.size()
           ? nullptr
           : &found->second[aKey.mStep];
}

const task_state& job::taskOf(const task_key& aKey) const
{
  static const task_state kInitial;
  const auto* step = find(aKey.mStep);
  return step == nullptr ? kInitial : step->mTasks[aKey.mIndex];
}

bool job::eligible(const step_key& aKey) const
{
  const auto found = mOccurrences.find(aKey.mOccurrence);
  if (found == mOccurrences.end()) {
    return false;
  }
  return std::ranges::all_of(mSpec.mSteps[aKey.mStep].mAfter, [&found](std::uint32_t aStep) {
    return found->second[aStep].complete();
  });
}

} // namespace endiveusher::scheduler
