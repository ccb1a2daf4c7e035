#include "hemlockhaven/scheduler/NearWait.h"

#include <algorithm>

namespace hemlockhaven {

namespace {

Duration RunTime(const ExpectedRun& aRun)
{
  return std::chrono::duration_cast<Duration>(aRun.end - aRun.start);
}

//! The latest start at which the run ends in time.
TimePoint LatestStart(const ExpectedRun& aRun,
                      TimePoint aLatestEnd,
                      double aMargin)
{
  return aLatestEnd - Duration(static_cast<std::int64_t>(
                        static_cast<double>(RunTime(aRun).count()) * aMargin));
}

}

bool PrefersNear(const ExpectedRun& aNear,
                 const ExpectedRun& aAway,
                 TimePoint aLatestEnd,
                 double aMargin)
{
  const bool isNearInTime =
    aNear.start <= LatestStart(aNear, aLatestEnd, aMargin);
  const bool isAwayInTime =
    aAway.start <= LatestStart(aAway, aLatestEnd, aMargin);
  if (isNearInTime != isAwayInTime) {
    return isNearInTime;
  }
  if (isNearInTime && aNear.start <= aAway.start) {
    return true;
  }
  // A wait must not last until a start away would be late.
  return aNear.end <= aAway.end &&
         (!isAwayInTime ||
          aNear.start <= LatestStart(aAway, aLatestEnd, aMargin));
}

NearWaitDecision DecideNearWait(const NearWaitInputs& aInputs)
{
  const auto& near = aInputs.near;
  const auto& away = aInputs.away;
  const bool isNearFree = near && near->start <= aInputs.now;
  const bool isAwayFree = away && away->start <= aInputs.now;
  if (!isAwayFree) {
    return { isNearFree ? NearWaitAction::StartNear : NearWaitAction::Queue,
             {} };
  }
  if (!near || !PrefersNear(*near, *away, aInputs.latestEnd, aInputs.margin)) {
    return { NearWaitAction::StartAway, {} };
  }
  if (isNearFree) {
    return { NearWaitAction::StartNear, {} };
  }
  const TimePoint latestAway =
    LatestStart(*away, aInputs.latestEnd, aInputs.margin);
  TimePoint until = away->end - RunTime(*near);
  if (aInputs.now <= latestAway) {
    until = std::min(until, latestAway);
  } else {
    // Away is late already; near may be in time.
    const TimePoint latestNear =
      LatestStart(*near, aInputs.latestEnd, aInputs.margin);
    if (near->start <= latestNear) {
      until = latestNear;
    }
  }
  return { NearWaitAction::WaitNear, until };
}

}
