#ifndef HEMLOCKHAVEN_TESTS_SUPPORT_CLUSTER_H
#define HEMLOCKHAVEN_TESTS_SUPPORT_CLUSTER_H

#include "hemlockhaven/coordinator/Coordinator.h"
#include "hemlockhaven/fleet/Dice.h"
#include "platform/EndpointRegistry.h"
#include "standins/platform/FakeEndpoint.h"
#include "support/FakeEndpointStore.h"
#include "support/VirtualTime.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hemlockhaven::Testing {

//! The answer to a submission.
struct ClusterAnswer
{
  CallerAnswer answer;
  Duration latency{ 0 };
};

//! Simulates daemons and endpoints on a network in virtual time. Injects faults
//! such as isolated availability zones and crashed daemons, and records tasks
//! with overlapping runs.
class Cluster
{
public:
  struct Options
  {
    std::size_t daemons = 1;
    std::size_t zones = 1;
    std::size_t endpoints = 6;
    Resources capacity{ 16000, 65536, 0 };
    std::vector<double> speeds{ 1 };
    std::uint64_t seed = 1;
    //! If set, each daemon polls the endpoint list from the store, except while
    //! its zone is isolated. Otherwise ListEndpoints updates all daemons.
    bool readsEndpointList = false;
    //! Link of each daemon; a small one divides the endpoints by zone.
    double linkMbps = 1000;
    std::vector<double> cores{ 1 }; //!< Assigned to the daemons in turn.
    //! Daemons that all others know at their start; 0: all daemons.
    std::size_t seeds = 0;
    //! A process that continues after a pause handles buffered input before its
    //! overdue timers, as Boost.Asio does.
    bool handlesInputFirst = false;
    //! Rate of the endpoints' clocks; the platform's may be 2% slow.
    double endpointClockRate = 1;
    //! How late the endpoints' timers are at most, so that runs end after their
    //! lease.
    Duration endpointTimerDelay{ 0 };
    SchedulerPolicy policy;
  };

  explicit Cluster(const Options& aOptions);

  VirtualTime& Time() { return time_; }
  Dice& Random() { return dice_; }

  //! Submits work to a daemon; the answer appears in Answers. If the daemon
  //! crashes or reports a timeout, the caller resubmits the work after 1.3 s.
  void Submit(std::size_t aDaemon, Work aWork);

  //! The caller's connection breaks without the daemon's notice, and the caller
  //! sends the work again to this daemon. Without effect once it is answered.
  void SubmitAgain(const std::string& aWorkId, std::size_t aDaemon);
  //! The caller's connection breaks with the daemon's notice; the caller does
  //! not send the work again.
  void Disconnect(const std::string& aWorkId);
  std::vector<std::string> UnansweredWorks() const;

  void Kill(std::size_t aDaemon);
  void Restart(std::size_t aDaemon);
  void Pause(std::size_t aDaemon, Duration aFor);
  //! The process pauses between its next decision to start a task and the
  //! sending of the command.
  void PauseBeforeStart(std::size_t aDaemon, Duration aFor);
  //! Links to and from the daemon deliver all frames after this time.
  void HoldFrames(std::size_t aDaemon, Duration aFor);
  //! Cancel frames from the daemon are lost for this time.
  void DropCancels(std::size_t aDaemon, Duration aFor);
  //! For this time the endpoint carries commands out aDelay late, without a
  //! reply.
  void DelayCommands(std::size_t aEndpoint, Duration aFor, Duration aDelay);
  void SetZoneIsolated(std::size_t aZone, bool aIsolated);
  //! Drops messages between the daemon and daemons in other zones.
  void SetCrossZoneLinksDown(std::size_t aDaemon, bool aDown);
  //! Makes the endpoint list unreadable for the daemon.
  void SetStoreUnreachable(std::size_t aDaemon, bool aUnreachable)
  {
    daemons_[aDaemon].storeUnreachable = aUnreachable;
  }
  void CrashEndpoint(std::size_t aEndpoint) { endpoints_[aEndpoint]->Crash(); }
  FakeEndpoint& Endpoint(std::size_t aEndpoint)
  {
    return *endpoints_[aEndpoint];
  }
  void SetCapacity(std::size_t aEndpoint, const Resources& aCapacity)
  {
    endpoints_[aEndpoint]->SetCapacity(aCapacity);
  }
  //! Drops commands to the endpoint; they are not answered.
  void SetUnresponsive(std::size_t aEndpoint, bool aSilent);
  //! Updates the endpoint list of all running daemons, leaving out
  //! the endpoints in aWithout.
  void ListEndpoints(const std::set<std::size_t>& aWithout = {});
  //! Evacuates zones at all running daemons and at those that start later.
  void SetEvacuatedZones(std::vector<std::string> aZones);
  //! Number of runs that began at the endpoint.
  std::size_t StartCount(std::size_t aEndpoint) const
  {
    return startCounts_[aEndpoint];
  }
  //! Adds or expires the endpoint's record in the store.
  void PutListEntry(std::size_t aEndpoint);
  void ExpireListEntry(std::size_t aEndpoint);
  //! The leading daemon; any of them if several lead.
  std::optional<std::size_t> Leader() const;
  bool IsLeading(std::size_t aDaemon) const
  {
    return daemons_[aDaemon].up && daemons_[aDaemon].coordinator->IsLeading();
  }

  bool IsUp(std::size_t aDaemon) const { return daemons_[aDaemon].up; }
  std::size_t LeaderCount() const;
  //! Name of the leader that the daemon follows; empty: none.
  std::string LeaderSeenBy(std::size_t aDaemon) const
  {
    return daemons_[aDaemon].coordinator->Leader();
  }
  std::string NameOf(std::size_t aDaemon) const
  {
    return daemons_[aDaemon].member.name;
  }
  std::size_t ZoneOf(std::size_t aDaemon) const
  {
    return daemons_[aDaemon].zone;
  }
  const std::map<std::string, ClusterAnswer>& Answers() const
  {
    return answers_;
  }
  //! Tasks that had two runs at the same time.
  const std::vector<std::string>& OverlappingTasks() const
  {
    return overlappingTasks_;
  }
  std::size_t RunCount() const { return runCount_; }
  std::size_t RejectedStartCount() const;

  //! Called for each decision and run, for debugging failures.
  std::function<void(const std::string&)> trace;

  //! Run time of a task at speed 1; see FakeEndpoint.
  FakeEndpoint::WorkHook work = [](const TaskKey&) { return Duration(100000); };

private:
  struct DaemonState
  {
    std::unique_ptr<Coordinator> coordinator;
    Member member;
    std::size_t zone = 0;
    bool up = false;
    std::uint64_t incarnation = 0;
    TimePoint pausedUntil{};
    TimePoint sendsPausedUntil{};
    Duration pauseBeforeStart{ 0 };
    TimePoint framesHeldUntil{};
    TimePoint cancelsLostUntil{};
    // Used with Options::readsEndpointList only.
    std::unique_ptr<Platform::EndpointRegistry> registry;
    std::optional<std::uint64_t> nextOffset;
    TimePoint lastReadAt{};
    bool wasLeading = false;
    bool storeUnreachable = false;
  };

  void StartDaemon(std::size_t aDaemon);
  CoordinatorHooks MakeHooks(std::size_t aDaemon);
  enum class EventKind
  {
    Input,
    Timer
  };
  //! Runs the event at the daemon after the delay, unless the daemon has
  //! crashed or restarted by then.
  void RunAtDaemon(std::size_t aDaemon,
                   std::uint64_t aIncarnation,
                   Duration aDelay,
                   std::function<void(Coordinator&)> aEvent,
                   EventKind aKind = EventKind::Input);
  //! Time until what the daemon sends now leaves it.
  Duration SendDelay(std::size_t aDaemon) const;
  //! Time until a frame that is sent now arrives.
  Duration DrawFrameDelay(std::size_t aFrom, std::size_t aTo);
  void SendToMember(std::size_t aFrom,
                    std::string_view aName,
                    std::function<void(Coordinator&)> aEvent);
  void SendToEndpoint(std::size_t aFrom,
                      const std::string& aId,
                      std::function<void(FakeEndpoint&)> aCommand,
                      std::function<void(Coordinator&)> aLost);
  bool IsReachable(std::size_t aZone, std::size_t aOther) const;
  bool AreLinked(const DaemonState& aDaemon, const DaemonState& aOther) const;
  std::size_t EndpointIndex(const std::string& aId) const;
  //! The endpoint as it is listed.
  ListedEndpoint Listed(std::size_t aEndpoint) const;
  void ScheduleTick(std::size_t aDaemon, std::uint64_t aIncarnation);
  //! Reads the list if a read is due and updates the coordinator, like the
  //! daemon process does.
  void PollEndpointList(std::size_t aDaemon);
  void SendToDaemon(std::size_t aDaemon, const Work& aWork, TimePoint aSent);
  void ScheduleResubmission(const Work& aWork, TimePoint aSent);
  Duration DrawNetworkDelay();
  Timeline EndpointTimeline();

  struct LateCommands
  {
    TimePoint until{};
    Duration delay{ 0 };
  };

  Options options_;
  VirtualTime time_;
  Dice dice_;
  Dice timerDice_; //!< Leaves the other draws as they are.
  std::vector<DaemonState> daemons_;
  std::vector<std::unique_ptr<FakeEndpoint>> endpoints_;
  std::set<std::size_t> unresponsive_;
  std::map<std::size_t, LateCommands> lateCommands_; //!< By endpoint.
  std::set<std::size_t> isolatedZones_;
  std::set<std::size_t> crossZoneLinksDown_; //!< Indices of daemons.
  std::vector<ListedEndpoint> listed_;
  FakeEndpointStore endpointStore_;
  std::map<std::string, ClusterAnswer> answers_;
  std::map<std::string, int> active_; //!< Number of current runs by task.
  std::map<std::string, Resources> taskResources_;
  //! Daemon, work and submission time of each unanswered caller, by work id.
  std::map<std::string, std::pair<std::size_t, std::pair<Work, TimePoint>>>
    pendingCallers_;
  std::map<std::string, std::uint64_t> waiterIds_; //!< By work id.
  std::vector<std::string> overlappingTasks_;
  std::size_t runCount_ = 0;
  std::vector<std::size_t> startCounts_; //!< By endpoint.
  std::vector<std::string> evacuatedZones_;
};

}

#endif
