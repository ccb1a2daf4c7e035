#ifndef HEMLOCKHAVEN_SRC_ADAPTERS_HTTPVMLIST_H
#define HEMLOCKHAVEN_SRC_ADAPTERS_HTTPVMLIST_H

#include "adapters/PlatformHttp.h"
#include "hemlockhaven/platform/VmList.h"

namespace hemlockhaven {

//! Parses the platform's JSON encoding of the list. A malformed VM fails the
//! whole list; skipping it would look as if the VM had left.
Result<VmList> ParseVmList(const nlohmann::json& aJson);

//! Reads the platform's VM list over HTTP. May be called from any thread.
VmListHook MakeHttpVmList(const PlatformAddress& aAddress);

}

#endif
