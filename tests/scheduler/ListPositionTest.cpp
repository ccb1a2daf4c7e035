#include "hemlockhaven/scheduler/ListPosition.h"

#include <CppUTest/TestHarness.h>

#include <limits>

using namespace hemlockhaven;

namespace {

constexpr std::uint64_t kNever = std::numeric_limits<std::uint64_t>::max();

struct CoversRow
{
  const char* guardsAgainst;
  EndpointsInUse used;
  ListPosition own;
  bool covered;
};

constexpr CoversRow kCoversRows[] = {
  { "waiting where no endpoint is new", { 10, 12 }, { 3, 12 }, true },
  { "an endpoint that only the leader knows", { 10, 12 }, { 3, 9 }, false },
  { "waiting for the list as it is", { 10, 12 }, { 3, 10 }, true },
  { "waiting after no leader", { 0, kNever }, { 10, 10 }, true },
  { "an endpoint that left before the list was read",
    { 5, 8 },
    { 9, 12 },
    false },
  { "waiting for an endpoint that left after the list was read",
    { 5, 8 },
    { 8, 12 },
    true },
  { "a list that was not read", { 0, 5 }, { 6, 6 }, false },
};

}

TEST_GROUP(ListPosition){};

TEST(ListPosition, CoversTheEndpointsOfAnEarlierLeader)
{
  for (const CoversRow& row : kCoversRows) {
    CHECK_EQUAL_TEXT(row.covered, row.own.Covers(row.used), row.guardsAgainst);
  }
}

TEST(ListPosition, CoversNotLessAfterOneOfSeveralLeaders)
{
  EndpointsInUse used{ 10, 20 };
  used.Add({ 5, 8 });
  LONGS_EQUAL(10, used.listedBy);
  LONGS_EQUAL(8, used.leftFrom);
  used.Add(EndpointsInUse());
  LONGS_EQUAL(10, used.listedBy);
  LONGS_EQUAL(8, used.leftFrom);
}
