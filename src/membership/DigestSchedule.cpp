#include "hemlockhaven/membership/DigestSchedule.h"

#include <utility>

namespace hemlockhaven {

namespace {

//! The next time in step with the interval. A schedule that fell behind skips
//! what it missed instead of sending it all at once.
TimePoint Advance(TimePoint aDue, Duration aInterval, TimePoint aNow)
{
  const TimePoint next = aDue + aInterval;
  return next > aNow ? next : aNow + aInterval;
}

}

DigestSchedule::DigestSchedule(const Roster& aRoster)
  : roster_(aRoster)
{
}

DigestPlan DigestSchedule::TakeDue(TimePoint aNow)
{
  DigestPlan plan;
  const bool isZoneDue = aNow >= zoneDue_;
  const bool isAcrossDue = aNow >= acrossDue_;
  if (!isZoneDue && !isAcrossDue) {
    return plan;
  }
  // Dead and unmet peers are included: a digest is how they come back.
  std::map<std::string, std::vector<PeerView>> others;
  for (PeerView& peer : roster_.Peers()) {
    if (peer.zone != roster_.OwnZone()) {
      others[peer.zone].push_back(std::move(peer));
    } else if (isZoneDue) {
      plan.inZone.push_back(std::move(peer.incarnation.node));
    }
  }
  if (isZoneDue) {
    zoneDue_ = Advance(zoneDue_, roster_.Times().zoneInterval, aNow);
  }
  if (isAcrossDue) {
    acrossDue_ = Advance(acrossDue_, roster_.Times().acrossInterval, aNow);
    for (const auto& [zone, peers] : others) {
      std::vector<const PeerView*> candidates;
      for (const PeerView& peer : peers) {
        if (peer.state == PeerState::Alive) {
          candidates.push_back(&peer);
        }
      }
      if (candidates.empty()) {
        for (const PeerView& peer : peers) {
          candidates.push_back(&peer);
        }
      }
      const std::size_t turn = turns_[zone]++;
      plan.acrossZones.push_back(
        candidates[turn % candidates.size()]->incarnation.node);
    }
  }
  return plan;
}

}
