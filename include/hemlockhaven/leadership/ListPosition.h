#ifndef HEMLOCKHAVEN_LEADERSHIP_LISTPOSITION_H
#define HEMLOCKHAVEN_LEADERSHIP_LISTPOSITION_H

#include <cstdint>

namespace hemlockhaven {

//! How far a daemon has read the list of endpoints, in positions that all
//! daemons share and that only grow.
struct ListPosition
{
  std::uint64_t readUpTo = 0;
  //! Who has read up to here knows each endpoint that this daemon knows.
  std::uint64_t newest = 0;
};

}

#endif
