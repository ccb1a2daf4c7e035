// Which callers a daemon refuses while its leader's processor is overloaded.
#include "hemlockhaven/coordinator/Coordinator.h"
#include "support/VirtualTime.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

CoordinatorHooks IdleHooks()
{
  CoordinatorHooks hooks;
  hooks.sendHeartbeat = [](const Member&, const Heartbeat&) {};
  hooks.closeLink = [](const Member&) {};
  hooks.sendWork = [](std::string_view, const Work&) {};
  hooks.sendAnswer = [](std::string_view, const WorkAnswer&) {};
  hooks.sendCancel = [](std::string_view, std::string_view, std::string_view) {
  };
  hooks.start = [](const StartCommand&, auto) {};
  hooks.stop = [](const StopCommand&, auto) {};
  hooks.poll = [](const PollCommand&, auto) {};
  hooks.logDecision = [](const Decision&) {};
  return hooks;
}

//! Share of each kind's jobs that a leader refuses because it is too busy. Of
//! each four jobs, three are of kind "many" and one of kind "few".
std::map<std::string, double> RefusedShares(bool aSharesRoom)
{
  VirtualTime time;
  SchedulerPolicy policy;
  policy.sharesRoom = aSharesRoom;
  Member self;
  self.name = "d0";
  self.address = "d0";
  self.incarnation = 1;
  Coordinator coordinator(
    self, policy, ElectionParameters(), IdleHooks(), time.AsClock(), [] {
      return std::int64_t(1);
    });
  coordinator.SetCanLead(true, "");
  for (int i = 0; i < 400 && !coordinator.IsLeading(); ++i) {
    time.RunFor(Duration(25000));
    coordinator.Tick();
  }
  CHECK(coordinator.IsLeading());
  constexpr int kJobs = 2000;
  std::map<std::string, int> submitted;
  std::map<std::string, int> refused;
  for (int i = 0; i < kJobs; ++i) {
    // Keeps the share at about 0.3.
    while (coordinator.ShedShare() < 0.3) {
      coordinator.RecordTimerDelay(Duration(20000), Duration(25000));
    }
    Work work;
    work.id = std::to_string(i);
    work.kind = i % 4 == 0 ? "few" : "many";
    work.callerTimeout = Duration(1000000);
    work.steps.emplace_back();
    work.steps.back().count = 1;
    const std::string kind = work.kind;
    ++submitted[kind];
    coordinator.Accept(std::move(work),
                       [&refused, kind](const CallerAnswer& aAnswer) {
                         if (aAnswer.reason == "the leader is too busy") {
                           ++refused[kind];
                         }
                       });
    time.RunFor(Duration(1000));
  }
  std::map<std::string, double> shares;
  for (const auto& [kind, count] : submitted) {
    shares[kind] = static_cast<double>(refused[kind]) / count;
  }
  return shares;
}

}

TEST_GROUP(GroupShedding){};

TEST(GroupShedding, RefusesGroupsOverTheirShareFirst)
{
  auto refused = RefusedShares(true);
  CHECK_TEXT(refused["few"] < 0.02,
             "a small group that pays for the load of a large one");
  CHECK_TEXT(refused["many"] > 0.35 && refused["many"] < 0.5,
             "refusing less than the leader asked for");
}

TEST(GroupShedding, RefusesAllAlikeWhenOff)
{
  auto refused = RefusedShares(false);
  CHECK_TEXT(refused["few"] > 0.2 && refused["few"] < 0.4,
             "shares in effect without their setting");
  CHECK_TEXT(refused["many"] > 0.2 && refused["many"] < 0.4,
             "shares in effect without their setting");
}
