#include "hemlockhaven/coordinator/LoadShedding.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <utility>
#include <vector>

using namespace hemlockhaven;

namespace {

constexpr Duration kInterval{ 25000 };

//! Model of a leader whose event queue delays its timers.
struct OverloadedLeader
{
  double queueMs = 0;
  LoadShedding shedding;
  //! Time until a share takes effect at the entry VMs.
  double lagMs = 0;
  double nowMs = 0;
  std::vector<std::pair<double, double>> shares; //!< Time and share.

  double ShareInEffect() const
  {
    const auto later =
      std::find_if(shares.rbegin(), shares.rend(), [this](const auto& aShare) {
        return aShare.first <= nowMs - lagMs;
      });
    return later == shares.rend() ? 0 : later->second;
  }

  //! Simulates one second at aLoad, a multiple of the processor's capacity.
  //! Returns the longest queue in ms.
  double RunSecond(double aLoad)
  {
    double longestMs = 0;
    double elapsedMs = 0;
    while (elapsedMs < 1000) {
      const double stepMs = 25 + queueMs;
      const double servedShare = aLoad * (1 - ShareInEffect());
      queueMs = std::max(0.0, queueMs + stepMs * (servedShare - 1));
      elapsedMs += stepMs;
      nowMs += stepMs;
      shedding.Record(Duration(static_cast<std::int64_t>(queueMs * 1000)),
                      kInterval);
      shares.emplace_back(nowMs, shedding.Share());
      longestMs = std::max(longestMs, queueMs);
    }
    return longestMs;
  }
};

struct SheddingRow
{
  const char* guardsAgainst;
  double load; //!< Multiple of the capacity, for three seconds.
  double minShare;
  double maxShare;
  double maxQueueMs; //!< Longest queue in the third second.
};

// Members consider a leader lost whose heartbeats are 350 ms late.
const SheddingRow kSheddingRows[] = {
  { "refusing work that can be handled", 0.9, 0, 0, 1 },
  { "an overload that delays all work", 1.5, 0.2, 0.45, 60 },
  { "twice the sustainable load that delays heartbeats", 2, 0.4, 0.6, 100 },
  { "four times the sustainable load that delays heartbeats",
    4,
    0.6,
    0.85,
    200 },
};

}

TEST_GROUP(LoadShedding){};

TEST(LoadShedding, KeepsTheQueueShort)
{
  for (const SheddingRow& row : kSheddingRows) {
    OverloadedLeader leader;
    double longestMs = 0;
    for (int second = 0; second < 3; ++second) {
      longestMs = leader.RunSecond(row.load);
    }
    CHECK_TEXT(leader.shedding.Share() >= row.minShare, row.guardsAgainst);
    CHECK_TEXT(leader.shedding.Share() <= row.maxShare, row.guardsAgainst);
    CHECK_TEXT(longestMs <= row.maxQueueMs, row.guardsAgainst);
    for (int second = 0; second < 3; ++second) {
      leader.RunSecond(0.5);
    }
    CHECK_TEXT(leader.shedding.Share() == 0,
               "shedding load after the overload has ended");
  }
}

namespace {

struct LaggingRow
{
  const char* guardsAgainst;
  double load;
  double lagMs;
  double maxOvershoot;  //!< Of the share over the excess of the load.
  double maxUndershoot; //!< From the second second on.
};

const LaggingRow kLaggingRows[] = {
  { "refusing far more than a slight overload requires", 1.2, 75, 0.2, 0.05 },
  { "a share that rises while the delay already falls", 1.5, 75, 0.25, 0.08 },
  { "a share that ends while the overload lasts", 1.5, 100, 0.35, 0.08 },
  { "a share far off at twice the sustainable load", 2, 75, 0.42, 0.1 },
};

}

TEST(LoadShedding, FollowsTheDelayWithoutOvershoot)
{
  for (const LaggingRow& row : kLaggingRows) {
    OverloadedLeader leader;
    leader.lagMs = row.lagMs;
    const double excess = 1 - 1 / row.load;
    for (int second = 0; second < 5; ++second) {
      leader.RunSecond(row.load);
    }
    double highest = 0;
    double lowest = 1;
    for (const auto& [atMs, share] : leader.shares) {
      highest = std::max(highest, share);
      lowest = atMs > 1000 ? std::min(lowest, share) : lowest;
    }
    CHECK_TEXT(highest <= excess + row.maxOvershoot, row.guardsAgainst);
    CHECK_TEXT(lowest >= excess - row.maxUndershoot, row.guardsAgainst);
  }
}
