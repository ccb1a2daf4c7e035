#include "hemlockhaven/scheduler/AdmissionMargin.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

//! Refusals in turn, and the doubt after them.
struct MarginRow
{
  const char* guardsAgainst;
  int rounds; //!< Each: late refusals, then refusals at once.
  int late;
  int atOnce;
  Duration pause; //!< After the last round.
  Duration least;
  Duration most;
};

constexpr Duration kNone{ 0 };

const MarginRow kMarginRows[] = {
  { "doubt without a reason", 0, 0, 0, kNone, kNone, kNone },
  { "doubt below zero", 1, 0, 100, kNone, kNone, kNone },
  { "one late refusal that turns much away",
    1,
    1,
    0,
    kNone,
    kNone,
    AdmissionMargin::kAdjustmentStep },
  { "doubt that grows while few refusals are late",
    100,
    1,
    20,
    kNone,
    kNone,
    2 * AdmissionMargin::kAdjustmentStep },
  { "doubt that stays small while most refusals are late",
    100,
    1,
    1,
    kNone,
    30 * AdmissionMargin::kAdjustmentStep,
    AdmissionMargin::kMaxMargin },
  { "doubt without a bound",
    1,
    10000,
    0,
    kNone,
    AdmissionMargin::kMaxMargin,
    AdmissionMargin::kMaxMargin },
  { "doubt that outlives a surge",
    1,
    10000,
    0,
    10 * AdmissionMargin::kHalfLife,
    kNone,
    AdmissionMargin::kAdjustmentStep },
};

}

TEST_GROUP(AdmissionMargin){};

TEST(AdmissionMargin, KeepsAShareOfRefusalsLate)
{
  for (const MarginRow& row : kMarginRows) {
    AdmissionMargin doubt;
    TimePoint now{ Duration(1000000) };
    for (int round = 0; round < row.rounds; ++round) {
      for (int i = 0; i < row.late; ++i) {
        doubt.RecordLateRefusal(now);
      }
      for (int i = 0; i < row.atOnce; ++i) {
        doubt.RecordImmediateRefusal(now);
      }
    }
    now += row.pause;
    CHECK_TEXT(doubt.Value(now) >= row.least, row.guardsAgainst);
    CHECK_TEXT(doubt.Value(now) <= row.most, row.guardsAgainst);
  }
}
