#ifndef HEMLOCKHAVEN_SRC_DAEMON_PEERCONNECTION_H
#define HEMLOCKHAVEN_SRC_DAEMON_PEERCONNECTION_H

#include "hemlockhaven/node/Node.h"
#include "hemlockhaven/node/PeerRequests.h"
#include "peer/PeerNetwork.h"
#include "settings/DaemonSettings.h"

#include <memory>

namespace hemlockhaven {

//! Connects a node to the other daemons.
class PeerConnection
{
public:
  //! Listens; throws std::exception if the address is taken.
  PeerConnection(Node& aNode, const DaemonSettings& aSettings);

  //! Keeps links to all daemons that the roster knows.
  void UpdatePeers();

  //! Whether a link to each known daemon is up.
  bool AreAllLinked() const;

  PeerNetwork& Network() { return *network_; }

private:
  PeerNetworkHooks MakeHooks();

  Node& node_;
  PeerRequests requests_;
  std::unique_ptr<PeerNetwork> network_;
};

}

#endif
