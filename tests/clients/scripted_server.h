#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace endiveusher::testing {

/// Request received by a scripted_server.
struct received_request
{
  /// Number of the connection, from 1.
  int mConnection = 0;
  /// Number of the request on its connection, from 1.
  int mNumber = 0;
  std::string mTarget;
  std::string mBody;
};

enum class reaction
{
  answer,
  close,   ///< Closes the connection without an answer.
  silent,  ///< Sends no answer to this and all later requests of the connection.
  headers, ///< Sends the headers of an answer, and then as `silent`.
  pieces,  ///< Sends the headers of an answer, then its body in pieces, and then as `silent`.
};

struct scripted_answer
{
  reaction mReaction = reaction::answer;
  int mStatus = 200;
  std::string mBody;
  /// Waits for the next piece and returns it; empty after the last one. For `pieces`; called while
  /// other requests are answered.
  std::function<std::string()> mNextPiece;
};

/// HTTP server on a free loopback port whose answers are determined by a function of the test.
class scripted_server
{
public:
  /// aScript is called on the server's threads, for one request at a time.
  explicit scripted_server(std::function<scripted_answer(const received_request&)> aScript);
  ~scripted_server();
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;

  std::string address() const;
  /// Number of connections accepted so far.
  int connections() const;
  /// Largest number of connections open at the same time.
  int maxOpenConnections() const;
  /// Closes the listening socket; open connections remain.
  void stopListening();

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

/// Returns the `ip:port` of a free loopback port on which no process listens.
std::string unusedAddress();

} // namespace endiveusher::testing
