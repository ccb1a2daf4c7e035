#ifndef HEMLOCKHAVEN_SRC_ADAPTERS_HTTPLOG_H
#define HEMLOCKHAVEN_SRC_ADAPTERS_HTTPLOG_H

#include "adapters/PlatformHttp.h"
#include "hemlockhaven/platform/LogHooks.h"

namespace hemlockhaven {

//! Accesses the platform's log over HTTP. The hooks may be called from any
//! thread.
LogHooks MakeHttpLog(const PlatformAddress& aAddress);

}

#endif
