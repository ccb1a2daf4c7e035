#ifndef HEMLOCKHAVEN_LEADERSHIP_HEARTBEAT_H
#define HEMLOCKHAVEN_LEADERSHIP_HEARTBEAT_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/scheduler/EndpointsInUse.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockhaven {

//! A daemon and the address where other daemons connect to it.
struct Member
{
  std::string name;
  std::string address; //!< "IP:port"
  std::string zone;
  double cores = 0;
  std::uint64_t incarnation = 0; //!< Wall clock at the start, in ms.
  double linkMbps = 1000;        //!< Bandwidth of the VM's link, in Mbit/s.
};

//! Periodic message between daemons.
struct Heartbeat
{
  Member from;
  std::uint64_t sequence = 0;
  std::uint64_t echo = 0; //!< Highest sequence received from the addressee.
  //! Fencing token of the sender's term; 0 if not leading.
  std::uint64_t leaderToken = 0;
  std::uint64_t highestToken = 0; //!< Highest token the sender knows of.
  Duration interval{ 0 }; //!< Time until the next heartbeat to the same member.
  //! Remaining time in which the sender does not lead because endpoints obey a
  //! leader that it cannot reach. Receivers without a majority do not lead
  //! either for this long.
  Duration electionBackoff{ 0 };
  EndpointsInUse endpointsInUse; //!< Set by a leader only.
  //! Availability zone whose endpoints the sender may lead; empty: those of all
  //! zones.
  std::string part;
  //! Whether the sender expects heartbeats in return. Daemons of different
  //! parts exchange heartbeats only if one of them leads or discovers members.
  bool wantsReply = true;
  double shedShare = 0; //!< Share of new work that a leader refuses.
  bool canLead = false; //!< Whether the sender may become leader now.
  //! Whether the sender follows a leader or leads. Without one it asks its
  //! likely successors for frequent heartbeats.
  bool hasLeader = false;
  bool leaving = false;
  //! Members for discovery: all alive ones in a small group, otherwise those
  //! that the addressee has not been told of.
  std::vector<Member> knownMembers;
};

}

#endif
