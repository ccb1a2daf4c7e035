// An answer may only end the submission that it names.
#include "hemlockhaven/front/SubmissionTracker.h"

#include <string>
#include <utility>
#include <vector>

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

struct KeyRow
{
  const char* guardsAgainst;
  //! Leaders that the work is submitted to in turn.
  std::vector<std::string> leaders;
  std::size_t answeredIndex; //!< Submission that the answer names.
  std::string answeredBy;
  WorkOutcome outcome;
  bool isAnswered; //!< Whether the caller gets it.
};

const KeyRow kKeyRows[] = {
  { "an answer that is ignored",
    { "a" },
    0,
    "a",
    WorkOutcome::Completed,
    true },
  { "a leader's answer to its first submission that ends the second one",
    { "a", "b", "a" },
    0,
    "a",
    WorkOutcome::Cancelled,
    false },
  { "an answer to the second submission that is ignored",
    { "a", "b", "a" },
    2,
    "a",
    WorkOutcome::Completed,
    true },
  { "a submission that a former leader returns and that then has no leader",
    { "a", "b", "a" },
    0,
    "a",
    WorkOutcome::Moved,
    false },
  { "a job that runs on at the next leader after an earlier one was told to "
    "cancel it",
    { "a", "b" },
    0,
    "a",
    WorkOutcome::CancelledByCaller,
    true },
};

}

TEST_GROUP(SubmissionKey){};

TEST(SubmissionKey, TellsWhichSubmissionIsAnswered)
{
  for (const KeyRow& row : kKeyRows) {
    const TimePoint now{ std::chrono::hours(1) };
    SubmissionTracker tracker([now] { return now; }, 7);
    std::vector<TrackerEffects::Submission> submissions;
    const auto collect = [&submissions](const TrackerEffects& aEffects) {
      submissions.insert(submissions.end(),
                         aEffects.submissions.begin(),
                         aEffects.submissions.end());
    };
    Work work;
    work.id = "w";
    work.callerTimeout = std::chrono::seconds(6);
    std::uint64_t waiterId = 0;
    collect(tracker.Accept(
      std::move(work), [](const CallerAnswer&) {}, waiterId));
    for (const std::string& leader : row.leaders) {
      collect(tracker.OnLeaderChange(leader));
    }
    WorkAnswer answer;
    answer.workId = "w";
    answer.outcome = row.outcome;
    answer.key = submissions.at(row.answeredIndex).work.key;
    const TrackerEffects effects = tracker.OnAnswer(answer, row.answeredBy);
    CHECK_EQUAL_TEXT(
      row.isAnswered, !effects.answers.empty(), row.guardsAgainst);
    CHECK_EQUAL_TEXT(
      row.isAnswered, !tracker.HasWaitingCaller("w"), row.guardsAgainst);
    // A cancel of the caller holds for the submission to the next leader too.
    const bool isCancel = row.outcome == WorkOutcome::CancelledByCaller;
    CHECK_EQUAL_TEXT(
      isCancel, !effects.cancellations.empty(), row.guardsAgainst);
    CHECK_EQUAL_TEXT(isCancel, tracker.IsCancelled("w"), row.guardsAgainst);
    CHECK_TEXT(effects.submissions.empty(), row.guardsAgainst);
  }
}
