#include "support/Cluster.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

constexpr Duration kSecond{ 1000000 };

Work MakeWork(const std::string& aId,
              std::uint32_t aTasks,
              std::int64_t aCpuMillis,
              Duration aEstimate)
{
  Work work;
  work.id = aId;
  work.kind = aId.substr(0, 1);
  WorkStep step;
  step.count = aTasks;
  step.taskResources = { aCpuMillis, 64, 0 };
  step.estimate = aEstimate;
  work.steps.push_back(step);
  work.attempts = 3;
  work.stretch = 1.6;
  work.targetLatency = Duration(60000);
  work.callerTimeout = 6 * kSecond;
  return work;
}

bool IsLong(const std::string& aId)
{
  return aId.rfind("long", 0) == 0;
}

//! A fault during steady load on 5 daemons in 3 zones.
struct FaultRow
{
  const char* guardsAgainst;
  std::function<void(Cluster&)> fault;
  double minCompletedShare; //!< Of all work.
};

const FaultRow kFaultRows[] = {
  { "losing work without a fault", [](Cluster&) {}, 1 },
  { "losing the work of a dead leader",
    [](Cluster& aCluster) {
      for (std::size_t i = 0; i < 5; ++i) {
        aCluster.Kill(i);
        aCluster.Time().RunFor(Duration(700000));
        aCluster.Restart(i);
        aCluster.Time().RunFor(Duration(800000));
      }
    },
    0.9 },
  { "a leader that was paused and continues with outdated state",
    [](Cluster& aCluster) {
      for (std::size_t i = 0; i < 5; ++i) {
        aCluster.Pause(i, 2 * kSecond);
        aCluster.Time().RunFor(Duration(1500000));
      }
    },
    0.5 },
  { "two leaders on both sides of a partition that start the same task",
    [](Cluster& aCluster) {
      for (std::size_t zone = 0; zone < 3; ++zone) {
        aCluster.SetZoneIsolated(zone, true);
        aCluster.Time().RunFor(2 * kSecond);
        aCluster.SetZoneIsolated(zone, false);
        aCluster.Time().RunFor(kSecond);
      }
    },
    0.6 },
  { "dropping endpoints that leave the list during a partition",
    [](Cluster& aCluster) {
      for (std::size_t zone = 0; zone < 3; ++zone) {
        aCluster.SetZoneIsolated(zone, true);
        aCluster.Time().RunFor(kSecond);
        aCluster.ListEndpoints({ zone, zone + 3, zone + 6, zone + 9 });
        aCluster.Time().RunFor(2 * kSecond);
        aCluster.SetZoneIsolated(zone, false);
        aCluster.Time().RunFor(kSecond);
        aCluster.ListEndpoints();
      }
    },
    0.6 },
  { "rerunning a task before the lease of a silent endpoint has expired",
    [](Cluster& aCluster) {
      aCluster.SetUnresponsive(0, true);
      aCluster.SetUnresponsive(5, true);
      aCluster.Time().RunFor(3 * kSecond);
      aCluster.SetUnresponsive(0, false);
      aCluster.SetUnresponsive(5, false);
    },
    0.8 },
  { "waiting for runs of an endpoint that crashed",
    [](Cluster& aCluster) {
      for (std::size_t i = 0; i < 4; ++i) {
        aCluster.CrashEndpoint(i);
        aCluster.Time().RunFor(kSecond);
      }
    },
    0.9 },
  { "sending work to an endpoint that fails every task",
    [](Cluster& aCluster) {
      aCluster.Endpoint(2).failsAll = true;
      aCluster.Time().RunFor(5 * kSecond);
    },
    0.9 },
  { "the loss of all daemons at once",
    [](Cluster& aCluster) {
      for (std::size_t i = 0; i < 5; ++i) {
        aCluster.Kill(i);
      }
      aCluster.Time().RunFor(kSecond);
      for (std::size_t i = 0; i < 5; ++i) {
        aCluster.Restart(i);
      }
    },
    0.6 },
};

//! Runs a fault under steady load, at about 60% of the endpoints' capacity.
void RunFault(const FaultRow& aRow, std::uint64_t aSeed)
{
  Cluster::Options options;
  options.daemons = 5;
  options.zones = 3;
  options.endpoints = 12;
  options.speeds = { 0.6, 1.0, 1.4 };
  options.seed = aSeed;
  Cluster cluster(options);
  std::vector<std::string> lines;
  cluster.trace = [&lines](const std::string& aLine) {
    lines.push_back(aLine);
  };
  // A third of the work runs longer than the detection of any fault takes.
  cluster.work = [](const TaskKey& aTask) {
    return IsLong(aTask.workId) ? Duration(1500000) : Duration(100000);
  };
  constexpr int kWorkCount = 400;
  for (int i = 0; i < kWorkCount; ++i) {
    cluster.Time().ScheduleAfter(i * Duration(25000), [&cluster, i] {
      const std::string id = (i % 3 == 0 ? "long" : "w") + std::to_string(i);
      const bool isLong = IsLong(id);
      cluster.Submit(static_cast<std::size_t>(i % 5),
                     MakeWork(id,
                              isLong ? 1 : 2,
                              isLong ? 4000 : 6000,
                              Duration(isLong ? 1500000 : 100000)));
    });
  }
  cluster.Time().RunFor(kSecond);
  aRow.fault(cluster);
  cluster.Time().RunFor(20 * kSecond);

  std::size_t completed = 0;
  for (const auto& [id, answer] : cluster.Answers()) {
    completed += answer.answer.outcome == CallerOutcome::Completed ? 1 : 0;
  }
  const std::string description = std::string(aRow.guardsAgainst) + ", seed " +
                                  std::to_string(aSeed) + ", completed " +
                                  std::to_string(completed);
  if (!cluster.OverlappingTasks().empty()) {
    // Decisions about the first task that ran twice at once.
    const std::string& task = cluster.OverlappingTasks().front();
    const std::string id = task.substr(0, task.find('.'));
    for (const std::string& line : lines) {
      if (line.find(" " + id + " ") != std::string::npos ||
          line.find(" " + id + ".") != std::string::npos ||
          line.find(" lead ") != std::string::npos) {
        std::cerr << line << '\n';
      }
    }
  }
  CHECK_TEXT(cluster.OverlappingTasks().empty(), description.c_str());
  CHECK_TEXT(static_cast<double>(completed) >=
               aRow.minCompletedShare * kWorkCount,
             description.c_str());
  UNSIGNED_LONGS_EQUAL_TEXT(1, cluster.LeaderCount(), description.c_str());
}

}

TEST_GROUP(Cluster){};

TEST(Cluster, NoTaskRunsTwiceUnderFaults)
{
  // To run more seeds: HEMLOCKHAVEN_SEEDS=50 test_coordinator
  const char* seedCount = std::getenv("HEMLOCKHAVEN_SEEDS");
  const std::uint64_t seeds = seedCount == nullptr ? 3 : std::stoull(seedCount);
  for (const FaultRow& row : kFaultRows) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      RunFault(row, seed);
    }
  }
}
