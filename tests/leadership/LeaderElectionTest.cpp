#include "hemlockhaven/leadership/LeaderElection.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

using namespace hemlockhaven;

namespace {

Duration Ms(std::int64_t aMilliseconds)
{
  return std::chrono::milliseconds(aMilliseconds);
}

Member MakeMember(const std::string& aName, double aCores)
{
  return { aName, aName, "a", aCores, 1 };
}

//! One member of an election, and others that it hears as the test says.
class Bench
{
public:
  Bench()
    : election_(
        MakeMember("self", 1),
        ElectionParameters(),
        [this] { return now_; },
        [] { return std::int64_t{ 1700000000000 }; })
  {
    election_.SetCanLead(true, "");
  }

  void Wait(std::int64_t aMilliseconds)
  {
    for (std::int64_t gone = 0; gone < aMilliseconds; gone += 25) {
      now_ += Ms(25);
      for (const auto& [member, heartbeat] :
           Note(election_.Tick()).heartbeats) {
        last_[member.address] = heartbeat.sequence;
      }
      for (Heartbeat& heartbeat : heard_) {
        ++heartbeat.sequence;
        heartbeat.echo = echoes ? last_[heartbeat.from.address] : 0;
        Note(election_.OnHeartbeat(heartbeat));
      }
    }
  }

  //! From now on the member is heard at each step.
  void Hear(const std::string& aName, double aCores, std::uint64_t aToken)
  {
    Heartbeat heartbeat;
    heartbeat.from = MakeMember(aName, aCores);
    heartbeat.leaderToken = aToken;
    heartbeat.canLead = true;
    for (Heartbeat& known : heard_) {
      if (known.from.name == aName) {
        heartbeat.sequence = known.sequence;
        known = heartbeat;
        return;
      }
    }
    heard_.push_back(heartbeat);
  }

  //! Smaller members than this one.
  void HearMany(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Hear("m" + std::to_string(i), 0.5, 0);
    }
  }

  //! The members heard have lost their endpoints to a leader unseen.
  void HearFenced(std::int64_t aStayAwayMs)
  {
    for (Heartbeat& heartbeat : heard_) {
      heartbeat.canLead = false;
      heartbeat.electionBackoff = Ms(aStayAwayMs);
    }
  }

  //! Another daemon's beats tell of ever higher tokens.
  void RaiseTokens()
  {
    for (Heartbeat& heartbeat : heard_) {
      heartbeat.highestToken = token + (std::uint64_t{ 1 } << 16U);
    }
  }

  void Silence() { heard_.clear(); }
  void HearOnlyFirst() { heard_.resize(1); }

  const ElectionEffects& Note(ElectionEffects aEffects)
  {
    if (aEffects.termToken) {
      token = *aEffects.termToken;
      ++terms;
    }
    if (aEffects.stepDownReason) {
      token = 0;
    }
    for (const std::string& name : aEffects.lostMembers) {
      lost += name;
    }
    if (!aEffects.heartbeats.empty()) {
      lastHeartbeat = aEffects.heartbeats.back().second;
    }
    kept_ = std::move(aEffects);
    return kept_;
  }

  Heartbeat lastHeartbeat;

  LeaderElection& Election() { return election_; }

  bool echoes = true; //!< Whether members hear this one.
  std::uint64_t token = 0;
  int terms = 0;
  std::string lost;

private:
  TimePoint now_{ std::chrono::hours(1) };
  LeaderElection election_;
  std::vector<Heartbeat> heard_;
  std::map<std::string, std::uint64_t> last_; //!< Beat sent, by member.
  ElectionEffects kept_;
};

struct ElectionRow
{
  const char* guardsAgainst;
  void (*play)(Bench&);
  std::string_view leader;
  bool leads;
};

constexpr std::uint64_t kHighToken = std::uint64_t{ 1800000000 } << 16U;

const ElectionRow kElectionRows[] = {
  { "a leader before others could be found",
    [](Bench& aBench) { aBench.Wait(200); },
    "",
    false },
  { "nobody leading a daemon that is alone",
    [](Bench& aBench) { aBench.Wait(1000); },
    "self",
    true },
  { "leading beside a larger daemon that may lead",
    [](Bench& aBench) {
      aBench.Hear("large", 2, 0);
      aBench.Wait(1000);
    },
    "",
    false },
  { "not following a leader",
    [](Bench& aBench) {
      aBench.Hear("large", 2, 7);
      aBench.Wait(1000);
    },
    "large",
    false },
  { "two leaders that see each other",
    [](Bench& aBench) {
      aBench.Wait(1000);
      aBench.Hear("large", 2, 7);
      aBench.Wait(300);
    },
    "large",
    false },
  { "yielding to a smaller daemon for its higher token",
    [](Bench& aBench) {
      aBench.Wait(1000);
      aBench.Hear("small", 0.5, kHighToken);
      aBench.Wait(300);
    },
    "self",
    true },
  { "keeping a leader that fell silent",
    [](Bench& aBench) {
      aBench.Hear("large", 2, 7);
      aBench.Wait(1000);
      aBench.Silence();
      aBench.Wait(1000);
    },
    "self",
    true },
  { "keeping a leader that does not hear this daemon",
    [](Bench& aBench) {
      aBench.Hear("large", 2, 7);
      aBench.Wait(1000);
      aBench.echoes = false;
      aBench.Wait(1000);
    },
    "self",
    true },
  { "leading on after another leader took the endpoints of a minority",
    [](Bench& aBench) {
      aBench.Hear("b", 0.5, 0);
      aBench.Hear("c", 0.5, 0);
      aBench.Wait(1000);
      aBench.Silence();
      aBench.Wait(1000);
      aBench.Note(aBench.Election().OnFenced());
    },
    "",
    false },
  { "members of a fenced minority that lead one after the other",
    [](Bench& aBench) {
      aBench.Hear("b", 2, 0);
      aBench.Hear("c", 0.5, 0);
      aBench.Hear("d", 0.5, 0);
      aBench.Hear("e", 0.5, 0);
      aBench.Wait(1000);
      aBench.HearOnlyFirst();
      aBench.Wait(500);
      aBench.HearFenced(2000);
      aBench.Wait(1500);
    },
    "",
    false },
  { "a majority that gives up its endpoints",
    [](Bench& aBench) {
      aBench.Hear("b", 0.5, 0);
      aBench.Hear("c", 0.5, 0);
      aBench.Wait(1000);
      aBench.Note(aBench.Election().OnFenced());
    },
    "self",
    true },
  { "one of many that hears nobody and takes the endpoints of the rest",
    [](Bench& aBench) {
      aBench.HearMany(15);
      aBench.Wait(1500);
      aBench.Silence();
      aBench.Wait(1000);
    },
    "",
    false },
  { "a leader that lost all of many others and holds on to the endpoints",
    [](Bench& aBench) {
      aBench.HearMany(15);
      aBench.Wait(1500);
      CHECK(aBench.Election().IsLeading());
      aBench.Silence();
      aBench.Wait(500);
    },
    "",
    false },
  { "nobody leading after all others lost power",
    [](Bench& aBench) {
      aBench.HearMany(15);
      aBench.Wait(1500);
      aBench.Silence();
      aBench.Wait(4000);
    },
    "self",
    true },
  { "refusing work for want of a processor while a larger daemon is idle",
    [](Bench& aBench) {
      aBench.Wait(1000);
      aBench.Hear("large", 2, 0);
      aBench.Election().SetShedShare(0.5);
      aBench.Wait(1500);
    },
    "",
    false },
  { "giving up for a larger daemon that has only just come",
    [](Bench& aBench) {
      aBench.Wait(1000);
      aBench.Election().SetShedShare(0.5);
      aBench.Wait(2000);
      aBench.Hear("large", 2, 0);
      aBench.Wait(500);
    },
    "self",
    true },
  { "a new leader without need",
    [](Bench& aBench) {
      aBench.Wait(1000);
      aBench.Hear("large", 2, 0);
      aBench.Wait(3000);
    },
    "self",
    true },
  { "a new leader after a moment's load",
    [](Bench& aBench) {
      aBench.Wait(1000);
      aBench.Hear("large", 2, 0);
      aBench.Election().SetShedShare(0.5);
      aBench.Wait(500);
      aBench.Election().SetShedShare(0);
      aBench.Wait(500);
      aBench.Election().SetShedShare(0.5);
      aBench.Wait(700);
    },
    "self",
    true },
  { "passing the lead around among daemons that are no larger",
    [](Bench& aBench) {
      aBench.Wait(1000);
      aBench.Hear("equal", 1, 0);
      aBench.Hear("small", 0.5, 0);
      aBench.Election().SetShedShare(0.5);
      aBench.Wait(3000);
    },
    "self",
    true },
  { "no leader at all while the larger daemon may not lead",
    [](Bench& aBench) {
      aBench.Wait(1000);
      aBench.Hear("large", 2, 0);
      aBench.HearFenced(0);
      aBench.Election().SetShedShare(0.5);
      aBench.Wait(3000);
    },
    "self",
    true },
  { "leading while it stops",
    [](Bench& aBench) {
      aBench.Wait(1000);
      aBench.Note(aBench.Election().Leave());
      aBench.Wait(1000);
    },
    "",
    false },
  { "leading without endpoints",
    [](Bench& aBench) {
      aBench.Wait(1000);
      aBench.Note(aBench.Election().SetCanLead(false, "no endpoints"));
      aBench.Wait(1000);
    },
    "",
    false },
};

}

TEST_GROUP(LeaderElection){};

TEST(LeaderElection, ChoosesOneLeader)
{
  for (const ElectionRow& row : kElectionRows) {
    Bench bench;
    row.play(bench);
    STRCMP_EQUAL_TEXT(std::string(row.leader).c_str(),
                      bench.Election().Leader().c_str(),
                      row.guardsAgainst);
    CHECK_EQUAL_TEXT(
      row.leads, bench.Election().IsLeading(), row.guardsAgainst);
    CHECK_EQUAL_TEXT(row.leads, bench.token != 0, row.guardsAgainst);
  }
}

TEST(LeaderElection, FindsAHigherTokenInFewTerms)
{
  Bench bench;
  bench.Wait(1000);
  // An endpoint obeys a token 5,000 rounds ahead that nobody alive knows.
  const std::uint64_t wanted = bench.token + (std::uint64_t{ 5000 } << 16U);
  for (int step = 0; bench.token < wanted && step < 200; ++step) {
    bench.Note(bench.Election().OnFenced());
    bench.Wait(25);
  }
  CHECK(bench.token >= wanted);
  CHECK(bench.terms <= 16);
}

TEST(LeaderElection, RaisesItsTokenOverOneThatItSees)
{
  Bench bench;
  bench.Wait(1000);
  bench.Hear("small", 0.5, kHighToken);
  bench.Wait(100);
  CHECK(bench.token > kHighToken);
}

// Each term costs a look at each endpoint: leaders that hear of each other only
// through others must not outbid each other with each beat.
TEST(LeaderElection, OutbidsAnUnseenLeaderInFewTerms)
{
  Bench bench;
  bench.Hear("b", 0.5, 0);
  bench.Wait(1000);
  const int before = bench.terms;
  for (int step = 0; step < 40; ++step) {
    bench.RaiseTokens();
    bench.Wait(25);
  }
  CHECK(bench.terms > before);
  CHECK(bench.terms - before <= 8);
}

// What a daemon knows of its endpoints is of no meaning to others before it
// starts work there.
TEST(LeaderElection, TellsItsEndpointsWhileItLeads)
{
  Bench bench;
  bench.Hear("large", 2, 7);
  bench.Election().SetInUse({ 10, 8 });
  bench.Wait(1000);
  LONGS_EQUAL(0, bench.lastHeartbeat.inUse.listedBy);
  bench.Silence();
  bench.Wait(1000);
  CHECK(bench.Election().IsLeading());
  LONGS_EQUAL(10, bench.lastHeartbeat.inUse.listedBy);
  LONGS_EQUAL(8, bench.lastHeartbeat.inUse.leftFrom);
}

TEST(LeaderElection, ReportsLostMembersOnce)
{
  Bench bench;
  bench.Hear("b", 0.5, 0);
  bench.Wait(1000);
  bench.Silence();
  bench.Note(bench.Election().OnLinkLost("b"));
  bench.Wait(1000);
  STRCMP_EQUAL("b", bench.lost.c_str());
}
