// The heartbeats of the election: to whom, how often, and which members they
// list.
#include "hemlockhaven/leadership/LeaderElection.h"

#include "leadership/Rank.h"

#include <algorithm>
#include <utility>

namespace hemlockhaven {

using Detail::HashName;
using Detail::Rank;
using Detail::RankOf;

namespace {

//! Heartbeats to one member whose send times are kept until echoed.
constexpr std::size_t kMaxPendingEchoes = 64;
//! Doublings of the time after which a silent link opens anew.
constexpr std::uint32_t kMaxReopeningDoublings = 3;
//! Different delays by which members spread their reopenings.
constexpr std::int64_t kReopeningSteps = 16;
//! Members listed in one heartbeat; the following ones list the others.
constexpr std::size_t kMaxListedMembers = 64;

}

bool LeaderElection::IsDiscoveryLink(const MemberState& aState) const
{
  const Duration period = 2 * parameters_.discoveryPeriod;
  return now_ - startedAt_ < period ||
         (aState.alive && now_ - aState.aliveSince < period);
}

std::set<const LeaderElection::MemberState*> LeaderElection::ProbedSuccessors()
  const
{
  std::vector<std::pair<Rank, const MemberState*>> preferred;
  if (!leader_.empty()) {
    return {};
  }
  for (const auto& [address, state] : members_) {
    // A member that was lost moments ago may be back before it is alive here.
    if (IsPeer(state) && state.heard && state.lastHeartbeat.canLead &&
        !state.lastHeartbeat.leaving &&
        now_ - state.heardAt <= parameters_.memberRetention &&
        RankOf(state.member) < RankOf(self_)) {
      preferred.emplace_back(RankOf(state.member), &state);
    }
  }
  std::sort(preferred.begin(), preferred.end());
  preferred.resize(std::min(preferred.size(), parameters_.maxProbedSuccessors));
  std::set<const MemberState*> probed;
  for (const auto& [rank, state] : preferred) {
    probed.insert(state);
  }
  return probed;
}

bool LeaderElection::IsProbedBy(const MemberState& aState) const
{
  return aState.alive && canLead_ && !aState.lastHeartbeat.hasLeader &&
         aState.lastHeartbeat.interval <= parameters_.heartbeatInterval &&
         RankOf(self_) < RankOf(aState.member);
}

void LeaderElection::UpdateHeartbeatIntervals()
{
  std::vector<std::pair<Rank, const MemberState*>> candidates;
  for (const auto& [address, state] : members_) {
    if (IsPeer(state) && state.alive && state.lastHeartbeat.canLead) {
      candidates.emplace_back(RankOf(state.member), &state);
    }
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.first < aRight.first;
            });
  const std::size_t preferredCount = static_cast<std::size_t>(std::count_if(
    candidates.begin(), candidates.end(), [this](const auto& aCandidate) {
      return aCandidate.first < RankOf(self_);
    }));
  const bool isSmallGroup = candidates.size() < parameters_.smallGroupSize;
  const bool selfNeedsFastHeartbeats =
    token_ != 0 || preferredCount < parameters_.successorCount;
  candidates.resize(std::min(candidates.size(), parameters_.successorCount));
  const std::set<const MemberState*> probed = ProbedSuccessors();
  const bool discovering = now_ - startedAt_ < 2 * parameters_.discoveryPeriod;
  const bool hasPeers =
    std::any_of(members_.begin(), members_.end(), [this](const auto& aPair) {
      return IsPeer(aPair.second) && aPair.second.alive;
    });
  for (auto& [address, state] : members_) {
    if (!IsPeer(state)) {
      UpdateDistantInterval(state, hasPeers);
      continue;
    }
    state.wantsReply = true;
    const bool asksForMembers =
      state.lastHeartbeat.interval <= parameters_.heartbeatInterval &&
      state.alive && now_ - state.aliveSince < 2 * parameters_.discoveryPeriod;
    const bool needsFastHeartbeats =
      state.lastHeartbeat.leaderToken != 0 || asksForMembers ||
      (discovering && state.isSeed) || IsProbedBy(state) ||
      std::any_of(candidates.begin(),
                  candidates.end(),
                  [&state = state](const auto& aCandidate) {
                    return aCandidate.second == &state;
                  });
    const bool isFast = state.alive
                          ? isSmallGroup || selfNeedsFastHeartbeats ||
                              needsFastHeartbeats || probed.count(&state) > 0
                          : discovering || probed.count(&state) > 0;
    state.interval = isFast ? parameters_.heartbeatInterval
                            : parameters_.slowHeartbeatInterval;
  }
}

void LeaderElection::UpdateDistantInterval(MemberState& aState,
                                           bool aHasPeers) const
{
  const bool needsSeeds =
    !aHasPeers || now_ - startedAt_ < parameters_.seedContactTime;
  // All daemons hear all leaders, so that the parts know of each other. An
  // address that has not been heard yet is that of a seed.
  aState.wantsReply = token_ != 0 ||
                      (aState.alive && aState.lastHeartbeat.leaderToken != 0) ||
                      (aState.learnedAs == 0 && needsSeeds);
  const bool isWanted =
    aState.heard && aState.lastHeartbeat.wantsReply &&
    now_ - aState.heardAt <= 2 * parameters_.slowHeartbeatInterval;
  aState.interval = aState.wantsReply || isWanted
                      ? parameters_.slowHeartbeatInterval
                      : kNoHeartbeats;
}

void LeaderElection::ReopenIfSilent(MemberState& aState,
                                    ElectionEffects& aEffects)
{
  if (aState.alive || !aState.wantsReply || aState.interval == kNoHeartbeats) {
    aState.silentSince.reset();
    aState.reopenings = 0;
    return;
  }
  if (!aState.silentSince) {
    aState.silentSince = now_;
    return;
  }
  const Duration timeout =
    parameters_.silentLinkTimeout *
    (1U << std::min(aState.reopenings, kMaxReopeningDoublings));
  const auto step = static_cast<std::int64_t>(
    HashName(self_.name + aState.member.address) % kReopeningSteps);
  if (now_ - *aState.silentSince < timeout + timeout * step / kReopeningSteps) {
    return;
  }
  aState.silentSince = now_;
  ++aState.reopenings;
  aState.lastSentAt = TimePoint(); // Sends a heartbeat on the new link at once.
  aEffects.silentLinks.push_back(aState.member);
}

void LeaderElection::NotifyAllWithNextTick()
{
  for (auto& [address, state] : members_) {
    state.lastSentAt = TimePoint();
  }
}

Heartbeat LeaderElection::MakeHeartbeat(const MemberState& aState) const
{
  Heartbeat heartbeat;
  heartbeat.from = self_;
  heartbeat.sequence = sequence_;
  heartbeat.echo = aState.receivedSequence;
  heartbeat.leaderToken = token_;
  heartbeat.highestToken = highestToken_;
  heartbeat.interval = aState.interval;
  heartbeat.electionBackoff = std::max(Duration(0), backoffUntil_ - now_);
  heartbeat.endpointsInUse = token_ != 0 ? endpointsInUse_ : EndpointsInUse();
  heartbeat.shedShare = shedShare_;
  heartbeat.canLead = canLead_ && now_ >= backoffUntil_;
  heartbeat.hasLeader = !leader_.empty();
  heartbeat.leaving = leaving_;
  heartbeat.part = part_;
  heartbeat.endpointsInUse.part = part_;
  heartbeat.wantsReply = aState.wantsReply;
  return heartbeat;
}

void LeaderElection::LearnMembers(Span<const Member> aMembers)
{
  for (const Member& other : aMembers) {
    if (other.address == self_.address) {
      continue;
    }
    MemberState& state = members_[other.address];
    if (state.learnedAs == 0) {
      state.learnedAs = ++learnedCount_;
      learnedAt_ = now_;
      state.member = other;
      state.member.incarnation = 0; // Unknown until it is heard.
    }
  }
}

std::vector<Member> LeaderElection::ListMembers(MemberState& aState)
{
  std::vector<Member> listed;
  if (members_.size() < parameters_.smallGroupSize) {
    for (const auto& [address, state] : members_) {
      if (state.alive) {
        listed.push_back(state.member);
      }
    }
    return listed;
  }
  // In a large group a list costs more than the rest of a heartbeat.
  if (now_ - aState.listRestartedAt >= parameters_.memberRetention) {
    // A heartbeat with a list may have been lost with its connection.
    aState.listRestartedAt = now_;
    aState.listAcknowledged = 0;
  }
  // Daemons that start at the same time are learned of one after the other.
  const Duration listInterval = IsDiscoveryLink(aState)
                                  ? parameters_.heartbeatInterval
                                  : parameters_.slowHeartbeatInterval;
  if (aState.listAcknowledged == learnedCount_ ||
      now_ - aState.listSentAt < listInterval) {
    return listed;
  }
  std::vector<const MemberState*> untold;
  for (const auto& [address, state] : members_) {
    if (state.learnedAs > aState.listAcknowledged) {
      untold.push_back(&state);
    }
  }
  std::sort(untold.begin(),
            untold.end(),
            [](const MemberState* aLeft, const MemberState* aRight) {
              return aLeft->learnedAs < aRight->learnedAs;
            });
  untold.resize(std::min(untold.size(), kMaxListedMembers));
  for (const MemberState* state : untold) {
    listed.push_back(state->member);
  }
  aState.listSent = untold.empty() ? learnedCount_ : untold.back()->learnedAs;
  aState.listSequence = sequence_;
  aState.listSentAt = now_;
  return listed;
}

void LeaderElection::SendHeartbeat(MemberState& aState,
                                   ElectionEffects& aEffects)
{
  aState.lastSentAt = now_;
  aState.pendingEchoes[++sequence_] = now_;
  if (aState.pendingEchoes.size() > kMaxPendingEchoes) {
    aState.pendingEchoes.erase(aState.pendingEchoes.begin());
  }
  Heartbeat heartbeat = MakeHeartbeat(aState);
  heartbeat.knownMembers = ListMembers(aState);
  aEffects.heartbeats.emplace_back(aState.member, std::move(heartbeat));
}

}
