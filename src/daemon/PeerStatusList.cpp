#include "daemon/PeerStatusList.h"

#include <string>

namespace hemlockhaven {

namespace {

const char* StateName(const PeerView& aPeer)
{
  if (aPeer.leaving || aPeer.draining) {
    return "leaving";
  }
  switch (aPeer.state) {
    case PeerState::Unmet:
      return "not met";
    case PeerState::Alive:
      return "live";
    case PeerState::Suspect:
      return "suspect";
    case PeerState::Dead:
      break;
  }
  return "dead";
}

}

std::vector<PeerStatus> PeerStatusList(Span<const PeerView> aPeers)
{
  std::vector<PeerStatus> list;
  for (const PeerView& peer : aPeers) {
    list.push_back({ peer.incarnation.node,
                     peer.address + ":" + std::to_string(peer.port),
                     peer.zone,
                     StateName(peer) });
  }
  return list;
}

}
