#include "digest.h"

#include <openssl/rand.h>
#include <openssl/sha.h>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <array>
#include <stdexcept>

namespace endiveusher::ctl::internal {

std::string sha256Hex(std::string_view aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()), aText.size(), digest.data());
  return fmt::format("{:02x}", fmt::join(digest, ""));
}

std::string randomHex()
{
  std::array<unsigned char, 16> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw std::runtime_error("cannot generate random bytes");
  }
  return fmt::format("{:02x}", fmt::join(bytes, ""));
}

} // namespace endiveusher::ctl::internal
