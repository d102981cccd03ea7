#pragma once

#include "archive.h"
#include "enum_names.h"
#include "json_value.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <concepts>
#include <string>
#include <string_view>

namespace endiveusher::protocol::internal {

/// Largest accepted resource amount, and largest accepted time in milliseconds. Sums of thousands
/// of such values fit into 64 bits, also in microseconds.
inline constexpr std::int64_t kLargestAmount = std::int64_t{ 1 } << 40;

// Reads and writes the JSON format of Cap'n Proto's JsonCodec. JsonCodec itself takes 9 times as
// long to write and 3 times as long to read an exchange, which would be a daemon's largest cost per
// task start.

/// Writes the fields of one JSON object.
class json_writer
{
public:
  explicit json_writer(std::string& aOut) : mOut(aOut) {}

  template<typename Value, typename Access>
  void operator()(const Value& aValue, Access aAccess)
  {
    name(aAccess.mName);
    write(aValue);
  }
  template<typename Access>
  void amount(const std::int64_t& aValue, Access aAccess)
  {
    (*this)(aValue, aAccess);
  }
  template<typename Value, typename Access>
  void optionalList(const std::optional<std::vector<Value>>& aValue, Access aAccess)
  {
    if (aValue) {
      (*this)(*aValue, aAccess);
    }
  }
  template<typename Access>
  void optionalNumber(const std::optional<std::uint64_t>& aValue, Access aAccess)
  {
    (*this)(aValue ? static_cast<std::int64_t>(*aValue) : std::int64_t{ -1 }, aAccess);
  }
  template<typename... Alternatives, typename... Access>
  void alternatives(const std::variant<Alternatives...>& aValue, Access... aAccess)
  {
    std::size_t index = 0;
    const auto writeOne = [&]<typename Alternative>(Alternative* /*aTag*/, auto& aOne) {
      if (index++ == aValue.index()) {
        (*this)(*std::get_if<Alternative>(&aValue), aOne);
      }
    };
    (writeOne(static_cast<Alternatives*>(nullptr), aAccess), ...);
  }

  template<typename Value>
  static void writeObject(std::string& aOut, const Value& aValue)
  {
    aOut += '{';
    json_writer fields(aOut);
    codec<Value>::fields(fields, aValue);
    aOut += '}';
  }

private:
  void name(std::string_view aName)
  {
    mOut += mFirst ? "\"" : ",\"";
    mFirst = false;
    // Schema names begin with a lower-case letter, accessor names with an upper-case one.
    mOut += static_cast<char>(aName.front() | 0x20);
    mOut += aName.substr(1);
    mOut += "\":";
  }
  template<typename Value>
  void write(const Value& aValue)
  {
    if constexpr (std::same_as<Value, std::string>) {
      appendQuoted(mOut, aValue);
    } else if constexpr (std::same_as<Value, bool>) {
      mOut += aValue ? "true" : "false";
    } else if constexpr (std::is_enum_v<Value>) {
      appendQuoted(mOut, jsonNamesOf<Value>().at(static_cast<std::size_t>(aValue)));
    } else if constexpr (std::same_as<Value, std::chrono::milliseconds>) {
      write(std::int64_t{ aValue.count() });
    } else if constexpr (std::integral<Value> && sizeof(Value) == 8) {
      fmt::format_to(std::back_inserter(mOut), "\"{}\"", aValue);
    } else if constexpr (std::is_arithmetic_v<Value>) {
      fmt::format_to(std::back_inserter(mOut), "{}", aValue);
    } else if constexpr (is_vector<Value>::value) {
      mOut += '[';
      for (const auto& element : aValue) {
        mOut += mOut.back() == '[' ? "" : ",";
        write(element);
      }
      mOut += ']';
    } else {
      writeObject(mOut, aValue);
    }
  }

  std::string& mOut;
  bool mFirst = true;
};

/// Reads the fields of one JSON object. Throws invalid_message with the name of the invalid field.
class json_reader
{
public:
  explicit json_reader(const json_value::object& aObject)
    : mObject(aObject), mConsumed(aObject.mNames.size(), false)
  {
  }

  template<typename Value, typename Access>
  void operator()(Value& aValue, Access aAccess)
  {
    if (const auto* found = consumeField(aAccess.mName)) {
      read(aValue, *found, aAccess.mName);
    }
  }
  template<typename Access>
  void amount(std::int64_t& aValue, Access aAccess)
  {
    (*this)(aValue, aAccess);
    checkAmount(aValue, aAccess.mName);
  }
  template<typename Value, typename Access>
  void optionalList(std::optional<std::vector<Value>>& aValue, Access aAccess)
  {
    if (const auto* found = consumeField(aAccess.mName)) {
      read(aValue.emplace(), *found, aAccess.mName);
    }
  }
  template<typename Access>
  void optionalNumber(std::optional<std::uint64_t>& aValue, Access aAccess)
  {
    if (const auto* found = consumeField(aAccess.mName)) {
      const auto number = integer<std::int64_t>(*found, aAccess.mName);
      aValue = number < 0 ? std::nullopt : std::optional(static_cast<std::uint64_t>(number));
    }
  }
  template<typename... Alternatives, typename... Access>
  void alternatives(std::variant<Alternatives...>& aValue, Access... aAccess)
  {
    int given = 0;
    const auto readOne = [&]<typename Alternative>(Alternative* /*aTag*/, auto& aOne) {
      if (const auto* found = consumeField(aOne.mName)) {
        ++given;
        read(aValue.template emplace<Alternative>(), *found, aOne.mName);
      }
    };
    (readOne(static_cast<Alternatives*>(nullptr), aAccess), ...);
    if (given != 1) {
      throw invalid_message(given == 0 ? "no alternative given" : "two alternatives given");
    }
  }

  template<typename Value>
  static void readObject(Value& aValue, const json_value& aJson, const char* aName)
  {
    const auto* object = std::get_if<json_value::object>(&aJson.mValue);
    if (object == nullptr) {
      throwInvalidField(aName, "is not an object");
    }
    json_reader fields(*object);
    codec<Value>::fields(fields, aValue);
    fields.checkAllConsumed();
  }

private:
  /// Throws invalid_message with the field name and the problem.
  [[noreturn]] static void throwInvalidField(const char* aName, const char* aWhat);
  /// Returns the value of an unread field and marks it as read; null if there is none.
  const json_value* consumeField(std::string_view aName);
  /// Throws invalid_message if a field was not read, which means that it is unknown or repeated.
  void checkAllConsumed() const;
  static void checkAmount(std::int64_t aAmount, const char* aName);
  static double realNumber(const json_value& aJson, const char* aName);

  template<typename Integer>
  static Integer integer(const json_value& aJson, const char* aName)
  {
    if (const auto* negative = std::get_if<std::int64_t>(&aJson.mValue)) {
      if (std::in_range<Integer>(*negative)) {
        return static_cast<Integer>(*negative);
      }
    } else if (const auto* positive = std::get_if<std::uint64_t>(&aJson.mValue)) {
      if (std::in_range<Integer>(*positive)) {
        return static_cast<Integer>(*positive);
      }
    } else if (const auto* text = std::get_if<std::string>(&aJson.mValue)) {
      Integer number = 0;
      const auto* end = text->data() + text->size();
      const auto parsed = std::from_chars(text->data(), end, number);
      if (parsed.ec == std::errc() && parsed.ptr == end) {
        return number;
      }
    }
    throwInvalidField(aName, "is not an integer of its range");
  }

  template<typename Value>
  static void read(Value& aValue, const json_value& aJson, const char* aName)
  {
    if constexpr (std::same_as<Value, std::string> || std::same_as<Value, bool>) {
      const auto* found = std::get_if<Value>(&aJson.mValue);
      if (found == nullptr) {
        throwInvalidField(aName,
                          std::same_as<Value, bool> ? "is not true or false" : "is not a string");
      }
      aValue = *found;
    } else if constexpr (std::is_enum_v<Value>) {
      const auto& names = jsonNamesOf<Value>();
      const auto* text = std::get_if<std::string>(&aJson.mValue);
      const auto found = text == nullptr ? names.end() : std::ranges::find(names, *text);
      if (found == names.end()) {
        throwInvalidField(aName, "is none of its names");
      }
      aValue = static_cast<Value>(found - names.begin());
    } else if constexpr (std::same_as<Value, std::chrono::milliseconds>) {
      aValue = std::chrono::milliseconds(integer<std::int64_t>(aJson, aName));
      checkAmount(aValue.count(), aName);
    } else if constexpr (std::same_as<Value, double>) {
      aValue = realNumber(aJson, aName);
    } else if constexpr (std::integral<Value>) {
      aValue = integer<Value>(aJson, aName);
      if (std::same_as<Value, std::int64_t> && aValue < 0) {
        throwInvalidField(aName, "is negative");
      }
    } else if constexpr (is_vector<Value>::value) {
      const auto* array = std::get_if<json_value::array>(&aJson.mValue);
      if (array == nullptr) {
        throwInvalidField(aName, "is not an array");
      }
      aValue.clear();
      aValue.reserve(array->size());
      for (const auto& element : *array) {
        read(aValue.emplace_back(), element, aName);
      }
    } else {
      readObject(aValue, aJson, aName);
    }
  }

  const json_value::object& mObject;
  std::vector<bool> mConsumed;
  /// Index at which the next search for a field begins.
  std::size_t mNext = 0;
};

} // namespace endiveusher::protocol::internal
