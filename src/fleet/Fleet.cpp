#include "hemlockhaven/fleet/Fleet.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <utility>

namespace hemlockhaven {

namespace {

// Selectors are callers' text, so their number has to be bounded. Beyond it
// ids without queued tasks are reused.
constexpr std::size_t kMaxEligibilities = 4096;

std::size_t HashOf(const Selector& aSelector, const Needs& aNeeds)
{
  const std::size_t sizes = aNeeds.cores * std::uint64_t{ 31 } +
                            aNeeds.memoryMb * 1009U + aNeeds.accelerators;
  return std::hash<std::string_view>()(aSelector.Text()) ^
         (sizes * 0x9e3779b9U);
}

// Slowness at the middle of each class, relative to class 0.
const std::array<double, Fleet::kClasses>& ClassSlowness()
{
  static const std::array<double, Fleet::kClasses> kSlowness = [] {
    std::array<double, Fleet::kClasses> slowness{};
    for (std::size_t number = 0; number < slowness.size(); ++number) {
      slowness.at(number) = std::exp2(static_cast<double>(number) / 4);
    }
    return slowness;
  }();
  return kSlowness;
}

}

Fleet::Fleet(std::uint64_t aSeed, GuardHook aGuard)
  : guard_(std::move(aGuard))
  , dice_(aSeed)
{
}

void Fleet::Set(Span<const EndpointDescription* const> aDescriptions)
{
  const bool isLeavingHeeded =
    IsGuardOn(guard_, Guard::LeavingEndpointGetsNothing);
  std::vector<bool> isListed(members_.size() + aDescriptions.size());
  for (const EndpointDescription* description : aDescriptions) {
    const auto known = byId_.find(description->id);
    const EndpointIndex index =
      known == byId_.end() ? Add(*description) : known->second;
    EndpointDescription taken = *description;
    taken.leaving = taken.leaving && isLeavingHeeded;
    members_[index]->endpoint.Update(taken);
    isListed[index] = true;
  }
  for (EndpointIndex index = 0; index < members_.size(); ++index) {
    if (!members_[index]) {
      continue;
    }
    if (!isListed[index]) {
      members_[index]->endpoint.Remove();
    }
    UpdateEligibility(index);
    Refresh(index);
    RemoveIfUnused(index);
  }
  open_ = 0;
  openSlots_ = 0;
  for (const auto& member : members_) {
    if (member && member->endpoint.IsOpen()) {
      ++open_;
      openSlots_ += member->endpoint.Description().slots;
    }
  }
}

EligibilityId Fleet::FindEligibility(const Selector& aSelector,
                                     const Needs& aNeeds)
{
  const std::size_t hash = HashOf(aSelector, aNeeds);
  const auto [first, last] = eligibilityByHash_.equal_range(hash);
  for (auto at = first; at != last; ++at) {
    if (eligibilities_[at->second].IsFor(aSelector, aNeeds)) {
      return at->second;
    }
  }
  auto id = static_cast<EligibilityId>(eligibilities_.size());
  if (id >= kMaxEligibilities) {
    const auto unused = std::find_if(
      eligibilityByHash_.begin(),
      eligibilityByHash_.end(),
      [this](auto& aItem) { return !eligibilities_[aItem.second].IsPinned(); });
    if (unused != eligibilityByHash_.end()) {
      id = unused->second;
      eligibilityByHash_.erase(unused);
    }
  }
  Eligibility eligibility(aSelector, aNeeds);
  for (EndpointIndex index = 0; index < members_.size(); ++index) {
    if (members_[index]) {
      eligibility.Update(index,
                         members_[index]->endpoint.Description(),
                         members_[index]->endpoint.IsOpen());
    }
  }
  for (std::size_t number = 0; number < kClasses; ++number) {
    eligibility.healthyInClass.at(number) = static_cast<std::uint32_t>(
      EndpointSet::CountCommon(inClass_.at(number), eligibility.Members()));
  }
  if (id == eligibilities_.size()) {
    eligibilities_.push_back(std::move(eligibility));
  } else {
    eligibilities_[id] = std::move(eligibility);
  }
  eligibilityByHash_.emplace(hash, id);
  return id;
}

std::string Fleet::ExplainMismatch(EligibilityId aId) const
{
  constexpr std::size_t kMostLookedAt = 64;
  std::map<std::string, std::size_t> counts;
  std::size_t lookedAt = 0;
  for (const auto& member : members_) {
    if (member && member->endpoint.IsOpen() && lookedAt < kMostLookedAt) {
      ++lookedAt;
      ++counts[eligibilities_[aId].ExplainMismatch(
        member->endpoint.Description())];
    }
  }
  const auto most = std::max_element(
    counts.begin(), counts.end(), [](auto& aLeft, auto& aRight) {
      return aLeft.second < aRight.second;
    });
  return most == counts.end() ? "" : most->first;
}

std::optional<EndpointIndex> Fleet::Choose(const PlacementRequest& aRequest)
{
  const EndpointSet& eligible = EligibleEndpoints(aRequest.eligibility);
  const bool mayProbe = aRequest.idempotent || !aRequest.isIdempotentQueued;
  if (mayProbe && probation_.Count() > 0) {
    const auto probed = ChooseOf(probation_, eligible);
    if (probed) {
      return probed;
    }
  }
  for (std::size_t number = 0; number < kClasses; ++number) {
    const EndpointSet& free = freeInClass_[number];
    if (free.Count() == 0) {
      continue;
    }
    const auto first = EndpointSet::PickCommon(free, eligible, dice_.Next());
    if (first) {
      if (IsWaitShorter(number, aRequest)) {
        return std::nullopt;
      }
      return EmptierOf(*first, free, eligible);
    }
  }
  // An endpoint on probation is better than none.
  return ChooseOf(probation_, eligible);
}

bool Fleet::Start(EndpointIndex aIndex)
{
  Member& member = *members_[aIndex];
  const std::uint32_t slots = member.endpoint.Description().slots;
  const bool started = member.endpoint.Start(member.health.AllowedSlots(slots));
  Refresh(aIndex);
  return started;
}

void Fleet::EndSucceeded(EndpointIndex aIndex,
                         SpeedModel::Work& aWork,
                         Duration aElapsed,
                         TimePoint aNow)
{
  Member& member = *members_[aIndex];
  const EndpointHealth before = member.health;
  member.endpoint.End();
  member.endpoint.ForgetRefusals();
  member.health.Succeeded(member.endpoint.Description().slots);
  CountOutcome(member, before);
  SpeedModel::Learn(aWork, member.slowness, aElapsed, aNow);
  Refresh(aIndex);
  RemoveIfUnused(aIndex);
}

Fleet::Verdict Fleet::EndFailed(EndpointIndex aIndex,
                                bool aIsTaskAtFault,
                                TimePoint aNow)
{
  members_[aIndex]->endpoint.End();
  const Verdict verdict = aIsTaskAtFault ? Verdict::Kept : Judge(aIndex, aNow);
  Refresh(aIndex);
  RemoveIfUnused(aIndex);
  return verdict;
}

Fleet::Verdict Fleet::EndRefused(EndpointIndex aIndex,
                                 bool aIsFailure,
                                 TimePoint aNow)
{
  Member& member = *members_[aIndex];
  member.endpoint.End();
  if (!member.endpoint.IsBackingOff()) {
    backOffs_.emplace_back(member.endpoint.BackOff(aNow), aIndex);
  }
  const Verdict verdict = aIsFailure ? Judge(aIndex, aNow) : Verdict::Kept;
  Refresh(aIndex);
  RemoveIfUnused(aIndex);
  return verdict;
}

void Fleet::Forgive(std::string_view aEndpointId)
{
  const auto known = byId_.find(std::string(aEndpointId));
  if (known != byId_.end()) {
    Member& member = *members_[known->second];
    const EndpointHealth before = member.health;
    member.health.Forgive();
    CountOutcome(member, before);
  }
}

bool Fleet::EndBackOffs(TimePoint aNow)
{
  bool isFreed = false;
  for (std::size_t at = 0; at < backOffs_.size();) {
    const auto [until, index] = backOffs_[at];
    if (aNow < until) {
      ++at;
      continue;
    }
    backOffs_[at] = backOffs_.back();
    backOffs_.pop_back();
    if (members_[index] && members_[index]->endpoint.EndBackOff(aNow)) {
      Refresh(index);
      isFreed = true;
    }
  }
  return isFreed;
}

std::size_t Fleet::Tick(TimePoint aNow)
{
  // Work and slowness are known only up to a common factor. Without the pull
  // to 1 it could drift out of the range of the classes.
  constexpr double kPull = 0.01;
  double sum = 0;
  std::size_t count = 0;
  for (const auto& member : members_) {
    sum += member ? member->slowness.log : 0;
    count += member ? 1 : 0;
  }
  const double pull = count == 0 ? 0 : kPull * sum / static_cast<double>(count);
  std::size_t returned = 0;
  for (EndpointIndex index = 0; index < members_.size(); ++index) {
    if (!members_[index]) {
      continue;
    }
    Member& member = *members_[index];
    member.slowness.log -= pull;
    SpeedModel::Fade(member.slowness, aNow);
    const bool isReturned = member.health.ReturnIfDue(aNow);
    returned += isReturned ? 1 : 0;
    if (isReturned || ClassOf(member) != member.speedClass) {
      Refresh(index);
    }
  }
  return returned;
}

EndpointIndex Fleet::Add(const EndpointDescription& aDescription)
{
  EndpointIndex index = IndexEnd();
  if (unused_.empty()) {
    members_.push_back(std::make_unique<Member>(aDescription));
  } else {
    index = unused_.back();
    unused_.pop_back();
    members_[index] = std::make_unique<Member>(aDescription);
  }
  byId_.emplace(aDescription.id, index);
  return index;
}

void Fleet::Refresh(EndpointIndex aIndex)
{
  Member& member = *members_[aIndex];
  const std::uint32_t slots = member.endpoint.Description().slots;
  const bool isFree =
    member.endpoint.FreeSlots(member.health.AllowedSlots(slots)) > 0;
  const bool isProbing =
    member.health.Current() == EndpointHealth::State::Probation;
  const std::size_t speedClass = ClassOf(member);
  const bool isCounted = member.endpoint.IsOpen() &&
                         !member.endpoint.IsBackingOff() &&
                         !member.health.IsEjected();
  const auto put = [aIndex](EndpointSet& aSet, bool aIsMember) {
    if (aIsMember) {
      aSet.Insert(aIndex);
    } else {
      aSet.Erase(aIndex);
    }
  };
  running_.at(member.speedClass) -= member.countedRunning;
  if (speedClass != member.speedClass || isCounted != member.isCounted) {
    CountInClass(aIndex, false);
    freeInClass_.at(member.speedClass).Erase(aIndex);
    member.speedClass = speedClass;
    member.isCounted = isCounted;
    CountInClass(aIndex, true);
  }
  member.countedRunning = isCounted ? member.endpoint.Running() : 0;
  running_.at(speedClass) += member.countedRunning;
  put(freeInClass_.at(speedClass), isFree && !isProbing);
  put(probation_, isFree && isProbing);
  put(free_, isFree);
}

void Fleet::CountInClass(EndpointIndex aIndex, bool aIsAdded)
{
  const Member& member = *members_[aIndex];
  if (!member.isCounted) {
    return;
  }
  EndpointSet& inClass = inClass_.at(member.speedClass);
  if (aIsAdded) {
    inClass.Insert(aIndex);
  } else {
    inClass.Erase(aIndex);
  }
  for (Eligibility& eligibility : eligibilities_) {
    if (eligibility.Members().Contains(aIndex)) {
      eligibility.healthyInClass.at(member.speedClass) += aIsAdded ? 1U : -1U;
    }
  }
}

void Fleet::UpdateEligibility(EndpointIndex aIndex)
{
  const Member& member = *members_[aIndex];
  CountInClass(aIndex, false);
  for (Eligibility& eligibility : eligibilities_) {
    eligibility.Update(
      aIndex, member.endpoint.Description(), member.endpoint.IsOpen());
  }
  CountInClass(aIndex, true);
}

void Fleet::RemoveIfUnused(EndpointIndex aIndex)
{
  Member& member = *members_[aIndex];
  if (member.endpoint.IsPresent() || member.endpoint.Running() > 0) {
    return;
  }
  Refresh(aIndex);
  samples_ -= member.health.Samples();
  failures_ -= member.health.Failures();
  ejected_ -= member.health.IsEjected() ? 1 : 0;
  backOffs_.erase(std::remove_if(backOffs_.begin(),
                                 backOffs_.end(),
                                 [aIndex](const auto& aItem) {
                                   return aItem.second == aIndex;
                                 }),
                  backOffs_.end());
  byId_.erase(member.endpoint.Description().id);
  members_[aIndex].reset();
  unused_.push_back(aIndex);
}

void Fleet::CountOutcome(Member& aMember, const EndpointHealth& aBefore)
{
  samples_ += aMember.health.Samples();
  samples_ -= aBefore.Samples();
  failures_ += aMember.health.Failures();
  failures_ -= aBefore.Failures();
  ejected_ += aMember.health.IsEjected() ? 1 : 0;
  ejected_ -= aBefore.IsEjected() ? 1 : 0;
}

Fleet::Verdict Fleet::Judge(EndpointIndex aIndex, TimePoint aNow)
{
  // More than 30% failing at once points at the work or the network, and the
  // rest could not carry the load.
  constexpr double kMostEjected = 0.3;
  Member& member = *members_[aIndex];
  const EndpointHealth before = member.health;
  const double rate = samples_ == 0 ? 0.0
                                    : static_cast<double>(failures_) /
                                        static_cast<double>(samples_);
  bool isOutlier = member.health.Failed(rate);
  const auto after =
    static_cast<double>(ejected_ + (before.IsEjected() ? 0 : 1));
  isOutlier = isOutlier && after <= kMostEjected * static_cast<double>(open_);
  if (isOutlier) {
    member.health.Eject(aNow);
  }
  CountOutcome(member, before);
  return isOutlier ? Verdict::Ejected : Verdict::Kept;
}

bool Fleet::IsWaitShorter(std::size_t aClass,
                          const PlacementRequest& aRequest) const
{
  // Waiting for a class that is only one step faster would trade certain
  // waiting for as much run time and keep a queue at all times.
  constexpr double kLeastGain = 1.25;
  // Waiting is as long for a short task as for a long one of its kind, so it
  // costs the short one a multiple of its own time.
  constexpr double kWaitCost = 8;
  // All times are in units of the task's time on class 0. Slots of faster
  // classes end tasks at the rate of their number over their slowness.
  const Eligibility& eligible = eligibilities_[aRequest.eligibility];
  const auto& slowness = ClassSlowness();
  const double limit = slowness.at(aClass) / kLeastGain;
  double rate = 0;
  for (std::size_t number = 0; number < aClass && slowness.at(number) < limit;
       ++number) {
    if (running_.at(number) == 0 || eligible.healthyInClass.at(number) == 0) {
      continue;
    }
    rate += static_cast<double>(running_.at(number)) *
            eligible.healthyInClass.at(number) /
            static_cast<double>(inClass_.at(number).Count()) /
            slowness.at(number);
    const double wait = static_cast<double>(aRequest.queued) / rate;
    if (kWaitCost * wait + slowness.at(number) < limit) {
      return true;
    }
  }
  return false;
}

std::optional<EndpointIndex> Fleet::ChooseOf(const EndpointSet& aFree,
                                             const EndpointSet& aEligible)
{
  const auto first = EndpointSet::PickCommon(aFree, aEligible, dice_.Next());
  return first ? std::optional(EmptierOf(*first, aFree, aEligible)) : first;
}

EndpointIndex Fleet::EmptierOf(EndpointIndex aFirst,
                               const EndpointSet& aFree,
                               const EndpointSet& aEligible)
{
  const auto second = EndpointSet::PickCommon(aFree, aEligible, dice_.Next());
  const auto freeSlots = [this](EndpointIndex aIndex) {
    const Member& member = *members_[aIndex];
    const std::uint32_t slots = member.endpoint.Description().slots;
    return member.endpoint.FreeSlots(member.health.AllowedSlots(slots));
  };
  return freeSlots(*second) > freeSlots(aFirst) ? *second : aFirst;
}

std::size_t Fleet::ClassOf(const Member& aMember)
{
  constexpr double kClassesPerLog = 4 * 1.4426950408889634; // 4 / ln 2
  constexpr double kMiddle = 8;
  // Hysteresis keeps an endpoint on a border from changing its class with
  // every sample.
  constexpr double kKept = 0.75;
  const double exact = kMiddle + kClassesPerLog * aMember.slowness.log;
  if (std::abs(exact - static_cast<double>(aMember.speedClass)) < kKept) {
    return aMember.speedClass;
  }
  return static_cast<std::size_t>(
    std::clamp(exact + 0.5, 0.0, static_cast<double>(kClasses - 1)));
}

}
