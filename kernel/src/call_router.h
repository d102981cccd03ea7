#pragma once

#include "call_answers.h"
#include "core_context.h"

#include <map>
#include <set>
#include <string>

namespace endiveusher::internal {

/// Sends answers to the origins of calls, and forwards calls to the daemon that decides for them.
template<guard_policy Guards>
class call_router
{
public:
  explicit call_router(core_context<Guards>& aContext) : mContext(aContext) {}

  void reply(const call_origin& aOrigin, answer aAnswer)
  {
    if (aOrigin.mPeer.empty()) {
      mContext.mEffects.emplace_back(
        answer_effect{ .mCallId = aOrigin.mCallId, .mAnswer = std::move(aAnswer) });
    } else {
      mContext.send(aOrigin.mPeer,
                    forward_answer{ .mCallId = aOrigin.mCallId, .mAnswer = std::move(aAnswer) });
    }
  }

  /// Class of a refusal if the request may have run.
  static constexpr answer_class maybeRan()
  {
    return Guards::kReportsUnknown ? answer_class::unknown : answer_class::not_run;
  }

  /// Forwards aCall to aDecider; it is answered as unknown after kDeadline plus aExtraTime. A call
  /// that has already been forwarded once is refused.
  void forward(const call_origin& aOrigin, const call& aCall, const incarnation_id& aDecider,
               duration aExtraTime = duration(0))
  {
    if (!aOrigin.mPeer.empty() || aDecider == mContext.self()) {
      reply(aOrigin,
            refusal(maybeRan(), 503, "wrong_daemon", "This daemon does not decide for the request.",
                    "forward", mContext.self()));
      return;
    }
    const auto id = mNextId++;
    mForwarded[id] = { .mOrigin = aOrigin,
                       .mCall = aCall,
                       .mDecider = aDecider,
                       .mDeadline = mContext.mNow + kDeadline + aExtraTime,
                       .mSentAt = mContext.mNow };
    mContext.send(aDecider, forward_call{ .mCallId = id, .mCall = aCall });
  }

  void handle(const incarnation_id& aFrom, const forward_answer& aMessage)
  {
    const auto found = mForwarded.find(aMessage.mCallId);
    if (found != mForwarded.end() && found->second.mDecider == aFrom) {
      reply(found->second.mOrigin, aMessage.mAnswer);
      mForwarded.erase(found);
    }
  }

  void tick()
  {
    for (auto entry = mForwarded.begin(); entry != mForwarded.end();) {
      auto& forwarded = entry->second;
      if (mContext.mNow >= forwarded.mDeadline) {
        reply(forwarded.mOrigin, refusal(maybeRan(), 504, "decider_silent",
                                         "The daemon that decides for the request did not answer.",
                                         "forward", forwarded.mDecider));
        entry = mForwarded.erase(entry);
        continue;
      }
      if (mContext.mNow - forwarded.mSentAt >= kRepeat) {
        forwarded.mSentAt = mContext.mNow;
        mContext.send(forwarded.mDecider,
                      forward_call{ .mCallId = entry->first, .mCall = forwarded.mCall });
      }
      ++entry;
    }
  }

  void dropped(std::uint64_t aCallId)
  {
    std::erase_if(mForwarded, [aCallId](const auto& aEntry) {
      return aEntry.second.mOrigin.mCallId == aCallId;
    });
  }

  std::size_t open() const { return mForwarded.size(); }

private:
  static constexpr duration kDeadline = std::chrono::seconds(2);
  static constexpr duration kRepeat = std::chrono::milliseconds(600);

  struct forwarded_call
  {
    call_origin mOrigin;
    call mCall;
    incarnation_id mDecider;
    time_point mDeadline{};
    time_point mSentAt{};
  };

  core_context<Guards>& mContext;
  std::uint64_t mNextId = 1;
  std::map<std::uint64_t, forwarded_call> mForwarded;
};

} // namespace endiveusher::internal
