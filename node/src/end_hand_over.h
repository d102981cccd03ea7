#pragma once

#include "endiveusher/edges/http_loop.h"
#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/journal.h"
#include "event_log.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace endiveusher::node {

/// Collects from former owners the ends of runs that targets have reported to them and that may not
/// be in the journal.
///
/// Load pattern: the store turns the owner away, and another daemon becomes owner. The former one
/// has gone on to read ends, and some of their targets crash before the new owner reaches them. It
/// would take these runs for lost and start their tasks again.
class end_hand_over
{
public:
  /// Time that a new owner waits for the answers before it starts to schedule.
  static constexpr std::chrono::milliseconds kMaxWait{ 300 };

  using ends_callback = std::function<void(const std::string& aAddress,
                                           const std::vector<scheduler::run_ended>& aEnds)>;

  /// aOnEnds is called with the address of a former owner, which owns no epoch below that of the
  /// query any more, and the ends that it has answered.
  end_hand_over(edges::http_loop& aLoop, const clock& aClock, event_log& aLog,
                ends_callback aOnEnds);

  /// Asks the daemons at the addresses on behalf of the owner of aEpoch.
  void begin(std::uint64_t aEpoch, const std::vector<std::string>& aFormerOwners);
  /// Ignores further answers.
  void end();
  /// Repeats calls that had no answer.
  void tick(time_point aNow);
  /// Whether an answer is still worth waiting for.
  bool awaited(time_point aNow) const;

private:
  struct query
  {
    std::uint32_t mTries = 0;
    bool mOpen = false;
    time_point mNextTry{};
  };
  void send(const std::string& aAddress, query& aQuery);
  void onReply(const std::string& aAddress, const edges::loop_reply& aReply);

  edges::http_loop& mLoop;
  const clock& mClock;
  event_log& mLog;
  const ends_callback mOnEnds;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  std::uint64_t mEpoch = 0;
  time_point mSince{};
  /// Unanswered queries by address.
  std::map<std::string, query> mQueries;
};

} // namespace endiveusher::node
