#include "hemlockhaven/scheduler/AdmissionDoubt.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

//! A sequence of refusals and the bounds of the margin after it.
struct DoubtRow
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

const DoubtRow kDoubtRows[] = {
  { "a margin without refusals", 0, 0, 0, kZero, kZero, kZero },
  { "a negative margin", 1, 0, 100, kZero, kZero, kZero },
  { "a large margin after one late refusal",
    1,
    1,
    0,
    kZero,
    kZero,
    AdmissionDoubt::kStep },
  { "a margin that grows while few refusals are late",
    100,
    1,
    20,
    kZero,
    kZero,
    2 * AdmissionDoubt::kStep },
  { "a margin that stays small while many refusals are late",
    100,
    1,
    1,
    kZero,
    30 * AdmissionDoubt::kStep,
    AdmissionDoubt::kMost },
  { "an unbounded margin",
    1,
    10000,
    0,
    kZero,
    AdmissionDoubt::kMost,
    AdmissionDoubt::kMost },
  { "a margin that persists after a surge",
    1,
    10000,
    0,
    10 * AdmissionDoubt::kHalfLife,
    kZero,
    AdmissionDoubt::kStep },
};

}

TEST_GROUP(AdmissionDoubt){};

TEST(AdmissionDoubt, StaysWithinBounds)
{
  for (const DoubtRow& row : kDoubtRows) {
    AdmissionDoubt margin;
    TimePoint now{ Duration(1000000) };
    for (int round = 0; round < row.roundCount; ++round) {
      for (int i = 0; i < row.lateRefusals; ++i) {
        margin.RefusedLate(now);
      }
      for (int i = 0; i < row.immediateRefusals; ++i) {
        margin.RefusedAtOnce(now);
      }
    }
    now += row.idleTime;
    CHECK_TEXT(margin.Value(now) >= row.minValue, row.guardsAgainst);
    CHECK_TEXT(margin.Value(now) <= row.maxValue, row.guardsAgainst);
  }
}
