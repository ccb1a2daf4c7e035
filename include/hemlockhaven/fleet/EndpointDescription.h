#ifndef HEMLOCKHAVEN_FLEET_ENDPOINTDESCRIPTION_H
#define HEMLOCKHAVEN_FLEET_ENDPOINTDESCRIPTION_H

#include "hemlockhaven/core/Labels.h"

#include <cstdint>
#include <string>

namespace hemlockhaven {

//! What the platform's VM list says of an endpoint.
struct EndpointDescription
{
  std::string id;
  std::string address; //!< IP number.
  std::uint16_t port = 0;
  std::string zone;
  std::string rack;
  std::uint32_t slots = 8; //!< Tasks that it runs at a time.
  std::uint32_t cores = 0;
  std::uint64_t memoryMb = 0;
  std::uint32_t accelerators = 0;
  bool leaving = false; //!< Gets no new work.
  Labels labels;        //!< Includes "zone" and "rack".
};

}

#endif
