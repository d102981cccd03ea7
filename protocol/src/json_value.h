#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace endiveusher::protocol::internal {

/// A parsed JSON value. Integers keep all their digits.
struct json_value
{
  struct object
  {
    std::vector<std::string> mNames;
    std::vector<json_value> mValues;
  };
  using array = std::vector<json_value>;

  std::variant<std::nullptr_t, bool, std::int64_t, std::uint64_t, double, std::string, array,
               object>
    mValue;
};

/// Throws invalid_message if aText is not exactly one JSON value in UTF-8, or is nested deeper than
/// any message of the schema.
json_value parseJson(std::string_view aText);

/// Appends aText in quotes.
void appendQuoted(std::string& aOut, std::string_view aText);

} // namespace endiveusher::protocol::internal
