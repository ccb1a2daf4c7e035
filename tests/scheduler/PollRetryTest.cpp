// Polls of endpoints that do not reply open a connection each. Hundreds of
// endpoints that restart at once must not take up the leader's processor.
#include "hemlockhaven/scheduler/Scheduler.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace hemlockhaven;

namespace {

constexpr Duration kTick{ 25000 };

struct RetryRow
{
  const char* guardsAgainst;
  CommandOutcome outcome; //!< Of all polls.
  Duration period;
  std::size_t minPolls;
  std::size_t maxPolls;
};

const RetryRow kRetryRows[] = {
  { "polling a dead endpoint 33 times a second",
    CommandOutcome::NotSent,
    Duration(3000000),
    10,
    14 },
  { "polling a silent endpoint 33 times a second",
    CommandOutcome::Unknown,
    Duration(3000000),
    10,
    14 },
  { "retaking a fenced endpoint late",
    CommandOutcome::Fenced,
    Duration(1000000),
    12, // One for each three ticks.
    14 },
};

}

TEST_GROUP(PollRetry){};

TEST(PollRetry, SlowsDownWhileAnEndpointDoesNotReply)
{
  for (const RetryRow& row : kRetryRows) {
    TimePoint now{ std::chrono::hours(1) };
    Scheduler scheduler(SchedulerPolicy(), [&now] { return now; });
    ListedEndpoint endpoint;
    endpoint.id = "e";
    endpoint.address = "10.0.0.1:80";
    scheduler.SetEndpoints(std::vector<ListedEndpoint>{ endpoint });
    std::vector<PollCommand> polls = scheduler.StartTerm(1).polls;
    std::size_t count = 0;
    for (const TimePoint end = now + row.period; now < end; now += kTick) {
      for (const PollCommand& poll : polls) {
        ++count;
        scheduler.OnPollFailed(poll, row.outcome);
      }
      polls = scheduler.Tick().polls;
    }
    CHECK_TEXT(count >= row.minPolls, row.guardsAgainst);
    CHECK_TEXT(count <= row.maxPolls, row.guardsAgainst);
  }
}
