#include "daemon/PeerConnection.h"

#include "logging/Log.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace hemlockhaven {

PeerConnection::PeerConnection(Node& aNode, const DaemonSettings& aSettings)
  : node_(aNode)
  , requests_(aNode)
  , network_(std::make_unique<PeerNetwork>(
      Hello{ aNode.Self(), aSettings.zone, aSettings.cores },
      aSettings.peerListen.address,
      aSettings.peerListen.port,
      MakeHooks(),
      aNode.Counts()))
{
  UpdatePeers();
}

void PeerConnection::UpdatePeers()
{
  const Roster& roster = node_.Peers();
  std::vector<PeerAddress> addresses;
  for (const PeerView& peer : roster.Peers()) {
    const bool isNear = peer.zone == roster.OwnZone();
    addresses.push_back(
      { peer.incarnation.node,
        peer.address,
        peer.port,
        isNear ? roster.Times().zoneInterval : roster.Times().acrossInterval });
  }
  network_->SetPeers(addresses);
}

bool PeerConnection::AreAllLinked() const
{
  const std::vector<PeerView> peers = node_.Peers().Peers();
  return std::all_of(peers.begin(), peers.end(), [this](const PeerView& aPeer) {
    return network_->IsLinked(aPeer.incarnation.node);
  });
}

PeerNetworkHooks PeerConnection::MakeHooks()
{
  PeerNetworkHooks hooks;
  hooks.linked = [this](const Hello& aHello) {
    Log::Info("link").Peer(aHello.self.node).Write("a peer is linked");
    return node_.Peers().Meet(aHello);
  };
  hooks.lost = [this](std::string_view aNode) {
    Log::Info("link").Peer(aNode).Write("the link to a peer is lost");
    node_.Peers().LoseLink(aNode);
  };
  hooks.refused = [this](std::string_view aNode) {
    node_.Peers().Refuse(aNode);
  };
  hooks.digest = [this](const Incarnation& aFrom, const PeerDigest& aDigest) {
    node_.OnDigest(aFrom, aDigest);
  };
  hooks.request = [this](const Incarnation& /*aFrom*/,
                         Message&& aRequest,
                         const PeerNetworkHooks::Reply& aReply) {
    requests_.Answer(std::move(aRequest), aReply);
  };
  return hooks;
}

}
