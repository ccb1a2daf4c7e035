#ifndef HEMLOCKHAVEN_MEMBERSHIP_FORWARDCHOOSER_H
#define HEMLOCKHAVEN_MEMBERSHIP_FORWARDCHOOSER_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/membership/Roster.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace hemlockhaven {

//! A peer to which a task may go.
struct ForwardTarget
{
  std::string node;
  std::size_t speedClass = 0; //!< Of the slot that is expected to be free.
  Duration expected{ 0 };     //!< Until the answer is back.
};

struct ForwardLimits
{
  //! Digests older than this count as absent. One missed digest is allowed.
  Duration freshInZone = std::chrono::milliseconds(1250);
  Duration freshAcross = std::chrono::milliseconds(5000);
  //! Used until a round trip is measured.
  Duration roundTripInZone = std::chrono::microseconds(500);
  Duration roundTripAcross = std::chrono::microseconds(2000);
};

//! Chooses which peer could answer a queued task soonest.
//!
//! Each choice takes one of the peer's advertised free slots until its next
//! digest, so that many tasks don't follow one stale digest. Thread-safe.
class ForwardChooser
{
public:
  explicit ForwardChooser(ForwardLimits aLimits = {})
    : limits_(aLimits)
  {
  }

  //! The best peer that is expected to answer before aOwn; none if there is
  //! none. Peers of aOwnZone go before all others. aServiceTime is the time
  //! in speed class 0; aOwn is the expected time without a forward.
  std::optional<ForwardTarget> Choose(Span<const PeerView> aPeers,
                                      std::string_view aOwnZone,
                                      Duration aServiceTime,
                                      Duration aOwn);

  //! The peer refused: its digest is stale, so nothing more goes there until
  //! its next one.
  void Refused(const PeerView& aPeer);

private:
  struct Taken
  {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool closed = false;
    FreeSlots slots{};
  };

  Taken& TakenOf(const PeerView& aPeer);

  ForwardLimits limits_;
  std::mutex mutex_; //!< Guards taken_.
  std::unordered_map<std::string, Taken> taken_;
};

}

#endif
