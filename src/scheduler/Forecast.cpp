#include "hemlockhaven/scheduler/Forecast.h"

#include <algorithm>

namespace hemlockhaven {

namespace {

bool IsEarlier(const ResourceRelease& aLeft, const ResourceRelease& aRight)
{
  return aLeft.at < aRight.at;
}

}

void Forecast::AddEndpoint(const Resources& aFree,
                           double aSpeed,
                           Span<const ResourceRelease> aReleases)
{
  Endpoint endpoint;
  endpoint.free = aFree;
  endpoint.speed = aSpeed;
  endpoint.from = now_;
  endpoint.releases.assign(aReleases.begin(), aReleases.end());
  std::sort(endpoint.releases.begin(), endpoint.releases.end(), IsEarlier);
  endpoints_.push_back(std::move(endpoint));
}

std::optional<TimePoint> Forecast::EarliestStart(
  const Endpoint& aEndpoint,
  const Resources& aTaskResources) const
{
  if (aTaskResources.FitsInto(aEndpoint.free)) {
    return aEndpoint.from;
  }
  Resources free = aEndpoint.free;
  for (const ResourceRelease& release : aEndpoint.releases) {
    free += release.resources;
    if (aTaskResources.FitsInto(free)) {
      // An overdue run is expected to end at any moment.
      return std::max(release.at, aEndpoint.from);
    }
  }
  return std::nullopt;
}

void Forecast::Reserve(Endpoint& aEndpoint,
                       TimePoint aStart,
                       TimePoint aEnd,
                       const Resources& aTaskResources)
{
  auto& releases = aEndpoint.releases;
  auto firstKept = releases.begin();
  while (firstKept != releases.end() && firstKept->at <= aStart) {
    aEndpoint.free += firstKept->resources;
    ++firstKept;
  }
  releases.erase(releases.begin(), firstKept);
  aEndpoint.free -= aTaskResources;
  aEndpoint.from = std::max(aEndpoint.from, aStart);
  const ResourceRelease release{ aEnd, aTaskResources };
  releases.insert(
    std::upper_bound(releases.begin(), releases.end(), release, IsEarlier),
    release);
}

std::optional<TimePoint> Forecast::Place(const PlacementDemand& aDemand)
{
  Endpoint* chosen = nullptr;
  TimePoint chosenStart{};
  TimePoint chosenEnd{};
  bool isChosenInTime = false;
  for (Endpoint& endpoint : endpoints_) {
    const auto start = EarliestStart(endpoint, aDemand.taskResources);
    if (!start) {
      continue;
    }
    const auto run = static_cast<std::int64_t>(
      static_cast<double>(aDemand.predictedRunTime.count()) / endpoint.speed);
    const TimePoint from = std::max(*start, aDemand.now);
    const TimePoint end = from + Duration(run);
    const bool isInTime = end <= aDemand.latestEnd;
    // Consistent with ChooseEndpoint: of the endpoints in time the earliest
    // start, and at the same start the slowest endpoint; otherwise the earliest
    // end.
    bool isBetter = chosen == nullptr || (isInTime && !isChosenInTime);
    if (chosen != nullptr && isInTime == isChosenInTime) {
      isBetter = isInTime
                   ? from < chosenStart ||
                       (from == chosenStart && endpoint.speed < chosen->speed)
                   : end < chosenEnd;
    }
    if (isBetter) {
      chosen = &endpoint;
      chosenStart = from;
      chosenEnd = end;
      isChosenInTime = isInTime;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  Reserve(*chosen, chosenStart, chosenEnd, aDemand.taskResources);
  return chosenEnd;
}

}
