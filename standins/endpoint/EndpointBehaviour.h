#ifndef HEMLOCKHAVEN_STANDINS_ENDPOINT_ENDPOINTBEHAVIOUR_H
#define HEMLOCKHAVEN_STANDINS_ENDPOINT_ENDPOINTBEHAVIOUR_H

#include <chrono>
#include <cstdint>
#include <vector>

namespace hemlockhaven {

//! A change of an endpoint's speed at a planned time.
struct PlannedChange
{
  std::chrono::milliseconds after{ 0 }; //!< Since the endpoint's start.
  double slowness = 1.0;
};

//! How a stand-in endpoint behaves.
struct EndpointBehaviour
{
  std::uint32_t slots = 8;
  double slowness = 1.0;       //!< Factor on the run time of each task.
  bool failsAll = false;       //!< Every task fails after its run time.
  std::uint32_t failOneIn = 0; //!< Every n-th task fails; 0: none.
  std::chrono::milliseconds lateBy{ 1000 }; //!< For EndpointFault::Late.
  std::vector<PlannedChange> changes;
};

}

#endif
