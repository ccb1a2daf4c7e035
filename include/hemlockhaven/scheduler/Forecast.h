#ifndef HEMLOCKHAVEN_SCHEDULER_FORECAST_H
#define HEMLOCKHAVEN_SCHEDULER_FORECAST_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/scheduler/NearWait.h"
#include "hemlockhaven/scheduler/Placement.h"
#include "hemlockhaven/scheduler/Resources.h"

#include <cstddef>
#include <optional>
#include <string_view>
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

  //! The forecast has a sample of the endpoints, every aStride-th, and all
  //! endpoints of aExactRack. Of the tasks that prefer this rack all are
  //! placed, and those that run away count once in aStride times, like other
  //! tasks.
  Forecast(TimePoint aNow, std::size_t aStride, std::string_view aExactRack)
    : now_(aNow)
    , stride_(aStride)
    , exactRack_(aExactRack)
  {
  }

  //! Whether all endpoints of the rack are included.
  bool IsExactFor(std::string_view aRack) const
  {
    return stride_ == 1 || (!aRack.empty() && aRack == exactRack_);
  }

  //! Adds an endpoint with its free resources and the runs that hold the rest.
  //! The rack's name has to outlive the forecast. Tasks that do not prefer the
  //! rack are placed in the sample only.
  void AddEndpoint(const Resources& aFree,
                   double aSpeed,
                   Span<const ResourceRelease> aReleases,
                   std::string_view aRack = {},
                   bool aIsInSample = true);

  //! Places one task after all tasks placed before it. Returns when it would
  //! end; nullopt if no endpoint is large enough.
  std::optional<TimePoint> Place(const PlacementDemand& aDemand);
  //! The same with the start of the run.
  std::optional<ExpectedRun> PlaceRun(const PlacementDemand& aDemand);

  //! A run that starts at the endpoint, by order of AddEndpoint.
  void Occupy(std::size_t aEndpoint,
              TimePoint aStart,
              TimePoint aEnd,
              const Resources& aTaskResources)
  {
    Reserve(endpoints_.at(aEndpoint), aStart, aEnd, aTaskResources);
  }

private:
  struct Endpoint
  {
    Resources free;
    double speed = 1;
    TimePoint from{}; //!< Earliest start of a further task.
    std::vector<ResourceRelease> releases; //!< Ordered by time.
    std::string_view rack;
    bool isInSample = true;
  };

  enum class Area
  {
    Any, //!< The whole sample.
    Near,
    Away, //!< The sample without the preferred rack.
  };
  struct Choice
  {
    Endpoint* endpoint = nullptr; //!< Null: none is large enough.
    ExpectedRun run;
  };

  Choice Choose(const PlacementDemand& aDemand, Area aArea);

  //! The earliest start of a task at the endpoint.
  std::optional<TimePoint> EarliestStart(const Endpoint& aEndpoint,
                                         const Resources& aTaskResources) const;
  static void Reserve(Endpoint& aEndpoint,
                      TimePoint aStart,
                      TimePoint aEnd,
                      const Resources& aTaskResources);

  TimePoint now_;
  std::size_t stride_ = 1;
  std::string_view exactRack_;
  std::size_t awayCount_ = 0; //!< Tasks of the exact rack that run away.
  std::vector<Endpoint> endpoints_;
};

}

#endif
