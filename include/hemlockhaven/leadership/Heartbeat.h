#ifndef HEMLOCKHAVEN_LEADERSHIP_HEARTBEAT_H
#define HEMLOCKHAVEN_LEADERSHIP_HEARTBEAT_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/scheduler/EndpointsInUse.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockhaven {

//! A daemon and where other daemons connect to it.
struct Member
{
  std::string name;
  std::string address; //!< "IP:port"
  std::string zone;
  double cores = 0;
  std::uint64_t incarnation = 0; //!< Rises with each start of the process.
};

//! What daemons tell each other at intervals.
struct Heartbeat
{
  Member from;
  std::uint64_t sequence = 0;
  std::uint64_t echo = 0;         //!< Highest sequence heard from the receiver.
  std::uint64_t leaderToken = 0;  //!< Fencing token of its term; 0: no leader.
  std::uint64_t highestToken = 0; //!< Highest token that it has heard of.
  Duration interval{ 0 };         //!< Until the next beat to the same receiver.
  //! Endpoints follow a leader that the sender does not see: a minority that
  //! hears it does not lead for so long.
  Duration electionBackoff{ 0 };
  EndpointsInUse endpointsInUse; //!< By a leader; else none.
  double shedShare = 0;          //!< Of new work that a leader refuses.
  bool canLead = false;          //!< Knows endpoints and does not stop.
  bool leaving = false;
  //! So that members find each other; empty in most beats.
  std::vector<Member> knownMembers;
};

}

#endif
