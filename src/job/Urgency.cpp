#include "hemlockhaven/job/JobSpec.h"

#include <array>

namespace hemlockhaven {

namespace {

// In the order of Urgency.
constexpr std::array<std::string_view, 3> kUrgencyNames{ "low",
                                                         "normal",
                                                         "urgent" };

}

std::string_view UrgencyName(Urgency aUrgency)
{
  return kUrgencyNames.at(static_cast<std::size_t>(aUrgency));
}

}
