#include "hemlockhaven/scheduler/AdmissionMargin.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

//! A sequence of refusals and the bounds of the margin after it.
struct MarginRow
{
  const char* guardsAgainst;
  int roundCount; //!< Each: late, then immediate refusals.
  int lateRefusals;
  int immediateRefusals;
  Duration idleTime; //!< After the last round.
  Duration minValue;
  Duration maxValue;
};

constexpr Duration kZero{ 0 };

const MarginRow kMarginRows[] = {
  { "a margin without refusals", 0, 0, 0, kZero, kZero, kZero },
  { "a negative margin", 1, 0, 100, kZero, kZero, kZero },
  { "a large margin after one late refusal",
    1,
    1,
    0,
    kZero,
    kZero,
    AdmissionMargin::kAdjustmentStep },
  { "a margin that grows while few refusals are late",
    100,
    1,
    20,
    kZero,
    kZero,
    2 * AdmissionMargin::kAdjustmentStep },
  { "a margin that stays small while many refusals are late",
    100,
    1,
    1,
    kZero,
    30 * AdmissionMargin::kAdjustmentStep,
    AdmissionMargin::kMaxMargin },
  { "an unbounded margin",
    1,
    10000,
    0,
    kZero,
    AdmissionMargin::kMaxMargin,
    AdmissionMargin::kMaxMargin },
  { "a margin that persists after a surge",
    1,
    10000,
    0,
    10 * AdmissionMargin::kHalfLife,
    kZero,
    AdmissionMargin::kAdjustmentStep },
};

}

TEST_GROUP(AdmissionMargin){};

TEST(AdmissionMargin, StaysWithinBounds)
{
  for (const MarginRow& row : kMarginRows) {
    AdmissionMargin margin;
    TimePoint now{ Duration(1000000) };
    for (int round = 0; round < row.roundCount; ++round) {
      for (int i = 0; i < row.lateRefusals; ++i) {
        margin.RecordLateRefusal(now);
      }
      for (int i = 0; i < row.immediateRefusals; ++i) {
        margin.RecordImmediateRefusal(now);
      }
    }
    now += row.idleTime;
    CHECK_TEXT(margin.Value(now) >= row.minValue, row.guardsAgainst);
    CHECK_TEXT(margin.Value(now) <= row.maxValue, row.guardsAgainst);
  }
}
