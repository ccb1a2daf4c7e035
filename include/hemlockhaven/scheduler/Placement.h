#ifndef HEMLOCKHAVEN_SCHEDULER_PLACEMENT_H
#define HEMLOCKHAVEN_SCHEDULER_PLACEMENT_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/scheduler/Resources.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace hemlockhaven {

//! An endpoint that may run the task.
struct PlacementCandidate
{
  std::size_t id = 0; //!< Returned by ChooseEndpoint.
  Resources free;
  double speed = 1;
  double slowdown = 1; //!< Run time factor for this task, for example data
                       //!< in another rack.
  //! Other tasks wait for an endpoint of its rack, which is therefore used
  //! last.
  bool isRackWanted = false;
};

//! Margin while work is queued: about one run in six takes longer than its
//! prediction times this.
constexpr double kBusyMargin = 1.2;
//! Margin while nothing else is queued, when a larger one is affordable: about
//! one run in twenty takes longer.
constexpr double kIdleMargin = 1.35;

//! The task to be placed.
struct PlacementDemand
{
  Resources taskResources;
  Duration predictedRunTime{ 0 }; //!< At speed 1.
  TimePoint now{};
  TimePoint latestEnd{}; //!< The task is in time if it ends by then.
  //! Factor on the predicted run time when an endpoint is checked against
  //! latestEnd.
  double margin = kBusyMargin;
  //! Speed of the fastest endpoint, busy or not, that can run the task; 0: do
  //! not wait for it.
  double fastestSpeed = 0;
  // Used by Forecast.
  std::string_view preferredRack; //!< Empty: any rack.
  double remoteFactor = 1;        //!< Run time factor in other racks.
};

//! Predicted end of the task on the candidate, without margin.
TimePoint PredictEnd(const PlacementDemand& aDemand,
                     const PlacementCandidate& aCandidate);

//! The slowest endpoint on which the task still ends in time, and among equally
//! fast ones the one with the fewest free cores: keeps fast endpoints for tasks
//! that need them, and avoids fragmentation. If no endpoint is in time: nullopt
//! while the fastest endpoint may become free in time, else the endpoint on
//! which the task ends first.
std::optional<std::size_t> ChooseEndpoint(
  Span<const PlacementCandidate> aCandidates,
  const PlacementDemand& aDemand);

}

#endif
