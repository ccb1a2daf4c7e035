#ifndef HEMLOCKHAVEN_FLEET_FLEET_H
#define HEMLOCKHAVEN_FLEET_FLEET_H

#include "hemlockhaven/core/Guard.h"
#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/fleet/Dice.h"
#include "hemlockhaven/fleet/Eligibility.h"
#include "hemlockhaven/fleet/Endpoint.h"
#include "hemlockhaven/fleet/EndpointHealth.h"
#include "hemlockhaven/fleet/EndpointSet.h"
#include "hemlockhaven/fleet/PlacementRequest.h"
#include "hemlockhaven/fleet/SpeedModel.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlockhaven {

//! Endpoints and the index by which tasks are placed on them: one set of
//! endpoints with free slots for each of 16 speed classes (steps of 2^(1/4)).
//! Not thread-safe.
class Fleet
{
public:
  static constexpr std::size_t kClasses = Eligibility::kClasses;

  //! What became of the endpoint through a failure.
  enum class Verdict : std::uint8_t
  {
    Kept,
    Ejected,
  };

  Fleet(std::uint64_t aSeed, GuardHook aGuard);

  //! Sets the endpoints. Those that are missing get nothing new and are
  //! forgotten once their attempts under way have ended.
  void Set(Span<const EndpointDescription* const> aDescriptions);

  //! The id under which the selector and needs are cached.
  EligibilityId FindEligibility(const Selector& aSelector, const Needs& aNeeds);
  void Pin(EligibilityId aId) { eligibilities_[aId].Pin(); }
  void Unpin(EligibilityId aId) { eligibilities_[aId].Unpin(); }
  const EndpointSet& EligibleEndpoints(EligibilityId aId) const
  {
    return eligibilities_[aId].Members();
  }

  //! The condition that rules out most of the known endpoints (64 are looked
  //! at); empty if none is known.
  std::string ExplainMismatch(EligibilityId aId) const;

  //! Chooses an endpoint; none if no eligible one has a free slot or if
  //! waiting for a faster class ends sooner.
  std::optional<EndpointIndex> Choose(const PlacementRequest& aRequest);

  //! Takes a slot of an endpoint that has a free one.
  bool Start(EndpointIndex aIndex);

  // Ends an attempt and gives its slot back.
  void EndSucceeded(EndpointIndex aIndex,
                    SpeedModel::Work& aWork,
                    Duration aElapsed,
                    TimePoint aNow);
  Verdict EndFailed(EndpointIndex aIndex, bool aIsTaskAtFault, TimePoint aNow);
  Verdict EndRefused(EndpointIndex aIndex, bool aIsFailure, TimePoint aNow);

  //! Takes a failure back that proved to be the task's.
  void Forgive(std::string_view aEndpointId);

  //! Ends back-offs that are over; true if a slot became free.
  bool EndBackOffs(TimePoint aNow);

  //! Starts probations that are due, lets stale speeds fade and keeps the
  //! fleet's mean slowness near 1; returns the number of started probations.
  std::size_t Tick(TimePoint aNow);

  const Endpoint& At(EndpointIndex aIndex) const
  {
    return members_[aIndex]->endpoint;
  }
  const EndpointHealth& HealthOf(EndpointIndex aIndex) const
  {
    return members_[aIndex]->health;
  }
  double SlownessOf(EndpointIndex aIndex) const
  {
    return SpeedModel::Factor(members_[aIndex]->slowness);
  }
  Duration ScaleTo(EndpointIndex aIndex, Duration aWork) const
  {
    return SpeedModel::Scale(aWork, members_[aIndex]->slowness);
  }

  //! Endpoints with a free slot, whatever their class.
  const EndpointSet& FreeEndpoints() const { return free_; }
  std::size_t OpenCount() const { return open_; }
  std::size_t OpenSlots() const { return openSlots_; }

  //! All indices below this one may be in use.
  EndpointIndex IndexEnd() const
  {
    return static_cast<EndpointIndex>(members_.size());
  }
  bool IsUsed(EndpointIndex aIndex) const
  {
    return members_[aIndex] != nullptr;
  }

private:
  struct Member
  {
    explicit Member(const EndpointDescription& aDescription)
      : endpoint(aDescription)
    {
    }

    Endpoint endpoint;
    EndpointHealth health;
    SpeedModel::Slowness slowness;
    std::size_t speedClass = 0;
    std::uint32_t countedRunning = 0; //!< Counted in running_.
    bool isCounted = false;           //!< Whether it is in its class.
  };

  EndpointIndex Add(const EndpointDescription& aDescription);
  void Refresh(EndpointIndex aIndex);
  void UpdateEligibility(EndpointIndex aIndex);
  void RemoveIfUnused(EndpointIndex aIndex);
  void CountOutcome(Member& aMember, const EndpointHealth& aBefore);
  Verdict Judge(EndpointIndex aIndex, TimePoint aNow);
  bool IsWaitShorter(std::size_t aClass,
                     const PlacementRequest& aRequest) const;
  std::optional<EndpointIndex> ChooseOf(const EndpointSet& aFree,
                                        const EndpointSet& aEligible);
  //! The one with more free slots of an endpoint and a second pick.
  EndpointIndex EmptierOf(EndpointIndex aFirst,
                          const EndpointSet& aFree,
                          const EndpointSet& aEligible);
  static std::size_t ClassOf(const Member& aMember);
  void CountInClass(EndpointIndex aIndex, bool aIsAdded);

  GuardHook guard_;
  Dice dice_;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<EndpointIndex> unused_;
  std::unordered_map<std::string, EndpointIndex> byId_;
  std::vector<Eligibility> eligibilities_;
  std::unordered_multimap<std::size_t, EligibilityId> eligibilityByHash_;
  std::array<EndpointSet, kClasses> freeInClass_;
  std::array<EndpointSet, kClasses> inClass_; //!< Healthy ones.
  std::array<std::size_t, kClasses> running_{};
  EndpointSet probation_; //!< With their one slot free.
  EndpointSet free_;      //!< All with a free slot.
  std::vector<std::pair<TimePoint, EndpointIndex>> backOffs_;
  std::size_t open_ = 0;
  std::size_t openSlots_ = 0;
  std::size_t ejected_ = 0;
  std::size_t samples_ = 0;  //!< Sum over the endpoints' latest outcomes.
  std::size_t failures_ = 0; //!< Failed ones among them.
};

}

#endif
