#include "standins/endpoint/EndpointFault.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace hemlockhaven {

namespace {

// In the order of EndpointFault.
constexpr std::array<std::string_view, kEndpointFaultCount> kNames{
  "none",       "late",          "half-length",     "half-chunked",
  "twice",      "wrong-attempt", "earlier-attempt", "no-attempt",
  "never",      "reset",         "close",           "refuse-not-run",
  "close-idle", "silent-idle",   "unframed",        "fail",
  "chunked",    "http-1.0",      "early",           "oversize",
  "garbage",    "interim",
};

}

std::string_view EndpointFaultName(EndpointFault aFault)
{
  return kNames.at(static_cast<std::size_t>(aFault));
}

std::optional<EndpointFault> EndpointFaultFromName(std::string_view aName)
{
  const auto* found = std::find(kNames.begin(), kNames.end(), aName);
  if (found == kNames.end()) {
    return std::nullopt;
  }
  return static_cast<EndpointFault>(std::distance(kNames.begin(), found));
}

}
