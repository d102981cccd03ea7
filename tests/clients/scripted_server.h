#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace endiveusher::testing {

/// Request as the server sees it.
struct seen_request
{
  /// Counts from 1 over all connections.
  int mConnection = 0;
  /// Counts from 1 on the connection.
  int mNumber = 0;
  std::string mTarget;
  std::string mBody;
};

enum class reaction
{
  answer,
  close,  ///< Closes the connection without an answer.
  silent, ///< Never answers on this connection again.
};

struct scripted_answer
{
  reaction mReaction = reaction::answer;
  int mStatus = 200;
  std::string mBody;
};

/// HTTP server on a free loopback port whose every answer a test chooses.
class scripted_server
{
public:
  /// aScript is called on the server's threads, for one request at a time.
  explicit scripted_server(std::function<scripted_answer(const seen_request&)> aScript);
  ~scripted_server();
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;

  std::string address() const;
  int connections() const;
  /// Largest number of connections open at the same time.
  int mostOpen() const;
  /// Closes the listening socket; connections stay.
  void stopListening();

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

/// Binds a free loopback port and closes it again: `ip:port` on which nothing listens.
std::string unusedAddress();

} // namespace endiveusher::testing
