#include "hemlockhaven/scheduler/AdmissionDoubt.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

//! Refusals in turn, and the doubt after them.
struct DoubtRow
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

const DoubtRow kDoubtRows[] = {
  { "doubt without a reason", 0, 0, 0, kNone, kNone, kNone },
  { "doubt below zero", 1, 0, 100, kNone, kNone, kNone },
  { "one late refusal that turns much away",
    1,
    1,
    0,
    kNone,
    kNone,
    AdmissionDoubt::kStep },
  { "doubt that grows while few refusals are late",
    100,
    1,
    20,
    kNone,
    kNone,
    2 * AdmissionDoubt::kStep },
  { "doubt that stays small while most refusals are late",
    100,
    1,
    1,
    kNone,
    30 * AdmissionDoubt::kStep,
    AdmissionDoubt::kMost },
  { "doubt without a bound",
    1,
    10000,
    0,
    kNone,
    AdmissionDoubt::kMost,
    AdmissionDoubt::kMost },
  { "doubt that outlives a surge",
    1,
    10000,
    0,
    10 * AdmissionDoubt::kHalfLife,
    kNone,
    AdmissionDoubt::kStep },
};

}

TEST_GROUP(AdmissionDoubt){};

TEST(AdmissionDoubt, KeepsAShareOfRefusalsLate)
{
  for (const DoubtRow& row : kDoubtRows) {
    AdmissionDoubt doubt;
    TimePoint now{ Duration(1000000) };
    for (int round = 0; round < row.rounds; ++round) {
      for (int i = 0; i < row.late; ++i) {
        doubt.RefusedLate(now);
      }
      for (int i = 0; i < row.atOnce; ++i) {
        doubt.RefusedAtOnce(now);
      }
    }
    now += row.pause;
    CHECK_TEXT(doubt.Value(now) >= row.least, row.guardsAgainst);
    CHECK_TEXT(doubt.Value(now) <= row.most, row.guardsAgainst);
  }
}
