#ifndef HEMLOCKHAVEN_CORE_TIME_H
#define HEMLOCKHAVEN_CORE_TIME_H

#include <chrono>
#include <cstdint>
#include <functional>

namespace hemlockhaven {

//! All durations of the library, in microseconds.
using Duration = std::chrono::microseconds;

//! A point on the monotonic clock of this process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

//! Reads the monotonic clock; tests pass a clock that they advance themselves.
using Clock = std::function<TimePoint()>;

//! Reads milliseconds since the Unix epoch, for records that people read.
//! No decision about starting work depends on it.
using WallClock = std::function<std::int64_t()>;

//! The process's steady clock.
TimePoint SteadyNow();

//! A steady clock that also counts while the VM is suspended, for leases and
//! timeouts that others go by.
TimePoint SuspendAwareNow();

//! The process's wall clock in milliseconds since the Unix epoch.
std::int64_t WallNowMs();

}

#endif
