#include "http_connection.h"

#include "endiveusher/edges/url.h"
#include "endiveusher/protocol/json.h"
#include "responder_impl.h"

#include <pistache/http.h>

#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace endiveusher::edges::internal {

namespace {

const char* reasonPhrase(std::uint16_t aStatus)
{
  return Pistache::Http::codeString(static_cast<Pistache::Http::Code>(aStatus));
}

/// Longest method of a request that is told from an unknown one.
constexpr std::size_t kMaxMethodBytes = 15;
/// Attempts to reserve memory for received bytes. Other threads may take what was made free.
constexpr int kReserveAttempts = 4;

/// Frees the memory of a string; an assignment of an empty one keeps the capacity.
void freeMemory(std::string& aText)
{
  std::string().swap(aText);
}

/// Returns the method of a request of which a part has arrived; empty if it is not known.
std::string methodOf(std::string_view aInput)
{
  const auto end = aInput.substr(0, kMaxMethodBytes + 1).find(' ');
  return end == std::string_view::npos ? std::string() : std::string(aInput.substr(0, end));
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
  : mShared(std::move(aShared)), mSocket(aSocket), mInputCharge(mShared->mOptions.mBudget),
    mOutputCharge(mShared->mOptions.mBudget), mStateStart(std::chrono::steady_clock::now())
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
  for (int attempt = 0;; ++attempt) {
    std::size_t missing = 0;
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
        mIdleStart = std::exchange(mStateStart, std::chrono::steady_clock::now());
      }
      missing = reserveInputLocked(aBytes.size());
      if (missing == 0) {
        mInput += aBytes;
        ready = takeRequestLocked();
        break;
      }
    }
    // Without the lock: this may shed any connection of any server.
    if (attempt == kReserveAttempts || !mShared->mOptions.mBudget->makeRoom(missing, this)) {
      shedRequester(aBytes);
      return;
    }
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

std::size_t connection::reserveInputLocked(std::size_t aCount)
{
  const auto needed = mInput.size() + aCount;
  if (needed <= mInput.capacity()) {
    return 0;
  }
  auto capacity = std::max(needed, 2 * mInput.capacity());
  if (mExpectedBytes != 0) {
    capacity = std::min(capacity, std::max(needed, mExpectedBytes));
  }
  if (!mInputCharge.tryResize(capacity)) {
    return capacity - mInputCharge.bytes();
  }
  // A string that grows by itself at least doubles its capacity.
  std::string larger;
  larger.reserve(capacity);
  larger += mInput;
  mInput.swap(larger);
  return 0;
}

void connection::dropInputLocked()
{
  freeMemory(mInput);
  mInputCharge.resize(0);
  mExpectedBytes = 0;
  mTrusted = false;
}

void connection::dropOutputLocked()
{
  freeMemory(mOutput);
  mOutputCharge.resize(0);
  mSent = 0;
}

std::optional<connection::ready_request> connection::takeRequestLocked()
{
  if (mInput.size() < mExpectedBytes && !mShared->mStopping) {
    return std::nullopt;
  }
  // Some clients send an extra line break after a body.
  std::size_t breaks = 0;
  while (std::string_view(mInput).substr(breaks).starts_with("\r\n")) {
    breaks += 2;
  }
  mInput.erase(0, breaks);
  if (mInput.empty()) {
    // Line breaks alone are no request: the connection is as idle as before.
    dropInputLocked();
    mStateStart = mIdleStart;
    return std::nullopt;
  }
  const request_frame frame = frameRequest(mInput, mShared->limits());
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
    if (frame.mLength != 0) {
      admitLocked(frame);
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
  if (mShared->mOptions.mBudget) {
    mInputCharge.resize(std::min(mInputCharge.bytes(), frame.mLength));
    request->mCharge = std::make_shared<memory_charge>(std::move(mInputCharge));
    mInputCharge = memory_charge(mShared->mOptions.mBudget);
  }
  dropInputLocked();
  mContinueSent = false;
  mActiveRequest = ++mLastRequest;
  mMethod = request->mMethod;
  return ready_request{ .mRequest = std::move(*request), .mNumber = mActiveRequest };
}

void connection::admitLocked(const request_frame& aFrame)
{
  const auto& admitBody = mShared->mOptions.mAdmitBody;
  mExpectedBytes = aFrame.mLength;
  if (admitBody && aFrame.mBodyBytes > kMinAdmittedBytes) {
    auto target = std::string_view(mInput).substr(0, mInput.find("\r\n"));
    target = target.substr(0, target.rfind(' '));
    target.remove_prefix(std::min(target.size(), target.find(' ') + 1));
    const http_request head{ .mMethod = methodOf(mInput),
                             .mPath = std::string(target.substr(0, target.find('?'))),
                             .mBearer = aFrame.mBearer,
                             .mHeaders = aFrame.mHeaders };
    auto admission = admitBody(head);
    if (admission.mRefusal) {
      mClosing = true;
      mMethod = head.mMethod;
      dropInputLocked();
      sendLocked(*admission.mRefusal);
      return;
    }
    mTrusted = admission.mTrusted;
  }
  if (aFrame.mExpectsContinue && !mContinueSent) {
    mContinueSent = true;
    mOutput += "HTTP/1.1 100 Continue\r\n\r\n";
    flushLocked();
  }
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
  mMethod = methodOf(mInput);
  dropInputLocked();
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
  ++mShared->mRejectedConnections;
  // A rejected connection stays open so that the caller can read the error, but their number is
  // bounded.
  const auto& options = mShared->mOptions;
  if (mShared->mConnections >
      options.mMaxConnections + options.mMaxRejectedConnections.value_or(options.mMaxConnections)) {
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
  const auto limits = mShared->limits();
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
    // This process may have been paused: the header may have arrived without having been read.
    const bool headerLate =
      mExpectedBytes == 0 && elapsed > limits.mHeaderTimeout && !unreadLocked();
    if (headerLate || elapsed > options.mReceiveTimeout) {
      rejectLocked(408, "request_timeout", "the request did not arrive in time");
    }
  } else if (elapsed > limits.mIdleTimeout && !unreadLocked()) {
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
  mMethod = methodOf(mInput);
  dropInputLocked();
  mClosing = true;
  sendLocked(mShared->mOptions.mStopAnswer(mMethod));
}

sheddable::held_memory connection::held() const
{
  const std::lock_guard lock(mMutex);
  if (mInputCharge.bytes() > 0) {
    return { .mBytes = mInputCharge.bytes(), .mTrusted = mTrusted };
  }
  return { .mBytes = mOutputCharge.bytes(), .mAnswer = true };
}

std::size_t connection::shed()
{
  const std::lock_guard lock(mMutex);
  const auto bytes = mInputCharge.bytes() + mOutputCharge.bytes();
  if (mInputCharge.bytes() > 0) {
    shedLocked();
  } else if (mOutputCharge.bytes() > 0) {
    abortLocked();
  }
  return bytes;
}

void connection::shedRequester(std::string_view aBytes)
{
  const std::lock_guard lock(mMutex);
  if (!mOpen || mClosing) {
    return;
  }
  mShared->mOptions.mBudget->countShed(mInputCharge.bytes() + aBytes.size());
  if (mInput.empty()) {
    mInput = aBytes.substr(0, kMaxMethodBytes);
  }
  shedLocked();
}

void connection::shedLocked()
{
  // An earlier copy of the request may have run, so status 503 would not be true of all methods.
  if (mShared->mOptions.mStopAnswer) {
    rejectStoppedLocked();
  } else {
    abortLocked();
  }
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
  mOutputCharge.resize(mOutput.capacity());
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
    dropOutputLocked();
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
  dropInputLocked();
  dropOutputLocked();
  countUnsentLocked();
  ::shutdown(mSocket, SHUT_RDWR);
}

} // namespace endiveusher::edges::internal
