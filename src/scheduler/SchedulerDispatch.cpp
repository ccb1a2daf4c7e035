// Placement of waiting tasks: earliest time to end first, each on the slowest
// endpoint that is fast enough for it.
#include "scheduler/SchedulerState.h"

#include <algorithm>

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
  if (!IsLeading()) {
    return;
  }
  for (auto entry = queue_.begin(); entry != queue_.end();) {
    WorkEntry& work = *entry->second;
    bool waits = false;
    if (work.heldUntil) {
      waits = true;
    } else {
      for (TaskEntry& task : work.Tasks()) {
        if (task.phase == TaskPhase::Waiting) {
          const bool started =
            work.IsStepReady(task.step) && DispatchTask(work, task, aEffects);
          waits = waits || !started;
        }
      }
    }
    entry = waits ? std::next(entry) : queue_.erase(entry);
  }
}

bool SchedulerState::DispatchTask(WorkEntry& aEntry,
                                  TaskEntry& aTask,
                                  SchedulerEffects& aEffects)
{
  const WorkStep& step = aEntry.StepOf(aTask);
  PlacementDemand demand;
  demand.each = step.each;
  demand.work = PredictTask(aEntry, aTask.step);
  demand.now = now_;
  demand.latestEnd = aEntry.LatestEnd();
  std::vector<PlacementCandidate> candidates;
  std::vector<EndpointEntry*> byIndex;
  const auto collect = [&](bool aAvoid) {
    for (auto& [id, endpoint] : endpoints_) {
      if (!step.each.FitsInto(endpoint.free) ||
          !endpoint.IsUsable(now_, policy_.silence) ||
          (aAvoid && id == aTask.avoid) ||
          (!step.requiredLabel.empty() &&
           !endpoint.HasLabel(step.requiredLabel))) {
        continue;
      }
      if (step.mostPerEndpoint > 0) {
        const auto here =
          std::count_if(aEntry.Tasks().begin(),
                        aEntry.Tasks().end(),
                        [&id = id, &aTask](const TaskEntry& aOther) {
                          return aOther.step == aTask.step &&
                                 aOther.IsActive() && aOther.endpoint == id;
                        });
        if (here >= step.mostPerEndpoint) {
          continue;
        }
      }
      PlacementCandidate candidate;
      candidate.id = byIndex.size();
      candidate.free = endpoint.free;
      candidate.speed = endpoint.speed.Value();
      if (!step.preferredRack.empty() &&
          endpoint.listed.rack != step.preferredRack) {
        // Run times away from the data are at least twice as long.
        constexpr double kRemoteFactor = 2;
        candidate.slowdown = kRemoteFactor;
      }
      candidates.push_back(candidate);
      byIndex.push_back(&endpoint);
    }
  };
  collect(true);
  if (candidates.empty() && !aTask.avoid.empty()) {
    collect(false);
  }
  const auto chosen = ChooseEndpoint(candidates, demand);
  if (!chosen) {
    return false;
  }
  aTask.predicted = demand.work;
  aTask.expectedEnd = PredictEnd(demand, candidates[*chosen]);
  Start(aEntry, aTask, *byIndex[*chosen], aEffects);
  return true;
}

void SchedulerState::Start(WorkEntry& aEntry,
                           TaskEntry& aTask,
                           EndpointEntry& aEndpoint,
                           SchedulerEffects& aEffects)
{
  // A usable endpoint has answered, so its clock is known.
  const std::int64_t deadline =
    aEndpoint.lease.DeadlineIn(policy_.startValidity, now_).value_or(0);
  aEndpoint.lease.Extend(deadline);
  aEndpoint.free -= aEntry.StepOf(aTask).each;
  ++aEndpoint.runs;
  aTask.phase = TaskPhase::Starting;
  ++aTask.run;
  aTask.endpoint = aEndpoint.listed.id;
  aTask.sentAt = now_;
  aTask.stopConfirmedAt.reset();
  aTask.deadlineClockMs = deadline;
  aEntry.MarkStarted(now_);

  StartOrder order;
  order.target = TargetOf(aEndpoint);
  order.run = { { aEntry.Spec().id, aTask.step, aTask.index }, aTask.run };
  order.payload = aEntry.Spec().payload;
  order.deadlineClockMs = deadline;
  aEffects.starts.push_back(std::move(order));
}

}
