#include "hemlockhaven/scheduler/Placement.h"

#include <tuple>

namespace hemlockhaven {

namespace {

Duration Scale(Duration aDuration, double aFactor)
{
  return Duration(static_cast<std::int64_t>(
    static_cast<double>(aDuration.count()) * aFactor));
}

//! Smaller differences between learned speeds are noise.
constexpr double kSpeedClassWidth = 0.15;

int SpeedClass(double aSpeed)
{
  return static_cast<int>(aSpeed / kSpeedClassWidth);
}

}

TimePoint PredictEnd(const PlacementDemand& aDemand,
                     const PlacementCandidate& aCandidate)
{
  return aDemand.now + Scale(aDemand.predictedRunTime,
                             aCandidate.slowdown / aCandidate.speed);
}

std::optional<std::size_t> ChooseEndpoint(
  Span<const PlacementCandidate> aCandidates,
  const PlacementDemand& aDemand)
{
  const PlacementCandidate* bestInTime = nullptr;
  const PlacementCandidate* earliest = nullptr;
  for (const PlacementCandidate& candidate : aCandidates) {
    if (!aDemand.taskResources.FitsInto(candidate.free)) {
      continue;
    }
    const TimePoint end = PredictEnd(aDemand, candidate);
    if (earliest == nullptr || end < PredictEnd(aDemand, *earliest)) {
      earliest = &candidate;
    }
    const TimePoint endWithMargin =
      aDemand.now + Scale(end - aDemand.now, aDemand.margin);
    if (endWithMargin > aDemand.latestEnd) {
      continue;
    }
    const auto rank = [](const PlacementCandidate& aCandidate) {
      return std::make_tuple(aCandidate.isRackWanted,
                             SpeedClass(aCandidate.speed / aCandidate.slowdown),
                             aCandidate.free.cpuMillis);
    };
    if (bestInTime == nullptr || rank(candidate) < rank(*bestInTime)) {
      bestInTime = &candidate;
    }
  }
  if (bestInTime != nullptr) {
    return bestInTime->id;
  }
  const bool canWaitForFastest =
    aDemand.fastestSpeed > 0 &&
    aDemand.now + Scale(aDemand.predictedRunTime, 1 / aDemand.fastestSpeed) <=
      aDemand.latestEnd;
  if (earliest == nullptr ||
      (canWaitForFastest &&
       PredictEnd(aDemand, *earliest) > aDemand.latestEnd)) {
    return std::nullopt;
  }
  return earliest->id;
}

}
