#pragma once

#include "json_archive.h"

#include <concepts>
#include <limits>
#include <random>
#include <string>

namespace endiveusher::protocol::internal {

/// Archive that fills every field of a struct that has a codec with random values and counts the
/// fields.
class random_filler
{
public:
  explicit random_filler(std::uint64_t aSeed) : mEngine(aSeed) {}

  template<typename Value>
  Value make()
  {
    Value value;
    codec<Value>::fields(*this, value);
    return value;
  }

  template<typename Value, typename Access>
  void operator()(Value& aValue, Access /*aAccess*/)
  {
    ++mFields;
    fill(aValue);
  }
  template<typename Access>
  void amount(std::int64_t& aValue, Access /*aAccess*/)
  {
    ++mFields;
    aValue = below(kLargestAmount);
  }
  template<typename Value, typename Access>
  void optionalList(std::optional<std::vector<Value>>& aValue, Access /*aAccess*/)
  {
    ++mFields;
    if (below(3) != 0) {
      fill(aValue.emplace());
    }
  }
  template<typename Access>
  void optionalNumber(std::optional<std::uint64_t>& aValue, Access /*aAccess*/)
  {
    ++mFields;
    if (below(2) != 0) {
      aValue = static_cast<std::uint64_t>(below(std::int64_t{ 1 } << 62));
    }
  }
  template<typename... Alternatives, typename... Access>
  void alternatives(std::variant<Alternatives...>& aValue, Access... /*aAccess*/)
  {
    ++mFields;
    const auto chosen = below(sizeof...(Alternatives));
    std::int64_t index = 0;
    const auto choose = [&]<typename Alternative>(Alternative* /*aTag*/) {
      if (index++ == chosen) {
        aValue = make<Alternative>();
      }
    };
    (choose(static_cast<Alternatives*>(nullptr)), ...);
  }

  std::size_t fields() const { return mFields; }

private:
  template<typename Value>
  void fill(Value& aValue)
  {
    if constexpr (std::same_as<Value, std::string>) {
      static const std::string sPieces[] = { "a", "Zz", "0", " ", "\"", "\\", "\n", "ð", "€", "" };
      aValue.clear();
      for (auto length = below(6); length > 0; --length) {
        aValue += sPieces[below(std::size(sPieces))];
      }
    } else if constexpr (std::is_enum_v<Value>) {
      aValue = static_cast<Value>(below(static_cast<int>(enum_codec<Value>::kLast) + 1));
    } else if constexpr (std::same_as<Value, std::chrono::milliseconds>) {
      aValue = std::chrono::milliseconds(below(kLargestAmount));
    } else if constexpr (is_vector<Value>::value) {
      aValue.resize(static_cast<std::size_t>(below(4)));
      for (auto& element : aValue) {
        fill(element);
      }
    } else if constexpr (has_codec<Value>) {
      aValue = make<Value>();
    } else if constexpr (std::same_as<Value, bool>) {
      aValue = below(2) != 0;
    } else if constexpr (std::same_as<Value, double>) {
      aValue = static_cast<double>(below(1000)) / 8.0;
    } else if constexpr (std::same_as<Value, std::int64_t>) {
      aValue = below(std::numeric_limits<std::int64_t>::max());
    } else {
      aValue = static_cast<Value>(mEngine());
    }
  }
  std::int64_t below(std::int64_t aBound)
  {
    return static_cast<std::int64_t>(mEngine() % static_cast<std::uint64_t>(aBound));
  }

  std::mt19937_64 mEngine;
  std::size_t mFields = 0;
};

/// Converts to any type except Aggregate.
template<typename Aggregate>
struct any_member
{
  template<typename T>
  requires(!std::same_as<T, Aggregate>) operator T() const; // NOLINT(google-explicit-constructor)
};

template<typename Aggregate, std::size_t... Index>
constexpr bool takesMembers(std::index_sequence<Index...>)
{
  return requires
  {
    Aggregate{ ((void)Index, any_member<Aggregate>{})... };
  };
}

/// Returns the number of members of an aggregate.
template<typename Aggregate, std::size_t Count = 0>
constexpr std::size_t memberCount()
{
  if constexpr (takesMembers<Aggregate>(std::make_index_sequence<Count + 1>())) {
    return memberCount<Aggregate, Count + 1>();
  } else {
    return Count;
  }
}

} // namespace endiveusher::protocol::internal
