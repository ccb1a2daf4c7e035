// Admission control: work is accepted only if all its tasks are expected to end
// in time, after all work accepted before. Under overload, work is then refused
// on arrival instead of after a wait.
#include "scheduler/SchedulerState.h"

#include <algorithm>
#include <utility>

namespace hemlockhaven::Detail {

namespace {

//! An endpoint replies to a new leader's first poll after a few round trips.
constexpr Duration kFirstPollReplyTime{ 20000 };
//! With more endpoints, a forecast simulates a sample of about this many, with
//! the same share of the queue and of the work's tasks. Its cost does not grow
//! with the fleet, and a sample of this size is representative.
constexpr std::size_t kMaxForecastEndpoints = 64;
//! Expected remaining time of an overdue run, as a factor on its predicted
//! time: the mean excess of a log-normal run time with the users' spread of
//! 0.4.
constexpr double kOverdueFactor = 0.3;

}

Duration SchedulerState::PredictTask(const WorkEntry& aEntry,
                                     std::uint32_t aStep) const
{
  return runTimes_.Predict(aEntry.Spec().kind,
                           aEntry.Spec().steps[aStep].estimate);
}

void SchedulerState::SetObjective(WorkEntry& aEntry) const
{
  std::vector<Duration> times;
  for (std::uint32_t step = 0; step < aEntry.Spec().steps.size(); ++step) {
    times.push_back(PredictTask(aEntry, step));
  }
  const Duration chain = aEntry.CriticalPath(times);
  const auto stretched = static_cast<std::int64_t>(
    static_cast<double>(chain.count()) * aEntry.Spec().stretch);
  aEntry.SetObjective(Duration(stretched) + aEntry.Spec().targetLatency -
                      policy_.replyTime);
}

bool SchedulerState::CanEverRun(const WorkEntry& aEntry) const
{
  const auto& steps = aEntry.Spec().steps;
  return std::all_of(steps.begin(), steps.end(), [this](const WorkStep& aStep) {
    return HasEndpointFor(aStep);
  });
}

bool SchedulerState::HasEndpointFor(const WorkStep& aStep) const
{
  return std::any_of(
    endpoints_.begin(), endpoints_.end(), [&aStep](const auto& aPair) {
      const EndpointEntry& endpoint = aPair.second;
      return !endpoint.isEvacuated &&
             aStep.taskResources.FitsInto(endpoint.listed.capacity) &&
             (aStep.requiredLabel.empty() ||
              endpoint.HasLabel(aStep.requiredLabel));
    });
}

std::size_t SchedulerState::SampleStride() const
{
  return 1 + (endpoints_.size() - 1) / kMaxForecastEndpoints;
}

void SchedulerState::AddToForecast(
  Forecast& aForecast,
  const EndpointEntry& aEndpoint,
  bool aIsInSample,
  std::vector<ResourceRelease>& aReleases) const
{
  aReleases.clear();
  for (const auto& [entry, task] : aEndpoint.runs) {
    // An overdue run is expected to continue for some time.
    const auto overdueTime = Duration(static_cast<std::int64_t>(
      static_cast<double>(task->predicted.count()) * kOverdueFactor));
    const TimePoint end =
      task->expectedEnd > now_ ? task->expectedEnd : now_ + overdueTime;
    aReleases.push_back({ end, entry->StepOf(*task).taskResources });
  }
  aForecast.AddEndpoint(aEndpoint.free,
                        aEndpoint.speed.Value(),
                        aReleases,
                        aEndpoint.listed.rack,
                        aIsInSample);
}

Forecast SchedulerState::MakeForecast(std::size_t aStride,
                                      std::string_view aRack) const
{
  Forecast forecast(now_, aStride, aRack);
  const bool takingOver = now_ - termStartedAt_ < policy_.takeoverTime;
  std::vector<ResourceRelease> releases;
  const std::size_t step = aRack.empty() ? aStride : 1;
  for (std::size_t slot = 0; slot < usable_.Count(); slot += step) {
    const EndpointEntry& endpoint = usable_.At(slot);
    const bool isInSample = slot % aStride == 0;
    // A sample of one rack would not be representative.
    if (!isInSample && endpoint.listed.rack != aRack) {
      continue;
    }
    releases.clear();
    if (endpoint.IsUsable(now_, policy_.responseTimeout)) {
      AddToForecast(forecast, endpoint, isInSample, releases);
    } else if (takingOver && endpoint.isListed && !endpoint.isEvacuated &&
               !endpoint.listed.draining) {
      releases.push_back(
        { now_ + kFirstPollReplyTime, endpoint.listed.capacity });
      forecast.AddEndpoint(
        {}, endpoint.speed.Value(), releases, endpoint.listed.rack, isInSample);
    }
  }
  return forecast;
}

RecentRefusals::Entry SchedulerState::RefusalOf(const WorkEntry& aEntry) const
{
  return { policy_.sharesRoom ? std::string_view(aEntry.Spec().kind)
                              : std::string_view(),
           aEntry.LatestEnd() - now_ - PredictTask(aEntry, 0),
           TotalCpuMillis(aEntry) };
}

bool SchedulerState::ResemblesLastRefusal(const WorkEntry& aEntry) const
{
  return refusals_.Resembles(RefusalOf(aEntry), now_) &&
         !(policy_.sharesRoom && shares_.IsSizeBehind(ClaimOf(aEntry)));
}

std::int64_t SchedulerState::TotalCpuMillis(const WorkEntry& aEntry) const
{
  std::int64_t size = 0;
  for (const WorkStep& step : aEntry.Spec().steps) {
    size += step.count * step.taskResources.cpuMillis;
  }
  return size;
}

void SchedulerState::RememberRefusal(const WorkEntry& aEntry)
{
  refusals_.Record(RefusalOf(aEntry), now_);
}

RoomClaim SchedulerState::ClaimOf(const WorkEntry& aEntry) const
{
  RoomClaim claim;
  claim.group = aEntry.Spec().kind;
  claim.priority = aEntry.Spec().priority;
  for (std::uint32_t i = 0; i < aEntry.Spec().steps.size(); ++i) {
    const WorkStep& step = aEntry.Spec().steps[i];
    claim.amount += static_cast<double>(step.count) *
                    static_cast<double>(step.taskResources.cpuMillis) *
                    static_cast<double>(PredictTask(aEntry, i).count());
  }
  return claim;
}

Duration SchedulerState::ReserveFor(const WorkEntry& aEntry) const
{
  if (!policy_.sharesRoom) {
    return Duration(0);
  }
  const double room = shares_.RoomToLeave(ClaimOf(aEntry), now_);
  const Duration slack = aEntry.LatestEnd() - now_ - PredictTask(aEntry, 0);
  return std::max(
    Duration(0),
    Duration(static_cast<std::int64_t>(static_cast<double>(slack.count()) *
                                       policy_.reservedSlack * room)));
}

bool SchedulerState::CanDisplace(const WorkEntry& aQueued,
                                 const WorkEntry& aNew) const
{
  if (aQueued.HasStarted() || aQueued.heldUntil ||
      aQueued.Spec().submissions > 0) {
    return false;
  }
  return policy_.givesWay ? policy_.givesWay(ClaimOf(aQueued), ClaimOf(aNew))
                          : aQueued.Spec().priority > aNew.Spec().priority &&
                              !shares_.IsSizeBehind(ClaimOf(aQueued));
}

std::optional<TimePoint> SchedulerState::PlaceWaitingTasks(
  Forecast& aForecast,
  const WorkEntry& aEntry,
  std::size_t aStride) const
{
  const TimePoint earliestStart =
    std::max(now_, aEntry.heldUntil.value_or(now_));
  TimePoint last = earliestStart;
  PlacementDemand demand;
  demand.latestEnd = aEntry.LatestEnd();
  demand.remoteFactor = remoteFactor_.Value();
  std::size_t number = 0;
  for (const TaskEntry& task : aEntry.Tasks()) {
    if (task.phase != TaskPhase::Waiting) {
      if (task.IsActive()) {
        last = std::max(last, task.expectedEnd);
      }
      continue;
    }
    // A rack that is not known completely is taken for one of even load.
    const std::string_view rack = aEntry.PreferredRack(task.step);
    demand.preferredRack =
      aForecast.IsExactFor(rack) ? rack : std::string_view();
    if (demand.preferredRack.empty() && number++ % aStride != 0) {
      continue;
    }
    // Dependent steps start when all tasks placed so far have ended.
    demand.now = aEntry.StepOf(task).after.empty() ? earliestStart : last;
    demand.taskResources = aEntry.StepOf(task).taskResources;
    demand.predictedRunTime = PredictTask(aEntry, task.step);
    if (aEntry.IsSpread(task.step)) {
      demand.predictedRunTime = Duration(static_cast<std::int64_t>(
        static_cast<double>(demand.predictedRunTime.count()) *
        demand.remoteFactor));
    }
    const auto end = aForecast.Place(demand);
    if (!end) {
      return std::nullopt;
    }
    last = std::max(last, *end);
  }
  return last;
}

SchedulerState::AdmissionResult SchedulerState::EvaluateAdmission(
  const WorkEntry& aEntry,
  const Displaced& aDisplaced,
  WorkEntry** aCandidate) const
{
  const std::size_t stride = SampleStride();
  const Duration reserve = ReserveFor(aEntry);
  Forecast forecast = MakeForecast(stride, aEntry.FirstPreferredRack());
  std::size_t number = 0;
  TimePoint backlogEnd = now_;
  bool isChecked = false;
  AdmissionResult verdict;
  // The queue is ordered by latest end: the work is placed at its turn, and
  // accepted work after it must not become late.
  const auto checkOwnEnd = [&] {
    isChecked = true;
    const auto end = PlaceWaitingTasks(forecast, aEntry, stride);
    if (!end) {
      verdict.reason = "no endpoint can run it now";
      verdict.retryAfter = policy_.minRetryAfter;
      return false;
    }
    // Work at the head of the queue starts next, so it needs no margin.
    const Duration margin = number > 0 ? margin_.Value(now_) : Duration(0);
    if (*end + margin > aEntry.LatestEnd()) {
      verdict.reason = "would end too late";
      verdict.retryAfter = *end + margin - aEntry.LatestEnd();
      return false;
    }
    if (number > 0 && *end + margin + reserve > aEntry.LatestEnd()) {
      verdict.reason = "leaves no room for groups under their share";
      verdict.retryAfter = *end + margin + reserve - aEntry.LatestEnd();
      return false;
    }
    return true;
  };
  const auto placeQueued = [&](WorkEntry& aQueued) {
    if (aCandidate != nullptr && CanDisplace(aQueued, aEntry)) {
      // The last one before the work that would be late has used the room that
      // is missing.
      *aCandidate = &aQueued;
    }
    const auto end = PlaceWaitingTasks(forecast, aQueued, 1);
    if (!end) {
      return true;
    }
    backlogEnd = std::max(backlogEnd, *end);
    const TimePoint start = std::max(now_, aQueued.heldUntil.value_or(now_));
    if (isChecked && *end > aQueued.LatestEnd() &&
        aQueued.LatestEnd() > start + PredictTask(aQueued, 0)) {
      verdict.reason = "would make accepted work late";
      verdict.retryAfter = backlogEnd - now_;
      return false;
    }
    return true;
  };
  // Held work starts later than all other work, whatever its latest end.
  std::vector<WorkEntry*> held;
  for (const auto& [key, queued] : queue_) {
    if (queued->heldUntil) {
      held.push_back(queued);
      continue;
    }
    if (!aDisplaced.empty() &&
        std::find(aDisplaced.begin(), aDisplaced.end(), queued) !=
          aDisplaced.end()) {
      continue;
    }
    if (!isChecked && aEntry.LatestEnd() < key.first && !checkOwnEnd()) {
      return verdict;
    }
    const bool isInSample = number++ % stride == 0;
    const std::string_view rack = queued->FirstPreferredRack();
    if ((isInSample || (!rack.empty() && forecast.IsExactFor(rack))) &&
        !placeQueued(*queued)) {
      return verdict;
    }
  }
  if (!isChecked && !checkOwnEnd()) {
    return verdict;
  }
  for (std::size_t i = 0; i < held.size(); i += stride) {
    if (!placeQueued(*held[i])) {
      return verdict;
    }
  }
  verdict.accepted = true;
  return verdict;
}

DecisionInputs SchedulerState::DescribeInputs(const WorkEntry& aEntry) const
{
  const auto milliseconds = [](Duration aDuration) {
    return aDuration.count() / 1000;
  };
  DecisionInputs inputs;
  inputs.Add("tasks", static_cast<std::int64_t>(aEntry.Tasks().size()))
    .Add("predictedMs", milliseconds(PredictTask(aEntry, 0)))
    .Add("allowedMs", milliseconds(aEntry.LatestEnd() - now_))
    .Add("ageMs", milliseconds(now_ - aEntry.SentAt()))
    .Add("queued", static_cast<std::int64_t>(queue_.size()))
    .Add("doubtMs", milliseconds(margin_.Value(now_)))
    .Add("submissions", aEntry.Spec().submissions);
  return inputs;
}

void SchedulerState::HoldWork(WorkEntry& aEntry, SchedulerEffects& aEffects)
{
  aEntry.heldUntil = now_ + policy_.takeoverHoldTime;
  const EndpointsInUse& priorEndpoints = aEntry.Spec().priorEndpoints;
  if (!KnowsEndpoints(priorEndpoints)) {
    LogDecision(aEffects,
                "hold",
                aEntry.Spec().id,
                nullptr,
                "begun",
                "an earlier leader used endpoints that are not known");
    aEffects.decisions.back().inputs =
      "readFrom=" + std::to_string(listPosition_.readFrom) +
      " forgotUpTo=" + std::to_string(erasedUpTo_) +
      " readUpTo=" + std::to_string(listPosition_.readUpTo) +
      " leftFrom=" + std::to_string(priorEndpoints.leftFrom) +
      " listedBy=" + std::to_string(priorEndpoints.listedBy);
  }
  isNewTermWanted_ = true;
  RequestNewTerm(aEffects);
}

SchedulerState::AdmissionResult SchedulerState::DecideAdmission(
  const WorkEntry& aEntry,
  Displaced& aDisplaced)
{
  // Each further forecast costs as much as the first.
  constexpr std::size_t kMaxDisplaced = 2;
  const RoomClaim claim = ClaimOf(aEntry);
  const bool mayDisplace =
    policy_.sharesRoom && ReserveFor(aEntry) == Duration(0) &&
    (policy_.givesWay || shares_.MayDisplace(claim, now_));
  WorkEntry* candidate = nullptr;
  AdmissionResult verdict =
    EvaluateAdmission(aEntry, aDisplaced, mayDisplace ? &candidate : nullptr);
  while (!verdict.accepted && candidate != nullptr &&
         aDisplaced.size() < kMaxDisplaced) {
    aDisplaced.push_back(candidate);
    candidate = nullptr;
    verdict = EvaluateAdmission(aEntry, aDisplaced, &candidate);
  }
  if (!verdict.accepted) {
    aDisplaced.clear();
  }
  return verdict;
}

void SchedulerState::WithdrawClaim(const WorkEntry& aEntry)
{
  if (policy_.sharesRoom && !aEntry.HasStarted()) {
    shares_.RecordWithdrawn(ClaimOf(aEntry), aEntry.ArrivedAt(), now_);
  }
}

void SchedulerState::Displace(WorkEntry& aEntry, SchedulerEffects& aEffects)
{
  constexpr const char* kReason = "gives way to more urgent work";
  WithdrawClaim(aEntry);
  LogDecision(
    aEffects, "admit", aEntry.Spec().id, nullptr, "displaced", kReason);
  aEffects.decisions.back().inputs = DescribeInputs(aEntry);
  FinishWork(aEntry,
             WorkOutcome::Refused,
             kReason,
             DrawRetryAfter(policy_.minRetryAfter),
             aEffects);
}

Duration SchedulerState::DrawRetryAfter(Duration aExpected)
{
  const Duration expected = std::max(aExpected, policy_.minRetryAfter);
  // Adds jitter of up to the same time, to spread the retries; with shares, of
  // the time that serving all refused callers takes if that is longer.
  const Duration spread = policy_.sharesRoom
                            ? std::max(expected, shares_.ReturnTime(now_))
                            : expected;
  const double ratio =
    static_cast<double>(spread.count()) / static_cast<double>(expected.count());
  return Duration(static_cast<std::int64_t>(
    static_cast<double>(expected.count()) * (1 + ratio * dice_.NextShare())));
}

void SchedulerState::Admit(std::string_view aEntryVm,
                           Work aWork,
                           SchedulerEffects& aEffects)
{
  auto newEntry =
    std::make_unique<WorkEntry>(std::string(aEntryVm), std::move(aWork), now_);
  WorkEntry& entry = *newEntry;
  SetObjective(entry);
  AdmissionResult verdict;
  Displaced displaced;
  const bool isServable = CanEverRun(entry);
  const bool isAccounted = policy_.sharesRoom && isServable;
  const RoomClaim claim = isAccounted ? ClaimOf(entry) : RoomClaim();
  if (isAccounted) {
    shares_.RecordAsked(claim, now_);
  }
  if (!isServable) {
    verdict.reason =
      endpoints_.empty() ? "no endpoints are known" : "no suitable endpoint";
    verdict.retryAfter = policy_.minRetryAfter;
  } else if (entry.Spec().submissions > 0) {
    // It was accepted before, and some of its tasks may have run.
    verdict.accepted = true;
  } else if (ResemblesLastRefusal(entry)) {
    verdict.reason = "like work that was refused just now";
    verdict.retryAfter = policy_.minRetryAfter;
  } else {
    verdict = DecideAdmission(entry, displaced);
    if (!verdict.accepted) {
      RememberRefusal(entry);
    }
  }
  if (!verdict.accepted) {
    margin_.RecordImmediateRefusal(now_);
    const Duration wait = DrawRetryAfter(verdict.retryAfter);
    if (isAccounted) {
      shares_.RecordRefused(claim, now_);
    }
    LogDecision(
      aEffects, "admit", entry.Spec().id, nullptr, "refused", verdict.reason);
    aEffects.decisions.back().inputs = DescribeInputs(entry);
    SendAnswer(entry, WorkOutcome::Refused, verdict.reason, wait, aEffects);
    return;
  }
  for (WorkEntry* other : displaced) {
    Displace(*other, aEffects);
  }
  if (isAccounted) {
    shares_.RecordGiven(claim, now_);
  }
  LogDecision(aEffects, "admit", entry.Spec().id, nullptr, "accepted");
  aEffects.decisions.back().inputs = DescribeInputs(entry);
  works_.emplace(entry.Spec().id, std::move(newEntry));
  if (entry.Spec().submissions > 0) {
    HoldWork(entry, aEffects);
  }
  AdoptOrphanRuns(entry, aEffects);
  if (entry.IsDone()) {
    FinishWork(
      entry, WorkOutcome::Completed, "ended before", Duration(0), aEffects);
    return;
  }
  Enqueue(entry);
  Dispatch(aEffects);
}

}
