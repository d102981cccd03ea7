#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace endiveusher::edges {

struct client_request
{
  std::string mMethod = "GET";
  /// `ip:port` of the server.
  std::string mAddress;
  /// Path and query, percent-encoded.
  std::string mPath;
  std::string mBody;
  /// Sent as `Authorization: Bearer` unless empty.
  std::string mBearer;
  /// For the whole call, connecting included.
  std::chrono::milliseconds mTimeout{ 5000 };
};

struct client_response
{
  int mStatus = 0;
  std::string mBody;
};

/// A blocking HTTP client that keeps its connections. One thread at a time.
///
/// Usage: `const auto response = client.perform({ .mAddress = "127.0.0.1:80", .mPath = "/x" });`
class http_client
{
public:
  /// Largest body of an answer; larger ones are errors.
  static constexpr std::size_t kMaxResponseBytes = std::size_t{ 64 } << 20U;

  http_client();
  ~http_client();
  http_client(http_client&&) noexcept;
  http_client& operator=(http_client&&) noexcept;

  /// UNAVAILABLE: no connection, so nothing of the request was sent. DEADLINE_EXCEEDED and UNKNOWN:
  /// the server may have acted on it. The message names the server.
  absl::StatusOr<client_response> perform(const client_request& aRequest);

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::edges
