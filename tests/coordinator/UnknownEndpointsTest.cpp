// A new leader must not restart tasks that may still run at endpoints that only
// an earlier leader knew.
#include "support/Cluster.h"
#include "support/ListFaults.h"
#include "support/SteadyWork.h"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

constexpr Duration kSecond{ 1000000 };
constexpr std::size_t kDaemons = 6;
constexpr std::size_t kEndpoints = 12;

struct ListFaultRow
{
  const char* guardsAgainst;
  std::function<void(Cluster&)> fault;
  double minCompletedShare; //!< Of all work.
  std::vector<std::uint64_t> seeds;
};

//! Restarts all daemons but the leader; they read the current list.
void RestartFollowers(Cluster& aCluster)
{
  const auto leader = aCluster.Leader();
  for (std::size_t i = 0; i < kDaemons; ++i) {
    if (i != leader) {
      aCluster.Kill(i);
      aCluster.Restart(i);
    }
  }
  aCluster.Time().RunFor(Duration(800000));
}

void KillLeader(Cluster& aCluster)
{
  if (const auto leader = aCluster.Leader()) {
    aCluster.Kill(*leader);
    aCluster.Time().RunFor(2 * kSecond);
    aCluster.Restart(*leader);
  }
}

void ExpireHalfOfEntries(Cluster& aCluster)
{
  for (std::size_t i = 0; i < kEndpoints; i += 2) {
    aCluster.ExpireListEntry(i);
  }
}

void RestoreExpiredEntries(Cluster& aCluster)
{
  for (std::size_t i = 0; i < kEndpoints; i += 2) {
    aCluster.PutListEntry(i);
  }
}

//! Restores entries while only the leader reaches the store, then kills it.
void RestoreEntriesSeenByLeaderOnly(Cluster& aCluster)
{
  for (std::size_t i = 0; i < kDaemons; ++i) {
    aCluster.SetStoreUnreachable(i, !aCluster.IsLeading(i));
  }
  RestoreExpiredEntries(aCluster);
  aCluster.Time().RunFor(2 * kSecond);
  KillLeader(aCluster);
  for (std::size_t i = 0; i < kDaemons; ++i) {
    aCluster.SetStoreUnreachable(i, false);
  }
}

const ListFaultRow kListFaultRows[] = {
  { "expired entries of a zone that was cut off, unknown to a daemon that "
    "started in it",
    IsolateZonesAndRestartDaemons,
    0.3,
    { 5, 15, 20 } },
  { "expired entries that the dead leader still used",
    [](Cluster& aCluster) {
      ExpireHalfOfEntries(aCluster);
      RestartFollowers(aCluster);
      KillLeader(aCluster);
      RestoreExpiredEntries(aCluster);
    },
    0.6,
    { 1, 2, 3 } },
  { "entries that expired and returned, as only the dead leader has read",
    [](Cluster& aCluster) {
      ExpireHalfOfEntries(aCluster);
      aCluster.Time().RunFor(kSecond);
      RestartFollowers(aCluster);
      RestoreEntriesSeenByLeaderOnly(aCluster);
    },
    0.4,
    { 1, 2, 3 } },
  { "entries that returned after they had been dropped, as only the dead "
    "leader has read",
    [](Cluster& aCluster) {
      ExpireHalfOfEntries(aCluster);
      aCluster.Time().RunFor(4 * kSecond);
      RestartFollowers(aCluster);
      RestoreEntriesSeenByLeaderOnly(aCluster);
    },
    0.4,
    { 1, 2, 3 } },
  { "runs that the dead leader had at endpoints that it had dropped",
    [](Cluster& aCluster) {
      ExpireHalfOfEntries(aCluster);
      aCluster.Time().RunFor(Duration(1800000));
      RestartFollowers(aCluster);
      aCluster.Time().RunFor(Duration(600000));
      KillLeader(aCluster);
      RestoreExpiredEntries(aCluster);
    },
    0.4,
    { 4, 13, 16 } },
};

//! Runs a fault under steady load, at about half of the endpoints' capacity.
//! Returns a description of the failure, empty on success.
std::string RunScenario(const ListFaultRow& aRow, std::uint64_t aSeed)
{
  Cluster cluster(ListReadingClusterOptions(aSeed));
  cluster.work = TaskRunTime;
  constexpr int kWorkCount = 400;
  SubmitAtInterval(cluster, 0, kWorkCount, Duration(25000));
  cluster.Time().RunFor(kSecond);
  aRow.fault(cluster);
  cluster.Time().RunFor(20 * kSecond);

  const std::size_t completed = CountCompleted(cluster, 0, kWorkCount);
  const std::string description =
    std::string(aRow.guardsAgainst) + ", seed " + std::to_string(aSeed) +
    ", completed " + std::to_string(completed) + ", ran twice " +
    std::to_string(cluster.OverlappingTasks().size());
  const bool passed =
    cluster.OverlappingTasks().empty() && cluster.LeaderCount() == 1 &&
    static_cast<double>(completed) >= aRow.minCompletedShare * kWorkCount;
  return passed ? "" : description + "\n";
}

}

TEST_GROUP(UnknownEndpoints){};

TEST(UnknownEndpoints, MayRunTasksOfAnEarlierLeader)
{
  // To run more seeds: HEMLOCKHAVEN_SEEDS=50 test_coordinator
  const char* seedCount = std::getenv("HEMLOCKHAVEN_SEEDS");
  const std::uint64_t others =
    seedCount == nullptr ? 0 : std::stoull(seedCount);
  std::string failures;
  for (const ListFaultRow& row : kListFaultRows) {
    for (const std::uint64_t seed : row.seeds) {
      failures += RunScenario(row, seed);
    }
    for (std::uint64_t seed = 1; seed <= others; ++seed) {
      failures += RunScenario(row, seed);
    }
  }
  STRCMP_EQUAL("", failures.c_str());
}
