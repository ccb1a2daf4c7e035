#ifndef HEMLOCKHAVEN_PLATFORM_VMLIST_H
#define HEMLOCKHAVEN_PLATFORM_VMLIST_H

#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/fleet/EndpointDescription.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace hemlockhaven {

//! A VM that runs a dispatcher daemon.
struct EntryVm
{
  std::string node;    //!< The daemon's name.
  std::string address; //!< IP address.
  std::uint16_t peerPort = 0;
  std::string zone;
  std::uint32_t cores = 1; //!< Weight of the daemon when work is divided.
  bool leaving = false;
};

//! The platform's list of live and leaving VMs. May be out of date.
struct VmList
{
  std::vector<EndpointDescription> endpoints;
  std::vector<EntryVm> entryVms;
};

//! Reads the list. Blocks.
using VmListHook = std::function<Result<VmList>()>;

}

#endif
