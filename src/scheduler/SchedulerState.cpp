#include "scheduler/SchedulerState.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace hemlockhaven::Detail {

SchedulerState::SchedulerState(const SchedulerPolicy& aPolicy, Clock aClock)
  : policy_(aPolicy)
  , clock_(std::move(aClock))
  , lastTickAt_(clock_())
  , dice_(1)
{
}

EndpointEntry* SchedulerState::FindEndpoint(const std::string& aId)
{
  const auto found = endpoints_.find(aId);
  return found == endpoints_.end() ? nullptr : &found->second;
}

WorkEntry* SchedulerState::FindWork(const std::string& aId)
{
  const auto found = works_.find(aId);
  return found == works_.end() ? nullptr : found->second.get();
}

TaskEntry* SchedulerState::FindRun(const RunKey& aRun, WorkEntry*& aEntry)
{
  aEntry = FindWork(aRun.task.workId);
  if (aEntry == nullptr) {
    return nullptr;
  }
  TaskEntry* task = aEntry->Find(aRun.task.step, aRun.task.index);
  return task != nullptr && task->IsActive() && task->run == aRun.run ? task
                                                                      : nullptr;
}

CommandTarget SchedulerState::TargetOf(const EndpointEntry& aEndpoint) const
{
  return { aEndpoint.listed.id, aEndpoint.listed.address, token_ };
}

void SchedulerState::LogDecision(SchedulerEffects& aEffects,
                                 std::string_view aStep,
                                 std::string_view aWorkId,
                                 const EndpointEntry* aEndpoint,
                                 std::string_view aOutcome,
                                 std::string_view aDetail) const
{
  Decision decision;
  decision.step = aStep;
  decision.workId = aWorkId;
  decision.outcome = aOutcome;
  decision.detail = aDetail;
  if (aEndpoint != nullptr) {
    decision.endpoint = aEndpoint->listed.id;
    decision.inputAge =
      aEndpoint->isResponding ? now_ - aEndpoint->lastReplyAt : Duration(0);
  }
  aEffects.decisions.push_back(std::move(decision));
}

void SchedulerState::StartTerm(std::uint64_t aFencingToken,
                               SchedulerEffects& aEffects)
{
  token_ = aFencingToken;
  termStartedAt_ = now_;
  isNewTermWanted_ = false;
  LogDecision(aEffects, "lead", "", nullptr, "taking over");
  aEffects.decisions.back().inputs = "token=" + std::to_string(token_);
  for (auto& [id, endpoint] : endpoints_) {
    endpoint.isTakenOver = false;
    endpoint.isPollInFlight = false;
    SendPoll(endpoint, Duration(0), aEffects);
  }
  // Another leader may have had the work in between and started it.
  for (auto& [id, entry] : works_) {
    entry->heldUntil = now_ + policy_.takeoverHoldTime;
  }
}

void SchedulerState::StepDown(std::string_view aReason,
                              SchedulerEffects& aEffects)
{
  if (!IsLeading()) {
    return;
  }
  LogDecision(aEffects, "lead", "", nullptr, "yielded", aReason);
  for (auto& [id, entry] : works_) {
    if (!entry->IsAnswered()) {
      SendAnswer(*entry, WorkOutcome::Moved, aReason, Duration(0), aEffects);
    }
    if (entry->waitingAttempt) {
      aEffects.answers.push_back({ entry->waitingAttempt->entryVm,
                                   id,
                                   WorkOutcome::Moved,
                                   std::string(aReason),
                                   Duration(0),
                                   Duration(0) });
    }
  }
  // Runs continue under the next leader, which finds them by its polls.
  works_.clear();
  queue_.clear();
  // The accounts would be out of date in a later term.
  shares_ = RoomShares();
  finished_.clear();
  earlyCompletions_.clear();
  for (auto& [id, endpoint] : endpoints_) {
    endpoint.free = endpoint.listed.capacity;
    endpoint.runs.clear();
    endpoint.orphans.clear();
    endpoint.isTakenOver = false;
    endpoint.isPollInFlight = false;
    endpoint.isResponding = false;
  }
  token_ = 0;
}

void SchedulerState::SetEndpoints(Span<const ListedEndpoint> aEndpoints,
                                  SchedulerEffects& aEffects)
{
  std::unordered_set<std::string> listedIds;
  for (const ListedEndpoint& listed : aEndpoints) {
    listedIds.insert(listed.id);
    const auto [found, isNew] = endpoints_.try_emplace(listed.id, listed);
    EndpointEntry& endpoint = found->second;
    endpoint.isEvacuated = evacuatedZones_.count(listed.zone) > 0;
    if (isNew) {
      endpoint.usableAt = now_ + policy_.newEndpointDelay;
      if (IsLeading()) {
        LogDecision(aEffects, "endpoint", "", &endpoint, "listed");
        SendPoll(endpoint, Duration(0), aEffects);
      }
      continue;
    }
    if (!endpoint.isListed) {
      // Daemons that started in the meantime do not know it.
      endpoint.usableAt = now_ + policy_.newEndpointDelay;
      LogDecision(aEffects, "endpoint", "", &endpoint, "listed again");
    }
    if (listed.draining != endpoint.listed.draining) {
      LogDecision(aEffects,
                  "endpoint",
                  "",
                  &endpoint,
                  listed.draining ? "draining" : "ready");
    }
    Resources capacityChange = listed.capacity;
    capacityChange -= endpoint.listed.capacity;
    endpoint.free += capacityChange;
    endpoint.listed = listed;
    endpoint.isListed = true;
    if (endpoint.IsDescribedWrongly()) {
      endpoint.nextPollAt = now_; // The next reply may name this incarnation.
    }
  }
  for (auto& [id, endpoint] : endpoints_) {
    if (endpoint.isListed && listedIds.count(id) == 0) {
      LogDecision(aEffects, "endpoint", "", &endpoint, "gone from the list");
      endpoint.isListed = false;
      endpoint.unlistedAt = now_;
      endpoint.leftFrom = listedBounds_.leftFrom;
      endpoint.leftBy = listPosition_.readUpTo;
    }
  }
  Dispatch(aEffects);
}

void SchedulerState::SetEvacuatedZones(Span<const std::string> aZones,
                                       SchedulerEffects& aEffects)
{
  evacuatedZones_.clear();
  evacuatedZones_.insert(aZones.begin(), aZones.end());
  for (auto& [id, endpoint] : endpoints_) {
    endpoint.isEvacuated = evacuatedZones_.count(endpoint.listed.zone) > 0;
  }
  Dispatch(aEffects);
}

void SchedulerState::SendPoll(EndpointEntry& aEndpoint,
                              Duration aWait,
                              SchedulerEffects& aEffects)
{
  PollCommand command;
  command.target = TargetOf(aEndpoint);
  command.isTakeover = !aEndpoint.isTakenOver;
  command.ackPosition = aEndpoint.ackPosition;
  // The next poll, after the tick, renews the lease.
  command.wait = IsViewOutdated() ? Duration(0) : aWait;
  // Without a reply the lease is left to expire: the endpoint may still receive
  // commands, and its runs have to end at some time. Runs of unknown work are
  // not renewed either: another leader that cannot reach them relies on their
  // expiry, as it does on that of the runs of a leader that was paused. The
  // first reply of a term shows which runs are unknown.
  const bool isRenewable =
    aEndpoint.isTakenOver && aEndpoint.isResponding &&
    aEndpoint.orphans.empty() && !IsViewOutdated() &&
    now_ - aEndpoint.lastReplyAt <= policy_.responseTimeout;
  const auto deadline = aEndpoint.lease.DeadlineIn(policy_.lease, now_);
  if (isRenewable && deadline) {
    command.deadlineClockMs = *deadline;
    aEndpoint.lease.Extend(*deadline);
  }
  aEndpoint.isPollInFlight = true;
  aEndpoint.pollSentAt = now_;
  aEffects.polls.push_back(std::move(command));
}

void SchedulerState::Submit(std::string_view aEntryVm,
                            Work aWork,
                            SchedulerEffects& aEffects)
{
  const std::string entryVm(aEntryVm);
  if (!IsLeading()) {
    aEffects.answers.push_back({ entryVm,
                                 aWork.id,
                                 WorkOutcome::Moved,
                                 "not leading",
                                 Duration(0),
                                 Duration(0) });
    return;
  }
  if (WorkEntry* known = FindWork(aWork.id)) {
    Join(*known, entryVm, std::move(aWork), aEffects);
    return;
  }
  const auto finished = finished_.find(aWork.id);
  if (finished != finished_.end()) {
    aEffects.answers.push_back({ entryVm,
                                 aWork.id,
                                 finished->second.outcome,
                                 "ended before",
                                 Duration(0),
                                 Duration(0) });
    return;
  }
  Admit(aEntryVm, std::move(aWork), aEffects);
}

void SchedulerState::Join(WorkEntry& aEntry,
                          std::string_view aEntryVm,
                          Work aWork,
                          SchedulerEffects& aEffects)
{
  const std::string id = aWork.id;
  const bool isStopping = aEntry.IsAnswered();
  LogDecision(
    aEffects, "submit", id, nullptr, isStopping ? "after its stop" : "joined");
  std::optional<std::string> superseded;
  if (isStopping) {
    superseded = aEntry.JoinAfterStop(aEntryVm, std::move(aWork), now_);
  } else {
    superseded =
      aEntry.Join(aEntryVm, now_ - aWork.age, now_ + aWork.callerTimeout);
    if (aWork.submissions > aEntry.Spec().submissions) {
      aEntry.AddSubmissions(aWork.submissions, aWork.priorEndpoints);
      HoldWork(aEntry, aEffects);
    }
  }
  if (superseded) {
    LogDecision(aEffects, "submit", id, nullptr, "superseded");
    aEffects.decisions.back().inputs = "entryVm=" + *superseded;
    CancelAttempt(*superseded, id, "sent again to another entry VM", aEffects);
  }
}

void SchedulerState::CancelAttempt(std::string_view aEntryVm,
                                   std::string_view aWorkId,
                                   std::string_view aReason,
                                   SchedulerEffects& aEffects)
{
  aEffects.answers.push_back({ std::string(aEntryVm),
                               std::string(aWorkId),
                               WorkOutcome::Cancelled,
                               std::string(aReason),
                               Duration(0),
                               Duration(0) });
}

void SchedulerState::SendAnswer(WorkEntry& aEntry,
                                WorkOutcome aOutcome,
                                std::string_view aReason,
                                Duration aRetryAfter,
                                SchedulerEffects& aEffects)
{
  aEffects.answers.push_back({ aEntry.EntryVm(),
                               aEntry.Spec().id,
                               aOutcome,
                               std::string(aReason),
                               aRetryAfter,
                               aEntry.Waited() });
  if (aOutcome == WorkOutcome::Completed || aOutcome == WorkOutcome::Failed) {
    finished_[aEntry.Spec().id] = { now_, aOutcome };
  }
}

void SchedulerState::FinishWork(WorkEntry& aEntry,
                                WorkOutcome aOutcome,
                                std::string_view aReason,
                                Duration aRetryAfter,
                                SchedulerEffects& aEffects)
{
  const std::string id = aEntry.Spec().id;
  SendAnswer(aEntry, aOutcome, aReason, aRetryAfter, aEffects);
  aEntry.MarkAnswered();
  Dequeue(aEntry);
  for (TaskEntry& task : aEntry.Tasks()) {
    if (task.IsActive() && task.phase != TaskPhase::Stopping) {
      StopRun(aEntry, task, aEffects);
    }
  }
  EraseIfFinished(id, aEffects);
}

void SchedulerState::EraseIfFinished(const std::string& aWorkId,
                                     SchedulerEffects& aEffects)
{
  WorkEntry* entry = FindWork(aWorkId);
  if (entry == nullptr || !entry->IsAnswered() || entry->HasActiveRuns()) {
    return;
  }
  auto attempt = std::move(entry->waitingAttempt);
  works_.erase(aWorkId);
  if (attempt) {
    const Duration waited = now_ - attempt->arrivedAt;
    attempt->work.age += waited;
    attempt->work.callerTimeout -= waited;
    if (attempt->work.callerTimeout <= Duration(0)) {
      CancelAttempt(
        attempt->entryVm, aWorkId, "caller's deadline passed", aEffects);
      return;
    }
    Submit(attempt->entryVm, std::move(attempt->work), aEffects);
  }
}

void SchedulerState::Cancel(std::string_view aEntryVm,
                            std::string_view aWorkId,
                            std::string_view aReason,
                            SchedulerEffects& aEffects)
{
  WorkEntry* entry = FindWork(std::string(aWorkId));
  if (entry == nullptr) {
    return;
  }
  if (entry->waitingAttempt && entry->waitingAttempt->entryVm == aEntryVm) {
    entry->waitingAttempt.reset();
    return;
  }
  if (entry->IsAnswered() || entry->EntryVm() != aEntryVm) {
    return;
  }
  LogDecision(aEffects, "cancel", aWorkId, nullptr, "stopping", aReason);
  FinishWork(*entry, WorkOutcome::Cancelled, aReason, Duration(0), aEffects);
  Dispatch(aEffects);
}

void SchedulerState::OnEntryVmLost(std::string_view aEntryVm,
                                   SchedulerEffects& aEffects)
{
  std::vector<std::string> dropped;
  for (const auto& [id, entry] : works_) {
    if (entry->EntryVm() == aEntryVm && !entry->IsAnswered()) {
      dropped.push_back(id);
    }
    if (entry->waitingAttempt && entry->waitingAttempt->entryVm == aEntryVm) {
      CancelAttempt(aEntryVm, id, "entry VM lost", aEffects);
      entry->waitingAttempt.reset();
    }
  }
  for (const std::string& id : dropped) {
    Cancel(aEntryVm, id, "front lost", aEffects);
  }
}

SchedulerLoad SchedulerState::Load() const
{
  SchedulerLoad load;
  load.works = works_.size();
  for (const auto& [id, entry] : works_) {
    if (!entry->IsAnswered() && !entry->HasStarted()) {
      ++load.waitingWorks;
    }
    for (const TaskEntry& task : entry->Tasks()) {
      load.waitingTasks += task.phase == TaskPhase::Waiting ? 1 : 0;
      load.activeRuns += task.IsActive() ? 1 : 0;
    }
  }
  load.endpoints = endpoints_.size();
  for (const auto& [id, endpoint] : endpoints_) {
    load.evacuatedEndpoints += endpoint.isEvacuated ? 1 : 0;
    if (endpoint.IsUsable(now_, policy_.responseTimeout)) {
      ++load.usableEndpoints;
      load.freeCpuMillis += endpoint.free.cpuMillis;
    }
  }
  return load;
}

double SchedulerState::FleetFailureRate() const
{
  if (endpoints_.empty()) {
    return 0;
  }
  double sum = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    sum += endpoint.health.FailureRate();
  }
  return sum / static_cast<double>(endpoints_.size());
}

void SchedulerState::RequestNewTerm(SchedulerEffects& aEffects) const
{
  const Duration minDuration = std::max<Duration>(
    policy_.minTermDuration,
    static_cast<std::int64_t>(endpoints_.size()) * policy_.minTermPerEndpoint);
  aEffects.needsNewTerm =
    isNewTermWanted_ && now_ - termStartedAt_ > minDuration;
}

EndpointsInUse SchedulerState::UsedEndpoints() const
{
  EndpointsInUse inUse = listedBounds_;
  inUse.part = part_;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint.isListed && !endpoint.runs.empty()) {
      inUse.leftFrom = std::min(inUse.leftFrom, endpoint.leftFrom);
    }
  }
  return inUse;
}

bool SchedulerState::KnowsEndpoints(const EndpointsInUse& aEndpoints) const
{
  if (!part_.empty() && !aEndpoints.IsEmpty() && aEndpoints.part != part_) {
    return false;
  }
  ListPosition known = listPosition_;
  known.readFrom = std::max(known.readFrom, erasedUpTo_);
  return known.Covers(aEndpoints);
}

bool SchedulerState::MayHaveUnseenRuns(const WorkEntry& aEntry) const
{
  if (isNewTermWanted_ || !KnowsEndpoints(aEntry.Spec().priorEndpoints)) {
    return true;
  }
  if (dividedAt_ && now_ - *dividedAt_ < policy_.takeoverHoldTime) {
    // An earlier leader may have started it at endpoints of other parts.
    return true;
  }
  // An endpoint behind a network partition leaves the list, and continues under
  // a leader on its side of the partition.
  return std::any_of(
    endpoints_.begin(), endpoints_.end(), [](const auto& aPair) {
      return !aPair.second.isTakenOver || !aPair.second.isResponding;
    });
}

void SchedulerState::SetPart(std::string_view aPart)
{
  if (part_ == aPart) {
    return;
  }
  UpdateNow();
  part_ = aPart;
  dividedAt_ = now_;
  EraseUnlistedEndpoints(Duration(0));
}

void SchedulerState::EraseUnlistedEndpoints(Duration aRetention)
{
  for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
    const EndpointEntry& endpoint = entry->second;
    const bool isExpired = !endpoint.isListed && endpoint.runs.empty() &&
                           endpoint.orphans.empty() &&
                           now_ - endpoint.unlistedAt >= aRetention;
    if (isExpired) {
      erasedUpTo_ = std::max(erasedUpTo_, endpoint.leftBy);
    }
    entry = isExpired ? endpoints_.erase(entry) : std::next(entry);
  }
}

}
