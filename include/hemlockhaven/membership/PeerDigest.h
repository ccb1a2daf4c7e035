#ifndef HEMLOCKHAVEN_MEMBERSHIP_PEERDIGEST_H
#define HEMLOCKHAVEN_MEMBERSHIP_PEERDIGEST_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/identity/SubmissionId.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hemlockhaven {

//! Number of speed classes in digests; class c is 2^(c/4) times as slow as
//! class 0.
constexpr std::size_t kDigestSpeedClasses = 16;

//! Free slots for each speed class.
using FreeSlots = std::array<std::uint32_t, kDigestSpeedClasses>;

//! Slot time that one caller used, under the sender's short number for it.
struct NumberedUse
{
  std::uint32_t number = 0; //!< Valid for one incarnation of the sender.
  std::string name; //!< The caller, when the sender announces the number.
  //! Since the sender's last report of this caller. Whole milliseconds are
  //! half as long on the wire as microseconds.
  std::chrono::milliseconds slotTime{ 0 };
};

//! What a daemon says of one daemon of its own availability zone.
struct ZoneMember
{
  Incarnation incarnation;
  std::uint32_t cores = 1;
  std::uint64_t sequence = 0; //!< Of the newest digest from it.
  Duration heardAgo{ 0 };     //!< Age of that digest.
  bool draining = false;
  std::optional<Incarnation> successor;
  FreeSlots freeSlots{};
  Duration queueWait{ 0 };
};

//! State of an availability zone, for the daemons of the others.
struct ZoneSummary
{
  std::string zone;
  std::vector<ZoneMember> members; //!< Those that are not dead.
};

//! What a daemon tells its peers; it is also the heartbeat.
//!
//! Small fields are always whole, so that a lost digest needs no repeat. Only
//! slot time is a delta, and only callers that used some are in it.
struct PeerDigest
{
  std::uint64_t sequence = 0; //!< Rises with each digest of an incarnation.
  std::uint64_t configurationVersion = 0;
  bool draining = false;
  std::optional<Incarnation> successor; //!< Who holds the finished answers.
  FreeSlots freeSlots{};
  Duration queueWait{ 0 };
  std::vector<NumberedUse> uses;
  //! To another availability zone: the sender's own. In the zone: what the
  //! sender received from others since its last digest.
  std::vector<ZoneSummary> zones;
};

}

#endif
