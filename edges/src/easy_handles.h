#pragma once

#include <curl/curl.h>
#include <sys/socket.h>

#include <cstddef>
#include <vector>

namespace endiveusher::edges::internal {

/// Initialises libcurl on the first call; returns whether that succeeded. Without TLS: all channels
/// use plain HTTP, and the tables of the TLS library would cost memory.
inline bool initialiseCurl()
{
  static const bool kInitialised = curl_global_init(CURL_GLOBAL_NOTHING) == CURLE_OK;
  return kInitialised;
}

/// Bytes that were sent of all copies of a request, without most of a large body.
inline long sentBytes(CURL* aHandle)
{
  long bytes = 0;
  curl_easy_getinfo(aHandle, CURLINFO_REQUEST_SIZE, &bytes);
  return bytes;
}

/// Makes the transfer fail instead of sending its request again. libcurl does that, also for POST,
/// if a reused connection ends before the first byte of the answer. The server may have carried out
/// the first copy and reject the second one.
inline void forbidRepetition(CURL* aHandle)
{
  // Without a new connection for the copy, as it could not be used.
  const auto openSocket = [](void* aData, curlsocktype /*aPurpose*/,
                             curl_sockaddr* aAddress) -> curl_socket_t {
    return sentBytes(aData) > 0
             ? CURL_SOCKET_BAD
             : ::socket(aAddress->family, aAddress->socktype, aAddress->protocol);
  };
  curl_easy_setopt(aHandle, CURLOPT_OPENSOCKETFUNCTION, +openSocket);
  curl_easy_setopt(aHandle, CURLOPT_OPENSOCKETDATA, aHandle);
  // Another idle connection may be reused for the copy.
  const auto beforeCopy = [](void* aData, char* /*aPeer*/, char* /*aLocal*/, int /*aPeerPort*/,
                             int /*aLocalPort*/) -> int {
    return sentBytes(aData) > 0 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
  };
  curl_easy_setopt(aHandle, CURLOPT_PREREQFUNCTION, +beforeCopy);
  curl_easy_setopt(aHandle, CURLOPT_PREREQDATA, aHandle);
}

/// Whether a reused connection has ended before the first byte of the answer, after a part of the
/// request was sent.
inline bool wasInterrupted(CURL* aHandle, CURLcode aCode)
{
  return sentBytes(aHandle) > 0 &&
         (aCode == CURLE_ABORTED_BY_CALLBACK || aCode == CURLE_COULDNT_CONNECT);
}

/// Returns the reason for a missing answer.
inline const char* describe(CURL* aHandle, CURLcode aCode)
{
  return wasInterrupted(aHandle, aCode) ? "the reused connection ended before the answer"
                                        : curl_easy_strerror(aCode);
}

/// Pool of transfer handles; each holds some tens of kB of buffers. Not thread-safe.
class easy_handles
{
public:
  explicit easy_handles(std::size_t aMaxIdle) : mMaxIdle(aMaxIdle) {}
  ~easy_handles()
  {
    for (auto* handle : mIdle) {
      curl_easy_cleanup(handle);
    }
  }
  easy_handles(const easy_handles&) = delete;
  easy_handles& operator=(const easy_handles&) = delete;

  /// Returns a handle with default options.
  CURL* acquire()
  {
    if (mIdle.empty()) {
      return curl_easy_init();
    }
    CURL* handle = mIdle.back();
    mIdle.pop_back();
    return handle;
  }

  /// Resets aHandle and keeps it for reuse, or frees it if the pool is full.
  void release(CURL* aHandle)
  {
    if (mIdle.size() < mMaxIdle) {
      curl_easy_reset(aHandle);
      mIdle.push_back(aHandle);
    } else {
      curl_easy_cleanup(aHandle);
    }
  }

private:
  const std::size_t mMaxIdle;
  std::vector<CURL*> mIdle;
};

} // namespace endiveusher::edges::internal
