#include "hemlockhaven/dispatch/DispatcherPolicy.h"

#include <algorithm>
#include <atomic>
#include <iterator>
#include <memory>
#include <string>

namespace hemlockhaven {

namespace {

using Place = decltype(DispatcherPolicy::place);
using Order = decltype(DispatcherPolicy::order);

template<typename T>
struct Named
{
  std::string_view name;
  T (*make)();
};

Place MakeRandom()
{
  return
    [](const Fleet& aFleet, const PlacementRequest& aRequest, Dice& aDice) {
      return EndpointSet::PickCommon(
        aFleet.FreeEndpoints(),
        aFleet.EligibleEndpoints(aRequest.eligibility),
        aDice.Next());
    };
}

Place MakeRoundRobin()
{
  return [next = std::make_shared<std::atomic<EndpointIndex>>(0)](
           const Fleet& aFleet, const PlacementRequest& aRequest, Dice&) {
    const EndpointSet& free = aFleet.FreeEndpoints();
    const EndpointSet& eligible =
      aFleet.EligibleEndpoints(aRequest.eligibility);
    auto chosen = EndpointSet::NextCommon(free, eligible, *next);
    if (!chosen) {
      chosen = EndpointSet::NextCommon(free, eligible, 0);
    }
    *next = chosen ? *chosen + 1 : 0;
    return chosen;
  };
}

Place MakeLeastOutstanding()
{
  return
    [](const Fleet& aFleet, const PlacementRequest& aRequest, Dice& aDice) {
      const EndpointSet& free = aFleet.FreeEndpoints();
      const EndpointSet& eligible =
        aFleet.EligibleEndpoints(aRequest.eligibility);
      std::optional<EndpointIndex> least;
      std::uint64_t ties = 1;
      for (auto at = EndpointSet::NextCommon(free, eligible, 0); at;
           at = EndpointSet::NextCommon(free, eligible, *at + 1)) {
        const std::uint32_t running = aFleet.At(*at).Running();
        if (!least || running < aFleet.At(*least).Running()) {
          least = at;
          ties = 1;
        } else if (running == aFleet.At(*least).Running() &&
                   aDice.Next() % ++ties == 0) {
          least = at;
        }
      }
      return least;
    };
}

Order MakeFifo()
{
  return [](const TaskGroup&) { return QueuePosition{}; };
}

Order MakeStrictPriority()
{
  return [](const TaskGroup& aGroup) {
    QueuePosition position;
    position.rank = static_cast<std::uint32_t>(Urgency::Urgent) -
                    static_cast<std::uint32_t>(aGroup.spec.urgency);
    return position;
  };
}

constexpr Named<Place> kPlacements[] = {
  { "speed-classes", [] { return Place(); } },
  { "random", MakeRandom },
  { "round-robin", MakeRoundRobin },
  { "least-outstanding", MakeLeastOutstanding },
};

constexpr Named<Order> kOrders[] = {
  { "fair", [] { return Order(); } },
  { "fifo", MakeFifo },
  { "strict-priority", MakeStrictPriority },
};

template<typename T, std::size_t kCount>
const Named<T>* GetNamed(const Named<T> (&aTable)[kCount],
                         std::string_view aName)
{
  const auto* found =
    std::find_if(std::begin(aTable),
                 std::end(aTable),
                 [aName](const Named<T>& aRow) { return aRow.name == aName; });
  return found == std::end(aTable) ? nullptr : found;
}

}

Result<DispatcherPolicy> DispatcherPolicy::ByName(std::string_view aPlacement,
                                                  std::string_view aOrder)
{
  const auto* placement = GetNamed(kPlacements, aPlacement);
  const auto* order = GetNamed(kOrders, aOrder);
  if (placement == nullptr || order == nullptr) {
    return Error::NotRun(
      "choose policy",
      Reason::ConfigurationInvalid,
      "no policy is named " +
        std::string(placement == nullptr ? aPlacement : aOrder));
  }
  return DispatcherPolicy{ placement->make(), order->make() };
}

}
