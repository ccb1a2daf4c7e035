// Replays the load patterns for which capacity is short, at a fifth of the
// users' size (70 of 350 endpoints), and compares the rules by which work is
// refused. The bounds are set between the result of arrival order and that of
// shares.
#include "support/LoadReplay.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

enum Kind : std::size_t
{
  Wide,
  Long,
  Narrow,
};

LoadPattern Pattern(const char* aName,
                    std::vector<LoadBurst> aBursts,
                    LoadReclaim aReclaim = {})
{
  return { aName,
           { { { "wide", 41.2, 8, 60, 8000, 0.0291, 0 },
               { "long", 7.5, 4, 900, 8000, 0.16, 2 },
               { "narrow", 120, 2, 200, 8000, 0.01, 1 } } },
           168.7,
           10,
           std::move(aBursts),
           70,
           { 0.55, 1.2, 1.2, 1.2 },
           { 16000 },
           {},
           aReclaim };
}

//! A rule by which work is refused.
struct Rule
{
  const char* name;
  bool sharesRoom;
  double reservedSlack;
  std::function<bool(const RoomClaim&, const RoomClaim&)> givesWay;
};

const Rule kRules[] = {
  { "arrival order", false, 0, {} },
  { "strict priority",
    true,
    0,
    [](const RoomClaim& aAccepted, const RoomClaim& aNew) {
      return aNew.priority < aAccepted.priority;
    } },
  { "earliest deadline first",
    true,
    0,
    [](const RoomClaim&, const RoomClaim&) { return true; } },
  { "shares", true, SchedulerPolicy().reservedSlack, {} },
};

LoadResult ReplayWith(const Rule& aRule,
                      LoadPattern aPattern,
                      std::uint64_t aSeed)
{
  aPattern.policy.sharesRoom = aRule.sharesRoom;
  aPattern.policy.reservedSlack = aRule.reservedSlack;
  aPattern.policy.givesWay = aRule.givesWay;
  return Replay(aPattern, aSeed);
}

LoadResult Sum(const Rule& aRule,
               const LoadPattern& aPattern,
               std::uint64_t aSeeds)
{
  const auto add = [](JobCounts& aTo, const JobCounts& aCounts) {
    aTo.submitted += aCounts.submitted;
    aTo.onTime += aCounts.onTime;
    aTo.late += aCounts.late;
    aTo.refused += aCounts.refused;
  };
  LoadResult sum;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    const LoadResult result = ReplayWith(aRule, aPattern, seed);
    const auto seeds = static_cast<double>(aSeeds);
    sum.onTimeShare += result.onTimeShare / seeds;
    sum.worstWindowsShare += result.worstWindowsShare / seeds;
    sum.worstKindShare += result.worstKindShare / seeds;
    sum.submitted += result.submitted;
    sum.refused += result.refused;
    sum.late += result.late;
    sum.refusedAfterStart += result.refusedAfterStart;
    for (std::size_t i = 0; i < sum.kinds.size(); ++i) {
      add(sum.kinds.at(i).all, result.kinds.at(i).all);
      add(sum.kinds.at(i).rest, result.kinds.at(i).rest);
      add(sum.kinds.at(i).fifth, result.kinds.at(i).fifth);
      add(sum.kinds.at(i).largest, result.kinds.at(i).largest);
    }
  }
  return sum;
}

//! How often the jobs of a size are in time, relative to all jobs of the kind.
double Relative(const JobCounts& aSize, const KindResult& aKind)
{
  return aSize.OnTimeShare() / aKind.all.OnTimeShare();
}

struct SharesRow
{
  const char* guardsAgainst;
  LoadPattern pattern;
  //! Between the share of the short wide kind's jobs that are in time with
  //! arrival order and that with shares; 0: no difference.
  double minWideShare;
};

const SharesRow kSharesRows[] = {
  { "refusing work of any group without shortage", Pattern("calm", {}), 0 },
  { "the short wide kind paying for a burst of the long kind",
    Pattern("long x 2.3 for 6 s", { { Long, 2.3, 2, 8 } }),
    0.905 },
  { "urgent work refused in its own burst beside less urgent work",
    Pattern("wide x 1.9 for 4 s", { { Wide, 1.9, 2, 6 } }),
    0.945 },
  { "the short wide kind paying for a burst of all kinds",
    Pattern(
      "all x 1.7 for 4 s",
      { { Wide, 1.7, 2, 6 }, { Long, 1.7, 2, 6 }, { Narrow, 1.7, 2, 6 } }),
    0.8 },
  { "the short wide kind paying for reclaimed endpoints in a burst",
    Pattern("long x 2.3 for 6 s, 14% of the endpoints reclaimed",
            { { Long, 2.3, 2, 8 } },
            { 0.14, 3 }),
    0.82 },
  { "starving the short wide kind at twice the capacity",
    Pattern(
      "all x 2.6 for 10 s",
      { { Wide, 2.6, 0, 10 }, { Long, 2.6, 0, 10 }, { Narrow, 2.6, 0, 10 } }),
    0.4 },
  { "small urgent jobs refused beside large long ones",
    Pattern("long x 1.2, 2.5 times as large, for 6 s",
            { { Long, 1.2, 2, 8, 2.5 } }),
    0.81 },
};

//! Prints rows of the table in docs/design/room-shares.md.
void PrintComparison()
{
  constexpr std::uint64_t kSeeds = 6;
  std::cout.precision(3);
  for (const SharesRow& row : kSharesRows) {
    std::cout << '\n' << row.pattern.name << '\n';
    for (const Rule& rule : kRules) {
      const LoadResult sum = Sum(rule, row.pattern, kSeeds);
      std::cout << "| " << rule.name << " | " << sum.onTimeShare << " | "
                << sum.worstWindowsShare << " | "
                << 1 - static_cast<double>(sum.late + sum.refused) /
                         static_cast<double>(sum.submitted);
      for (const KindResult& kind : sum.kinds) {
        const auto all = static_cast<double>(kind.all.submitted);
        std::cout << " | " << kind.all.OnTimeShare() << " / "
                  << static_cast<double>(kind.all.late) / all << " / "
                  << static_cast<double>(kind.all.refused) / all << " ("
                  << Relative(kind.fifth, kind) << ", "
                  << Relative(kind.largest, kind) << ')';
      }
      std::cout << " |" << std::endl;
    }
  }
}

}

TEST_GROUP(RoomSharesReplay){};

TEST(RoomSharesReplay, ServesGroupsUnderTheirShare)
{
  if (std::getenv("HEMLOCKHAVEN_SHOW_REPLAY") != nullptr) {
    PrintComparison();
  }
  // The sum over all kinds may change by what other seeds change.
  constexpr double kNoise = 0.01;
  constexpr std::uint64_t kSeeds = 3;
  for (const SharesRow& row : kSharesRows) {
    const LoadResult before = Sum(kRules[0], row.pattern, kSeeds);
    const LoadResult after = Sum(kRules[3], row.pattern, kSeeds);
    const std::string text =
      std::string(row.guardsAgainst) + "\nbefore: " + Describe(before) + "\n" +
      DescribeKinds(row.pattern, before) + "\nafter: " + Describe(after) +
      "\n" + DescribeKinds(row.pattern, after);
    if (row.minWideShare > 0) {
      CHECK_TEXT(before.kinds[Wide].all.OnTimeShare() < row.minWideShare,
                 text.c_str());
    }
    CHECK_TEXT(after.kinds[Wide].all.OnTimeShare() >= row.minWideShare,
               text.c_str());
    CHECK_TEXT(after.refusedAfterStart == 0, text.c_str());
    CHECK_TEXT(after.onTimeShare >= before.onTimeShare - kNoise, text.c_str());
    for (const KindResult& kind : after.kinds) {
      CHECK_TEXT(Relative(kind.fifth, kind) >= 0.5, text.c_str());
      CHECK_TEXT(Relative(kind.largest, kind) >= 0.5, text.c_str());
    }
  }
}

TEST(RoomSharesReplay, HasNoEffectWhenOff)
{
  // Priorities, the reserve and a rule for displacing work count only with
  // sharesRoom: without it, each answer is the same at the same time.
  for (const SharesRow& row : kSharesRows) {
    LoadPattern plain = row.pattern;
    for (LoadKind& kind : plain.kinds) {
      kind.priority = 0;
    }
    const Rule off{ "off", false, 0.9, [](const RoomClaim&, const RoomClaim&) {
                     return true;
                   } };
    CHECK_TEXT(ReplayWith(off, row.pattern, 1).answers ==
                 Replay(plain, 1).answers,
               row.guardsAgainst);
  }
}

TEST(RoomSharesReplay, IsRepeatable)
{
  const LoadPattern& pattern = kSharesRows[3].pattern;
  CHECK(ReplayWith(kRules[3], pattern, 1).answers ==
        ReplayWith(kRules[3], pattern, 1).answers);
}
