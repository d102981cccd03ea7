#include "http_requests.h"

#include "easy_handles.h"

#include <curl/curl.h>
#include <readerwriterqueue/readerwriterqueue.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <pthread.h>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace endiveusher::edges::internal {

namespace {

using steady_clock = std::chrono::steady_clock;

/// Number of calls that are usually open at a time.
constexpr std::size_t kMaxIdleHandles = 4;
/// Connections cached over all serial queues; enough for the targets of one zone.
constexpr long kMaxCachedConnections = 256;
/// Time without a request after which a serial queue is removed.
constexpr auto kQueueIdleTimeout = std::chrono::minutes(1);
constexpr long kReceiveBufferBytes = 16384;
constexpr auto kMaxPollInterval = std::chrono::milliseconds(1000);

} // namespace

class http_requests::impl
{
public:
  explicit impl(http_requests_options aOptions)
    : mOptions(std::move(aOptions)), mRing(mOptions.mQueueLimit)
  {
    mMulti = initialiseCurl() ? curl_multi_init() : nullptr;
    curl_multi_setopt(mMulti, CURLMOPT_MAXCONNECTS, kMaxCachedConnections);
    mHeaders = curl_slist_append(mHeaders, "Content-Type: application/json");
    // Prevents libcurl from waiting for `100 Continue` before it sends a large body.
    mHeaders = curl_slist_append(mHeaders, "Expect:");
    mThread = std::thread([this] { run(); });
    pthread_setname_np(mThread.native_handle(), mOptions.mThreadName.c_str());
  }

  ~impl()
  {
    mStopping = true;
    curl_multi_wakeup(mMulti);
    mThread.join();
    for (auto& [handle, active] : mActive) {
      curl_multi_remove_handle(mMulti, handle);
      curl_easy_cleanup(handle);
    }
    curl_multi_cleanup(mMulti);
    curl_slist_free_all(mHeaders);
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  bool send(http_request&& aRequest)
  {
    if (mOpenRequests.load(std::memory_order_relaxed) >= mOptions.mQueueLimit) {
      ++mCounters.mDropped;
      return false;
    }
    ++mOpenRequests;
    if (!mRing.try_enqueue(
          pending{ .mRequest = std::move(aRequest), .mStart = steady_clock::now() })) {
      --mOpenRequests;
      ++mCounters.mDropped;
      return false;
    }
    curl_multi_wakeup(mMulti);
    return true;
  }

  channel_counters mCounters;

private:
  struct pending
  {
    http_request mRequest;
    steady_clock::time_point mStart;

    steady_clock::time_point deadline() const { return mStart + mRequest.mTimeout; }
  };
  struct serial_queue
  {
    std::deque<pending> mWaiting;
    bool mBusy = false;
    /// Whether the last request failed, so that the next one must not use a cached connection.
    bool mFreshConnection = false;
    steady_clock::time_point mLastUsed;
  };
  struct transfer
  {
    pending mPending;
    std::string mResponse;
    std::size_t mBodyLimit = 0;
  };

  static std::size_t onBody(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
  {
    auto& self = *static_cast<transfer*>(aTransfer);
    const std::size_t size = aSize * aCount;
    if (self.mResponse.size() + size > self.mBodyLimit) {
      return 0;
    }
    self.mResponse.append(aData, size);
    return size;
  }

  void run()
  {
    while (!mStopping) {
      pending next;
      while (mRing.try_dequeue(next)) {
        auto& queue = mSerialQueues[next.mRequest.mSerialQueue];
        queue.mWaiting.push_back(std::move(next));
        startNext(queue);
      }
      int running = 0;
      curl_multi_perform(mMulti, &running);
      completeTransfers();
      const auto now = steady_clock::now();
      const auto wait = expireWaiting(now);
      if (mRing.peek() == nullptr && !mStopping) {
        curl_multi_poll(mMulti, nullptr, 0, static_cast<int>(wait.count()), nullptr);
      }
    }
  }

  void startNext(serial_queue& aQueue)
  {
    if (aQueue.mBusy || aQueue.mWaiting.empty()) {
      return;
    }
    auto next = std::move(aQueue.mWaiting.front());
    aQueue.mWaiting.pop_front();
    aQueue.mLastUsed = steady_clock::now();
    const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(next.deadline() - aQueue.mLastUsed);
    if (left.count() <= 0) {
      finish(next, http_result{ .mNeverSent = true });
      startNext(aQueue);
      return;
    }
    aQueue.mBusy = true;
    CURL* handle = mHandles.acquire();
    auto active = std::make_unique<transfer>();
    active->mPending = std::move(next);
    active->mBodyLimit = mOptions.mBodyLimit;
    const auto& request = active->mPending.mRequest;
    curl_easy_setopt(handle, CURLOPT_URL, request.mUrl.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, mHeaders);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(left.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &impl::onBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, active.get());
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, aQueue.mFreshConnection ? 1L : 0L);
    if (request.mBody) {
      forbidRepetition(handle);
      curl_easy_setopt(handle, CURLOPT_POST, 1L);
      curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request.mBody->size()));
      curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.mBody->data());
    }
    curl_multi_add_handle(mMulti, handle);
    mActive.emplace(handle, std::move(active));
  }

  void completeTransfers()
  {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(mMulti, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      CURL* handle = message->easy_handle;
      const CURLcode code = message->data.result;
      curl_multi_remove_handle(mMulti, handle);
      const auto found = mActive.find(handle);
      const auto active = std::move(found->second);
      mActive.erase(found);
      const http_result result = evaluate(handle, code, *active);
      mHandles.release(handle);
      auto& queue = mSerialQueues[active->mPending.mRequest.mSerialQueue];
      queue.mBusy = false;
      queue.mFreshConnection = code != CURLE_OK;
      finish(active->mPending, result);
      startNext(queue);
    }
  }

  http_result evaluate(CURL* aHandle, CURLcode aCode, transfer& aTransfer)
  {
    const long requestSize = sentBytes(aHandle);
    long headerSize = 0;
    curl_easy_getinfo(aHandle, CURLINFO_HEADER_SIZE, &headerSize);
    if (requestSize > 0) {
      const auto& body = aTransfer.mPending.mRequest.mBody;
      mCounters.mSentBytes += static_cast<std::uint64_t>(requestSize) + (body ? body->size() : 0);
    }
    mCounters.mReceivedBytes += static_cast<std::uint64_t>(headerSize) + aTransfer.mResponse.size();
    http_result result;
    if (aCode == CURLE_OK) {
      long status = 0;
      curl_easy_getinfo(aHandle, CURLINFO_RESPONSE_CODE, &status);
      result.mStatus = status;
      result.mBody = std::move(aTransfer.mResponse);
    } else {
      // After a reused connection has ended, libcurl opens another one; that this one is refused
      // does not prove that the request was not received on the first one.
      result.mNeverSent = requestSize == 0;
    }
    return result;
  }

  void finish(const pending& aPending, http_result aResult)
  {
    ++(aResult.mStatus ? mCounters.mSucceeded : mCounters.mFailed);
    aResult.mElapsed = std::chrono::duration_cast<duration>(steady_clock::now() - aPending.mStart);
    --mOpenRequests;
    aPending.mRequest.mDone(std::move(aResult));
  }

  /// Fails waiting requests past their deadline, removes idle serial queues, and returns the time
  /// until the next deadline of a waiting request, at most kMaxPollInterval.
  std::chrono::milliseconds expireWaiting(steady_clock::time_point aNow)
  {
    auto next = aNow + kMaxPollInterval;
    for (auto at = mSerialQueues.begin(); at != mSerialQueues.end();) {
      auto& waiting = at->second.mWaiting;
      while (!waiting.empty() && waiting.front().deadline() <= aNow) {
        finish(waiting.front(), http_result{ .mNeverSent = true });
        waiting.pop_front();
      }
      if (!waiting.empty()) {
        next = std::min(next, waiting.front().deadline());
      }
      const bool idle = waiting.empty() && !at->second.mBusy;
      at = idle && aNow - at->second.mLastUsed > kQueueIdleTimeout ? mSerialQueues.erase(at) : ++at;
    }
    return std::chrono::ceil<std::chrono::milliseconds>(next - aNow);
  }

  const http_requests_options mOptions;
  moodycamel::ReaderWriterQueue<pending, 64> mRing;
  std::atomic<std::size_t> mOpenRequests{ 0 };
  std::atomic<bool> mStopping{ false };
  CURLM* mMulti = nullptr;
  curl_slist* mHeaders = nullptr;
  std::map<std::string, serial_queue> mSerialQueues;
  std::map<CURL*, std::unique_ptr<transfer>> mActive;
  easy_handles mHandles{ kMaxIdleHandles };
  std::thread mThread;
};

http_requests::http_requests(http_requests_options aOptions)
  : mImpl(std::make_unique<impl>(std::move(aOptions)))
{
}

http_requests::~http_requests() = default;

bool http_requests::send(http_request aRequest)
{
  return mImpl->send(std::move(aRequest));
}

const channel_counters& http_requests::counters() const
{
  return mImpl->mCounters;
}

} // namespace endiveusher::edges::internal
