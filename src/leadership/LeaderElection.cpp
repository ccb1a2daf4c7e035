#include "hemlockhaven/leadership/LeaderElection.h"

#include "leadership/Rank.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace hemlockhaven {

using Detail::HashName;
using Detail::RankOf;

namespace {

//! Low bits of a token, which distinguish leaders of the same round.
constexpr unsigned kNameHashBits = 16;
//! Doublings of the backoff after fencing.
constexpr std::uint32_t kMaxFencedDoublings = 3;
//! Limits the steps by which a fenced leader raises its token, which grow
//! fourfold each time.
constexpr std::uint32_t kMaxTokenStepDoublings = 8;

}

LeaderElection::LeaderElection(Member aSelf,
                               const ElectionParameters& aParameters,
                               Clock aClock,
                               WallClock aWallClock)
  : self_(std::move(aSelf))
  , parameters_(aParameters)
  , clock_(std::move(aClock))
  , wallClock_(std::move(aWallClock))
  , startedAt_(clock_())
  , leaderlessSince_(startedAt_)
  , lastTickAt_(startedAt_)
{
}

void LeaderElection::EndBackoffWithMajority()
{
  if (now_ >= backoffUntil_ || !HasMajority()) {
    majoritySince_.reset();
    return;
  }
  // The links to the members, and to their leader if they have one, are
  // restored one after the other.
  if (!majoritySince_) {
    majoritySince_ = now_;
  } else if (now_ - *majoritySince_ >= parameters_.memberTimeout) {
    backoffUntil_ = now_;
    minorityFencings_ = 0;
    majoritySince_.reset();
  }
}

Duration LeaderElection::ElectionDelay() const
{
  if (!IsFragment()) {
    return parameters_.electionDelay;
  }
  // Spread out, so that simultaneous fragments do not all take over at once.
  constexpr std::uint64_t kDelaySteps = 16;
  return parameters_.fragmentElectionDelay +
         parameters_.fragmentElectionDelay *
           (HashName(self_.name) % kDelaySteps) / kDelaySteps;
}

ElectionEffects LeaderElection::OnHeartbeat(const Heartbeat& aHeartbeat)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  ElectionEffects effects;
  now_ = clock_();
  if (aHeartbeat.from.address == self_.address) {
    return effects;
  }
  MemberState& state = members_[aHeartbeat.from.address];
  const bool restarted =
    state.heard && state.member.incarnation != aHeartbeat.from.incarnation;
  if (restarted) {
    // A member that is heard is a later process than this one. Otherwise its
    // clock may have stepped back before it started.
    if (state.alive && aHeartbeat.from.incarnation < state.member.incarnation) {
      return effects;
    }
    MarkLost(state, effects);
    const bool isSeed = state.isSeed;
    state = MemberState();
    state.isSeed = isSeed;
  }
  if (state.learnedAs == 0 || state.member.zone != aHeartbeat.from.zone) {
    state.learnedAs = ++learnedCount_;
    learnedAt_ = now_;
  }
  state.member = aHeartbeat.from;
  if (state.heard && !state.disconnected &&
      aHeartbeat.sequence <= state.receivedSequence) {
    return effects;
  }
  state.heard = true;
  state.disconnected = false;
  state.heardAt = now_;
  state.receivedSequence = aHeartbeat.sequence;
  state.lastHeartbeat = aHeartbeat;
  if (!state.alive && state.wantsReply &&
      now_ - state.lastSentAt >= parameters_.heartbeatInterval) {
    // It is alive once each side has echoed a heartbeat of the other. At the
    // slow interval this would take seconds after a partition.
    state.lastSentAt = TimePoint();
  }
  const auto echoed = state.pendingEchoes.find(aHeartbeat.echo);
  if (echoed != state.pendingEchoes.end()) {
    state.echoedSentAt = echoed->second;
    if (aHeartbeat.echo >= state.listSequence) {
      state.listAcknowledged = state.listSent;
    }
    state.pendingEchoes.erase(state.pendingEchoes.begin(), std::next(echoed));
  }
  if (!knowsPart_ && aHeartbeat.leaderToken != 0 && !aHeartbeat.part.empty()) {
    // The parts follow from the endpoint list, which is not known here yet.
    part_ = self_.zone;
  }
  if (IsPeer(state)) {
    highestToken_ = std::max(
      { highestToken_, aHeartbeat.highestToken, aHeartbeat.leaderToken });
  }
  LearnMembers(aHeartbeat.knownMembers);
  if (!state.alive && IsAlive(state)) {
    state.alive = true;
    state.aliveSince = now_;
    effects.joinedMembers.push_back(state.member.name);
  }
  if (IsPeer(state) && aHeartbeat.electionBackoff > Duration(0) &&
      !HasMajority()) {
    // Otherwise the members of an isolated zone would retake the endpoints one
    // after the other until their links are restored.
    backoffUntil_ = std::max(backoffUntil_, now_ + aHeartbeat.electionBackoff);
  }
  Elect(effects);
  return effects;
}

ElectionEffects LeaderElection::OnLinkLost(std::string_view aName)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  ElectionEffects effects;
  now_ = clock_();
  for (auto& [address, state] : members_) {
    if (state.heard && state.member.name == aName) {
      state.disconnected = true;
      MarkLost(state, effects);
    }
  }
  Elect(effects);
  return effects;
}

ElectionEffects LeaderElection::OnFenced()
{
  const std::lock_guard<std::mutex> lock(mutex_);
  ElectionEffects effects;
  now_ = clock_();
  if (token_ == 0) {
    return effects;
  }
  Elect(effects); // Steps down if the other leader is alive and preferred.
  if (token_ == 0 || retakeAt_) {
    return effects;
  }
  if (HasMajority()) {
    ScheduleRetake();
    RetakeIfDue(effects);
    return effects;
  }
  if (IsFragment()) {
    minorityFencings_ = kMaxFencedDoublings;
  }
  backoffUntil_ =
    now_ + parameters_.fencedBackoff *
             (1U << std::min(minorityFencings_, kMaxFencedDoublings));
  ++minorityFencings_;
  StepDown("endpoints follow another leader", effects);
  return effects;
}

ElectionEffects LeaderElection::RenewTerm()
{
  const std::lock_guard<std::mutex> lock(mutex_);
  ElectionEffects effects;
  now_ = clock_();
  if (token_ != 0 && !retakeAt_) {
    StartTerm(1, "work of another leader came", effects);
  }
  return effects;
}

void LeaderElection::ScheduleRetake()
{
  if (retakeAt_) {
    return;
  }
  constexpr std::uint32_t kMaxPauseDoublings = 3;
  const bool isRepeated = now_ - fencedAt_ < parameters_.fencedBackoff;
  consecutiveFencings_ =
    isRepeated ? std::min(consecutiveFencings_ + 1, kMaxTokenStepDoublings) : 0;
  fencedAt_ = now_;
  retakeAt_ = now_;
  if (consecutiveFencings_ > 0) {
    retakeAt_ =
      now_ + parameters_.retakeBackoff *
               (1U << std::min(consecutiveFencings_ - 1, kMaxPauseDoublings));
  }
}

void LeaderElection::RetakeIfDue(ElectionEffects& aEffects)
{
  if (!retakeAt_ || now_ < *retakeAt_ || token_ == 0) {
    return;
  }
  // The distance to the other token is unknown. Exponential steps exceed it in
  // a few attempts.
  StartTerm(std::uint64_t{ 1 } << (2 * consecutiveFencings_),
            "another leader has a higher token",
            aEffects);
}

ElectionEffects LeaderElection::SetCanLead(bool aCanLead,
                                           std::string_view aReason)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  ElectionEffects effects;
  now_ = clock_();
  if (aCanLead && !canLead_) {
    canLeadSince_ = now_;
    NotifyAllWithNextTick();
  }
  canLead_ = aCanLead;
  if (!canLead_ && token_ != 0) {
    StepDown(aReason, effects);
  }
  return effects;
}

void LeaderElection::SetCanLeadAll(bool aCanLeadAll)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  canLeadAll_ = aCanLeadAll;
}

ElectionEffects LeaderElection::SetPart(std::string_view aPart)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  ElectionEffects effects;
  now_ = clock_();
  knowsPart_ = true;
  if (part_ == aPart) {
    return effects;
  }
  part_ = aPart;
  if (token_ != 0) {
    StepDown("the endpoints were divided anew", effects);
  }
  NotifyAllWithNextTick();
  Elect(effects);
  return effects;
}

ElectionEffects LeaderElection::Leave()
{
  const std::lock_guard<std::mutex> lock(mutex_);
  ElectionEffects effects;
  now_ = clock_();
  leaving_ = true;
  canLead_ = false;
  if (token_ != 0) {
    StepDown("stopping", effects);
  }
  // Sent at once, so that the others can elect another leader right away.
  for (auto& [address, state] : members_) {
    if (state.interval != kNoHeartbeats) {
      SendHeartbeat(state, effects);
    }
  }
  return effects;
}

bool LeaderElection::IsPreferred() const
{
  return std::none_of(
    members_.begin(), members_.end(), [this](const auto& aPair) {
      const MemberState& state = aPair.second;
      const bool mayBeGone =
        state.echoedSentAt <= leaderlessSince_ &&
        now_ - leaderlessSince_ >= parameters_.successionProbeTime;
      return IsPeer(state) && IsAlive(state) && !mayBeGone &&
             state.lastHeartbeat.canLead && !state.lastHeartbeat.leaving &&
             RankOf(state.member) < RankOf(self_);
    });
}

bool LeaderElection::ShouldYieldToLarger() const
{
  if (!sheddingSince_ || now_ - *sheddingSince_ < parameters_.overloadPeriod) {
    return false;
  }
  return std::any_of(
    members_.begin(), members_.end(), [this](const auto& aPair) {
      const MemberState& state = aPair.second;
      return IsPeer(state) && IsAlive(state) &&
             now_ - state.aliveSince >= parameters_.overloadPeriod &&
             state.lastHeartbeat.canLead && !state.lastHeartbeat.leaving &&
             state.member.cores > self_.cores;
    });
}

void LeaderElection::SetLeader(const std::string& aName,
                               ElectionEffects& aEffects)
{
  if (leader_ != aName) {
    leader_ = aName;
    aEffects.newLeader = aName;
    if (leader_.empty()) {
      leaderlessSince_ = now_;
    }
  }
}

void LeaderElection::StartTerm(std::uint64_t aRounds,
                               std::string_view aReason,
                               ElectionEffects& aEffects)
{
  // Seconds since 1970 keep tokens increasing after all daemons restart.
  constexpr std::int64_t kMsPerSecond = 1000;
  const auto round =
    std::max(static_cast<std::uint64_t>(wallClock_() / kMsPerSecond),
             (highestToken_ >> kNameHashBits) + aRounds);
  if (token_ == 0) {
    leadingSince_ = now_;
  }
  token_ = (round << kNameHashBits) |
           (HashName(self_.name) & ((1ULL << kNameHashBits) - 1));
  highestToken_ = token_;
  retakeAt_.reset();
  aEffects.termToken = token_;
  aEffects.termReason = aReason;
  SetLeader(self_.name, aEffects);
}

void LeaderElection::StepDown(std::string_view aReason,
                              ElectionEffects& aEffects)
{
  token_ = 0;
  retakeAt_.reset();
  // A term that the same call began is over before anyone has learned of it.
  aEffects.termToken.reset();
  aEffects.termReason.clear();
  aEffects.stepDownReason = std::string(aReason);
  if (leader_ == self_.name) {
    SetLeader("", aEffects);
  }
}

void LeaderElection::Elect(ElectionEffects& aEffects)
{
  // Of several leaders the preferred one stays. Tokens do not decide, since the
  // received ones are outdated while leaders raise them.
  const MemberState* preferredLeader = nullptr;
  std::uint64_t highestLeaderToken = 0;
  for (const auto& [address, state] : members_) {
    const std::string& leaderPart = state.lastHeartbeat.part;
    if (!IsPeer(state) || !IsAlive(state) ||
        state.lastHeartbeat.leaderToken == 0 ||
        (!leaderPart.empty() && leaderPart != self_.zone)) {
      continue;
    }
    highestLeaderToken =
      std::max(highestLeaderToken, state.lastHeartbeat.leaderToken);
    if (preferredLeader == nullptr ||
        RankOf(state.member) < RankOf(preferredLeader->member)) {
      preferredLeader = &state;
    }
  }
  const bool otherLeads =
    preferredLeader != nullptr &&
    (token_ == 0 || RankOf(preferredLeader->member) < RankOf(self_));
  if (otherLeads) {
    if (token_ != 0) {
      StepDown("another leader is preferred", aEffects);
    }
    minorityFencings_ = 0;
    SetLeader(preferredLeader->member.name, aEffects);
    return;
  }
  if (token_ != 0) {
    if (!ledAsFragment_ && IsFragment()) {
      StepDown("lost most other members", aEffects);
      return;
    }
    if (ShouldYieldToLarger()) {
      StepDown("a larger daemon can take the load", aEffects);
      NotifyAllWithNextTick();
      return;
    }
    // Includes the tokens of leaders that have stepped down since. Each new
    // token costs a poll of every endpoint, so leaders must not outbid each
    // other with every heartbeat.
    if (std::max(highestLeaderToken, highestToken_) > token_) {
      ScheduleRetake();
      RetakeIfDue(aEffects);
    }
    SetLeader(self_.name, aEffects);
    return;
  }
  SetLeader("", aEffects);
  if (canLead_ && !leaving_ && now_ >= backoffUntil_ &&
      now_ - canLeadSince_ >= parameters_.candidacyDelay &&
      !IsDiscoveringAt(now_) && now_ - leaderlessSince_ >= ElectionDelay() &&
      now_ - resumedAt_ >= parameters_.resumeDelay && IsPreferred()) {
    ledAsFragment_ = IsFragment();
    StartTerm(1, "no other leader is known", aEffects);
    NotifyAllWithNextTick();
  }
}

ElectionEffects LeaderElection::Tick()
{
  const std::lock_guard<std::mutex> lock(mutex_);
  ElectionEffects effects;
  now_ = clock_();
  if (now_ - lastTickAt_ > parameters_.memberTimeout) {
    // The process was suspended, so its view of the members is outdated.
    resumedAt_ = now_;
  }
  lastTickAt_ = now_;
  for (auto& [address, state] : members_) {
    if (state.alive && !IsAlive(state)) {
      MarkLost(state, effects);
    } else if (!state.alive && state.heard && state.lostAt == TimePoint() &&
               now_ - state.heardAt > parameters_.memberTimeout) {
      // It may have handed work in before it was found alive here.
      state.lostAt = now_;
      effects.lostMembers.push_back(state.member.name);
    } else if (!state.alive && IsAlive(state)) {
      state.alive = true;
      state.aliveSince = now_;
      effects.joinedMembers.push_back(state.member.name);
    }
  }
  EndBackoffWithMajority();
  Elect(effects);
  RetakeIfDue(effects);
  UpdateHeartbeatIntervals();
  for (auto& [address, state] : members_) {
    ReopenIfSilent(state, effects);
    if (now_ - state.lastSentAt >= state.interval) {
      SendHeartbeat(state, effects);
    }
  }
  return effects;
}

void LeaderElection::SetEndpointsInUse(const EndpointsInUse& aEndpoints)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  endpointsInUse_ = aEndpoints;
}

void LeaderElection::SetShedShare(double aShare)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  shedShare_ = aShare;
  if (aShare <= 0) {
    sheddingSince_.reset();
  } else if (!sheddingSince_) {
    sheddingSince_ = clock_();
  }
}

double LeaderElection::LeaderShedShare() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  if (token_ != 0) {
    return shedShare_;
  }
  for (const auto& [address, state] : members_) {
    if (state.heard && state.member.name == leader_) {
      return state.lastHeartbeat.shedShare;
    }
  }
  return 0;
}

std::string LeaderElection::Leader() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return leader_;
}

bool LeaderElection::IsLeading() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return token_ != 0;
}

}
