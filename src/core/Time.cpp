#include "hemlockhaven/core/Time.h"

#include <ctime>

namespace hemlockhaven {

TimePoint SteadyNow()
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::steady_clock::now());
}

TimePoint SuspendAwareNow()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  constexpr std::int64_t kNanosecondsAMicrosecond = 1000;
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   Duration(now.tv_nsec / kNanosecondsAMicrosecond));
}

std::int64_t WallNowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

}
