#pragma once

#include "endiveusher/protocol/capnp_schema.h"

#include <capnp/list.h>
#include <kj/exception.h>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace endiveusher::protocol::internal {

/// Thrown for a message with a value that its kernel struct cannot represent.
class invalid_message : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Defines the serialization of a kernel struct. A specialisation has the member type `wire` (a
/// schema struct) and a function `fields(aArchive, aValue)` that lists every field once, for both
/// writing and reading.
template<typename T>
struct codec;

/// Whether T has a codec specialisation.
template<typename T>
concept has_codec = requires
{
  typename codec<T>::wire;
};

/// Maps a kernel enum to the schema enum `wire`, which has its enumerants in the same order.
/// `kLast` is the last enumerator.
template<typename E>
struct enum_codec;

template<typename T>
struct is_vector : std::false_type
{
};
template<typename T>
struct is_vector<std::vector<T>> : std::true_type
{
};

/// The generated accessors and the name of one schema field.
template<typename Get, typename Has, typename Set, typename Init>
struct field_access
{
  Get mGet;
  Has mHas;
  Set mSet;
  Init mInit;
  const char* mName;
};
// Needed because clang 14 does not deduce template arguments of aggregates.
template<typename Get, typename Has, typename Set, typename Init>
field_access(Get, Has, Set, Init, const char*) -> field_access<Get, Has, Set, Init>;

// A macro, because a template argument cannot name the generated accessors.
#define ENDIVEUSHER_FIELD(Name)                                                                    \
  ::endiveusher::protocol::internal::field_access                                                  \
  {                                                                                                \
    [](const auto& aWire) { return aWire.get##Name(); },                                           \
      [](const auto& aWire) { return aWire.has##Name(); },                                         \
      [](auto& aWire, auto&& aValue) { aWire.set##Name(aValue); },                                 \
      [](auto& aWire, auto... aSize) { return aWire.init##Name(aSize...); }, #Name                 \
  }

inline capnp::Text::Reader toText(const std::string& aText)
{
  return { aText.c_str(), aText.size() };
}
inline std::string fromText(capnp::Text::Reader aText)
{
  return { aText.cStr(), aText.size() };
}

template<typename Value, typename Builder>
void writeStruct(const Value& aValue, Builder aWire);

/// Writes kernel values into a schema struct.
template<typename Builder>
class writer
{
public:
  explicit writer(Builder aWire) : mWire(aWire) {}

  template<typename Value, typename Access>
  void operator()(const Value& aValue, Access aAccess)
  {
    if constexpr (std::same_as<Value, std::string>) {
      aAccess.mSet(mWire, toText(aValue));
    } else if constexpr (std::is_enum_v<Value>) {
      aAccess.mSet(mWire, static_cast<typename enum_codec<Value>::wire>(aValue));
    } else if constexpr (std::same_as<Value, std::chrono::milliseconds>) {
      aAccess.mSet(mWire, std::int64_t{ aValue.count() });
    } else if constexpr (has_codec<Value>) {
      writeStruct(aValue, aAccess.mInit(mWire));
    } else if constexpr (is_vector<Value>::value) {
      auto list = aAccess.mInit(mWire, static_cast<capnp::uint>(aValue.size()));
      writeList(aValue, list);
    } else {
      aAccess.mSet(mWire, aValue);
    }
  }

  template<typename Access>
  void amount(const std::int64_t& aValue, Access aAccess)
  {
    aAccess.mSet(mWire, aValue);
  }
  /// Writes a list that may be absent.
  template<typename Value, typename Access>
  void optionalList(const std::optional<std::vector<Value>>& aValue, Access aAccess)
  {
    if (aValue) {
      (*this)(*aValue, aAccess);
    }
  }
  /// Writes a number below 2^63 that may be absent; an absent one is written as -1.
  template<typename Access>
  void optionalNumber(const std::optional<std::uint64_t>& aValue, Access aAccess)
  {
    aAccess.mSet(mWire, aValue ? static_cast<std::int64_t>(*aValue) : std::int64_t{ -1 });
  }
  /// Writes a union; aAccess holds its fields in the order of the variant's alternatives.
  template<typename... Alternatives, typename... Access>
  void alternatives(const std::variant<Alternatives...>& aValue, Access... aAccess)
  {
    static_assert(sizeof...(Alternatives) == sizeof...(Access), "every alternative needs a field");
    std::size_t index = 0;
    const auto write = [&]<typename Alternative>(Alternative* /*aTag*/, auto& aOne) {
      if (index++ == aValue.index()) {
        writeStruct(*std::get_if<Alternative>(&aValue), aOne.mInit(mWire));
      }
    };
    (write(static_cast<Alternatives*>(nullptr), aAccess), ...);
  }

private:
  template<typename Value, typename List>
  static void writeList(const std::vector<Value>& aValues, List& aList)
  {
    for (std::size_t i = 0; i < aValues.size(); ++i) {
      const auto at = static_cast<capnp::uint>(i);
      if constexpr (std::same_as<Value, std::string>) {
        aList.set(at, toText(aValues[i]));
      } else if constexpr (std::same_as<Value, std::chrono::milliseconds>) {
        aList.set(at, std::int64_t{ aValues[i].count() });
      } else if constexpr (has_codec<Value>) {
        writeStruct(aValues[i], aList[at]);
      } else {
        aList.set(at, aValues[i]);
      }
    }
  }

  Builder mWire;
};

template<typename Value, typename Reader>
Value readStruct(Reader aWire);

/// Reads kernel values from a schema struct. Throws invalid_message or kj::Exception.
template<typename Reader>
class reader
{
public:
  explicit reader(Reader aWire) : mWire(aWire) {}

  template<typename Value, typename Access>
  void operator()(Value& aValue, Access aAccess)
  {
    if constexpr (std::same_as<Value, std::string>) {
      aValue = fromText(aAccess.mGet(mWire));
    } else if constexpr (std::is_enum_v<Value>) {
      const auto raw = static_cast<std::uint16_t>(aAccess.mGet(mWire));
      if (raw > static_cast<std::uint16_t>(enum_codec<Value>::kLast)) {
        throw invalid_message(std::string("unknown enumerant in ") + aAccess.mName);
      }
      aValue = static_cast<Value>(raw);
    } else if constexpr (std::same_as<Value, std::chrono::milliseconds>) {
      aValue = std::chrono::milliseconds(aAccess.mGet(mWire));
    } else if constexpr (has_codec<Value>) {
      aValue = readStruct<Value>(aAccess.mGet(mWire));
    } else if constexpr (is_vector<Value>::value) {
      readList(aValue, aAccess.mGet(mWire));
    } else {
      aValue = aAccess.mGet(mWire);
    }
  }

  template<typename Access>
  void amount(std::int64_t& aValue, Access aAccess)
  {
    aValue = aAccess.mGet(mWire);
  }
  template<typename Value, typename Access>
  void optionalList(std::optional<std::vector<Value>>& aValue, Access aAccess)
  {
    if (aAccess.mHas(mWire)) {
      (*this)(aValue.emplace(), aAccess);
    }
  }
  template<typename Access>
  void optionalNumber(std::optional<std::uint64_t>& aValue, Access aAccess)
  {
    const std::int64_t raw = aAccess.mGet(mWire);
    if (raw >= 0) {
      aValue = static_cast<std::uint64_t>(raw);
    }
  }
  template<typename... Alternatives, typename... Access>
  void alternatives(std::variant<Alternatives...>& aValue, Access... aAccess)
  {
    // Discriminants count from 0 in schema order, which is the order of the variant's alternatives.
    const auto which = static_cast<std::size_t>(mWire.which());
    if (which >= sizeof...(Alternatives)) {
      throw invalid_message("unknown kind of message");
    }
    std::size_t index = 0;
    const auto read = [&]<typename Alternative>(Alternative* /*aTag*/, auto& aOne) {
      if (index++ == which) {
        // A message with no union member set reads as its first member, without a value.
        if (!aOne.mHas(mWire)) {
          throw invalid_message("no kind of message given");
        }
        aValue = readStruct<Alternative>(aOne.mGet(mWire));
      }
    };
    (read(static_cast<Alternatives*>(nullptr), aAccess), ...);
  }

private:
  template<typename Value, typename List>
  static void readList(std::vector<Value>& aValues, List aList)
  {
    aValues.clear();
    aValues.reserve(aList.size());
    for (auto element : aList) {
      if constexpr (std::same_as<Value, std::string>) {
        aValues.push_back(fromText(element));
      } else if constexpr (std::same_as<Value, std::chrono::milliseconds>) {
        aValues.emplace_back(element);
      } else if constexpr (has_codec<Value>) {
        aValues.push_back(readStruct<Value>(element));
      } else {
        aValues.push_back(element);
      }
    }
  }

  Reader mWire;
};

template<typename Value, typename Builder>
void writeStruct(const Value& aValue, Builder aWire)
{
  writer<Builder> archive(aWire);
  codec<Value>::fields(archive, aValue);
}

template<typename Value, typename Reader>
Value readStruct(Reader aWire)
{
  Value value;
  reader<Reader> archive(aWire);
  codec<Value>::fields(archive, value);
  return value;
}

} // namespace endiveusher::protocol::internal
