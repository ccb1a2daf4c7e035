#ifndef HEMLOCKHAVEN_FLEET_PLACEMENTREQUEST_H
#define HEMLOCKHAVEN_FLEET_PLACEMENTREQUEST_H

#include "hemlockhaven/fleet/Eligibility.h"

#include <cstddef>

namespace hemlockhaven {

//! What placement knows of the task to place.
struct PlacementRequest
{
  EligibilityId eligibility = 0;
  bool idempotent = false;
  bool isIdempotentQueued = false; //!< Probation prefers such tasks.
  std::size_t queued = 1;          //!< Tasks that wait, with this one.
};

}

#endif
