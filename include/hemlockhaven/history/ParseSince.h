#ifndef HEMLOCKHAVEN_HISTORY_PARSESINCE_H
#define HEMLOCKHAVEN_HISTORY_PARSESINCE_H

#include "hemlockhaven/core/Result.h"

#include <cstdint>
#include <string_view>

namespace hemlockhaven {

//! Reads a time in the past as a person writes it and returns milliseconds
//! since the Unix epoch: "today", "yesterday", a weekday (its last one, today
//! included), "2 hours ago", "14:30" (the last one), "2026-11-28" or
//! "2026-11-28 14:30". Local time is UTC plus aZoneMinutes.
Result<std::int64_t> ParseSince(std::string_view aText,
                                std::int64_t aNowMs,
                                int aZoneMinutes = 0);

}

#endif
