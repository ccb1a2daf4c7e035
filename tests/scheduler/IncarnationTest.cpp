// An endpoint may restart under its id as another type. Nothing may start there
// by the record of an earlier incarnation, and starts that an earlier
// incarnation did not answer must not run in the next one.
#include "scheduler/UnansweredStarts.h"
#include "support/ManualScheduler.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;
using hemlockhaven::Detail::UnansweredStarts;

namespace {

struct RecordRow
{
  const char* guardsAgainst;
  std::function<void(ManualScheduler&)> arrange;
  std::size_t starts; //!< At the only endpoint, at once.
};

const RecordRow kRecordRows[] = {
  { "an endpoint that stands idle though its record names no incarnation",
    [](ManualScheduler&) {},
    1 },
  { "an endpoint that stands idle though record and reply agree",
    [](ManualScheduler& aScheduler) { aScheduler.SetListedIncarnation(0, 1); },
    1 },
  { "starts by the record of an earlier incarnation",
    [](ManualScheduler& aScheduler) {
      aScheduler.SetListedIncarnation(0, 1);
      aScheduler.RestartEndpoint(0, 2);
      aScheduler.Run(500);
    },
    0 },
  { "starts by the last reply of an endpoint that has restarted since",
    [](ManualScheduler& aScheduler) {
      aScheduler.SetListedIncarnation(0, 1);
      aScheduler.RestartEndpoint(0, 2);
    },
    0 },
  { "starts by a record whose incarnation has not replied yet",
    [](ManualScheduler& aScheduler) {
      aScheduler.SetListedIncarnation(0, 1);
      aScheduler.SetListedIncarnation(0, 2);
    },
    0 },
  { "an endpoint that stays idle after its record was read",
    [](ManualScheduler& aScheduler) {
      aScheduler.SetListedIncarnation(0, 1);
      aScheduler.RestartEndpoint(0, 2);
      aScheduler.Run(500);
      aScheduler.SetListedIncarnation(0, 2);
    },
    1 },
  { "an endpoint that stays idle after its reply named the listed one",
    [](ManualScheduler& aScheduler) {
      aScheduler.SetListedIncarnation(0, 1);
      aScheduler.SetListedIncarnation(0, 2);
      aScheduler.RestartEndpoint(0, 2);
      aScheduler.Run(200);
    },
    1 },
};

struct LateStartRow
{
  const char* guardsAgainst;
  std::int64_t restartAfterMs;
  std::int64_t secondRestartAfterMs; //!< 0: none.
  std::size_t minStops; //!< At the new incarnations, for the late start.
};

const LateStartRow kLateStartRows[] = {
  { "a late start that runs in the next incarnation", 1000, 0, 1 },
  { "the same long after the start", 11000, 0, 1 },
  { "the same in the incarnation after the next", 1000, 1000, 2 },
  { "starts that are remembered for good", 16000, 0, 0 },
};

}

TEST_GROUP(Incarnation){};

TEST(Incarnation, NothingStartsByTheRecordOfAnother)
{
  for (const RecordRow& row : kRecordRows) {
    ManualScheduler scheduler(1);
    row.arrange(scheduler);
    const std::size_t before = scheduler.starts.size();
    scheduler.Submit("front", "w");
    UNSIGNED_LONGS_EQUAL_TEXT(
      row.starts, scheduler.starts.size() - before, row.guardsAgainst);
  }
}

TEST(Incarnation, UnansweredStartsAreStoppedAfterARestart)
{
  for (const LateStartRow& row : kLateStartRows) {
    ManualScheduler scheduler(1);
    scheduler.SetStartsUnanswered(0, true);
    scheduler.Submit("front", "w");
    scheduler.SetStartsUnanswered(0, false);
    scheduler.Cancel("front", "w");
    scheduler.Run(row.restartAfterMs);
    const auto countStops = [&scheduler] {
      return static_cast<std::size_t>(
        std::count(scheduler.stops.begin(), scheduler.stops.end(), "w"));
    };
    const std::size_t before = countStops();
    scheduler.RestartEndpoint(0, 2);
    scheduler.Run(200);
    if (row.secondRestartAfterMs > 0) {
      scheduler.Run(row.secondRestartAfterMs);
      scheduler.RestartEndpoint(0, 3);
      scheduler.Run(200);
    }
    const std::size_t stops = countStops() - before;
    CHECK_TEXT(row.minStops == 0 ? stops == 0 : stops >= row.minStops,
               row.guardsAgainst);
  }
}

TEST(Incarnation, UnansweredStartsAreBounded)
{
  UnansweredStarts starts;
  TimePoint now{ std::chrono::hours(1) };
  for (std::uint32_t i = 0; i < UnansweredStarts::kMaxStarts + 5; ++i) {
    starts.Add({ { "w", 0, i }, 1 }, false, now);
  }
  UNSIGNED_LONGS_EQUAL(UnansweredStarts::kMaxStarts, starts.Size());
  CHECK(starts.TakeDueStops(now).empty());
  starts.OnRestart();
  UNSIGNED_LONGS_EQUAL(UnansweredStarts::kMaxStarts,
                       starts.TakeDueStops(now).size());
  CHECK(starts.TakeDueStops(now).empty());
  starts.OnStopConfirmed({ { "w", 0, 10 }, 1 });
  now += UnansweredStarts::kStopRetryDelay;
  UNSIGNED_LONGS_EQUAL(UnansweredStarts::kMaxStarts - 1,
                       starts.TakeDueStops(now).size());
  now += UnansweredStarts::kRetention;
  CHECK(starts.TakeDueStops(now).empty());
  UNSIGNED_LONGS_EQUAL(0, starts.Size());
}
