#ifndef HEMLOCKHAVEN_SCHEDULER_ENDPOINTSINUSE_H
#define HEMLOCKHAVEN_SCHEDULER_ENDPOINTSINUSE_H

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>

namespace hemlockhaven {

//! The endpoints where a leader may have started work, as bounds on positions
//! in the endpoint list. Positions increase with each record of the list and
//! are the same for all daemons. The default value means no endpoints.
struct EndpointsInUse
{
  //! All of them were listed at or before this position.
  std::uint64_t listedBy = 0;
  //! None of them left the list before this position.
  std::uint64_t leftFrom = std::numeric_limits<std::uint64_t>::max();

  //! Availability zone that all of them are in; empty: they may be in any.
  std::string part{};

  bool IsEmpty() const { return listedBy == 0; }

  //! Extends the bounds to another leader's endpoints.
  void Add(const EndpointsInUse& aOther)
  {
    if (aOther.IsEmpty()) {
      return;
    }
    if (IsEmpty()) {
      part = aOther.part;
    } else if (part != aOther.part) {
      part.clear();
    }
    listedBy = std::max(listedBy, aOther.listedBy);
    leftFrom = std::min(leftFrom, aOther.leftFrom);
  }
};

}

#endif
