// Faults of deployments with several zones: cuts of a zone, pauses near them,
// slowed processes, and daemons that are lost right after an answer.
#include "soak/FaultPlan.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace hemlockhaven::Soak {

namespace {

//! A pause counts as one near a cut from so long before it to so long after.
constexpr Duration kNearCut{ 300000 };

}

void FaultPlan::CutZone()
{
  // All is drawn first: whether a cut goes on depends on the machine's timing.
  const std::size_t zone = Pick(Fleet::kZones);
  const bool resets = Pick(2) == 0;
  const Duration begin = Between(0, 250);
  const Duration length = Between(700, 6000);
  if (cutZone_) {
    return;
  }
  cutZone_ = zone;
  DisturbNearCut(zone, begin, length);
  After(begin,
        [this, zone, resets, length] { BeginCut(zone, resets, length); });
}

void FaultPlan::BeginCut(std::size_t aZone, bool aResets, Duration aLength)
{
  Note("cut zone " + std::to_string(aZone) + " off" +
       (aResets ? " with resets" : ""));
  const TimePoint from = SteadyNow();
  ++storeFaults_;
  ++counts_.zoneCuts;
  fleet_.CutZone(aZone);
  if (aResets) {
    fleet_.ResetZone(aZone);
  }
  After(aLength, [this, aZone, from] {
    Note("mend zone " + std::to_string(aZone));
    --storeFaults_;
    storeCleanSince_ = SteadyNow();
    fleet_.MendZones();
    cutZone_.reset();
    cuts_.push_back({ from, SteadyNow() });
  });
}

void FaultPlan::CutPausedLeader()
{
  const std::uint64_t lot = dice_.Next();
  const Duration begin = Between(0, 100);
  // Others hold the leader's work for 1.3 s once they have missed it for 0.4 s.
  const Duration pause = Between(1500, 3500);
  const Duration length = pause + Between(200, 1500);
  if (cutZone_) {
    return;
  }
  if (const auto daemon = TakeDrawn(true, lot)) {
    cutZone_ = *daemon % Fleet::kZones;
    Pause(*daemon, pause, [this, daemon] { GiveBackDaemon(*daemon); });
    After(begin,
          [this, zone = *cutZone_, length] { BeginCut(zone, false, length); });
  }
}

void FaultPlan::DisturbNearCut(std::size_t aZone,
                               Duration aBegin,
                               Duration aLength)
{
  const std::size_t kind = Pick(7);
  const bool leads = Pick(4) != 0;
  const std::uint64_t lot = dice_.Next();
  const Duration pause = DrawPause();
  const Duration shift = Between(0, 150);
  const Duration startAfter = Between(50, 1500);
  const auto pauseAfter = [&](Duration aDelay) {
    After(aDelay, [this, leads, lot, pause] {
      if (const auto daemon = TakeDrawn(leads, lot)) {
        Pause(*daemon, pause, [this, daemon] { GiveBackDaemon(*daemon); });
      }
    });
  };
  switch (kind) {
    case 0: // It wakes in the cut, or sleeps over its begin.
      pauseAfter(Duration(0));
      break;
    case 1:
      pauseAfter(aBegin + aLength / 4 + shift);
      break;
    case 2: // It sleeps over the end, or begins just before.
      pauseAfter(aBegin + aLength - shift);
      break;
    case 3: // Just after the end.
      pauseAfter(aBegin + aLength + shift / 4);
      break;
    case 4: // A daemon of the zone starts inside of the cut.
      After(aBegin + aLength / 4, [this, aZone, lot, startAfter] {
        const std::size_t inZone =
          (fleet_.Daemons() + Fleet::kZones - 1 - aZone) / Fleet::kZones;
        const std::size_t daemon =
          inZone == 0 ? 0 : aZone + Fleet::kZones * (lot % inZone);
        if (inZone != 0 && takenDaemons_.insert(daemon).second) {
          Kill(daemon, startAfter);
        }
      });
      break;
    case 5: // Callers of the zone come again, mostly in other zones.
      After(aBegin + shift, [this, aZone] {
        for (std::size_t i = aZone; i < fleet_.Daemons(); i += Fleet::kZones) {
          ResetCallersOf(i);
        }
      });
      break;
    default: // The cut alone.
      break;
  }
}

void FaultPlan::CutEndpoints()
{
  // The share of the users' disturbance.
  const std::size_t count = std::max<std::size_t>(1, fleet_.Endpoints() / 6);
  const std::size_t first = Pick(fleet_.Endpoints());
  const Duration length = Between(700, 5500);
  if (!cutEndpoints_.empty()) {
    return;
  }
  Note("cut off " + std::to_string(count) + " endpoints from " +
       std::to_string(first) + " on");
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t endpoint = (first + i) % fleet_.Endpoints();
    cutEndpoints_.insert(endpoint);
    fleet_.ForEachProxy(endpoint, [](FaultProxy& aProxy) {
      aProxy.Cut(CutScope::Server, [](std::string_view) { return true; });
    });
  }
  After(length, [this] {
    for (const std::size_t endpoint : cutEndpoints_) {
      fleet_.ForEachProxy(
        endpoint, [](FaultProxy& aProxy) { aProxy.Mend(CutScope::Server); });
    }
    cutEndpoints_.clear();
  });
}

std::optional<std::size_t> FaultPlan::TakeDrawn(bool aLeads, std::uint64_t aLot)
{
  std::size_t daemon = aLot % fleet_.Daemons();
  const std::vector<std::size_t> leaders = fleet_.Leaders();
  if (aLeads && !leaders.empty()) {
    daemon = leaders[aLot % leaders.size()];
  }
  return takenDaemons_.insert(daemon).second ? std::optional(daemon)
                                             : std::nullopt;
}

Duration FaultPlan::DrawPause()
{
  const bool isShort = Pick(2) == 0;
  return isShort ? Between(5, 100) : Between(300, 3500);
}

void FaultPlan::PauseInSeries()
{
  const bool leads = Pick(4) != 0;
  const std::uint64_t lot = dice_.Next();
  const auto pauses = static_cast<unsigned>(3 + Pick(10));
  if (const auto daemon = TakeDrawn(leads, lot)) {
    ContinueSeries(*daemon, pauses);
  }
}

void FaultPlan::ContinueSeries(std::size_t aDaemon, unsigned aLeft)
{
  if (aLeft == 0) {
    GiveBackDaemon(aDaemon);
    return;
  }
  Pause(aDaemon, Between(5, 100), [this, aDaemon, aLeft] {
    After(Between(10, 150),
          [this, aDaemon, aLeft] { ContinueSeries(aDaemon, aLeft - 1); });
  });
}

void FaultPlan::PauseLong()
{
  const bool leads = Pick(4) != 0;
  const std::uint64_t lot = dice_.Next();
  const Duration length = Between(300, 3500);
  if (const auto daemon = TakeDrawn(leads, lot)) {
    Pause(*daemon, length, [this, daemon] { GiveBackDaemon(*daemon); });
  }
}

void FaultPlan::SlowProcess()
{
  const bool isDaemon = Pick(3) != 0;
  const bool leads = Pick(2) == 0;
  const std::uint64_t lot = dice_.Next();
  const TimePoint until = SteadyNow() + Between(1000, 4000);
  if (isDaemon) {
    if (const auto daemon = TakeDrawn(leads, lot)) {
      Note("slow daemon " + std::to_string(*daemon));
      ++counts_.slowed;
      SlowDaemon(*daemon, until);
    }
    return;
  }
  const std::size_t endpoint = lot % fleet_.Endpoints();
  if (takenEndpoints_.insert(endpoint).second) {
    Note("slow endpoint " + std::to_string(endpoint));
    ++counts_.slowed;
    SlowEndpoint(endpoint, until);
  }
}

void FaultPlan::SlowDaemon(std::size_t aDaemon, TimePoint aUntil)
{
  if (SteadyNow() >= aUntil) {
    GiveBackDaemon(aDaemon);
    return;
  }
  ledger_.Disturbed(aDaemon, SteadyNow());
  fleet_.SignalDaemon(aDaemon, SIGSTOP);
  After(Between(5, 30), [this, aDaemon, aUntil] {
    fleet_.SignalDaemon(aDaemon, SIGCONT);
    After(Between(5, 20),
          [this, aDaemon, aUntil] { SlowDaemon(aDaemon, aUntil); });
  });
}

void FaultPlan::SlowEndpoint(std::size_t aEndpoint, TimePoint aUntil)
{
  if (SteadyNow() >= aUntil) {
    takenEndpoints_.erase(aEndpoint);
    return;
  }
  PauseEndpointFor(aEndpoint, Between(5, 30), [this, aEndpoint, aUntil] {
    After(Between(5, 20),
          [this, aEndpoint, aUntil] { SlowEndpoint(aEndpoint, aUntil); });
  });
}

void FaultPlan::ResetCallers()
{
  ResetCallersOf(Pick(fleet_.Daemons()));
}

void FaultPlan::ResetCallersOf(std::size_t aDaemon)
{
  Note("reset the callers of daemon " + std::to_string(aDaemon));
  ledger_.Disturbed(aDaemon, SteadyNow());
  ++counts_.callerResets;
  FaultProxy& callers = *fleet_.CallerProxy(aDaemon);
  if (fleet_.Kind().resetsOneSided) {
    callers.ResetClients();
  } else {
    callers.Reset();
  }
}

void FaultPlan::KillAfterAnswer()
{
  killAfterAnswer_ = Between(0, 6);
  startAfterKill_ = Between(50, 2500);
}

void FaultPlan::Answered(std::size_t aDaemon)
{
  if (!startAfterKill_ || isOver_ || !takenDaemons_.insert(aDaemon).second) {
    return;
  }
  const Duration startAfter = *std::exchange(startAfterKill_, std::nullopt);
  After(killAfterAnswer_, [this, aDaemon, startAfter] {
    ++counts_.killsAfterAnswer;
    Kill(aDaemon, startAfter);
  });
}

PlanCounts FaultPlan::Counts() const
{
  PlanCounts counts = counts_;
  for (const DaemonPause& pause : pauses_) {
    ++(pause.period.until - pause.period.from < std::chrono::milliseconds(150)
         ? counts.shortPauses
         : counts.longPauses);
  }
  for (const Period& cut : cuts_) {
    counts.zoneCutsWithPausedLeader += static_cast<std::size_t>(std::any_of(
      pauses_.begin(), pauses_.end(), [&cut](const DaemonPause& aPause) {
        return aPause.leads && aPause.period.from < cut.until + kNearCut &&
               cut.from < aPause.period.until + kNearCut;
      }));
  }
  return counts;
}

}
