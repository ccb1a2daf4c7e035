// The reply to a stop shows that a run cannot start any more. It counts for
// the run at the endpoint that replied only: work that is submitted again has
// runs of the same numbers.
#include "hemlockhaven/scheduler/Scheduler.h"

#include <string>
#include <utility>
#include <vector>

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

constexpr Duration Ms(std::int64_t aMilliseconds)
{
  return Duration(aMilliseconds * 1000);
}

//! A leading scheduler with two endpoints that have room for one task each.
//! They answer polls at once and list no runs.
class StopHarness
{
public:
  StopHarness()
    : scheduler_(SchedulerPolicy(), [this] { return now_; })
  {
    std::vector<ListedEndpoint> listed(2);
    for (std::size_t i = 0; i < listed.size(); ++i) {
      listed[i].id = listed[i].address = "e" + std::to_string(i);
      listed[i].capacity = { 1000, 1000, 0 };
    }
    Collect(scheduler_.SetEndpoints(listed));
    now_ += Ms(1000);
    Collect(scheduler_.StartTerm(1));
    AdvanceTime(15);
  }

  void Submit()
  {
    Work work;
    work.id = "w";
    work.kind = "k";
    work.attempts = 3;
    work.stretch = 9;
    work.targetLatency = Ms(9000);
    work.callerTimeout = Ms(9000);
    WorkStep step;
    step.count = 1;
    step.taskResources = { 1000, 64, 0 };
    step.estimate = Ms(1000);
    work.steps.push_back(step);
    Collect(scheduler_.Submit("front", std::move(work)));
  }
  void Cancel() { Collect(scheduler_.Cancel("front", "w", "test")); }
  void ConfirmStart()
  {
    Collect(scheduler_.OnStartReply(starts_.back(),
                                    { CommandOutcome::Accepted, ClockMs() }));
  }
  void ConfirmStop(const StopCommand& aCommand)
  {
    Collect(scheduler_.OnStopReply(aCommand,
                                   { CommandOutcome::Accepted, ClockMs() }));
  }
  //! The endpoint of the last start does not answer polls any more.
  void CutOff() { cutOff_ = starts_.back().target.endpoint; }
  void AdvanceTime(std::int64_t aMilliseconds)
  {
    for (std::int64_t elapsedMs = 0; elapsedMs < aMilliseconds;
         elapsedMs += 5) {
      now_ += Ms(5);
      AnswerPolls();
      Collect(scheduler_.Tick());
    }
  }
  const StopCommand& LastStop() const { return stops_.back(); }
  std::size_t ActiveRuns() const { return scheduler_.Load().activeRuns; }

private:
  void Collect(const SchedulerEffects& aEffects)
  {
    starts_.insert(
      starts_.end(), aEffects.starts.begin(), aEffects.starts.end());
    stops_.insert(stops_.end(), aEffects.stops.begin(), aEffects.stops.end());
    polls_.insert(polls_.end(), aEffects.polls.begin(), aEffects.polls.end());
  }
  void AnswerPolls()
  {
    for (const PollCommand& poll :
         std::exchange(polls_, std::vector<PollCommand>())) {
      if (poll.target.endpoint == cutOff_) {
        Collect(scheduler_.OnPollFailed(poll, CommandOutcome::Unknown));
        continue;
      }
      PollReport report;
      report.incarnationStartMs = 1;
      report.clockMs = ClockMs();
      Collect(scheduler_.OnPollReply(poll, report));
    }
  }
  std::int64_t ClockMs() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
             now_.time_since_epoch())
      .count();
  }

  TimePoint now_{ std::chrono::hours(1) };
  Scheduler scheduler_;
  std::string cutOff_;
  std::vector<StartCommand> starts_;
  std::vector<StopCommand> stops_;
  std::vector<PollCommand> polls_;
};

struct StopReplyRow
{
  const char* guardsAgainst;
  bool isEarlierStopConfirmed;
};

const StopReplyRow kStopReplyRows[] = {
  { "taking a start for ended that may still be carried out", false },
  { "the same when the stop of an earlier run with its number, at another "
    "endpoint, is answered late",
    true },
};

}

TEST_GROUP(StopReply){};

TEST(StopReply, CountsForItsEndpointOnly)
{
  for (const StopReplyRow& row : kStopReplyRows) {
    StopHarness harness;
    harness.Submit();
    harness.ConfirmStart();
    harness.CutOff();
    harness.AdvanceTime(5);
    harness.Cancel();
    while (harness.ActiveRuns() > 0) {
      harness.AdvanceTime(5);
    }
    const StopCommand earlierStop = harness.LastStop();
    harness.Submit();
    harness.AdvanceTime(5);
    harness.Cancel();
    if (row.isEarlierStopConfirmed) {
      harness.ConfirmStop(earlierStop);
    }
    // The start is valid for 400 ms.
    harness.AdvanceTime(300);
    CHECK_EQUAL_TEXT(1, harness.ActiveRuns(), row.guardsAgainst);
  }
}
