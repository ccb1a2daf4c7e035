#include "hemlockhaven/coordinator/PartDivision.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace hemlockhaven;

namespace {

Member MakeMember(double aCores, double aLinkMbps)
{
  Member member;
  member.cores = aCores;
  member.linkMbps = aLinkMbps;
  return member;
}

//! Endpoints of the zones a and b in turn.
std::vector<ListedEndpoint> MakeEndpoints(std::size_t aCount)
{
  std::vector<ListedEndpoint> endpoints(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    endpoints[i].id = "e" + std::to_string(i);
    endpoints[i].zone = i % 2 == 0 ? "a" : "b";
  }
  return endpoints;
}

struct DivisionRow
{
  const char* guardsAgainst;
  Member mostCapable;
  std::vector<std::size_t> counts; //!< Of the list, in order.
  bool isOtherLeaderDivided;
  const char* part;
  std::size_t ownEndpoints;
};

const DivisionRow kDivisionRows[] = {
  { "dividing a list that one leader can carry",
    MakeMember(0.25, 1000),
    { 48 },
    false,
    "",
    48 },
  { "one leader whose processor cannot carry all endpoints",
    MakeMember(0.5, 200),
    { 1100 },
    false,
    "a",
    550 },
  { "one leader whose link cannot carry all endpoints",
    MakeMember(4, 2),
    { 120 },
    false,
    "a",
    60 },
  { "a change of all leaders whenever a few endpoints leave",
    MakeMember(0.5, 200),
    { 520, 480 },
    false,
    "a",
    240 },
  { "a list that stays divided after most endpoints have left",
    MakeMember(0.5, 200),
    { 520, 200 },
    false,
    "",
    200 },
  { "a started daemon that divides the list otherwise than the others",
    MakeMember(0.5, 200),
    { 480 },
    true,
    "a",
    240 },
  { "a daemon that divides a short list since another one does",
    MakeMember(0.5, 200),
    { 200 },
    true,
    "",
    200 },
  { "division by zero endpoints", MakeMember(0.5, 200), { 0 }, false, "", 0 },
};

}

TEST_GROUP(PartDivision){};

TEST(PartDivision, FollowsFromWhatOneLeaderCarries)
{
  for (const DivisionRow& row : kDivisionRows) {
    PartDivision division("a");
    std::size_t own = 0;
    for (const std::size_t count : row.counts) {
      own = division
              .Update(MakeEndpoints(count),
                      { PartDivision::EndpointsPerLeader(row.mostCapable),
                        row.isOtherLeaderDivided })
              .size();
    }
    STRCMP_EQUAL_TEXT(
      row.part, std::string(division.Part()).c_str(), row.guardsAgainst);
    LONGS_EQUAL_TEXT(row.ownEndpoints, own, row.guardsAgainst);
  }
}
