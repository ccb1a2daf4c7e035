#ifndef HEMLOCKHAVEN_SRC_HISTORY_LOCALTIME_H
#define HEMLOCKHAVEN_SRC_HISTORY_LOCALTIME_H

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockhaven::Detail {

constexpr std::int64_t kMinuteMs = 60000;
constexpr std::int64_t kHourMs = 60 * kMinuteMs;
constexpr std::int64_t kDayMs = 24 * kHourMs;

constexpr std::array<std::string_view, 7> kWeekdays{
  "Sunday", "Monday", "Tuesday", "Wednesday", "Thursday", "Friday", "Saturday"
};

//! Days since the Unix epoch; rounds down for negative times.
std::int64_t DayOf(std::int64_t aMs);

//! 0: Sunday.
std::size_t WeekdayOf(std::int64_t aDay);

//! Days since the Unix epoch of a date in the Gregorian calendar.
std::int64_t DayOfDate(std::int64_t aYear, unsigned aMonth, unsigned aDay);

//! "Saturday 28 Nov 14:02".
std::string FormatMs(std::int64_t aMs);

}

#endif
