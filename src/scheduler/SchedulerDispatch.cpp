// Placement of waiting tasks: earliest deadline first, each on the slowest
// endpoint that is fast enough.
#include "scheduler/SchedulerState.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace hemlockhaven::Detail {

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
  // In-time tasks first: late ones would make all tasks behind them late too.
  DispatchQueue(false, aEffects);
  DispatchQueue(true, aEffects);
}

void SchedulerState::CollectUsableEndpoints()
{
  usable_.Update(now_, policy_.responseTimeout);
  fastestSpeed_ = usable_.FastestSpeed();
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
        lateness->second == aLate && DispatchTask(work, task, aEffects);
      unplaced = started ? nullptr : &task;
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

bool SchedulerState::DispatchTask(WorkEntry& aEntry,
                                  TaskEntry& aTask,
                                  SchedulerEffects& aEffects)
{
  const WorkStep& step = aEntry.StepOf(aTask);
  PlacementDemand demand;
  demand.taskResources = step.taskResources;
  demand.predictedRunTime = PredictTask(aEntry, aTask.step);
  demand.now = now_;
  demand.latestEnd = aEntry.LatestEnd();
  demand.fastestSpeed = fastestSpeed_;
  demand.margin = queue_.size() > 1 ? kBusyMargin : kIdleMargin;
  std::vector<PlacementCandidate> candidates;
  std::vector<EndpointEntry*> candidateEndpoints;
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
      PlacementCandidate candidate;
      candidate.id = candidateEndpoints.size();
      candidate.free = endpoint.free;
      candidate.speed = endpoint.speed.Value();
      if (!step.preferredRack.empty() &&
          endpoint.listed.rack != step.preferredRack) {
        // Run times away from the data are at least twice as long.
        constexpr double kRemoteFactor = 2;
        candidate.slowdown = kRemoteFactor;
      }
      candidates.push_back(candidate);
      candidateEndpoints.push_back(&endpoint);
    }
  };
  collect(true);
  if (candidates.empty() && !aTask.avoidedEndpoint.empty()) {
    collect(false);
  }
  const auto chosen = ChooseEndpoint(candidates, demand);
  if (!chosen) {
    return false;
  }
  aTask.predicted = demand.predictedRunTime;
  aTask.expectedEnd = PredictEnd(demand, candidates[*chosen]);
  Start(aEntry, aTask, *candidateEndpoints[*chosen], aEffects);
  return true;
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

  LogDecision(aEffects, "place", aEntry.Spec().id, &aEndpoint, "sent");
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
  aEffects.starts.push_back(std::move(command));
}

}
