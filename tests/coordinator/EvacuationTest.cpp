// A daemon must apply an evacuation to all services, also to those that become
// known later, and a new leader must not forget it.
#include "support/Cluster.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <set>
#include <string>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

constexpr std::size_t kDaemons = 3;
constexpr std::size_t kZones = 3;
constexpr const char* kEvacuatedZone = "z1";

struct LeaderRow
{
  const char* guardsAgainst;
  std::function<void(Cluster&)> disturb;
};

const LeaderRow kRows[] = {
  { "starts in the zone without any fault", [](Cluster&) {} },
  { "an evacuation that is lost with the leader",
    [](Cluster& aCluster) { aCluster.Kill(*aCluster.Leader()); } },
  { "an evacuation that a restarted leader has forgotten",
    [](Cluster& aCluster) {
      const std::size_t leader = *aCluster.Leader();
      aCluster.Kill(leader);
      aCluster.Time().RunFor(std::chrono::seconds(1));
      aCluster.Restart(leader);
      aCluster.Time().RunFor(std::chrono::seconds(2));
    } },
};

Work MakeWork(std::size_t aNumber)
{
  Work work;
  work.id = "w" + std::to_string(aNumber);
  work.kind = "k";
  work.stretch = 4;
  work.targetLatency = std::chrono::milliseconds(500);
  work.callerTimeout = std::chrono::seconds(5);
  WorkStep step;
  step.count = 2;
  step.taskResources = { 8000, 64, 0 };
  step.estimate = std::chrono::milliseconds(100);
  work.steps.push_back(step);
  return work;
}

}

TEST_GROUP(Evacuation){};

TEST(Evacuation, IsKeptByEachLeader)
{
  for (const LeaderRow& row : kRows) {
    Cluster::Options options;
    options.daemons = kDaemons;
    options.zones = kZones;
    options.endpoints = 6;
    Cluster cluster(options);
    cluster.SetEvacuatedZones({ kEvacuatedZone });
    row.disturb(cluster);
    cluster.Time().RunFor(std::chrono::seconds(2));
    const std::size_t leader = *cluster.Leader();
    // Two tasks fit on an endpoint: these fill all that may be used.
    for (std::size_t i = 0; i < 4; ++i) {
      cluster.Submit(leader, MakeWork(i));
    }
    cluster.Time().RunFor(std::chrono::seconds(2));
    for (std::size_t i = 0; i < options.endpoints; ++i) {
      const bool isEvacuated =
        "z" + std::to_string(i % kZones) == kEvacuatedZone;
      CHECK_EQUAL_TEXT(
        isEvacuated, cluster.StartCount(i) == 0, row.guardsAgainst);
    }
  }
}
