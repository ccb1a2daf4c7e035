#include "hemlockhaven/scheduler/Scheduler.h"

#include "scheduler/SchedulerState.h"

#include <utility>

namespace hemlockhaven {

namespace {

//! Runs one call on the state under the scheduler's lock.
template<typename Call>
SchedulerEffects CallLocked(std::mutex& aMutex,
                            Detail::SchedulerState& aState,
                            Call&& aCall)
{
  SchedulerEffects effects;
  const std::lock_guard<std::mutex> lock(aMutex);
  aState.UpdateNow();
  std::forward<Call>(aCall)(aState, effects);
  return effects;
}

using Detail::SchedulerState;

}

Scheduler::Scheduler(const SchedulerPolicy& aPolicy, Clock aClock)
  : state_(std::make_unique<SchedulerState>(aPolicy, std::move(aClock)))
{
}

Scheduler::~Scheduler() = default;

SchedulerEffects Scheduler::StartTerm(std::uint64_t aFencingToken)
{
  return CallLocked(mutex_, *state_, [=](auto& aState, auto& aEffects) {
    aState.StartTerm(aFencingToken, aEffects);
  });
}

SchedulerEffects Scheduler::StepDown(std::string_view aReason)
{
  return CallLocked(mutex_, *state_, [=](auto& aState, auto& aEffects) {
    aState.StepDown(aReason, aEffects);
  });
}

bool Scheduler::IsLeading() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return state_->IsLeading();
}

void Scheduler::SetListPosition(const ListPosition& aPosition,
                                const EndpointsInUse& aListed)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  state_->SetListPosition(aPosition, aListed);
}

EndpointsInUse Scheduler::UsedEndpoints() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return state_->UsedEndpoints();
}

SchedulerEffects Scheduler::SetEndpoints(Span<const ListedEndpoint> aEndpoints)
{
  return CallLocked(mutex_, *state_, [=](auto& aState, auto& aEffects) {
    aState.SetEndpoints(aEndpoints, aEffects);
  });
}

SchedulerEffects Scheduler::SetEvacuatedZones(Span<const std::string> aZones)
{
  return CallLocked(mutex_, *state_, [=](auto& aState, auto& aEffects) {
    aState.SetEvacuatedZones(aZones, aEffects);
  });
}

void Scheduler::SetPart(std::string_view aPart)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  state_->SetPart(aPart);
}

SchedulerEffects Scheduler::Submit(std::string_view aEntryVm, Work aWork)
{
  return CallLocked(mutex_, *state_, [&](auto& aState, auto& aEffects) {
    aState.Submit(aEntryVm, std::move(aWork), aEffects);
  });
}

SchedulerEffects Scheduler::Cancel(std::string_view aEntryVm,
                                   std::string_view aWorkId,
                                   std::string_view aReason)
{
  return CallLocked(mutex_, *state_, [=](auto& aState, auto& aEffects) {
    aState.Cancel(aEntryVm, aWorkId, aReason, aEffects);
  });
}

JobState Scheduler::StateOf(std::string_view aWorkId) const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  state_->UpdateNow();
  return state_->StateOf(std::string(aWorkId));
}

SchedulerEffects Scheduler::CancelJob(std::string_view aWorkId,
                                      JobState& aState)
{
  return CallLocked(mutex_, *state_, [&](auto& aScheduler, auto& aEffects) {
    aState = aScheduler.CancelJob(aWorkId, aEffects);
  });
}

SchedulerEffects Scheduler::OnEntryVmLost(std::string_view aEntryVm)
{
  return CallLocked(mutex_, *state_, [=](auto& aState, auto& aEffects) {
    aState.OnEntryVmLost(aEntryVm, aEffects);
  });
}

SchedulerEffects Scheduler::OnStartReply(const StartCommand& aCommand,
                                         const CommandReply& aReply)
{
  return CallLocked(mutex_, *state_, [&](auto& aState, auto& aEffects) {
    aState.OnStartReply(aCommand, aReply, aEffects);
  });
}

SchedulerEffects Scheduler::OnStopReply(const StopCommand& aCommand,
                                        const CommandReply& aReply)
{
  return CallLocked(mutex_, *state_, [&](auto& aState, auto&) {
    aState.OnStopReply(aCommand, aReply);
  });
}

SchedulerEffects Scheduler::OnPollReply(const PollCommand& aCommand,
                                        const PollReport& aReport)
{
  return CallLocked(mutex_, *state_, [&](auto& aState, auto& aEffects) {
    aState.OnPollReply(aCommand, aReport, aEffects);
  });
}

SchedulerEffects Scheduler::OnPollFailed(const PollCommand& aCommand,
                                         CommandOutcome aOutcome)
{
  return CallLocked(mutex_, *state_, [&](auto& aState, auto& aEffects) {
    aState.OnPollFailed(aCommand, aOutcome, aEffects);
  });
}

void Scheduler::SetEntryVmContacts(Span<const EntryVmContact> aContacts)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  state_->SetEntryVmContacts(aContacts);
}

SchedulerEffects Scheduler::Tick()
{
  return CallLocked(mutex_, *state_, [](auto& aState, auto& aEffects) {
    aState.Tick(aEffects);
  });
}

SchedulerLoad Scheduler::Load() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  state_->UpdateNow();
  return state_->Load();
}

}
