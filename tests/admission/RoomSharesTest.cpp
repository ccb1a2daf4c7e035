#include "hemlockhaven/admission/RoomShares.h"
#include "hemlockhaven/admission/RecentRefusals.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <string>
#include <utility>
#include <vector>

using namespace hemlockhaven;

namespace {

const TimePoint kBegin{ Duration(100000000) };

//! What one group asked for and was given.
struct GroupRow
{
  const char* name;
  double asked;
  double given;
  bool isOver;
};

struct ShareRow
{
  const char* guardsAgainst;
  std::vector<GroupRow> groups;
  std::vector<std::pair<std::string, double>> weights;
};

const ShareRow kShareRows[] = {
  { "a group over its share although all is served",
    { { "a", 900, 900, false }, { "b", 10, 10, false } },
    {} },
  { "groups that do not pay for their own burst",
    { { "a", 900, 600, true }, { "b", 300, 200, false } },
    {} },
  { "not giving away what a group does not use",
    { { "a", 900, 650, true },
      { "b", 600, 500, false },
      { "c", 50, 50, false } },
    {} },
  { "a small group that counts as over beside a large one",
    { { "a", 1000, 480, false },
      { "b", 500, 470, false },
      { "c", 20, 10, false } },
    {} },
  { "ignoring weights",
    { { "a", 900, 600, false }, { "b", 900, 300, false } },
    { { "a", 2 } } },
  { "equal shares in spite of weights",
    { { "a", 900, 500, false }, { "b", 900, 400, true } },
    { { "a", 2 } } },
};

RoomShares SharesAfter(const ShareRow& aRow)
{
  RoomShares shares;
  shares.SetWeights(aRow.weights);
  for (const GroupRow& group : aRow.groups) {
    shares.RecordAsked({ group.name, 0, group.asked }, kBegin);
    shares.RecordGiven({ group.name, 0, group.given }, kBegin);
  }
  return shares;
}

}

TEST_GROUP(RoomShares){};

TEST(RoomShares, FindsGroupsOverTheirShare)
{
  for (const ShareRow& row : kShareRows) {
    const RoomShares shares = SharesAfter(row);
    for (const GroupRow& group : row.groups) {
      CHECK_TEXT(shares.IsOverShare(group.name, kBegin) == group.isOver,
                 row.guardsAgainst);
    }
  }
}

namespace {

struct DisplaceRow
{
  const char* guardsAgainst;
  RoomClaim claim;
  bool mayDisplace;
};

// Group "over" is over its share, "under" is not.
const DisplaceRow kDisplaceRows[] = {
  { "urgent work refused beside less urgent work that waits",
    { "under", 0, 1 },
    true },
  { "accepted work dropped for work that is not of priority 0",
    { "under", 1, 1 },
    false },
  { "accepted work dropped for a group over its share",
    { "over", 0, 1 },
    false },
};

}

TEST(RoomShares, DisplacesOnlyForUrgentWorkUnderItsShare)
{
  const RoomShares shares = SharesAfter(
    { "", { { "over", 900, 600, true }, { "under", 300, 200, false } }, {} });
  for (const DisplaceRow& row : kDisplaceRows) {
    CHECK_TEXT(shares.MayDisplace(row.claim, kBegin) == row.mayDisplace,
               row.guardsAgainst);
  }
}

TEST(RoomShares, LeavesRoomOnlyWhileCapacityIsShort)
{
  RoomShares shares = SharesAfter(
    { "", { { "a", 900, 600, true }, { "b", 300, 200, false } }, {} });
  const RoomClaim over{ "a", 0, 900 };
  const RoomClaim under{ "b", 0, 300 };
  CHECK_TEXT(shares.RoomToLeave(over, kBegin) == 0,
             "refusing work while nothing else was refused");
  shares.RecordRefused(over, kBegin);
  CHECK_TEXT(shares.RoomToLeave(over, kBegin) == 0,
             "leaving room because of the refusals of the group itself");
  shares.RecordRefused(under, kBegin);
  CHECK_TEXT(shares.RoomToLeave(over, kBegin) > 0,
             "refusing a group under its share in favour of one over it");
  CHECK_TEXT(shares.RoomToLeave(under, kBegin) == 0,
             "refusing work of the group that is to be protected");
  CHECK_TEXT(shares.RoomToLeave(over, kBegin + RoomShares::kShortageTime) == 0,
             "refusing work after a shortage has ended");
}

namespace {

struct ExcessRow
{
  const char* guardsAgainst;
  double share; //!< Of everything to refuse.
  double ofA;
  double ofB;
};

// Group a asks for 900, group b for 300.
const ExcessRow kExcessRows[] = {
  { "refusing without overload", 0, 0, 0 },
  { "a small group that pays for a large one", 0.3, 0.4, 0 },
  { "a large group that pays for all", 0.6, 1 - 240.0 / 900, 0.2 },
};

}

TEST(RoomShares, RefusesTheExcessOfLargeGroupsFirst)
{
  const RoomShares shares =
    SharesAfter({ "", { { "a", 900, 0, false }, { "b", 300, 0, false } }, {} });
  for (const ExcessRow& row : kExcessRows) {
    DOUBLES_EQUAL_TEXT(row.ofA,
                       shares.ExcessOf("a", row.share, kBegin),
                       1e-9,
                       row.guardsAgainst);
    DOUBLES_EQUAL_TEXT(row.ofB,
                       shares.ExcessOf("b", row.share, kBegin),
                       1e-9,
                       row.guardsAgainst);
  }
}

TEST(RoomShares, ReturnsRefusedCallersOverTheTimeTheyNeed)
{
  RoomShares shares = SharesAfter({ "", { { "a", 900, 400, false } }, {} });
  CHECK_TEXT(shares.ReturnTime(kBegin) == Duration(0),
             "delaying callers without refusals");
  shares.RecordRefused({ "a", 0, 400 }, kBegin);
  const Duration once = shares.ReturnTime(kBegin);
  shares.RecordRefused({ "a", 0, 400 }, kBegin);
  const Duration twice = shares.ReturnTime(kBegin);
  CHECK_TEXT(std::abs((twice - 2 * once).count()) <= 1,
             "a crowd that returns faster than it can be served");
}

TEST(RoomShares, BoundsTheNumberOfGroups)
{
  RoomShares shares;
  for (std::size_t i = 0; i < 3 * RoomShares::kMaxGroups; ++i) {
    const std::string name = "g" + std::to_string(i);
    shares.RecordAsked({ name, 0, 10 }, kBegin);
    shares.RecordGiven({ name, 0, 10 }, kBegin);
  }
  // All groups beyond the limit share one account and its share.
  CHECK_FALSE(shares.IsOverShare("g0", kBegin));
  CHECK_FALSE(shares.IsOverShare("new", kBegin));
}

TEST(RoomShares, BalancesTheSizesWithinAGroup)
{
  RoomShares shares;
  // Every tenth job is large and refused.
  for (int i = 0; i < 200; ++i) {
    const RoomClaim claim{ "a", 0, i % 10 == 0 ? 100.0 : 10.0 + i % 10 };
    shares.RecordAsked(claim, kBegin);
    if (claim.amount < 50) {
      shares.RecordGiven(claim, kBegin);
    }
  }
  CHECK_TEXT(shares.IsSizeBehind({ "a", 0, 100 }),
             "large jobs that are never served");
  CHECK_TEXT(shares.RoomToLeave({ "a", 0, 11 }, kBegin) == 1,
             "small jobs that leave no room for large ones");
  CHECK_FALSE_TEXT(shares.IsSizeBehind({ "a", 0, 11 }),
                   "small jobs that count as refused");
  CHECK_TEXT(shares.RoomToLeave({ "b", 0, 11 }, kBegin) == 0,
             "other groups that pay for it");
}

TEST(RoomShares, RecentRefusalsAreKeptByGroup)
{
  RecentRefusals refusals;
  refusals.Record({ "a", Duration(100000), 16000 }, kBegin);
  const TimePoint later = kBegin + RecentRefusals::kReuseTime;
  CHECK_TEXT(refusals.Resembles({ "a", Duration(90000), 16000 }, later),
             "forecasts for work like that refused just now");
  CHECK_FALSE_TEXT(refusals.Resembles({ "b", Duration(90000), 16000 }, later),
                   "refusing work for the refusal of another group");
  CHECK_FALSE_TEXT(refusals.Resembles({ "a", Duration(110000), 16000 }, later),
                   "refusing work that has more time");
  CHECK_FALSE_TEXT(refusals.Resembles({ "a", Duration(90000), 8000 }, later),
                   "refusing smaller work");
  CHECK_FALSE_TEXT(
    refusals.Resembles({ "a", Duration(90000), 16000 }, later + Duration(1)),
    "refusing work long after a refusal");
}
