// Sequences of events after which a task has had two runs at once. Each group
// guards against one cause.
#include "support/Cluster.h"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

constexpr Duration Ms(std::int64_t aMilliseconds)
{
  return Duration(aMilliseconds * 1000);
}

//! Work of one task that fills an endpoint. The id tells its run time, as in
//! "a-300" for 300 ms.
Work MakeTask(const std::string& aName, std::int64_t aRunMs)
{
  Work work;
  work.id = aName + "-" + std::to_string(aRunMs);
  work.kind = work.id;
  WorkStep step;
  step.count = 1;
  step.taskResources = { 1000, 64, 0 };
  step.estimate = Ms(aRunMs);
  work.steps.push_back(step);
  work.attempts = 3;
  work.stretch = 20;
  work.targetLatency = Ms(2000);
  work.callerTimeout = Ms(20000);
  return work;
}

Duration RunTimeOf(const TaskKey& aTask)
{
  return Ms(std::stoll(aTask.workId.substr(aTask.workId.find('-') + 1)));
}

//! A cluster with one daemon and one endpoint in each zone.
struct Roles
{
  std::size_t leader = 0;
  std::size_t second = 0;
  std::size_t third = 0;
};

struct OverlapRow
{
  const char* guardsAgainst;
  std::size_t zones;
  std::function<void(Cluster&, const Roles&)> play;
};

//! Plays the row. Returns the tasks that had two runs at once.
std::string PlayRow(const OverlapRow& aRow)
{
  Cluster::Options options;
  options.daemons = aRow.zones;
  options.zones = aRow.zones;
  options.endpoints = aRow.zones;
  options.capacity = { 1000, 65536, 0 };
  options.handlesInputFirst = true;
  Cluster cluster(options);
  cluster.work = RunTimeOf;
  std::vector<std::string> lines;
  cluster.trace = [&lines](const std::string& aLine) {
    lines.push_back(aLine);
  };
  const auto leader = cluster.Leader();
  CHECK_TEXT(leader.has_value(), aRow.guardsAgainst);
  const Roles roles{ *leader,
                     (*leader + 1) % aRow.zones,
                     (*leader + 2) % aRow.zones };
  aRow.play(cluster, roles);
  std::string overlapping;
  for (const std::string& task : cluster.OverlappingTasks()) {
    overlapping += std::string(aRow.guardsAgainst) + ": " + task + "\n";
  }
  if (!overlapping.empty() || std::getenv("HEMLOCKHAVEN_TRACE") != nullptr) {
    for (const std::string& line : lines) {
      std::cerr << line << '\n';
    }
  }
  return overlapping;
}

std::string PlayRows(Span<const OverlapRow> aRows)
{
  std::string overlapping;
  for (const OverlapRow& row : aRows) {
    overlapping += PlayRow(row);
  }
  return overlapping;
}

const OverlapRow kPausedLeaderRows[] = {
  { "a leader that continues after a pause and starts waiting work on the "
    "buffered end of another run, while its entry VM has left for another "
    "leader",
    2,
    [](Cluster& aCluster, const Roles& aRoles) {
      aCluster.Submit(aRoles.leader, MakeTask("first", 60));
      aCluster.Submit(aRoles.leader, MakeTask("other", 60));
      aCluster.Time().RunFor(Ms(8));
      aCluster.Submit(aRoles.second, MakeTask("waiting", 600));
      aCluster.Time().RunFor(Ms(8));
      aCluster.Pause(aRoles.leader, Ms(2100));
      aCluster.SetZoneIsolated(aRoles.second, true);
      aCluster.Time().RunFor(Ms(4000));
    } },
  { "the same with work that arrived during the pause",
    2,
    [](Cluster& aCluster, const Roles& aRoles) {
      aCluster.Pause(aRoles.leader, Ms(2200));
      aCluster.Time().RunFor(Ms(200));
      aCluster.Submit(aRoles.second, MakeTask("arriving", 600));
      aCluster.Time().RunFor(Ms(20));
      aCluster.SetZoneIsolated(aRoles.second, true);
      aCluster.Time().RunFor(Ms(4000));
    } },
};

const OverlapRow kRepeatedWorkRows[] = {
  { "an entry VM that still holds work which its caller has sent to another "
    "one, and hands it to a leader of its own",
    3,
    [](Cluster& aCluster, const Roles& aRoles) {
      aCluster.Submit(aRoles.second, MakeTask("held", 4000));
      aCluster.Time().RunFor(Ms(100));
      aCluster.SubmitAgain("held-4000", aRoles.third);
      aCluster.Time().RunFor(Ms(100));
      aCluster.SetZoneIsolated(aRoles.second, true);
      aCluster.Time().RunFor(Ms(4000));
    } },
};

const OverlapRow kUnnoticedCallerRows[] = {
  { "work whose caller's connection went silent, and which is sent again on "
    "the other side of a partition",
    2,
    [](Cluster& aCluster, const Roles& aRoles) {
      aCluster.Submit(aRoles.leader, MakeTask("silent", 4000));
      aCluster.Time().RunFor(Ms(100));
      aCluster.SetZoneIsolated(aRoles.second, true);
      aCluster.Time().RunFor(Ms(1300));
      aCluster.SubmitAgain("silent-4000", aRoles.second);
      aCluster.Time().RunFor(Ms(2000));
    } },
};

const OverlapRow kStoppedWorkRows[] = {
  { "restarting stopped work for an entry VM that was lost before the stop "
    "had ended",
    3,
    [](Cluster& aCluster, const Roles& aRoles) {
      aCluster.Submit(aRoles.second, MakeTask("stopped", 3000));
      aCluster.Time().RunFor(Ms(100));
      aCluster.SetUnresponsive(aRoles.leader, true);
      aCluster.Time().RunFor(Ms(50));
      aCluster.Disconnect("stopped-3000");
      aCluster.Time().RunFor(Ms(20));
      aCluster.Submit(aRoles.third, MakeTask("stopped", 3000));
      aCluster.Time().RunFor(Ms(20));
      aCluster.SetZoneIsolated(aRoles.third, true);
      aCluster.Time().RunFor(Ms(6000));
    } },
};

const OverlapRow kRetakenEndpointRows[] = {
  { "renewing leases of unknown runs with the first poll of a new term, while "
    "the leader that started them waits for their expiry",
    2,
    [](Cluster& aCluster, const Roles& aRoles) {
      aCluster.Pause(aRoles.leader, Ms(1500));
      aCluster.Time().RunFor(Ms(800));
      aCluster.Submit(aRoles.second, MakeTask("retaken", 1100));
      aCluster.Submit(aRoles.second, MakeTask("other", 600));
      aCluster.Time().RunFor(Ms(200));
      aCluster.SetZoneIsolated(aRoles.leader, true);
      aCluster.Time().RunFor(Ms(4000));
    } },
};

//! From a submission to the leader until its start command is on its way.
constexpr Duration kBeforeStart{ 1200 };

const OverlapRow kRestartedEndpointRows[] = {
  { "taking the lease of an endpoint that restarted under its id for the "
    "leader's own, while the deadlines on its earlier clock gave it a longer "
    "one",
    2,
    [](Cluster& aCluster, const Roles& aRoles) {
      aCluster.Time().RunFor(Ms(3000));
      aCluster.Submit(aRoles.leader, MakeTask("restarted", 3000));
      aCluster.Time().RunFor(kBeforeStart);
      aCluster.CrashEndpoint(0);
      aCluster.CrashEndpoint(1);
      aCluster.Time().RunFor(Ms(20));
      aCluster.SetUnresponsive(aRoles.leader, true);
      aCluster.Time().RunFor(Ms(4000));
    } },
};

//! From the start of an entry VM until it is cut off: it takes the leader for
//! alive, and hands work in, before the leader has an echo from it.
constexpr std::int64_t kFirstContactMs[] = { 50, 55, 60, 65, 70, 75, 80, 85 };

OverlapRow RestartedEntryVmRow(std::int64_t aContactMs)
{
  return { "keeping the work of an entry VM that was cut off before the leader "
           "had found it alive",
           2,
           [aContactMs](Cluster& aCluster, const Roles& aRoles) {
             aCluster.Kill(aRoles.second);
             aCluster.Time().RunFor(Ms(600));
             aCluster.Restart(aRoles.second);
             aCluster.Submit(aRoles.second, MakeTask("restarted", 8000));
             aCluster.Time().RunFor(Ms(aContactMs));
             aCluster.SetZoneIsolated(aRoles.second, true);
             aCluster.Time().RunFor(Ms(9000));
           } };
}

}

TEST_GROUP(OverlapAfterPause){};

TEST(OverlapAfterPause, RunsNoTaskTwice)
{
  STRCMP_EQUAL("", PlayRows(kPausedLeaderRows).c_str());
}

TEST_GROUP(OverlapOfRepeatedWork){};

TEST(OverlapOfRepeatedWork, RunsNoTaskTwice)
{
  STRCMP_EQUAL("", PlayRows(kRepeatedWorkRows).c_str());
}

TEST_GROUP(OverlapOfUnnoticedCaller){};

TEST(OverlapOfUnnoticedCaller, RunsNoTaskTwice)
{
  STRCMP_EQUAL("", PlayRows(kUnnoticedCallerRows).c_str());
}

TEST_GROUP(OverlapAfterStop){};

TEST(OverlapAfterStop, RunsNoTaskTwice)
{
  STRCMP_EQUAL("", PlayRows(kStoppedWorkRows).c_str());
}

TEST_GROUP(OverlapAfterRestart){};

TEST(OverlapAfterRestart, RunsNoTaskTwice)
{
  STRCMP_EQUAL("", PlayRows(kRestartedEndpointRows).c_str());
}

TEST_GROUP(OverlapAfterRetake){};

TEST(OverlapAfterRetake, RunsNoTaskTwice)
{
  STRCMP_EQUAL("", PlayRows(kRetakenEndpointRows).c_str());
}

TEST_GROUP(OverlapAfterFirstContact){};

TEST(OverlapAfterFirstContact, RunsNoTaskTwice)
{
  std::string overlapping;
  for (const std::int64_t contactMs : kFirstContactMs) {
    overlapping += PlayRow(RestartedEntryVmRow(contactMs));
  }
  STRCMP_EQUAL("", overlapping.c_str());
}
