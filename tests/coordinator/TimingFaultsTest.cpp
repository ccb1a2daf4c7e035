// Random faults of time: processes that pause, links and endpoints that are
// late, and callers that send work again. No task may have two runs at once.
// Each row has draws of its own, apart from those of RandomFaults.
#include "support/Cluster.h"
#include "support/SteadyWork.h"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <set>
#include <string>
#include <vector>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

constexpr Duration kSecond{ 1000000 };
constexpr Duration kMillisecond{ 1000 };

//! Injects faults of time. Each method returns a description.
class TimingFaults
{
public:
  TimingFaults(Cluster& aCluster, const Cluster::Options& aOptions)
    : cluster_(aCluster)
    , options_(aOptions)
    , dice_(aOptions.seed)
  {
  }

  std::size_t Draw(std::size_t aBound) { return dice_.Next() % aBound; }
  //! In milliseconds, from aLeast to below aMost.
  std::int64_t DrawMs(std::int64_t aLeast, std::int64_t aMost)
  {
    return aLeast +
           static_cast<std::int64_t>(Draw(static_cast<std::size_t>(aMost) -
                                          static_cast<std::size_t>(aLeast)));
  }

  std::string ToggleZone()
  {
    return Toggle("zone ", Draw(options_.zones), cutZones_, [this](auto aZone) {
      cluster_.SetZoneIsolated(aZone, cutZones_.count(aZone) > 0);
    });
  }
  std::string ToggleLinks()
  {
    return Toggle(
      "links of d", Draw(options_.daemons), cutLinks_, [this](auto aDaemon) {
        cluster_.SetCrossZoneLinksDown(aDaemon, cutLinks_.count(aDaemon) > 0);
      });
  }
  std::string ToggleEndpoint()
  {
    return Toggle("endpoint e",
                  Draw(options_.endpoints),
                  silentEndpoints_,
                  [this](auto aEndpoint) {
                    cluster_.SetUnresponsive(
                      aEndpoint, silentEndpoints_.count(aEndpoint) > 0);
                  });
  }
  std::string Pause()
  {
    const std::size_t daemon = Draw(options_.daemons);
    const auto ms = DrawMs(5, 2500);
    cluster_.Pause(daemon, ms * kMillisecond);
    return Describe("pause d", daemon, ms);
  }
  //! The leader pauses shortly before or after its zone is cut off, for about
  //! as long as others hold its work.
  std::string PauseCutLeader()
  {
    const auto leader = cluster_.Leader();
    if (!leader) {
      return "no leader to pause";
    }
    const auto ms = DrawMs(1300, 2600);
    const std::size_t zone = *leader % options_.zones;
    const bool isCutFirst = Draw(3) == 0;
    if (!isCutFirst) {
      cluster_.Pause(*leader, ms * kMillisecond);
    }
    cluster_.Time().RunFor(DrawMs(0, 300) * kMillisecond);
    cutZones_.insert(zone);
    cluster_.SetZoneIsolated(zone, true);
    if (isCutFirst) {
      cluster_.Time().RunFor(DrawMs(0, 300) * kMillisecond);
      cluster_.Pause(*leader, ms * kMillisecond);
    }
    return Describe("cut its zone and pause d", *leader, ms);
  }
  std::string PauseBeforeStart()
  {
    const std::size_t daemon = cluster_.Leader().value_or(0);
    const auto ms = DrawMs(5, 100);
    cluster_.PauseBeforeStart(daemon, ms * kMillisecond);
    return Describe("pause before a start of d", daemon, ms);
  }
  std::string HoldFrames()
  {
    const std::size_t daemon = Draw(options_.daemons);
    const auto ms = DrawMs(50, 2000);
    cluster_.HoldFrames(daemon, ms * kMillisecond);
    return Describe("hold frames of d", daemon, ms);
  }
  std::string DropCancels()
  {
    const std::size_t daemon = Draw(options_.daemons);
    const auto ms = DrawMs(100, 2000);
    cluster_.DropCancels(daemon, ms * kMillisecond);
    return Describe("drop cancels of d", daemon, ms);
  }
  std::string DelayCommands()
  {
    const std::size_t endpoint = Draw(options_.endpoints);
    const auto ms = DrawMs(20, 600);
    cluster_.DelayCommands(
      endpoint, ms * kMillisecond, DrawMs(2000, 12000) * kMillisecond);
    return Describe("delay commands of e", endpoint, ms);
  }
  std::string RestartEndpoint()
  {
    const std::size_t endpoint = Draw(options_.endpoints);
    cluster_.CrashEndpoint(endpoint);
    return "restart e" + std::to_string(endpoint);
  }
  std::string RestartDaemon()
  {
    const std::size_t daemon = Draw(options_.daemons);
    cluster_.Kill(daemon);
    cluster_.Restart(daemon);
    return "restart d" + std::to_string(daemon);
  }
  //! Callers send some unanswered work again without the daemons' notice.
  std::string SubmitAgain()
  {
    std::string text = "send again:";
    for (const std::string& id : cluster_.UnansweredWorks()) {
      if (Draw(4) == 0) {
        const std::size_t daemon = Draw(options_.daemons);
        cluster_.SubmitAgain(id, daemon);
        text += " " + id + " to d" + std::to_string(daemon);
      }
    }
    return text;
  }

private:
  static std::string Describe(const std::string& aWhat,
                              std::size_t aIndex,
                              std::int64_t aMilliseconds)
  {
    return aWhat + std::to_string(aIndex) + " for " +
           std::to_string(aMilliseconds) + " ms";
  }
  static std::string Toggle(const std::string& aWhat,
                            std::size_t aIndex,
                            std::set<std::size_t>& aCut,
                            const std::function<void(std::size_t)>& aUpdate)
  {
    const bool isCut = aCut.insert(aIndex).second;
    if (!isCut) {
      aCut.erase(aIndex);
    }
    aUpdate(aIndex);
    return (isCut ? "cut " : "heal ") + aWhat + std::to_string(aIndex);
  }

  Cluster& cluster_;
  const Cluster::Options& options_;
  Dice dice_;
  std::set<std::size_t> cutZones_;
  std::set<std::size_t> cutLinks_;
  std::set<std::size_t> silentEndpoints_;
};

struct TimingFaultKind
{
  const char* guardsAgainst;
  std::function<std::string(TimingFaults&)> inject;
  //! Leaves a caller's work at a daemon that does not notice that the caller
  //! has left.
  bool isUnnoticed = false;
};

const TimingFaultKind kTimingFaultKinds[] = {
  { "two leaders on both sides of a partition that start the same task",
    &TimingFaults::ToggleZone },
  { "leaders that share endpoints but do not reach each other",
    &TimingFaults::ToggleLinks },
  { "rerunning a task before the lease of a silent endpoint has expired",
    &TimingFaults::ToggleEndpoint },
  { "a leader that handles buffered input before its overdue timers",
    &TimingFaults::Pause },
  { "the same while its entry VMs are cut off", &TimingFaults::PauseCutLeader },
  { "a start that is sent long after it was decided",
    &TimingFaults::PauseBeforeStart },
  { "frames that arrive after their sender was lost",
    &TimingFaults::HoldFrames },
  { "a leader that goes on with work that was withdrawn from it",
    &TimingFaults::DropCancels },
  { "commands that are carried out long after they were given up",
    &TimingFaults::DelayCommands },
  { "an endpoint that restarts under its id", &TimingFaults::RestartEndpoint },
  { "work that a restarted daemon does not know",
    &TimingFaults::RestartDaemon },
  { "two entry VMs that hold the same work", &TimingFaults::SubmitAgain, true },
};

struct TimingRow
{
  const char* guardsAgainst;
  bool hasUnnoticedCallers;
  Duration interval; //!< Between works; a short one overloads the endpoints.
  double endpointClockRate;
  Duration endpointTimerDelay;
  std::set<std::uint64_t> seeds;
};

const TimingRow kTimingRows[] = {
  { "faults of time under a load with free room",
    false,
    25 * kMillisecond,
    1,
    Duration(0),
    { 1, 2, 3, 4, 5, 6, 7, 8, 115 } },
  { "the same with a queue at the leader",
    false,
    12 * kMillisecond,
    1,
    Duration(0),
    { 1, 2, 3, 4, 5, 6, 7, 8 } },
  { "the same with slow clocks and late timers at the endpoints",
    false,
    12 * kMillisecond,
    0.98,
    50 * kMillisecond,
    { 1, 2, 3, 4, 5, 6, 7, 8 } },
};

const TimingRow kLateStartRows[] = {
  { "a start that an endpoint carries out after a restart under its id",
    false,
    12 * kMillisecond,
    1,
    Duration(0),
    { 24 } },
};

const TimingRow kUnnoticedCallerRows[] = {
  { "callers that send work again while its first daemon still holds it",
    true,
    25 * kMillisecond,
    1,
    Duration(0),
    { 2, 5, 7, 8, 10 } },
};

//! Returns the tasks that had two runs at once, empty if there are none.
std::string RunScenario(const TimingRow& aRow, std::uint64_t aSeed)
{
  constexpr Duration kFaultPeriod = 10 * kSecond;
  Cluster::Options options = ListReadingClusterOptions(aSeed);
  options.handlesInputFirst = true;
  options.endpointClockRate = aRow.endpointClockRate;
  options.endpointTimerDelay = aRow.endpointTimerDelay;
  Cluster cluster(options);
  cluster.work = TaskRunTime;
  std::vector<std::string> lines;
  cluster.trace = [&lines](const std::string& aLine) {
    lines.push_back(aLine);
  };
  const auto now = [&cluster] {
    return cluster.Time().Now().time_since_epoch().count() / 1000 % 1000000;
  };

  SubmitAtInterval(cluster,
                   0,
                   static_cast<int>((kFaultPeriod + kSecond) / aRow.interval),
                   aRow.interval);
  cluster.Time().RunFor(kSecond);
  TimingFaults faults(cluster, options);
  std::vector<const TimingFaultKind*> kinds;
  while (kinds.empty()) {
    for (const TimingFaultKind& kind : kTimingFaultKinds) {
      const bool isWanted = !kind.isUnnoticed || aRow.hasUnnoticedCallers;
      if (isWanted && faults.Draw(3) > 0) {
        kinds.push_back(&kind);
      }
    }
  }
  const TimePoint end = cluster.Time().Now() + kFaultPeriod;
  while (cluster.Time().Now() < end) {
    const auto at = now();
    lines.push_back(std::to_string(at) + " fault: " +
                    kinds[faults.Draw(kinds.size())]->inject(faults));
    cluster.Time().RunFor(faults.DrawMs(20, 700) * kMillisecond);
  }
  cluster.Time().RunFor(3 * kSecond);
  if (cluster.OverlappingTasks().empty()) {
    return "";
  }
  const std::string task = cluster.OverlappingTasks().front();
  const std::string id = task.substr(0, task.find('.'));
  std::cerr << "seed " << aSeed << '\n';
  for (const std::string& line : lines) {
    const bool isAboutTask = line.find(" " + id + " ") != std::string::npos ||
                             line.find(" " + id + ".") != std::string::npos;
    if (isAboutTask || line.find("fault: ") != std::string::npos ||
        line.find(" lead ") != std::string::npos) {
      std::cerr << line << '\n';
    }
  }
  return "seed " + std::to_string(aSeed) + ", ran twice " +
         std::to_string(cluster.OverlappingTasks().size()) + ", first " + task +
         "\n";
}

std::string RunRows(Span<const TimingRow> aRows)
{
  // To run more seeds: HEMLOCKHAVEN_SEEDS=200 test_coordinator -sg TimingFaults
  const char* seedCount = std::getenv("HEMLOCKHAVEN_SEEDS");
  const std::uint64_t others =
    seedCount == nullptr ? 0 : std::stoull(seedCount);
  std::string failures;
  for (const TimingRow& row : aRows) {
    std::set<std::uint64_t> seeds = row.seeds;
    for (std::uint64_t seed = 1; seed <= others; ++seed) {
      seeds.insert(seed);
    }
    std::string rowFailures;
    for (const std::uint64_t seed : seeds) {
      rowFailures += RunScenario(row, seed);
    }
    failures += rowFailures.empty()
                  ? ""
                  : std::string(row.guardsAgainst) + "\n" + rowFailures;
  }
  return failures;
}

}

TEST_GROUP(TimingFaults){};

TEST(TimingFaults, RunNoTaskTwice)
{
  STRCMP_EQUAL("", RunRows(kTimingRows).c_str());
}

TEST_GROUP(TimingFaultsUnnoticedCaller){};

TEST(TimingFaultsUnnoticedCaller, RunNoTaskTwice)
{
  STRCMP_EQUAL("", RunRows(kUnnoticedCallerRows).c_str());
}

TEST_GROUP(TimingFaultsLateStart){};

TEST(TimingFaultsLateStart, RunNoTaskTwice)
{
  STRCMP_EQUAL("", RunRows(kLateStartRows).c_str());
}
