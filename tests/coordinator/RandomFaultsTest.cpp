// Random sequences of faults must neither run a task twice nor leave the
// cluster without a single leader that completes new work.
#include "support/Cluster.h"
#include "support/SteadyWork.h"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

constexpr Duration kSecond{ 1000000 };
constexpr Duration kMillisecond{ 1000 };

//! Injects randomly drawn faults and tracks the active ones.
class Faults
{
public:
  Faults(Cluster& aCluster,
         const Cluster::Options& aOptions,
         std::uint64_t aSeed)
    : cluster_(aCluster)
    , options_(aOptions)
    , dice_(aSeed)
  {
  }

  std::size_t Draw(std::size_t aBound) { return dice_.Next() % aBound; }

  std::string ToggleZone()
  {
    const std::size_t zone = Draw(options_.zones);
    const bool cut = Toggle(isolatedZones_, zone);
    cluster_.SetZoneIsolated(zone, cut);
    return (cut ? "cut zone " : "heal zone ") + std::to_string(zone);
  }
  std::string ToggleLinks()
  {
    const std::size_t daemon = Draw(options_.daemons);
    const bool cut = Toggle(crossZoneLinksDown_, daemon);
    cluster_.SetCrossZoneLinksDown(daemon, cut);
    return (cut ? "cut links of d" : "heal links of d") +
           std::to_string(daemon);
  }
  std::string ToggleStore()
  {
    const std::size_t daemon = Draw(options_.daemons);
    const bool cut = Toggle(cutStores_, daemon);
    cluster_.SetStoreUnreachable(daemon, cut);
    return (cut ? "cut store of d" : "heal store of d") +
           std::to_string(daemon);
  }
  //! Expires the entries of a zone's endpoints, or restores the expired ones.
  std::string ToggleEntriesOfZone()
  {
    const std::size_t zone = Draw(options_.zones);
    const bool expire = expired_.count(zone) == 0;
    std::string description = "zone " + std::to_string(zone) + ":";
    for (std::size_t i = zone; i < options_.endpoints; i += options_.zones) {
      description += SetExpired(i, expire);
    }
    return description;
  }
  std::string ToggleRandomEntries()
  {
    std::string description = "random entries:";
    for (std::size_t i = 0; i < options_.endpoints; ++i) {
      if (Draw(3) == 0) {
        description += SetExpired(i, expired_.count(i) == 0);
      }
    }
    return description;
  }
  std::string ToggleDaemon()
  {
    const std::size_t daemon = Draw(options_.daemons);
    if (cluster_.IsUp(daemon)) {
      cluster_.Kill(daemon);
      return "kill d" + std::to_string(daemon);
    }
    cluster_.Restart(daemon);
    return "start d" + std::to_string(daemon);
  }
  std::string Restart()
  {
    const std::size_t daemon = Draw(options_.daemons);
    cluster_.Kill(daemon);
    cluster_.Restart(daemon);
    return "restart d" + std::to_string(daemon);
  }
  std::string Pause()
  {
    const std::size_t daemon = Draw(options_.daemons);
    const auto milliseconds = 100 + static_cast<std::int64_t>(Draw(1900));
    cluster_.Pause(daemon, milliseconds * kMillisecond);
    return "pause d" + std::to_string(daemon) + " for " +
           std::to_string(milliseconds) + " ms";
  }
  std::string KillLeader()
  {
    const auto leader = cluster_.Leader();
    if (!leader) {
      return "no leader to kill";
    }
    cluster_.Kill(*leader);
    return "kill leader d" + std::to_string(*leader);
  }
  std::string CrashEndpoint()
  {
    const std::size_t endpoint = Draw(options_.endpoints);
    cluster_.CrashEndpoint(endpoint);
    return "crash e" + std::to_string(endpoint);
  }
  std::string ToggleSilent()
  {
    const std::size_t endpoint = Draw(options_.endpoints);
    const bool silent = Toggle(unresponsive_, endpoint);
    cluster_.SetUnresponsive(endpoint, silent);
    return (silent ? "silence e" : "end silence of e") +
           std::to_string(endpoint);
  }

  //! Ends all faults except pauses, which last for their drawn time.
  void HealAll()
  {
    for (std::size_t zone = 0; zone < options_.zones; ++zone) {
      cluster_.SetZoneIsolated(zone, false);
    }
    for (std::size_t i = 0; i < options_.daemons; ++i) {
      cluster_.SetCrossZoneLinksDown(i, false);
      cluster_.SetStoreUnreachable(i, false);
      cluster_.Restart(i);
    }
    for (std::size_t i = 0; i < options_.endpoints; ++i) {
      cluster_.SetUnresponsive(i, false);
      SetExpired(i, false);
    }
  }

private:
  //! Returns whether the set contains the index afterwards.
  static bool Toggle(std::set<std::size_t>& aSet, std::size_t aIndex)
  {
    const bool added = aSet.insert(aIndex).second;
    if (!added) {
      aSet.erase(aIndex);
    }
    return added;
  }
  std::string SetExpired(std::size_t aEndpoint, bool aExpired)
  {
    if (aExpired == (expired_.count(aEndpoint) > 0)) {
      return "";
    }
    Toggle(expired_, aEndpoint);
    if (aExpired) {
      cluster_.ExpireListEntry(aEndpoint);
    } else {
      cluster_.PutListEntry(aEndpoint);
    }
    return (aExpired ? " expire e" : " restore e") + std::to_string(aEndpoint);
  }

  Cluster& cluster_;
  const Cluster::Options& options_;
  Dice dice_;
  std::set<std::size_t> isolatedZones_;
  std::set<std::size_t> crossZoneLinksDown_;
  std::set<std::size_t> cutStores_;
  std::set<std::size_t> expired_;
  std::set<std::size_t> unresponsive_;
};

struct FaultKind
{
  const char* guardsAgainst;
  std::function<std::string(Faults&)> inject; //!< Returns a description.
  //! Whether it changes the leader or the endpoints that daemons know.
  bool changesEndpointLists;
};

const FaultKind kFaultKinds[] = {
  { "two leaders on both sides of a partition that start the same task",
    &Faults::ToggleZone,
    false },
  { "leaders that share endpoints but do not reach each other",
    &Faults::ToggleLinks,
    false },
  { "a leader with an older list of endpoints than an earlier leader",
    &Faults::ToggleStore,
    true },
  { "endpoints of an isolated zone that only one of two leaders knows",
    &Faults::ToggleEntriesOfZone,
    true },
  { "endpoints that are dropped or listed again while they run tasks",
    &Faults::ToggleRandomEntries,
    true },
  { "losing the work of dead leaders and entry VMs",
    &Faults::ToggleDaemon,
    true },
  { "a restarted daemon that does not know unlisted endpoints",
    &Faults::Restart,
    true },
  { "a leader that was paused and continues with outdated state",
    &Faults::Pause,
    false },
  { "runs that the next leader does not adopt", &Faults::KillLeader, true },
  { "waiting for runs of an endpoint that crashed",
    &Faults::CrashEndpoint,
    false },
  { "rerunning a task before the lease of a silent endpoint has expired",
    &Faults::ToggleSilent,
    false },
};

//! Which kinds of faults a seed injects.
enum class FaultSelection
{
  //! About two thirds of all kinds. With all of them the cluster is rarely
  //! healthy for long enough to start tasks.
  Any,
  Lists //!< Kinds with changesEndpointLists.
};

std::vector<const FaultKind*> DrawKinds(FaultSelection aSelection,
                                        Faults& aFaults)
{
  std::vector<const FaultKind*> kinds;
  while (kinds.empty()) {
    for (const FaultKind& kind : kFaultKinds) {
      if (aSelection == FaultSelection::Lists ? kind.changesEndpointLists
                                              : aFaults.Draw(3) > 0) {
        kinds.push_back(&kind);
      }
    }
  }
  return kinds;
}

//! Prints faults, elections and decisions about the task.
void PrintTrace(const std::vector<std::string>& aLines,
                const std::string& aTask)
{
  const std::string id = aTask.substr(0, aTask.find('.'));
  for (const std::string& line : aLines) {
    if (line.find("fault: ") != std::string::npos ||
        line.find(" lead ") != std::string::npos ||
        (!id.empty() && (line.find(" " + id + " ") != std::string::npos ||
                         line.find(" " + id + ".") != std::string::npos))) {
      std::cerr << line << '\n';
    }
  }
}

//! Runs steady load under faults, then new work without faults. Returns a
//! description of the failure, empty on success.
std::string RunScenario(FaultSelection aSelection,
                        const Cluster::Options& aOptions)
{
  constexpr Duration kFaultPeriod = 10 * kSecond;
  // The longest recovery time in the table of failures in platform.md.
  constexpr Duration kRecoveryTime = 2 * kSecond;
  constexpr int kWorkCount = 440;    // One every 25 ms, until the faults end.
  constexpr int kNewWorkCount = 100; // One every 50 ms, after the faults.
  const std::uint64_t seed = aOptions.seed;
  Cluster cluster(aOptions);
  cluster.work = TaskRunTime;
  std::vector<std::string> lines;
  cluster.trace = [&lines](const std::string& aLine) {
    lines.push_back(aLine);
  };
  const auto traceFault = [&cluster, &lines](const std::string& aEvent) {
    const auto now = cluster.Time().Now().time_since_epoch().count();
    lines.push_back(std::to_string(now / 1000 % 1000000) + " fault: " + aEvent);
  };

  SubmitAtInterval(cluster, 0, kWorkCount, 25 * kMillisecond);
  cluster.Time().RunFor(kSecond);
  Faults faults(cluster, aOptions, seed);
  const std::vector<const FaultKind*> kinds = DrawKinds(aSelection, faults);
  const TimePoint end = cluster.Time().Now() + kFaultPeriod;
  while (cluster.Time().Now() < end) {
    traceFault(kinds[faults.Draw(kinds.size())]->inject(faults));
    cluster.Time().RunFor((100 + static_cast<std::int64_t>(faults.Draw(900))) *
                          kMillisecond);
  }
  faults.HealAll();
  traceFault("all healed");
  cluster.Time().RunFor(kRecoveryTime);
  SubmitAtInterval(cluster, kWorkCount, kNewWorkCount, 50 * kMillisecond);
  // The last work is submitted after 5 s, and its caller waits for 6 s.
  cluster.Time().RunFor(12 * kSecond);

  std::size_t unanswered = 0;
  std::size_t notCompleted = 0;
  std::string firstNotCompleted;
  for (int i = kWorkCount; i < kWorkCount + kNewWorkCount; ++i) {
    const std::string id = MakeWork(i).id;
    const auto found = cluster.Answers().find(id);
    if (found == cluster.Answers().end()) {
      ++unanswered;
    } else if (found->second.answer.outcome != CallerOutcome::Completed) {
      ++notCompleted;
    } else {
      continue;
    }
    firstNotCompleted = firstNotCompleted.empty() ? id : firstNotCompleted;
  }
  const bool allCompleted = unanswered + notCompleted == 0;
  const std::size_t leaders = aOptions.linkMbps < 1000 ? aOptions.zones : 1;
  if (cluster.OverlappingTasks().empty() && cluster.LeaderCount() == leaders &&
      allCompleted) {
    return "";
  }
  std::cerr << "seed " << seed << '\n';
  PrintTrace(lines,
             cluster.OverlappingTasks().empty()
               ? firstNotCompleted
               : cluster.OverlappingTasks().front());
  return "seed " + std::to_string(seed) + ", ran twice " +
         std::to_string(cluster.OverlappingTasks().size()) + ", leaders " +
         std::to_string(cluster.LeaderCount()) +
         ", of the new work unanswered " + std::to_string(unanswered) +
         ", not completed " + std::to_string(notCompleted) + "\n";
}

std::string RunScenarios(FaultSelection aSelection,
                         const std::set<std::uint64_t>& aSeeds,
                         double aLinkMbps = 1000)
{
  std::string failures;
  for (const std::uint64_t seed : aSeeds) {
    Cluster::Options options = ListReadingClusterOptions(seed);
    options.linkMbps = aLinkMbps;
    failures += RunScenario(aSelection, options);
  }
  return failures;
}

struct SelectionRow
{
  const char* guardsAgainst;
  FaultSelection selection;
  std::set<std::uint64_t> seeds;
  double linkMbps = 1000;
};

//! One leader cannot carry the 12 endpoints over this link, so that each zone
//! has a leader of its own.
constexpr double kDividingLinkMbps = 1;

// Without the bounds on the endpoints of earlier leaders, seeds 38 and 46 of
// the first row and 16, 33, 68 and 73 of the second fail.
const SelectionRow kSelectionRows[] = {
  { "several kinds of faults at once",
    FaultSelection::Any,
    { 1, 2, 3, 4, 5, 6, 7, 8, 38, 46 } },
  { "leaders in quick succession that know different endpoints",
    FaultSelection::Lists,
    { 1, 2, 3, 4, 8, 10, 16, 33, 68, 73 } },
  { "callers that send work again to another part",
    FaultSelection::Any,
    { 1, 2, 3, 4, 5, 6, 7, 8, 38, 46 },
    kDividingLinkMbps },
  { "parts whose leaders change in quick succession",
    FaultSelection::Lists,
    { 1, 2, 3, 4, 8, 10, 16, 33, 68, 73, 85 },
    kDividingLinkMbps },
};

}

TEST_GROUP(RandomFaults){};

TEST(RandomFaults, RunNoTaskTwiceAndLeaveOneLeader)
{
  // To run more seeds: HEMLOCKHAVEN_SEEDS=200 test_coordinator -sg RandomFaults
  const char* seedCount = std::getenv("HEMLOCKHAVEN_SEEDS");
  const std::uint64_t others =
    seedCount == nullptr ? 0 : std::stoull(seedCount);
  std::string failures;
  for (const SelectionRow& row : kSelectionRows) {
    std::set<std::uint64_t> seeds = row.seeds;
    for (std::uint64_t seed = 1; seed <= others; ++seed) {
      seeds.insert(seed);
    }
    const std::string rowFailures =
      RunScenarios(row.selection, seeds, row.linkMbps);
    failures += rowFailures.empty()
                  ? ""
                  : std::string(row.guardsAgainst) + "\n" + rowFailures;
  }
  STRCMP_EQUAL("", failures.c_str());
}

// The groups below hold seeds that have failed, one group for each cause, since
// entries of KNOWN-RED.txt cover whole groups.

TEST_GROUP(RandomFaultsLostFront){};

TEST(RandomFaultsLostFront, RunsNoTaskTwice)
{
  // Guards against a leader that accepts work from an entry VM that it has
  // already lost. It would never drop that work, since the entry VM is not lost
  // a second time, while the entry VM submits the work to another leader.
  STRCMP_EQUAL("",
               RunScenarios(FaultSelection::Any, { 543, 902, 1055 }).c_str());
}

TEST_GROUP(RandomFaultsYieldedLeader){};

TEST(RandomFaultsYieldedLeader, RunsNoTaskTwice)
{
  // Guards against a leader that drops its runs at unlisted endpoints when it
  // steps down, and then forwards the work of its own callers with bounds that
  // exclude these endpoints.
  STRCMP_EQUAL("", RunScenarios(FaultSelection::Any, { 1072 }).c_str());
}

TEST_GROUP(RandomFaultsEarlierLeader){};

TEST(RandomFaultsEarlierLeader, RunsNoTaskTwice)
{
  // Guards against an entry VM that hands work to a leader that it prefers
  // without withdrawing it from the earlier one, which does not hear the other.
  STRCMP_EQUAL("", RunScenarios(FaultSelection::Any, { 52 }).c_str());
}

TEST_GROUP(RandomFaultsRecovery){};

TEST(RandomFaultsRecovery, LeavesNoMajorityWithoutLeader)
{
  // Guards against a backoff that outlasts its cause. A leader that is fenced
  // by one that it cannot reach does not lead for 2 to 16 s, and daemons that
  // start or reconnect in that time adopt its backoff. It must end once they
  // form a connected majority.
  STRCMP_EQUAL(
    "",
    RunScenarios(FaultSelection::Any,
                 { 25, 60, 102, 207, 209, 219, 335, 502, 645, 680, 757, 951 })
      .c_str());
}

TEST_GROUP(RandomFaultsRefusal){};

TEST(RandomFaultsRefusal, CompletesNewWork)
{
  // Guards against counting work that a new leader holds back, until the leases
  // of an earlier leader have expired, as work that starts before new work.
  STRCMP_EQUAL("", RunScenarios(FaultSelection::Any, { 14, 566, 852 }).c_str());
}

TEST_GROUP(RandomFaultsParts){};

TEST(RandomFaultsParts, CompletesNewWork)
{
  // A leader of one zone refuses some new work 2 s after the last fault.
  STRCMP_EQUAL(
    "",
    (RunScenarios(FaultSelection::Any, { 57, 97, 145 }, kDividingLinkMbps) +
     RunScenarios(FaultSelection::Lists, { 5, 14, 62 }, kDividingLinkMbps))
      .c_str());
}
