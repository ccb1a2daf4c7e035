#include "hemlockhaven/leadership/LeaderElection.h"

#include "leadership/Rank.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>
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

bool LeaderElection::SetSeeds(Span<const std::string> aAddresses)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::set<std::string> addresses(aAddresses.begin(), aAddresses.end());
  for (auto entry = members_.begin(); entry != members_.end();) {
    MemberState& state = entry->second;
    const bool wasSeed = state.isSeed;
    state.isSeed = addresses.count(entry->first) > 0;
    const bool isStale = wasSeed && !state.isSeed && state.learnedAs == 0;
    entry = isStale ? members_.erase(entry) : std::next(entry);
  }
  bool isAnyNew = false;
  for (const std::string& address : addresses) {
    if (address != self_.address) {
      const auto [found, isNew] = members_.try_emplace(address);
      found->second.member.address = address;
      found->second.isSeed = true;
      isAnyNew = isAnyNew || isNew;
    }
  }
  return isAnyNew;
}

Duration LeaderElection::MemberTimeout(const MemberState& aState) const
{
  const Duration ownInterval = aState.interval == kNoHeartbeats
                                 ? parameters_.slowHeartbeatInterval
                                 : aState.interval;
  const Duration slowerInterval =
    std::max(aState.lastHeartbeat.interval, ownInterval);
  return std::max(parameters_.memberTimeout,
                  slowerInterval * (parameters_.memberTimeout /
                                    parameters_.heartbeatInterval));
}

bool LeaderElection::IsAlive(const MemberState& aState) const
{
  const Duration timeout = MemberTimeout(aState);
  return aState.heard && !aState.disconnected &&
         aState.heardAt > aState.lostAt &&
         aState.echoedSentAt > aState.lostAt &&
         now_ - aState.heardAt <= timeout &&
         now_ - aState.echoedSentAt <= timeout && !IsLostToLeader(aState);
}

bool LeaderElection::IsLostToLeader(const MemberState& aState) const
{
  if (token_ == 0 || !aState.alive || !IsPeer(aState)) {
    return false;
  }
  const TimePoint since = std::max(aState.aliveSince, leadingSince_);
  const TimePoint lastSign = std::min(aState.heardAt, aState.echoedSentAt);
  return now_ - std::max(since, lastSign) > parameters_.memberTimeout;
}

bool LeaderElection::HasMajority() const
{
  std::size_t aliveCount = 1;
  std::size_t memberCount = 1;
  std::string smallestName = self_.name;
  bool smallestIsAlive = true;
  for (const auto& [address, state] : members_) {
    if (!IsPeer(state) || !state.heard || state.lastHeartbeat.leaving ||
        now_ - state.heardAt > parameters_.memberRetention) {
      continue;
    }
    ++memberCount;
    const bool alive = IsAlive(state);
    aliveCount += alive ? 1 : 0;
    if (state.member.name < smallestName) {
      smallestName = state.member.name;
      smallestIsAlive = alive;
    }
  }
  return 2 * aliveCount > memberCount ||
         (2 * aliveCount == memberCount && smallestIsAlive);
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

bool LeaderElection::IsFragment() const
{
  std::size_t aliveCount = 1;
  std::size_t memberCount = 1;
  for (const auto& [address, state] : members_) {
    if (IsPeer(state) && state.heard && !state.lastHeartbeat.leaving &&
        !state.disconnected &&
        now_ - state.heardAt <= parameters_.memberRetention) {
      ++memberCount;
      aliveCount += IsAlive(state) ? 1 : 0;
    }
  }
  return memberCount > parameters_.smallGroupSize &&
         aliveCount * parameters_.fragmentDivisor < memberCount;
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

void LeaderElection::MarkLost(MemberState& aState, ElectionEffects& aEffects)
{
  if (aState.alive) {
    aState.alive = false;
    aState.lostAt = now_;
    aEffects.lostMembers.push_back(aState.member.name);
  }
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

bool LeaderElection::IsDiscoveringAt(TimePoint aTime) const
{
  const Duration sinceStart = aTime - startedAt_;
  return sinceStart < parameters_.discoveryPeriod ||
         (sinceStart < parameters_.maxDiscoveryPeriod &&
          (!canLeadAll_ ||
           aTime - learnedAt_ < parameters_.discoveryQuietTime));
}

bool LeaderElection::IsDiscovering() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return IsDiscoveringAt(clock_());
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

bool LeaderElection::IsOtherLeaderDivided() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::any_of(members_.begin(), members_.end(), [](const auto& aPair) {
    const Heartbeat& last = aPair.second.lastHeartbeat;
    return aPair.second.alive && last.leaderToken != 0 && !last.part.empty();
  });
}

void LeaderElection::VisitMembers(
  const std::function<void(const Member&)>& aVisitor) const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  aVisitor(self_);
  for (const auto& [address, state] : members_) {
    if (state.learnedAs != 0) {
      aVisitor(state.member);
    }
  }
}

std::vector<EntryVmContact> LeaderElection::EntryVmContacts() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<EntryVmContact> contacts;
  for (const auto& [address, state] : members_) {
    if (state.alive) {
      contacts.push_back({ state.member.name, state.echoedSentAt });
    }
  }
  return contacts;
}

std::vector<KnownLeader> LeaderElection::KnownLeaders() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<KnownLeader> leaders;
  if (token_ != 0) {
    leaders.push_back({ self_.name, self_.incarnation, token_ });
  }
  for (const auto& [address, state] : members_) {
    const std::uint64_t term = state.lastHeartbeat.leaderToken;
    if (state.alive && term != 0) {
      leaders.push_back({ state.member.name, state.member.incarnation, term });
    }
  }
  return leaders;
}

bool LeaderElection::KnowsAllLeaders() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  std::set<std::string_view> ledParts;
  std::set<std::string_view> lostParts;
  if (token_ != 0) {
    ledParts.insert(part_);
  }
  for (const auto& [address, state] : members_) {
    const Heartbeat& last = state.lastHeartbeat;
    if (last.leaderToken == 0 || last.leaving) {
      continue;
    }
    if (state.alive) {
      ledParts.insert(last.part);
    } else if (now_ - state.heardAt <= parameters_.memberRetention) {
      lostParts.insert(last.part);
    }
  }
  return HasMajority() && std::includes(ledParts.begin(),
                                        ledParts.end(),
                                        lostParts.begin(),
                                        lostParts.end());
}

bool LeaderElection::HasHeard(std::string_view aName) const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::any_of(
    members_.begin(), members_.end(), [aName](const auto& aPair) {
      return aPair.second.heard && aPair.second.member.name == aName;
    });
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

bool LeaderElection::IsLost(std::string_view aName) const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::any_of(
    members_.begin(), members_.end(), [aName](const auto& aPair) {
      const MemberState& state = aPair.second;
      return state.member.name == aName && !state.alive &&
             state.lostAt != TimePoint();
    });
}

std::size_t LeaderElection::AliveMemberCount() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<std::size_t>(
    std::count_if(members_.begin(), members_.end(), [](const auto& aPair) {
      return aPair.second.alive;
    }));
}

}
