#include "support/Cluster.h"

#include <algorithm>
#include <sstream>

namespace hemlockhaven::Testing {

namespace {

constexpr Duration kTickInterval{ 25000 };
constexpr Duration kResubmitDelay{ 1300000 };
//! Commands without a reply fail after this time.
constexpr Duration kCommandTimeout{ 250000 };
//! Network delay of a frame that was held before.
constexpr Duration kHeldFrameDelay{ 1000 };
constexpr const char* kService = "repairs";
// Intervals at which a daemon reads the endpoint list: as leader, as follower,
// and before its first read has succeeded.
constexpr Duration kLeaderReadInterval{ 500000 };
constexpr Duration kFollowerReadInterval{ 1000000 };
constexpr Duration kInitialReadInterval{ 200000 };

std::string TaskName(const TaskKey& aTask)
{
  return aTask.workId + "." + std::to_string(aTask.step) + "." +
         std::to_string(aTask.index);
}

//! Drops replies after the first: a caller that has given up gets none.
template<typename Reply>
std::function<void(Reply)> FirstOnly(std::function<void(Reply)> aDone)
{
  return [done = std::move(aDone),
          isDone = std::make_shared<bool>(false)](Reply aReply) {
    if (!std::exchange(*isDone, true)) {
      done(std::move(aReply));
    }
  };
}

std::string ZoneName(std::size_t aZone)
{
  return "z" + std::to_string(aZone);
}

}

Cluster::Cluster(const Options& aOptions)
  : options_(aOptions)
  , dice_(aOptions.seed)
  , timerDice_(aOptions.seed)
{
  startCounts_.resize(aOptions.endpoints);
  for (std::size_t i = 0; i < aOptions.endpoints; ++i) {
    endpoints_.push_back(std::make_unique<FakeEndpoint>(
      EndpointTimeline(),
      "e" + std::to_string(i),
      aOptions.capacity,
      aOptions.speeds[i % aOptions.speeds.size()],
      [this](const TaskKey& aTask) { return work(aTask); },
      [this, i](const RunEvent& aEvent) {
        const std::string name = TaskName(aEvent.task);
        const bool began = !aEvent.outcome;
        startCounts_[i] += began ? 1 : 0;
        int& active = active_[name];
        active += began ? 1 : -1;
        runCount_ += began ? 1 : 0;
        if (trace) {
          trace(std::to_string(time_.Now().time_since_epoch().count() / 1000 %
                               1000000) +
                " run " + name + (began ? " begins" : " ends"));
        }
        if (active > 1) {
          overlappingTasks_.push_back(name);
        }
      }));
  }
  daemons_.resize(aOptions.daemons);
  for (std::size_t i = 0; i < aOptions.daemons; ++i) {
    daemons_[i].zone = i % aOptions.zones;
  }
  if (options_.readsEndpointList) {
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      PutListEntry(i);
    }
  }
  for (std::size_t i = 0; i < aOptions.daemons; ++i) {
    StartDaemon(i);
  }
  if (!options_.readsEndpointList) {
    ListEndpoints();
  }
  constexpr Duration kSettleTime{ 1500000 };
  time_.RunFor(kSettleTime);
}

Timeline Cluster::EndpointTimeline()
{
  const double rate = options_.endpointClockRate;
  const Duration longestDelay = options_.endpointTimerDelay;
  if (rate == 1 && longestDelay == Duration(0)) {
    return { time_.AsClock(),
             [this](Duration aDelay, std::function<void()> aEvent) {
               time_.ScheduleAfter(aDelay, std::move(aEvent));
             } };
  }
  const TimePoint start = time_.Now();
  const auto scaled = [](Duration aDuration, double aFactor) {
    return Duration(static_cast<std::int64_t>(
      static_cast<double>(aDuration.count()) * aFactor));
  };
  return { [this, start, rate, scaled] {
            return start + scaled(time_.Now() - start, rate);
          },
           [this, rate, longestDelay, scaled](Duration aDelay,
                                              std::function<void()> aEvent) {
             time_.ScheduleAfter(scaled(aDelay, 1 / rate) +
                                   scaled(longestDelay, timerDice_.NextShare()),
                                 std::move(aEvent));
           } };
}

Duration Cluster::SendDelay(std::size_t aDaemon) const
{
  return std::max(Duration(0),
                  daemons_[aDaemon].sendsPausedUntil - time_.Now());
}

Duration Cluster::DrawFrameDelay(std::size_t aFrom, std::size_t aTo)
{
  const Duration delay = DrawNetworkDelay();
  const TimePoint heldUntil = std::max({ daemons_[aFrom].framesHeldUntil,
                                         daemons_[aTo].framesHeldUntil,
                                         daemons_[aFrom].sendsPausedUntil });
  // Held frames arrive in the order in which they were sent.
  return heldUntil > time_.Now() ? heldUntil - time_.Now() + kHeldFrameDelay
                                 : delay;
}

Duration Cluster::DrawNetworkDelay()
{
  return Duration(400 + static_cast<std::int64_t>(dice_.NextShare() * 1200));
}

bool Cluster::IsReachable(std::size_t aZone, std::size_t aOther) const
{
  return aZone == aOther || (isolatedZones_.count(aZone) == 0 &&
                             isolatedZones_.count(aOther) == 0);
}

bool Cluster::AreLinked(const DaemonState& aDaemon,
                        const DaemonState& aOther) const
{
  const auto isCut = [this](const DaemonState& aNode) {
    return crossZoneLinksDown_.count(
             static_cast<std::size_t>(&aNode - daemons_.data())) > 0;
  };
  return aDaemon.zone == aOther.zone ||
         (IsReachable(aDaemon.zone, aOther.zone) && !isCut(aDaemon) &&
          !isCut(aOther));
}

void Cluster::StartDaemon(std::size_t aDaemon)
{
  DaemonState& node = daemons_[aDaemon];
  node.up = true;
  ++node.incarnation;
  node.member.name = "d" + std::to_string(aDaemon);
  node.member.address = node.member.name;
  node.member.cores = options_.cores[aDaemon % options_.cores.size()];
  node.member.zone = ZoneName(node.zone);
  node.member.linkMbps = options_.linkMbps;
  node.member.incarnation = node.incarnation;
  node.coordinator = std::make_unique<Coordinator>(
    node.member,
    options_.policy,
    ElectionParameters(),
    MakeHooks(aDaemon),
    time_.AsClock(),
    [this] {
      return std::chrono::duration_cast<std::chrono::milliseconds>(
               time_.Now().time_since_epoch())
        .count();
    });
  const std::size_t known =
    options_.seeds == 0 ? daemons_.size() : options_.seeds;
  for (std::size_t other = 0; other < known; ++other) {
    Member member;
    member.address = "d" + std::to_string(other);
    node.coordinator->AddMember(member);
  }
  node.coordinator->SetEvacuatedZones(evacuatedZones_);
  if (options_.readsEndpointList) {
    node.registry = std::make_unique<Platform::EndpointRegistry>(
      time_.AsClock(), [this](const std::string& aId, const std::string& aWhy) {
        if (trace) {
          trace(aId + " cannot be read: " + aWhy);
        }
      });
    node.nextOffset.reset();
    node.lastReadAt = TimePoint();
    node.wasLeading = false;
  } else {
    node.coordinator->SetEndpoints(listed_);
    node.coordinator->SetCanLead(true, "");
  }
  ScheduleTick(aDaemon, node.incarnation);
}

void Cluster::PollEndpointList(std::size_t aDaemon)
{
  DaemonState& node = daemons_[aDaemon];
  const bool leading = node.coordinator->IsLeading();
  Duration pause = leading ? kLeaderReadInterval : kFollowerReadInterval;
  if (!node.nextOffset) {
    pause = kInitialReadInterval;
  } else if (leading && !node.wasLeading) {
    pause = Duration(0);
  }
  node.wasLeading = leading;
  if (!node.storeUnreachable && isolatedZones_.count(node.zone) == 0 &&
      time_.Now() - node.lastReadAt >= pause) {
    const FakeEndpointStore::ReadResult read =
      endpointStore_.ReadFrom(node.nextOffset);
    node.lastReadAt = time_.Now();
    node.nextOffset = read.end;
    if (read.isSnapshot) {
      node.registry->ApplySnapshot(read.records, read.end, read.end);
    } else if (!read.records.empty()) {
      node.registry->Apply(read.records, read.end);
    }
  }
  if (const auto endpoints = node.registry->TakeChanged()) {
    node.coordinator->SetEndpoints(*endpoints);
    node.coordinator->SetCanLead(node.coordinator->OwnEndpointCount() > 0,
                                 "no endpoints");
  }
  node.coordinator->SetListPosition(node.registry->Position(),
                                    node.registry->Listed());
}

void Cluster::ScheduleTick(std::size_t aDaemon, std::uint64_t aIncarnation)
{
  RunAtDaemon(
    aDaemon,
    aIncarnation,
    kTickInterval,
    [this, aDaemon, aIncarnation](Coordinator& aNode) {
      if (options_.readsEndpointList) {
        PollEndpointList(aDaemon);
      }
      aNode.Tick();
      ScheduleTick(aDaemon, aIncarnation);
    },
    EventKind::Timer);
}

void Cluster::RunAtDaemon(std::size_t aDaemon,
                          std::uint64_t aIncarnation,
                          Duration aDelay,
                          std::function<void(Coordinator&)> aEvent,
                          EventKind aKind)
{
  time_.ScheduleAfter(
    aDelay, [this, aDaemon, aIncarnation, aKind, event = std::move(aEvent)] {
      DaemonState& node = daemons_[aDaemon];
      if (!node.up || node.incarnation != aIncarnation) {
        return;
      }
      if (time_.Now() < node.pausedUntil) {
        // Messages that arrive while the process is paused are handled
        // afterwards.
        const bool isAfterInput =
          aKind == EventKind::Timer && options_.handlesInputFirst;
        RunAtDaemon(aDaemon,
                    aIncarnation,
                    node.pausedUntil - time_.Now() +
                      Duration(isAfterInput ? 1 : 0),
                    event,
                    aKind);
        return;
      }
      event(*node.coordinator);
    });
}

void Cluster::SendToMember(std::size_t aFrom,
                           std::string_view aName,
                           std::function<void(Coordinator&)> aEvent)
{
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    if (daemons_[i].member.name == aName && daemons_[i].up &&
        AreLinked(daemons_[aFrom], daemons_[i])) {
      RunAtDaemon(i,
                  daemons_[i].incarnation,
                  DrawFrameDelay(aFrom, i),
                  std::move(aEvent));
      return;
    }
  }
}

std::size_t Cluster::EndpointIndex(const std::string& aId) const
{
  return std::stoul(aId.substr(1));
}

void Cluster::SendToEndpoint(std::size_t aFrom,
                             const std::string& aId,
                             std::function<void(FakeEndpoint&)> aCommand,
                             std::function<void(Coordinator&)> aLost)
{
  const std::size_t index = EndpointIndex(aId);
  const std::uint64_t incarnation = daemons_[aFrom].incarnation;
  if (unresponsive_.count(index) > 0 ||
      !IsReachable(daemons_[aFrom].zone, index % options_.zones)) {
    RunAtDaemon(aFrom, incarnation, kCommandTimeout, std::move(aLost));
    return;
  }
  const auto late = lateCommands_.find(index);
  if (late != lateCommands_.end() && time_.Now() < late->second.until) {
    RunAtDaemon(aFrom, incarnation, kCommandTimeout, std::move(aLost));
    time_.ScheduleAfter(late->second.delay,
                        [this, index, order = std::move(aCommand)] {
                          order(*endpoints_[index]);
                        });
    return;
  }
  time_.ScheduleAfter(
    DrawNetworkDelay() + SendDelay(aFrom),
    [this, index, order = std::move(aCommand)] { order(*endpoints_[index]); });
}

CoordinatorHooks Cluster::MakeHooks(std::size_t aDaemon)
{
  const std::uint64_t incarnation = daemons_[aDaemon].incarnation;
  const std::string name = "d" + std::to_string(aDaemon);
  // The endpoint's reply is lost if it becomes unreachable before replying.
  const auto answer = [this, aDaemon, incarnation](
                        const std::string& aId, auto aDone, auto aReply) {
    const std::size_t index = EndpointIndex(aId);
    if (unresponsive_.count(index) > 0 ||
        !IsReachable(daemons_[aDaemon].zone, index % options_.zones)) {
      RunAtDaemon(aDaemon, incarnation, kCommandTimeout, [aDone](Coordinator&) {
        aDone({});
      });
      return;
    }
    RunAtDaemon(aDaemon,
                incarnation,
                DrawNetworkDelay(),
                [aDone, aReply](Coordinator&) { aDone(aReply); });
  };
  CoordinatorHooks hooks;
  hooks.closeLink = [](const Member&) {}; // Simulated links never go silent.
  hooks.sendHeartbeat = [this, aDaemon](const Member& aMember,
                                        const Heartbeat& aHeartbeat) {
    SendToMember(aDaemon, aMember.address, [aHeartbeat](Coordinator& aNode) {
      aNode.OnHeartbeat(aHeartbeat);
    });
  };
  hooks.sendWork = [this, aDaemon, name](std::string_view aMember,
                                         const Work& aWork) {
    SendToMember(aDaemon, aMember, [name, aWork](Coordinator& aNode) {
      aNode.OnWork(name, aWork);
    });
  };
  hooks.sendAnswer = [this, aDaemon, name](std::string_view aMember,
                                           const WorkAnswer& aAnswer) {
    SendToMember(aDaemon, aMember, [name, aAnswer](Coordinator& aNode) {
      aNode.OnAnswer(name, aAnswer);
    });
  };
  hooks.sendCancel = [this, aDaemon, name](std::string_view aMember,
                                           std::string_view aWorkId,
                                           std::string_view aReason) {
    if (time_.Now() < daemons_[aDaemon].cancelsLostUntil) {
      return;
    }
    SendToMember(
      aDaemon,
      aMember,
      [name, id = std::string(aWorkId), reason = std::string(aReason)](
        Coordinator& aNode) { aNode.OnCancel(name, id, reason); });
  };
  hooks.start = [this, aDaemon, answer](const StartCommand& aCommand,
                                        auto aReplied) {
    DaemonState& node = daemons_[aDaemon];
    if (node.pauseBeforeStart > Duration(0)) {
      node.sendsPausedUntil = node.pausedUntil =
        time_.Now() + std::exchange(node.pauseBeforeStart, Duration(0));
    }
    const auto done = FirstOnly(std::move(aReplied));
    const std::string id = aCommand.target.endpoint;
    SendToEndpoint(
      aDaemon,
      id,
      [this, aCommand, id, done, answer](FakeEndpoint& aEndpoint) {
        answer(
          id,
          done,
          aEndpoint.Start(aCommand, taskResources_[aCommand.run.task.workId]));
      },
      [done](Coordinator&) { done(CommandReply()); });
  };
  hooks.stop = [this, aDaemon, answer](const StopCommand& aCommand,
                                       auto aReplied) {
    const auto done = FirstOnly(std::move(aReplied));
    const std::string id = aCommand.target.endpoint;
    SendToEndpoint(
      aDaemon,
      id,
      [aCommand, id, done, answer](FakeEndpoint& aEndpoint) {
        answer(id, done, aEndpoint.Stop(aCommand));
      },
      [done](Coordinator&) { done(CommandReply()); });
  };
  hooks.poll = [this, aDaemon, answer](const PollCommand& aCommand,
                                       auto aReplied) {
    const auto done = FirstOnly(std::move(aReplied));
    const std::string id = aCommand.target.endpoint;
    SendToEndpoint(
      aDaemon,
      id,
      [aCommand, id, done, answer](FakeEndpoint& aEndpoint) {
        aEndpoint.Look(aCommand, [id, done, answer](const PollResult& aResult) {
          answer(id, done, aResult);
        });
      },
      [done](Coordinator&) { done(PollResult()); });
  };
  hooks.logDecision = [this, name](const Decision& aDecision) {
    if (trace) {
      std::ostringstream line;
      line << time_.Now().time_since_epoch().count() / 1000 % 1000000 << " "
           << name << " " << aDecision.step << " " << aDecision.workId << " "
           << aDecision.endpoint << " " << aDecision.outcome << " "
           << aDecision.detail << " " << aDecision.inputs;
      trace(line.str());
    }
  };
  return hooks;
}

void Cluster::Submit(std::size_t aDaemon, Work aWork)
{
  taskResources_[aWork.id] = aWork.steps.front().taskResources;
  aWork.service = kService;
  SendToDaemon(aDaemon, aWork, time_.Now());
}

void Cluster::SendToDaemon(std::size_t aDaemon,
                           const Work& aWork,
                           TimePoint aSent)
{
  if (!daemons_[aDaemon].up) {
    ScheduleResubmission(aWork, aSent);
    return;
  }
  pendingCallers_[aWork.id] = { aDaemon, { aWork, aSent } };
  const std::uint64_t incarnation = daemons_[aDaemon].incarnation;
  RunAtDaemon(aDaemon,
              incarnation,
              DrawNetworkDelay(),
              [this, aDaemon, aWork, aSent](Coordinator& aNode) {
                waiterIds_[aWork.id] = aNode.Accept(
                  aWork,
                  [this, aDaemon, aWork, aSent](const CallerAnswer& aAnswer) {
                    const auto found = pendingCallers_.find(aWork.id);
                    if (found == pendingCallers_.end() ||
                        found->second.first != aDaemon) {
                      return;
                    }
                    pendingCallers_.erase(found);
                    if (aAnswer.outcome == CallerOutcome::TimedOut) {
                      ScheduleResubmission(aWork, aSent);
                    } else {
                      answers_[aWork.id] = { aAnswer, time_.Now() - aSent };
                    }
                  });
              });
}

void Cluster::ScheduleResubmission(const Work& aWork, TimePoint aSent)
{
  const auto daemon = static_cast<std::size_t>(
    dice_.NextShare() * static_cast<double>(daemons_.size()));
  time_.ScheduleAfter(kResubmitDelay, [this, daemon, aWork, aSent] {
    if (time_.Now() - aSent < aWork.callerTimeout) {
      SendToDaemon(daemon, aWork, aSent);
    }
  });
}

void Cluster::SubmitAgain(const std::string& aWorkId, std::size_t aDaemon)
{
  const auto found = pendingCallers_.find(aWorkId);
  if (found != pendingCallers_.end()) {
    const auto [again, sent] = found->second.second;
    SendToDaemon(aDaemon, again, sent);
  }
}

void Cluster::Disconnect(const std::string& aWorkId)
{
  const auto found = pendingCallers_.find(aWorkId);
  if (found == pendingCallers_.end()) {
    return;
  }
  const std::size_t daemon = found->second.first;
  pendingCallers_.erase(found);
  RunAtDaemon(daemon,
              daemons_[daemon].incarnation,
              DrawNetworkDelay(),
              [aWorkId, waiter = waiterIds_[aWorkId]](Coordinator& aNode) {
                aNode.OnCallerDisconnect(aWorkId, waiter);
              });
}

std::vector<std::string> Cluster::UnansweredWorks() const
{
  std::vector<std::string> ids;
  for (const auto& [id, caller] : pendingCallers_) {
    ids.push_back(id);
  }
  return ids;
}

void Cluster::Kill(std::size_t aDaemon)
{
  DaemonState& node = daemons_[aDaemon];
  if (!node.up) {
    return;
  }
  node.up = false;
  for (std::size_t other = 0; other < daemons_.size(); ++other) {
    if (other != aDaemon && AreLinked(node, daemons_[other])) {
      RunAtDaemon(other,
                  daemons_[other].incarnation,
                  DrawNetworkDelay(),
                  [name = node.member.name](Coordinator& aNode) {
                    aNode.OnLinkLost(name);
                  });
    }
  }
  std::vector<std::pair<Work, TimePoint>> orphaned;
  for (auto entry = pendingCallers_.begin(); entry != pendingCallers_.end();) {
    if (entry->second.first == aDaemon) {
      orphaned.push_back(entry->second.second);
      entry = pendingCallers_.erase(entry);
    } else {
      ++entry;
    }
  }
  for (const auto& [lost, sent] : orphaned) {
    ScheduleResubmission(lost, sent);
  }
}

void Cluster::Restart(std::size_t aDaemon)
{
  if (!daemons_[aDaemon].up) {
    StartDaemon(aDaemon);
  }
}

void Cluster::Pause(std::size_t aDaemon, Duration aFor)
{
  daemons_[aDaemon].pausedUntil = time_.Now() + aFor;
}

void Cluster::PauseBeforeStart(std::size_t aDaemon, Duration aFor)
{
  daemons_[aDaemon].pauseBeforeStart = aFor;
}

void Cluster::HoldFrames(std::size_t aDaemon, Duration aFor)
{
  daemons_[aDaemon].framesHeldUntil = time_.Now() + aFor;
}

void Cluster::DropCancels(std::size_t aDaemon, Duration aFor)
{
  daemons_[aDaemon].cancelsLostUntil = time_.Now() + aFor;
}

void Cluster::DelayCommands(std::size_t aEndpoint,
                            Duration aFor,
                            Duration aDelay)
{
  lateCommands_[aEndpoint] = { time_.Now() + aFor, aDelay };
}

void Cluster::SetZoneIsolated(std::size_t aZone, bool aIsolated)
{
  if (aIsolated) {
    isolatedZones_.insert(aZone);
  } else {
    isolatedZones_.erase(aZone);
  }
}

void Cluster::SetCrossZoneLinksDown(std::size_t aDaemon, bool aDown)
{
  if (aDown) {
    crossZoneLinksDown_.insert(aDaemon);
  } else {
    crossZoneLinksDown_.erase(aDaemon);
  }
}

void Cluster::SetUnresponsive(std::size_t aEndpoint, bool aSilent)
{
  if (aSilent) {
    unresponsive_.insert(aEndpoint);
  } else {
    unresponsive_.erase(aEndpoint);
  }
}

ListedEndpoint Cluster::Listed(std::size_t aEndpoint) const
{
  ListedEndpoint endpoint = endpoints_[aEndpoint]->Listed(kService);
  endpoint.zone = ZoneName(aEndpoint % options_.zones);
  return endpoint;
}

void Cluster::ListEndpoints(const std::set<std::size_t>& aWithout)
{
  listed_.clear();
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    if (aWithout.count(i) == 0) {
      listed_.push_back(Listed(i));
    }
  }
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    if (daemons_[i].up) {
      daemons_[i].coordinator->SetEndpoints(listed_);
    }
  }
}

void Cluster::SetEvacuatedZones(std::vector<std::string> aZones)
{
  evacuatedZones_ = std::move(aZones);
  for (const DaemonState& daemon : daemons_) {
    if (daemon.up) {
      daemon.coordinator->SetEvacuatedZones(evacuatedZones_);
    }
  }
}

void Cluster::PutListEntry(std::size_t aEndpoint)
{
  endpointStore_.Put(Listed(aEndpoint));
}

void Cluster::ExpireListEntry(std::size_t aEndpoint)
{
  endpointStore_.Remove("e" + std::to_string(aEndpoint));
}

std::optional<std::size_t> Cluster::Leader() const
{
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    if (daemons_[i].up && daemons_[i].coordinator->IsLeading()) {
      return i;
    }
  }
  return std::nullopt;
}

std::size_t Cluster::LeaderCount() const
{
  return static_cast<std::size_t>(std::count_if(
    daemons_.begin(), daemons_.end(), [](const DaemonState& aNode) {
      return aNode.up && aNode.coordinator->IsLeading();
    }));
}

std::size_t Cluster::RejectedStartCount() const
{
  std::size_t sum = 0;
  for (const auto& endpoint : endpoints_) {
    sum += endpoint->Rejected();
  }
  return sum;
}

}
