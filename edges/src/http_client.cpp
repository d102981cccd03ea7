#include "endiveusher/edges/http_client.h"

#include "easy_handles.h"

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>
#include <curl/curl.h>

#include <stdexcept>

namespace endiveusher::edges {

namespace {

struct list_deleter
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};
struct handle_deleter
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
};

std::size_t appendBody(char* aBytes, std::size_t /*aOne*/, std::size_t aCount, void* aBody)
{
  auto& body = *static_cast<std::string*>(aBody);
  if (aCount > http_client::kMaxResponseBytes - body.size()) {
    return 0; // libcurl then aborts the transfer with an error.
  }
  body.append(aBytes, aCount);
  return aCount;
}

absl::Status failure(CURL* aHandle, CURLcode aCode, bool aSent, const client_request& aRequest)
{
  const std::string message =
    absl::StrCat(aRequest.mMethod, " ", aRequest.mPath, " at ", aRequest.mAddress, ": ",
                 internal::describe(aHandle, aCode));
  if (!aSent) {
    return absl::UnavailableError(message);
  }
  return aCode == CURLE_OPERATION_TIMEDOUT ? absl::DeadlineExceededError(message)
                                           : absl::UnknownError(message);
}

} // namespace

class http_client::impl
{
public:
  impl()
  {
    static const CURLcode kInitialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    mHandle.reset(kInitialised == CURLE_OK ? curl_easy_init() : nullptr);
    if (!mHandle) {
      throw std::runtime_error("http_client: cannot initialise libcurl");
    }
  }

  absl::StatusOr<client_response> perform(const client_request& aRequest)
  {
    CURL* const handle = mHandle.get();
    curl_easy_reset(handle); // Does not close the connections.
    const std::string url = absl::StrCat("http://", aRequest.mAddress, aRequest.mPath);
    std::unique_ptr<curl_slist, list_deleter> headers;
    const auto addHeader = [&headers](const std::string& aLine) {
      headers.reset(curl_slist_append(headers.release(), aLine.c_str()));
    };
    addHeader("Content-Type: application/json");
    addHeader("Expect:"); // Prevents a wait for `100 Continue` before a large body.
    if (!aRequest.mBearer.empty()) {
      addHeader("Authorization: Bearer " + aRequest.mBearer);
    }
    client_response response;
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_PROXY, ""); // Daemons are reached directly.
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(aRequest.mTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response.mBody);
    if (aRequest.mMethod == "GET") {
      curl_easy_setopt(handle, CURLOPT_HTTPGET, 1L);
    } else {
      internal::forbidRepetition(handle);
      curl_easy_setopt(handle, CURLOPT_POST, 1L);
      curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, aRequest.mMethod.c_str());
      curl_easy_setopt(handle, CURLOPT_POSTFIELDS, aRequest.mBody.c_str());
      curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(aRequest.mBody.size()));
    }
    const CURLcode code = curl_easy_perform(handle);
    if (code != CURLE_OK) {
      // Zero for any error if no connection was made or reused.
      curl_off_t pretransfer = 0;
      curl_easy_getinfo(handle, CURLINFO_PRETRANSFER_TIME_T, &pretransfer);
      return failure(handle, code, pretransfer != 0, aRequest);
    }
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    response.mStatus = static_cast<int>(status);
    return response;
  }

private:
  std::unique_ptr<CURL, handle_deleter> mHandle;
};

http_client::http_client() : mImpl(std::make_unique<impl>()) {}
http_client::~http_client() = default;
http_client::http_client(http_client&&) noexcept = default;
http_client& http_client::operator=(http_client&&) noexcept = default;

absl::StatusOr<client_response> http_client::perform(const client_request& aRequest)
{
  return mImpl->perform(aRequest);
}

} // namespace endiveusher::edges
