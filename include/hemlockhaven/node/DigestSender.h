#ifndef HEMLOCKHAVEN_NODE_DIGESTSENDER_H
#define HEMLOCKHAVEN_NODE_DIGESTSENDER_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/dispatch/Dispatcher.h"
#include "hemlockhaven/identity/SubmissionId.h"
#include "hemlockhaven/membership/DigestSchedule.h"
#include "hemlockhaven/membership/Messages.h"
#include "hemlockhaven/membership/PeerDigest.h"
#include "hemlockhaven/membership/Roster.h"
#include "hemlockhaven/membership/SlotTimeReport.h"
#include "hemlockhaven/node/PeerHooks.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace hemlockhaven {

//! Builds this daemon's digests and sends them when they are due.
class DigestSender
{
public:
  DigestSender(const PeerHooks& aPeers,
               Dispatcher& aDispatcher,
               Roster& aRoster,
               std::function<std::uint64_t()> aConfigurationVersion);

  //! Sends what is due.
  void Tick(TimePoint aNow);

  //! Sends a digest to all peers now, for changes that should not wait.
  void SendNow();

  //! Adds slot time that another availability zone reported to this daemon.
  void PassOn(Span<const SlotTimeUse> aUses);

  void SetDraining(bool aDraining);
  void SetSuccessor(const Incarnation& aSuccessor);

private:
  //! A digest with the nodes that it goes to.
  struct Outgoing
  {
    std::vector<std::string> nodes;
    Message message;
  };

  PeerDigest Build();
  FreeSlots CountFreeSlots(std::uint32_t& aSlots) const;
  PeerDigest BuildForZone();
  PeerDigest BuildAcross();
  void AddDigests(DigestPlan&& aPlan, std::vector<Outgoing>& aTo);
  void Send(Span<const Outgoing> aOutgoing) const;

  PeerHooks peers_;
  Dispatcher& dispatcher_;
  Roster& roster_;
  std::function<std::uint64_t()> configurationVersion_;
  std::mutex mutex_; //!< Guards the members below.
  DigestSchedule schedule_;
  CallerNumbers numbers_;
  SlotTimeReport zoneReport_;
  SlotTimeReport acrossReport_;
  std::uint64_t sequence_ = 0;
  bool draining_ = false;
  std::optional<Incarnation> successor_;
};

}

#endif
