#pragma once

// All member definitions of basic_placer, for instantiation with a given guard policy.

#include "placer_answers.h"   // IWYU pragma: export
#include "placer_eviction.h"  // IWYU pragma: export
#include "placer_exchanges.h" // IWYU pragma: export
#include "placer_gangs.h"     // IWYU pragma: export
#include "placer_impl.h"      // IWYU pragma: export
#include "placer_report.h"    // IWYU pragma: export
#include "placer_schedule.h"  // IWYU pragma: export
#include "placer_tasks.h"     // IWYU pragma: export

namespace endiveusher {

template<guard_policy Guards>
basic_placer<Guards>::basic_placer(placer_options aOptions)
  : mImpl(std::make_unique<impl>(std::move(aOptions)))
{
}

template<guard_policy Guards>
basic_placer<Guards>::~basic_placer() = default;
template<guard_policy Guards>
basic_placer<Guards>::basic_placer(basic_placer&&) noexcept = default;
template<guard_policy Guards>
basic_placer<Guards>& basic_placer<Guards>::operator=(basic_placer&&) noexcept = default;

template<guard_policy Guards>
void basic_placer<Guards>::setView(cell_view aView, time_point aNow)
{
  mImpl->setView(std::move(aView), aNow);
}
template<guard_policy Guards>
void basic_placer<Guards>::enqueue(const task_attempt& aTask, duration aStartWithin,
                                   time_point aNow)
{
  mImpl->enqueue(aTask, aStartWithin, aNow);
}
template<guard_policy Guards>
void basic_placer<Guards>::recall(const incarnation_id& aCoordinator,
                                  std::span<const task_key> aKeys, bool aStop, time_point aNow)
{
  mImpl->recall(aCoordinator, aKeys, aStop, aNow);
}
template<guard_policy Guards>
bool basic_placer<Guards>::reserve(const incarnation_id& aCoordinator, std::uint64_t aReservation,
                                   std::span<const task_attempt> aTasks, duration aWaited,
                                   time_point aNow)
{
  return mImpl->reserve(aCoordinator, aReservation, aTasks, aWaited, aNow);
}
template<guard_policy Guards>
bool basic_placer<Guards>::commit(const incarnation_id& aCoordinator, std::uint64_t aReservation,
                                  time_point aNow)
{
  return mImpl->commit(aCoordinator, aReservation, aNow);
}
template<guard_policy Guards>
void basic_placer<Guards>::release(const incarnation_id& aCoordinator, std::uint64_t aReservation)
{
  mImpl->release(aCoordinator, aReservation);
}
template<guard_policy Guards>
void basic_placer<Guards>::handle(const exchange_event& aEvent, time_point aNow)
{
  mImpl->handle(aEvent, aNow);
}
template<guard_policy Guards>
void basic_placer<Guards>::tick(time_point aNow)
{
  mImpl->tick(aNow);
}
template<guard_policy Guards>
std::vector<exchange_effect> basic_placer<Guards>::takeExchanges()
{
  return mImpl->takeExchanges();
}
template<guard_policy Guards>
std::vector<log_effect> basic_placer<Guards>::takeLogs()
{
  return mImpl->takeLogs();
}
template<guard_policy Guards>
std::vector<incarnation_id> basic_placer<Guards>::takeChangedCoordinators()
{
  return mImpl->takeChangedCoordinators();
}
template<guard_policy Guards>
std::vector<incarnation_id> basic_placer<Guards>::coordinators() const
{
  return mImpl->coordinators();
}
template<guard_policy Guards>
task_report basic_placer<Guards>::reportFor(const incarnation_id& aCoordinator) const
{
  return mImpl->reportFor(aCoordinator);
}
template<guard_policy Guards>
void basic_placer<Guards>::acknowledge(const incarnation_id& aCoordinator,
                                       std::span<const placed_task> aTasks, time_point aNow)
{
  mImpl->acknowledge(aCoordinator, aTasks, aNow);
}
template<guard_policy Guards>
placer_summary basic_placer<Guards>::summary() const
{
  return mImpl->summary();
}
template<guard_policy Guards>
limit_vector basic_placer<Guards>::charged(const team_name& aTeam) const
{
  return mImpl->charged(aTeam);
}
template<guard_policy Guards>
std::vector<slice_request> basic_placer<Guards>::shortages(time_point aNow) const
{
  return mImpl->shortages(aNow);
}
template<guard_policy Guards>
limit_vector basic_placer<Guards>::keptFromLending(const incarnation_id& aBorrower,
                                                   const slice_request& aRequest,
                                                   time_point aNow) const
{
  return mImpl->keptFromLending(aBorrower, aRequest, aNow);
}
template<guard_policy Guards>
bool basic_placer<Guards>::reconciled(const incarnation_id&, const std::set<target_id>& aElsewhere,
                                      bool aConfirmedDead, time_point aSince, time_point aNow) const
{
  return mImpl->reconciled(aElsewhere, aConfirmedDead, aSince, aNow);
}
template<guard_policy Guards>
bool basic_placer<Guards>::couldEverFit(const resources& aSize) const
{
  return mImpl->couldEverFit(aSize);
}
template<guard_policy Guards>
void basic_placer<Guards>::beginShutdown(time_point)
{
  mImpl->beginShutdown();
}
template<guard_policy Guards>
bool basic_placer<Guards>::released() const
{
  return mImpl->released();
}
template<guard_policy Guards>
std::string basic_placer<Guards>::dump(time_point aNow) const
{
  return mImpl->dump(aNow);
}

} // namespace endiveusher
