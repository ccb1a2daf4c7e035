#include "hemlockhaven/front/SubmissionTracker.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace hemlockhaven {

namespace {

constexpr Duration kUnavailableRetryDelay{ 1000000 };
constexpr std::string_view kCancelledByCaller = "cancelled by a caller";

CallerOutcome OutcomeOf(WorkOutcome aOutcome)
{
  switch (aOutcome) {
    case WorkOutcome::Completed:
      return CallerOutcome::Completed;
    case WorkOutcome::Failed:
      return CallerOutcome::Failed;
    case WorkOutcome::Refused:
      return CallerOutcome::Overloaded;
    case WorkOutcome::Cancelled:
    case WorkOutcome::CancelledByCaller:
    case WorkOutcome::Moved:
      break;
  }
  return CallerOutcome::Cancelled;
}

std::string_view OutcomeName(CallerOutcome aOutcome)
{
  switch (aOutcome) {
    case CallerOutcome::Completed:
      return "completed";
    case CallerOutcome::Failed:
      return "failed";
    case CallerOutcome::Overloaded:
      return "refused";
    case CallerOutcome::Unavailable:
      return "unavailable";
    case CallerOutcome::Cancelled:
      return "cancelled";
    case CallerOutcome::TimedOut:
      return "timed out";
  }
  return "";
}

Decision MakeDecision(std::string_view aStep,
                      const std::string& aWorkId,
                      std::string_view aOutcome,
                      std::string_view aDetail)
{
  Decision decision;
  decision.step = aStep;
  decision.workId = aWorkId;
  decision.outcome = aOutcome;
  decision.detail = aDetail;
  return decision;
}

}

SubmissionTracker::SubmissionTracker(Clock aClock,
                                     std::uint64_t aFirstAcceptance)
  : clock_(std::move(aClock))
  , nextAcceptance_(aFirstAcceptance)
{
}

SubmissionTracker::Shard& SubmissionTracker::ShardOf(std::string_view aWorkId)
{
  return shards_[std::hash<std::string_view>()(aWorkId) % kShardCount];
}

const SubmissionTracker::Shard& SubmissionTracker::ShardOf(
  std::string_view aWorkId) const
{
  return shards_[std::hash<std::string_view>()(aWorkId) % kShardCount];
}

std::string SubmissionTracker::CurrentLeader() const
{
  const std::lock_guard<std::mutex> lock(leaderMutex_);
  return leader_;
}

EndpointsInUse SubmissionTracker::EndpointsInUseBy(
  std::string_view aLeader) const
{
  const std::lock_guard<std::mutex> lock(leaderMutex_);
  const auto found = endpointsInUse_.find(aLeader);
  return found == endpointsInUse_.end() ? EndpointsInUse() : found->second;
}

void SubmissionTracker::SetEndpointsInUse(std::string_view aLeader,
                                          const EndpointsInUse& aEndpoints)
{
  const std::lock_guard<std::mutex> lock(leaderMutex_);
  endpointsInUse_[std::string(aLeader)] = aEndpoints;
}

void SubmissionTracker::SubmitTo(Entry& aEntry,
                                 std::string_view aLeader,
                                 TimePoint aNow,
                                 TrackerEffects& aEffects)
{
  const bool again = !aEntry.leader.empty();
  if (aEntry.assigned && aEntry.leader != aLeader) {
    // The earlier leader may lead on without hearing the new one, and would
    // start the work too. A leader that has stepped down ignores this.
    aEffects.cancellations.push_back(
      { aEntry.leader, aEntry.work.id, "handed to another leader" });
  }
  aEntry.leader = aLeader;
  aEntry.assigned = true;
  aEntry.work.submissions += again ? 1 : 0;
  aEntry.work.key.number = aEntry.work.submissions;
  Work work = aEntry.work;
  work.age = aEntry.work.age + (aNow - aEntry.acceptedAt);
  work.callerTimeout = aEntry.deadline - aNow;
  aEffects.decisions.push_back(
    MakeDecision("hand-in", work.id, again ? "again" : "first", aLeader));
  aEffects.submissions.push_back({ std::string(aLeader), std::move(work) });
}

void SubmissionTracker::Finish(Shard& aShard,
                               const std::string& aWorkId,
                               CallerAnswer aAnswer,
                               TrackerEffects& aEffects)
{
  const auto found = aShard.entries.find(aWorkId);
  aEffects.decisions.push_back(MakeDecision(
    "answer", aWorkId, OutcomeName(aAnswer.outcome), aAnswer.reason));
  aEffects.answers.emplace_back(std::move(found->second.answer),
                                std::move(aAnswer));
  aShard.entries.erase(found);
}

TrackerEffects SubmissionTracker::Refuse(const std::string& aWorkId,
                                         AnswerHook aAnswer,
                                         std::string_view aReason)
{
  TrackerEffects effects;
  effects.decisions.push_back(
    MakeDecision("answer", aWorkId, "refused", aReason));
  effects.answers.emplace_back(std::move(aAnswer),
                               CallerAnswer{ CallerOutcome::Overloaded,
                                             std::string(aReason),
                                             kUnavailableRetryDelay });
  return effects;
}

TrackerEffects SubmissionTracker::Accept(Work aWork,
                                         AnswerHook aAnswer,
                                         std::uint64_t& aWaiterId)
{
  aWaiterId = 0;
  TrackerEffects effects;
  const std::string leader = CurrentLeader();
  const TimePoint now = clock_();
  if (WaitingCallers() >= kMaxWaitingCallers) {
    return Refuse(aWork.id, std::move(aAnswer), "too many waiting callers");
  }
  Shard& shard = ShardOf(aWork.id);
  const std::lock_guard<std::mutex> lock(shard.mutex);
  if (shard.cancelled.Contains(aWork.id, now)) {
    effects.decisions.push_back(
      MakeDecision("answer", aWork.id, "cancelled", "cancelled before"));
    effects.answers.emplace_back(std::move(aAnswer),
                                 CallerAnswer{ CallerOutcome::Cancelled,
                                               std::string(kCancelledByCaller),
                                               Duration(0) });
    return effects;
  }
  const auto [found, isNew] = shard.entries.try_emplace(aWork.id);
  Entry& entry = found->second;
  if (!isNew) {
    // The caller repeated the request on another connection, which gets the
    // answer. End the wait of the earlier one.
    effects.answers.emplace_back(
      std::exchange(entry.answer, std::move(aAnswer)),
      CallerAnswer{ CallerOutcome::TimedOut, "sent again", Duration(0) });
    aWaiterId = entry.waiterId = ++nextWaiterId_;
    entry.deadline = std::max(entry.deadline, now + aWork.callerTimeout);
    return effects;
  }
  entry.work = std::move(aWork);
  entry.work.key = { nextAcceptance_++, std::nullopt };
  entry.answer = std::move(aAnswer);
  entry.acceptedAt = now;
  entry.unassignedSince = now;
  entry.deadline = now + entry.work.callerTimeout;
  aWaiterId = entry.waiterId = ++nextWaiterId_;
  if (!leader.empty()) {
    SubmitTo(entry, leader, now, effects);
  }
  return effects;
}

TrackerEffects SubmissionTracker::OnCallerDisconnect(std::string_view aWorkId,
                                                     std::uint64_t aWaiterId)
{
  TrackerEffects effects;
  Shard& shard = ShardOf(aWorkId);
  const std::lock_guard<std::mutex> lock(shard.mutex);
  const auto found = shard.entries.find(std::string(aWorkId));
  if (found == shard.entries.end() || found->second.waiterId != aWaiterId) {
    return effects;
  }
  if (!found->second.leader.empty()) {
    effects.cancellations.push_back(
      { found->second.leader, std::string(aWorkId), "caller left" });
  }
  effects.decisions.push_back(
    MakeDecision("answer", found->first, "cancelled", "caller left"));
  shard.entries.erase(found);
  return effects;
}

bool SubmissionTracker::Cancel(std::string_view aWorkId,
                               TrackerEffects& aEffects)
{
  const TimePoint now = clock_();
  Shard& shard = ShardOf(aWorkId);
  const std::lock_guard<std::mutex> lock(shard.mutex);
  const auto found = shard.entries.find(std::string(aWorkId));
  if (found == shard.entries.end()) {
    return shard.cancelled.Contains(aWorkId, now);
  }
  if (!found->second.leader.empty()) {
    aEffects.cancellations.push_back({ found->second.leader,
                                       std::string(aWorkId),
                                       std::string(kCancelledByCaller) });
  }
  RememberCancel(shard, aWorkId, now, aEffects);
  Finish(
    shard,
    std::string(aWorkId),
    { CallerOutcome::Cancelled, std::string(kCancelledByCaller), Duration(0) },
    aEffects);
  return true;
}

void SubmissionTracker::RememberCancel(Shard& aShard,
                                       std::string_view aWorkId,
                                       TimePoint aNow,
                                       TrackerEffects& aEffects)
{
  if (aShard.cancelled.Add(aWorkId, aNow)) {
    aEffects.decisions.push_back(
      MakeDecision("cancel", "", "forgotten", "too many cancels"));
  }
}

TrackerEffects SubmissionTracker::RememberCancel(std::string_view aWorkId)
{
  TrackerEffects effects;
  const TimePoint now = clock_();
  Shard& shard = ShardOf(aWorkId);
  const std::lock_guard<std::mutex> lock(shard.mutex);
  RememberCancel(shard, aWorkId, now, effects);
  return effects;
}

std::vector<std::string> SubmissionTracker::CancelledJobs() const
{
  const TimePoint now = clock_();
  std::vector<std::string> all;
  for (const Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex);
    const std::vector<std::string> ids = shard.cancelled.Ids(now);
    all.insert(all.end(), ids.begin(), ids.end());
  }
  return all;
}

std::size_t SubmissionTracker::CancelledJobCount() const
{
  std::size_t sum = 0;
  for (const Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex);
    sum += shard.cancelled.Size();
  }
  return sum;
}

bool SubmissionTracker::IsCancelled(std::string_view aWorkId) const
{
  const TimePoint now = clock_();
  const Shard& shard = ShardOf(aWorkId);
  const std::lock_guard<std::mutex> lock(shard.mutex);
  return shard.cancelled.Contains(aWorkId, now);
}

TrackerEffects SubmissionTracker::OnAnswer(const WorkAnswer& aAnswer,
                                           std::string_view aLeader)
{
  TrackerEffects effects;
  const std::string currentLeader = CurrentLeader();
  const bool isMoved = aAnswer.outcome == WorkOutcome::Moved;
  const EndpointsInUse usedEndpoints =
    isMoved ? EndpointsInUseBy(aLeader) : EndpointsInUse();
  const TimePoint now = clock_();
  Shard& shard = ShardOf(aAnswer.workId);
  const std::lock_guard<std::mutex> lock(shard.mutex);
  const auto found = shard.entries.find(aAnswer.workId);
  if (found == shard.entries.end()) {
    return effects; // Already answered.
  }
  Entry& entry = found->second;
  const bool isForLast =
    entry.leader == aLeader && entry.work.key.Matches(aAnswer.key);
  if (aAnswer.outcome == WorkOutcome::CancelledByCaller) {
    if (!isForLast && !entry.leader.empty()) {
      effects.cancellations.push_back(
        { entry.leader, aAnswer.workId, std::string(kCancelledByCaller) });
    }
    RememberCancel(shard, aAnswer.workId, now, effects);
    Finish(shard,
           aAnswer.workId,
           { CallerOutcome::Cancelled, aAnswer.reason, Duration(0) },
           effects);
    return effects;
  }
  if (!isForLast) {
    effects.decisions.push_back(MakeDecision(
      "answer", aAnswer.workId, "ignored", "for an earlier submission"));
    return effects;
  }
  if (isMoved) {
    entry.assigned = false;
    entry.unassignedSince = now;
    entry.work.priorEndpoints.Add(usedEndpoints);
    if (!currentLeader.empty() && currentLeader != aLeader &&
        now < entry.deadline) {
      SubmitTo(entry, currentLeader, now, effects);
    }
    return effects;
  }
  CallerAnswer answer{ OutcomeOf(aAnswer.outcome),
                       aAnswer.reason,
                       aAnswer.retryAfter };
  // A refusal only covers the current leader: an earlier one may have run
  // parts of the work.
  const bool mayHaveRun =
    answer.outcome == CallerOutcome::Overloaded && entry.work.submissions > 0;
  if (mayHaveRun || answer.outcome == CallerOutcome::Cancelled) {
    answer.outcome = CallerOutcome::TimedOut;
  }
  Finish(shard, aAnswer.workId, std::move(answer), effects);
  return effects;
}

TrackerEffects SubmissionTracker::OnLeaderChange(std::string_view aLeader)
{
  TrackerEffects effects;
  InUseByLeader inUse;
  {
    const std::lock_guard<std::mutex> lock(leaderMutex_);
    leader_ = aLeader;
    inUse = endpointsInUse_;
  }
  const TimePoint now = clock_();
  for (Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex);
    for (auto& [id, entry] : shard.entries) {
      if (!entry.leader.empty() && entry.leader != aLeader) {
        // Copy the bounds now: once the daemon has stopped leading, they no
        // longer cover its runs.
        entry.work.priorEndpoints.Add(inUse[entry.leader]);
      }
      if (aLeader.empty()) {
        entry.unassignedSince = now;
      } else if ((!entry.assigned || entry.leader != aLeader) &&
                 now < entry.deadline) { // Else the next tick answers it.
        SubmitTo(entry, aLeader, now, effects);
      }
    }
  }
  return effects;
}

void SubmissionTracker::Abort(Shard& aShard,
                              const std::string& aWorkId,
                              std::string_view aReason,
                              TrackerEffects& aEffects)
{
  const std::string leader = aShard.entries[aWorkId].leader;
  CallerAnswer answer;
  answer.reason = aReason;
  answer.retryAfter = kUnavailableRetryDelay;
  if (leader.empty()) {
    answer.outcome = CallerOutcome::Unavailable;
  } else {
    answer.outcome = CallerOutcome::TimedOut;
    aEffects.cancellations.push_back({ leader, aWorkId, answer.reason });
  }
  Finish(aShard, aWorkId, std::move(answer), aEffects);
}

TrackerEffects SubmissionTracker::Tick()
{
  TrackerEffects effects;
  const std::string leader = CurrentLeader();
  const bool hasNoLeader = leader.empty();
  const TimePoint now = clock_();
  for (Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex);
    shard.cancelled.Expire(now);
    std::vector<std::pair<std::string, std::string_view>> expired;
    for (auto& [id, entry] : shard.entries) {
      const Duration unassigned = now - entry.unassignedSince;
      if (now >= entry.deadline) {
        expired.emplace_back(id, "deadline passed");
      } else if (entry.leader.empty() && hasNoLeader &&
                 unassigned > kInitialLeaderTimeout) {
        expired.emplace_back(id, "no leader is known");
      } else if ((hasNoLeader || !entry.assigned) &&
                 unassigned > kNextLeaderTimeout) {
        expired.emplace_back(id, "its leader was lost");
      } else if (!hasNoLeader && entry.leader == leader && !entry.assigned &&
                 unassigned > kResubmitDelay) {
        SubmitTo(entry, leader, now, effects);
      }
    }
    for (const auto& [id, reason] : expired) {
      Abort(shard, id, reason, effects);
    }
  }
  return effects;
}

TrackerEffects SubmissionTracker::AbortAll(std::string_view aReason)
{
  TrackerEffects effects;
  for (Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex);
    std::vector<std::string> ids;
    for (const auto& [id, entry] : shard.entries) {
      ids.push_back(id);
    }
    for (const std::string& id : ids) {
      Abort(shard, id, aReason, effects);
    }
  }
  return effects;
}

bool SubmissionTracker::HasWaitingCaller(std::string_view aWorkId) const
{
  const Shard& shard = ShardOf(aWorkId);
  const std::lock_guard<std::mutex> lock(shard.mutex);
  return shard.entries.count(std::string(aWorkId)) > 0;
}

std::size_t SubmissionTracker::WaitingCallers() const
{
  std::size_t sum = 0;
  for (const Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex);
    sum += shard.entries.size();
  }
  return sum;
}

}
