#include "http_connection.h"

#include "endiveusher/edges/url.h"
#include "endiveusher/protocol/json.h"
#include "responder_impl.h"

#include <pistache/http.h>

#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace endiveusher::edges::internal {

namespace {

const char* reasonPhrase(std::uint16_t aStatus)
{
  return Pistache::Http::codeString(static_cast<Pistache::Http::Code>(aStatus));
}

std::string headerLines(const http_answer& aAnswer)
{
  std::string lines;
  for (const auto& [name, value] : aAnswer.mHeaders) {
    lines.append("\r\n").append(name).append(": ").append(value);
  }
  return lines;
}

std::string responseHead(const http_answer& aAnswer, bool aClose)
{
  return "HTTP/1.1 " + std::to_string(aAnswer.mStatus) + " " + reasonPhrase(aAnswer.mStatus) +
         "\r\nContent-Type: " + aAnswer.mContentType +
         "\r\nContent-Length: " + std::to_string(aAnswer.mBody.size()) + headerLines(aAnswer) +
         (aClose ? "\r\nConnection: close" : "") + "\r\n\r\n";
}

} // namespace

std::string errorBody(answer_class aClass, std::uint16_t aStatus, const char* aCode,
                      const char* aMessage)
{
  return protocol::toJson(answer{
    .mClass = aClass,
    .mBody =
      call_error{ .mStatus = aStatus, .mCode = aCode, .mMessage = aMessage, .mStep = "http" } });
}

connection::connection(std::shared_ptr<server_shared> aShared, int aSocket)
  : mShared(std::move(aShared)), mSocket(aSocket), mStateStart(std::chrono::steady_clock::now())
{
  ++mShared->mConnections;
}

connection::~connection()
{
  --mShared->mConnections;
}

void connection::receive(std::string_view aBytes)
{
  std::optional<ready_request> ready;
  {
    const std::lock_guard lock(mMutex);
    if (!mOpen || mClosing) {
      return;
    }
    if (mActiveRequest != 0 || !mOutput.empty()) {
      mClosing = true;
      return;
    }
    if (mInput.empty()) {
      mStateStart = std::chrono::steady_clock::now();
    }
    mInput += aBytes;
    ready = takeRequestLocked();
  }
  if (!ready) {
    return;
  }
  try {
    mShared->mHandler(std::move(ready->mRequest), responder(std::make_shared<responder::impl>(
                                                    shared_from_this(), ready->mNumber)));
  } catch (const std::exception&) {
    // Unwinding destroyed the last responder, which sent status 500.
    return;
  }
}

std::optional<connection::ready_request> connection::takeRequestLocked()
{
  // Some clients send an extra line break after a body.
  while (mInput.starts_with("\r\n")) {
    mInput.erase(0, 2);
  }
  const request_frame frame = frameRequest(mInput, mShared->mOptions.mMaxRequestBytes);
  if (frame.mFraming == framing::rejected) {
    rejectLocked(frame.mStatus, frame.mCode, frame.mMessage);
    return std::nullopt;
  }
  if (frame.mFraming == framing::incomplete) {
    if (mShared->mStopping && mShared->mOptions.mStopAnswer) {
      // The rest of a large request could take longer to read than the stop.
      rejectStoppedLocked();
      return std::nullopt;
    }
    if (frame.mExpectsContinue && !mContinueSent) {
      mContinueSent = true;
      mOutput += "HTTP/1.1 100 Continue\r\n\r\n";
      flushLocked();
    }
    return std::nullopt;
  }
  if (mShared->mStopping) {
    rejectStoppedLocked();
    return std::nullopt;
  }
  auto request = parse(frame);
  if (!request) {
    rejectLocked(400, "malformed_request", "the request line or a header cannot be read");
    return std::nullopt;
  }
  // Bytes after the request belong to a pipelined one.
  mClosing = !frame.mKeepAlive || mInput.size() > frame.mLength;
  mInput.clear();
  mContinueSent = false;
  mActiveRequest = ++mLastRequest;
  mMethod = request->mMethod;
  return ready_request{ .mRequest = std::move(*request), .mNumber = mActiveRequest };
}

std::optional<http_request> connection::parse(const request_frame& aFrame)
{
  namespace http = Pistache::Http;
  try {
    http::RequestParser parser(aFrame.mLength);
    if (!parser.feed(mInput.data(), aFrame.mLength) ||
        parser.parse() != http::Private::State::Done) {
      return std::nullopt;
    }
    http_request request{ .mMethod = http::methodString(parser.request.method()),
                          .mPath = parser.request.resource(),
                          .mBearer = aFrame.mBearer,
                          .mHeaders = aFrame.mHeaders,
                          .mBody = std::move(parser.request).body() };
    const auto& query = parser.request.query();
    for (auto at = query.parameters_begin(); at != query.parameters_end(); ++at) {
      const auto name = percentDecode(at->first);
      const auto value = percentDecode(at->second);
      if (!name || !value) {
        return std::nullopt;
      }
      request.mQuery[*name] = *value;
    }
    return request;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

void connection::rejectLocked(std::uint16_t aStatus, const char* aCode, const char* aMessage)
{
  mClosing = true;
  mInput.clear();
  mInput.shrink_to_fit();
  // A malformed or oversized request has no effect. If a request was not read completely (408,
  // 503), an earlier copy of it may have run.
  const bool notRead = aStatus == 408 || aStatus == 503;
  const auto answerClass = notRead ? answer_class::unknown : answer_class::not_run;
  sendLocked({ .mStatus = aStatus, .mBody = errorBody(answerClass, aStatus, aCode, aMessage) });
}

bool connection::answer(std::uint64_t aRequest, http_answer aAnswer)
{
  // Destroyed after the lock is released: it may hold the last responder of this request.
  std::function<void()> callback;
  const std::lock_guard lock(mMutex);
  if (!mOpen || mActiveRequest != aRequest) {
    return false;
  }
  mClosing = mClosing || aAnswer.mClose;
  if (aAnswer.mBody.size() > mShared->mOptions.mMaxAnswerBytes) {
    aAnswer = { .mStatus = 500,
                .mBody = errorBody(answer_class::unknown, 500, "answer_too_large",
                                   "the answer is too large to send") };
  }
  callback.swap(mOnDisconnect);
  mActiveRequest = 0;
  sendLocked(aAnswer);
  return true;
}

void connection::onDisconnect(std::uint64_t aRequest, std::function<void()> aCallback)
{
  bool callNow = false;
  {
    const std::lock_guard lock(mMutex);
    if (mActiveRequest != aRequest) {
      return;
    }
    callNow = !mOpen;
    if (mOpen) {
      mOnDisconnect.swap(aCallback);
    }
  }
  if (callNow) {
    aCallback();
  }
}

void connection::close()
{
  std::function<void()> callback;
  {
    const std::lock_guard lock(mMutex);
    if (!mOpen) {
      return;
    }
    abortLocked();
    mOpen = false;
    callback.swap(mOnDisconnect);
  }
  if (callback) {
    callback();
  }
}

void connection::closeSocket() const
{
  ::close(mSocket);
}

void connection::reject()
{
  const std::lock_guard lock(mMutex);
  rejectLocked(503, "too_many_connections", "this server has too many connections");
  // A rejected connection stays open so that the caller can read the error, but their number is
  // bounded.
  if (mShared->mConnections > 2 * mShared->mOptions.mMaxConnections) {
    abortLocked();
  }
}

void connection::maintain(socket_time aNow)
{
  const std::lock_guard lock(mMutex);
  if (!mOpen) {
    return;
  }
  const auto& options = mShared->mOptions;
  const auto elapsed = aNow - mStateStart;
  if (!mOutput.empty()) {
    flushLocked();
    if (!mOutput.empty() && elapsed > options.mSendTimeout) {
      abortLocked();
    }
  } else if (mActiveRequest != 0) {
    return;
  } else if (mClosing) {
    if (elapsed > options.mSendTimeout) {
      abortLocked();
    }
  } else if (!mInput.empty()) {
    if (elapsed > options.mReceiveTimeout) {
      rejectLocked(408, "request_timeout", "the request did not arrive in time");
    }
  } else if (elapsed > options.mIdleTimeout && !unreadLocked()) {
    abortLocked();
  }
}

int connection::socketToWrite() const
{
  const std::lock_guard lock(mMutex);
  return mOpen && !mOutput.empty() ? mSocket : -1;
}

bool connection::busy() const
{
  const std::lock_guard lock(mMutex);
  return mOpen && (mActiveRequest != 0 || !mOutput.empty() || arrivingLocked());
}

void connection::answerStopped(stop_report& aReport)
{
  std::function<void()> callback;
  {
    const std::lock_guard lock(mMutex);
    if (!mOpen) {
      return;
    }
    if (mActiveRequest != 0) {
      ++aReport.mUnanswered;
      if (!mShared->mOptions.mStopAnswer) {
        return;
      }
      mActiveRequest = 0;
      mClosing = true;
      callback.swap(mOnDisconnect);
      sendLocked(mShared->mOptions.mStopAnswer(mMethod));
    } else if (mOutput.empty() && arrivingLocked()) {
      ++aReport.mUnread;
      if (mShared->mOptions.mStopAnswer) {
        rejectStoppedLocked();
      }
    }
  }
  if (callback) {
    callback();
  }
}

bool connection::arrivingLocked() const
{
  return !mClosing && (!mInput.empty() || unreadLocked());
}

void connection::rejectStoppedLocked()
{
  if (!mShared->mOptions.mStopAnswer) {
    rejectLocked(503, "stopping", "this server is stopping");
    return;
  }
  // Empty if nothing has been read.
  mMethod = mInput.substr(0, mInput.find(' '));
  mInput = {};
  mClosing = true;
  sendLocked(mShared->mOptions.mStopAnswer(mMethod));
}

bool connection::unreadLocked() const
{
  int bytes = 0;
  return ::ioctl(mSocket, FIONREAD, &bytes) == 0 && bytes > 0;
}

void connection::sendLocked(const http_answer& aAnswer)
{
  mOutput += responseHead(aAnswer, mClosing);
  if (mMethod != "HEAD") {
    mOutput += aAnswer.mBody;
  }
  mStateStart = std::chrono::steady_clock::now();
  flushLocked();
  if (mOutput.empty()) {
    return;
  }
  if (mShared->mUnsentBytes > mShared->mOptions.mMaxUnsentBytes) {
    abortLocked();
    return;
  }
  mShared->mWake();
}

void connection::flushLocked()
{
  while (mSent < mOutput.size()) {
    const ssize_t sent =
      ::send(mSocket, mOutput.data() + mSent, mOutput.size() - mSent, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent >= 0) {
      mSent += static_cast<std::size_t>(sent);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      break;
    } else if (errno != EINTR) {
      abortLocked();
      return;
    }
  }
  if (mSent == mOutput.size()) {
    mOutput = {};
    mSent = 0;
    if (mClosing && mActiveRequest == 0) {
      // Shuts down only the sending side: closing a socket with unread input would make the system
      // discard the answer in flight.
      ::shutdown(mSocket, SHUT_WR);
    }
  }
  countUnsentLocked();
}

void connection::countUnsentLocked()
{
  const std::size_t unsent = mOutput.size() - mSent;
  mShared->mUnsentBytes += unsent - mUnsentCounted;
  mUnsentCounted = unsent;
}

void connection::abortLocked()
{
  mClosing = true;
  mInput = {};
  mOutput = {};
  mSent = 0;
  countUnsentLocked();
  ::shutdown(mSocket, SHUT_RDWR);
}

} // namespace endiveusher::edges::internal
