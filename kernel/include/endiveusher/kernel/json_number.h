#pragma once

#include <nlohmann/json.hpp>

#include <concepts>
#include <cstdint>
#include <stdexcept>
#include <utility>

namespace endiveusher {

/// Returns the integer aValue. Throws if it is no integer, or is not in the range aMin to aMax: the
/// conversions of the JSON library wrap around instead.
template<std::integral Integer>
Integer integerFrom(const nlohmann::json& aValue, Integer aMin, Integer aMax)
{
  const auto checked = [aMin, aMax](auto aNumber) {
    if (std::cmp_less(aNumber, aMin) || std::cmp_greater(aNumber, aMax)) {
      throw std::out_of_range("a number is out of range");
    }
    return static_cast<Integer>(aNumber);
  };
  if (!aValue.is_number_integer()) {
    throw std::invalid_argument("a number is no integer");
  }
  return aValue.is_number_unsigned() ? checked(aValue.get<std::uint64_t>())
                                     : checked(aValue.get<std::int64_t>());
}

} // namespace endiveusher
