#include "soak/soak_workload.h"

#include "soak/soak_cell.h"

namespace endiveusher::standins {

using namespace std::chrono_literals;

namespace {

/// Thousandths of a core; more than any target has.
constexpr std::int64_t kUnplaceableCpuMilli = 1'000'000;

} // namespace

std::vector<set_team> soak_workload::teams()
{
  return { { .mTeam = "alpha", .mShare = 2.0, .mLimit = { .mTasks = 24 } },
           { .mTeam = "beta", .mShare = 1.0, .mLimit = { .mCpuMilli = 60'000 } },
           { .mTeam = "gamma", .mShare = 1.0, .mOpen = true },
           { .mTeam = "delta", .mShare = 0.5, .mLimit = { .mTasks = 8, .mMemoryMb = 32'000 } } };
}

std::size_t soak_workload::randomDaemon()
{
  return mCell->sim().draw(mCell->daemons().size());
}

void soak_workload::begin()
{
  mCell->sim().after(2s, [this] { configure(1); });
  mCell->sim().after(5s, [this] { submitNext(); });
}

void soak_workload::configure(std::uint32_t aTry)
{
  publish_call call{ .mOperatorKey = soak_cell::kOperatorKey,
                     .mOperationId = "first-" + std::to_string(aTry) };
  for (const auto& team : teams()) {
    call.mChanges.emplace_back(team);
    if (!team.mOpen) {
      call.mChanges.emplace_back(
        grant_key{ .mTeam = team.mTeam, .mKeyDigest = soak_cell::digestOf(keyOf(team.mTeam)) });
    }
  }
  mCell->callDaemon(randomDaemon(), call, 5s, [this, aTry](const auto& aAnswer) {
    if (!aAnswer || !std::holds_alternative<publish_result>(aAnswer->mBody)) {
      mCell->sim().after(1s, [this, aTry] { configure(aTry + 1); });
    }
  });
}

void soak_workload::submitNext()
{
  if (mCell->loadEnded()) {
    for (const auto& request : mRequests) {
      if (request->mSubmit.mJob.mKind == job_kind::service) {
        cancel(request);
      }
    }
    return;
  }
  auto next = std::make_shared<request>();
  next->mSubmit = drawJob();
  mRequests.push_back(next);
  mCell->count("requests");
  if (mCell->sim().chance(0.6)) {
    mCell->callDaemon(
      randomDaemon(), ticket_call{ .mCount = 1 }, 3s, [=, this](const auto& aAnswer) {
        const auto* tickets = aAnswer ? std::get_if<tickets_result>(&aAnswer->mBody) : nullptr;
        if (tickets != nullptr && tickets->mTickets.size() == 1) {
          next->mSubmit.mJob.mRequest = tickets->mTickets.front();
          mCell->checker().onRequest(next->mSubmit.mJob);
          submit(next);
        }
      });
  } else {
    next->mSubmit.mJob.mRequest = "plain-" + std::to_string(mNextRequest++);
    mCell->checker().onRequest(next->mSubmit.mJob);
    submit(next);
  }
  const auto gap = duration(static_cast<std::int64_t>(2e6 / mCell->options().mJobsPerSecond));
  mCell->sim().after(mCell->sim().between(0ms, gap), [this] { submitNext(); });
}

submit_call soak_workload::drawJob()
{
  auto& sim = mCell->sim();
  const auto teams = soak_workload::teams();
  const auto& team = teams[sim.draw(teams.size())];
  submit_call call;
  if (!team.mOpen) {
    const auto draw = sim.draw(20);
    call.mKey = draw == 0 ? "no such key" : draw == 1 ? keyOf("alpha") : keyOf(team.mTeam);
  }
  auto& job = call.mJob;
  job.mTeam = team.mTeam;
  const auto kind = sim.draw(10);
  job.mKind = kind == 0 ? job_kind::service : kind < 3 ? job_kind::gang : job_kind::batch;
  job.mTaskCount = 1 + static_cast<std::uint32_t>(sim.draw(4));
  job.mPerTask = { .mSlots = 1,
                   .mCpuMilli = 500 * (1 + static_cast<std::int64_t>(sim.draw(12))),
                   .mMemoryMb = 500 * (1 + static_cast<std::int64_t>(sim.draw(16))) };
  if (sim.chance(0.02)) {
    job.mPerTask.mCpuMilli = kUnplaceableCpuMilli;
  }
  const auto run = sim.between(50ms, 4s).count() / 1000;
  job.mRunTime = std::chrono::milliseconds(sim.chance(0.2) ? run * 10 : run);
  job.mUrgent = sim.chance(0.1);
  job.mStartWithin = job.mUrgent ? 1500ms : 0ms;
  job.mIdempotent = job.mKind == job_kind::service || sim.chance(0.5);
  if (sim.chance(0.1)) {
    job.mZones = { mCell->zones()[sim.draw(mCell->zones().size())] };
  }
  job.mCommand = "body=1";
  if (job.mKind != job_kind::service) {
    job.mCommand += " run=" + std::to_string(run) + "ms";
  }
  if (sim.chance(0.05)) {
    job.mCommand += " exit=1";
  }
  return call;
}

void soak_workload::submit(const std::shared_ptr<request>& aRequest)
{
  auto& sim = mCell->sim();
  auto call = aRequest->mSubmit;
  if (aRequest->mTries++ > 0 && sim.chance(0.05)) {
    call.mJob.mCommand.replace(0, 6, "body=2");
  }
  // With the short timeout callers retry while the first request may still be in flight.
  const duration timeout = sim.chance(0.2) ? 100ms : 4s;
  mCell->callDaemon(randomDaemon(), call, timeout, [=, this](const auto& aAnswer) {
    if (aAnswer) {
      const auto* error = std::get_if<call_error>(&aAnswer->mBody);
      if (const auto* status = std::get_if<job_status>(&aAnswer->mBody)) {
        onAccepted(aRequest, *status);
        return;
      }
      if (aAnswer->mClass == answer_class::not_run && (error == nullptr || error->mStatus != 409)) {
        mCell->count("answered_not_run");
        return;
      }
      mCell->count("answered_unknown");
    } else {
      mCell->count("unanswered");
    }
    if (aRequest->mTries < 6 && !mCell->loadEnded()) {
      mCell->sim().after(mCell->sim().between(10ms, 1500ms), [=, this] { submit(aRequest); });
    }
  });
}

void soak_workload::onAccepted(const std::shared_ptr<request>& aRequest, const job_status& aStatus)
{
  if (aRequest->mAccepted) {
    return;
  }
  aRequest->mAccepted = true;
  aRequest->mDurability = aStatus.mDurability;
  mCell->count("accepted");
  auto& sim = mCell->sim();
  wait(aRequest);
  if (aRequest->mSubmit.mJob.mKind == job_kind::service) {
    sim.after(sim.between(1s, 15s), [=, this] { cancel(aRequest); });
  } else if (sim.chance(0.1)) {
    sim.after(sim.between(10ms, 3s), [=, this] { cancel(aRequest); });
  }
  if (sim.chance(0.1)) {
    // Submits the same request again after it was accepted.
    sim.after(sim.between(10ms, 20s), [=, this] {
      mCell->callDaemon(randomDaemon(), aRequest->mSubmit, 3s, [](const auto&) {});
    });
  }
}

void soak_workload::recordStatus(const std::shared_ptr<request>& aRequest, const answer& aAnswer)
{
  const auto* status = std::get_if<job_status>(&aAnswer.mBody);
  if (status != nullptr && status->mEnded && !aRequest->mEnded) {
    aRequest->mEnded = true;
    mCell->count("ended");
  }
}

void soak_workload::wait(const std::shared_ptr<request>& aRequest)
{
  if (aRequest->mEnded) {
    return;
  }
  const wait_call call{ .mKey = aRequest->mSubmit.mKey,
                        .mRequest = aRequest->mSubmit.mJob.mRequest,
                        .mTimeout = 5s };
  mCell->callDaemon(randomDaemon(), call, 8s, [=, this](const auto& aAnswer) {
    if (aAnswer) {
      recordStatus(aRequest, *aAnswer);
    }
    // The first key of a team may be withdrawn for a while, so waiting continues after errors.
    mCell->sim().after(500ms, [=, this] { wait(aRequest); });
  });
}

void soak_workload::cancel(const std::shared_ptr<request>& aRequest)
{
  if (!aRequest->mAccepted || aRequest->mEnded || aRequest->mCancelled) {
    return;
  }
  const cancel_call call{ .mKey = aRequest->mSubmit.mKey,
                          .mRequest = aRequest->mSubmit.mJob.mRequest };
  mCell->callDaemon(randomDaemon(), call, 4s, [=, this](const auto& aAnswer) {
    if (aAnswer && std::holds_alternative<job_status>(aAnswer->mBody)) {
      aRequest->mCancelled = true;
      recordStatus(aRequest, *aAnswer);
      return;
    }
    mCell->sim().after(1s, [=, this] { cancel(aRequest); });
  });
}

void soak_workload::countUnfinished()
{
  const auto& faults = mCell->options().mFaults;
  const bool planned = faults.size() == 1 && faults.contains(fault::stop);
  for (const auto& request : mRequests) {
    if (!request->mAccepted || request->mEnded) {
      continue;
    }
    const auto& job = request->mSubmit.mJob;
    const auto& id = job.mRequest;
    // Tasks that always fail may be retried for longer than the run, and tasks that fit nowhere
    // wait without limit if they were accepted before any target was known.
    const bool fails =
      job.mCommand.ends_with("exit=1") || job.mPerTask.mCpuMilli == kUnplaceableCpuMilli;
    const bool memory = request->mDurability == durability::memory;
    mCell->count(fails ? "unfinished_failing" : memory ? "unfinished_in_memory" : "unfinished");
    mCell->sim().trace("unfinished " + id + " team " + job.mTeam + " kind " +
                       std::to_string(static_cast<int>(job.mKind)) + " tasks " +
                       std::to_string(job.mTaskCount) + " mcpu " +
                       std::to_string(job.mPerTask.mCpuMilli) + " mb " +
                       std::to_string(job.mPerTask.mMemoryMb) + " zone " +
                       (job.mZones.empty() ? "any " : job.mZones.front() + " ") + job.mCommand);
    if (!fails && (planned || faults.empty())) {
      mCell->checker().reportViolation(
        "M10", id + ": accepted, but not ended although there were only planned stops");
    }
  }
}

} // namespace endiveusher::standins
