#include "soak/FaultPlan.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <memory>
#include <utility>

namespace hemlockhaven::Soak {

namespace {

//! Daemons may start work at an endpoint for so long after it drains.
constexpr Duration kDrain{ 3000000 };
constexpr Duration kStallInterval{ 20000 };
//! Daemons are lost after 0.35 s without a heartbeat; a third of it can add to
//! other delays.
constexpr Duration kNotedStall{ 100000 };

}

FaultPlan::FaultPlan(boost::asio::io_context& aContext,
                     Fleet& aFleet,
                     Ledger& aLedger,
                     std::uint64_t aSeed)
  : context_(aContext)
  , fleet_(aFleet)
  , ledger_(aLedger)
  , dice_(aSeed)
  , silenceDice_(~aSeed)
  , startedAt_(SteadyNow())
  , storeCleanSince_(startedAt_)
{
}

void FaultPlan::Start(Duration aFor)
{
  const TimePoint until = SteadyNow() + aFor;
  WatchStalls();
  BeginNext(until);
  if (fleet_.Kind().faults != FaultMix::Cuts) {
    SilenceLinks(until);
  }
}

Span<const FaultPlan::Begin> FaultPlan::Faults() const
{
  static constexpr std::array<Begin, 18> kPlain{
    &FaultPlan::KillDaemon,          &FaultPlan::StopDaemon,
    &FaultPlan::StopDaemon,          &FaultPlan::PauseDaemon,
    &FaultPlan::HangUpDaemon,        &FaultPlan::KillAllDaemons,
    &FaultPlan::DisturbLinks,        &FaultPlan::DisturbLinks,
    &FaultPlan::ResetLinks,          &FaultPlan::KillEndpoint,
    &FaultPlan::PauseEndpoint,       &FaultPlan::DisturbEndpoint,
    &FaultPlan::DisturbEndpoint,     &FaultPlan::DrainEndpoint,
    &FaultPlan::DisturbStore,        &FaultPlan::CutStore,
    &FaultPlan::ChangeConfiguration, &FaultPlan::ExpireEntries
  };
  // Those that may set two leaders or two copies of a job against each other
  // come more often.
  static constexpr std::array<Begin, 30> kZoned{
    &FaultPlan::CutPausedLeader, &FaultPlan::CutPausedLeader,
    &FaultPlan::CutZone,         &FaultPlan::CutZone,
    &FaultPlan::CutZone,         &FaultPlan::CutZone,
    &FaultPlan::CutEndpoints,    &FaultPlan::CutEndpoints,
    &FaultPlan::PauseInSeries,   &FaultPlan::PauseInSeries,
    &FaultPlan::PauseInSeries,   &FaultPlan::PauseLong,
    &FaultPlan::PauseLong,       &FaultPlan::SlowProcess,
    &FaultPlan::SlowProcess,     &FaultPlan::ResetCallers,
    &FaultPlan::ResetCallers,    &FaultPlan::KillAfterAnswer,
    &FaultPlan::KillAfterAnswer, &FaultPlan::KillDaemon,
    &FaultPlan::StopDaemon,      &FaultPlan::HangUpDaemon,
    &FaultPlan::DisturbLinks,    &FaultPlan::ResetLinks,
    &FaultPlan::KillEndpoint,    &FaultPlan::PauseEndpoint,
    &FaultPlan::DisturbEndpoint, &FaultPlan::DrainEndpoint,
    &FaultPlan::DisturbStore,    &FaultPlan::ExpireEntries
  };
  static constexpr std::array<Begin, 8> kCuts{
    &FaultPlan::CutPausedLeader, &FaultPlan::CutPausedLeader,
    &FaultPlan::CutPausedLeader, &FaultPlan::CutZone,
    &FaultPlan::CutZone,         &FaultPlan::CutEndpoints,
    &FaultPlan::ResetCallers,    &FaultPlan::PauseInSeries
  };
  switch (fleet_.Kind().faults) {
    case FaultMix::Plain:
      return kPlain;
    case FaultMix::Zoned:
      return kZoned;
    case FaultMix::Cuts:
      break;
  }
  return kCuts;
}

void FaultPlan::BeginNext(TimePoint aUntil)
{
  if (SteadyNow() >= aUntil) {
    isOver_ = true;
    return;
  }
  const Span<const Begin> faults = Faults();
  (this->*faults[Pick(faults.size())])();
  After(Between(100, 800), [this, aUntil] { BeginNext(aUntil); });
}

void FaultPlan::WatchStalls()
{
  if (isOver_) {
    return;
  }
  const TimePoint due = SteadyNow() + kStallInterval;
  After(kStallInterval, [this, due] {
    const auto late = std::chrono::duration_cast<Duration>(SteadyNow() - due);
    counts_.longestStall = std::max(counts_.longestStall, late);
    if (late > kNotedStall) {
      Note("the soak itself stood still for " +
           std::to_string(late.count() / 1000) + " ms");
    }
    WatchStalls();
  });
}

void FaultPlan::After(Duration aDelay, std::function<void()> aEvent)
{
  ++running_;
  auto timer = std::make_shared<boost::asio::steady_timer>(context_, aDelay);
  timer->async_wait(
    [this, timer, event = std::move(aEvent)](const auto& aError) {
      --running_;
      if (!aError) {
        event();
      }
    });
}

void FaultPlan::Note(const std::string& aWhat)
{
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                    SteadyNow() - startedAt_)
                    .count();
  history_.push_back(std::to_string(ms) + " ms: " + aWhat);
}

Duration FaultPlan::Between(std::int64_t aLeastMs, std::int64_t aMostMs)
{
  const auto span = static_cast<std::uint64_t>(aMostMs - aLeastMs);
  return std::chrono::milliseconds(
    aLeastMs + static_cast<std::int64_t>(dice_.Next() % span));
}

std::optional<std::size_t> FaultPlan::Take(std::set<std::size_t>& aTaken,
                                           std::size_t aCount)
{
  const std::size_t picked = Pick(aCount);
  return aTaken.insert(picked).second ? std::optional(picked) : std::nullopt;
}

ProxyFault FaultPlan::DrawProxyFault()
{
  ProxyFault fault;
  fault.share = Pick(2) == 0 ? 1 : 0.5;
  switch (Pick(4)) {
    case 0:
      fault.holdsRequests = true;
      break;
    case 1:
      fault.holdsAnswers = true;
      break;
    case 2:
      fault.holdsRequests = true;
      fault.holdsAnswers = true;
      break;
    default:
      fault.delay = Between(5, 120);
      break;
  }
  return fault;
}

void FaultPlan::KillDaemon()
{
  if (const auto daemon = Take(takenDaemons_, fleet_.Daemons())) {
    Kill(*daemon, Between(100, 2500));
  }
}

void FaultPlan::Kill(std::size_t aDaemon, Duration aStartAfter)
{
  Note("kill daemon " + std::to_string(aDaemon));
  ledger_.Disturbed(aDaemon, SteadyNow());
  fleet_.SignalDaemon(aDaemon, SIGKILL);
  After(aStartAfter, [this, aDaemon] {
    fleet_.StartDaemon(aDaemon);
    takenDaemons_.erase(aDaemon);
  });
}

void FaultPlan::StopDaemon()
{
  if (const auto daemon = Take(takenDaemons_, fleet_.Daemons())) {
    Note("stop daemon " + std::to_string(*daemon));
    ledger_.Told(*daemon, SteadyNow());
    fleet_.SignalDaemon(*daemon, SIGTERM);
    // The platform kills what is left after its grace.
    constexpr Duration kGrace{ 6000000 };
    After(kGrace, [this, daemon] {
      if (fleet_.DaemonExit(*daemon).value_or(-1) != 0) {
        ledger_.Broken("daemon " + std::to_string(*daemon) +
                       " did not stop in time without an error");
      }
      fleet_.StartDaemon(*daemon);
      takenDaemons_.erase(*daemon);
    });
  }
}

void FaultPlan::PauseDaemon()
{
  if (const auto daemon = Take(takenDaemons_, fleet_.Daemons())) {
    Pause(
      *daemon, Between(100, 3000), [this, daemon] { GiveBackDaemon(*daemon); });
  }
}

void FaultPlan::Pause(std::size_t aDaemon,
                      Duration aLength,
                      std::function<void()> aWhenOver)
{
  const std::vector<std::size_t> leaders = fleet_.Leaders();
  const bool leads =
    std::find(leaders.begin(), leaders.end(), aDaemon) != leaders.end();
  Note("pause daemon " + std::to_string(aDaemon) + " for " +
       std::to_string(aLength.count() / 1000) + " ms" +
       (leads ? ", a leader" : ""));
  const TimePoint from = SteadyNow();
  ledger_.Disturbed(aDaemon, from);
  fleet_.SignalDaemon(aDaemon, SIGSTOP);
  After(aLength, [this, aDaemon, from, leads, whenOver = std::move(aWhenOver)] {
    const TimePoint until = SteadyNow();
    ledger_.Disturbed(aDaemon, until);
    fleet_.SignalDaemon(aDaemon, SIGCONT);
    pauses_.push_back({ aDaemon, { from, until }, leads });
    whenOver();
  });
}

void FaultPlan::HangUpDaemon()
{
  if (const auto daemon = Take(takenDaemons_, fleet_.Daemons())) {
    Note("reload daemon " + std::to_string(*daemon));
    fleet_.SignalDaemon(*daemon, SIGHUP);
    takenDaemons_.erase(*daemon);
  }
}

void FaultPlan::KillAllDaemons()
{
  Note("kill all daemons that no other fault works on");
  for (std::size_t daemon = 0; daemon < fleet_.Daemons(); ++daemon) {
    if (takenDaemons_.insert(daemon).second) {
      ledger_.Disturbed(daemon, SteadyNow());
      fleet_.SignalDaemon(daemon, SIGKILL);
      After(Between(200, 1500), [this, daemon] {
        fleet_.StartDaemon(daemon);
        takenDaemons_.erase(daemon);
      });
    }
  }
}

void FaultPlan::DisturbLinks()
{
  const std::size_t daemon = Pick(fleet_.Daemons());
  Note("disturb the links to daemon " + std::to_string(daemon));
  fleet_.LinkProxy(daemon).Set(DrawProxyFault());
  After(Between(200, 3000),
        [this, daemon] { fleet_.LinkProxy(daemon).Heal(); });
}

void FaultPlan::ResetLinks()
{
  const std::size_t daemon = Pick(fleet_.Daemons());
  Note("reset the links to daemon " + std::to_string(daemon));
  if (fleet_.Kind().resetsOneSided) {
    fleet_.LinkProxy(daemon).ResetClients();
  } else {
    fleet_.LinkProxy(daemon).Reset();
  }
}

void FaultPlan::SilenceLinks(TimePoint aUntil)
{
  constexpr std::int64_t kMinPauseMs = 500;
  constexpr std::uint64_t kPauseSpanMs = 4000;
  const Duration pause = std::chrono::milliseconds(
    kMinPauseMs +
    static_cast<std::int64_t>(silenceDice_.Next() % kPauseSpanMs));
  if (SteadyNow() + pause >= aUntil) {
    return;
  }
  // Every fourth time the links to all daemons go silent at once.
  const bool isForAll = silenceDice_.Next() % 4 == 0;
  const std::size_t drawn = silenceDice_.Next() % fleet_.Daemons();
  After(pause, [this, aUntil, isForAll, drawn] {
    Note(isForAll ? "silence all links"
                  : "silence the links to daemon " + std::to_string(drawn));
    for (std::size_t daemon = 0; daemon < fleet_.Daemons(); ++daemon) {
      if (isForAll || daemon == drawn) {
        fleet_.LinkProxy(daemon).Silence();
      }
    }
    SilenceLinks(aUntil);
  });
}

void FaultPlan::KillEndpoint()
{
  if (const auto endpoint = Take(takenEndpoints_, fleet_.Endpoints())) {
    Note("kill endpoint " + std::to_string(*endpoint));
    fleet_.KillEndpoint(*endpoint);
    After(Between(200, 2500), [this, endpoint] {
      fleet_.StartEndpoint(*endpoint);
      takenEndpoints_.erase(*endpoint);
    });
  }
}

void FaultPlan::PauseEndpoint()
{
  if (const auto endpoint = Take(takenEndpoints_, fleet_.Endpoints())) {
    Note("pause endpoint " + std::to_string(*endpoint));
    PauseEndpointFor(*endpoint, Between(100, 3000), [this, endpoint] {
      takenEndpoints_.erase(*endpoint);
    });
  }
}

void FaultPlan::PauseEndpointFor(std::size_t aEndpoint,
                                 Duration aLength,
                                 std::function<void()> aWhenOver)
{
  const TimePoint from = SteadyNow();
  fleet_.SignalEndpoint(aEndpoint, SIGSTOP);
  After(aLength, [this, aEndpoint, from, whenOver = std::move(aWhenOver)] {
    fleet_.SignalEndpoint(aEndpoint, SIGCONT);
    ledger_.Paused(fleet_.EndpointId(aEndpoint), { from, SteadyNow() });
    whenOver();
  });
}

void FaultPlan::DisturbEndpoint()
{
  const std::size_t endpoint = Pick(fleet_.Endpoints());
  Note("disturb endpoint " + std::to_string(endpoint));
  if (Pick(3) == 0) {
    fleet_.ForEachProxy(endpoint, [](FaultProxy& aProxy) { aProxy.Reset(); });
    return;
  }
  const ProxyFault fault = DrawProxyFault();
  fleet_.ForEachProxy(endpoint,
                      [&fault](FaultProxy& aProxy) { aProxy.Set(fault); });
  After(Between(200, 3000), [this, endpoint] {
    fleet_.ForEachProxy(endpoint, [](FaultProxy& aProxy) { aProxy.Heal(); });
  });
}

void FaultPlan::DrainEndpoint()
{
  if (const auto endpoint = Take(takenEndpoints_, fleet_.Endpoints())) {
    Note("drain endpoint " + std::to_string(*endpoint));
    const TimePoint begin = SteadyNow();
    fleet_.List(*endpoint, true);
    const std::string id = fleet_.EndpointId(*endpoint);
    After(kDrain + Between(200, 1500), [this, endpoint, begin, id] {
      // A daemon that cannot read the store cannot know.
      if (storeFaults_ == 0 && storeCleanSince_ <= begin) {
        ledger_.Forbid(id, begin + kDrain, SteadyNow());
      }
      fleet_.List(*endpoint, false);
      takenEndpoints_.erase(*endpoint);
    });
  }
}

void FaultPlan::ExpireEntries()
{
  const std::size_t tenths = 1 + Pick(10);
  std::string expired;
  for (std::size_t endpoint = 0; endpoint < fleet_.Endpoints(); ++endpoint) {
    // Listing an endpoint again that another fault works on would list a dead
    // one, or end a drain.
    if (Pick(10) < tenths && takenEndpoints_.insert(endpoint).second) {
      expired += " " + std::to_string(endpoint);
      fleet_.Unlist(endpoint);
      After(Between(200, 4500), [this, endpoint] {
        fleet_.List(endpoint, false);
        takenEndpoints_.erase(endpoint);
      });
    }
  }
  Note("expire the entries of endpoints" + expired);
  if (Pick(2) == 0) {
    return;
  }
  // Drawn now: draws in later events would depend on the machine's timing.
  const Duration restart = Between(100, 1500);
  const std::uint64_t daemonBits = dice_.Next();
  After(restart, [this, daemonBits] { RestartFollowers(daemonBits); });
  if (Pick(2) == 0) {
    const Duration kill = restart + Between(100, 1500);
    const Duration startAfter = Between(100, 2500);
    After(kill, [this, startAfter] {
      const auto leader = fleet_.Leader();
      if (leader && takenDaemons_.insert(*leader).second) {
        Kill(*leader, startAfter);
      }
    });
  }
}

void FaultPlan::RestartFollowers(std::uint64_t aDaemonBits)
{
  const auto leader = fleet_.Leader();
  for (std::size_t daemon = 0; daemon < fleet_.Daemons(); ++daemon) {
    const bool isDrawn = (aDaemonBits >> daemon & 1U) != 0;
    if (isDrawn && daemon != leader && takenDaemons_.count(daemon) == 0) {
      Note("restart daemon " + std::to_string(daemon));
      ledger_.Disturbed(daemon, SteadyNow());
      fleet_.SignalDaemon(daemon, SIGKILL);
      fleet_.StartDaemon(daemon);
    }
  }
}

void FaultPlan::DisturbStore()
{
  static constexpr std::array<StoreStandIn::Mode, 3> kModes{
    StoreStandIn::Mode::Down,
    StoreStandIn::Mode::LosesAnswers,
    StoreStandIn::Mode::Slow
  };
  Note("disturb the store");
  ++storeFaults_;
  fleet_.SetStoreMode(kModes.at(Pick(kModes.size())));
  After(Between(300, 4000), [this] {
    --storeFaults_;
    storeCleanSince_ = SteadyNow();
    fleet_.SetStoreMode(StoreStandIn::Mode::Up);
  });
}

void FaultPlan::CutStore()
{
  const std::size_t daemon = Pick(fleet_.Daemons());
  Note("cut daemon " + std::to_string(daemon) + " from the store");
  ++storeFaults_;
  fleet_.StoreProxy(daemon).Set({ true, true, Duration(0), 1 });
  After(Between(300, 4000), [this, daemon] {
    --storeFaults_;
    storeCleanSince_ = SteadyNow();
    fleet_.StoreProxy(daemon).Heal();
  });
}

void FaultPlan::ChangeConfiguration()
{
  Note("change the configuration");
  fleet_.Configure();
}

}
