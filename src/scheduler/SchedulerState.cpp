#include "scheduler/SchedulerState.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace hemlockhaven::Detail {

SchedulerState::SchedulerState(const SchedulerPolicy& aPolicy, Clock aClock)
  : policy_(aPolicy)
  , clock_(std::move(aClock))
  , lastTickAt_(clock_())
  , remoteFactor_(aPolicy.remoteFactor)
  , dice_(1)
{
}

EndpointEntry* SchedulerState::FindEndpoint(const std::string& aId)
{
  const auto found = endpoints_.find(aId);
  if (found == endpoints_.end()) {
    return nullptr;
  }
  usable_.Touch(found->second);
  return &found->second;
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
  if (!IsLeading()) {
    leadingSince_ = now_;
  }
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
  usable_.TouchAll();
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
    for (TaskEntry& task : entry->Tasks()) {
      EndNearWait(*entry, task, "work ended", aEffects);
    }
    if (!entry->IsAnswered()) {
      SendAnswer(*entry, WorkOutcome::Moved, aReason, Duration(0), aEffects);
    }
    if (entry->waitingAttempt) {
      AnswerSubmission(entry->waitingAttempt->entryVm,
                       id,
                       entry->waitingAttempt->work.key,
                       WorkOutcome::Moved,
                       aReason,
                       aEffects);
    }
  }
  // Runs continue under the next leader, which finds them by its polls.
  works_.clear();
  queue_.clear();
  // The accounts would be out of date in a later term.
  shares_ = RoomShares();
  finished_.clear();
  finishedOrder_.clear();
  earlyCompletions_.clear();
  for (auto& [id, endpoint] : endpoints_) {
    endpoint.free = endpoint.listed.capacity;
    endpoint.runs.clear();
    endpoint.orphans.clear();
    endpoint.isTakenOver = false;
    endpoint.isPollInFlight = false;
    endpoint.isResponding = false;
  }
  usable_.TouchAll();
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
  usable_.Assign(endpoints_);
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
  usable_.TouchAll();
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
  const auto answer = [&](WorkOutcome aOutcome, std::string_view aReason) {
    AnswerSubmission(
      aEntryVm, aWork.id, aWork.key, aOutcome, aReason, aEffects);
  };
  if (!IsLeading()) {
    answer(WorkOutcome::Moved, "not leading");
    return;
  }
  const auto finished = finished_.find(aWork.id);
  const bool isFinished = finished != finished_.end();
  if (!isFinished && cancelled_.Contains(aWork.id, now_)) {
    LogDecision(aEffects, "submit", aWork.id, nullptr, "cancelled before");
    answer(WorkOutcome::CancelledByCaller, "cancelled by a caller");
    return;
  }
  if (WorkEntry* known = FindWork(aWork.id)) {
    Join(*known, aEntryVm, std::move(aWork), aEffects);
    return;
  }
  if (isFinished) {
    answer(finished->second.outcome, "ended before");
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
  std::optional<WorkEntry::Superseded> superseded;
  if (isStopping) {
    superseded = aEntry.JoinAfterStop(aEntryVm, std::move(aWork), now_);
  } else {
    superseded = aEntry.Join(aEntryVm, aWork, now_);
    if (aWork.submissions > aEntry.Spec().submissions) {
      aEntry.AddSubmissions(aWork.submissions, aWork.priorEndpoints);
      HoldWork(aEntry, aEffects);
    }
  }
  if (superseded) {
    LogDecision(aEffects, "submit", id, nullptr, "superseded");
    aEffects.decisions.back().inputs = "entryVm=" + superseded->entryVm;
    AnswerSubmission(superseded->entryVm,
                     id,
                     superseded->key,
                     WorkOutcome::Cancelled,
                     "sent again to another entry VM",
                     aEffects);
  }
}

void SchedulerState::AnswerSubmission(std::string_view aEntryVm,
                                      const std::string& aWorkId,
                                      const SubmissionKey& aKey,
                                      WorkOutcome aOutcome,
                                      std::string_view aReason,
                                      SchedulerEffects& aEffects)
{
  WorkAnswer answer;
  answer.entryVm = aEntryVm;
  answer.workId = aWorkId;
  answer.outcome = aOutcome;
  answer.reason = aReason;
  answer.key = aKey;
  aEffects.answers.push_back(std::move(answer));
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
                               aEntry.Waited(),
                               aEntry.AnsweredKey() });
  if (aOutcome == WorkOutcome::Completed || aOutcome == WorkOutcome::Failed) {
    finished_[aEntry.Spec().id] = { now_, aOutcome };
    finishedOrder_.emplace_back(now_, aEntry.Spec().id);
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
    EndNearWait(aEntry, task, "work ended", aEffects);
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
      AnswerSubmission(attempt->entryVm,
                       aWorkId,
                       attempt->work.key,
                       WorkOutcome::Cancelled,
                       "caller's deadline passed",
                       aEffects);
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

JobState SchedulerState::StateOf(const std::string& aWorkId) const
{
  if (!IsLeading()) {
    return JobState::NotLeading;
  }
  const auto finished = finished_.find(aWorkId);
  if (finished != finished_.end()) {
    return finished->second.outcome == WorkOutcome::Completed
             ? JobState::Completed
             : JobState::Failed;
  }
  if (cancelled_.Contains(aWorkId, now_)) {
    return JobState::Cancelled;
  }
  const auto found = works_.find(aWorkId);
  if (found == works_.end()) {
    // Entry VMs resubmit within the time after which orphans are stopped.
    return now_ - leadingSince_ <= policy_.orphanGracePeriod
             ? JobState::Undecided
             : JobState::Unknown;
  }
  const WorkEntry& entry = *found->second;
  if (entry.IsAnswered()) {
    return entry.waitingAttempt ? JobState::Queued : JobState::Cancelled;
  }
  return entry.HasStarted() ? JobState::Running : JobState::Queued;
}

JobState SchedulerState::CancelJob(std::string_view aWorkId,
                                   SchedulerEffects& aEffects)
{
  const std::string id(aWorkId);
  const JobState state = StateOf(id);
  // Also where this daemon does not lead: it may do so next.
  if (cancelled_.Add(id, now_)) {
    LogDecision(
      aEffects, "cancel", "", nullptr, "forgotten", "too many cancels");
  }
  if (state != JobState::Queued && state != JobState::Running &&
      state != JobState::Cancelled) {
    LogDecision(
      aEffects, "cancel", aWorkId, nullptr, "remembered", NameOf(state));
    return state;
  }
  constexpr std::string_view kReason = "cancelled by a caller";
  WorkEntry* entry = FindWork(id);
  if (entry != nullptr && entry->waitingAttempt) {
    AnswerSubmission(entry->waitingAttempt->entryVm,
                     id,
                     entry->waitingAttempt->work.key,
                     WorkOutcome::CancelledByCaller,
                     kReason,
                     aEffects);
    entry->waitingAttempt.reset();
  }
  if (entry != nullptr && !entry->IsAnswered()) {
    LogDecision(aEffects, "cancel", aWorkId, nullptr, "stopping", kReason);
    FinishWork(
      *entry, WorkOutcome::CancelledByCaller, kReason, Duration(0), aEffects);
    Dispatch(aEffects);
  }
  return JobState::Cancelled;
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
      AnswerSubmission(aEntryVm,
                       id,
                       entry->waitingAttempt->work.key,
                       WorkOutcome::Cancelled,
                       "entry VM lost",
                       aEffects);
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
      load.nearWaitingTasks += task.nearWait.since ? 1 : 0;
    }
  }
  load.placedNear = placedNear_;
  load.placedAway = placedAway_;
  load.nearWaits = nearWaits_;
  load.nearWaitTime = nearWaitTime_;
  load.remoteFactor = remoteFactor_.Value();
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
  const std::size_t count = endpoints_.size();
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
  if (endpoints_.size() != count) {
    usable_.Assign(endpoints_);
  }
}

}
