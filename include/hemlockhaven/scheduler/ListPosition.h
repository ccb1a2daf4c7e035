#ifndef HEMLOCKHAVEN_SCHEDULER_LISTPOSITION_H
#define HEMLOCKHAVEN_SCHEDULER_LISTPOSITION_H

#include "hemlockhaven/scheduler/EndpointsInUse.h"

#include <cstdint>

namespace hemlockhaven {

//! What part of the list of endpoints a daemon has read; see EndpointsInUse for
//! positions.
struct ListPosition
{
  //! The whole list was read here. Endpoints that had left it are not known.
  std::uint64_t readFrom = 0;
  std::uint64_t readUpTo = 0;

  //! Whether all of these endpoints are known here.
  bool Covers(const EndpointsInUse& aEndpoints) const
  {
    return readUpTo >= aEndpoints.listedBy && readFrom <= aEndpoints.leftFrom;
  }
};

}

#endif
