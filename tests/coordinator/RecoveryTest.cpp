// Daemons of several sizes that all lost power at once, or that were cut off
// with their zone, must find one leader in a bounded time and without a
// struggle: each term polls all endpoints, and meanwhile callers are refused.
#include "support/Cluster.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

constexpr std::size_t kZones = 3;
//! More than a small daemon can lead, so that one that knows no other divides
//! the list, and fewer than the largest one leads.
constexpr std::size_t kEndpoints = 120;
//! The largest daemons are heard this long after their start.
constexpr Duration kSlowStart{ 300000 };

Cluster::Options OptionsFor(std::size_t aDaemons, std::uint64_t aSeed)
{
  Cluster::Options options;
  options.daemons = aDaemons;
  options.zones = kZones;
  options.endpoints = kEndpoints;
  options.cores = { 0.09, 0.09, 0.09, 0.3, 0.09, 0.09, 0.5, 0.09 };
  options.linkMbps = 100;
  options.seeds = 3;
  options.seed = aSeed;
  return options;
}

//! Counts the decisions of all daemons.
struct DecisionCounts
{
  std::size_t terms = 0;
  std::size_t divisions = 0;
};

void CountDecisions(Cluster& aCluster, DecisionCounts& aCounts)
{
  aCluster.trace = [&aCounts](const std::string& aLine) {
    aCounts.terms += aLine.find(" term ") != std::string::npos ? 1 : 0;
    aCounts.divisions += aLine.find(" by zone ") != std::string::npos ? 1 : 0;
  };
}

struct PowerLossRow
{
  const char* guardsAgainst;
  std::size_t daemons;
  std::int64_t startSpreadMs;
  bool isLargestLast; //!< The largest daemons start last.
  std::uint64_t seed;
};

const PowerLossRow kPowerLossRows[] = {
  { "small daemons that divide the list before they know the large ones",
    37,
    300,
    false,
    1 },
  { "terms of daemons that learn of each other one by one", 37, 300, false, 2 },
  { "the same if all start at the same moment", 37, 1, false, 3 },
  { "the same in a group of medium size", 16, 300, false, 4 },
  { "small daemons that divide the list before the large ones are heard",
    37,
    450,
    true,
    5 },
};

struct ZoneLossRow
{
  const char* guardsAgainst;
  std::size_t daemons;
  std::uint64_t seed;
};

const ZoneLossRow kZoneLossRows[] = {
  { "a zone that waits for preferred daemons of other zones", 37, 1 },
  { "the same in a group of medium size", 16, 2 },
};

//! A zone without the current leader.
std::size_t ZoneToIsolate(const Cluster& aCluster)
{
  return (aCluster.ZoneOf(*aCluster.Leader()) + 1) % kZones;
}

}

TEST_GROUP(Recovery){};

TEST(Recovery, OneLeaderAfterAllLostPower)
{
  // Discovery takes 0.5 s, members may start 0.45 s apart, and the largest ones
  // may be heard 0.3 s later.
  constexpr Duration kTimeToLeader{ 1250000 };
  // A leader may begin another term for work of an earlier one.
  constexpr std::size_t kMaxTerms = 3;
  for (const PowerLossRow& row : kPowerLossRows) {
    Cluster::Options options = OptionsFor(row.daemons, row.seed);
    if (row.isLargestLast) {
      // None of the others could lead all endpoints.
      std::replace(options.cores.begin(), options.cores.end(), 0.3, 0.09);
    }
    Cluster cluster(options);
    cluster.Time().RunFor(std::chrono::seconds(3));
    for (std::size_t i = 0; i < row.daemons; ++i) {
      cluster.Kill(i);
    }
    cluster.Time().RunFor(std::chrono::milliseconds(500));
    DecisionCounts counts;
    CountDecisions(cluster, counts);
    for (std::size_t i = 0; i < row.daemons; ++i) {
      const bool isLast = row.isLargestLast && cluster.CoresOf(i) == 0.5;
      const double share = isLast ? 1 : cluster.Random().NextShare();
      const auto delay = static_cast<std::int64_t>(
        share * static_cast<double>(row.startSpreadMs * 1000));
      cluster.Time().ScheduleAfter(Duration(delay), [&cluster, i, isLast] {
        cluster.Restart(i);
        if (isLast) {
          cluster.HoldFrames(i, kSlowStart);
        }
      });
    }
    cluster.Time().RunFor(kTimeToLeader);
    UNSIGNED_LONGS_EQUAL_TEXT(1, cluster.LeaderCount(), row.guardsAgainst);
    const std::string leader = cluster.NameOf(*cluster.Leader());
    for (std::size_t i = 0; i < row.daemons; ++i) {
      STRCMP_EQUAL_TEXT(
        leader.c_str(), cluster.LeaderSeenBy(i).c_str(), row.guardsAgainst);
    }
    cluster.Time().RunFor(std::chrono::seconds(2));
    CHECK_TEXT(counts.terms <= kMaxTerms, row.guardsAgainst);
    UNSIGNED_LONGS_EQUAL_TEXT(0, counts.divisions, row.guardsAgainst);
    cluster.trace = nullptr;
  }
}

TEST(Recovery, IsolatedZoneHasALeaderSoon)
{
  // Loss of the leader is noticed after 0.35 s, and members that do not answer
  // are passed over 0.2 s later.
  constexpr Duration kTimeToLeader{ 800000 };
  for (const ZoneLossRow& row : kZoneLossRows) {
    Cluster cluster(OptionsFor(row.daemons, row.seed));
    cluster.Time().RunFor(std::chrono::seconds(6));
    const std::size_t zone = ZoneToIsolate(cluster);
    cluster.SetZoneIsolated(zone, true);
    cluster.Time().RunFor(kTimeToLeader);
    std::size_t leaders = 0;
    for (std::size_t i = 0; i < row.daemons; ++i) {
      leaders += cluster.ZoneOf(i) == zone && cluster.IsLeading(i) ? 1 : 0;
    }
    UNSIGNED_LONGS_EQUAL_TEXT(1, leaders, row.guardsAgainst);
  }
}

TEST(Recovery, ReturnedZoneFollowsTheOthersSoon)
{
  // A slow heartbeat, and its echo.
  constexpr Duration kTimeToFollow{ 1000000 };
  for (const ZoneLossRow& row : kZoneLossRows) {
    Cluster cluster(OptionsFor(row.daemons, row.seed));
    cluster.Time().RunFor(std::chrono::seconds(6));
    const std::size_t zone = ZoneToIsolate(cluster);
    cluster.SetZoneIsolated(zone, true);
    cluster.Time().RunFor(std::chrono::seconds(6));
    cluster.SetZoneIsolated(zone, false);
    cluster.Time().RunFor(kTimeToFollow);
    UNSIGNED_LONGS_EQUAL_TEXT(1, cluster.LeaderCount(), row.guardsAgainst);
    const std::string leader = cluster.NameOf(*cluster.Leader());
    for (std::size_t i = 0; i < row.daemons; ++i) {
      STRCMP_EQUAL_TEXT(
        leader.c_str(), cluster.LeaderSeenBy(i).c_str(), row.guardsAgainst);
    }
  }
}

TEST(Recovery, DaemonsWithStaleSeedsFindEachOtherOnceTheSeedsAreReplaced)
{
  // Each leads by itself meanwhile, and the last one to step down has to.
  constexpr Duration kTimeToAgree{ 3000000 };
  constexpr std::size_t kDaemons = 8;
  Cluster cluster(OptionsFor(kDaemons, 1));
  for (std::size_t i = 0; i < kDaemons; ++i) {
    cluster.Kill(i);
    cluster.SetStaleSeeds(i, true);
  }
  cluster.Time().RunFor(std::chrono::milliseconds(500));
  for (std::size_t i = 0; i < kDaemons; ++i) {
    cluster.Restart(i);
  }
  cluster.Time().RunFor(std::chrono::seconds(4));
  for (std::size_t i = 0; i < kDaemons; ++i) {
    cluster.SetStaleSeeds(i, false);
  }
  cluster.Time().RunFor(kTimeToAgree);
  UNSIGNED_LONGS_EQUAL(1, cluster.LeaderCount());
  const std::string leader = cluster.NameOf(*cluster.Leader());
  for (std::size_t i = 0; i < kDaemons; ++i) {
    STRCMP_EQUAL(leader.c_str(), cluster.LeaderSeenBy(i).c_str());
  }
}
