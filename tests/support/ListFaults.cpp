#include "support/ListFaults.h"

#include "support/SteadyWork.h"

#include <vector>

namespace hemlockhaven::Testing {

namespace {

constexpr Duration kSecond{ 1000000 };

//! Adds or expires the store records of the zone's endpoints.
void SetZoneListed(Cluster& aCluster,
                   const Cluster::Options& aOptions,
                   std::size_t aZone,
                   bool aListed)
{
  for (std::size_t i = aZone; i < aOptions.endpoints; i += aOptions.zones) {
    if (aListed) {
      aCluster.PutListEntry(i);
    } else {
      aCluster.ExpireListEntry(i);
    }
  }
}

}

void IsolateZonesInTurn(Cluster& aCluster, Duration aDuration)
{
  const Cluster::Options options = ListReadingClusterOptions(0);
  for (std::size_t zone = 0; zone < options.zones; ++zone) {
    aCluster.SetZoneIsolated(zone, true);
    aCluster.Time().RunFor(2 * kSecond);
    SetZoneListed(aCluster, options, zone, false);
    aCluster.Time().RunFor(aDuration - 2 * kSecond);
    aCluster.SetZoneIsolated(zone, false);
    aCluster.Time().RunFor(Duration(1800000));
    SetZoneListed(aCluster, options, zone, true);
    aCluster.Time().RunFor(2 * kSecond);
  }
}

void IsolateZonesAndRestartDaemons(Cluster& aCluster)
{
  const Cluster::Options options = ListReadingClusterOptions(0);
  for (std::size_t zone = 0; zone < options.zones; ++zone) {
    aCluster.SetZoneIsolated(zone, true);
    aCluster.Time().RunFor(2 * kSecond);
    SetZoneListed(aCluster, options, zone, false);
    for (std::size_t i = zone; i < options.daemons; i += options.zones) {
      aCluster.Kill(i);
      aCluster.Restart(i);
    }
    aCluster.Time().RunFor(2 * kSecond);
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < options.daemons; ++i) {
      if (aCluster.IsLeading(i) && i % options.zones != zone) {
        others.push_back(i);
        aCluster.SetCrossZoneLinksDown(i, true);
      }
    }
    aCluster.SetZoneIsolated(zone, false);
    aCluster.Time().RunFor(Duration(700000));
    for (const std::size_t other : others) {
      aCluster.SetCrossZoneLinksDown(other, false);
    }
    aCluster.Time().RunFor(Duration(500000));
    SetZoneListed(aCluster, options, zone, true);
    aCluster.Time().RunFor(kSecond);
  }
}

}
