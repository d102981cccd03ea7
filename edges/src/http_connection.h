#pragma once

#include "endiveusher/edges/http_server.h"
#include "endiveusher/kernel/messages/call.h"
#include "http_framing.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace endiveusher::edges::internal {

using socket_time = std::chrono::steady_clock::time_point;

/// What all connections of one server share.
struct server_shared
{
  http_server_options mOptions;
  http_server::handler mHandler;
  std::atomic<bool> mStopping = false;
  /// Bytes that wait for callers to read.
  std::atomic<std::size_t> mUnreadBytes = 0;
  std::atomic<std::size_t> mConnections = 0;
  /// Wakes the thread that completes partly sent answers.
  std::function<void()> mWake;
};

/// Body of an error that the server itself answers with.
std::string errorBody(answer_class aClass, std::uint16_t aStatus, const char* aCode,
                      const char* aMessage);

/// One connection of a caller. Sends its answers itself: Pistache queues an answer under the number
/// of the file descriptor, where it can reach the next caller that gets the same number, and spins
/// on callers that do not read.
class connection : public std::enable_shared_from_this<connection>
{
public:
  connection(std::shared_ptr<server_shared> aShared, int aSocket);
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  /// Bytes from the caller; hands a complete request to the handler.
  void receive(std::string_view aBytes);
  /// The socket is about to be closed; nothing is sent afterwards.
  void close();
  /// Refuses the connection because there are too many.
  void refuse();

  /// Answers request number aRequest of this connection.
  bool answer(std::uint64_t aRequest, http_answer aAnswer);
  void whenDropped(std::uint64_t aRequest, std::function<void()> aCallback);

  /// Sends what is left of an answer and enforces the time limits.
  void maintain(socket_time aNow);
  /// The socket if it has bytes to send, otherwise -1.
  int socketToWrite() const;
  bool busy() const;

private:
  /// A request read from the input, not yet handed on.
  struct ready_request
  {
    http_request mRequest;
    std::uint64_t mNumber = 0;
  };
  std::optional<ready_request> takeRequest();
  std::optional<http_request> parse(const request_frame& aFrame);
  void rejectLocked(std::uint16_t aStatus, const char* aCode, const char* aMessage);
  void sendLocked(const http_answer& aAnswer);
  void flushLocked();
  void countUnreadLocked();
  void abortLocked();

  const std::shared_ptr<server_shared> mShared;
  const int mSocket;

  mutable std::mutex mMutex;
  bool mOpen = true;
  /// No request is read any more; the connection ends when its last answer is sent.
  bool mClosing = false;
  bool mContinueSent = false;
  bool mHeadRequest = false;
  /// Number of the request in progress; zero if there is none.
  std::uint64_t mInProgress = 0;
  std::uint64_t mLastRequest = 0;
  std::function<void()> mDropped;
  std::string mInput;
  std::string mOutput;
  std::size_t mSent = 0;
  /// This connection's part of server_shared::mUnreadBytes.
  std::size_t mUnreadCounted = 0;
  /// When the current state (idle, receiving, sending, closing) began.
  socket_time mSince;
};

} // namespace endiveusher::edges::internal
