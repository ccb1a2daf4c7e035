#ifndef HEMLOCKHAVEN_SCHEDULER_LISTPOSITION_H
#define HEMLOCKHAVEN_SCHEDULER_LISTPOSITION_H

#include "hemlockhaven/scheduler/EndpointsInUse.h"

#include <cstdint>

namespace hemlockhaven {

//! The part of the endpoint list that a daemon has read; see EndpointsInUse for
//! positions.
struct ListPosition
{
  //! Position of the first complete read. Endpoints that left the list before
  //! it are unknown.
  std::uint64_t readFrom = 0;
  std::uint64_t readUpTo = 0;

  //! Whether this daemon knows all of these endpoints.
  bool Covers(const EndpointsInUse& aEndpoints) const
  {
    return readUpTo >= aEndpoints.listedBy && readFrom <= aEndpoints.leftFrom;
  }
};

}

#endif
