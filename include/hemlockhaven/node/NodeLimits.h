#ifndef HEMLOCKHAVEN_NODE_NODELIMITS_H
#define HEMLOCKHAVEN_NODE_NODELIMITS_H

#include "hemlockhaven/dispatch/DispatcherLimits.h"
#include "hemlockhaven/job/JobBook.h"
#include "hemlockhaven/membership/Roster.h"

#include <cstddef>

namespace hemlockhaven {

//! Bounds of one daemon.
struct NodeLimits
{
  DispatcherLimits dispatcher;
  RosterTimes roster;
  JobBook::Limits jobs;
  std::size_t keptArchives = 32; //!< Of stopped homes.
  std::size_t historyRecords = 20000;
};

}

#endif
