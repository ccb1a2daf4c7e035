#include "hemlockhaven/coordinator/LoadShedding.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace hemlockhaven;

namespace {

constexpr Duration kInterval{ 25000 };

//! A leader whose processor is asked for that share of what it can do, with a
//! queue of events in front of its timers.
struct Leader
{
  double queueMs = 0;
  LoadShedding shedding;

  //! Plays one second; returns the longest queue, in ms.
  double Second(double aDemand)
  {
    double longest = 0;
    double ms = 0;
    while (ms < 1000) {
      const double step = 25 + queueMs;
      const double served = aDemand * (1 - shedding.Share());
      queueMs = std::max(0.0, queueMs + step * (served - 1));
      ms += step;
      shedding.Record(Duration(static_cast<std::int64_t>(queueMs * 1000)),
                      kInterval);
      longest = std::max(longest, queueMs);
    }
    return longest;
  }
};

struct SheddingRow
{
  const char* guardsAgainst;
  double demand; //!< Share of the processor for three seconds.
  double leastShare;
  double mostShare;
  double longestMs; //!< Queue in the third second.
};

// Members lose a leader whose beats are 350 ms late.
const SheddingRow kSheddingRows[] = {
  { "refusing work that can be handled", 0.9, 0, 0, 1 },
  { "an overload that makes all work late", 1.5, 0.2, 0.45, 60 },
  { "twice the load that delays beats", 2, 0.4, 0.6, 100 },
  { "four times the load that delays beats", 4, 0.6, 0.85, 200 },
};

}

TEST_GROUP(LoadShedding){};

TEST(LoadShedding, KeepsTheQueueShort)
{
  for (const SheddingRow& row : kSheddingRows) {
    Leader leader;
    double longest = 0;
    for (int second = 0; second < 3; ++second) {
      longest = leader.Second(row.demand);
    }
    CHECK_TEXT(leader.shedding.Share() >= row.leastShare, row.guardsAgainst);
    CHECK_TEXT(leader.shedding.Share() <= row.mostShare, row.guardsAgainst);
    CHECK_TEXT(longest <= row.longestMs, row.guardsAgainst);
    for (int second = 0; second < 3; ++second) {
      leader.Second(0.5);
    }
    CHECK_TEXT(leader.shedding.Share() == 0, "refusing on after an overload");
  }
}
