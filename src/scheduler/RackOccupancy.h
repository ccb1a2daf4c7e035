#ifndef HEMLOCKHAVEN_SRC_SCHEDULER_RACKOCCUPANCY_H
#define HEMLOCKHAVEN_SRC_SCHEDULER_RACKOCCUPANCY_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/scheduler/Forecast.h"
#include "scheduler/EndpointEntry.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockhaven::Detail {

//! When endpoints of each rack are expected to become free during one dispatch,
//! after its active runs and the tasks that wait for it. Costs nothing until a
//! task prefers a rack.
class RackOccupancy
{
public:
  using UsableHook = std::function<Span<EndpointEntry* const>()>;
  //! Adds the endpoint and its active runs to a forecast.
  using AddHook = std::function<void(Forecast&, const EndpointEntry&)>;

  RackOccupancy(TimePoint aNow, UsableHook aUsable, AddHook aAddHook);

  bool HasEndpoints(std::string_view aRack);
  //! Whether an endpoint of the rack has these resources free.
  bool HasRoom(std::string_view aRack, const Resources& aTaskResources);
  //! Names of all racks with usable endpoints.
  std::vector<std::string_view> Racks();

  //! Places the task after all that were placed in the rack before it.
  std::optional<ExpectedRun> Place(std::string_view aRack,
                                   const PlacementDemand& aDemand);
  //! The run of all the tasks in the rack, from the last start to the last end,
  //! without reserving anything.
  std::optional<ExpectedRun> Estimate(std::string_view aRack,
                                      const PlacementDemand& aDemand,
                                      std::size_t aCount);
  //! A task has started at the endpoint.
  void OnStarted(const EndpointEntry& aEndpoint,
                 const Resources& aTaskResources,
                 TimePoint aEnd);

private:
  struct Rack
  {
    std::vector<const EndpointEntry*> endpoints;
    std::optional<Forecast> forecast;
  };

  Rack* Find(std::string_view aRack);
  Forecast& ForecastOf(Rack& aRack);

  TimePoint now_;
  UsableHook usable_;
  AddHook addHook_;
  bool isIndexed_ = false;
  std::map<std::string_view, Rack> racks_;
};

}

#endif
