#ifndef HEMLOCKHAVEN_ADMISSION_QUEUEPOSITION_H
#define HEMLOCKHAVEN_ADMISSION_QUEUEPOSITION_H

#include "hemlockhaven/core/Time.h"

#include <cstdint>
#include <string_view>

namespace hemlockhaven {

//! Accounts that tasks are queued under, and their order inside.
struct QueuePosition
{
  std::string_view caller;
  std::string_view kind;
  std::uint32_t rank = 0; //!< Lower first, then the earlier deadline.
  TimePoint deadline = TimePoint::max();
};

}

#endif
