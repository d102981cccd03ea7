#include "endiveusher/edges/http_loop.h"

#include "easy_handles.h"

#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <map>
#include <optional>
#include <span>
#include <stdexcept>
#include <unordered_map>
#include <utility>

namespace endiveusher::edges {

namespace {

using steady = std::chrono::steady_clock;

/// As many as calls are open at a time on a busy daemon.
constexpr std::size_t kIdleHandles = 64;
constexpr long kReceiveBufferBytes = 16384;
/// Sockets handled in one pass; the others stay ready for the next.
constexpr std::size_t kMaxEvents = 128;
/// After a call without an answer the connections to that address may be silent for good. For the
/// shorter time each call makes a new one, for the longer one only those made since are used;
/// libcurl compares their ages in whole seconds.
constexpr auto kFreshPeriod = std::chrono::seconds(2);
constexpr auto kDoubtPeriod = std::chrono::seconds(20);

struct list_deleter
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};
using header_list = std::unique_ptr<curl_slist, list_deleter>;

void append(header_list& aList, const std::string& aLine)
{
  aList.reset(curl_slist_append(aList.release(), aLine.c_str()));
}

struct transfer
{
  loop_call mCall;
  std::string mUrl;
  std::string mBody;
  header_list mHeaders;
  std::size_t mMaxBodyBytes = 0;
  steady::time_point mSince;
};

std::size_t appendBody(char* aBytes, std::size_t /*aOne*/, std::size_t aCount, void* aTransfer)
{
  auto& self = *static_cast<transfer*>(aTransfer);
  if (aCount > self.mMaxBodyBytes - self.mBody.size()) {
    return 0; // Makes curl end the transfer with an error.
  }
  self.mBody.append(aBytes, aCount);
  return aCount;
}

} // namespace

class file_descriptor
{
public:
  explicit file_descriptor(int aNumber) : mNumber(aNumber)
  {
    if (aNumber < 0) {
      throw std::runtime_error("http_loop: no descriptor is left");
    }
  }
  ~file_descriptor() { ::close(mNumber); }
  file_descriptor(const file_descriptor&) = delete;
  file_descriptor& operator=(const file_descriptor&) = delete;

  int number() const { return mNumber; }

private:
  const int mNumber;
};

/// Drives libcurl by sockets that are ready: its other interface visits every open call in each
/// pass, and hundreds are open that wait for a target.
class http_loop::impl
{
public:
  explicit impl(http_loop_options aOptions) : mOptions(aOptions)
  {
    mMulti = internal::curlReady() ? curl_multi_init() : nullptr;
    if (mMulti == nullptr) {
      throw std::runtime_error("http_loop: libcurl cannot be initialised");
    }
    curl_multi_setopt(mMulti, CURLMOPT_MAX_HOST_CONNECTIONS, mOptions.mConnectionsPerAddress);
    curl_multi_setopt(mMulti, CURLMOPT_MAXCONNECTS, mOptions.mConnections);
    curl_multi_setopt(mMulti, CURLMOPT_SOCKETFUNCTION, &impl::watchSocket);
    curl_multi_setopt(mMulti, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(mMulti, CURLMOPT_TIMERFUNCTION, &impl::setTimer);
    curl_multi_setopt(mMulti, CURLMOPT_TIMERDATA, this);
    epoll_event event{ .events = EPOLLIN, .data = { .fd = mWake.number() } };
    ::epoll_ctl(mEpoll.number(), EPOLL_CTL_ADD, mWake.number(), &event);
  }

  ~impl()
  {
    for (auto& [handle, active] : mActive) {
      curl_multi_remove_handle(mMulti, handle);
      curl_easy_cleanup(handle);
    }
    curl_multi_cleanup(mMulti);
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  void send(loop_call&& aCall)
  {
    auto active = std::make_unique<transfer>();
    active->mCall = std::move(aCall);
    active->mSince = steady::now();
    active->mMaxBodyBytes = mOptions.mMaxBodyBytes;
    const auto& call = active->mCall;
    active->mUrl = "http://" + call.mAddress + call.mPath;
    CURL* handle = mHandles.take();
    // An empty header removes what libcurl adds by itself.
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
    curl_easy_setopt(handle, CURLOPT_PROXY, ""); // Peers are reached directly.
    curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.mTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(mOptions.mConnectTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, active.get());
    if (const auto trouble = mTrouble.find(call.mAddress); trouble != mTrouble.end()) {
      const auto age = active->mSince - trouble->second;
      const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(age).count();
      curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, age < kFreshPeriod ? 1L : 0L);
      curl_easy_setopt(handle, CURLOPT_MAXLIFETIME_CONN, std::max(seconds - 1, 1L));
      if (age > kDoubtPeriod) {
        mTrouble.erase(trouble);
      }
    }
    if (call.mMethod != "GET") {
      curl_easy_setopt(handle, CURLOPT_POST, 1L);
      curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.mBody.data());
      curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(call.mBody.size()));
    }
    curl_multi_add_handle(mMulti, handle);
    mActive.emplace(handle, std::move(active));
  }

  bool progress()
  {
    int running = 0;
    for (const auto& event : std::span(mEvents).first(std::exchange(mReady, 0))) {
      if (event.data.fd == mWake.number()) {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto bytes = ::read(mWake.number(), &count, sizeof count);
        continue;
      }
      // A socket that an earlier one of these has closed is unknown to libcurl by now.
      curl_multi_socket_action(mMulti, event.data.fd, toCurl(event.events), &running);
    }
    if (mTimer && *mTimer <= steady::now()) {
      mTimer.reset();
      curl_multi_socket_action(mMulti, CURL_SOCKET_TIMEOUT, 0, &running);
    }
    return finish();
  }

  void wait(std::chrono::milliseconds aWait)
  {
    auto most = aWait;
    if (mTimer) {
      const auto left = std::chrono::ceil<std::chrono::milliseconds>(*mTimer - steady::now());
      most = std::clamp(left, std::chrono::milliseconds(0), aWait);
    }
    const int count = ::epoll_wait(mEpoll.number(), mEvents.data(), static_cast<int>(kMaxEvents),
                                   static_cast<int>(most.count()));
    mReady = static_cast<std::size_t>(std::max(count, 0));
  }

  void wake()
  {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto bytes = ::write(mWake.number(), &one, sizeof one);
  }

private:
  static int toCurl(std::uint32_t aEvents)
  {
    return ((aEvents & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0) |
           ((aEvents & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) |
           ((aEvents & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0);
  }

  /// libcurl wants to know when the socket is ready, or no longer does.
  static int watchSocket(CURL* /*aHandle*/, curl_socket_t aSocket, int aWhat, void* aSelf,
                         void* /*aSocketData*/)
  {
    auto& self = *static_cast<impl*>(aSelf);
    if (aWhat == CURL_POLL_REMOVE) {
      ::epoll_ctl(self.mEpoll.number(), EPOLL_CTL_DEL, aSocket, nullptr);
      self.mWatched.erase(aSocket);
      return 0;
    }
    std::uint32_t events = 0;
    events |= (aWhat & CURL_POLL_IN) != 0 ? EPOLLIN : 0U;
    events |= (aWhat & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U;
    const auto [at, isNew] = self.mWatched.try_emplace(aSocket, 0);
    if (at->second != events) {
      at->second = events;
      epoll_event event{ .events = events, .data = { .fd = aSocket } };
      ::epoll_ctl(self.mEpoll.number(), isNew ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, aSocket, &event);
    }
    return 0;
  }

  /// libcurl wants to be called when this time has passed; -1 for no longer.
  static int setTimer(CURLM* /*aMulti*/, long aMilliseconds, void* aSelf)
  {
    auto& self = *static_cast<impl*>(aSelf);
    self.mTimer = aMilliseconds < 0
                    ? std::nullopt
                    : std::optional(steady::now() + std::chrono::milliseconds(aMilliseconds));
    return 0;
  }

  /// Runs the callbacks of complete calls; false if there were none.
  bool finish()
  {
    bool any = false;
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(mMulti, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      any = true;
      CURL* handle = message->easy_handle;
      const CURLcode code = message->data.result;
      curl_multi_remove_handle(mMulti, handle);
      const auto found = mActive.find(handle);
      const auto active = std::move(found->second);
      mActive.erase(found);
      loop_reply reply{ .mElapsed = std::chrono::duration_cast<std::chrono::microseconds>(
                          steady::now() - active->mSince) };
      if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        reply.mStatus = static_cast<int>(status);
        reply.mBody = std::move(active->mBody);
      } else {
        long cause = 0;
        curl_easy_getinfo(handle, CURLINFO_OS_ERRNO, &cause);
        // libcurl repeats a request whose reused connection ends; only the repetition was refused.
        long sentBytes = 0;
        curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sentBytes);
        reply.mRefused = code == CURLE_COULDNT_CONNECT && cause == ECONNREFUSED;
        reply.mUnsent = reply.mRefused && sentBytes == 0;
        reply.mError = curl_easy_strerror(code);
        if (code == CURLE_OPERATION_TIMEDOUT) {
          mTrouble[active->mCall.mAddress] = steady::now();
        }
      }
      mHandles.give(handle);
      active->mCall.mDone(std::move(reply));
    }
    return any;
  }

  const http_loop_options mOptions;
  const file_descriptor mEpoll{ ::epoll_create1(EPOLL_CLOEXEC) };
  /// Ends a wait; any thread.
  const file_descriptor mWake{ ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK) };
  /// Sockets that libcurl waits for, and for what.
  std::unordered_map<curl_socket_t, std::uint32_t> mWatched;
  std::array<epoll_event, kMaxEvents> mEvents{};
  /// Entries of mEvents that are not handled yet.
  std::size_t mReady = 0;
  std::optional<steady::time_point> mTimer;
  CURLM* mMulti = nullptr;
  std::map<CURL*, std::unique_ptr<transfer>> mActive;
  internal::easy_handles mHandles{ kIdleHandles };
  /// When a call to the address last had no answer in time.
  std::map<std::string, steady::time_point> mTrouble;
};

http_loop::http_loop(http_loop_options aOptions) : mImpl(std::make_unique<impl>(aOptions)) {}
http_loop::~http_loop() = default;

void http_loop::send(loop_call aCall)
{
  mImpl->send(std::move(aCall));
}

void http_loop::run(std::chrono::milliseconds aWait)
{
  // Sockets are looked at in each pass: calls that complete at once must not hold up the others.
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

} // namespace endiveusher::edges
