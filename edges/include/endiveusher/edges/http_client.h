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
  /// Server as `ip:port`.
  std::string mAddress;
  /// Path and query, percent-encoded.
  std::string mPath;
  std::string mBody;
  /// Sent as `Authorization: Bearer` unless empty.
  std::string mBearer;
  /// Time limit of the whole call, including connecting.
  std::chrono::milliseconds mTimeout{ 5000 };
};

struct client_response
{
  int mStatus = 0;
  std::string mBody;
};

/// Blocking HTTP client that reuses its connections. Not thread-safe.
///
/// Usage: `const auto response = client.perform({ .mAddress = "127.0.0.1:80", .mPath = "/x" });`
class http_client
{
public:
  /// Largest response body; a larger one is an error.
  static constexpr std::size_t kMaxResponseBytes = std::size_t{ 64 } << 20U;

  http_client();
  ~http_client();
  http_client(http_client&&) noexcept;
  http_client& operator=(http_client&&) noexcept;

  /// Sends a request and waits for the response. Errors: UNAVAILABLE if no connection was made, so
  /// that no byte of the request was sent; DEADLINE_EXCEEDED and UNKNOWN if the server may have
  /// processed it. The message names the server.
  absl::StatusOr<client_response> perform(const client_request& aRequest);

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::edges
