// No task may start on an endpoint of an evacuated availability zone, whatever
// else changes meanwhile, and the zone serves again once it is taken back.
#include "support/ManualScheduler.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

using Zones = std::vector<std::string>;

constexpr std::size_t kEndpoints = 4; // Two in each zone.

struct EvacuationRow
{
  const char* guardsAgainst;
  std::function<void(ManualScheduler&)> arrange;
  std::size_t submitted;
  std::vector<std::string> startEndpoints; //!< Sorted; only of the work above.
  std::vector<std::string> refused;
  std::size_t evacuatedEndpoints;
};

const EvacuationRow kRows[] = {
  { "a zone that is left out without an evacuation",
    [](ManualScheduler&) {},
    4,
    { "e0", "e1", "e2", "e3" },
    {},
    0 },
  { "starts in an evacuated zone",
    [](ManualScheduler& aScheduler) { aScheduler.SetEvacuatedZones({ "b" }); },
    2,
    { "e0", "e2" },
    {},
    2 },
  { "an endpoint that is listed after its zone was evacuated",
    [](ManualScheduler& aScheduler) {
      aScheduler.SetEvacuatedZones({ "b" });
      aScheduler.ListEndpoints(kEndpoints + 2);
      aScheduler.Run(1000);
    },
    3,
    { "e0", "e2", "e4" },
    {},
    3 },
  { "an evacuation that is forgotten in a new term",
    [](ManualScheduler& aScheduler) {
      aScheduler.SetEvacuatedZones({ "b" });
      aScheduler.StartTerm(2);
      aScheduler.Run(1000);
    },
    2,
    { "e0", "e2" },
    {},
    2 },
  { "a zone that stays closed after it was taken back",
    [](ManualScheduler& aScheduler) {
      aScheduler.SetEvacuatedZones({ "b" });
      aScheduler.Run(1000);
      aScheduler.SetEvacuatedZones({});
    },
    4,
    { "e0", "e1", "e2", "e3" },
    {},
    0 },
  { "work that waits for endpoints that it may not use",
    [](ManualScheduler& aScheduler) {
      aScheduler.SetEvacuatedZones({ "a", "b" });
    },
    1,
    {},
    { "no suitable endpoint" },
    4 },
  { "an unknown zone that closes others",
    [](ManualScheduler& aScheduler) { aScheduler.SetEvacuatedZones({ "c" }); },
    4,
    { "e0", "e1", "e2", "e3" },
    {},
    0 },
};

}

TEST_GROUP(Evacuation){};

TEST(Evacuation, EndpointsOfTheZoneGetNoStarts)
{
  for (const EvacuationRow& row : kRows) {
    ManualScheduler scheduler(kEndpoints);
    row.arrange(scheduler);
    for (std::size_t i = 0; i < row.submitted; ++i) {
      scheduler.Submit("front", "w" + std::to_string(i));
    }
    auto endpoints = scheduler.startEndpoints;
    std::sort(endpoints.begin(), endpoints.end());
    CHECK_TEXT(endpoints == row.startEndpoints, row.guardsAgainst);
    CHECK_TEXT(scheduler.refused == row.refused, row.guardsAgainst);
    UNSIGNED_LONGS_EQUAL_TEXT(row.evacuatedEndpoints,
                              scheduler.Load().evacuatedEndpoints,
                              row.guardsAgainst);
  }
}

TEST(Evacuation, AdmissionDoesNotCountOnTheZone)
{
  // Work of 1 s with a stretch of 9: about ten fit behind each other on one
  // endpoint. Counting on the evacuated ones would accept twice as many.
  const auto countAccepted = [](const Zones& aEvacuated) {
    ManualScheduler scheduler(kEndpoints);
    scheduler.SetEvacuatedZones(aEvacuated);
    constexpr std::size_t kSubmitted = 80;
    for (std::size_t i = 0; i < kSubmitted; ++i) {
      scheduler.Submit("front", "w" + std::to_string(i));
    }
    return kSubmitted - scheduler.refused.size();
  };
  const std::size_t all = countAccepted({});
  const std::size_t half = countAccepted({ "b" });
  CHECK(half > 0);
  CHECK(half <= all / 2 + 1);
}

TEST(Evacuation, ActiveRunsContinue)
{
  ManualScheduler scheduler(kEndpoints);
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    scheduler.Submit("front", "w" + std::to_string(i));
  }
  scheduler.SetEvacuatedZones({ "b" });
  scheduler.Run(500);
  CHECK(scheduler.stops.empty());
}

TEST(Evacuation, QueuedWorkMovesToOtherZones)
{
  ManualScheduler scheduler(kEndpoints);
  for (std::size_t i = 0; i < kEndpoints + 1; ++i) {
    scheduler.Submit("front", "w" + std::to_string(i));
  }
  scheduler.SetEvacuatedZones({ "b" });
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    scheduler.EndRuns(i, RunOutcome::Done);
  }
  scheduler.Run(200);
  UNSIGNED_LONGS_EQUAL(kEndpoints + 1, scheduler.startEndpoints.size());
  const std::string& last = scheduler.startEndpoints.back();
  CHECK(last == "e0" || last == "e2");
}
