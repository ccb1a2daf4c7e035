#ifndef HEMLOCKHAVEN_SCHEDULER_FORECAST_H
#define HEMLOCKHAVEN_SCHEDULER_FORECAST_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/scheduler/Placement.h"
#include "hemlockhaven/scheduler/Resources.h"

#include <optional>
#include <vector>

namespace hemlockhaven {

//! Resources that become free when a run ends.
struct ResourceRelease
{
  TimePoint at{};
  Resources resources;
};

//! Simulates a queue in order against the expected ends of the active runs, to
//! predict when a task would end. A value type without side effects: admission
//! uses it before it accepts work.
class Forecast
{
public:
  explicit Forecast(TimePoint aNow)
    : now_(aNow)
  {
  }

  //! Adds an endpoint with its free resources and the runs that hold the rest.
  void AddEndpoint(const Resources& aFree,
                   double aSpeed,
                   Span<const ResourceRelease> aReleases);

  //! Places one task after all tasks placed before it. Returns when it would
  //! end; nullopt if no endpoint is large enough.
  std::optional<TimePoint> Place(const PlacementDemand& aDemand);

private:
  struct Endpoint
  {
    Resources free;
    double speed = 1;
    TimePoint from{}; //!< Earliest start of a further task.
    std::vector<ResourceRelease> releases; //!< Ordered by time.
  };

  //! The earliest start of a task at the endpoint.
  std::optional<TimePoint> EarliestStart(const Endpoint& aEndpoint,
                                         const Resources& aTaskResources) const;
  static void Reserve(Endpoint& aEndpoint,
                      TimePoint aStart,
                      TimePoint aEnd,
                      const Resources& aTaskResources);

  TimePoint now_;
  std::vector<Endpoint> endpoints_;
};

}

#endif
