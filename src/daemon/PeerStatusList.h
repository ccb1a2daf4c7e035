#ifndef HEMLOCKHAVEN_SRC_DAEMON_PEERSTATUSLIST_H
#define HEMLOCKHAVEN_SRC_DAEMON_PEERSTATUSLIST_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/membership/Roster.h"
#include "http/OperatorHooks.h"

#include <vector>

namespace hemlockhaven {

//! The roster as operators see it.
std::vector<PeerStatus> PeerStatusList(Span<const PeerView> aPeers);

}

#endif
