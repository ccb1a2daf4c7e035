#include "dispatch/DispatcherShard.h"

#include "hemlockhaven/admission/WaitEstimator.h"
#include "hemlockhaven/metrics/Counters.h"

#include <algorithm>
#include <utility>

namespace hemlockhaven::Detail {

namespace {

// An attempt id is a sequence number, the number of its record and the
// number of its shard.
constexpr unsigned kShardBits = 6;
constexpr unsigned kRecordBits = 20;
constexpr std::size_t kMaxRecords = std::size_t{ 1 } << kRecordBits;

// Bounds the time for which one decision holds the lock.
constexpr std::size_t kMostSteps = 256;

// A task that was handed on this often stays until the next tick, so that
// shards do not pass a waiting task to and fro.
constexpr std::uint32_t kMostMoves = 3;

std::size_t RecordOf(AttemptId aId)
{
  return (aId >> kShardBits) % kMaxRecords;
}

std::uint64_t Bit(std::size_t aShard)
{
  return std::uint64_t{ 1 } << aShard;
}

}

DispatcherShard::DispatcherShard(std::size_t aNumber,
                                 const Dispatcher::Hooks& aHooks,
                                 const DispatcherLimits& aLimits,
                                 QueueTotals& aTotals)
  : number_(aNumber)
  , hooks_(aHooks)
  , limits_(aLimits)
  , totals_(aTotals)
  , dice_(aLimits.seed * kMaxShards + aNumber)
  , fleet_(dice_.Next(), aHooks.guard)
{
}

bool DispatcherShard::HasEligible(const JobSpec& aSpec)
{
  const EligibilityId id = fleet_.FindEligibility(aSpec.selector, aSpec.needs);
  return fleet_.EligibleEndpoints(id).Count() > 0;
}

std::string DispatcherShard::ExplainMismatch(const JobSpec& aSpec)
{
  return fleet_.ExplainMismatch(
    fleet_.FindEligibility(aSpec.selector, aSpec.needs));
}

Result<bool> DispatcherShard::Admit(const std::shared_ptr<TaskGroup>& aGroup,
                                    bool aIsAnyTaken,
                                    TimePoint aNow)
{
  const JobSpec& spec = aGroup->spec;
  QueuedTasks tasks;
  tasks.eligibility = fleet_.FindEligibility(spec.selector, spec.needs);
  if (!aIsAnyTaken &&
      fleet_.EligibleEndpoints(tasks.eligibility).Count() == 0) {
    return false;
  }
  const QueuePosition position = PositionOf(*aGroup);
  if (aGroup->mustStartNow &&
      (queue_.TaskCount() > 0 || !HasFreeFor(tasks.eligibility))) {
    return Error::NotRun(
      "admit", Reason::PeerRefused, "no free slot for a peer's task");
  }
  KindAccount& kind = queue_.Account(position.caller, position.kind);
  BOOST_OUTCOME_TRY(Check(*aGroup, kind.Caller(), aNow));
  tasks.group = aGroup;
  tasks.end = static_cast<std::uint32_t>(spec.payloads.size());
  Push(std::move(tasks), position, kind);
  return true;
}

Result<void> DispatcherShard::Check(const TaskGroup& aGroup,
                                    const CallerAccount& aCaller,
                                    TimePoint aNow)
{
  if (aCaller.Queued() == 0 && aGroup.deadline > aNow) {
    return outcome::success();
  }
  const Duration wait = WaitEstimator::Wait(
    aCaller.QueuedSlotTime(),
    fleet_.OpenSlots(),
    aCaller.Weight(),
    queue_.ActiveWeight() + (aCaller.Queued() == 0 ? aCaller.Weight() : 0));
  const std::size_t bound =
    std::max<std::size_t>(limits_.queuedTasks / limits_.shards, 1);
  const std::size_t left = bound - std::min(bound, queue_.TaskCount());
  const auto share = static_cast<std::size_t>(
    static_cast<double>(bound) * aCaller.Weight() / queue_.KnownWeight());
  // Beyond its share a caller may take up to what it leaves free, so that a
  // surge never fills the queue. One job of a caller with nothing queued is
  // always taken.
  if (aCaller.Queued() > 0 &&
      aCaller.Queued() + aGroup.spec.payloads.size() > std::max(share, left)) {
    return Error::NotRun("admit",
                         Reason::QueueFull,
                         "the caller's share of the queue is full",
                         WaitEstimator::RetryAfter(wait, dice_));
  }
  if (wait > aGroup.deadline - aNow) {
    return Error::NotRun("admit",
                         Reason::DeadlineUnreachable,
                         "the estimated wait exceeds the deadline",
                         WaitEstimator::RetryAfter(wait, dice_));
  }
  return outcome::success();
}

void DispatcherShard::Enqueue(QueuedTasks&& aTasks)
{
  const TaskGroup& group = *aTasks.group;
  const QueuePosition position = PositionOf(group);
  aTasks.eligibility =
    fleet_.FindEligibility(group.spec.selector, group.spec.needs);
  Push(std::move(aTasks),
       position,
       queue_.Account(position.caller, position.kind));
}

void DispatcherShard::Push(QueuedTasks&& aTasks,
                           const QueuePosition& aPosition,
                           KindAccount& aKind)
{
  const JobSpec& spec = aTasks.group->spec;
  const KindAccount& learned = hooks_.policy.order ? LearnedKind(spec) : aKind;
  bytes_ += BytesOf(aTasks);
  fleet_.Pin(aTasks.eligibility);
  queue_.Push(aKind,
              aPosition,
              std::move(aTasks),
              SpeedModel::Expected(learned.work, spec.declaredTime));
}

bool DispatcherShard::Place(TimePoint aNow,
                            bool aIsContinued,
                            DispatcherEffects& aTo)
{
  fleet_.EndBackOffs(aNow);
  if (!aIsContinued) {
    queue_.BeginRound();
    isStarved_ = false;
  }
  for (std::size_t step = 0; step < kMostSteps; ++step) {
    if (fleet_.FreeEndpoints().Count() == 0) {
      isStarved_ = queue_.TaskCount() > 0;
      return false;
    }
    const QueuedTasks* head = queue_.Peek();
    if (head == nullptr) {
      return false;
    }
    const TaskGroup& group = *head->group;
    if (IsOver(group, aNow)) {
      Drop();
      continue;
    }
    const KindAccount& kind = queue_.PeekedKind();
    if (kind.losses.IsLimited() && kind.running > 0) {
      queue_.PassOverKind();
      continue;
    }
    const PlacementRequest request{ head->eligibility,
                                    group.spec.idempotent,
                                    queue_.IsIdempotentQueued(),
                                    queue_.TaskCount() };
    const auto chosen = hooks_.policy.place
                          ? hooks_.policy.place(fleet_, request, dice_)
                          : fleet_.Choose(request);
    if (!chosen || !fleet_.Start(*chosen)) {
      isStarved_ = isStarved_ || !HasFreeFor(head->eligibility);
      queue_.PassOver();
      continue;
    }
    Start(*chosen, aNow, aTo);
  }
  return true;
}

void DispatcherShard::EndDropped(std::size_t aMost, DispatcherEffects& aTo)
{
  for (; aMost > 0 && !dropped_.empty(); --aMost) {
    QueuedTasks& tasks = dropped_.front();
    const TaskGroup& group = *tasks.group;
    TaskOutcome outcome;
    outcome.attempts = tasks.history.attempts;
    outcome.endpoint = tasks.history.lostEndpoint;
    outcome.error.step = "queue";
    outcome.error.ran = ReportedRan(tasks.history);
    outcome.error.reason = group.stopReason;
    outcome.error.detail = "the submission was stopped";
    if (outcome.error.reason == Reason::None) {
      outcome.error.reason = Reason::DeadlinePassed;
      outcome.error.detail = "the deadline passed before it could start";
    }
    hooks_.counters->Refused(outcome.error.reason);
    bytes_ -= QueuedBytes(group.spec, tasks.next);
    --droppedTasks_;
    aTo.end.push_back({ tasks.group, tasks.next, std::move(outcome) });
    if (++tasks.next == tasks.end) {
      dropped_.pop_front();
    }
  }
}

bool DispatcherShard::Finish(AttemptId aId,
                             AttemptResult&& aResult,
                             TimePoint aNow,
                             DispatcherEffects& aTo)
{
  const std::size_t record = RecordOf(aId);
  if (record >= records_.size() || records_[record].id != aId ||
      !fleet_.IsUsed(records_[record].endpoint)) {
    return false;
  }
  Running running;
  if (!IsGuardOn(hooks_.guard, Guard::LateAnswerIsDropped)) {
    running = records_[record];
  } else {
    running = std::move(records_[record]);
    records_[record].id = 0;
    unusedRecords_.push_back(static_cast<std::uint32_t>(record));
  }
  running_ -= running_ > 0 ? 1 : 0;
  const EndpointDescription& endpoint =
    fleet_.At(running.endpoint).Description();
  TaskOutcome outcome;
  outcome.endpoint = endpoint.id;
  outcome.zone = endpoint.zone;
  EndOnEndpoint(running, aResult, aNow);
  if (IsSentAgain(running, aResult, aNow)) {
    hooks_.counters->Retried(aResult.reason);
    Enqueue(std::move(running.task));
    return true;
  }
  outcome.succeeded = aResult.end == AttemptEnd::Succeeded;
  outcome.body = std::move(aResult.body);
  outcome.startedAt = running.startedAt;
  outcome.waited = running.startedAt - running.task.group->admittedAt;
  outcome.elapsed = aNow - running.startedAt;
  outcome.attempts = running.task.history.attempts;
  if (!outcome.succeeded) {
    outcome.error = { "attempt",      outcome.endpoint,
                      aResult.reason, ReportedRan(running.task.history),
                      Duration{ 0 },  std::move(aResult.detail) };
  }
  aTo.end.push_back(
    { std::move(running.task.group), running.task.next, std::move(outcome) });
  return true;
}

void DispatcherShard::SetEndpoints(
  Span<const EndpointDescription* const> aEndpoints)
{
  fleet_.Set(aEndpoints);
}

std::vector<QueuedTasks> DispatcherShard::TakeFor(std::size_t aShard,
                                                  std::uint64_t aVersion,
                                                  std::size_t aMost,
                                                  bool aAnyMoves)
{
  std::vector<QueuedTasks> taken;
  queue_.BeginRound();
  for (std::size_t step = 0; step < kMostSteps && taken.size() < aMost;
       ++step) {
    const QueuedTasks* head = queue_.Peek();
    if (head == nullptr) {
      break;
    }
    const bool isBarred =
      head->version == aVersion && (head->barred & Bit(aShard)) != 0;
    // With a free endpoint here it waits for a faster one.
    if (isBarred || HasFreeFor(head->eligibility)) {
      queue_.PassOver();
    } else if (queue_.PeekedKind().losses.IsLimited() ||
               (head->moves >= kMostMoves && !aAnyMoves)) {
      queue_.PassOverKind();
    } else {
      taken.push_back(PopTask());
      ++taken.back().moves;
    }
  }
  return taken;
}

std::vector<QueuedTasks> DispatcherShard::TakeStranded(std::size_t aMost)
{
  std::vector<QueuedTasks> taken;
  queue_.BeginRound();
  while (taken.size() < aMost) {
    const QueuedTasks* head = queue_.Peek();
    if (head == nullptr) {
      break;
    }
    if (fleet_.EligibleEndpoints(head->eligibility).Count() > 0) {
      queue_.PassOver();
      continue;
    }
    fleet_.Unpin(head->eligibility);
    taken.push_back(queue_.PopEntry());
    bytes_ -= BytesOf(taken.back());
  }
  return taken;
}

std::vector<ForwardedTask> DispatcherShard::TakeForPeer(std::size_t aMost)
{
  std::vector<ForwardedTask> taken;
  const TimePoint now = hooks_.clock();
  queue_.BeginRound();
  for (std::size_t step = 0; step < kMostSteps && taken.size() < aMost;
       ++step) {
    const QueuedTasks* head = queue_.Peek();
    if (head == nullptr) {
      break;
    }
    if (IsOver(*head->group, now)) {
      Drop();
    } else if (head->history.attempts > 0) {
      // A peer would not know what the earlier attempts came to.
      queue_.PassOverKind();
    } else {
      QueuedTasks task = PopTask();
      taken.push_back({ std::move(task.group), task.next });
    }
  }
  return taken;
}

void DispatcherShard::TickFleet(TimePoint aNow)
{
  hooks_.counters->Count(Event::EndpointReadmitted, fleet_.Tick(aNow));
}

bool DispatcherShard::Sweep(TimePoint aNow, std::size_t aMost)
{
  std::vector<QueuedTasks> removed;
  const bool isPassOver =
    queue_.Sweep(aNow,
                 IsGuardOn(hooks_.guard, Guard::StoppedGroupStartsNothing),
                 aMost,
                 removed);
  for (QueuedTasks& tasks : removed) {
    fleet_.Unpin(tasks.eligibility);
    AddDropped(std::move(tasks));
  }
  return isPassOver;
}

void DispatcherShard::AddEndpointStatus(std::vector<EndpointStatus>& aTo) const
{
  for (EndpointIndex index = 0; index < fleet_.IndexEnd(); ++index) {
    if (!fleet_.IsUsed(index)) {
      continue;
    }
    const Endpoint& endpoint = fleet_.At(index);
    const EndpointHealth& health = fleet_.HealthOf(index);
    EndpointStatus status;
    status.description = endpoint.Description();
    status.running = endpoint.Running();
    status.allowed =
      endpoint.IsOpen() ? health.AllowedSlots(status.description.slots) : 0;
    status.ejected = health.IsEjected();
    status.slowness = fleet_.SlownessOf(index);
    aTo.push_back(std::move(status));
  }
}

void DispatcherShard::UpdateHints()
{
  const std::size_t free = fleet_.FreeEndpoints().Count();
  // Written only on a change, since other shards' threads read them.
  if (freeEndpoints_.load(std::memory_order_relaxed) != free) {
    freeEndpoints_.store(free, std::memory_order_relaxed);
  }
  if (hasStarved_.load(std::memory_order_relaxed) != isStarved_) {
    hasStarved_.store(isStarved_, std::memory_order_relaxed);
  }
  // A task that is placed at once leaves the totals as they were.
  const std::size_t tasks = queue_.TaskCount() + droppedTasks_;
  if (tasks != publishedTasks_ || bytes_ != publishedBytes_) {
    totals_.Add(tasks - publishedTasks_, bytes_ - publishedBytes_);
    publishedTasks_ = tasks;
    publishedBytes_ = bytes_;
  }
}

bool DispatcherShard::HasFreeFor(EligibilityId aId) const
{
  return EndpointSet::NextCommon(
           fleet_.FreeEndpoints(), fleet_.EligibleEndpoints(aId), 0)
    .has_value();
}

bool DispatcherShard::IsOver(const TaskGroup& aGroup, TimePoint aNow) const
{
  return aGroup.deadline <= aNow ||
         (aGroup.IsStopped() &&
          IsGuardOn(hooks_.guard, Guard::StoppedGroupStartsNothing));
}

QueuePosition DispatcherShard::PositionOf(const TaskGroup& aGroup) const
{
  if (hooks_.policy.order) {
    return hooks_.policy.order(aGroup);
  }
  const JobSpec& spec = aGroup.spec;
  return { spec.caller,
           spec.kind,
           static_cast<std::uint32_t>(Urgency::Urgent) -
             static_cast<std::uint32_t>(spec.urgency),
           aGroup.deadline };
}

KindAccount& DispatcherShard::LearnedKind(const JobSpec& aSpec)
{
  return queue_.Account(aSpec.caller, aSpec.kind);
}

QueuedTasks DispatcherShard::PopTask()
{
  const QueuedTasks& head = queue_.Peeked();
  if (head.Count() == 1) {
    fleet_.Unpin(head.eligibility);
  }
  QueuedTasks task = queue_.PopTask();
  bytes_ -= BytesOf(task);
  return task;
}

void DispatcherShard::Drop()
{
  QueuedTasks tasks = queue_.PopEntry();
  fleet_.Unpin(tasks.eligibility);
  AddDropped(std::move(tasks));
}

void DispatcherShard::Start(EndpointIndex aIndex,
                            TimePoint aNow,
                            DispatcherEffects& aTo)
{
  KindAccount& queued = queue_.PeekedKind();
  std::size_t number = records_.size();
  if (unusedRecords_.empty()) {
    records_.emplace_back();
  } else {
    number = unusedRecords_.back();
    unusedRecords_.pop_back();
  }
  Running& record = records_[number];
  record.task = PopTask();
  const TaskGroup& group = *record.task.group;
  record.queued = &queued;
  record.kind = hooks_.policy.order ? &LearnedKind(group.spec) : record.queued;
  record.endpoint = aIndex;
  record.startedAt = aNow;
  record.estimate = fleet_.ScaleTo(
    aIndex, SpeedModel::Expected(record.kind->work, group.spec.declaredTime));
  record.id = ((++attempts_ << kRecordBits | number) << kShardBits) | number_;
  queue_.Charge(queued, record.estimate);
  CallerAccount& caller = record.kind->Caller();
  ++record.kind->running;
  ++caller.running;
  ++running_;
  if (record.task.history.attempts++ == 0) {
    caller.retries.CountFirst(aNow);
  }
  const Duration expected{ static_cast<Duration::rep>(
    limits_.attemptFactor * static_cast<double>(record.estimate.count())) };
  const EndpointDescription& to = fleet_.At(aIndex).Description();
  aTo.send.push_back({ record.id,
                       to.id,
                       to.address,
                       to.port,
                       record.task.group,
                       record.task.next,
                       std::min({ group.deadline - aNow,
                                  std::max(limits_.attemptFloor, expected),
                                  limits_.attemptCeiling }) });
}

void DispatcherShard::EndOnEndpoint(Running& aRunning,
                                    AttemptResult& aResult,
                                    TimePoint aNow)
{
  KindAccount& kind = *aRunning.kind;
  TaskHistory& history = aRunning.task.history;
  --kind.running;
  --kind.Caller().running;
  const bool isNotStarted = aResult.end == AttemptEnd::NotStarted;
  queue_.Correct(*aRunning.queued,
                 aRunning.estimate,
                 isNotStarted ? Duration{ 0 } : aNow - aRunning.startedAt);
  switch (aResult.end) {
    case AttemptEnd::Succeeded:
      kind.losses.Succeeded();
      fleet_.EndSucceeded(
        aRunning.endpoint, kind.work, aNow - aRunning.startedAt, aNow);
      return;
    case AttemptEnd::NotStarted:
      ++history.refusals;
      CountVerdict(fleet_.EndRefused(
        aRunning.endpoint, aResult.reason == Reason::ConnectRefused, aNow));
      return;
    case AttemptEnd::Failed:
      history.ran = Ran::Ran;
      CountVerdict(fleet_.EndFailed(aRunning.endpoint, false, aNow));
      return;
    case AttemptEnd::Unknown:
      break;
  }
  // A task whose outcome is unknown on a second endpoint is held at fault.
  const std::string endpoint = fleet_.At(aRunning.endpoint).Description().id;
  const bool isTaskAtFault =
    !history.lostEndpoint.empty() && history.lostEndpoint != endpoint;
  history.ran = std::max(history.ran, Ran::Unknown);
  if (kind.losses.Lost(endpoint, aNow)) {
    hooks_.counters->Refused(Reason::KindQuarantined);
  }
  if (isTaskAtFault) {
    fleet_.Forgive(history.lostEndpoint);
  }
  history.lostEndpoint = endpoint;
  CountVerdict(fleet_.EndFailed(aRunning.endpoint, isTaskAtFault, aNow));
}

bool DispatcherShard::IsSentAgain(Running& aRunning,
                                  const AttemptResult& aResult,
                                  TimePoint aNow)
{
  const TaskGroup& group = *aRunning.task.group;
  TaskHistory& history = aRunning.task.history;
  if (aResult.end == AttemptEnd::Succeeded || IsOver(group, aNow)) {
    return false;
  }
  if (aResult.end == AttemptEnd::NotStarted) {
    return history.refusals < limits_.placementTries;
  }
  const bool isUnguarded = aResult.end == AttemptEnd::Unknown &&
                           !IsGuardOn(hooks_.guard, Guard::UnknownIsFinal);
  const bool maySend = group.spec.idempotent && group.spec.payloads.size() == 1;
  if ((!maySend && !isUnguarded) ||
      history.further >= limits_.furtherAttempts) {
    return false;
  }
  if (!aRunning.kind->Caller().retries.Take(limits_.retryShare, aNow)) {
    hooks_.counters->Refused(Reason::RetryBudgetExhausted);
    return false;
  }
  ++history.further;
  return true;
}

void DispatcherShard::CountVerdict(Fleet::Verdict aVerdict)
{
  if (aVerdict == Fleet::Verdict::Ejected) {
    hooks_.counters->Count(Event::EndpointEjected);
  }
}

Ran DispatcherShard::ReportedRan(const TaskHistory& aHistory) const
{
  return IsGuardOn(hooks_.guard, Guard::RefusalStartedNothing) ? aHistory.ran
                                                               : Ran::NotRun;
}

void DispatcherShard::AddDropped(QueuedTasks&& aTasks)
{
  droppedTasks_ += aTasks.Count();
  dropped_.push_back(std::move(aTasks));
}

std::size_t DispatcherShard::BytesOf(const QueuedTasks& aTasks)
{
  std::size_t bytes = 0;
  for (std::uint32_t index = aTasks.next; index < aTasks.end; ++index) {
    bytes += QueuedBytes(aTasks.group->spec, index);
  }
  return bytes;
}

}
