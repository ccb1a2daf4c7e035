// Tasks that run faster in one rack: starts near and away, and waits for a near
// endpoint.
#include "scheduler/SchedulerState.h"

#include <algorithm>
#include <tuple>

namespace hemlockhaven::Detail {

namespace {

//! A wait is decided anew this often; the interval of ticks.
constexpr Duration kNearCheckInterval{ 25000 };
//! Earliest start on an endpoint that the forecast has as free, but that cannot
//! be used now, for example because it is on probation.
constexpr Duration kUnusableDelay{ 1000 };
//! Steps with more tasks are spread: no rack of the users' has more slots, and
//! the choice of a rack would take too long.
constexpr std::size_t kMaxTasksInRack = 64;

Duration Scale(Duration aDuration, double aFactor)
{
  return Duration(static_cast<std::int64_t>(
    static_cast<double>(aDuration.count()) * aFactor));
}

}

void SchedulerState::LearnRunTime(const WorkEntry& aEntry,
                                  const TaskEntry& aTask,
                                  EndpointEntry& aEndpoint)
{
  const Duration measured = now_ - aTask.confirmedAt;
  if (aTask.predicted <= Duration(0) || measured <= Duration(0)) {
    return;
  }
  const Duration unitSpeedTime = Scale(measured, aEndpoint.speed.Value());
  if (aTask.locality == TaskLocality::Near) {
    remoteFactor_.LearnNear(aTask.predicted, unitSpeedTime);
  } else if (aTask.locality == TaskLocality::Away) {
    remoteFactor_.LearnAway(Scale(aTask.predicted, 1 / aTask.slowdown),
                            unitSpeedTime);
  }
  runTimes_.Learn(aEntry.Spec().kind,
                  aEntry.StepOf(aTask).estimate,
                  Scale(unitSpeedTime, 1 / aTask.slowdown));
  aEndpoint.speed.Learn(aTask.predicted, measured);
}

void SchedulerState::BeginNearWait(const WorkEntry& aEntry,
                                   TaskEntry& aTask,
                                   const NearWaitInputs& aInputs,
                                   TimePoint aUntil,
                                   SchedulerEffects& aEffects) const
{
  aTask.nearWait.since = now_;
  aTask.nearWait.until = aUntil;
  LogDecision(aEffects, "near-wait", aEntry.Spec().id, nullptr, "begun");
  const auto inMs = [this](TimePoint aTime) {
    return std::to_string((aTime - now_).count() / 1000);
  };
  aEffects.decisions.back().inputs =
    "step=" + std::to_string(aTask.step) +
    " index=" + std::to_string(aTask.index) +
    " nearStartMs=" + inMs(aInputs.near->start) +
    " nearEndMs=" + inMs(aInputs.near->end) +
    " awayEndMs=" + inMs(aInputs.away->end) +
    " latestEndMs=" + inMs(aInputs.latestEnd) + " untilMs=" + inMs(aUntil) +
    " remoteFactor=" + std::to_string(remoteFactor_.Value());
}

void SchedulerState::EndNearWait(const WorkEntry& aEntry,
                                 TaskEntry& aTask,
                                 std::string_view aDetail,
                                 SchedulerEffects& aEffects)
{
  if (!aTask.nearWait.since) {
    return;
  }
  const Duration waited = now_ - *aTask.nearWait.since;
  aTask.nearWait.since.reset();
  ++nearWaits_;
  nearWaitTime_ += waited;
  LogDecision(
    aEffects, "near-wait", aEntry.Spec().id, nullptr, "ended", aDetail);
  aEffects.decisions.back().inputs =
    "step=" + std::to_string(aTask.step) +
    " index=" + std::to_string(aTask.index) +
    " waitedMs=" + std::to_string(waited.count() / 1000);
}

bool SchedulerState::DispatchToRack(WorkEntry& aEntry,
                                    TaskEntry& aTask,
                                    std::string_view aRack,
                                    bool aLate,
                                    SchedulerEffects& aEffects)
{
  const PlacementDemand demand = DemandOf(aEntry, aTask);
  NearWaitState& wait = aTask.nearWait;
  if (wait.since && now_ < wait.checkAt && now_ < wait.until &&
      racks_->HasEndpoints(aRack) &&
      !racks_->HasRoom(aRack, demand.taskResources)) {
    racks_->Place(aRack, demand);
    wantedRacks_.emplace(aRack);
    return false;
  }
  TaskCandidates near;
  TaskCandidates away;
  CollectCandidates(aEntry, aTask, aRack, near, away);
  PlacementDemand awayDemand = demand;
  awayDemand.fastestSpeed /= remoteFactor_.Value();
  const auto chosenNear = ChooseEndpoint(near.list, demand);
  const auto chosenAway = ChooseEndpoint(away.list, awayDemand);
  NearWaitInputs inputs;
  inputs.now = now_;
  inputs.latestEnd = demand.latestEnd;
  inputs.margin = demand.margin;
  if (chosenNear) {
    inputs.near = { now_, PredictEnd(demand, near.list[*chosenNear]) };
  } else if ((inputs.near = racks_->Place(aRack, demand)) &&
             inputs.near->start <= now_) {
    inputs.near->start += kUnusableDelay;
    inputs.near->end += kUnusableDelay;
  }
  if (chosenAway) {
    inputs.away = { now_, PredictEnd(awayDemand, away.list[*chosenAway]) };
  }
  NearWaitDecision decision = DecideNearWait(inputs);
  wait.isTimeOver =
    wait.isTimeOver || (wait.since && now_ >= wait.until && !chosenNear);
  if (decision.action == NearWaitAction::WaitNear && wait.isTimeOver) {
    decision.action = NearWaitAction::StartAway;
  }
  const bool isNear = decision.action == NearWaitAction::StartNear;
  if (decision.action == NearWaitAction::WaitNear) {
    if (!wait.since) {
      BeginNearWait(aEntry, aTask, inputs, decision.until, aEffects);
    }
    wait.checkAt = now_ + kNearCheckInterval;
    wantedRacks_.emplace(aRack);
    return false;
  }
  if (!inputs.near) {
    EndNearWait(aEntry, aTask, "no near endpoint left", aEffects);
  } else if (wait.isTimeOver) {
    EndNearWait(aEntry, aTask, "time is over", aEffects);
  }
  if (decision.action == NearWaitAction::Queue) {
    return false;
  }
  // In the first pass only tasks start that can end in time.
  aTask.isLateNearAndAway =
    (isNear ? inputs.near : inputs.away)->end > demand.latestEnd;
  if (aTask.isLateNearAndAway && !aLate) {
    return false;
  }
  EndNearWait(aEntry,
              aTask,
              isNear ? "near endpoint free" : "away ends earlier",
              aEffects);
  wait.isTimeOver = false;
  aTask.locality = isNear ? TaskLocality::Near : TaskLocality::Away;
  if (isNear) {
    StartOn(aEntry, aTask, demand, near, *chosenNear, aEffects);
    return true;
  }
  if (aEntry.StepOf(aTask).preferredRack.empty()) {
    aEntry.StepRackOf(aTask.step) = { {}, true };
  }
  StartOn(aEntry, aTask, awayDemand, away, *chosenAway, aEffects);
  return true;
}

std::optional<ExpectedRun> SchedulerState::SpreadRun(
  const WorkEntry& aEntry,
  const TaskEntry& aTask,
  const PlacementDemand& aDemand,
  std::size_t aCount)
{
  TaskCandidates candidates;
  CollectCandidates(aEntry, aTask, {}, candidates, candidates);
  std::sort(
    candidates.list.begin(),
    candidates.list.end(),
    [](const PlacementCandidate& aLeft, const PlacementCandidate& aRight) {
      return aLeft.speed > aRight.speed;
    });
  ExpectedRun run{ now_, now_ };
  std::size_t placed = 0;
  for (PlacementCandidate& candidate : candidates.list) {
    candidate.slowdown = remoteFactor_.Value();
    while (placed < aCount && aDemand.taskResources.FitsInto(candidate.free)) {
      candidate.free -= aDemand.taskResources;
      run.end = std::max(run.end, PredictEnd(aDemand, candidate));
      ++placed;
    }
  }
  return placed == aCount ? std::optional<ExpectedRun>(run) : std::nullopt;
}

void SchedulerState::ChooseStepRack(WorkEntry& aEntry, const TaskEntry& aTask)
{
  StepRack& choice = aEntry.StepRackOf(aTask.step);
  if (choice.isSpread ||
      (!choice.rack.empty() && racks_->HasEndpoints(choice.rack))) {
    return;
  }
  const auto& tasks = aEntry.Tasks();
  const auto count = static_cast<std::size_t>(
    std::count_if(tasks.begin(), tasks.end(), [&aTask](const auto& aOther) {
      return aOther.step == aTask.step && aOther.phase == TaskPhase::Waiting;
    }));
  const bool hasStarted = count < aEntry.StepOf(aTask).count;
  const bool hadRack = !choice.rack.empty();
  choice = {};
  if (count > kMaxTasksInRack || (hasStarted && hadRack)) {
    choice.isSpread = true;
    return;
  }
  const PlacementDemand demand = DemandOf(aEntry, aTask);
  std::optional<ExpectedRun> best;
  for (const std::string_view rack : racks_->Racks()) {
    const auto run = racks_->Estimate(rack, demand, count);
    if (!run) {
      continue;
    }
    const auto rank = [&demand](const ExpectedRun& aRun) {
      const bool isLate = aRun.end > demand.latestEnd;
      return std::make_tuple(isLate, isLate ? aRun.end : aRun.start, aRun.end);
    };
    if (!best || rank(*run) < rank(*best)) {
      best = run;
      choice.rack = rack;
    }
  }
  const auto spread = SpreadRun(aEntry, aTask, demand, count);
  if (best && spread &&
      !PrefersNear(*best, *spread, demand.latestEnd, demand.margin)) {
    choice = { {}, true };
  }
}

}
