// Tasks that prefer a rack, and steps that run faster in one rack.
#include "support/Cluster.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

Duration Ms(std::int64_t aMilliseconds)
{
  return std::chrono::milliseconds(aMilliseconds);
}

struct Fleet
{
  double remoteFactor = 2;
  std::size_t endpointsPerRack = 2;
  std::int64_t runMs = 400;
};

struct RackJob
{
  const char* id;
  const char* rack;
  std::uint32_t tasks;
  bool sameRack;
};

//! Six endpoints, each with room for one task, which takes longer by the remote
//! factor in a rack other than its own.
class RackCluster
{
public:
  explicit RackCluster(const Fleet& aFleet)
    : fleet_(aFleet)
    , cluster_(MakeOptions(aFleet))
  {
    cluster_.work = [this](const TaskKey& aTask) {
      // Far longer than predicted.
      return Ms(aTask.workId == "slow" ? 10 * fleet_.runMs : fleet_.runMs);
    };
    cluster_.slowdown = [this](const TaskKey& aTask, std::size_t aEndpoint) {
      const std::string used = cluster_.RackOf(aEndpoint);
      usedRacks_[aTask.workId].insert(used);
      const std::string& rack = racks_[aTask.workId];
      return rack.empty() || rack == used ? 1 : fleet_.remoteFactor;
    };
    cluster_.trace = [this](const std::string& aLine) {
      lines_.push_back(aLine);
    };
  }

  void Submit(const RackJob& aJob)
  {
    racks_[aJob.id] = aJob.rack;
    Work work;
    work.id = aJob.id;
    work.kind = "k";
    work.stretch = 8;
    work.targetLatency = Ms(100);
    work.callerTimeout = Ms(20000);
    work.attempts = 3;
    WorkStep step;
    step.count = aJob.tasks;
    step.taskResources = { 1000, 64, 0 };
    step.estimate = Ms(fleet_.runMs);
    step.preferredRack = aJob.rack;
    step.sameRack = aJob.sameRack;
    work.steps.push_back(std::move(step));
    cluster_.Submit(0, std::move(work));
    cluster_.Time().RunFor(Ms(10));
  }

  std::size_t Count(const char* aText) const
  {
    return static_cast<std::size_t>(
      std::count_if(lines_.begin(), lines_.end(), [aText](const auto& aLine) {
        return aLine.find(aText) != std::string::npos;
      }));
  }

  //! Number of racks where runs of the work began.
  std::size_t UsedRacks(const char* aId) { return usedRacks_[aId].size(); }
  Cluster& Simulation() { return cluster_; }
  const std::vector<std::string>& Lines() const { return lines_; }

private:
  static Cluster::Options MakeOptions(const Fleet& aFleet)
  {
    Cluster::Options options;
    options.endpointsPerRack = aFleet.endpointsPerRack;
    options.capacity = { 1000, 65536, 0 };
    options.policy.remoteFactor = aFleet.remoteFactor;
    return options;
  }

  Fleet fleet_;
  Cluster cluster_;
  std::map<std::string, std::string> racks_; //!< By work id.
  std::map<std::string, std::set<std::string>> usedRacks_;
  std::vector<std::string> lines_; //!< Of the log.
};

struct WaitRow
{
  const char* guardsAgainst;
  double remoteFactor;
  RackJob job;
  std::size_t near;
  std::size_t away;
  std::size_t waits;
};

constexpr WaitRow kWaitRows[] = {
  { "away start beside free near endpoints", 2, { "w", "r1", 2, 0 }, 2, 0, 0 },
  { "away start that ends later than a wait", 3, { "w", "r1", 3, 0 }, 3, 0, 1 },
  { "wait that does not pay", 1.5, { "w", "r1", 3, 0 }, 2, 1, 0 },
  { "wait behind others that does not pay", 2.9, { "w", "r1", 5, 0 }, 4, 1, 2 },
  { "wait for a rack without endpoints", 3, { "w", "r9", 1, 0 }, 0, 1, 0 },
  { "preference for no rack", 3, { "w", "", 3, 0 }, 0, 0, 0 },
};

struct LossRow
{
  const char* guardsAgainst;
  bool isSilent; //!< Otherwise the endpoints leave the list.
};

constexpr LossRow kLossRows[] = {
  { "wait for endpoints that are silent", true },
  { "wait for endpoints that left", false },
};

struct SameRackRow
{
  const char* guardsAgainst;
  double remoteFactor;
  std::vector<RackJob> others; //!< Submitted before.
  std::size_t expectedRacks;
};

const SameRackRow kSameRackRows[] = {
  { "spreading over free racks", 2, {}, 1 },
  { "choosing a rack that is partly busy",
    2,
    { { "a", "r0", 1, false }, { "b", "r1", 1, false } },
    1 },
  { "wait for a whole rack that does not pay",
    1.5,
    { { "a", "r0", 1, false },
      { "b", "r1", 1, false },
      { "c", "r2", 1, false } },
    2 },
  { "spreading that ends later than a wait",
    3,
    { { "a", "r0", 1, false },
      { "b", "r1", 1, false },
      { "c", "r2", 1, false } },
    1 },
};

struct SameDecisionsRow
{
  const char* guardsAgainst;
  Fleet fleet;
  bool sameRack; //!< Of single tasks, which it does not apply to.
};

constexpr SameDecisionsRow kSameDecisionsRows[] = {
  { "racks that change what nobody asked for", { 2, 2, 400 }, false },
  { "factor that changes what nobody asked for", { 50, 2, 400 }, false },
  { "same_rack of a single task", { 50, 2, 400 }, true },
};

//! The log of a load that prefers no racks.
std::vector<std::string> LogWithoutPreference(const Fleet& aFleet,
                                              bool aSameRack)
{
  RackCluster cluster(aFleet);
  std::vector<std::string> ids;
  ids.reserve(40);
  for (int i = 0; i < 40; ++i) {
    ids.push_back("w" + std::to_string(i));
  }
  for (const std::string& id : ids) {
    cluster.Submit({ id.c_str(), "", 1, aSameRack });
  }
  cluster.Simulation().Time().RunFor(Ms(5000));
  return cluster.Lines();
}

}

TEST_GROUP(RackPlacement){};

TEST(RackPlacement, WaitsForANearEndpointWhileThatPays)
{
  for (const WaitRow& row : kWaitRows) {
    RackCluster cluster({ row.remoteFactor, 2, 400 });
    cluster.Submit(row.job);
    cluster.Simulation().Time().RunFor(Ms(3000));
    LONGS_EQUAL_TEXT(row.near, cluster.Count(" sent near"), row.guardsAgainst);
    LONGS_EQUAL_TEXT(row.away, cluster.Count(" sent away"), row.guardsAgainst);
    LONGS_EQUAL_TEXT(
      row.waits, cluster.Count("near-wait w  begun"), row.guardsAgainst);
    LONGS_EQUAL_TEXT(row.waits,
                     cluster.Count("ended near endpoint free") +
                       cluster.Count("ended away ends earlier") +
                       cluster.Count("ended time is over"),
                     row.guardsAgainst);
    CHECK_TEXT(cluster.Simulation().Answers().count("w") == 1,
               row.guardsAgainst);
  }
}

TEST(RackPlacement, EndsAWaitWhenItsTimeIsOver)
{
  RackCluster cluster({ 3, 2, 400 });
  cluster.Submit({ "slow", "r0", 2, false });
  // The run away takes 1,200 ms, so that a start near pays for 800 ms.
  cluster.Submit({ "w", "r0", 1, false });
  LONGS_EQUAL(1, cluster.Count("near-wait w  begun"));
  cluster.Simulation().Time().RunFor(Ms(700));
  LONGS_EQUAL(0, cluster.Count(" sent away"));
  cluster.Simulation().Time().RunFor(Ms(150));
  LONGS_EQUAL(1, cluster.Count("ended time is over"));
  LONGS_EQUAL(1, cluster.Count(" sent away"));
}

TEST(RackPlacement, EndsWaitsWhenTheRackIsLost)
{
  for (const LossRow& row : kLossRows) {
    // A wait would pay for 2 s.
    RackCluster cluster({ 3, 2, 2000 });
    cluster.Submit({ "w", "r0", 3, false });
    LONGS_EQUAL_TEXT(1, cluster.Count("near-wait w  begun"), row.guardsAgainst);
    if (row.isSilent) {
      cluster.Simulation().SetUnresponsive(0, true);
      cluster.Simulation().SetUnresponsive(1, true);
    } else {
      cluster.Simulation().ListEndpoints({ 0, 1 });
    }
    // Endpoints count as silent after the response timeout of 350 ms; their
    // runs are given up later.
    cluster.Simulation().Time().RunFor(Ms(row.isSilent ? 450 : 50));
    LONGS_EQUAL_TEXT(
      1, cluster.Count("ended no near endpoint left"), row.guardsAgainst);
    LONGS_EQUAL_TEXT(1, cluster.Count(" sent away"), row.guardsAgainst);
  }
}

TEST(RackPlacement, KeepsAStepInOneRackIfItEndsEarlier)
{
  for (const SameRackRow& row : kSameRackRows) {
    RackCluster cluster({ row.remoteFactor, 2, 400 });
    for (const RackJob& job : row.others) {
      cluster.Submit(job);
    }
    cluster.Submit({ "w", "", 2, true });
    cluster.Simulation().Time().RunFor(Ms(3000));
    LONGS_EQUAL_TEXT(
      row.expectedRacks, cluster.UsedRacks("w"), row.guardsAgainst);
  }
}

TEST(RackPlacement, DecidesAsBeforeWithoutPreference)
{
  const auto expected = LogWithoutPreference({ 2, 0, 400 }, false);
  CHECK(!expected.empty());
  for (const SameDecisionsRow& row : kSameDecisionsRows) {
    CHECK_TEXT(expected == LogWithoutPreference(row.fleet, row.sameRack),
               row.guardsAgainst);
  }
}
