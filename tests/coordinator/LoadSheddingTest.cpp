#include "hemlockhaven/coordinator/LoadShedding.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace hemlockhaven;

namespace {

constexpr Duration kInterval{ 25000 };

//! Model of a leader whose event queue delays its timers.
struct OverloadedLeader
{
  double queueMs = 0;
  LoadShedding shedding;

  //! Simulates one second at aLoad, a multiple of the processor's capacity.
  //! Returns the longest queue in ms.
  double RunSecond(double aLoad)
  {
    double longestMs = 0;
    double elapsedMs = 0;
    while (elapsedMs < 1000) {
      const double stepMs = 25 + queueMs;
      const double servedShare = aLoad * (1 - shedding.Share());
      queueMs = std::max(0.0, queueMs + stepMs * (servedShare - 1));
      elapsedMs += stepMs;
      shedding.Record(Duration(static_cast<std::int64_t>(queueMs * 1000)),
                      kInterval);
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
