// A leader's answer to an earlier submission may arrive when the work has been
// submitted again.
#include "hemlockhaven/front/SubmissionTracker.h"

#include <string>

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

struct LateAnswerRow
{
  const char* guardsAgainst;
  WorkOutcome outcome;
};

const LateAnswerRow kLateAnswerRows[] = {
  { "a leader that runs work which nobody holds, since the answer to its "
    "cancelled submission ended the next one",
    WorkOutcome::Cancelled },
  { "the same after a refusal", WorkOutcome::Refused },
};

Work MakeWork()
{
  Work work;
  work.id = "w";
  work.callerTimeout = Duration(6000000);
  return work;
}

}

TEST_GROUP(LateAnswer){};

TEST(LateAnswer, LeavesNoWorkBehind)
{
  for (const LateAnswerRow& row : kLateAnswerRows) {
    const TimePoint now{ std::chrono::hours(1) };
    SubmissionTracker tracker([now] { return now; });
    tracker.OnLeaderChange("leader");
    std::uint64_t waiterId = 0;
    tracker.Accept(
      MakeWork(), [](const CallerAnswer&) {}, waiterId);
    tracker.OnCallerDisconnect("w", waiterId);
    tracker.Accept(
      MakeWork(), [](const CallerAnswer&) {}, waiterId);
    WorkAnswer answer;
    answer.workId = "w";
    answer.outcome = row.outcome;
    const TrackerEffects effects = tracker.OnAnswer(answer, "leader");
    // The leader has the second submission.
    CHECK_TEXT(tracker.HasWaitingCaller("w") || !effects.cancellations.empty(),
               row.guardsAgainst);
  }
}
