#include "hemlockhaven/scheduler/ListPosition.h"

#include <CppUTest/TestHarness.h>

#include <limits>

using namespace hemlockhaven;

namespace {

constexpr std::uint64_t kMaxOffset = std::numeric_limits<std::uint64_t>::max();

struct CoversRow
{
  const char* guardsAgainst;
  EndpointsInUse previous;
  ListPosition own;
  bool isCovered;
};

const CoversRow kCoversRows[] = {
  { "waiting although no endpoint is new", { 10, 12 }, { 3, 12 }, true },
  { "an endpoint that only the leader knows", { 10, 12 }, { 3, 9 }, false },
  { "waiting although the list is current", { 10, 12 }, { 3, 10 }, true },
  { "waiting without an earlier leader", { 0, kMaxOffset }, { 10, 10 }, true },
  { "an endpoint that left before the list was read",
    { 5, 8 },
    { 9, 12 },
    false },
  { "waiting for an endpoint that left after the list was read",
    { 5, 8 },
    { 8, 12 },
    true },
  { "relying on a list that was not read", { 0, 5 }, { 6, 6 }, false },
};

}

TEST_GROUP(ListPosition){};

TEST(ListPosition, CoversTheEndpointsOfAnEarlierLeader)
{
  for (const CoversRow& row : kCoversRows) {
    CHECK_EQUAL_TEXT(
      row.isCovered, row.own.Covers(row.previous), row.guardsAgainst);
  }
}

TEST(ListPosition, NarrowsWithEachEarlierLeader)
{
  EndpointsInUse previous{ 10, 20 };
  previous.Add({ 5, 8 });
  LONGS_EQUAL(10, previous.listedBy);
  LONGS_EQUAL(8, previous.leftFrom);
  previous.Add(EndpointsInUse());
  LONGS_EQUAL(10, previous.listedBy);
  LONGS_EQUAL(8, previous.leftFrom);
}

struct PartRow
{
  const char* guardsAgainst;
  EndpointsInUse first;
  EndpointsInUse second;
  const char* part;
};

const PartRow kPartRows[] = {
  { "forgetting the only zone", {}, { 5, 8, "a" }, "a" },
  { "widening to other zones without need", { 5, 8, "a" }, { 6, 9, "a" }, "a" },
  { "limiting a leader of all zones to one", { 5, 8, "" }, { 6, 9, "a" }, "" },
  { "overlooking a second zone", { 5, 8, "a" }, { 6, 9, "b" }, "" },
  { "counting a leader without endpoints", { 5, 8, "a" }, {}, "a" },
};

TEST(ListPosition, KnowsTheZonesOfEarlierLeaders)
{
  for (const PartRow& row : kPartRows) {
    EndpointsInUse previous = row.first;
    previous.Add(row.second);
    STRCMP_EQUAL_TEXT(row.part, previous.part.c_str(), row.guardsAgainst);
  }
}
