#include "cell_client.h"

#include "endiveusher/protocol/json.h"

#include <thread>
#include <utility>

namespace endiveusher::ctl::internal {

namespace {

/// Attempts at each daemon before the call is abandoned.
constexpr int kMaxRounds = 3;
/// Pause after the first round; it doubles with each further round.
constexpr std::chrono::milliseconds kInitialPause{ 200 };

outcome failedOutcome(answer_class aClass, const absl::Status& aStatus, const std::string& aDaemon)
{
  const bool notRun = aClass == answer_class::not_run;
  return { .mAnswer = { .mClass = aClass,
                        .mBody = call_error{ .mStatus = 503,
                                             .mCode = notRun ? "not_reached" : "no_answer",
                                             .mMessage = std::string(aStatus.message()),
                                             .mStep = notRun ? "connect" : "answer",
                                             .mPeer = aDaemon } },
           .mBody = {} };
}

outcome parseResponse(const absl::StatusOr<edges::client_response>& aResponse,
                      const std::string& aDaemon, body_form aForm)
{
  if (!aResponse.ok()) {
    const bool sent = !absl::IsUnavailable(aResponse.status());
    return failedOutcome(sent ? answer_class::unknown : answer_class::not_run, aResponse.status(),
                         aDaemon);
  }
  if (aForm == body_form::raw && aResponse->mStatus == 200) {
    return { .mAnswer = { .mClass = answer_class::ran, .mBody = dump_result{} },
             .mBody = aResponse->mBody };
  }
  auto parsed = protocol::fromJson<answer>(aResponse->mBody);
  if (!parsed.ok()) {
    return failedOutcome(answer_class::unknown, parsed.status(), aDaemon);
  }
  return { .mAnswer = std::move(*parsed), .mBody = aResponse->mBody };
}

/// Whether neither another daemon nor a later attempt could give a better answer.
bool isFinal(const outcome& aOutcome)
{
  const auto* error = aOutcome.error();
  if (aOutcome.mAnswer.mClass == answer_class::ran || error == nullptr) {
    return true;
  }
  const bool refused =
    error->mStatus >= 400 && error->mStatus < 500 && error->mStatus != 408 && error->mStatus != 429;
  return refused;
}

} // namespace

cell_client::cell_client(cell_settings aSettings) : mSettings(std::move(aSettings)) {}

outcome cell_client::get(const std::string& aPath, body_form aForm)
{
  return perform({ .mPath = aPath, .mTimeout = mSettings.mTimeout }, aForm);
}

outcome cell_client::post(const std::string& aPath, const std::string& aBody,
                          std::chrono::milliseconds aExtraTime)
{
  return perform({ .mMethod = "POST",
                   .mPath = aPath,
                   .mBody = aBody,
                   .mTimeout = mSettings.mTimeout + aExtraTime },
                 body_form::answer);
}

outcome cell_client::perform(edges::client_request aRequest, body_form aForm)
{
  aRequest.mBearer = mSettings.mKey;
  std::optional<outcome> unresolved;
  for (int round = 0; round < kMaxRounds; ++round) {
    if (round > 0) {
      std::this_thread::sleep_for(kInitialPause * (1 << (round - 1)));
    }
    for (std::size_t i = 0; i < mSettings.mDaemons.size(); ++i) {
      const std::size_t index = (mPreferred + i) % mSettings.mDaemons.size();
      aRequest.mAddress = mSettings.mDaemons[index];
      auto found = parseResponse(mClient.perform(aRequest), aRequest.mAddress, aForm);
      if (isFinal(found)) {
        mPreferred = index;
        return found;
      }
      // Once an attempt may have taken effect, a later "not run" for lack of capacity does not undo
      // it.
      if (!unresolved || unresolved->mAnswer.mClass != answer_class::unknown) {
        unresolved = std::move(found);
      }
    }
  }
  return std::move(*unresolved);
}

} // namespace endiveusher::ctl::internal
