#include "hemlockhaven/scheduler/Placement.h"
#include "hemlockhaven/scheduler/Forecast.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace hemlockhaven;

namespace {

constexpr TimePoint kNow{ std::chrono::hours(1) };

Duration Ms(std::int64_t aMilliseconds)
{
  return std::chrono::milliseconds(aMilliseconds);
}

//! Endpoint 0 is slow with 20 free cores, 1 fast with 20, 2 fast with 10,
//! 3 slow with 4.
const std::vector<PlacementCandidate> kCandidates{
  { 0, { 20000, 1000, 0 }, 0.5, 1 },
  { 1, { 20000, 1000, 0 }, 1.5, 1 },
  { 2, { 10000, 1000, 1 }, 1.5, 1 },
  { 3, { 4000, 1000, 0 }, 0.5, 1 },
};

struct ChoiceRow
{
  const char* guardsAgainst;
  Resources each;
  std::int64_t workMs;
  std::int64_t latestEndMs; //!< From now.
  int expectedEndpoint;     //!< -1: none.
};

constexpr ChoiceRow kChoiceRows[] = {
  { "a fast endpoint for what can bear a slow one",
    { 6000, 10, 0 },
    100,
    400,
    0 },
  { "a slow endpoint that makes it late", { 6000, 10, 0 }, 100, 150, 2 },
  { "breaking up a free endpoint", { 3000, 10, 0 }, 100, 150, 2 },
  { "the emptier of two slow endpoints", { 3000, 10, 0 }, 100, 400, 3 },
  { "no margin for a prediction that is off", { 6000, 10, 0 }, 100, 210, 2 },
  { "leaving late work on a slow endpoint", { 6000, 10, 0 }, 100, 10, 1 },
  { "an endpoint without room", { 15000, 10, 0 }, 100, 150, 1 },
  { "an endpoint without memory", { 1000, 5000, 0 }, 100, 400, -1 },
  { "an endpoint without accelerators", { 1000, 10, 1 }, 100, 400, 2 },
  { "a task larger than any endpoint", { 30000, 10, 0 }, 100, 400, -1 },
};

//! One endpoint of speed 1 with 10 cores, all taken until 50 ms from now, and
//! one of speed 0.5 with 10 free cores.
struct ForecastRow
{
  const char* guardsAgainst;
  std::vector<std::int64_t> cores; //!< Of each task, in order.
  std::int64_t latestEndMs;
  std::vector<std::int64_t> expectedEndsMs; //!< Each task's; -1: never.
};

const ForecastRow kForecastRows[] = {
  { "not using what is free now", { 10 }, 300, { 200 } },
  { "waiting for nothing when the free one is too slow", { 10 }, 160, { 150 } },
  { "two tasks in the same room", { 10, 10 }, 300, { 200, 150 } },
  { "a third task before the first ends",
    { 10, 10, 10 },
    300,
    { 200, 150, 250 } },
  { "tasks that share an endpoint one after the other",
    { 5, 5 },
    300,
    { 200, 200 } },
  { "a place for what is too large", { 11 }, 300, { -1 } },
};

}

TEST_GROUP(Placement){};

TEST(Placement, ChoosesTheSlowestEndpointThatIsOnTime)
{
  for (const ChoiceRow& row : kChoiceRows) {
    PlacementDemand demand;
    demand.each = row.each;
    demand.work = Ms(row.workMs);
    demand.now = kNow;
    demand.latestEnd = kNow + Ms(row.latestEndMs);
    const auto chosen = ChooseEndpoint(kCandidates, demand);
    LONGS_EQUAL_TEXT(row.expectedEndpoint,
                     chosen ? static_cast<int>(*chosen) : -1,
                     row.guardsAgainst);
  }
}

TEST_GROUP(Forecast){};

TEST(Forecast, PlacesTheQueueInOrder)
{
  for (const ForecastRow& row : kForecastRows) {
    Forecast forecast(kNow);
    const Release release{ kNow + Ms(50), { 10000, 0, 0 } };
    forecast.AddEndpoint({ 0, 1000, 0 }, 1, { &release, 1 });
    forecast.AddEndpoint({ 10000, 1000, 0 }, 0.5, {});
    for (std::size_t i = 0; i < row.cores.size(); ++i) {
      PlacementDemand demand;
      demand.each = { row.cores[i] * 1000, 1, 0 };
      demand.work = Ms(100);
      demand.now = kNow;
      demand.latestEnd = kNow + Ms(row.latestEndMs);
      const auto end = forecast.Place(demand);
      LONGS_EQUAL_TEXT(
        row.expectedEndsMs[i],
        end ? std::chrono::duration_cast<std::chrono::milliseconds>(*end - kNow)
                .count()
            : -1,
        row.guardsAgainst);
    }
  }
}
