#include "hemlockhaven/scheduler/AdmissionMargin.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

//! Refusals in turn, and the doubt after them.
struct MarginRow
{
  const char* guardsAgainst;
  int roundCount; //!< Each: late refusals, then refusals at once.
  int lateRefusals;
  int immediateRefusals;
  Duration idleTime; //!< After the last round.
  Duration minValue;
  Duration maxValue;
};

constexpr Duration kZero{ 0 };

const MarginRow kMarginRows[] = {
  { "doubt without a reason", 0, 0, 0, kZero, kZero, kZero },
  { "doubt below zero", 1, 0, 100, kZero, kZero, kZero },
  { "one late refusal that turns much away",
    1,
    1,
    0,
    kZero,
    kZero,
    AdmissionMargin::kAdjustmentStep },
  { "doubt that grows while few refusals are late",
    100,
    1,
    20,
    kZero,
    kZero,
    2 * AdmissionMargin::kAdjustmentStep },
  { "doubt that stays small while most refusals are late",
    100,
    1,
    1,
    kZero,
    30 * AdmissionMargin::kAdjustmentStep,
    AdmissionMargin::kMaxMargin },
  { "doubt without a bound",
    1,
    10000,
    0,
    kZero,
    AdmissionMargin::kMaxMargin,
    AdmissionMargin::kMaxMargin },
  { "doubt that outlives a surge",
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
