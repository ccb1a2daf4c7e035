#ifndef HEMLOCKHAVEN_SCHEDULER_ENTRYVMCONTACT_H
#define HEMLOCKHAVEN_SCHEDULER_ENTRYVMCONTACT_H

#include "hemlockhaven/core/Time.h"

#include <string>

namespace hemlockhaven {

//! Until when an entry VM is known not to have handed its work to another
//! leader.
struct EntryVmContact
{
  std::string name;
  TimePoint followedUntil{};
};

}

#endif
