#ifndef HEMLOCKHAVEN_SOAK_SHAPE_H
#define HEMLOCKHAVEN_SOAK_SHAPE_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/fleet/Dice.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockhaven::Soak {

//! A route of the configuration.
struct RouteRule
{
  std::string name; //!< The path prefix is "/NAME/".
  unsigned priority = 0;
  unsigned attempts = 3;
};

//! What a caller asks for.
struct Job
{
  std::string route;
  std::size_t tasks = 1;
  std::uint64_t workMs = 0;
  std::uint64_t cpuMillis = 0;
  Duration deadline{ 0 }; //!< That the caller states.
};

//! Which faults are drawn.
enum class FaultMix
{
  Plain,
  Zoned,
  Cuts, //!< Those of zones alone, so that each cut takes its course.
};

//! The kind of deployment that a run resembles.
struct Shape
{
  std::string name;
  std::vector<RouteRule> routes;
  std::function<Job(Dice&)> drawJob;
  //! How often a job without a final answer is sent again.
  unsigned resends = 0;
  //! Callers send bursts, and each zone reaches endpoints and store by itself,
  //! so that it can be cut off.
  bool isZoned = false;
  FaultMix faults = FaultMix::Plain;
  //! Resets reach the side that opened the connection and not the other one.
  bool resetsOneSided = false;
  std::int64_t endpointCpuMillis = 0;
  std::vector<double> speeds; //!< Of the endpoints, in turn.
};

//! The shape of that name. Throws std::out_of_range if there is none.
const Shape& ShapeOf(std::string_view aName);

}

#endif
