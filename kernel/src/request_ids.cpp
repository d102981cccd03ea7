#include "request_ids.h"

#include <openssl/evp.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace endiveusher::internal {

namespace {

constexpr std::string_view kTicketPrefix = "t.";
constexpr std::size_t kMaxRequestIdLength = 200;

/// Input of a digest. Texts are preceded by their lengths, so that the concatenation is
/// unambiguous.
class digest_input
{
public:
  void add(std::string_view aText)
  {
    add(static_cast<std::int64_t>(aText.size()));
    mBytes.append(aText);
  }
  void add(std::int64_t aNumber)
  {
    std::array<char, sizeof aNumber> bytes{};
    for (std::size_t i = 0; i < bytes.size(); ++i) {
      bytes.at(i) = static_cast<char>(static_cast<std::uint64_t>(aNumber) >> (8 * i));
    }
    mBytes.append(bytes.data(), bytes.size());
  }
  std::uint64_t digest() const { return XXH3_64bits(mBytes.data(), mBytes.size()); }

private:
  std::string mBytes;
};

} // namespace

std::string formatTicket(const ticket& aTicket)
{
  return std::string(kTicketPrefix) + aTicket.mIssuer + "." + std::to_string(aTicket.mNumber);
}

std::optional<ticket> parseTicket(std::string_view aRequest)
{
  if (!aRequest.starts_with(kTicketPrefix)) {
    return std::nullopt;
  }
  const auto rest = aRequest.substr(kTicketPrefix.size());
  const auto dot = rest.rfind('.');
  if (dot == std::string_view::npos || dot == 0 || dot + 1 == rest.size()) {
    return std::nullopt;
  }
  const auto digits = rest.substr(dot + 1);
  ticket parsed{ .mIssuer = std::string(rest.substr(0, dot)) };
  const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), parsed.mNumber);
  // Leading zeros are refused, so that a ticket has a single spelling.
  if (result.ec != std::errc{} || result.ptr != digits.data() + digits.size() ||
      (digits.size() > 1 && digits.front() == '0')) {
    return std::nullopt;
  }
  return parsed;
}

bool isValidRequestId(std::string_view aRequest)
{
  return !aRequest.empty() && aRequest.size() <= kMaxRequestIdLength &&
         std::all_of(aRequest.begin(), aRequest.end(),
                     [](char aCharacter) { return aCharacter > ' ' && aCharacter <= '~'; });
}

std::string keyDigest(std::string_view aKey)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  if (EVP_Digest(aKey.data(), aKey.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1) {
    return {};
  }
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(std::size_t{ size } * 2);
  for (std::size_t i = 0; i < size; ++i) {
    text.push_back(kDigits.at(digest.at(i) >> 4U));
    text.push_back(kDigits.at(digest.at(i) & 15U));
  }
  return text;
}

std::uint64_t bodyDigest(const job_spec& aJob)
{
  digest_input input;
  input.add(aJob.mTeam);
  input.add(static_cast<std::int64_t>(aJob.mKind));
  input.add(std::int64_t{ aJob.mTaskCount });
  input.add(aJob.mPerTask.mSlots);
  input.add(aJob.mPerTask.mCpuMilli);
  input.add(aJob.mPerTask.mMemoryMb);
  input.add(aJob.mPerTask.mAccelerators);
  input.add(std::int64_t{ aJob.mRunTime.count() });
  input.add(std::int64_t{ aJob.mUrgent });
  input.add(std::int64_t{ aJob.mStartWithin.count() });
  input.add(std::int64_t{ aJob.mIdempotent });
  input.add(static_cast<std::int64_t>(aJob.mZones.size()));
  for (const auto& zone : aJob.mZones) {
    input.add(zone);
  }
  input.add(aJob.mCommand);
  return input.digest();
}

} // namespace endiveusher::internal
