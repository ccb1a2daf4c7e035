// Life cycle of runs: a task is started again only when its last run has
// certainly ended, because the endpoint reported it or because its lease has
// expired.
#include "scheduler/SchedulerState.h"

#include <algorithm>

namespace hemlockhaven::Detail {

namespace {

//! An endpoint that refused for lack of resources gets no starts for this long,
//! until one of its runs may have ended.
constexpr Duration kNoRoomDelay{ 30000 };
//! Limits the delay before a failed poll is retried, which grows with the time
//! for which the endpoint has not replied. Each retry opens a connection.
constexpr Duration kMaxPollRetryDelay{ 240000 };
constexpr std::int64_t kPollRetriesPerSilence = 4;

}

void SchedulerState::ReleaseResources(WorkEntry& aEntry, TaskEntry& aTask)
{
  if (EndpointEntry* endpoint = FindEndpoint(aTask.endpoint)) {
    endpoint->Release(aEntry, aTask);
  }
}

void SchedulerState::OnRunEnded(WorkEntry& aEntry,
                                TaskEntry& aTask,
                                std::string_view aReason,
                                SchedulerEffects& aEffects)
{
  ReleaseResources(aEntry, aTask);
  LogDecision(aEffects,
              "run",
              aEntry.Spec().id,
              FindEndpoint(aTask.endpoint),
              "ended",
              aReason);
  aTask.phase = TaskPhase::Waiting;
  if (aEntry.IsAnswered()) {
    return;
  }
  // Another leader may have started the task meanwhile.
  AdoptOrphanRuns(aEntry, aEffects);
  if (aTask.phase == TaskPhase::Waiting) {
    Enqueue(aEntry);
  }
}

void SchedulerState::OnRunSucceeded(WorkEntry& aEntry,
                                    TaskEntry& aTask,
                                    SchedulerEffects& aEffects)
{
  ReleaseResources(aEntry, aTask);
  if (EndpointEntry* endpoint = FindEndpoint(aTask.endpoint)) {
    endpoint->health.Succeeded(1);
    LearnRunTime(aEntry, aTask, *endpoint);
  }
  aEntry.MarkDone(aTask);
  if (!aEntry.IsAnswered() && aEntry.IsDone()) {
    FinishWork(aEntry, WorkOutcome::Completed, "", Duration(0), aEffects);
  }
}

void SchedulerState::OnRunFailed(WorkEntry& aEntry,
                                 TaskEntry& aTask,
                                 SchedulerEffects& aEffects)
{
  ++aTask.failures;
  aTask.avoidedEndpoint = aTask.endpoint;
  if (EndpointEntry* endpoint = FindEndpoint(aTask.endpoint)) {
    RecordEndpointFailure(*endpoint, aEffects);
  }
  OnRunEnded(aEntry, aTask, "failed", aEffects);
  if (!aEntry.IsAnswered() && aTask.failures >= aEntry.Spec().attempts) {
    FinishWork(aEntry,
               WorkOutcome::Failed,
               "a task failed in all attempts",
               Duration(0),
               aEffects);
  }
}

void SchedulerState::RecordEndpointFailure(EndpointEntry& aEndpoint,
                                           SchedulerEffects& aEffects)
{
  if (aEndpoint.health.Failed(FleetFailureRate())) {
    aEndpoint.health.Eject(now_);
    LogDecision(aEffects, "endpoint", "", &aEndpoint, "ejected");
  }
}

void SchedulerState::StopRun(WorkEntry& aEntry,
                             TaskEntry& aTask,
                             SchedulerEffects& aEffects)
{
  aTask.phase = TaskPhase::Stopping;
  aTask.stopSentAt = now_;
  const EndpointEntry* endpoint = FindEndpoint(aTask.endpoint);
  if (endpoint == nullptr) {
    return;
  }
  aEffects.stops.push_back(
    { TargetOf(*endpoint),
      { { aEntry.Spec().id, aTask.step, aTask.index }, aTask.run } });
}

void SchedulerState::OnStartReply(const StartCommand& aCommand,
                                  const CommandReply& aReply,
                                  SchedulerEffects& aEffects)
{
  EndpointEntry* endpoint = FindEndpoint(aCommand.target.endpoint);
  if (endpoint == nullptr) {
    return;
  }
  // The endpoint may have rejected it because of this daemon's own next term.
  const bool isOldTerm = aCommand.target.fencingToken != token_;
  if (aReply.clockMs > 0) {
    if (endpoint->lease.IsEarlierThan(
          policy_.responseTimeout, aReply.clockMs, now_)) {
      // Another incarnation took the deadline, which is on the clock of the one
      // before and far ahead on its own.
      endpoint->lease.ExtendBy(policy_.maxGrantedLease, now_);
    }
    endpoint->lease.ObserveClock(aReply.clockMs, now_);
    endpoint->lastReplyAt = now_;
    endpoint->isResponding = true;
  }
  WorkEntry* entry = nullptr;
  TaskEntry* task = FindRun(aCommand.run, entry);
  const bool isKnown =
    task != nullptr && task->endpoint == aCommand.target.endpoint;
  const bool isStopping = isKnown && task->phase == TaskPhase::Stopping;
  if (aReply.outcome == CommandOutcome::Unknown) {
    // An earlier stop may have reached an earlier incarnation only.
    const bool isStoppedNow = isKnown && !isStopping && !isOldTerm;
    endpoint->unansweredStarts.Add(aCommand.run, !isStoppedNow, now_);
  }
  if (!isKnown) {
    return;
  }
  std::string_view endReason;
  switch (aReply.outcome) {
    case CommandOutcome::Accepted:
      if (task->phase == TaskPhase::Starting) {
        task->phase = TaskPhase::Running;
        task->expectedEnd += now_ - task->startSentAt;
        task->confirmedAt = now_;
      }
      if (!endpoint->isPollInFlight) {
        SendPoll(*endpoint, policy_.pollWait, aEffects);
      }
      return;
    case CommandOutcome::Unknown:
      if (isOldTerm) {
        return; // The polls of this term show it.
      }
      LogDecision(aEffects, "place", entry->Spec().id, endpoint, "no answer");
      // Treats the endpoint as unresponsive until it replies to a poll.
      endpoint->isResponding = false;
      if (!isStopping) {
        StopRun(*entry, *task, aEffects);
        task->avoidedEndpoint = task->endpoint;
      }
      return;
    case CommandOutcome::Fenced:
      if (!isOldTerm) {
        aEffects.fencedByOther = true;
        endpoint->isTakenOver = false;
      }
      endReason = "fenced";
      break;
    case CommandOutcome::Superseded:
      endReason = "run number not new";
      task->run += 8;
      break;
    case CommandOutcome::Expired:
      endReason = "start expired";
      break;
    case CommandOutcome::NoRoom:
      endpoint->noStartsUntil = now_ + kNoRoomDelay;
      endReason = "no room";
      break;
    case CommandOutcome::Unhealthy:
      RecordEndpointFailure(*endpoint, aEffects);
      endReason = "refused as unhealthy";
      break;
    case CommandOutcome::WrongIncarnation:
      endpoint->isTakenOver = false;
      endReason = "another incarnation";
      break;
    case CommandOutcome::NotSent:
      endpoint->isResponding = false;
      endReason = "not reachable";
      break;
  }
  // The start was rejected, so this run does not exist.
  const std::string id = entry->Spec().id;
  OnRunEnded(*entry, *task, endReason, aEffects);
  EraseIfFinished(id, aEffects);
  Dispatch(aEffects);
}

void SchedulerState::OnStopReply(const StopCommand& aCommand,
                                 const CommandReply& aReply)
{
  EndpointEntry* endpoint = FindEndpoint(aCommand.target.endpoint);
  if (endpoint == nullptr || aCommand.target.fencingToken != token_) {
    return;
  }
  if (aReply.outcome == CommandOutcome::Accepted) {
    endpoint->unansweredStarts.OnStopConfirmed(aCommand.run);
  }
  WorkEntry* entry = nullptr;
  TaskEntry* task = FindRun(aCommand.run, entry);
  if (task != nullptr && task->endpoint == aCommand.target.endpoint &&
      task->phase == TaskPhase::Stopping &&
      aReply.outcome == CommandOutcome::Accepted && !task->stopConfirmedAt) {
    task->stopConfirmedAt = now_;
  }
}

void SchedulerState::OnPollReply(const PollCommand& aCommand,
                                 const PollReport& aReport,
                                 SchedulerEffects& aEffects)
{
  EndpointEntry* endpoint = FindEndpoint(aCommand.target.endpoint);
  if (endpoint == nullptr || aCommand.target.fencingToken != token_) {
    return;
  }
  const bool isFirstPoll = !endpoint->isTakenOver;
  const bool isNewIncarnation =
    endpoint->incarnationStartMs != aReport.incarnationStartMs;
  if (isNewIncarnation) {
    if (endpoint->incarnationStartMs != 0) {
      LogDecision(aEffects, "endpoint", "", endpoint, "restarted");
    }
    endpoint->unansweredStarts.OnRestart();
    StopUnansweredStarts(*endpoint, aEffects);
    endpoint->incarnationStartMs = aReport.incarnationStartMs;
    endpoint->lease.Reset();
    endpoint->ackPosition = 0;
    endpoint->orphans.clear();
    endpoint->speed = EndpointSpeed();
  }
  endpoint->lease.ObserveClock(aReport.clockMs, now_);
  if (isNewIncarnation) {
    // Commands with deadlines on the clock of the earlier incarnation, which
    // are far ahead on this one, may have reached it.
    endpoint->lease.ExtendBy(policy_.maxGrantedLease, now_);
  } else if (isFirstPoll) {
    // Until this reply another leader may have renewed the lease.
    endpoint->lease.ExtendBy(policy_.lease, now_);
  }
  endpoint->lastReplyAt = now_;
  if (!endpoint->isResponding) {
    LogDecision(aEffects, "endpoint", "", endpoint, "answers");
  }
  endpoint->isResponding = true;
  endpoint->isTakenOver = true;
  ApplyEndedRuns(*endpoint, aReport, aEffects);
  ApplyRunningRuns(*endpoint, aReport, aEffects);
  endpoint->isPollInFlight = false;
  const Duration idleDelay = IdlePollDelay();
  if (!isFirstPoll && endpoint->runs.empty() && endpoint->orphans.empty() &&
      idleDelay > policy_.pollWait) {
    endpoint->nextPollAt = now_ + idleDelay;
    Dispatch(aEffects);
    return;
  }
  Duration wait = policy_.pollWait;
  if (isFirstPoll) {
    wait = Duration(0); // Renews the lease, now that the clock is known.
  } else if (!endpoint->orphans.empty()) {
    wait = policy_.orphanPollWait;
  }
  SendPoll(*endpoint, wait, aEffects);
  Dispatch(aEffects);
}

void SchedulerState::StopUnansweredStarts(EndpointEntry& aEndpoint,
                                          SchedulerEffects& aEffects) const
{
  for (RunKey& run : aEndpoint.unansweredStarts.TakeDueStops(now_)) {
    LogDecision(aEffects,
                "run",
                run.task.workId,
                &aEndpoint,
                "stopped",
                "its start was not answered before the restart");
    aEffects.stops.push_back({ TargetOf(aEndpoint), std::move(run) });
  }
}

Duration SchedulerState::IdlePollDelay() const
{
  return std::min(policy_.maxIdlePollDelay,
                  static_cast<std::int64_t>(endpoints_.size()) *
                    policy_.idlePollDelayPerEndpoint);
}

void SchedulerState::ApplyEndedRuns(EndpointEntry& aEndpoint,
                                    const PollReport& aReport,
                                    SchedulerEffects& aEffects)
{
  for (const EndedRun& ended : aReport.ended) {
    if (ended.position <= aEndpoint.ackPosition) {
      continue;
    }
    aEndpoint.ackPosition = ended.position;
    auto& orphans = aEndpoint.orphans;
    orphans.erase(std::remove_if(orphans.begin(),
                                 orphans.end(),
                                 [&ended](const OrphanRun& aOrphan) {
                                   return aOrphan.run.run == ended.run.run &&
                                          aOrphan.run.task == ended.run.task;
                                 }),
                  orphans.end());
    WorkEntry* entry = nullptr;
    TaskEntry* task = FindRun(ended.run, entry);
    if (entry == nullptr && ended.outcome == RunOutcome::Done) {
      if (earlyCompletions_.empty()) {
        earlyCompletionsSince_ = now_;
      }
      earlyCompletions_[ended.run.task.workId].push_back(ended.run.task);
      continue;
    }
    if (task == nullptr || task->endpoint != aEndpoint.listed.id) {
      continue;
    }
    const std::string id = entry->Spec().id;
    switch (ended.outcome) {
      case RunOutcome::Done:
        OnRunSucceeded(*entry, *task, aEffects);
        break;
      case RunOutcome::Failed:
        OnRunFailed(*entry, *task, aEffects);
        break;
      case RunOutcome::Stopped:
        OnRunEnded(*entry, *task, "stopped", aEffects);
        break;
      case RunOutcome::LeaseExpired:
        OnRunEnded(*entry, *task, "lease lapsed", aEffects);
        break;
      case RunOutcome::Other:
        OnRunEnded(*entry, *task, "ended with others", aEffects);
        break;
    }
    EraseIfFinished(id, aEffects);
  }
}

void SchedulerState::LogSecondRun(WorkEntry& aEntry,
                                  const RunKey& aRun,
                                  const EndpointEntry& aEndpoint,
                                  SchedulerEffects& aEffects) const
{
  const TaskEntry* task = aEntry.Find(aRun.task.step, aRun.task.index);
  if (task == nullptr || !task->IsActive() ||
      task->endpoint == aEndpoint.listed.id) {
    return;
  }
  LogDecision(aEffects, "run", aRun.task.workId, &aEndpoint, "second run");
  aEffects.decisions.back().inputs =
    "step=" + std::to_string(aRun.task.step) +
    " index=" + std::to_string(aRun.task.index) +
    " run=" + std::to_string(aRun.run) + " own=" + task->endpoint +
    " ownRun=" + std::to_string(task->run) +
    " ownStartMs=" + std::to_string((now_ - task->startSentAt).count() / 1000) +
    " submissions=" + std::to_string(aEntry.Spec().submissions) +
    " termMs=" + std::to_string((now_ - termStartedAt_).count() / 1000);
}

void SchedulerState::ApplyRunningRuns(EndpointEntry& aEndpoint,
                                      const PollReport& aReport,
                                      SchedulerEffects& aEffects)
{
  for (const RunKey& run : aReport.running) {
    WorkEntry* entry = nullptr;
    TaskEntry* task = FindRun(run, entry);
    if (task != nullptr && task->endpoint == aEndpoint.listed.id) {
      if (task->phase == TaskPhase::Starting) {
        task->phase = TaskPhase::Running;
        task->confirmedAt = now_;
      }
      continue;
    }
    auto& orphans = aEndpoint.orphans;
    const bool known =
      std::any_of(orphans.begin(), orphans.end(), [&run](const auto& aOrphan) {
        return aOrphan.run.run == run.run && aOrphan.run.task == run.task;
      });
    if (!known) {
      orphans.push_back({ run, now_, {} });
      mayHaveOrphans_ = true;
      if (entry != nullptr) {
        LogSecondRun(*entry, run, aEndpoint, aEffects);
      }
    }
    if (entry != nullptr && !entry->IsAnswered()) {
      AdoptOrphanRuns(*entry, aEffects);
    }
  }
  auto& orphans = aEndpoint.orphans;
  orphans.erase(std::remove_if(orphans.begin(),
                               orphans.end(),
                               [&aReport](const OrphanRun& aOrphan) {
                                 return std::none_of(
                                   aReport.running.begin(),
                                   aReport.running.end(),
                                   [&aOrphan](const RunKey& aRun) {
                                     return aRun.run == aOrphan.run.run &&
                                            aRun.task == aOrphan.run.task;
                                   });
                               }),
                orphans.end());

  // Runs that should be reported as running but are not have ended unseen.
  std::vector<RunKey> endedRuns;
  const TimePoint pollSentAt = aEndpoint.pollSentAt;
  for (const auto& [entry, task] : aEndpoint.runs) {
    const RunKey key{ { entry->Spec().id, task->step, task->index },
                      task->run };
    const bool listed =
      std::any_of(aReport.running.begin(),
                  aReport.running.end(),
                  [&key](const RunKey& aRun) {
                    return aRun.run == key.run && aRun.task == key.task;
                  });
    const bool shouldBeListed =
      task->phase == TaskPhase::Running && task->confirmedAt < pollSentAt;
    const bool cannotStart =
      (task->phase != TaskPhase::Running &&
       aReport.clockMs > task->deadlineClockMs) ||
      (task->stopConfirmedAt && *task->stopConfirmedAt < pollSentAt);
    if (!listed && (shouldBeListed || cannotStart)) {
      endedRuns.push_back(key);
    }
  }
  for (const RunKey& key : endedRuns) {
    WorkEntry* entry = nullptr;
    if (TaskEntry* task = FindRun(key, entry)) {
      OnRunEnded(*entry, *task, "not listed any more", aEffects);
      EraseIfFinished(key.task.workId, aEffects);
    }
  }
}

void SchedulerState::OnPollFailed(const PollCommand& aCommand,
                                  CommandOutcome aOutcome,
                                  SchedulerEffects& aEffects)
{
  EndpointEntry* endpoint = FindEndpoint(aCommand.target.endpoint);
  if (endpoint == nullptr || aCommand.target.fencingToken != token_) {
    return;
  }
  endpoint->isPollInFlight = false;
  const bool isFenced = aOutcome == CommandOutcome::Fenced;
  Duration retryDelay = policy_.unlistedPollDelay;
  if (endpoint->isListed) {
    const Duration silence =
      isFenced ? Duration(0) : now_ - endpoint->lastReplyAt;
    retryDelay = std::clamp(silence / kPollRetriesPerSilence,
                            policy_.pollRetryDelay,
                            kMaxPollRetryDelay);
  }
  endpoint->nextPollAt = now_ + retryDelay;
  if (endpoint->isResponding || (isFenced && endpoint->isTakenOver)) {
    LogDecision(aEffects,
                "endpoint",
                "",
                endpoint,
                isFenced ? "taken by another leader" : "look failed");
  }
  if (isFenced) {
    endpoint->isTakenOver = false;
    aEffects.fencedByOther = true;
    return;
  }
  if (aOutcome == CommandOutcome::WrongIncarnation) {
    endpoint->isTakenOver = false;
  }
  endpoint->isResponding = false;
}

void SchedulerState::AdoptRun(WorkEntry& aEntry,
                              TaskEntry& aTask,
                              EndpointEntry& aEndpoint,
                              std::uint32_t aRun,
                              SchedulerEffects& aEffects)
{
  aTask.phase = TaskPhase::Running;
  aTask.run = aRun;
  aTask.endpoint = aEndpoint.listed.id;
  aTask.confirmedAt = now_;
  // Its start time is unknown: excluded from learning.
  aTask.predicted = Duration(0);
  aTask.slowdown = 1;
  aTask.locality = TaskLocality::NoPreference;
  aTask.expectedEnd = now_ + PredictTask(aEntry, aTask.step);
  aEndpoint.Occupy(aEntry, aTask);
  usable_.Touch(aEndpoint);
  aEntry.MarkStarted(now_);
  LogDecision(aEffects, "run", aEntry.Spec().id, &aEndpoint, "adopted");
}

void SchedulerState::AdoptOrphanRuns(WorkEntry& aEntry,
                                     SchedulerEffects& aEffects)
{
  const auto earlyCompletion = earlyCompletions_.find(aEntry.Spec().id);
  if (earlyCompletion != earlyCompletions_.end()) {
    for (const TaskKey& key : earlyCompletion->second) {
      TaskEntry* task = aEntry.Find(key.step, key.index);
      if (task != nullptr && !task->IsActive()) {
        aEntry.MarkDone(*task);
        aEntry.MarkStarted(now_);
      }
    }
    earlyCompletions_.erase(earlyCompletion);
  }
  if (!mayHaveOrphans_) {
    return;
  }
  mayHaveOrphans_ = false;
  for (auto& [id, endpoint] : endpoints_) {
    auto& orphans = endpoint.orphans;
    for (auto orphan = orphans.begin(); orphan != orphans.end();) {
      TaskEntry* task =
        orphan->run.task.workId == aEntry.Spec().id
          ? aEntry.Find(orphan->run.task.step, orphan->run.task.index)
          : nullptr;
      if (task != nullptr && task->phase == TaskPhase::Waiting) {
        AdoptRun(aEntry, *task, endpoint, orphan->run.run, aEffects);
        orphan = orphans.erase(orphan);
      } else {
        ++orphan;
      }
    }
    mayHaveOrphans_ = mayHaveOrphans_ || !orphans.empty();
  }
}

}
