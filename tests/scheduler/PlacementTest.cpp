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

//! Endpoint 0 is slow with 20 free cores, endpoint 1 fast with 20, endpoint 2
//! fast with 10, and endpoint 3 slow with 4.
const std::vector<PlacementCandidate> kCandidates{
  { 0, { 20000, 1000, 0 }, 0.5, 1 },
  { 1, { 20000, 1000, 0 }, 1.5, 1 },
  { 2, { 10000, 1000, 1 }, 1.5, 1 },
  { 3, { 4000, 1000, 0 }, 0.5, 1 },
};

struct ChoiceRow
{
  const char* guardsAgainst;
  Resources taskResources;
  std::int64_t workMs;
  std::int64_t latestEndMs; //!< Relative to kNow.
  int expectedEndpoint;     //!< -1: none.
};

constexpr ChoiceRow kChoiceRows[] = {
  { "using a fast endpoint where a slow one suffices",
    { 6000, 10, 0 },
    100,
    400,
    0 },
  { "a slow endpoint that misses the deadline", { 6000, 10, 0 }, 100, 150, 2 },
  { "fragmenting the emptier of two fast endpoints",
    { 3000, 10, 0 },
    100,
    150,
    2 },
  { "choosing the emptier of two slow endpoints",
    { 3000, 10, 0 },
    100,
    400,
    3 },
  { "no margin for prediction errors", { 6000, 10, 0 }, 100, 210, 2 },
  { "placing late work on a slow endpoint", { 6000, 10, 0 }, 100, 10, 1 },
  { "an endpoint without free cores", { 15000, 10, 0 }, 100, 150, 1 },
  { "an endpoint without memory", { 1000, 5000, 0 }, 100, 400, -1 },
  { "an endpoint without accelerators", { 1000, 10, 1 }, 100, 400, 2 },
  { "a task larger than any endpoint", { 30000, 10, 0 }, 100, 400, -1 },
};

//! One endpoint has speed 1 and 10 cores that are busy until 50 ms after kNow;
//! the other has speed 0.5 and 10 free cores.
struct ForecastRow
{
  const char* guardsAgainst;
  std::vector<std::int64_t> cores; //!< Per task, in queue order.
  std::int64_t latestEndMs;
  std::vector<std::int64_t> expectedEndsMs; //!< Per task; -1: does not fit.
};

const ForecastRow kForecastRows[] = {
  { "not using an endpoint that is free now", { 10 }, 300, { 200 } },
  { "not waiting when the free endpoint is too slow", { 10 }, 160, { 150 } },
  { "using the same capacity for two tasks", { 10, 10 }, 300, { 200, 150 } },
  { "starting a third task before another one ends",
    { 10, 10, 10 },
    300,
    { 200, 150, 250 } },
  { "running tasks that fit together one after the other",
    { 5, 5 },
    300,
    { 200, 200 } },
  { "placing a task that is too large", { 11 }, 300, { -1 } },
};

}

TEST_GROUP(Placement){};

TEST(Placement, ChoosesTheSlowestEndpointThatIsOnTime)
{
  for (const ChoiceRow& row : kChoiceRows) {
    PlacementDemand demand;
    demand.taskResources = row.taskResources;
    demand.predictedRunTime = Ms(row.workMs);
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
    const ResourceRelease release{ kNow + Ms(50), { 10000, 0, 0 } };
    forecast.AddEndpoint({ 0, 1000, 0 }, 1, { &release, 1 });
    forecast.AddEndpoint({ 10000, 1000, 0 }, 0.5, {});
    for (std::size_t i = 0; i < row.cores.size(); ++i) {
      PlacementDemand demand;
      demand.taskResources = { row.cores[i] * 1000, 1, 0 };
      demand.predictedRunTime = Ms(100);
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
