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
                           Span<const ResourceRelease> aReleases,
                           std::string_view aRack,
                           bool aIsInSample)
{
  Endpoint endpoint;
  endpoint.free = aFree;
  endpoint.speed = aSpeed;
  endpoint.from = now_;
  endpoint.rack = aRack;
  endpoint.isInSample = aIsInSample;
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

Forecast::Choice Forecast::Choose(const PlacementDemand& aDemand, Area aArea)
{
  const double factor = aArea == Area::Away ? aDemand.remoteFactor : 1;
  Choice chosen;
  bool isChosenInTime = false;
  for (Endpoint& endpoint : endpoints_) {
    if (aArea == Area::Any
          ? !endpoint.isInSample
          : (endpoint.rack == aDemand.preferredRack) != (aArea == Area::Near) ||
              (aArea == Area::Away && !endpoint.isInSample)) {
      continue;
    }
    const auto start = EarliestStart(endpoint, aDemand.taskResources);
    if (!start) {
      continue;
    }
    const auto run = static_cast<std::int64_t>(
      static_cast<double>(aDemand.predictedRunTime.count()) * factor /
      endpoint.speed);
    const TimePoint from = std::max(*start, aDemand.now);
    const TimePoint end = from + Duration(run);
    const bool isInTime = end <= aDemand.latestEnd;
    // Consistent with ChooseEndpoint: of the endpoints in time the earliest
    // start, and at the same start the slowest endpoint; otherwise the earliest
    // end.
    bool isBetter = chosen.endpoint == nullptr || (isInTime && !isChosenInTime);
    if (chosen.endpoint != nullptr && isInTime == isChosenInTime) {
      isBetter = isInTime ? from < chosen.run.start ||
                              (from == chosen.run.start &&
                               endpoint.speed < chosen.endpoint->speed)
                          : end < chosen.run.end;
    }
    if (isBetter) {
      chosen = { &endpoint, { from, end } };
      isChosenInTime = isInTime;
    }
  }
  return chosen;
}

std::optional<ExpectedRun> Forecast::PlaceRun(const PlacementDemand& aDemand)
{
  Choice chosen;
  bool isCounted = true;
  if (aDemand.preferredRack.empty()) {
    chosen = Choose(aDemand, Area::Any);
  } else {
    chosen = Choose(aDemand, Area::Near);
    const Choice away = Choose(aDemand, Area::Away);
    if (away.endpoint != nullptr &&
        (chosen.endpoint == nullptr ||
         !PrefersNear(chosen.run, away.run, aDemand.latestEnd, 1))) {
      chosen = away;
      isCounted = awayCount_++ % stride_ == 0;
    }
  }
  if (chosen.endpoint == nullptr) {
    return std::nullopt;
  }
  if (isCounted) {
    Reserve(*chosen.endpoint,
            chosen.run.start,
            chosen.run.end,
            aDemand.taskResources);
  }
  return chosen.run;
}

std::optional<TimePoint> Forecast::Place(const PlacementDemand& aDemand)
{
  const auto run = PlaceRun(aDemand);
  return run ? std::optional<TimePoint>(run->end) : std::nullopt;
}

}
