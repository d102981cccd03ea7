#pragma once

#include "endiveusher/scheduler/cell_config.h"
#include "endiveusher/scheduler/job_book.h"
#include "endiveusher/scheduler/owner_port.h"

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace endiveusher::scheduler {

struct owner_options
{
  /// How long what runs on a target goes on without a renewal.
  std::chrono::milliseconds mLease{ 6000 };
  /// How long a former owner that has lost the store may still renew leases.
  std::chrono::milliseconds mRenewalRight{ 5000 };
  /// Epochs, and when this daemon saw them begin.
  std::map<std::uint64_t, time_point> mEpochs{};
  /// Shortest time between two planning passes.
  std::chrono::milliseconds mPlanInterval{ 20 };
};

/// How the owner stands, for metrics.
struct owner_counts
{
  std::size_t mTargets = 0;
  std::size_t mUsableTargets = 0;
  std::size_t mOpenRuns = 0;
  std::size_t mWaitingSteps = 0;
  std::size_t mAdviceCalls = 0;
};

/// Decides for all targets of the cell during one epoch: what starts where, which leases are
/// renewed, what counts as ended. Pure: acts through owner_port, gets the time with each call.
///
/// Usage:
///   owner decisions(book, port, {}, epoch, now);
///   decisions.configure(config, now);
///   decisions.setTarget(entry, now);
///   decisions.tick(now);
class owner
{
public:
  owner(job_book& aBook, owner_port& aPort, owner_options aOptions, std::uint64_t aEpoch,
        time_point aNow);
  ~owner();
  owner(const owner&) = delete;
  owner& operator=(const owner&) = delete;

  void configure(std::shared_ptr<const cell_config> aConfig);
  void setClosedZones(std::set<std::string> aZones);
  void setTarget(const target_entry& aEntry, time_point aNow);
  void removeTarget(std::string_view aId, time_point aNow);
  /// Daemons, this one excluded, that can make calls for advice.
  void setHelpers(std::span<const std::string> aHelpers);

  /// The journal holds a record of another daemon, which the book has applied to aJob.
  void noticed(job& aJob, time_point aNow, wall_time aWall);

  /// Stores a caller's record with the owner's own; owner_port::accepted() tells when. The book has
  /// the effect at once.
  void accept(const journal_record& aRecord, std::uint64_t aToken, time_point aNow,
              wall_time aWall);
  void stored(time_point aNow);
  /// aSent is when the look was sent.
  void looked(const std::string& aTarget, time_point aSent, order_outcome aOutcome,
              const target_report& aReport, time_point aNow);
  void startAnswered(const start_order& aOrder, order_outcome aOutcome, time_point aNow);
  void stopAnswered(const stop_order& aOrder, order_outcome aOutcome, time_point aNow);
  void advised(const advice_answer& aAnswer, time_point aNow);

  /// Sends what is due and plans if something has changed. Returns when to call again at the
  /// latest.
  time_point tick(time_point aNow, wall_time aWall);

  /// Whether the journal holds all that this owner has decided.
  bool allStored() const;
  /// A target has seen a higher epoch: this owner has to give up.
  bool fenced() const;
  owner_counts counts() const;
  /// All that the owner believes, as text.
  std::string dump() const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::scheduler
