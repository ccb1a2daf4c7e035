// What the election knows of the other daemons: who is alive, who leads, and
// whether some may still be unknown.
#include "hemlockhaven/leadership/LeaderElection.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace hemlockhaven {

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

void LeaderElection::MarkLost(MemberState& aState, ElectionEffects& aEffects)
{
  if (aState.alive) {
    aState.alive = false;
    aState.lostAt = now_;
    aEffects.lostMembers.push_back(aState.member.name);
  }
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
