#include "endiveusher/edges/http_loop.h"

#include "easy_handles.h"
#include "endiveusher/edges/memory_budget.h"

#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <stdexcept>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace endiveusher::edges {

namespace {

using steady_clock = std::chrono::steady_clock;

/// Number of calls that a busy daemon has open at a time.
constexpr std::size_t kMaxIdleHandles = 64;
constexpr long kReceiveBufferBytes = 16384;
/// Sockets handled in one pass; the others remain ready for the next pass.
constexpr std::size_t kMaxEvents = 128;
/// After a call has timed out, existing connections to its address may be permanently unresponsive.
/// For kFreshConnectionPeriod each call opens a new connection; until kSuspectPeriod only
/// connections opened after the timeout are reused. libcurl compares connection ages in whole
/// seconds.
constexpr auto kFreshConnectionPeriod = std::chrono::seconds(2);
constexpr auto kSuspectPeriod = std::chrono::seconds(20);

/// Number of libcurl multi handles over which the addresses are spread. libcurl visits all cached
/// connections of a multi handle whenever a call completes; at 350 targets and 1,750 connections
/// that cost more than a third of each call.
constexpr std::size_t kShards = 16;
/// Share of the cached connections that a shard may hold, as a multiple of its mean: addresses are
/// spread by a hash, so that some shards serve more of them.
constexpr double kShardHeadroom = 1.25;
/// Marks the event of the wake-up descriptor, which belongs to no shard.
constexpr std::uint32_t kWakeShard = kShards;

struct list_deleter
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};
using header_list = std::unique_ptr<curl_slist, list_deleter>;

void append(header_list& aList, const std::string& aLine)
{
  aList.reset(curl_slist_append(aList.release(), aLine.c_str()));
}

/// Accounts of the replies of a loop.
struct reply_accounts
{
  /// Limit of all replies together.
  std::shared_ptr<memory_budget> mReplies;
  /// Budget of the process; may be null.
  std::shared_ptr<memory_budget> mProcess;
  std::uint64_t mRefused = 0;
};

/// Reservations of the capacity of one reply's body.
class reply_charge
{
public:
  explicit reply_charge(reply_accounts& aAccounts)
    : mAccounts(aAccounts), mReply(aAccounts.mReplies), mProcess(aAccounts.mProcess)
  {
  }

  /// Makes room in aBody for aCount bytes more; returns false if the limit of replies is reached.
  bool reserve(std::string& aBody, std::size_t aCount)
  {
    const auto needed = aBody.size() + aCount;
    if (needed <= aBody.capacity()) {
      return true;
    }
    const auto capacity = std::max(needed, 2 * aBody.capacity());
    if (!mReply.tryResize(capacity)) {
      ++mAccounts.mRefused;
      return false;
    }
    if (!mProcess.tryResize(capacity)) {
      mAccounts.mProcess->makeRoom(capacity - mProcess.bytes(), nullptr);
      mProcess.resize(capacity);
    }
    aBody.reserve(capacity);
    return true;
  }

private:
  reply_accounts& mAccounts;
  memory_charge mReply;
  memory_charge mProcess;
};

struct transfer
{
  explicit transfer(reply_accounts& aAccounts) : mCharge(aAccounts) {}

  call_id mId = 0;
  loop_call mCall;
  std::string mUrl;
  std::string mBody;
  reply_charge mCharge;
  /// Whether the reply has exceeded the limit of all replies.
  bool mRefused = false;
  header_list mHeaders;
  std::size_t mMaxBodyBytes = 0;
  const http_loop_options* mOptions = nullptr;
  steady_clock::time_point mStart;
  CURLM* mMulti = nullptr;
  CURL* mHandle = nullptr;
  bool mWithheld = false;
};

/// CURLOPT_PREREQFUNCTION of a request that needs a permission.
int askPermission(void* aTransfer, char* /*aPeer*/, char* /*aLocal*/, int /*aPeerPort*/,
                  int /*aLocalPort*/)
{
  auto& self = *static_cast<transfer*>(aTransfer);
  if (internal::sentBytes(self.mHandle) > 0) {
    // As forbidRepetition() does.
    return self.mCall.mRepeatable ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
  }
  try {
    self.mWithheld = !self.mCall.mMaySend();
  } catch (const std::exception& error) {
    // Exceptions cannot pass through libcurl, which is written in C.
    self.mWithheld = true;
    if (self.mOptions->mOnError) {
      self.mOptions->mOnError(self.mCall.mAddress, error);
    }
  }
  return self.mWithheld ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

/// Returns false if the transfer has to end because its callback has thrown and there is no error
/// handler.
bool noteProgress(const transfer& aTransfer)
{
  if (!aTransfer.mCall.mOnProgress) {
    return true;
  }
  try {
    aTransfer.mCall.mOnProgress();
  } catch (const std::exception& error) {
    // Exceptions cannot pass through libcurl, which is written in C.
    if (!aTransfer.mOptions->mOnError) {
      return false;
    }
    aTransfer.mOptions->mOnError(aTransfer.mCall.mAddress, error);
  }
  return true;
}

std::size_t appendBody(char* aBytes, std::size_t /*aOne*/, std::size_t aCount, void* aTransfer)
{
  auto& self = *static_cast<transfer*>(aTransfer);
  if (!noteProgress(self) || aCount > self.mMaxBodyBytes - self.mBody.size()) {
    return 0; // libcurl then aborts the transfer with an error.
  }
  if (!self.mCharge.reserve(self.mBody, aCount)) {
    self.mRefused = true;
    return 0;
  }
  self.mBody.append(aBytes, aCount);
  return aCount;
}

std::size_t noteHeader(char* /*aBytes*/, std::size_t /*aOne*/, std::size_t aCount, void* aTransfer)
{
  return noteProgress(*static_cast<const transfer*>(aTransfer)) ? aCount : 0;
}

} // namespace

class file_descriptor
{
public:
  explicit file_descriptor(int aNumber) : mNumber(aNumber)
  {
    if (aNumber < 0) {
      throw std::runtime_error("http_loop: cannot create a file descriptor");
    }
  }
  ~file_descriptor() { ::close(mNumber); }
  file_descriptor(const file_descriptor&) = delete;
  file_descriptor& operator=(const file_descriptor&) = delete;

  int number() const { return mNumber; }

private:
  const int mNumber;
};

/// One libcurl multi handle, for a part of the addresses. Its sockets are watched through the epoll
/// descriptor of the loop; events carry the index of the shard and the socket.
class multi_shard
{
public:
  multi_shard(std::uint32_t aIndex, int aEpollFd, const http_loop_options& aOptions)
    : mIndex(aIndex), mEpollFd(aEpollFd)
  {
    mMulti = internal::initialiseCurl() ? curl_multi_init() : nullptr;
    if (mMulti == nullptr) {
      throw std::runtime_error("http_loop: cannot initialise libcurl");
    }
    const auto connections = static_cast<long>(
      std::ceil(kShardHeadroom * static_cast<double>(aOptions.mConnections) / kShards));
    curl_multi_setopt(mMulti, CURLMOPT_MAX_HOST_CONNECTIONS, aOptions.mConnectionsPerAddress);
    curl_multi_setopt(mMulti, CURLMOPT_MAXCONNECTS, connections);
    curl_multi_setopt(mMulti, CURLMOPT_SOCKETFUNCTION, &multi_shard::watchSocket);
    curl_multi_setopt(mMulti, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(mMulti, CURLMOPT_TIMERFUNCTION, &multi_shard::setTimer);
    curl_multi_setopt(mMulti, CURLMOPT_TIMERDATA, this);
  }
  ~multi_shard() { curl_multi_cleanup(mMulti); }
  multi_shard(const multi_shard&) = delete;
  multi_shard& operator=(const multi_shard&) = delete;

  CURLM* handle() const { return mMulti; }
  std::optional<steady_clock::time_point> timer() const { return mTimer; }
  static std::uint64_t eventData(std::uint32_t aShard, int aSocket)
  {
    return (std::uint64_t{ aShard } << 32U) | static_cast<std::uint32_t>(aSocket);
  }
  void onSocketReady(int aSocket, std::uint32_t aEvents)
  {
    int running = 0;
    // libcurl ignores a socket that an earlier event of the same pass has closed.
    curl_multi_socket_action(mMulti, aSocket, toCurl(aEvents), &running);
  }
  void runTimer(steady_clock::time_point aNow)
  {
    if (mTimer && *mTimer <= aNow) {
      mTimer.reset();
      int running = 0;
      curl_multi_socket_action(mMulti, CURL_SOCKET_TIMEOUT, 0, &running);
    }
  }

private:
  static int toCurl(std::uint32_t aEvents)
  {
    return ((aEvents & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0) |
           ((aEvents & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) |
           ((aEvents & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0);
  }

  /// CURLMOPT_SOCKETFUNCTION: starts, changes or ends watching a socket.
  static int watchSocket(CURL* /*aHandle*/, curl_socket_t aSocket, int aWhat, void* aSelf,
                         void* /*aSocketData*/)
  {
    auto& self = *static_cast<multi_shard*>(aSelf);
    if (aWhat == CURL_POLL_REMOVE) {
      ::epoll_ctl(self.mEpollFd, EPOLL_CTL_DEL, aSocket, nullptr);
      self.mWatched.erase(aSocket);
      return 0;
    }
    std::uint32_t events = 0;
    events |= (aWhat & CURL_POLL_IN) != 0 ? EPOLLIN : 0U;
    events |= (aWhat & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U;
    const auto [at, isNew] = self.mWatched.try_emplace(aSocket, 0);
    if (at->second != events) {
      at->second = events;
      epoll_event event{ .events = events, .data = { .u64 = eventData(self.mIndex, aSocket) } };
      ::epoll_ctl(self.mEpollFd, isNew ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, aSocket, &event);
    }
    return 0;
  }

  /// CURLMOPT_TIMERFUNCTION: sets the time of the next timeout action; -1 deletes the timer.
  static int setTimer(CURLM* /*aMulti*/, long aMilliseconds, void* aSelf)
  {
    auto& self = *static_cast<multi_shard*>(aSelf);
    self.mTimer = aMilliseconds < 0
                    ? std::nullopt
                    : std::optional(steady_clock::now() + std::chrono::milliseconds(aMilliseconds));
    return 0;
  }

  const std::uint32_t mIndex;
  const int mEpollFd;
  CURLM* mMulti = nullptr;
  /// Sockets that libcurl waits for, with the epoll events.
  std::unordered_map<curl_socket_t, std::uint32_t> mWatched;
  std::optional<steady_clock::time_point> mTimer;
};

/// Drives libcurl through its multi-socket interface, which visits only ready sockets.
/// curl_multi_perform() visits every open call in each pass, and hundreds of open calls wait for a
/// target.
class http_loop::impl
{
public:
  explicit impl(http_loop_options aOptions)
    : mOptions(std::move(aOptions)), mAccounts{ .mReplies = std::make_shared<memory_budget>(
                                                  mOptions.mMaxReplyBytes),
                                                .mProcess = mOptions.mBudget }
  {
    for (std::uint32_t index = 0; index < kShards; ++index) {
      mShards.push_back(std::make_unique<multi_shard>(index, mEpollFd.number(), mOptions));
    }
    epoll_event event{ .events = EPOLLIN,
                       .data = { .u64 = multi_shard::eventData(kWakeShard, mWakeFd.number()) } };
    ::epoll_ctl(mEpollFd.number(), EPOLL_CTL_ADD, mWakeFd.number(), &event);
  }

  ~impl()
  {
    for (auto& [handle, active] : mActive) {
      curl_multi_remove_handle(active->mMulti, handle);
      curl_easy_cleanup(handle);
    }
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  call_id send(loop_call&& aCall)
  {
    auto active = std::make_unique<transfer>(mAccounts);
    const auto id = ++mLastId;
    active->mId = id;
    active->mCall = std::move(aCall);
    active->mStart = steady_clock::now();
    active->mMaxBodyBytes = mOptions.mMaxBodyBytes;
    active->mOptions = &mOptions;
    const auto& call = active->mCall;
    active->mUrl = "http://" + call.mAddress + call.mPath;
    CURL* handle = mHandles.acquire();
    // A header without a value removes the one that libcurl adds by default.
    append(active->mHeaders, "Expect:");
    append(active->mHeaders, "Accept:");
    append(active->mHeaders, "Content-Type: " + call.mContentType);
    for (const auto& line : call.mHeaders) {
      append(active->mHeaders, line);
    }
    curl_easy_setopt(handle, CURLOPT_URL, active->mUrl.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, active->mHeaders.get());
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    // Addresses are numeric. libcurl would search its cache for outdated names after each call.
    curl_easy_setopt(handle, CURLOPT_DNS_CACHE_TIMEOUT, -1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, ""); // Peers are reached directly.
    curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.mTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(mOptions.mConnectTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, active.get());
    if (call.mMethod != "GET" && !call.mRepeatable) {
      internal::forbidRepetition(handle);
    }
    if (call.mMaySend) {
      active->mHandle = handle;
      curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &askPermission);
      curl_easy_setopt(handle, CURLOPT_PREREQDATA, active.get());
    }
    if (call.mOnProgress) {
      curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &noteHeader);
      curl_easy_setopt(handle, CURLOPT_HEADERDATA, active.get());
    }
    if (const auto lastTimeout = mTimeouts.find(call.mAddress); lastTimeout != mTimeouts.end()) {
      const auto age = active->mStart - lastTimeout->second;
      const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(age).count();
      curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, age < kFreshConnectionPeriod ? 1L : 0L);
      curl_easy_setopt(handle, CURLOPT_MAXLIFETIME_CONN, std::max(seconds - 1, 1L));
      if (age > kSuspectPeriod) {
        mTimeouts.erase(lastTimeout);
      }
    }
    if (call.mMethod != "GET") {
      curl_easy_setopt(handle, CURLOPT_POST, 1L);
      curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.mBody.data());
      curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(call.mBody.size()));
    }
    active->mMulti = shardOf(call.mAddress).handle();
    curl_multi_add_handle(active->mMulti, handle);
    mActive.emplace(handle, std::move(active));
    mHandleOf.emplace(id, handle);
    return id;
  }

  void cancel(call_id aId)
  {
    const auto found = mHandleOf.find(aId);
    if (found == mHandleOf.end()) {
      return;
    }
    CURL* handle = found->second;
    mHandleOf.erase(found);
    const auto active = mActive.extract(handle);
    // Also removes a message of this call that has not been read yet.
    curl_multi_remove_handle(active.mapped()->mMulti, handle);
    mHandles.release(handle);
  }

  bool progress()
  {
    for (const auto& event : std::span(mEvents).first(std::exchange(mReadyEvents, 0))) {
      const auto shard = static_cast<std::uint32_t>(event.data.u64 >> 32U);
      if (shard == kWakeShard) {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto bytes = ::read(mWakeFd.number(), &count, sizeof count);
        continue;
      }
      mShards[shard]->onSocketReady(static_cast<int>(event.data.u64 & 0xffffffffU), event.events);
    }
    const auto now = steady_clock::now();
    bool any = false;
    for (const auto& shard : mShards) {
      shard->runTimer(now);
      any = completeCalls(shard->handle()) || any;
    }
    return any;
  }

  void wait(std::chrono::milliseconds aWait)
  {
    auto timeout = aWait;
    for (const auto& shard : mShards) {
      if (shard->timer()) {
        const auto left =
          std::chrono::ceil<std::chrono::milliseconds>(*shard->timer() - steady_clock::now());
        timeout = std::clamp(left, std::chrono::milliseconds(0), timeout);
      }
    }
    const int count = ::epoll_wait(mEpollFd.number(), mEvents.data(), static_cast<int>(kMaxEvents),
                                   static_cast<int>(timeout.count()));
    mReadyEvents = static_cast<std::size_t>(std::max(count, 0));
  }

  void wake()
  {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto bytes = ::write(mWakeFd.number(), &one, sizeof one);
  }

  const reply_accounts& accounts() const { return mAccounts; }

private:
  /// Returns the shard of an address, always the same one, so that its connections are reused.
  multi_shard& shardOf(std::string_view aAddress)
  {
    return *mShards[std::hash<std::string_view>{}(aAddress) % kShards];
  }

  /// Runs the callbacks of completed calls of a multi handle; returns whether there were any.
  bool completeCalls(CURLM* aMulti)
  {
    bool any = false;
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(aMulti, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      any = true;
      CURL* handle = message->easy_handle;
      const CURLcode code = message->data.result;
      curl_multi_remove_handle(aMulti, handle);
      const auto found = mActive.find(handle);
      const auto active = std::move(found->second);
      mActive.erase(found);
      mHandleOf.erase(active->mId);
      const auto bytes = internal::sentBytes(handle);
      loop_reply reply{ .mSentBytes = bytes,
                        .mElapsed = std::chrono::duration_cast<std::chrono::microseconds>(
                          steady_clock::now() - active->mStart) };
      if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        reply.mStatus = static_cast<int>(status);
        reply.mBody = std::move(active->mBody);
      } else {
        long cause = 0;
        curl_easy_getinfo(handle, CURLINFO_OS_ERRNO, &cause);
        // After a reused connection has ended, libcurl opens another one, which may be refused. If
        // bytes were sent, the server may have received the request on the first one.
        reply.mRefused = code == CURLE_COULDNT_CONNECT && cause == ECONNREFUSED;
        reply.mWithheld = active->mWithheld;
        reply.mUnsent = (reply.mRefused || reply.mWithheld) && bytes == 0;
        reply.mInterrupted = internal::wasInterrupted(handle, code);
        reply.mError = active->mRefused ? "the replies exceed their memory limit"
                                        : internal::describe(handle, code);
        if (code == CURLE_OPERATION_TIMEDOUT) {
          mTimeouts[active->mCall.mAddress] = steady_clock::now();
        }
      }
      mHandles.release(handle);
      finish(active->mCall, std::move(reply));
    }
    return any;
  }

  /// Runs the callback of a completed call.
  void finish(const loop_call& aCall, loop_reply&& aReply) const
  {
    try {
      aCall.mDone(std::move(aReply));
    } catch (const std::exception& error) {
      if (!mOptions.mOnError) {
        throw;
      }
      mOptions.mOnError(aCall.mAddress, error);
    }
  }

  const http_loop_options mOptions;
  reply_accounts mAccounts;
  const file_descriptor mEpollFd{ ::epoll_create1(EPOLL_CLOEXEC) };
  /// eventfd that ends a wait; written from any thread.
  const file_descriptor mWakeFd{ ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK) };
  std::vector<std::unique_ptr<multi_shard>> mShards;
  std::array<epoll_event, kMaxEvents> mEvents{};
  /// Number of entries of mEvents that are not handled yet.
  std::size_t mReadyEvents = 0;
  std::map<CURL*, std::unique_ptr<transfer>> mActive;
  std::unordered_map<call_id, CURL*> mHandleOf;
  call_id mLastId = 0;
  internal::easy_handles mHandles{ kMaxIdleHandles };
  /// Time of the last call that timed out, by address.
  std::map<std::string, steady_clock::time_point> mTimeouts;
};

http_loop::http_loop(http_loop_options aOptions)
  : mImpl(std::make_unique<impl>(std::move(aOptions)))
{
}
http_loop::~http_loop() = default;

call_id http_loop::send(loop_call aCall)
{
  return mImpl->send(std::move(aCall));
}

void http_loop::cancel(call_id aId)
{
  mImpl->cancel(aId);
}

void http_loop::run(std::chrono::milliseconds aWait)
{
  // Sockets are polled in each pass, so that calls that fail immediately do not starve the others.
  wait(progress() ? std::chrono::milliseconds(0) : aWait);
  progress();
}

bool http_loop::progress()
{
  return mImpl->progress();
}

void http_loop::wait(std::chrono::milliseconds aWait)
{
  mImpl->wait(aWait);
}

void http_loop::wake()
{
  mImpl->wake();
}

std::size_t http_loop::replyBytes() const
{
  return mImpl->accounts().mReplies->used();
}

std::uint64_t http_loop::refusedReplies() const
{
  return mImpl->accounts().mRefused;
}

} // namespace endiveusher::edges
