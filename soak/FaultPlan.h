#ifndef HEMLOCKHAVEN_SOAK_FAULTPLAN_H
#define HEMLOCKHAVEN_SOAK_FAULTPLAN_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/fleet/Dice.h"
#include "soak/EventCounts.h"
#include "soak/Fleet.h"
#include "soak/Ledger.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hemlockhaven::Soak {

//! Begins faults at random moments, several at a time, and ends each of them.
class FaultPlan
{
public:
  FaultPlan(boost::asio::io_context& aContext,
            Fleet& aFleet,
            Ledger& aLedger,
            std::uint64_t aSeed);

  //! Begins a fault every 0.1 to 0.8 s for so long.
  void Start(Duration aFor);
  //! Whether faults may still begin or go on.
  bool IsOver() const { return isOver_ && running_ == 0; }
  //! What was done when, to find the cause of a failure.
  Span<const std::string> History() const { return history_; }
  PlanCounts Counts() const;
  //! Between these times a daemon's process stood still.
  Span<const DaemonPause> Pauses() const { return pauses_; }
  //! A daemon has answered a caller with success.
  void Answered(std::size_t aDaemon);

private:
  using Begin = void (FaultPlan::*)();

  //! What the shape draws from.
  Span<const Begin> Faults() const;
  void BeginNext(TimePoint aUntil);
  //! Notes when this process itself stands still: proxies and callers do too.
  void WatchStalls();
  void After(Duration aDelay, std::function<void()> aEvent);
  void Note(const std::string& aWhat);
  Duration Between(std::int64_t aLeastMs, std::int64_t aMostMs);
  std::size_t Pick(std::size_t aCount) { return dice_.Next() % aCount; }
  //! A daemon or endpoint that no other signal works on; nothing if unlucky.
  std::optional<std::size_t> Take(std::set<std::size_t>& aTaken,
                                  std::size_t aCount);
  ProxyFault DrawProxyFault();
  //! Kills a daemon that was taken; it is started after so long.
  void Kill(std::size_t aDaemon, Duration aStartAfter);
  //! Pauses a daemon that was taken; the hook gives it back or goes on.
  void Pause(std::size_t aDaemon,
             Duration aLength,
             std::function<void()> aWhenOver);
  void GiveBackDaemon(std::size_t aDaemon) { takenDaemons_.erase(aDaemon); }
  void PauseEndpointFor(std::size_t aEndpoint,
                        Duration aLength,
                        std::function<void()> aWhenOver);

  void KillDaemon();
  void StopDaemon();
  void PauseDaemon();
  void HangUpDaemon();
  void KillAllDaemons();
  void DisturbLinks();
  void ResetLinks();
  //! Silences the open links to daemons again and again.
  void SilenceLinks(TimePoint aUntil);
  void KillEndpoint();
  void PauseEndpoint();
  void DisturbEndpoint();
  void DrainEndpoint();
  void ExpireEntries();
  //! Kills those of these daemons that do not lead, and starts them at once.
  void RestartFollowers(std::uint64_t aDaemonBits);
  void DisturbStore();
  void CutStore();
  void ChangeConfiguration();

  // Faults of zoned shapes, in ZoneFaults.cpp.
  void CutZone();
  //! A leader is paused, its zone is cut off, and the leader wakes in the cut.
  void CutPausedLeader();
  void BeginCut(std::size_t aZone, bool aResets, Duration aLength);
  //! Around the cut: a leader or another daemon is paused or restarted.
  void DisturbNearCut(std::size_t aZone, Duration aBegin, Duration aLength);
  void CutEndpoints();
  void PauseInSeries();
  void PauseLong();
  void SlowProcess();
  void ResetCallers();
  void ResetCallersOf(std::size_t aDaemon);
  void KillAfterAnswer();
  //! One of the leaders or, if it is not to lead, of all; nothing if another
  //! signal works on it.
  std::optional<std::size_t> TakeDrawn(bool aLeads, std::uint64_t aLot);
  Duration DrawPause();
  void ContinueSeries(std::size_t aDaemon, unsigned aLeft);
  //! Lets the process run and stand still in turn until then.
  void SlowDaemon(std::size_t aDaemon, TimePoint aUntil);
  void SlowEndpoint(std::size_t aEndpoint, TimePoint aUntil);

  boost::asio::io_context& context_;
  Fleet& fleet_;
  Ledger& ledger_;
  Dice dice_;
  Dice silenceDice_; //!< Of its own: the other draws of a seed stay the same.
  TimePoint startedAt_;
  std::set<std::size_t> takenDaemons_;
  std::set<std::size_t> takenEndpoints_;
  int storeFaults_ = 0;
  TimePoint storeCleanSince_;
  std::size_t running_ = 0; //!< Events that are still to come.
  bool isOver_ = false;
  std::vector<std::string> history_;

  std::optional<std::size_t> cutZone_;
  std::set<std::size_t> cutEndpoints_;
  //! Of the kill of the next daemon that answers; the time until its start.
  std::optional<Duration> startAfterKill_;
  Duration killAfterAnswer_{ 0 };
  PlanCounts counts_; //!< Without those that follow from pauses and cuts.
  std::vector<Period> cuts_; //!< Of zones, that have ended.
  std::vector<DaemonPause> pauses_;
};

}

#endif
