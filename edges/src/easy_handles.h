#pragma once

#include <curl/curl.h>

#include <cstddef>
#include <vector>

namespace endiveusher::edges::internal {

/// Initialises libcurl once; false if that has failed. Without TLS: all channels are plain HTTP,
/// and the TLS library's tables cost memory.
inline bool curlReady()
{
  static const bool kReady = curl_global_init(CURL_GLOBAL_NOTHING) == CURLE_OK;
  return kReady;
}

/// Transfer handles kept for reuse; each holds some tens of kB of buffers. One thread.
class easy_handles
{
public:
  explicit easy_handles(std::size_t aMostIdle) : mMostIdle(aMostIdle) {}
  ~easy_handles()
  {
    for (auto* handle : mIdle) {
      curl_easy_cleanup(handle);
    }
  }
  easy_handles(const easy_handles&) = delete;
  easy_handles& operator=(const easy_handles&) = delete;

  /// A handle with default options.
  CURL* take()
  {
    if (mIdle.empty()) {
      return curl_easy_init();
    }
    CURL* handle = mIdle.back();
    mIdle.pop_back();
    return handle;
  }

  void give(CURL* aHandle)
  {
    if (mIdle.size() < mMostIdle) {
      curl_easy_reset(aHandle);
      mIdle.push_back(aHandle);
    } else {
      curl_easy_cleanup(aHandle);
    }
  }

private:
  const std::size_t mMostIdle;
  std::vector<CURL*> mIdle;
};

} // namespace endiveusher::edges::internal
