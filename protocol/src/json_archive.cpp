#include "json_archive.h"

namespace endiveusher::protocol::internal {

void json_reader::throwInvalidField(const char* aName, const char* aWhat)
{
  std::string name = aName;
  if (!name.empty()) {
    name.front() = static_cast<char>(name.front() | 0x20);
  }
  throw invalid_message(name + " " + aWhat);
}

const json_value* json_reader::consumeField(std::string_view aName)
{
  // Senders usually write fields in schema order, so the search starts after the last field found.
  const std::size_t count = mObject.mNames.size();
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t at = mNext + i < count ? mNext + i : mNext + i - count;
    const std::string& name = mObject.mNames[at];
    if (!mConsumed[at] && name.size() == aName.size() &&
        name.front() == static_cast<char>(aName.front() | 0x20) &&
        std::string_view(name).substr(1) == aName.substr(1)) {
      mConsumed[at] = true;
      mNext = at + 1;
      return &mObject.mValues[at];
    }
  }
  return nullptr;
}

void json_reader::checkAllConsumed() const
{
  const auto left = std::ranges::find(mConsumed, false);
  if (left != mConsumed.end()) {
    throw invalid_message("unknown or repeated field: " +
                          mObject.mNames[static_cast<std::size_t>(left - mConsumed.begin())]);
  }
}

void json_reader::checkAmount(std::int64_t aAmount, const char* aName)
{
  if (aAmount < 0 || aAmount > kLargestAmount) {
    throwInvalidField(aName, "is out of range");
  }
}

double json_reader::realNumber(const json_value& aJson, const char* aName)
{
  double number = -1;
  if (const auto* real = std::get_if<double>(&aJson.mValue)) {
    number = *real;
  } else if (const auto* positive = std::get_if<std::uint64_t>(&aJson.mValue)) {
    number = static_cast<double>(*positive);
  }
  if (!std::isfinite(number) || number < 0) {
    throwInvalidField(aName, "is not a number of at least 0");
  }
  return number;
}

} // namespace endiveusher::protocol::internal
