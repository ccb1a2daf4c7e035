#include "hemlockhaven/scheduler/EndpointLease.h"
#include "hemlockhaven/scheduler/RunTimeModel.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

constexpr TimePoint kNow{ std::chrono::hours(1) };

Duration Ms(std::int64_t aMilliseconds)
{
  return std::chrono::milliseconds(aMilliseconds);
}

//! The clock showed 5,000 at time 0; a lease was extended to 5,800.
struct LeaseExpiryRow
{
  const char* guardsAgainst;
  std::int64_t elapsedMs;
  std::int64_t observedClockMs; //!< Seen again at that time; 0: not.
  bool expired;
};

constexpr LeaseExpiryRow kLeaseExpiryRows[] = {
  { "a lapse at once", 0, 0, false },
  { "a lapse by our clock alone", 805, 0, false },
  { "waiting for ever", 830, 0, true },
  { "ignoring that the endpoint's clock is fast", 100, 5801, true },
  { "an answer from long ago that moves the clock back", 830, 5010, true },
};

}

TEST_GROUP(EndpointLease){};

TEST(EndpointLease, ExpiresNoEarlierThanASlowClockAllows)
{
  for (const LeaseExpiryRow& row : kLeaseExpiryRows) {
    EndpointLease lease;
    lease.ObserveClock(5000, kNow);
    lease.Extend(5800);
    lease.Extend(5100); // Never shortens.
    const TimePoint later = kNow + Ms(row.elapsedMs);
    if (row.observedClockMs > 0) {
      lease.ObserveClock(row.observedClockMs, later);
    }
    CHECK_EQUAL_TEXT(row.expired, lease.HasExpired(later), row.guardsAgainst);
  }
}

TEST(EndpointLease, HasNoDeadlineWithoutAClockReading)
{
  EndpointLease lease;
  CHECK_FALSE(lease.DeadlineIn(Ms(500), kNow).has_value());
  CHECK_FALSE(lease.HasExpired(kNow + std::chrono::hours(1)));
  lease.ObserveClock(5000, kNow);
  LONGS_EQUAL(5700, *lease.DeadlineIn(Ms(500), kNow + Ms(200)));
}

TEST_GROUP(RunTimeModel){};

TEST(RunTimeModel, LearnsRunTimesPerKindAndCorrectsEstimates)
{
  RunTimeModel model;
  LONGS_EQUAL(80, model.Predict("quote", Ms(80)) / Ms(1));
  for (int i = 0; i < 50; ++i) {
    model.Learn("quote", Ms(100), Ms(200));
  }
  // Between the kind's 200 ms and the estimate's double.
  LONGS_EQUAL(200, (model.Predict("quote", Ms(100)) + Ms(1) / 2) / Ms(1));
  LONGS_EQUAL(400, (model.Predict("quote", Ms(400)) + Ms(1) / 2) / Ms(1));
  LONGS_EQUAL(80, model.Predict("other", Ms(80)) / Ms(1));
}

TEST(RunTimeModel, LearnsTheSpeedOfAnEndpoint)
{
  EndpointSpeed speed;
  DOUBLES_EQUAL(1, speed.Value(), 0.001);
  for (int i = 0; i < 40; ++i) {
    speed.Learn(Ms(100), Ms(200));
  }
  DOUBLES_EQUAL(0.5, speed.Value(), 0.01);
  speed.Learn(Ms(100), Ms(100000)); // One that hung moves it only so far.
  CHECK(speed.Value() > 0.35);
}
