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

//! What became of a submission.
struct ClusterAnswer
{
  CallerAnswer answer;
  Duration latency{ 0 };
};

//! Daemons and endpoints over a network in virtual time, with zones that can be
//! cut off and daemons that die, and a check that no task runs twice at once.
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
    //! Each daemon reads the list of endpoints from the store, at intervals,
    //! and not at all while its zone is cut off. Else all are told by List.
    bool readsEndpointList = false;
  };

  explicit Cluster(const Options& aOptions);

  VirtualTime& Time() { return time_; }
  Dice& Random() { return dice_; }

  //! Hands work to a daemon; its answer appears in Answers. The caller sends it
  //! again after 1.3 s if the daemon dies or says that it timed out.
  void Submit(std::size_t aDaemon, Work aWork);

  void Kill(std::size_t aDaemon);
  void Restart(std::size_t aDaemon);
  void Pause(std::size_t aDaemon, Duration aFor);
  void SetZoneIsolated(std::size_t aZone, bool aIsolated);
  //! Messages between the daemon and the others of other zones vanish.
  void SetCrossZoneLinksDown(std::size_t aDaemon, bool aDown);
  //! The daemon cannot read the list.
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
  //! Orders to the endpoint vanish, unanswered.
  void SetUnresponsive(std::size_t aEndpoint, bool aSilent);
  //! Tells all daemons which endpoints there are, as the list would.
  void ListEndpoints(const std::set<std::size_t>& aWithout = {});
  //! The store's entry of the endpoint appears or expires.
  void PutListEntry(std::size_t aEndpoint);
  void ExpireListEntry(std::size_t aEndpoint);
  //! The daemon that leads; of several any.
  std::optional<std::size_t> Leader() const;
  bool IsLeading(std::size_t aDaemon) const
  {
    return daemons_[aDaemon].up && daemons_[aDaemon].coordinator->IsLeading();
  }

  bool IsUp(std::size_t aDaemon) const { return daemons_[aDaemon].up; }
  std::size_t LeaderCount() const;
  const std::map<std::string, ClusterAnswer>& Answers() const
  {
    return answers_;
  }
  //! Tasks of which two runs existed at once.
  const std::vector<std::string>& OverlappingTasks() const
  {
    return overlappingTasks_;
  }
  std::size_t RunCount() const { return runCount_; }
  std::size_t RejectedStartCount() const;

  //! Receives each decision and run, to find the cause of a failure.
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
    // With Options::readsEndpointList.
    std::unique_ptr<Platform::EndpointRegistry> registry;
    std::optional<std::uint64_t> nextOffset;
    TimePoint lastReadAt{};
    bool wasLeading = false;
    bool storeUnreachable = false;
  };

  void StartDaemon(std::size_t aDaemon);
  CoordinatorHooks MakeHooks(std::size_t aDaemon);
  //! Runs the event at the daemon after the delay if it still lives then.
  void RunAtDaemon(std::size_t aDaemon,
                   std::uint64_t aIncarnation,
                   Duration aDelay,
                   std::function<void(Coordinator&)> aEvent);
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
  void ScheduleTick(std::size_t aDaemon, std::uint64_t aIncarnation);
  //! Reads the list if that is due, and tells the daemon, as its program does.
  void PollEndpointList(std::size_t aDaemon);
  void SendToDaemon(std::size_t aDaemon, const Work& aWork, TimePoint aSent);
  void ScheduleResubmission(const Work& aWork, TimePoint aSent);
  Duration DrawNetworkDelay();

  Options options_;
  VirtualTime time_;
  Dice dice_;
  std::vector<DaemonState> daemons_;
  std::vector<std::unique_ptr<FakeEndpoint>> endpoints_;
  std::set<std::size_t> unresponsive_;
  std::set<std::size_t> isolatedZones_;
  std::set<std::size_t> crossZoneLinksDown_; //!< Of these daemons.
  std::vector<ListedEndpoint> listed_;
  FakeEndpointStore endpointStore_;
  std::map<std::string, ClusterAnswer> answers_;
  std::map<std::string, int> active_; //!< Runs of each task.
  std::map<std::string, Resources> taskResources_;
  //! Where each caller that has no answer yet waits.
  std::map<std::string, std::pair<std::size_t, std::pair<Work, TimePoint>>>
    pendingCallers_;
  std::vector<std::string> overlappingTasks_;
  std::size_t runCount_ = 0;
};

}

#endif
