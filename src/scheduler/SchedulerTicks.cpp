// Timeouts: expired leases, hung runs, and work that is no longer useful.
#include "scheduler/SchedulerState.h"

#include <algorithm>
#include <cmath>

namespace hemlockhaven::Detail {

namespace {

//! Delay before a stop without effect is retried.
constexpr Duration kStopRetryDelay{ 300000 };
//! An endpoint may need this long to end its runs after their lease has
//! expired, as it may for a stop.
constexpr Duration kRunEndTime{ 50000 };
constexpr Duration kSpeedNormalizationInterval{ 1000000 };
//! Within this factor a drift changes the objective less than the error of a
//! single prediction does.
constexpr double kMaxSpeedDrift = 1.25;
//! Share of the endpoints whose speed must be known. The first runs go to slow
//! endpoints, whose mean says nothing of the others.
constexpr double kMinNormalizedShare = 0.75;
//! Half of a speed is learned after this many runs.
constexpr std::uint64_t kMinSpeedSamples = 4;
//! Completions of unknown work are kept this long, for entry VMs to resubmit
//! it.
constexpr Duration kEarlyCompletionRetention{ 3000000 };

}

void SchedulerState::TickEndpoint(EndpointEntry& aEndpoint,
                                  SchedulerEffects& aEffects)
{
  if (!aEndpoint.isPollInFlight && now_ >= aEndpoint.nextPollAt) {
    SendPoll(aEndpoint, Duration(0), aEffects);
  }
  StopUnansweredStarts(aEndpoint, aEffects);
  if (aEndpoint.health.ReturnIfDue(now_)) {
    LogDecision(aEffects, "endpoint", "", &aEndpoint, "on probation");
  }
  for (OrphanRun& orphan : aEndpoint.orphans) {
    if (now_ - orphan.seenAt > policy_.orphanGracePeriod &&
        now_ - orphan.stopSentAt > kStopRetryDelay) {
      orphan.stopSentAt = now_;
      aEffects.stops.push_back({ TargetOf(aEndpoint), orphan.run });
      LogDecision(aEffects,
                  "run",
                  orphan.run.task.workId,
                  &aEndpoint,
                  "stopped",
                  "nobody waits for it");
    }
  }
}

std::string SchedulerState::DescribeLapse(const TaskEntry& aTask,
                                          const EndpointEntry* aEndpoint) const
{
  const auto milliseconds = [](Duration aDuration) {
    return std::to_string(aDuration.count() / 1000);
  };
  std::string text = "run=" + std::to_string(aTask.run) +
                     " termMs=" + milliseconds(now_ - termStartedAt_);
  if (aEndpoint == nullptr) {
    return text;
  }
  text += " silentMs=" + milliseconds(now_ - aEndpoint->lastReplyAt);
  if (const auto remaining = aEndpoint->lease.Remaining(now_)) {
    text += " leaseLeftMs=" + milliseconds(*remaining);
  }
  return text;
}

void SchedulerState::SetEntryVmContacts(Span<const EntryVmContact> aContacts)
{
  followedUntil_.emplace();
  for (const EntryVmContact& contact : aContacts) {
    (*followedUntil_)[contact.name] = contact.followedUntil;
  }
}

bool SchedulerState::IsFollowedUntil(const WorkEntry& aEntry,
                                     TimePoint aTime) const
{
  if (!followedUntil_) {
    return true;
  }
  const auto contact = followedUntil_->find(aEntry.EntryVm());
  return contact != followedUntil_->end() && contact->second > aTime;
}

void SchedulerState::TickRun(WorkEntry& aEntry,
                             TaskEntry& aTask,
                             SchedulerEffects& aEffects)
{
  EndpointEntry* endpoint = FindEndpoint(aTask.endpoint);
  const bool isUnresponsive =
    endpoint == nullptr ||
    now_ - endpoint->lastReplyAt > policy_.responseTimeout;
  if (endpoint == nullptr ||
      (isUnresponsive && endpoint->lease.HasExpired(now_ - kRunEndTime))) {
    if (!aTask.lapsedAt) {
      aTask.lapsedAt = now_;
    }
    if (!aEntry.IsAnswered() && !IsFollowedUntil(aEntry, *aTask.lapsedAt)) {
      return; // Another leader may have the work, and have renewed the lease.
    }
    aTask.lapsedAt.reset();
    aTask.avoidedEndpoint = aTask.endpoint;
    const std::string inputs = DescribeLapse(aTask, endpoint);
    const std::size_t ended = aEffects.decisions.size();
    OnRunEnded(aEntry, aTask, "lease lapsed unseen", aEffects);
    aEffects.decisions[ended].inputs = inputs;
    return;
  }
  aTask.lapsedAt.reset();
  if (aTask.phase == TaskPhase::Stopping &&
      now_ - aTask.stopSentAt > kStopRetryDelay) {
    StopRun(aEntry, aTask, aEffects);
  }
  if (aTask.phase == TaskPhase::Running && aTask.predicted > Duration(0) &&
      !isUnresponsive) {
    const Duration ran = now_ - aTask.confirmedAt;
    const auto maxRunTime =
      std::max(policy_.minHangTime,
               Duration(static_cast<std::int64_t>(
                 static_cast<double>(aTask.predicted.count()) *
                 policy_.hangFactor / std::min(1.0, endpoint->speed.Value()))));
    if (ran > maxRunTime) {
      LogDecision(aEffects, "run", aEntry.Spec().id, endpoint, "hangs");
      endpoint->speed.Learn(aTask.predicted, ran);
      RecordEndpointFailure(*endpoint, aEffects);
      aTask.avoidedEndpoint = aTask.endpoint;
      StopRun(aEntry, aTask, aEffects);
    }
  }
}

void SchedulerState::ReleaseHold(WorkEntry& aEntry,
                                 std::string_view aReason,
                                 SchedulerEffects& aEffects)
{
  const Duration left = *aEntry.heldUntil - now_;
  aEntry.heldUntil.reset();
  LogDecision(aEffects, "hold", aEntry.Spec().id, nullptr, "released", aReason);
  aEffects.decisions.back().inputs =
    "heldMs=" +
    std::to_string((policy_.takeoverHoldTime - left).count() / 1000) +
    " endpoints=" + std::to_string(endpoints_.size()) +
    " termMs=" + std::to_string((now_ - termStartedAt_).count() / 1000);
  AdoptOrphanRuns(aEntry, aEffects);
}

void SchedulerState::TickWork(WorkEntry& aEntry, SchedulerEffects& aEffects)
{
  if (aEntry.heldUntil) {
    const bool allSeen = !MayHaveUnseenRuns(aEntry);
    if (allSeen || now_ >= *aEntry.heldUntil) {
      ReleaseHold(aEntry,
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
  if (aEntry.IsAnswered()) {
    return;
  }
  const Duration age = now_ - aEntry.SentAt();
  const auto uselessAfter = Duration(static_cast<std::int64_t>(
    static_cast<double>(aEntry.Objective().count()) * policy_.uselessFactor));
  const bool isOverloaded = queue_.size() > 1 && fastestSpeed_ > 0 &&
                            !aEntry.heldUntil &&
                            IsLate(aEntry, aEntry.Tasks().front());
  if (!aEntry.HasStarted() && (age > uselessAfter || isOverloaded)) {
    margin_.RecordLateRefusal(now_);
    WithdrawClaim(aEntry);
    FinishWork(aEntry,
               WorkOutcome::Refused,
               "cannot end in time any more",
               policy_.minRetryAfter,
               aEffects);
  } else if (now_ > aEntry.CallerDeadline()) {
    FinishWork(aEntry,
               aEntry.HasStarted() ? WorkOutcome::Cancelled
                                   : WorkOutcome::Refused,
               "caller's deadline passed",
               policy_.minRetryAfter,
               aEffects);
  }
}

void SchedulerState::NormalizeSpeeds()
{
  if (now_ - speedsNormalizedAt_ < kSpeedNormalizationInterval) {
    return;
  }
  speedsNormalizedAt_ = now_;
  double sumOfLogs = 0;
  std::size_t count = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.speed.Samples() >= kMinSpeedSamples) {
      sumOfLogs += std::log(endpoint.speed.Value());
      ++count;
    }
  }
  const double minCount =
    kMinNormalizedShare * static_cast<double>(endpoints_.size());
  if (count == 0 || static_cast<double>(count) < minCount) {
    return;
  }
  const double mean = std::exp(sumOfLogs / static_cast<double>(count));
  if (mean > 1 / kMaxSpeedDrift && mean < kMaxSpeedDrift) {
    return;
  }
  runTimes_.Rescale(mean);
  for (auto& [id, endpoint] : endpoints_) {
    if (endpoint.speed.Samples() >= kMinSpeedSamples) {
      endpoint.speed.Rescale(mean);
    }
  }
  usable_.TouchAll();
}

void SchedulerState::ForgetFinishedWork()
{
  while (!finishedOrder_.empty() &&
         now_ - finishedOrder_.front().first > policy_.finishedRetention) {
    const auto entry = finished_.find(finishedOrder_.front().second);
    if (entry != finished_.end() &&
        now_ - entry->second.at > policy_.finishedRetention) {
      finished_.erase(entry);
    }
    finishedOrder_.pop_front();
  }
}

void SchedulerState::Tick(SchedulerEffects& aEffects)
{
  const bool wasOutdated = IsViewOutdated();
  isResuming_ = wasOutdated;
  const Duration sinceLastTick = now_ - lastTickAt_;
  lastTickAt_ = now_;
  cancelled_.Expire(now_);
  if (!IsLeading()) {
    return;
  }
  if (wasOutdated) {
    LogDecision(aEffects, "lead", "", nullptr, "resumed after a pause");
    aEffects.decisions.back().inputs =
      "pauseMs=" + std::to_string(sinceLastTick.count() / 1000) +
      " works=" + std::to_string(works_.size()) +
      " queued=" + std::to_string(queue_.size());
  }
  RequestNewTerm(aEffects);
  NormalizeSpeeds();
  for (auto& [id, endpoint] : endpoints_) {
    TickEndpoint(endpoint, aEffects);
  }
  usable_.TouchAll();
  tickedWorks_.resize(works_.size());
  std::size_t number = 0;
  for (const auto& [id, entry] : works_) {
    tickedWorks_[number++] = id;
  }
  for (const std::string& id : tickedWorks_) {
    if (WorkEntry* entry = FindWork(id)) {
      TickWork(*entry, aEffects);
      EraseIfFinished(id, aEffects);
    }
  }
  ForgetFinishedWork();
  if (!earlyCompletions_.empty() &&
      now_ - earlyCompletionsSince_ > kEarlyCompletionRetention) {
    earlyCompletions_.clear();
  }
  EraseUnlistedEndpoints(policy_.unlistedRetention);
  Dispatch(aEffects);
}

}
