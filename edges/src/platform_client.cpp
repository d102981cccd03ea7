#include "endiveusher/edges/platform_client.h"

#include "endiveusher/protocol/json.h"
#include "http_requests.h"

#include <string_view>
#include <utility>

namespace endiveusher::edges {

namespace {

constexpr std::string_view streamName(log_stream aStream)
{
  return aStream == log_stream::control ? "control" : "jobs";
}

/// Whether an HTTP status proves that the records were not stored. 408 and 425 do not: the body may
/// have been received in part, or is received in full later.
constexpr bool isDefiniteRefusal(long aStatus)
{
  return aStatus >= 400 && aStatus < 500 && aStatus != 408 && aStatus != 425;
}

append_event classify(std::uint64_t aAppendId, const internal::http_result& aResult)
{
  append_event event{ .mAppendId = aAppendId };
  if (aResult.mStatus == 200) {
    const auto response = protocol::fromJson<protocol::append_response>(aResult.mBody);
    if (response.ok()) {
      event.mStatus = append_status::stored;
      event.mOffset = response->mOffset;
    }
  } else if (aResult.mStatus ? isDefiniteRefusal(*aResult.mStatus) : aResult.mNeverSent) {
    event.mStatus = append_status::rejected;
  }
  return event;
}

// Replacement for a record that cannot be decoded: a record without effect. The offset must be
// kept, because readers check for gaps, and all daemons must agree on the effect of the record.
control_record undecodableRecord(log_offset aOffset, const control_record&)
{
  const std::string id = "unreadable/" + std::to_string(aOffset);
  return { .mId = id, .mBody = config_record{ .mOperationId = id } };
}

job_record undecodableRecord(log_offset aOffset, const job_record&)
{
  const std::string id = "unreadable/" + std::to_string(aOffset);
  return { .mId = id, .mBody = ended_record{ .mRequest = id } };
}

template<typename Page, typename Record>
std::optional<Page> readPage(const internal::http_result& aResult)
{
  if (aResult.mStatus != 200) {
    return std::nullopt;
  }
  auto response = protocol::fromJson<protocol::read_response>(aResult.mBody);
  if (!response.ok()) {
    return std::nullopt;
  }
  Page page{ .mEnd = response->mEnd, .mFirst = response->mFirst };
  page.mRecords.reserve(response->mEntries.size());
  for (const auto& entry : response->mEntries) {
    auto record = protocol::fromJson<Record>(entry.mRecord);
    page.mRecords.push_back(
      { .mOffset = entry.mOffset,
        .mRecord = record.ok() ? *std::move(record) : undecodableRecord(entry.mOffset, Record{}) });
  }
  return page;
}

} // namespace

class platform_client::impl
{
public:
  explicit impl(platform_client_options aOptions)
    : mOptions(std::move(aOptions)), mRequests({ .mThreadName = "platform",
                                                 .mQueueLimit = mOptions.mQueueLimit,
                                                 .mBodyLimit = mOptions.mBodyLimit })
  {
  }

  template<typename Record>
  bool append(log_stream aStream, std::uint64_t aAppendId, const std::vector<Record>& aRecords,
              std::uint64_t aTag)
  {
    protocol::append_request request{ .mAppendId = std::to_string(aAppendId) };
    request.mRecords.reserve(aRecords.size());
    for (const auto& record : aRecords) {
      request.mRecords.push_back(protocol::toJson(record));
    }
    const std::string name(streamName(aStream));
    return start(
      "append " + name, mOptions.mLogUrl + "/v1/streams/" + name + "/append",
      protocol::toJson(request), aTag,
      [aAppendId](const internal::http_result& aResult) { return classify(aAppendId, aResult); });
  }

  bool read(const read_effect& aRead, std::uint64_t aTag)
  {
    const std::string name(streamName(aRead.mStream));
    std::string url = mOptions.mLogUrl + "/v1/streams/" + name +
                      "?from=" + std::to_string(aRead.mFrom) +
                      "&max=" + std::to_string(mOptions.mReadLimit);
    if (aRead.mStream == log_stream::control) {
      return start("read " + name, std::move(url), std::nullopt, aTag,
                   [id = aRead.mReadId](const internal::http_result& aResult) {
                     return control_read_event{ .mReadId = id,
                                                .mPage =
                                                  readPage<control_page, control_record>(aResult) };
                   });
    }
    return start("read " + name, std::move(url), std::nullopt, aTag,
                 [id = aRead.mReadId](const internal::http_result& aResult) {
                   return jobs_read_event{ .mReadId = id,
                                           .mPage = readPage<jobs_page, job_record>(aResult) };
                 });
  }

  bool readVms(std::uint64_t aTag)
  {
    return start("vms", mOptions.mVmListUrl + "/v1/vms", std::nullopt, aTag,
                 [](const internal::http_result& aResult) {
                   vm_list_event event;
                   if (aResult.mStatus == 200) {
                     auto list = protocol::fromJson<vm_list>(aResult.mBody);
                     if (list.ok()) {
                       event.mList = *std::move(list);
                     }
                   }
                   return event;
                 });
  }

  const channel_counters& counters() const { return mRequests.counters(); }

private:
  template<typename Convert>
  bool start(std::string&& aQueue, std::string&& aUrl, std::optional<std::string>&& aBody,
             std::uint64_t aTag, Convert aConvert)
  {
    return mRequests.send(
      { .mSerialQueue = std::move(aQueue),
        .mUrl = std::move(aUrl),
        .mBody = std::move(aBody),
        .mTimeout = mOptions.mTimeout,
        .mDone = [this, aTag, convert = std::move(aConvert)](internal::http_result&& aResult) {
          mOptions.mOnResult(
            { .mEvent = convert(aResult), .mTag = aTag, .mElapsed = aResult.mElapsed });
        } });
  }

  const platform_client_options mOptions;
  internal::http_requests mRequests;
};

platform_client::platform_client(platform_client_options aOptions)
  : mImpl(std::make_unique<impl>(std::move(aOptions)))
{
}

platform_client::~platform_client() = default;

bool platform_client::send(const append_control_effect& aAppend, std::uint64_t aTag)
{
  return mImpl->append(log_stream::control, aAppend.mAppendId, aAppend.mRecords, aTag);
}

bool platform_client::send(const append_jobs_effect& aAppend, std::uint64_t aTag)
{
  return mImpl->append(log_stream::jobs, aAppend.mAppendId, aAppend.mRecords, aTag);
}

bool platform_client::send(const read_effect& aRead, std::uint64_t aTag)
{
  return mImpl->read(aRead, aTag);
}

bool platform_client::send(const read_vm_list_effect&, std::uint64_t aTag)
{
  return mImpl->readVms(aTag);
}

const channel_counters& platform_client::counters() const
{
  return mImpl->counters();
}

} // namespace endiveusher::edges
