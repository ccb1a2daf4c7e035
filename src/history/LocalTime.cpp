#include "history/LocalTime.h"

namespace hemlockhaven::Detail {

namespace {

constexpr std::array<std::string_view, 12> kMonths{
  "Jan", "Feb", "Mar", "Apr", "May", "Jun",
  "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"
};

std::string TwoDigits(std::int64_t aNumber)
{
  return (aNumber < 10 ? "0" : "") + std::to_string(aNumber);
}

bool IsLeap(std::int64_t aYear)
{
  return (aYear % 4 == 0 && aYear % 100 != 0) || aYear % 400 == 0;
}

unsigned DaysOfMonth(std::int64_t aYear, unsigned aMonth)
{
  constexpr std::array<unsigned, 12> kDays{ 31, 28, 31, 30, 31, 30,
                                            31, 31, 30, 31, 30, 31 };
  return kDays.at(aMonth - 1) + (aMonth == 2 && IsLeap(aYear) ? 1 : 0);
}

}

std::int64_t DayOf(std::int64_t aMs)
{
  return (aMs >= 0 ? aMs : aMs - kDayMs + 1) / kDayMs;
}

std::size_t WeekdayOf(std::int64_t aDay)
{
  // 1 January 1970 was a Thursday.
  return static_cast<std::size_t>(((aDay + 4) % 7 + 7) % 7);
}

std::int64_t DayOfDate(std::int64_t aYear, unsigned aMonth, unsigned aDay)
{
  std::int64_t days = 0;
  for (std::int64_t year = 1970; year < aYear; ++year) {
    days += IsLeap(year) ? 366 : 365;
  }
  for (unsigned month = 1; month < aMonth; ++month) {
    days += DaysOfMonth(aYear, month);
  }
  return days + aDay - 1;
}

std::string FormatMs(std::int64_t aMs)
{
  const std::int64_t day = DayOf(aMs);
  const std::int64_t minutes = (aMs - day * kDayMs) / kMinuteMs;
  std::int64_t year = 1970;
  while (DayOfDate(year + 1, 1, 1) <= day) {
    ++year;
  }
  unsigned month = 1;
  while (month < 12 && DayOfDate(year, month + 1, 1) <= day) {
    ++month;
  }
  std::string text(kWeekdays.at(WeekdayOf(day)));
  text += " " + std::to_string(day - DayOfDate(year, month, 1) + 1) + " ";
  text += kMonths.at(month - 1);
  text += " " + TwoDigits(minutes / 60) + ":" + TwoDigits(minutes % 60);
  return text;
}

}
