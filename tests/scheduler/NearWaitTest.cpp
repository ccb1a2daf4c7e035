#include "hemlockhaven/scheduler/NearWait.h"
#include "hemlockhaven/scheduler/Forecast.h"
#include "hemlockhaven/scheduler/RemoteFactor.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace hemlockhaven;

namespace {

constexpr TimePoint kNow{ std::chrono::hours(1) };

Duration Ms(std::int64_t aMilliseconds)
{
  return std::chrono::milliseconds(aMilliseconds);
}

std::int64_t MsFromNow(TimePoint aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime - kNow)
    .count();
}

//! Start and run time in ms from kNow; a start of -1: no such endpoint.
struct RunRow
{
  std::int64_t startMs;
  std::int64_t runMs;

  std::optional<ExpectedRun> Run() const
  {
    return startMs < 0 ? std::nullopt
                       : std::optional<ExpectedRun>(
                           { kNow + Ms(startMs), kNow + Ms(startMs + runMs) });
  }
};

struct DecisionRow
{
  const char* guardsAgainst;
  RunRow near;
  RunRow away;
  std::int64_t latestEndMs;
  NearWaitAction action;
  std::int64_t untilMs; //!< With WaitNear.
};

constexpr DecisionRow kDecisionRows[] = {
  { "away start beside a free near endpoint",
    { 0, 100 },
    { 0, 200 },
    400,
    NearWaitAction::StartNear,
    0 },
  { "slow near endpoint that makes the task late",
    { 0, 300 },
    { 0, 200 },
    250,
    NearWaitAction::StartAway,
    0 },
  { "late task not started where it ends first",
    { 0, 100 },
    { 0, 200 },
    50,
    NearWaitAction::StartNear,
    0 },
  { "wait beyond the time at which away ends as early",
    { 50, 100 },
    { 0, 200 },
    1000,
    NearWaitAction::WaitNear,
    100 },
  { "wait that makes a start away late",
    { 30, 100 },
    { 0, 200 },
    240,
    NearWaitAction::WaitNear,
    40 },
  { "wait that is over before a near endpoint is free",
    { 50, 100 },
    { 0, 200 },
    240,
    NearWaitAction::StartAway,
    0 },
  { "wait that does not pay",
    { 150, 100 },
    { 0, 200 },
    1000,
    NearWaitAction::StartAway,
    0 },
  { "late start away while near is in time",
    { 250, 100 },
    { 0, 300 },
    290,
    NearWaitAction::StartAway,
    0 },
  { "late start away while a wait is in time",
    { 150, 100 },
    { 0, 400 },
    300,
    NearWaitAction::WaitNear,
    200 },
  { "wait of a late task that ends first away",
    { 350, 100 },
    { 0, 400 },
    300,
    NearWaitAction::StartAway,
    0 },
  { "wait for a rack without endpoints",
    { -1, 0 },
    { 0, 400 },
    1000,
    NearWaitAction::StartAway,
    0 },
  { "wait beside a free near endpoint because none is free away",
    { 0, 100 },
    { -1, 0 },
    1000,
    NearWaitAction::StartNear,
    0 },
  { "counting a full fleet as a wait for a near endpoint",
    { 20, 100 },
    { -1, 0 },
    1000,
    NearWaitAction::Queue,
    0 },
};

//! Near starts 5 ms after kNow and takes 100 ms, away takes 180 ms; 200 ms are
//! left.
struct MarginRow
{
  const char* guardsAgainst;
  double margin;
  std::int64_t untilMs;
};

constexpr MarginRow kMarginRows[] = {
  { "wait beyond the latest start away", 1, 20 },
  { "wait that leaves away no time for a wrong prediction", 1.05, 11 },
  { "wait that leaves near no time for a wrong prediction", 1.2, 80 },
};

struct FactorRow
{
  const char* guardsAgainst;
  double configured;
  double actual;
  double predictionError; //!< Measured / predicted, of all runs.
  int nearRuns;
  int awayRuns;
  double min;
  double max;
};

constexpr FactorRow kFactorRows[] = {
  { "configured factor ignored without runs", 3, 1, 1, 0, 0, 3, 3 },
  { "one run that decides alone", 2, 10, 1, 0, 1, 2, 2.5 },
  { "factor of 1 that cannot be learned", 2, 1, 1, 400, 400, 1, 1.05 },
  { "large factor that cannot be learned", 2, 20, 1, 400, 400, 18, 21 },
  { "wrong predictions taken for the factor", 2, 2, 1.6, 400, 400, 1.9, 2.1 },
  { "factor below the bound", 1, 0.5, 1, 100, 400, 1, 1 },
  { "factor above the bound", 50, 1000, 1, 100, 400, 95, 100 },
  { "configured factor out of bounds", 1000, 1, 1, 0, 0, 100, 100 },
};

//! The rack "a" has one endpoint that is busy until 50 ms after kNow; the other
//! endpoints, in rack "b", are free. Tasks take 100 ms and fill an endpoint.
struct RackForecastRow
{
  const char* guardsAgainst;
  const char* rack;
  double remoteFactor;
  std::size_t stride;
  std::vector<std::int64_t> expectedEndsMs; //!< Per task.
};

const RackForecastRow kRackForecastRows[] = {
  { "rack of a task without preference", "", 3, 1, { 100, 100 } },
  { "queue for a rack left out", "a", 3, 1, { 150, 250, 300 } },
  { "wait that does not pay", "a", 1.2, 1, { 120, 120, 150 } },
  { "rack without endpoints", "c", 2, 1, { 200, 200 } },
  { "tasks of a whole rack that fill a sample of the rest",
    "a",
    1.2,
    4,
    { 120, 120, 120, 120 } },
};

}

TEST_GROUP(NearWait){};

TEST(NearWait, DecidesWhatEndsEarlierInTime)
{
  for (const DecisionRow& row : kDecisionRows) {
    NearWaitInputs inputs;
    inputs.now = kNow;
    inputs.latestEnd = kNow + Ms(row.latestEndMs);
    inputs.near = row.near.Run();
    inputs.away = row.away.Run();
    const NearWaitDecision decision = DecideNearWait(inputs);
    LONGS_EQUAL_TEXT(static_cast<int>(row.action),
                     static_cast<int>(decision.action),
                     row.guardsAgainst);
    if (row.action == NearWaitAction::WaitNear) {
      LONGS_EQUAL_TEXT(
        row.untilMs, MsFromNow(decision.until), row.guardsAgainst);
    }
  }
}

TEST(NearWait, LeavesAMargin)
{
  for (const MarginRow& row : kMarginRows) {
    NearWaitInputs inputs;
    inputs.now = kNow;
    inputs.latestEnd = kNow + Ms(200);
    inputs.margin = row.margin;
    inputs.near = RunRow{ 5, 100 }.Run();
    inputs.away = RunRow{ 0, 180 }.Run();
    const NearWaitDecision decision = DecideNearWait(inputs);
    LONGS_EQUAL_TEXT(static_cast<int>(NearWaitAction::WaitNear),
                     static_cast<int>(decision.action),
                     row.guardsAgainst);
    LONGS_EQUAL_TEXT(row.untilMs, MsFromNow(decision.until), row.guardsAgainst);
  }
}

TEST_GROUP(RemoteFactor){};

TEST(RemoteFactor, LearnsFromRunsNearAndAway)
{
  for (const FactorRow& row : kFactorRows) {
    RemoteFactor factor(row.configured);
    const auto measured = [&row](double aFactor) {
      return Duration(
        static_cast<std::int64_t>(100000 * row.predictionError * aFactor));
    };
    for (int i = 0; i < row.nearRuns; ++i) {
      factor.LearnNear(Ms(100), measured(1));
    }
    for (int i = 0; i < row.awayRuns; ++i) {
      factor.LearnAway(Ms(100), measured(row.actual));
    }
    CHECK_TEXT(
      factor.Value() >= row.min - 1e-9 && factor.Value() <= row.max + 1e-9,
      (std::string(row.guardsAgainst) + ": " + std::to_string(factor.Value()))
        .c_str());
  }
}

TEST_GROUP(RackForecast){};

TEST(RackForecast, IncludesTheQueueForARack)
{
  for (const RackForecastRow& row : kRackForecastRows) {
    Forecast forecast(kNow, row.stride, row.rack);
    const ResourceRelease release{ kNow + Ms(50), { 1000, 0, 0 } };
    forecast.AddEndpoint({ 0, 1000, 0 }, 1, { &release, 1 }, "a");
    forecast.AddEndpoint({ 1000, 1000, 0 }, 1, {}, "b");
    forecast.AddEndpoint({ 1000, 1000, 0 }, 1, {}, "b");
    for (const std::int64_t expected : row.expectedEndsMs) {
      PlacementDemand demand;
      demand.taskResources = { 1000, 1, 0 };
      demand.predictedRunTime = Ms(100);
      demand.now = kNow;
      demand.latestEnd = kNow + Ms(1000);
      demand.preferredRack = row.rack;
      demand.remoteFactor = row.remoteFactor;
      const auto end = forecast.Place(demand);
      LONGS_EQUAL_TEXT(expected, end ? MsFromNow(*end) : -1, row.guardsAgainst);
    }
  }
}
