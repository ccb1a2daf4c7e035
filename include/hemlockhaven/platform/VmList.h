#ifndef HEMLOCKHAVEN_PLATFORM_VMLIST_H
#define HEMLOCKHAVEN_PLATFORM_VMLIST_H

#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/fleet/EndpointDescription.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace hemlockhaven {

//! A VM on which a daemon of this system runs.
struct EntryVm
{
  std::string node;    //!< The daemon's name.
  std::string address; //!< IP number.
  std::uint16_t peerPort = 0;
  std::string zone;
  std::uint32_t cores = 1; //!< Weight of the daemon when work is divided.
  bool leaving = false;
};

//! The platform's list of live and leaving VMs; it lags.
struct VmList
{
  std::vector<EndpointDescription> endpoints;
  std::vector<EntryVm> entryVms;
};

//! Reads the list; blocks.
using VmListHook = std::function<Result<VmList>()>;

}

#endif
