// The list of usable endpoints is kept up to date by each event instead of
// being rebuilt. Guards against an event, or time alone, that changes an
// endpoint without the list: tasks would then start at unusable endpoints, or
// wait beside free ones.
#include "scheduler/SchedulerState.h"

#include "hemlockhaven/fleet/Dice.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace hemlockhaven;

namespace {

struct Row
{
  const char* guardsAgainst;
  std::size_t endpoints;
  std::int64_t maxStepMs; //!< Longest time between two events.
  std::uint64_t percentFaults;
};

const Row kRows[] = {
  { "missed changes at an ordinary load", 12, 4, 2 },
  { "missed changes when time makes endpoints silent", 12, 60, 2 },
  { "missed changes by failures, restarts and refusals", 12, 8, 40 },
  { "an empty list", 0, 8, 40 },
};

//! Random events, all of which a leader sees, against one scheduler's state.
class RandomEvents
{
public:
  RandomEvents(const Row& aRow, std::uint64_t aSeed)
    : row_(aRow)
    , dice_(aSeed)
    , state_(SchedulerPolicy(), [this] { return now_; })
  {
    for (std::size_t i = 0; i < aRow.endpoints; ++i) {
      ListedEndpoint listed;
      listed.id = "e" + std::to_string(i);
      listed.zone = i % 2 == 0 ? "a" : "b";
      listed.capacity = { 16000, 65536, 0 };
      listed_.push_back(listed);
    }
    Call([&](SchedulerEffects& aEffects) { state_.StartTerm(1, aEffects); });
    Call([&](SchedulerEffects& aEffects) {
      state_.SetEndpoints(listed_, aEffects);
    });
  }

  void Step()
  {
    now_ += std::chrono::milliseconds(dice_.Next() % row_.maxStepMs);
    if (now_ - lastTick_ > std::chrono::milliseconds(25)) {
      lastTick_ = now_;
      Call([&](SchedulerEffects& aEffects) { state_.Tick(aEffects); });
    }
    const bool isFault = dice_.Next() % 100 < row_.percentFaults;
    switch (dice_.Next() % 4) {
      case 0:
        Submit();
        break;
      case 1:
        AnswerStart(isFault);
        break;
      default:
        AnswerPoll(isFault);
    }
    if (isFault && dice_.Next() % 16 == 0) {
      ChangeList();
    }
  }

  //! Whether the list equals one that is built anew.
  bool IsListCurrent() const
  {
    const Duration responseTimeout = SchedulerPolicy().responseTimeout;
    auto kept = state_.Usable();
    std::vector<std::string> expected;
    std::int64_t maxFree = -1;
    double fastest = 0;
    for (const auto& [id, endpoint] : state_.Endpoints()) {
      if (endpoint.IsUsable(now_, responseTimeout)) {
        maxFree = std::max(maxFree, endpoint.free.cpuMillis);
        fastest = std::max(fastest, endpoint.speed.Value());
        if (endpoint.free.cpuMillis >= 0) {
          expected.push_back(id);
        }
      }
    }
    kept.Update(now_, responseTimeout);
    std::vector<std::string> found;
    for (const Detail::EndpointEntry* endpoint : kept.WithFreeCpu(0)) {
      found.push_back(endpoint->listed.id);
    }
    seenUsable = seenUsable || !found.empty();
    return found == expected && kept.MaxFreeCpu() == maxFree &&
           kept.FastestSpeed() == fastest;
  }

  mutable bool seenUsable = false;

private:
  template<typename Event>
  void Call(Event&& aEvent)
  {
    SchedulerEffects effects;
    state_.UpdateNow();
    aEvent(effects);
    for (PollCommand& poll : effects.polls) {
      polls_[poll.target.endpoint] = std::move(poll);
    }
    for (StartCommand& start : effects.starts) {
      starts_.push_back(std::move(start));
    }
  }

  std::int64_t ClockMs() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
             now_.time_since_epoch())
      .count();
  }

  void Submit()
  {
    Work work;
    work.id = "w" + std::to_string(++works_);
    WorkStep step;
    step.count = 1 + static_cast<std::uint32_t>(dice_.Next() % 4);
    step.taskResources = { 7000, 64, 0 };
    step.estimate = std::chrono::milliseconds(20 + dice_.Next() % 100);
    work.steps.push_back(step);
    work.attempts = 3;
    work.stretch = 4;
    work.targetLatency = std::chrono::milliseconds(200);
    work.callerTimeout = std::chrono::seconds(2);
    Call([&](SchedulerEffects& aEffects) {
      state_.Submit("front", std::move(work), aEffects);
    });
  }

  void AnswerStart(bool aIsFault)
  {
    if (starts_.empty()) {
      return;
    }
    const StartCommand start = starts_.front();
    starts_.erase(starts_.begin());
    CommandReply reply;
    reply.clockMs = ClockMs();
    reply.outcome = CommandOutcome::Accepted;
    if (aIsFault) {
      reply.outcome = static_cast<CommandOutcome>(
        dice_.Next() %
        (static_cast<std::uint64_t>(CommandOutcome::Unknown) + 1));
      reply.clockMs = 0;
    } else {
      running_[start.target.endpoint].push_back(start.run);
    }
    Call([&](SchedulerEffects& aEffects) {
      state_.OnStartReply(start, reply, aEffects);
    });
  }

  void AnswerPoll(bool aIsFault)
  {
    if (polls_.empty()) {
      return;
    }
    auto chosen = polls_.begin();
    std::advance(chosen, dice_.Next() % polls_.size());
    const PollCommand poll = chosen->second;
    polls_.erase(chosen);
    const std::string& id = poll.target.endpoint;
    if (aIsFault && dice_.Next() % 2 == 0) {
      Call([&](SchedulerEffects& aEffects) {
        state_.OnPollFailed(poll, CommandOutcome::Unknown, aEffects);
      });
      return;
    }
    PollReport report;
    report.clockMs = ClockMs();
    report.incarnationStartMs = 1;
    auto& runs = running_[id];
    if (aIsFault && dice_.Next() % 2 == 0) {
      runs.push_back({ { "unknown", 0, 0 }, 1 });
    }
    if (!runs.empty() && dice_.Next() % 2 == 0) {
      report.ended.push_back(
        { ++positions_[id],
          runs.front(),
          aIsFault ? RunOutcome::Failed : RunOutcome::Done });
      runs.erase(runs.begin());
    }
    report.running = runs;
    Call([&](SchedulerEffects& aEffects) {
      state_.OnPollReply(poll, report, aEffects);
    });
  }

  void ChangeList()
  {
    std::vector<ListedEndpoint> listed;
    for (ListedEndpoint& endpoint : listed_) {
      endpoint.draining = dice_.Next() % 8 == 0;
      if (dice_.Next() % 8 != 0) {
        listed.push_back(endpoint);
      }
    }
    Call([&](SchedulerEffects& aEffects) {
      state_.SetEndpoints(listed, aEffects);
    });
    const std::vector<std::string> zones(dice_.Next() % 2, "a");
    Call([&](SchedulerEffects& aEffects) {
      state_.SetEvacuatedZones(zones, aEffects);
    });
  }

  const Row& row_;
  Dice dice_;
  TimePoint now_{ std::chrono::hours(1) };
  TimePoint lastTick_{};
  Detail::SchedulerState state_;
  std::vector<ListedEndpoint> listed_;
  std::map<std::string, PollCommand> polls_;
  std::vector<StartCommand> starts_;
  std::map<std::string, std::vector<RunKey>> running_;
  std::map<std::string, std::uint64_t> positions_;
  std::size_t works_ = 0;
};

}

TEST_GROUP(UsableEndpoints){};

TEST(UsableEndpoints, EqualARebuiltList)
{
  constexpr int kSteps = 4000;
  for (const Row& row : kRows) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      RandomEvents events(row, seed);
      for (int step = 0; step < kSteps; ++step) {
        events.Step();
        CHECK_TEXT(events.IsListCurrent(), row.guardsAgainst);
      }
      CHECK_EQUAL_TEXT(
        row.endpoints > 0, events.seenUsable, "no endpoint was ever usable");
    }
  }
}
