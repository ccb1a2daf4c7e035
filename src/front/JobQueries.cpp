#include "hemlockhaven/front/JobQueries.h"

#include <algorithm>

namespace hemlockhaven {

namespace {

constexpr std::string_view kNoLeader = "no leader is known";
constexpr std::string_view kNoReply = "no leader replied in time";
constexpr std::string_view kTooMany = "too many open queries";
constexpr std::string_view kLost = "two leaders in a row were lost";
constexpr std::string_view kUndecided = "the leader cannot tell yet";

Decision MakeDecision(std::string_view aWorkId,
                      std::string_view aOutcome,
                      std::string_view aDetail)
{
  Decision decision;
  decision.step = "job-query";
  decision.workId = aWorkId;
  decision.outcome = aOutcome;
  decision.detail = aDetail;
  return decision;
}

}

JobQueries::JobQueries(Clock aClock)
  : clock_(std::move(aClock))
{
}

void JobQueries::Send(Query& aQuery,
                      const KnownLeader& aLeader,
                      bool aIsNext,
                      JobQueryEffects& aEffects)
{
  aQuery.pending[aLeader.name] = { aLeader.term, aIsNext };
  aQuery.asked.insert(aLeader.name);
  aEffects.messages.push_back({ aLeader.name, aQuery.message });
}

JobQueryEffects JobQueries::Open(JobQueryKind aKind,
                                 std::string_view aWorkId,
                                 Span<const KnownLeader> aLeaders,
                                 Duration aTimeout,
                                 JobAnswerHook aAnswer)
{
  JobQueryEffects effects;
  const auto refuse = [&](std::string_view aReason) {
    effects.decisions.push_back(MakeDecision(aWorkId, "unavailable", aReason));
    effects.answers.emplace_back(std::move(aAnswer),
                                 JobAnswer{ JobState::Undecided, aReason });
  };
  if (aLeaders.empty()) {
    refuse(kNoLeader);
    return effects;
  }
  if (++openCount_ > kMaxOpenQueries) {
    --openCount_;
    refuse(kTooMany);
    return effects;
  }
  const std::uint64_t id = ++nextId_;
  Shard& shard = ShardOf(id);
  const std::lock_guard<std::mutex> lock(shard.mutex);
  Query& query = shard.queries[id];
  query.message = { id, aKind, std::string(aWorkId), 0 };
  query.answer = std::move(aAnswer);
  query.deadline = clock_() + std::min(aTimeout, kTimeout);
  effects.decisions.push_back(MakeDecision(
    aWorkId, "sent", aKind == JobQueryKind::Cancel ? "cancel" : "state"));
  for (const KnownLeader& leader : aLeaders) {
    Send(query, leader, false, effects);
  }
  return effects;
}

void JobQueries::Finish(Shard& aShard,
                        std::uint64_t aId,
                        const JobAnswer& aAnswer,
                        JobQueryEffects& aEffects)
{
  const auto found = aShard.queries.find(aId);
  Query& query = found->second;
  const std::string& workId = query.message.workId;
  const bool isUndecided = aAnswer.state == JobState::Undecided;
  aEffects.decisions.push_back(
    MakeDecision(workId,
                 isUndecided ? "unavailable" : "answered",
                 isUndecided ? aAnswer.reason : NameOf(aAnswer.state)));
  if (query.message.kind == JobQueryKind::Cancel && !isUndecided) {
    aEffects.confirmedCancels.push_back({ workId, std::move(query.asked) });
  }
  aEffects.answers.emplace_back(std::move(query.answer), aAnswer);
  aShard.queries.erase(found);
  --openCount_;
}

bool JobQueries::IsDecided(const Query& aQuery)
{
  return aQuery.pending.empty() && aQuery.lostLeaders == 0;
}

void JobQueries::FinishWithoutState(Shard& aShard,
                                    std::uint64_t aId,
                                    JobQueryEffects& aEffects)
{
  const Query& query = aShard.queries[aId];
  JobAnswer answer;
  if (!IsDecided(query)) {
    answer.reason = kNoReply;
  } else if (!query.obstacle.empty()) {
    answer.reason = query.obstacle;
  } else {
    answer.state = JobState::Unknown;
  }
  Finish(aShard, aId, answer, aEffects);
}

JobQueryEffects JobQueries::OnReply(std::string_view aLeader,
                                    const JobQueryReply& aReply)
{
  JobQueryEffects effects;
  const auto reject = [&effects, aLeader](std::string_view aReason) {
    effects.decisions.push_back(MakeDecision("", "reply left out", aReason));
    effects.decisions.back().inputs = "from=" + std::string(aLeader);
  };
  if (!IsWellFormed(aReply)) {
    reject("malformed");
    return effects;
  }
  Shard& shard = ShardOf(aReply.queryId);
  const std::lock_guard<std::mutex> lock(shard.mutex);
  const auto found = shard.queries.find(aReply.queryId);
  if (found == shard.queries.end()) {
    reject("the query is closed");
    return effects;
  }
  Query& query = found->second;
  const auto pending = query.pending.find(std::string(aLeader));
  if (pending == query.pending.end()) {
    reject("the sender was not asked");
    return effects;
  }
  if (aReply.state != JobState::NotLeading &&
      aReply.term < pending->second.term) {
    reject("of an earlier term");
    return effects;
  }
  const Query::Pending asked = pending->second;
  query.pending.erase(pending);
  switch (aReply.state) {
    case JobState::NotLeading:
      OnLeaderLost(query, asked); // The next Update finds the next leader.
      break;
    case JobState::Undecided:
      query.obstacle = kUndecided;
      break;
    case JobState::Unknown:
      break;
    default:
      Finish(shard, aReply.queryId, { aReply.state, {} }, effects);
      return effects;
  }
  if (IsDecided(query)) {
    FinishWithoutState(shard, aReply.queryId, effects);
  }
  return effects;
}

void JobQueries::OnLeaderLost(Query& aQuery, const Query::Pending& aPending)
{
  if (aPending.isNext) {
    aQuery.obstacle = kLost;
  } else {
    ++aQuery.lostLeaders;
  }
}

void JobQueries::Resend(Query& aQuery,
                        Span<const KnownLeader> aLeaders,
                        JobQueryEffects& aEffects)
{
  for (const KnownLeader& leader : aLeaders) {
    if (aQuery.lostLeaders > 0 && aQuery.asked.count(leader.name) == 0) {
      --aQuery.lostLeaders;
      aEffects.decisions.push_back(MakeDecision(
        aQuery.message.workId, "sent again", "to the next leader"));
      Send(aQuery, leader, true, aEffects);
    }
  }
}

JobQueryEffects JobQueries::Update(Span<const KnownLeader> aLeaders)
{
  JobQueryEffects effects;
  if (openCount_ == 0) {
    return effects;
  }
  const auto isLeader = [aLeaders](const std::string& aName) {
    return std::any_of(
      aLeaders.begin(), aLeaders.end(), [&aName](const KnownLeader& aLeader) {
        return aLeader.name == aName;
      });
  };
  const TimePoint now = clock_();
  for (Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex);
    std::vector<std::uint64_t> ended;
    for (auto& [id, query] : shard.queries) {
      for (auto entry = query.pending.begin(); entry != query.pending.end();) {
        if (isLeader(entry->first)) {
          ++entry;
        } else {
          // It may lead again, as another process of the same name.
          query.asked.erase(entry->first);
          OnLeaderLost(query, entry->second);
          entry = query.pending.erase(entry);
        }
      }
      Resend(query, aLeaders, effects);
      if (now >= query.deadline || IsDecided(query)) {
        ended.push_back(id);
      }
    }
    for (const std::uint64_t id : ended) {
      FinishWithoutState(shard, id, effects);
    }
  }
  return effects;
}

}
