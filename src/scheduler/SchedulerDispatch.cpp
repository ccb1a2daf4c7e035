// Placement of waiting tasks: earliest deadline first, each on the slowest
// endpoint that is fast enough.
#include "scheduler/SchedulerState.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace hemlockhaven::Detail {

namespace {

//! For the log.
std::string_view Describe(TaskLocality aLocality)
{
  switch (aLocality) {
    case TaskLocality::Near:
      return "near";
    case TaskLocality::Away:
      return "away";
    case TaskLocality::NoPreference:
      break;
  }
  return "no preference";
}

}

void SchedulerState::Enqueue(WorkEntry& aEntry)
{
  queue_[{ aEntry.LatestEnd(), aEntry.Spec().id }] = &aEntry;
}

void SchedulerState::Dequeue(WorkEntry& aEntry)
{
  queue_.erase({ aEntry.LatestEnd(), aEntry.Spec().id });
}

void SchedulerState::Dispatch(SchedulerEffects& aEffects)
{
  // A tick drops the work of lost entry VMs before it dispatches.
  if (!IsLeading() || queue_.empty() || !MayStart()) {
    return;
  }
  CollectUsableEndpoints();
  racks_.emplace(
    now_,
    [this] { return usable_.WithFreeCpu(0); },
    [this](Forecast& aForecast, const EndpointEntry& aEndpoint) {
      std::vector<ResourceRelease> releases;
      AddToForecast(aForecast, aEndpoint, true, releases);
    });
  wantedRacks_.clear();
  // In-time tasks first: late ones would make all tasks behind them late too.
  DispatchQueue(false, aEffects);
  DispatchQueue(true, aEffects);
  racks_.reset();
}

void SchedulerState::CollectUsableEndpoints()
{
  usable_.Update(now_, policy_.responseTimeout);
  fastestSpeed_ = usable_.FastestSpeed();
  MarkWantedRacks();
}

void SchedulerState::MarkWantedRacks()
{
  if (wantedRacks_.empty() && !areRacksMarked_) {
    return;
  }
  areRacksMarked_ = !wantedRacks_.empty();
  for (auto& [id, endpoint] : endpoints_) {
    endpoint.isRackWanted = wantedRacks_.count(endpoint.listed.rack) > 0;
  }
}

void SchedulerState::DispatchQueue(bool aLate, SchedulerEffects& aEffects)
{
  for (auto entry = queue_.begin(); entry != queue_.end();) {
    WorkEntry& work = *entry->second;
    bool hasWaiting = work.heldUntil.has_value();
    // Tasks of a step differ in the endpoint that they avoid only: after one
    // that found no place, the same search for the next would find none.
    const TaskEntry* unplaced = nullptr;
    std::optional<std::pair<std::uint32_t, bool>> lateness; //!< Of one step.
    for (TaskEntry& task : work.Tasks()) {
      if (task.phase != TaskPhase::Waiting || work.heldUntil) {
        continue;
      }
      // Each of them takes another turn at its rack.
      const bool prefersRack =
        !work.PreferredRack(task.step).empty() || work.StepOf(task).sameRack;
      const bool isHopeless = unplaced != nullptr &&
                              unplaced->step == task.step &&
                              unplaced->avoidedEndpoint == task.avoidedEndpoint;
      if (isHopeless ||
          work.StepOf(task).taskResources.cpuMillis > usable_.MaxFreeCpu() ||
          !work.IsStepReady(task.step)) {
        hasWaiting = true;
        continue;
      }
      if (!lateness || lateness->first != task.step) {
        lateness.emplace(task.step, IsLate(work, task));
      }
      const bool started =
        (lateness->second || (aLate && task.isLateNearAndAway)) == aLate &&
        DispatchTask(work, task, aLate, aEffects);
      unplaced = started || prefersRack ? nullptr : &task;
      hasWaiting = hasWaiting || !started;
    }
    entry = hasWaiting ? std::next(entry) : queue_.erase(entry);
  }
}

bool SchedulerState::IsLate(const WorkEntry& aEntry,
                            const TaskEntry& aTask) const
{
  const Duration predicted = PredictTask(aEntry, aTask.step);
  return fastestSpeed_ > 0 &&
         now_ + Duration(static_cast<std::int64_t>(
                  static_cast<double>(predicted.count()) / fastestSpeed_)) >
           aEntry.LatestEnd();
}

PlacementDemand SchedulerState::DemandOf(const WorkEntry& aEntry,
                                         const TaskEntry& aTask) const
{
  PlacementDemand demand;
  demand.taskResources = aEntry.StepOf(aTask).taskResources;
  demand.predictedRunTime = PredictTask(aEntry, aTask.step);
  demand.now = now_;
  demand.latestEnd = aEntry.LatestEnd();
  demand.fastestSpeed = fastestSpeed_;
  demand.margin = queue_.size() > 1 ? kBusyMargin : kIdleMargin;
  return demand;
}

void SchedulerState::CollectCandidates(const WorkEntry& aEntry,
                                       const TaskEntry& aTask,
                                       std::string_view aRack,
                                       TaskCandidates& aNear,
                                       TaskCandidates& aAway)
{
  const WorkStep& step = aEntry.StepOf(aTask);
  const double remoteFactor =
    aRack.empty() && !aEntry.IsSpread(aTask.step) ? 1 : remoteFactor_.Value();
  const auto collect = [&](bool aAvoid) {
    for (EndpointEntry* usable :
         usable_.WithFreeCpu(step.taskResources.cpuMillis)) {
      EndpointEntry& endpoint = *usable;
      const std::string& id = endpoint.listed.id;
      if (!step.taskResources.FitsInto(endpoint.free) ||
          (aAvoid && id == aTask.avoidedEndpoint) ||
          (!step.requiredLabel.empty() &&
           !endpoint.HasLabel(step.requiredLabel))) {
        continue;
      }
      if (step.maxPerEndpoint > 0) {
        const auto activeHere =
          std::count_if(aEntry.Tasks().begin(),
                        aEntry.Tasks().end(),
                        [&id, &aTask](const TaskEntry& aOther) {
                          return aOther.step == aTask.step &&
                                 aOther.IsActive() && aOther.endpoint == id;
                        });
        if (activeHere >= step.maxPerEndpoint) {
          continue;
        }
      }
      const bool isNear = aRack.empty() || endpoint.listed.rack == aRack;
      TaskCandidates& candidates = isNear ? aNear : aAway;
      PlacementCandidate candidate;
      candidate.id = candidates.endpoints.size();
      candidate.free = endpoint.free;
      candidate.speed = endpoint.speed.Value();
      candidate.slowdown = isNear && !aRack.empty() ? 1 : remoteFactor;
      candidate.isRackWanted = endpoint.isRackWanted;
      candidates.list.push_back(candidate);
      candidates.endpoints.push_back(&endpoint);
    }
  };
  collect(true);
  if (aNear.list.empty() && aAway.list.empty() &&
      !aTask.avoidedEndpoint.empty()) {
    collect(false);
  }
}

bool SchedulerState::DispatchTask(WorkEntry& aEntry,
                                  TaskEntry& aTask,
                                  bool aLate,
                                  SchedulerEffects& aEffects)
{
  const WorkStep& step = aEntry.StepOf(aTask);
  if (step.sameRack && step.preferredRack.empty() && step.count > 1) {
    ChooseStepRack(aEntry, aTask);
  }
  const std::string_view rack = aEntry.PreferredRack(aTask.step);
  if (!rack.empty()) {
    return DispatchToRack(aEntry, aTask, rack, aLate, aEffects);
  }
  const PlacementDemand demand = DemandOf(aEntry, aTask);
  TaskCandidates candidates;
  CollectCandidates(aEntry, aTask, rack, candidates, candidates);
  const auto chosen = ChooseEndpoint(candidates.list, demand);
  if (!chosen) {
    return false;
  }
  aTask.locality = aEntry.IsSpread(aTask.step) ? TaskLocality::Away
                                               : TaskLocality::NoPreference;
  StartOn(aEntry, aTask, demand, candidates, *chosen, aEffects);
  return true;
}

void SchedulerState::StartOn(WorkEntry& aEntry,
                             TaskEntry& aTask,
                             const PlacementDemand& aDemand,
                             const TaskCandidates& aCandidates,
                             std::size_t aChosen,
                             SchedulerEffects& aEffects)
{
  const PlacementCandidate& candidate = aCandidates.list[aChosen];
  aTask.slowdown = candidate.slowdown;
  aTask.predicted = Duration(static_cast<std::int64_t>(
    static_cast<double>(aDemand.predictedRunTime.count()) *
    candidate.slowdown));
  aTask.expectedEnd = PredictEnd(aDemand, candidate);
  EndpointEntry& endpoint = *aCandidates.endpoints[aChosen];
  if (racks_) {
    racks_->OnStarted(endpoint, aDemand.taskResources, aTask.expectedEnd);
  }
  Start(aEntry, aTask, endpoint, aEffects);
}

void SchedulerState::Start(WorkEntry& aEntry,
                           TaskEntry& aTask,
                           EndpointEntry& aEndpoint,
                           SchedulerEffects& aEffects)
{
  // A usable endpoint has replied, so its clock is known.
  const std::int64_t deadline =
    aEndpoint.lease.DeadlineIn(policy_.startValidity, now_).value_or(0);
  aEndpoint.lease.Extend(deadline);
  aEndpoint.Occupy(aEntry, aTask);
  // On probation an endpoint gets one run at a time.
  usable_.Refresh(aEndpoint, now_, policy_.responseTimeout);
  // The reply to the start is followed by a poll; without a reply, this is.
  aEndpoint.nextPollAt =
    std::min(aEndpoint.nextPollAt, now_ + policy_.pollRetryDelay);
  aTask.phase = TaskPhase::Starting;
  ++aTask.run;
  aTask.endpoint = aEndpoint.listed.id;
  aTask.startSentAt = now_;
  aTask.stopConfirmedAt.reset();
  aTask.deadlineClockMs = deadline;
  aEntry.MarkStarted(now_);

  placedNear_ += aTask.locality == TaskLocality::Near ? 1 : 0;
  placedAway_ += aTask.locality == TaskLocality::Away ? 1 : 0;
  LogDecision(aEffects,
              "place",
              aEntry.Spec().id,
              &aEndpoint,
              "sent",
              Describe(aTask.locality));
  aEffects.decisions.back()
    .inputs.Add("step", aTask.step)
    .Add("index", aTask.index)
    .Add("run", aTask.run)
    .Add("freeCpuMillis", aEndpoint.free.cpuMillis)
    .Add("submissions", aEntry.Spec().submissions)
    .Add("sinceTickMs", (now_ - lastTickAt_).count() / 1000);

  StartCommand command;
  command.target = TargetOf(aEndpoint);
  command.run = { { aEntry.Spec().id, aTask.step, aTask.index }, aTask.run };
  command.payload = aEntry.Spec().payload;
  command.deadlineClockMs = deadline;
  command.incarnationStartMs = aEndpoint.incarnationStartMs;
  aEffects.starts.push_back(std::move(command));
}

}
