#ifndef HEMLOCKHAVEN_SCHEDULER_ENTRYVMCONTACT_H
#define HEMLOCKHAVEN_SCHEDULER_ENTRYVMCONTACT_H

#include "hemlockhaven/core/Time.h"

#include <string>

namespace hemlockhaven {

//! Until when an entry VM has certainly handed its work to no other leader.
struct EntryVmContact
{
  std::string name;
  TimePoint followedUntil{};
};

}

#endif
