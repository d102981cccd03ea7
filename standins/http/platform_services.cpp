#include "http/platform_services.h"

#include "endiveusher/protocol/json.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <set>

namespace endiveusher::standins {

namespace {

constexpr std::string_view kStreams = "/v1/streams/";
constexpr std::string_view kAppend = "/append";
constexpr std::string_view kVms = "/v1/vms";
constexpr std::string_view kLeaving = "/leaving";
/// Largest number of records in one read.
constexpr std::uint64_t kMaxPageSize = 10'000;

std::uint64_t queryNumber(const standin_request& aRequest, const std::string& aName,
                          std::uint64_t aDefault)
{
  const auto found = aRequest.mQuery.find(aName);
  if (found == aRequest.mQuery.end()) {
    return aDefault;
  }
  std::uint64_t value = aDefault;
  std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
  return value;
}

} // namespace

standin_reply log_service::handle(const standin_request& aRequest, time_point aNow)
{
  const std::lock_guard lock(mMutex);
  const std::string& path = aRequest.mPath;
  if (path == "/faults" && aRequest.mMethod == "POST") {
    return setFaults(aRequest.mBody);
  }
  if (path == "/stats") {
    return {
      .mBody =
        nlohmann::json{ { "appends", mLog.appends() }, { "rejected", mLog.rejected() } }.dump()
    };
  }
  if (!path.starts_with(kStreams)) {
    return standin_reply::error(404, "no such path: " + path);
  }
  if (mLog.faults().mDown) {
    return standin_reply::error(503, "the log is down");
  }
  std::string name = path.substr(kStreams.size());
  standin_reply reply;
  if (aRequest.mMethod == "POST" && name.ends_with(kAppend)) {
    name.resize(name.size() - kAppend.size());
    reply = append(name, aRequest.mBody, aNow);
  } else if (aRequest.mMethod == "GET") {
    reply = read(name, aRequest, aNow);
  } else {
    return standin_reply::error(405, aRequest.mMethod + " is not allowed on " + path);
  }
  reply.mDelay += std::chrono::ceil<std::chrono::milliseconds>(mLog.faults().mDelay);
  return reply;
}

standin_reply log_service::append(const std::string& aStream, const std::string& aBody,
                                  time_point aNow)
{
  auto request = protocol::fromJson<protocol::append_request>(aBody);
  if (!request.ok()) {
    return standin_reply::error(400, std::string(request.status().message()));
  }
  const auto [result, offset] = stream(aStream).append(std::move(request->mRecords), aNow);
  if (result == log_append_result::rate_exceeded) {
    return standin_reply::error(429, "append rate exceeded");
  }
  standin_reply reply{ .mBody = protocol::toJson(protocol::append_response{ offset }) };
  if (result == log_append_result::answer_lost) {
    reply.mDelay = kLostAnswerDelay;
  }
  return reply;
}

standin_reply log_service::read(const std::string& aStream, const standin_request& aRequest,
                                time_point aNow)
{
  const auto max = std::min(queryNumber(aRequest, "max", 500), kMaxPageSize);
  auto page = stream(aStream).read(queryNumber(aRequest, "from", 0), max, aNow);
  if (!page) {
    return { .mStatus = 504, .mDelay = kLostAnswerDelay };
  }
  protocol::read_response response{ .mEnd = page->mEnd, .mFirst = page->mFirst };
  for (auto& [offset, record] : page->mRecords) {
    response.mEntries.push_back({ .mOffset = offset, .mRecord = std::move(record) });
  }
  return { .mBody = protocol::toJson(response) };
}

standin_reply log_service::setFaults(const std::string& aBody)
{
  const auto json = nlohmann::json::parse(aBody, nullptr, false);
  if (!json.is_object()) {
    return standin_reply::error(400, "faults must be a JSON object");
  }
  try {
    mLog.setFaults({ .mDown = json.value("down", false),
                     .mDelay = std::chrono::milliseconds(json.value("delay_ms", 0)),
                     .mLoseAppendAnswers = json.value("lose_append_answers", 0.0),
                     .mLoseReadAnswers = json.value("lose_read_answers", 0.0) });
  } catch (const nlohmann::json::exception& error) {
    return standin_reply::error(400, error.what());
  }
  return {};
}

standin_reply vm_list_service::handle(const standin_request& aRequest, time_point aNow)
{
  const std::lock_guard lock(mMutex);
  const std::string& path = aRequest.mPath;
  const std::string& method = aRequest.mMethod;
  if (path == "/faults" && method == "POST") {
    const auto json = nlohmann::json::parse(aRequest.mBody, nullptr, false);
    if (!json.is_object() || !json.contains("down") || !json["down"].is_boolean()) {
      return standin_reply::error(400, "faults must be {\"down\": true or false}");
    }
    mVms.setDown(json["down"].get<bool>());
    return {};
  }
  if (path == kVms && method == "GET") {
    const auto list = mVms.list(aNow);
    return list ? standin_reply{ .mBody = protocol::toJson(*list) }
                : standin_reply::error(503, "the VM list is down");
  }
  if (path == kVms && (method == "PUT" || method == "POST")) {
    return replace(aRequest, aNow);
  }
  if (path.size() > kVms.size() + 1 && path.starts_with(kVms)) {
    std::string name = path.substr(kVms.size() + 1);
    if (method == "DELETE") {
      mVms.remove(name, aNow);
      return {};
    }
    if (method == "POST" && name.ends_with(kLeaving)) {
      name.resize(name.size() - kLeaving.size());
      mVms.setLeaving(name, true, aNow);
      return {};
    }
  }
  return standin_reply::error(404, method + " " + path + " is not supported");
}

standin_reply vm_list_service::replace(const standin_request& aRequest, time_point aNow)
{
  const auto list = protocol::fromJson<vm_list>(aRequest.mBody);
  if (!list.ok()) {
    return standin_reply::error(400, std::string(list.status().message()));
  }
  if (aRequest.mMethod == "PUT") {
    std::set<std::string> names;
    for (const auto& vm : list->mVms) {
      names.insert(vm.mName);
    }
    const auto old = mVms.current();
    for (const auto& vm : old.mVms) {
      if (!names.contains(vm.mName)) {
        mVms.remove(vm.mName, aNow);
      }
    }
  }
  for (const auto& vm : list->mVms) {
    mVms.set(vm, aNow);
  }
  return {};
}

} // namespace endiveusher::standins
