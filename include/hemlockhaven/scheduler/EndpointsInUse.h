#ifndef HEMLOCKHAVEN_SCHEDULER_ENDPOINTSINUSE_H
#define HEMLOCKHAVEN_SCHEDULER_ENDPOINTSINUSE_H

#include <algorithm>
#include <cstdint>
#include <limits>

namespace hemlockhaven {

//! Which endpoints a leader may have started work at, as bounds in the list of
//! endpoints. Positions grow with each record of the list and are the same for
//! all daemons. The default stands for no endpoints.
struct EndpointsInUse
{
  //! All of them had been listed by then.
  std::uint64_t listedBy = 0;
  //! None of them had left the list before.
  std::uint64_t leftFrom = std::numeric_limits<std::uint64_t>::max();

  //! Includes another leader's endpoints.
  void Add(const EndpointsInUse& aOther)
  {
    listedBy = std::max(listedBy, aOther.listedBy);
    leftFrom = std::min(leftFrom, aOther.leftFrom);
  }
};

}

#endif
