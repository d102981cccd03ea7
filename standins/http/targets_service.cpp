#include "http/targets_service.h"

#include "endiveusher/protocol/json.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace endiveusher::standins {

class targets_service::target_endpoint : public standin_service
{
public:
  target_endpoint(targets_service& aOwner, std::size_t aIndex, const target_options& aOptions,
                  time_point aNow)
    : mModel(aOptions, aNow), mOwner(&aOwner), mIndex(aIndex)
  {
  }

  standin_reply handle(const standin_request& aRequest, time_point aNow) override
  {
    if (aRequest.mPath == "/violations") {
      return mOwner->violations();
    }
    if (aRequest.mPath == "/starts") {
      return mOwner->starts();
    }
    if (aRequest.mMethod != "POST") {
      return standin_reply::error(404, "no such path: " + aRequest.mPath);
    }
    const std::lock_guard lock(mOwner->mMutex);
    if (aRequest.mPath == "/faults") {
      return setFaults(aRequest.mBody, aNow);
    }
    if (aRequest.mPath != "/v1/exchange") {
      return standin_reply::error(404, "no such path: " + aRequest.mPath);
    }
    const auto request = protocol::fromJson<exchange_request>(aRequest.mBody);
    if (!request.ok()) {
      return standin_reply::error(400, std::string(request.status().message()));
    }
    const auto response = mModel.exchange(*request, aNow);
    mOwner->collectObservations(mIndex, aNow);
    return { .mBody = protocol::toJson(response),
             .mDelay = mUnresponsive ? kLostAnswerDelay : std::chrono::milliseconds{ 0 } };
  }

  target_model mModel;

private:
  standin_reply setFaults(const std::string& aBody, time_point aNow)
  {
    const auto json = nlohmann::json::parse(aBody, nullptr, false);
    if (!json.is_object()) {
      return standin_reply::error(400, "faults must be a JSON object");
    }
    try {
      mModel.setFaults({ .mFailsStarts = json.value("fails_starts", false),
                         .mFailsTasks = json.value("fails_tasks", false),
                         .mUseFactor = json.value("use_factor", 1.0) });
      mModel.setLeaving(json.value("leaving", false));
      mUnresponsive = json.value("silent", false);
      if (json.value("restart", false)) {
        mModel.restart(aNow);
        mOwner->collectObservations(mIndex, aNow);
      }
    } catch (const nlohmann::json::exception& error) {
      return standin_reply::error(400, error.what());
    }
    return {};
  }

  targets_service* mOwner;
  std::size_t mIndex;
  bool mUnresponsive = false;
};

targets_service::targets_service(const std::vector<target_options>& aTargets, time_point aNow)
{
  for (const auto& options : aTargets) {
    mTargets.push_back(std::make_unique<target_endpoint>(*this, mTargets.size(), options, aNow));
  }
}

targets_service::~targets_service() = default;

std::size_t targets_service::size() const
{
  return mTargets.size();
}

standin_service& targets_service::endpoint(std::size_t aTarget)
{
  return *mTargets.at(aTarget);
}

void targets_service::collectObservations(std::size_t aTarget, time_point aNow)
{
  for (const auto& seen : mTargets[aTarget]->mModel.takeObservations()) {
    auto& history = mTasks[seen.mTask.mKey];
    if (seen.mKind != target_observation::kind::started) {
      history.mRunningOn.erase(aTarget);
      continue;
    }
    // Targets end due tasks only at their next exchange, so the other targets are advanced first.
    const auto others = history.mRunningOn;
    for (const auto other : others) {
      if (other != aTarget) {
        mTargets[other]->mModel.advance(aNow);
        collectObservations(other, aNow);
      }
    }
    mDoubleRuns += history.mRunningOn.empty() ? 0 : 1;
    history.mRunningOn.insert(aTarget);
    ++history.mStarts;
    if (seen.mTask.mCheckpoint.empty() && ++history.mFreshStarts > 1 && !seen.mTask.mIdempotent) {
      ++mRepeatedNonIdempotent;
    }
    mStartsOnLeaving += seen.mTargetLeaving ? 1 : 0;
  }
}

standin_reply targets_service::violations()
{
  const std::lock_guard lock(mMutex);
  std::uint64_t overcommits = 0;
  for (const auto& target : mTargets) {
    overcommits += target->mModel.overcommits();
  }
  return { .mBody = nlohmann::json{ { "overcommits", overcommits },
                                    { "double_runs", mDoubleRuns },
                                    { "repeated_non_idempotent", mRepeatedNonIdempotent },
                                    { "starts_on_leaving", mStartsOnLeaving } }
                      .dump() };
}

standin_reply targets_service::starts()
{
  const std::lock_guard lock(mMutex);
  auto list = nlohmann::json::object();
  for (const auto& [key, history] : mTasks) {
    list[key.mRequest + "/" + std::to_string(key.mIndex)] = history.mStarts;
  }
  return { .mBody = list.dump() };
}

} // namespace endiveusher::standins
