#include "hemlockhaven/scheduler/Placement.h"

#include <tuple>

namespace hemlockhaven {

namespace {

Duration Scale(Duration aDuration, double aFactor)
{
  return Duration(static_cast<std::int64_t>(
    static_cast<double>(aDuration.count()) * aFactor));
}

//! Speeds that differ by less than this share are learned noise.
constexpr double kSpeedStep = 0.15;

int SpeedClass(double aSpeed)
{
  return static_cast<int>(aSpeed / kSpeedStep);
}

}

TimePoint PredictEnd(const PlacementDemand& aDemand,
                     const PlacementCandidate& aCandidate)
{
  return aDemand.now +
         Scale(aDemand.work, aCandidate.slowdown / aCandidate.speed);
}

std::optional<std::size_t> ChooseEndpoint(
  Span<const PlacementCandidate> aCandidates,
  const PlacementDemand& aDemand)
{
  const PlacementCandidate* inTime = nullptr;
  const PlacementCandidate* first = nullptr;
  for (const PlacementCandidate& candidate : aCandidates) {
    if (!aDemand.taskResources.FitsInto(candidate.free)) {
      continue;
    }
    const TimePoint end = PredictEnd(aDemand, candidate);
    if (first == nullptr || end < PredictEnd(aDemand, *first)) {
      first = &candidate;
    }
    const TimePoint careful =
      aDemand.now + Scale(end - aDemand.now, aDemand.margin);
    if (careful > aDemand.latestEnd) {
      continue;
    }
    const auto rank = [](const PlacementCandidate& aCandidate) {
      return std::make_tuple(SpeedClass(aCandidate.speed / aCandidate.slowdown),
                             aCandidate.free.cpuMillis);
    };
    if (inTime == nullptr || rank(candidate) < rank(*inTime)) {
      inTime = &candidate;
    }
  }
  if (inTime != nullptr) {
    return inTime->id;
  }
  const bool mayWait =
    aDemand.fastestSpeed > 0 &&
    aDemand.now + Scale(aDemand.work, 1 / aDemand.fastestSpeed) <=
      aDemand.latestEnd;
  if (first == nullptr ||
      (mayWait && PredictEnd(aDemand, *first) > aDemand.latestEnd)) {
    return std::nullopt;
  }
  return first->id;
}

}
