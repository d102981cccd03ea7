#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

namespace endiveusher::fuzz {

inline std::string textOf(const std::uint8_t* aBytes, std::size_t aCount)
{
  return { reinterpret_cast<const char*>(aBytes), aCount };
}

/// Returns a JSON text as MessagePack, so that inputs of text reach the decoders of binary records;
/// other inputs are returned unchanged.
inline std::string packed(const std::string& aText)
{
  const auto value = nlohmann::json::parse(aText, nullptr, false);
  if (value.is_discarded()) {
    return aText;
  }
  std::string bytes;
  nlohmann::json::to_msgpack(value, bytes);
  return bytes;
}

/// Ends the process if a property does not hold.
inline void require(bool aHolds)
{
  if (!aHolds) {
    std::abort();
  }
}

} // namespace endiveusher::fuzz
