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

std::optional<TimePoint> Forecast::EarliestStart(const Endpoint& aEndpoint,
                                                 const Resources& aEach) const
{
  if (aEach.FitsInto(aEndpoint.free)) {
    return aEndpoint.from;
  }
  Resources free = aEndpoint.free;
  for (const ResourceRelease& release : aEndpoint.releases) {
    free += release.what;
    if (aEach.FitsInto(free)) {
      // A run that is over its time is expected to end any moment.
      return std::max(release.at, aEndpoint.from);
    }
  }
  return std::nullopt;
}

void Forecast::Reserve(Endpoint& aEndpoint,
                       TimePoint aStart,
                       TimePoint aEnd,
                       const Resources& aEach)
{
  auto& releases = aEndpoint.releases;
  auto past = releases.begin();
  while (past != releases.end() && past->at <= aStart) {
    aEndpoint.free += past->what;
    ++past;
  }
  releases.erase(releases.begin(), past);
  aEndpoint.free -= aEach;
  aEndpoint.from = std::max(aEndpoint.from, aStart);
  const ResourceRelease release{ aEnd, aEach };
  releases.insert(
    std::upper_bound(releases.begin(), releases.end(), release, IsEarlier),
    release);
}

std::optional<TimePoint> Forecast::Place(const PlacementDemand& aDemand)
{
  Endpoint* chosen = nullptr;
  TimePoint chosenStart{};
  TimePoint chosenEnd{};
  bool chosenInTime = false;
  for (Endpoint& endpoint : endpoints_) {
    const auto start = EarliestStart(endpoint, aDemand.taskResources);
    if (!start) {
      continue;
    }
    const auto run = static_cast<std::int64_t>(
      static_cast<double>(aDemand.work.count()) / endpoint.speed);
    const TimePoint from = std::max(*start, aDemand.now);
    const TimePoint end = from + Duration(run);
    const bool inTime = end <= aDemand.latestEnd;
    // Like ChooseEndpoint: of those in time the earliest start, and at the
    // same start the slowest endpoint; else the earliest end.
    bool better = chosen == nullptr || (inTime && !chosenInTime);
    if (chosen != nullptr && inTime == chosenInTime) {
      better = inTime ? from < chosenStart || (from == chosenStart &&
                                               endpoint.speed < chosen->speed)
                      : end < chosenEnd;
    }
    if (better) {
      chosen = &endpoint;
      chosenStart = from;
      chosenEnd = end;
      chosenInTime = inTime;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  Reserve(*chosen, chosenStart, chosenEnd, aDemand.taskResources);
  return chosenEnd;
}

}
