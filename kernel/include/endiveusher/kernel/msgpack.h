#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace endiveusher {

namespace internal {

/// Accepts events of nlohmann's reader until a value is nested too deeply.
class depth_checker : public nlohmann::json_sax<nlohmann::json>
{
public:
  /// Maximum nesting depth, in levels. The deepest record of the journal has 8. The reader recurses
  /// once per level.
  static constexpr int kMaxDepth = 64;

  bool null() override { return true; }
  bool boolean(bool /*aValue*/) override { return true; }
  bool number_integer(std::int64_t /*aValue*/) override { return true; }
  bool number_unsigned(std::uint64_t /*aValue*/) override { return true; }
  bool number_float(double /*aValue*/, const std::string& /*aText*/) override { return true; }
  bool string(std::string& /*aValue*/) override { return true; }
  bool binary(nlohmann::json::binary_t& /*aValue*/) override { return true; }
  bool start_object(std::size_t /*aCount*/) override { return ++mDepth <= kMaxDepth; }
  bool key(std::string& /*aName*/) override { return true; }
  bool end_object() override { return --mDepth >= 0; }
  bool start_array(std::size_t /*aCount*/) override { return ++mDepth <= kMaxDepth; }
  bool end_array() override { return --mDepth >= 0; }
  bool parse_error(std::size_t /*aPosition*/, const std::string& /*aToken*/,
                   const nlohmann::json::exception& /*aError*/) override
  {
    return false;
  }

private:
  int mDepth = 0;
};

} // namespace internal

/// Parses MessagePack. Throws if aBytes is invalid or nested more than a fixed number of levels.
inline nlohmann::json parseMsgpack(std::string_view aBytes)
{
  using nlohmann::json;
  internal::depth_checker checker;
  if (!json::sax_parse(aBytes.begin(), aBytes.end(), &checker, json::input_format_t::msgpack)) {
    throw std::invalid_argument("no valid MessagePack, or nested too deeply");
  }
  return json::from_msgpack(aBytes.begin(), aBytes.end());
}

} // namespace endiveusher
