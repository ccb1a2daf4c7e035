#include "hemlockhaven/front/FrontDesk.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace hemlockhaven {

namespace {

constexpr Duration kUnavailableRetry{ 1000000 };

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

FrontDesk::FrontDesk(Clock aClock)
  : clock_(std::move(aClock))
{
}

FrontDesk::Shard& FrontDesk::ShardOf(std::string_view aWorkId)
{
  return shards_[std::hash<std::string_view>()(aWorkId) % kShards];
}

const FrontDesk::Shard& FrontDesk::ShardOf(std::string_view aWorkId) const
{
  return shards_[std::hash<std::string_view>()(aWorkId) % kShards];
}

std::string FrontDesk::PresentLeader() const
{
  const std::lock_guard<std::mutex> lock(leaderMutex_);
  return leader_;
}

EndpointsInUse FrontDesk::InUseOf(std::string_view aLeader) const
{
  const std::lock_guard<std::mutex> lock(leaderMutex_);
  const auto found = inUse_.find(aLeader);
  return found == inUse_.end() ? EndpointsInUse() : found->second;
}

void FrontDesk::SetInUse(std::string_view aLeader,
                         const EndpointsInUse& aEndpoints)
{
  const std::lock_guard<std::mutex> lock(leaderMutex_);
  inUse_[std::string(aLeader)] = aEndpoints;
}

void FrontDesk::HandIn(Entry& aEntry,
                       std::string_view aLeader,
                       TimePoint aNow,
                       FrontEffects& aEffects)
{
  const bool again = !aEntry.leader.empty();
  aEntry.leader = aLeader;
  aEntry.assigned = true;
  aEntry.work.submissions += again ? 1 : 0;
  Work work = aEntry.work;
  work.age = aEntry.work.age + (aNow - aEntry.acceptedAt);
  work.callerTimeout = aEntry.deadline - aNow;
  aEffects.decisions.push_back(
    MakeDecision("hand-in", work.id, again ? "again" : "first", aLeader));
  aEffects.submissions.push_back({ std::string(aLeader), std::move(work) });
}

void FrontDesk::Finish(Shard& aShard,
                       const std::string& aWorkId,
                       CallerAnswer aAnswer,
                       FrontEffects& aEffects)
{
  const auto found = aShard.entries.find(aWorkId);
  aEffects.decisions.push_back(MakeDecision(
    "answer", aWorkId, OutcomeName(aAnswer.outcome), aAnswer.reason));
  aEffects.answers.emplace_back(std::move(found->second.answer),
                                std::move(aAnswer));
  aShard.entries.erase(found);
}

FrontEffects FrontDesk::Refuse(const std::string& aWorkId,
                               AnswerHook aAnswer,
                               std::string_view aReason)
{
  FrontEffects effects;
  effects.decisions.push_back(
    MakeDecision("answer", aWorkId, "refused", aReason));
  effects.answers.emplace_back(std::move(aAnswer),
                               CallerAnswer{ CallerOutcome::Overloaded,
                                             std::string(aReason),
                                             kUnavailableRetry });
  return effects;
}

FrontEffects FrontDesk::Accept(Work aWork,
                               AnswerHook aAnswer,
                               std::uint64_t& aTicket)
{
  aTicket = 0;
  FrontEffects effects;
  const std::string leader = PresentLeader();
  const TimePoint now = clock_();
  if (Waiting() >= kMostWaiting) {
    return Refuse(aWork.id, std::move(aAnswer), "too many waiting callers");
  }
  Shard& shard = ShardOf(aWork.id);
  const std::lock_guard<std::mutex> lock(shard.mutex);
  const auto [found, isNew] = shard.entries.try_emplace(aWork.id);
  Entry& entry = found->second;
  if (!isNew) {
    // The caller sent it again on another connection; that one is answered.
    effects.answers.emplace_back(
      std::exchange(entry.answer, std::move(aAnswer)),
      CallerAnswer{ CallerOutcome::TimedOut, "sent again", Duration(0) });
    aTicket = entry.ticket = ++nextTicket_;
    entry.deadline = std::max(entry.deadline, now + aWork.callerTimeout);
    return effects;
  }
  entry.work = std::move(aWork);
  entry.answer = std::move(aAnswer);
  entry.acceptedAt = now;
  entry.unassignedSince = now;
  entry.deadline = now + entry.work.callerTimeout;
  aTicket = entry.ticket = ++nextTicket_;
  if (!leader.empty()) {
    HandIn(entry, leader, now, effects);
  }
  return effects;
}

FrontEffects FrontDesk::CallerLeft(std::string_view aWorkId,
                                   std::uint64_t aTicket)
{
  FrontEffects effects;
  Shard& shard = ShardOf(aWorkId);
  const std::lock_guard<std::mutex> lock(shard.mutex);
  const auto found = shard.entries.find(std::string(aWorkId));
  if (found == shard.entries.end() || found->second.ticket != aTicket) {
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

bool FrontDesk::Cancel(std::string_view aWorkId, FrontEffects& aEffects)
{
  Shard& shard = ShardOf(aWorkId);
  const std::lock_guard<std::mutex> lock(shard.mutex);
  const auto found = shard.entries.find(std::string(aWorkId));
  if (found == shard.entries.end()) {
    return false;
  }
  if (!found->second.leader.empty()) {
    aEffects.cancellations.push_back(
      { found->second.leader, std::string(aWorkId), "cancelled by a caller" });
  }
  Finish(shard,
         std::string(aWorkId),
         { CallerOutcome::Cancelled, "cancelled by a caller", Duration(0) },
         aEffects);
  return true;
}

FrontEffects FrontDesk::Answered(const WorkAnswer& aAnswer,
                                 std::string_view aLeader)
{
  FrontEffects effects;
  const std::string present = PresentLeader();
  const bool moved = aAnswer.outcome == WorkOutcome::Moved;
  const EndpointsInUse used = moved ? InUseOf(aLeader) : EndpointsInUse();
  const TimePoint now = clock_();
  Shard& shard = ShardOf(aAnswer.workId);
  const std::lock_guard<std::mutex> lock(shard.mutex);
  const auto found = shard.entries.find(aAnswer.workId);
  if (found == shard.entries.end() || found->second.leader != aLeader) {
    return effects; // Answered before, or another leader has it now.
  }
  Entry& entry = found->second;
  if (moved) {
    entry.assigned = false;
    entry.unassignedSince = now;
    entry.work.priorEndpoints.Add(used);
    if (!present.empty() && present != aLeader) {
      HandIn(entry, present, now, effects);
    }
    return effects;
  }
  CallerAnswer answer{ OutcomeOf(aAnswer.outcome),
                       aAnswer.reason,
                       aAnswer.retryAfter };
  // An earlier leader may have run a part of what the present one refuses.
  const bool mayHaveRun =
    answer.outcome == CallerOutcome::Overloaded && entry.work.submissions > 0;
  if (mayHaveRun || answer.outcome == CallerOutcome::Cancelled) {
    answer.outcome = CallerOutcome::TimedOut;
  }
  Finish(shard, aAnswer.workId, std::move(answer), effects);
  return effects;
}

FrontEffects FrontDesk::LeaderChanged(std::string_view aLeader)
{
  FrontEffects effects;
  InUseByLeader inUse;
  {
    const std::lock_guard<std::mutex> lock(leaderMutex_);
    leader_ = aLeader;
    inUse = inUse_;
  }
  const TimePoint now = clock_();
  for (Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex);
    for (auto& [id, entry] : shard.entries) {
      if (!entry.leader.empty() && entry.leader != aLeader) {
        // As of now: once it does not lead, its bounds leave its runs out.
        entry.work.priorEndpoints.Add(inUse[entry.leader]);
      }
      if (aLeader.empty()) {
        entry.unassignedSince = now;
      } else if (!entry.assigned || entry.leader != aLeader) {
        HandIn(entry, aLeader, now, effects);
      }
    }
  }
  return effects;
}

void FrontDesk::GiveUp(Shard& aShard,
                       const std::string& aWorkId,
                       std::string_view aReason,
                       FrontEffects& aEffects)
{
  const std::string leader = aShard.entries[aWorkId].leader;
  CallerAnswer answer;
  answer.reason = aReason;
  answer.retryAfter = kUnavailableRetry;
  if (leader.empty()) {
    answer.outcome = CallerOutcome::Unavailable;
  } else {
    answer.outcome = CallerOutcome::TimedOut;
    aEffects.cancellations.push_back({ leader, aWorkId, answer.reason });
  }
  Finish(aShard, aWorkId, std::move(answer), aEffects);
}

FrontEffects FrontDesk::Tick()
{
  FrontEffects effects;
  const std::string leader = PresentLeader();
  const bool leaderless = leader.empty();
  const TimePoint now = clock_();
  for (Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex);
    std::vector<std::pair<std::string, std::string_view>> over;
    for (auto& [id, entry] : shard.entries) {
      const Duration unassigned = now - entry.unassignedSince;
      if (now >= entry.deadline) {
        over.emplace_back(id, "deadline passed");
      } else if (entry.leader.empty() && leaderless &&
                 unassigned > kLeaderPatience) {
        over.emplace_back(id, "no leader is known");
      } else if ((leaderless || !entry.assigned) &&
                 unassigned > kNextLeaderPatience) {
        over.emplace_back(id, "its leader was lost");
      } else if (!leaderless && entry.leader == leader && !entry.assigned &&
                 unassigned > kHandInAgain) {
        HandIn(entry, leader, now, effects);
      }
    }
    for (const auto& [id, reason] : over) {
      GiveUp(shard, id, reason, effects);
    }
  }
  return effects;
}

FrontEffects FrontDesk::EndAll(std::string_view aReason)
{
  FrontEffects effects;
  for (Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex);
    std::vector<std::string> ids;
    for (const auto& [id, entry] : shard.entries) {
      ids.push_back(id);
    }
    for (const std::string& id : ids) {
      GiveUp(shard, id, aReason, effects);
    }
  }
  return effects;
}

bool FrontDesk::Knows(std::string_view aWorkId) const
{
  const Shard& shard = ShardOf(aWorkId);
  const std::lock_guard<std::mutex> lock(shard.mutex);
  return shard.entries.count(std::string(aWorkId)) > 0;
}

std::size_t FrontDesk::Waiting() const
{
  std::size_t sum = 0;
  for (const Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex);
    sum += shard.entries.size();
  }
  return sum;
}

}
