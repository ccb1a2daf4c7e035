// A run that an endpoint reports to a leader for the first time holds a lease
// that somebody else has granted. The leader does not start its task again
// before that lease has expired.
#include "hemlockhaven/scheduler/Scheduler.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

Duration Ms(std::int64_t aMilliseconds)
{
  return std::chrono::milliseconds(aMilliseconds);
}

//! The platform's bound for the end of a run that is stopped.
constexpr Duration kRunEndTime{ 50000 };

const RunKey kForeignRun{ { "w", 0, 0 }, 1 };
const RunKey kUnknownRun{ { "unknown", 0, 0 }, 1 };

//! A leading scheduler with two endpoints, "e0" and "e1". Each has room for one
//! task and answers each poll at once, unless it is cut off.
class AdoptionHarness
{
public:
  AdoptionHarness()
    : scheduler_(SchedulerPolicy(), [this] { return now_; })
  {
    std::vector<ListedEndpoint> listed(2);
    for (std::size_t i = 0; i < listed.size(); ++i) {
      listed[i].id = listed[i].address = "e" + std::to_string(i);
      listed[i].capacity = { 1000, 1000, 0 };
    }
    ApplyEffects(scheduler_.SetEndpoints(listed));
  }

  void BeginTerm()
  {
    reportedAt.reset();
    ApplyEffects(scheduler_.StartTerm(++fencingToken_));
  }

  void Submit(const std::string& aId, std::uint32_t aSubmissions)
  {
    Work work;
    work.id = aId;
    work.kind = "k";
    work.submissions = aSubmissions;
    work.attempts = 3;
    work.stretch = 9;
    work.targetLatency = Ms(100);
    work.callerTimeout = Ms(9000);
    WorkStep step;
    step.count = 1;
    step.taskResources = { 1000, 64, 0 };
    step.estimate = Ms(1000);
    work.steps.push_back(step);
    ApplyEffects(scheduler_.Submit("front", std::move(work)));
  }

  //! The endpoint runs these instead of what it ran before.
  void SetRunning(const std::string& aEndpoint, std::vector<RunKey> aRuns)
  {
    running_[aEndpoint] = std::move(aRuns);
  }
  void SetIncarnation(const std::string& aEndpoint, std::int64_t aStartMs)
  {
    incarnations_[aEndpoint] = aStartMs;
  }
  void Complete(const std::string& aEndpoint)
  {
    auto& ended = ended_[aEndpoint];
    for (const RunKey& run : running_[aEndpoint]) {
      ended.push_back({ ended.size() + 1, run, RunOutcome::Done });
    }
    running_[aEndpoint].clear();
  }
  void CutOff(const std::string& aEndpoint) { cutOff_ = aEndpoint; }

  void AdvanceTime(std::int64_t aMilliseconds)
  {
    for (std::int64_t elapsedMs = 0; elapsedMs < aMilliseconds;
         elapsedMs += 5) {
      now_ += Ms(5);
      AnswerDuePolls();
      ApplyEffects(scheduler_.Tick());
    }
  }

  //! When "e0" first reported the foreign run in the present term.
  std::optional<TimePoint> reportedAt;
  //! When the last start of the work was sent.
  std::optional<TimePoint> StartedAt(const std::string& aWorkId) const
  {
    const auto found = startedAt_.find(aWorkId);
    return found == startedAt_.end() ? std::nullopt
                                     : std::optional(found->second);
  }

private:
  void ApplyEffects(const SchedulerEffects& aEffects)
  {
    for (const StartCommand& start : aEffects.starts) {
      startedAt_[start.run.task.workId] = now_;
      running_[start.target.endpoint].push_back(start.run);
      ApplyEffects(scheduler_.OnStartReply(
        start, { CommandOutcome::Accepted, ClockMs() }));
    }
    for (const PollCommand& poll : aEffects.polls) {
      const bool isLost = poll.target.endpoint == cutOff_;
      pendingPolls_.emplace(now_ + (isLost ? kPollTimeout : poll.wait), poll);
    }
    if (aEffects.needsNewTerm) {
      BeginTerm();
    }
  }

  void AnswerDuePolls()
  {
    while (!pendingPolls_.empty() && pendingPolls_.begin()->first <= now_) {
      const PollCommand poll =
        pendingPolls_.extract(pendingPolls_.begin()).mapped();
      const std::string& endpoint = poll.target.endpoint;
      if (endpoint == cutOff_) {
        ApplyEffects(scheduler_.OnPollFailed(poll, CommandOutcome::Unknown));
        continue;
      }
      PollReport report;
      report.incarnationStartMs =
        incarnations_.emplace(endpoint, 1).first->second;
      report.clockMs = ClockMs();
      report.running = running_[endpoint];
      report.ended = ended_[endpoint];
      if (!reportedAt && endpoint == "e0" && !report.running.empty() &&
          report.running.front().task == kForeignRun.task) {
        reportedAt = now_;
      }
      ApplyEffects(scheduler_.OnPollReply(poll, report));
    }
  }

  std::int64_t ClockMs() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
             now_.time_since_epoch())
      .count();
  }

  static constexpr Duration kPollTimeout{ 200000 };

  TimePoint now_{ std::chrono::hours(1) };
  std::multimap<TimePoint, PollCommand> pendingPolls_; //!< By reply time.
  Scheduler scheduler_;
  std::uint64_t fencingToken_ = 0;
  std::string cutOff_;
  std::map<std::string, std::vector<RunKey>> running_;
  std::map<std::string, std::vector<EndedRun>> ended_;
  std::map<std::string, std::int64_t> incarnations_;
  std::map<std::string, TimePoint> startedAt_;
};

//! Reports the run of "w", which somebody else started, to the leader.
struct AdoptedLeaseRow
{
  const char* guardsAgainst;
  bool isRestarted; //!< It runs in an incarnation that is new to the leader.
  std::vector<RunKey> running;
};

const AdoptedLeaseRow kAdoptedLeaseRows[] = {
  { "starting a task again at once after the endpoint of an earlier leader "
    "falls silent, since this leader has granted no lease there",
    false,
    { kForeignRun, kUnknownRun } },
  { "the same at an endpoint whose lease this leader renews",
    false,
    { kForeignRun } },
  { "the same at an endpoint whose restart made the leader forget its lease",
    true,
    { kForeignRun, kUnknownRun } },
};

}

TEST_GROUP(AdoptedLease){};

TEST(AdoptedLease, IsWaitedFor)
{
  const SchedulerPolicy policy;
  for (const AdoptedLeaseRow& row : kAdoptedLeaseRows) {
    AdoptionHarness harness;
    if (row.isRestarted) {
      harness.BeginTerm();
      harness.AdvanceTime(100);
      // Other work occupies both endpoints before.
      harness.Submit("other0", 0);
      harness.Submit("other1", 0);
      harness.AdvanceTime(100);
      harness.SetIncarnation("e0", 2);
    }
    harness.SetRunning("e0", row.running);
    if (!row.isRestarted) {
      harness.BeginTerm();
    }
    harness.Submit("w", row.isRestarted ? 0 : 1);
    harness.AdvanceTime(150);
    harness.CutOff("e0");
    for (int i = 0; i < 30; ++i) {
      harness.Complete("e1");
      harness.AdvanceTime(100);
    }
    const auto startedAt = harness.StartedAt("w");
    CHECK_TEXT(startedAt.has_value(), row.guardsAgainst);
    const Duration delay = *startedAt - harness.reportedAt.value();
    // Deadlines on the clock before its restart give an endpoint its longest
    // lease.
    const Duration lease =
      row.isRestarted ? policy.maxGrantedLease : policy.lease;
    CHECK_TEXT(delay >= lease + kRunEndTime, row.guardsAgainst);
    CHECK_TEXT(delay <= lease + policy.takeoverHoldTime, row.guardsAgainst);
  }
}
