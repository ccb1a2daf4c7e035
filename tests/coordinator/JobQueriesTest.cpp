// A cancel has to stop its job at every daemon and whatever fails at the same
// time, and a state query may only deny a job that no leader can have.
#include "support/Cluster.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

Duration Ms(std::int64_t aMilliseconds)
{
  return std::chrono::milliseconds(aMilliseconds);
}

//! Longest time from the acknowledgement of a cancel until it is in force.
constexpr Duration kCancelTime{ 3000000 };

Work MakeWork()
{
  Work work;
  work.id = "w";
  work.kind = "k";
  work.stretch = 4;
  work.targetLatency = Ms(500);
  work.callerTimeout = Ms(12000);
  WorkStep step;
  step.count = 2;
  step.taskResources = { 4000, 64, 0 };
  step.estimate = Ms(2000);
  work.steps.push_back(step);
  return work;
}

//! A cluster with a leader, the job's owner (where its caller waits) and a
//! third daemon that callers ask, each in a zone of its own. Two more daemons
//! give the majority to those that remain when one zone is cut off.
class Scenario
{
public:
  explicit Scenario(double aLinkMbps)
    : cluster(MakeOptions(aLinkMbps))
  {
    cluster.work = [this](const TaskKey&) { return runTime; };
    leader = *cluster.Leader();
    owner = FirstOutside({ cluster.ZoneOf(leader) });
    asked = FirstOutside({ cluster.ZoneOf(leader), cluster.ZoneOf(owner) });
    while (other == leader || other == owner || other == asked) {
      ++other;
    }
  }

  void Run(std::int64_t aMilliseconds)
  {
    cluster.Time().RunFor(Ms(aMilliseconds));
  }
  void SubmitAndStart()
  {
    cluster.Submit(owner, MakeWork());
    Run(100);
  }
  //! Cancels and runs until the answer is there.
  void Cancel(std::size_t aDaemon)
  {
    const std::size_t answers = cluster.JobStates().size();
    cluster.Cancel(aDaemon, "w");
    for (int i = 0; i < 1100 && cluster.JobStates().size() == answers; ++i) {
      Run(1);
    }
    acknowledgedAt = cluster.Time().Now();
  }

  Cluster cluster;
  Duration runTime = Ms(2000);
  std::size_t leader = 0;
  std::size_t owner = 0;
  std::size_t asked = 0;
  std::size_t other = 0;                   //!< A fourth daemon.
  std::optional<TimePoint> acknowledgedAt; //!< Of the last cancel.

private:
  static Cluster::Options MakeOptions(double aLinkMbps)
  {
    Cluster::Options options;
    options.daemons = 5;
    options.zones = 3;
    options.endpoints = 6;
    options.linkMbps = aLinkMbps;
    return options;
  }
  std::size_t FirstOutside(const std::vector<std::size_t>& aZones) const
  {
    for (std::size_t i = 0; i < 5; ++i) {
      bool isInside = false;
      for (const std::size_t zone : aZones) {
        isInside = isInside || cluster.ZoneOf(i) == zone;
      }
      if (!isInside) {
        return i;
      }
    }
    return 0;
  }
};

constexpr double kWideLink = 1000;
//! Divides the endpoints by zone.
constexpr double kNarrowLink = 0.05;

struct CancelRow
{
  const char* guardsAgainst;
  std::function<void(Scenario&)> run;
  //! Answers to the cancels and state queries.
  std::string states;
  bool startsNothing = false; //!< Not even before the cancel.
  double linkMbps = kWideLink;
};

const CancelRow kCancelRows[] = {
  { "a job that runs on since another daemon has its caller",
    [](Scenario& aScenario) {
      aScenario.SubmitAndStart();
      aScenario.Cancel(aScenario.asked);
    },
    "cancelled " },
  { "the same with a leader for each zone",
    [](Scenario& aScenario) {
      aScenario.SubmitAndStart();
      aScenario.Cancel(aScenario.asked);
    },
    "cancelled ",
    false,
    kNarrowLink },
  { "a job that its caller sends again after the death of its owner",
    [](Scenario& aScenario) {
      aScenario.SubmitAndStart();
      aScenario.cluster.Kill(aScenario.owner);
      aScenario.Cancel(aScenario.asked);
    },
    "cancelled " },
  { "a restarted owner that denies a job which its caller has sent again",
    [](Scenario& aScenario) {
      aScenario.SubmitAndStart();
      aScenario.cluster.Kill(aScenario.owner);
      aScenario.cluster.Restart(aScenario.owner);
      aScenario.Run(2000);
      aScenario.Cancel(aScenario.owner);
    },
    "cancelled " },
  { "a job that starts when its caller sends it again after the cancel, which "
    "came after its owner's restart",
    [](Scenario& aScenario) {
      aScenario.SubmitAndStart();
      aScenario.cluster.Kill(aScenario.owner);
      aScenario.cluster.Restart(aScenario.owner);
      aScenario.Run(1000);
      aScenario.Cancel(aScenario.owner);
    },
    "unknown " },
  { "a job of an owner that is cut off, which it hands in when it is back",
    [](Scenario& aScenario) {
      aScenario.SubmitAndStart();
      aScenario.cluster.SetCrossZoneLinksDown(aScenario.owner, true);
      aScenario.Cancel(aScenario.asked);
      aScenario.Run(2000);
      aScenario.cluster.SetCrossZoneLinksDown(aScenario.owner, false);
    },
    "cancelled " },
  { "a zone that is cut off and denies a job of the others",
    [](Scenario& aScenario) {
      aScenario.SubmitAndStart();
      aScenario.cluster.SetZoneIsolated(
        aScenario.cluster.ZoneOf(aScenario.asked), true);
      aScenario.Run(900);
      aScenario.cluster.QueryState(aScenario.asked, "w");
      aScenario.Run(1100);
      aScenario.cluster.SetZoneIsolated(
        aScenario.cluster.ZoneOf(aScenario.asked), false);
      aScenario.Run(2000);
    },
    "undecided " },
  { "the same with a leader for each zone",
    [](Scenario& aScenario) {
      aScenario.SubmitAndStart();
      aScenario.cluster.SetZoneIsolated(
        aScenario.cluster.ZoneOf(aScenario.asked), true);
      aScenario.Run(900);
      aScenario.cluster.QueryState(aScenario.asked, "w");
      aScenario.Run(1100);
      aScenario.cluster.SetZoneIsolated(
        aScenario.cluster.ZoneOf(aScenario.asked), false);
      aScenario.Run(2000);
    },
    "undecided ",
    false,
    kNarrowLink },
  { "a cancel that is lost with the leader which was asked",
    [](Scenario& aScenario) {
      aScenario.SubmitAndStart();
      aScenario.cluster.Cancel(aScenario.asked, "w");
      aScenario.cluster.Kill(aScenario.leader);
      aScenario.Run(1100);
      aScenario.Cancel(aScenario.asked);
    },
    "undecided cancelled " }, // The next leader has just begun its term.
  { "a new leader that starts the job again, which did not hear of the cancel",
    [](Scenario& aScenario) {
      aScenario.SubmitAndStart();
      aScenario.Cancel(aScenario.asked);
      aScenario.cluster.Kill(aScenario.leader);
      aScenario.Run(1000);
      aScenario.cluster.Submit(aScenario.other, MakeWork());
    },
    "cancelled " },
  { "the same if all that the leader sent before was lost",
    [](Scenario& aScenario) {
      aScenario.SubmitAndStart();
      aScenario.Cancel(aScenario.owner);
      aScenario.cluster.Kill(aScenario.leader);
      aScenario.Run(1000);
      aScenario.cluster.Submit(aScenario.asked, MakeWork());
    },
    "cancelled " },
  { "a withdrawal at the owner that does not reach the leader",
    [](Scenario& aScenario) {
      aScenario.cluster.DropCancels(aScenario.owner, Ms(1000));
      aScenario.SubmitAndStart();
      aScenario.Cancel(aScenario.owner);
    },
    "cancelled " },
  { "a job that arrives after its cancel",
    [](Scenario& aScenario) {
      aScenario.Cancel(aScenario.asked);
      aScenario.cluster.Submit(aScenario.owner, MakeWork());
    },
    "unknown ",
    true },
  { "a copy of the job that arrives seconds after its cancel",
    [](Scenario& aScenario) {
      aScenario.SubmitAndStart();
      aScenario.Cancel(aScenario.owner);
      aScenario.Run(3500);
      aScenario.cluster.Submit(aScenario.asked, MakeWork());
    },
    "cancelled " },
  { "a second cancel that has another answer",
    [](Scenario& aScenario) {
      aScenario.SubmitAndStart();
      aScenario.Cancel(aScenario.asked);
      aScenario.Cancel(aScenario.asked);
      aScenario.Cancel(aScenario.owner);
      aScenario.Cancel(aScenario.leader);
    },
    "cancelled cancelled cancelled cancelled " },
  { "a job that is said to be cancelled but is done, and that runs again",
    [](Scenario& aScenario) {
      aScenario.runTime = Ms(50);
      aScenario.SubmitAndStart();
      aScenario.Run(500);
      aScenario.Cancel(aScenario.asked);
      aScenario.cluster.Submit(aScenario.asked, MakeWork());
      aScenario.Run(6000);
      aScenario.cluster.Submit(aScenario.asked, MakeWork());
    },
    "completed " },
  { "a state that differs between the daemons",
    [](Scenario& aScenario) {
      aScenario.cluster.QueryState(aScenario.asked, "w");
      aScenario.SubmitAndStart();
      aScenario.cluster.QueryState(aScenario.asked, "w");
      aScenario.Run(10);
      aScenario.cluster.QueryState(aScenario.owner, "w");
      aScenario.Cancel(aScenario.asked);
      aScenario.cluster.QueryState(aScenario.leader, "w");
      aScenario.Run(10);
    },
    "unknown running running cancelled cancelled " },
};

}

TEST_GROUP(JobQueries){};

TEST(JobQueries, CancelIsInForceWhateverFails)
{
  for (const CancelRow& row : kCancelRows) {
    Scenario scenario(row.linkMbps);
    if (row.linkMbps != kWideLink) {
      CHECK_TEXT(scenario.cluster.LeaderCount() > 1, row.guardsAgainst);
    }
    row.run(scenario);
    scenario.Run(4000);
    std::string states;
    for (const JobState state : scenario.cluster.JobStates()) {
      states += std::string(NameOf(state)) + " ";
    }
    STRCMP_EQUAL_TEXT(row.states.c_str(), states.c_str(), row.guardsAgainst);
    const auto lastStart = scenario.cluster.LastStart("w");
    CHECK_EQUAL_TEXT(
      row.startsNothing, !lastStart.has_value(), row.guardsAgainst);
    if (scenario.acknowledgedAt && lastStart) {
      CHECK_TEXT(*lastStart <= *scenario.acknowledgedAt, row.guardsAgainst);
    }
    if (scenario.acknowledgedAt) {
      CHECK_TEXT(scenario.cluster.Time().Now() - *scenario.acknowledgedAt >
                   kCancelTime,
                 row.guardsAgainst);
      LONGS_EQUAL_TEXT(0, scenario.cluster.ActiveRuns("w"), row.guardsAgainst);
    }
    LONGS_EQUAL_TEXT(
      0, scenario.cluster.OverlappingTasks().size(), row.guardsAgainst);
    LONGS_EQUAL_TEXT(
      0, scenario.cluster.UnansweredWorks().size(), row.guardsAgainst);
  }
}
