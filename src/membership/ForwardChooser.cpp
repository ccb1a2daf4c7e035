#include "hemlockhaven/membership/ForwardChooser.h"

#include <cmath>

namespace hemlockhaven {

ForwardChooser::Taken& ForwardChooser::TakenOf(const PeerView& aPeer)
{
  Taken& taken = taken_[aPeer.incarnation.node];
  if (taken.incarnation != aPeer.incarnation.number ||
      taken.sequence != aPeer.sequence) {
    taken = Taken{};
    taken.incarnation = aPeer.incarnation.number;
    taken.sequence = aPeer.sequence;
  }
  return taken;
}

std::optional<ForwardTarget> ForwardChooser::Choose(Span<const PeerView> aPeers,
                                                    std::string_view aOwnZone,
                                                    Duration aServiceTime,
                                                    Duration aOwn)
{
  std::optional<ForwardTarget> best;
  bool isBestInZone = false;
  const std::lock_guard lock(mutex_);
  Taken* bestTaken = nullptr;
  for (const PeerView& peer : aPeers) {
    const bool isInZone = peer.zone == aOwnZone;
    const bool isFresh =
      peer.heardAgo <= (isInZone ? limits_.freshInZone : limits_.freshAcross);
    if (peer.state != PeerState::Alive || !peer.CanOwn() || !isFresh ||
        (isBestInZone && !isInZone)) {
      continue;
    }
    Taken& taken = TakenOf(peer);
    if (taken.closed) {
      continue;
    }
    std::size_t speedClass = 0;
    while (speedClass < kDigestSpeedClasses &&
           peer.freeSlots[speedClass] <= taken.slots[speedClass]) {
      ++speedClass;
    }
    if (speedClass == kDigestSpeedClasses) {
      continue;
    }
    const Duration roundTrip = peer.roundTrip.count() > 0 ? peer.roundTrip
                               : isInZone ? limits_.roundTripInZone
                                          : limits_.roundTripAcross;
    const double slowness = std::exp2(static_cast<double>(speedClass) / 4);
    const Duration service(static_cast<Duration::rep>(
      static_cast<double>(aServiceTime.count()) * slowness));
    const Duration expected = peer.queueWait + service + roundTrip;
    const bool isBetter =
      !best || (isInZone && !isBestInZone) || expected < best->expected;
    if (expected < aOwn && isBetter) {
      best = ForwardTarget{ peer.incarnation.node, speedClass, expected };
      isBestInZone = isInZone;
      bestTaken = &taken; // References into the map stay valid on insertion.
    }
  }
  if (best) {
    ++bestTaken->slots[best->speedClass];
  }
  return best;
}

void ForwardChooser::Refused(const PeerView& aPeer)
{
  const std::lock_guard lock(mutex_);
  TakenOf(aPeer).closed = true;
}

}
