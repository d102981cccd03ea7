#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace endiveusher::protocol::internal {

/// A parsed JSON value. 64-bit integers are kept exactly.
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

/// Parses exactly one JSON value in UTF-8. Throws invalid_message if aText is not one, or is nested
/// too deeply to be a message of the schema.
json_value parseJson(std::string_view aText);

/// Appends aText as a quoted and escaped JSON string.
void appendQuoted(std::string& aOut, std::string_view aText);

} // namespace endiveusher::protocol::internal
