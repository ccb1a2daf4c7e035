#ifndef HEMLOCKHAVEN_SCHEDULER_PLACEMENT_H
#define HEMLOCKHAVEN_SCHEDULER_PLACEMENT_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/scheduler/Resources.h"

#include <cstddef>
#include <optional>

namespace hemlockhaven {

//! An endpoint that a task may use.
struct PlacementCandidate
{
  std::size_t id = 0; //!< Given back by ChooseEndpoint.
  Resources free;
  double speed = 1;
  double slowdown = 1; //!< Run time factor for this task, for example data
                       //!< in another rack.
};

//! Predictions are off by about this factor in one run out of six, ...
constexpr double kBusyMargin = 1.2;
//! ... and by this one in one out of twenty: affordable while nothing waits.
constexpr double kIdleMargin = 1.35;

//! What is to be placed.
struct PlacementDemand
{
  Resources taskResources;
  Duration predictedRunTime{ 0 }; //!< Predicted run time at speed 1.
  TimePoint now{};
  TimePoint latestEnd{}; //!< The answer is in time until then.
  //! Factor on the predicted run time for an endpoint to count as in time.
  double margin = kBusyMargin;
  //! Speed of the fastest endpoint, free or not, that could take the task; 0:
  //! do not wait for it.
  double fastestSpeed = 0;
};

//! Predicted end of the task on the candidate, without margin.
TimePoint PredictEnd(const PlacementDemand& aDemand,
                     const PlacementCandidate& aCandidate);

//! The slowest endpoint on which the task still ends in time, the fullest of
//! equal ones. Keeps the fast endpoints for tasks that need them, and room in
//! one piece. If there is none, nothing as long as the fastest endpoint may
//! become free in time, and then the one on which the task ends first.
std::optional<std::size_t> ChooseEndpoint(
  Span<const PlacementCandidate> aCandidates,
  const PlacementDemand& aDemand);

}

#endif
