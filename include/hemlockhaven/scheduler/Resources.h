#ifndef HEMLOCKHAVEN_SCHEDULER_RESOURCES_H
#define HEMLOCKHAVEN_SCHEDULER_RESOURCES_H

#include <cstdint>

namespace hemlockhaven {

//! Resources that a task requires or an endpoint has.
struct Resources
{
  std::int64_t cpuMillis = 0; //!< Thousandths of a core.
  std::int64_t memoryMb = 0;
  std::int64_t accelerators = 0;

  bool FitsInto(const Resources& aAvailable) const
  {
    return cpuMillis <= aAvailable.cpuMillis &&
           memoryMb <= aAvailable.memoryMb &&
           accelerators <= aAvailable.accelerators;
  }

  Resources& operator+=(const Resources& aOther)
  {
    cpuMillis += aOther.cpuMillis;
    memoryMb += aOther.memoryMb;
    accelerators += aOther.accelerators;
    return *this;
  }

  Resources& operator-=(const Resources& aOther)
  {
    cpuMillis -= aOther.cpuMillis;
    memoryMb -= aOther.memoryMb;
    accelerators -= aOther.accelerators;
    return *this;
  }
};

}

#endif
