#include "hemlockhaven/history/ParseSince.h"

#include "history/LocalTime.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <string>

namespace hemlockhaven {

namespace {

using Detail::DayOf;
using Detail::kDayMs;

std::string Lower(std::string_view aText)
{
  std::string text(aText);
  std::transform(
    text.begin(), text.end(), text.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
  return text;
}

//! Takes a number of at most aMostDigits digits off the front of the text.
std::optional<std::int64_t> TakeNumber(std::string_view& aText,
                                       std::size_t aMostDigits)
{
  const std::size_t digits =
    std::min(aText.find_first_not_of("0123456789"), aText.size());
  if (digits == 0 || digits > aMostDigits) {
    return std::nullopt;
  }
  std::int64_t number = 0;
  std::from_chars(aText.data(), aText.data() + digits, number);
  aText.remove_prefix(digits);
  return number;
}

bool TakeText(std::string_view& aText, std::string_view aPrefix)
{
  if (aText.substr(0, aPrefix.size()) != aPrefix) {
    return false;
  }
  aText.remove_prefix(aPrefix.size());
  return true;
}

//! "14:30" as milliseconds of the day.
std::optional<std::int64_t> TimeOfDay(std::string_view aText)
{
  const auto hours = TakeNumber(aText, 2);
  const bool colon = TakeText(aText, ":");
  const auto minutes = TakeNumber(aText, 2);
  if (!hours || !colon || !minutes || !aText.empty() || *hours > 23 ||
      *minutes > 59) {
    return std::nullopt;
  }
  return *hours * Detail::kHourMs + *minutes * Detail::kMinuteMs;
}

//! "2026-11-28", then nothing or a time of day.
std::optional<std::int64_t> Date(std::string_view aText)
{
  const auto year = TakeNumber(aText, 4);
  const bool first = TakeText(aText, "-");
  const auto month = TakeNumber(aText, 2);
  const bool second = TakeText(aText, "-");
  const auto day = TakeNumber(aText, 2);
  if (!year || !first || !month || !second || !day || *year < 1970 ||
      *month < 1 || *month > 12 || *day < 1) {
    return std::nullopt;
  }
  const auto monthNumber = static_cast<unsigned>(*month);
  const std::int64_t days =
    Detail::DayOfDate(*year, monthNumber, static_cast<unsigned>(*day));
  const std::int64_t nextMonth =
    *month == 12 ? Detail::DayOfDate(*year + 1, 1, 1)
                 : Detail::DayOfDate(*year, monthNumber + 1, 1);
  if (days >= nextMonth) {
    return std::nullopt;
  }
  if (aText.empty()) {
    return days * kDayMs;
  }
  if (!TakeText(aText, " ") && !TakeText(aText, "t")) {
    return std::nullopt;
  }
  const auto time = TimeOfDay(aText);
  return time ? std::optional(days * kDayMs + *time) : std::nullopt;
}

//! "2 hours ago" as milliseconds before now.
std::optional<std::int64_t> Ago(std::string_view aText)
{
  const auto number = TakeNumber(aText, 6);
  if (!number || !TakeText(aText, " ")) {
    return std::nullopt;
  }
  struct Unit
  {
    std::string_view name;
    std::int64_t ms;
  };
  constexpr Unit kUnits[] = { { "second", 1000 },
                              { "minute", Detail::kMinuteMs },
                              { "hour", Detail::kHourMs },
                              { "day", kDayMs },
                              { "week", 7 * kDayMs } };
  for (const Unit& unit : kUnits) {
    if (TakeText(aText, unit.name)) {
      TakeText(aText, "s");
      return aText == " ago" ? std::optional(*number * unit.ms) : std::nullopt;
    }
  }
  return std::nullopt;
}

//! The time as local milliseconds.
std::optional<std::int64_t> ParseLocal(std::string_view aText,
                                       std::int64_t aNow)
{
  const std::int64_t today = DayOf(aNow);
  if (aText == "today") {
    return today * kDayMs;
  }
  if (aText == "yesterday") {
    return (today - 1) * kDayMs;
  }
  for (std::int64_t back = 0; back < 7; ++back) {
    const std::size_t weekday = Detail::WeekdayOf(today - back);
    if (aText == Lower(Detail::kWeekdays.at(weekday))) {
      return (today - back) * kDayMs;
    }
  }
  if (const auto ago = Ago(aText)) {
    return aNow - *ago;
  }
  if (const auto time = TimeOfDay(aText)) {
    const std::int64_t at = today * kDayMs + *time;
    return at <= aNow ? at : at - kDayMs;
  }
  return Date(aText);
}

}

Result<std::int64_t> ParseSince(std::string_view aText,
                                std::int64_t aNowMs,
                                int aZoneMinutes)
{
  const std::int64_t zone = aZoneMinutes * Detail::kMinuteMs;
  const auto local = ParseLocal(Lower(aText), aNowMs + zone);
  if (!local) {
    return Error::NotRun(
      "read time",
      Reason::MalformedRequest,
      "expected today, yesterday, a weekday like Saturday, '2 hours ago', a "
      "time like 14:30 or a date like 2026-11-28, found '" +
        std::string(aText.substr(0, 60)) + "'");
  }
  return *local - zone;
}

}
