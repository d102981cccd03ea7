#pragma once

#include "endiveusher/edges/http_server.h"
#include "endiveusher/edges/memory_budget.h"
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

/// State shared by all connections of one server.
struct server_shared
{
  http_server_options mOptions;
  http_server::handler mHandler;
  std::atomic<bool> mStopping = false;
  /// Bytes of answers buffered for callers that have not read them.
  std::atomic<std::size_t> mUnsentBytes = 0;
  std::atomic<std::size_t> mConnections = 0;
  std::atomic<std::uint64_t> mRejectedConnections = 0;
  /// Wakes the thread that sends the rest of partly sent answers.
  std::function<void()> mWake;

  http_limits limits() const
  {
    const std::lock_guard lock(mLimitsMutex);
    return mLimits;
  }
  void setLimits(const http_limits& aLimits)
  {
    const std::lock_guard lock(mLimitsMutex);
    mLimits = aLimits;
  }

private:
  mutable std::mutex mLimitsMutex;
  http_limits mLimits;
};

/// Returns the body of an error that the server itself reports.
std::string errorBody(answer_class aClass, std::uint16_t aStatus, const char* aCode,
                      const char* aMessage);

/// Connection of one caller. Writes answers to the socket directly: Pistache queues them by file
/// descriptor number, so that an answer can reach a later connection with the same number, and it
/// busy-waits on callers that do not read.
class connection
  : public sheddable
  , public std::enable_shared_from_this<connection>
{
public:
  connection(std::shared_ptr<server_shared> aShared, int aSocket);
  ~connection() override;
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  /// Processes bytes from the caller; passes a complete request to the handler.
  void receive(std::string_view aBytes);
  /// Ends the connection before its socket is closed; nothing is sent afterwards.
  void close();
  /// Closes the socket of an ended connection, which Pistache does otherwise.
  void closeSocket() const;
  /// Rejects the connection because the server has too many.
  void reject();

  /// Answers request number aRequest of this connection; returns false if it is not in progress.
  bool answer(std::uint64_t aRequest, http_answer aAnswer);
  void onDisconnect(std::uint64_t aRequest, std::function<void()> aCallback);

  /// Sends the rest of a partly sent answer and enforces the timeouts.
  void maintain(socket_time aNow);
  int socket() const { return mSocket; }
  /// Returns the socket if there are bytes to send, otherwise -1.
  int socketToWrite() const;
  /// Whether a request is in progress or has arrived in part, or an answer is not completely sent.
  bool busy() const;
  /// Gives an open request the answer of a stop, and counts it in aReport.
  void answerStopped(stop_report& aReport);

  /// What an incomplete request, or an answer that is not completely sent, takes of the budget.
  held_memory held() const override;
  /// Answers an incomplete request as one whose outcome is not known; cuts off an unsent answer.
  std::size_t shed() override;

private:
  /// A complete request that is not yet passed to the handler.
  struct ready_request
  {
    http_request mRequest;
    std::uint64_t mNumber = 0;
  };
  std::optional<ready_request> takeRequestLocked();
  /// Sets aside room in mInput for aCount bytes more. Returns 0, or the number of bytes by which
  /// the budget falls short.
  std::size_t reserveInputLocked(std::size_t aCount);
  void dropInputLocked();
  void dropOutputLocked();
  /// Sheds a request that the budget has no room for; aBytes are the next ones of it.
  void shedRequester(std::string_view aBytes);
  void shedLocked();
  /// Continues to receive a request whose header is complete and whose body is not, or refuses it.
  void admitLocked(const request_frame& aFrame);
  std::optional<http_request> parse(const request_frame& aFrame);
  void rejectLocked(std::uint16_t aStatus, const char* aCode, const char* aMessage);
  /// Whether bytes have arrived that the server's thread has not read yet.
  bool unreadLocked() const;
  /// Whether a request has arrived in part, or has not been read yet.
  bool arrivingLocked() const;
  /// Sends the answer of a stop to a request that the handler does not get.
  void rejectStoppedLocked();
  void sendLocked(const http_answer& aAnswer);
  void flushLocked();
  void countUnsentLocked();
  void abortLocked();

  const std::shared_ptr<server_shared> mShared;
  const int mSocket;

  mutable std::mutex mMutex;
  bool mOpen = true;
  /// Whether further input is ignored; the connection ends when its last answer is sent.
  bool mClosing = false;
  bool mContinueSent = false;
  /// Number of the request in progress; zero if there is none.
  std::uint64_t mActiveRequest = 0;
  std::uint64_t mLastRequest = 0;
  /// Method of the last request that the handler has got.
  std::string mMethod;
  /// Called if the caller disconnects before the request in progress is answered.
  std::function<void()> mOnDisconnect;
  std::string mInput;
  /// Reservation of the capacity of mInput.
  memory_charge mInputCharge;
  /// Length of the request in mInput; 0 if its header is not complete.
  std::size_t mExpectedBytes = 0;
  /// Whether the request in mInput has a valid key or a public route.
  bool mTrusted = false;
  std::string mOutput;
  /// Reservation of the capacity of mOutput.
  memory_charge mOutputCharge;
  /// Bytes of mOutput that are sent.
  std::size_t mSent = 0;
  /// This connection's contribution to server_shared::mUnsentBytes.
  std::size_t mUnsentCounted = 0;
  /// Start of the current state (idle, receiving, sending or closing).
  socket_time mStateStart;
  /// Start of the idle state before the bytes in mInput.
  socket_time mIdleStart;
};

} // namespace endiveusher::edges::internal
