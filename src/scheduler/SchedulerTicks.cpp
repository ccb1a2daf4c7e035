// What time alone changes: leases lapse, runs hang, and work becomes useless.
#include "scheduler/SchedulerState.h"

#include <algorithm>

namespace hemlockhaven::Detail {

namespace {

//! Pause before a stop that had no effect is sent again.
constexpr Duration kStopAgain{ 300000 };
//! Ends of unknown work are kept until their fronts hand the work in again.
constexpr Duration kKeepEarlyEnds{ 3000000 };

}

void SchedulerState::TickEndpoint(EndpointEntry& aEndpoint,
                                  SchedulerEffects& aEffects)
{
  if (!aEndpoint.isPollInFlight && now_ >= aEndpoint.nextPollAt) {
    SendPoll(aEndpoint, Duration(0), aEffects);
  }
  if (aEndpoint.health.ReturnIfDue(now_)) {
    Note(aEffects, "endpoint", "", &aEndpoint, "on probation");
  }
  for (OrphanRun& orphan : aEndpoint.orphans) {
    if (now_ - orphan.seenAt > policy_.orphanGracePeriod &&
        now_ - orphan.stopSentAt > kStopAgain) {
      orphan.stopSentAt = now_;
      aEffects.stops.push_back({ TargetOf(aEndpoint), orphan.run });
      Note(aEffects,
           "run",
           orphan.run.task.workId,
           &aEndpoint,
           "stopped",
           "nobody waits for it");
    }
  }
}

void SchedulerState::TickRun(WorkEntry& aEntry,
                             TaskEntry& aTask,
                             SchedulerEffects& aEffects)
{
  EndpointEntry* endpoint = FindEndpoint(aTask.endpoint);
  const bool silent = endpoint == nullptr ||
                      now_ - endpoint->lastReplyAt > policy_.responseTimeout;
  if (endpoint == nullptr || (silent && endpoint->lease.HasLapsed(now_))) {
    aTask.avoidedEndpoint = aTask.endpoint;
    RunGone(aEntry, aTask, "lease lapsed unseen", aEffects);
    return;
  }
  if (aTask.phase == TaskPhase::Stopping &&
      now_ - aTask.stopSentAt > kStopAgain) {
    StopRun(aEntry, aTask, aEffects);
  }
  if (aTask.phase == TaskPhase::Running && aTask.predicted > Duration(0) &&
      !silent) {
    const Duration ran = now_ - aTask.confirmedAt;
    const auto most =
      std::max(policy_.minHangTime,
               Duration(static_cast<std::int64_t>(
                 static_cast<double>(aTask.predicted.count()) *
                 policy_.hangFactor / std::min(1.0, endpoint->speed.Value()))));
    if (ran > most) {
      Note(aEffects, "run", aEntry.Spec().id, endpoint, "hangs");
      endpoint->speed.Learn(aTask.predicted, ran);
      SuspectFailure(*endpoint, aEffects);
      aTask.avoidedEndpoint = aTask.endpoint;
      StopRun(aEntry, aTask, aEffects);
    }
  }
}

void SchedulerState::EndHold(WorkEntry& aEntry,
                             std::string_view aReason,
                             SchedulerEffects& aEffects)
{
  const Duration left = *aEntry.heldUntil - now_;
  aEntry.heldUntil.reset();
  Note(aEffects, "hold", aEntry.Spec().id, nullptr, "released", aReason);
  aEffects.decisions.back().inputs =
    "heldMs=" +
    std::to_string((policy_.takeoverHoldTime - left).count() / 1000) +
    " endpoints=" + std::to_string(endpoints_.size()) +
    " termMs=" + std::to_string((now_ - ledSince_).count() / 1000);
  AdoptOrphans(aEntry, aEffects);
}

void SchedulerState::TickWork(WorkEntry& aEntry, SchedulerEffects& aEffects)
{
  if (aEntry.heldUntil) {
    const bool allSeen = !MayHideRuns(aEntry);
    if (allSeen || now_ >= *aEntry.heldUntil) {
      EndHold(aEntry,
              allSeen ? "all endpoints have answered"
                      : "earlier leases have lapsed",
              aEffects);
    }
  }
  for (TaskEntry& task : aEntry.Tasks()) {
    if (task.IsActive()) {
      TickRun(aEntry, task, aEffects);
    }
  }
  if (aEntry.IsEnding()) {
    return;
  }
  const Duration age = now_ - aEntry.FirstSent();
  const auto useless = Duration(static_cast<std::int64_t>(
    static_cast<double>(aEntry.Objective().count()) * policy_.uselessFactor));
  const bool crowded = queue_.size() > 1 && fastestSpeed_ > 0 &&
                       !aEntry.heldUntil &&
                       IsLate(aEntry, aEntry.Tasks().front());
  if (!aEntry.HasStarted() && (age > useless || crowded)) {
    margin_.RecordLateRefusal(now_);
    End(aEntry,
        WorkOutcome::Refused,
        "cannot end in time any more",
        policy_.minRetryAfter,
        aEffects);
  } else if (now_ > aEntry.PatienceEnd()) {
    End(aEntry,
        aEntry.HasStarted() ? WorkOutcome::Cancelled : WorkOutcome::Refused,
        "caller's deadline passed",
        policy_.minRetryAfter,
        aEffects);
  }
}

void SchedulerState::Tick(SchedulerEffects& aEffects)
{
  if (!IsLeading()) {
    return;
  }
  RequestNewTerm(aEffects);
  std::vector<std::string> ids;
  for (auto& [id, endpoint] : endpoints_) {
    TickEndpoint(endpoint, aEffects);
  }
  ids.reserve(works_.size());
  for (const auto& [id, entry] : works_) {
    ids.push_back(id);
  }
  for (const std::string& id : ids) {
    if (WorkEntry* entry = FindWork(id)) {
      TickWork(*entry, aEffects);
      ForgetIfOver(id, aEffects);
    }
  }
  for (auto entry = finished_.begin(); entry != finished_.end();) {
    const bool old = now_ - entry->second.at > policy_.finishedRetention;
    entry = old ? finished_.erase(entry) : std::next(entry);
  }
  if (!doneEarly_.empty() && now_ - doneEarlySince_ > kKeepEarlyEnds) {
    doneEarly_.clear();
  }
  ForgetEndpoints();
  Dispatch(aEffects);
}

}
