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

//! An election in virtual time, with scripted heartbeats of other members.
class ElectionHarness
{
public:
  ElectionHarness()
    : election_(
        MakeMember("self", 1),
        ElectionParameters(),
        [this] { return now_; },
        [] { return std::int64_t{ 1700000000000 }; })
  {
    election_.SetCanLead(true, "");
  }

  void Advance(std::int64_t aMilliseconds)
  {
    for (std::int64_t elapsedMs = 0; elapsedMs < aMilliseconds;
         elapsedMs += 25) {
      now_ += Ms(25);
      for (const auto& [member, heartbeat] :
           Record(election_.Tick()).heartbeats) {
        lastSequence_[member.address] = heartbeat.sequence;
        ++sent[member.address];
        listedMembers += heartbeat.knownMembers.size();
      }
      for (Heartbeat& heartbeat : heartbeats_) {
        ++heartbeat.sequence;
        heartbeat.echo =
          membersEcho ? lastSequence_[heartbeat.from.address] : 0;
        Record(election_.OnHeartbeat(heartbeat));
      }
    }
  }

  //! Lets time pass without a tick.
  void Pass(std::int64_t aMilliseconds) { now_ += Ms(aMilliseconds); }

  //! Adds a member whose heartbeat arrives at each step, or replaces it.
  void HearFrom(const std::string& aName, double aCores, std::uint64_t aToken)
  {
    Heartbeat heartbeat;
    heartbeat.from = MakeMember(aName, aCores);
    heartbeat.leaderToken = aToken;
    heartbeat.canLead = true;
    for (Heartbeat& existing : heartbeats_) {
      if (existing.from.name == aName) {
        heartbeat.sequence = existing.sequence;
        existing = heartbeat;
        return;
      }
    }
    heartbeats_.push_back(heartbeat);
  }

  //! The member's process restarts; its clock has changed by so much since the
  //! last start.
  void RestartMember(const std::string& aName, std::int64_t aClockChange)
  {
    for (Heartbeat& heartbeat : heartbeats_) {
      if (heartbeat.from.name == aName) {
        heartbeat.from.incarnation += static_cast<std::uint64_t>(aClockChange);
        heartbeat.sequence = 0;
      }
    }
  }

  //! Adds members with fewer cores than this one.
  void HearFromSmallerMembers(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      HearFrom("m" + std::to_string(i), 0.5, 0);
    }
  }

  //! Members report that a leader they cannot reach has fenced them.
  void FenceMembers(std::int64_t aBackoffMs)
  {
    for (Heartbeat& heartbeat : heartbeats_) {
      heartbeat.canLead = false;
      heartbeat.electionBackoff = Ms(aBackoffMs);
    }
  }

  //! Members report a token one round above this daemon's.
  void RaiseTokens()
  {
    for (Heartbeat& heartbeat : heartbeats_) {
      heartbeat.highestToken = token + (std::uint64_t{ 1 } << 16U);
    }
  }

  //! Adds a member of another availability zone.
  void HearFromZone(const std::string& aZone,
                    const std::string& aName,
                    double aCores,
                    std::uint64_t aToken)
  {
    HearFrom(aName, aCores, aToken);
    heartbeats_.back().from.zone = aZone;
    heartbeats_.back().part = aZone;
  }

  //! All members announce this interval of their heartbeats.
  void AnnounceInterval(std::int64_t aMilliseconds)
  {
    for (Heartbeat& heartbeat : heartbeats_) {
      heartbeat.interval = Ms(aMilliseconds);
    }
  }

  //! All members so far expect no heartbeats from members of other parts.
  void DoNotWantReplies()
  {
    for (Heartbeat& heartbeat : heartbeats_) {
      heartbeat.wantsReply = false;
    }
  }

  void SilenceAll() { heartbeats_.clear(); }
  void KeepOnlyFirst()
  {
    away_.assign(heartbeats_.begin() + 1, heartbeats_.end());
    heartbeats_.resize(1);
  }
  //! The members that KeepOnlyFirst silenced are heard again.
  void ReturnAll()
  {
    heartbeats_.insert(heartbeats_.end(), away_.begin(), away_.end());
    away_.clear();
  }

  const ElectionEffects& Record(ElectionEffects aEffects)
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
    effects_ = std::move(aEffects);
    return effects_;
  }

  Heartbeat lastHeartbeat;

  LeaderElection& Election() { return election_; }

  bool membersEcho = true; //!< Whether members receive heartbeats.
  std::uint64_t token = 0;
  int terms = 0;
  std::map<std::string, int> sent; //!< Heartbeats, by address.
  std::size_t listedMembers = 0;   //!< In all heartbeats sent.
  std::string lost;

private:
  TimePoint now_{ std::chrono::hours(1) };
  LeaderElection election_;
  std::vector<Heartbeat> heartbeats_;
  std::vector<Heartbeat> away_;
  std::map<std::string, std::uint64_t> lastSequence_; //!< Sent, by address.
  ElectionEffects effects_;
};

struct ElectionRow
{
  const char* guardsAgainst;
  void (*run)(ElectionHarness&);
  std::string_view leader;
  bool isLeader;
};

constexpr std::uint64_t kHighToken = std::uint64_t{ 1800000000 } << 16U;

const ElectionRow kElectionRows[] = {
  { "leading before other members could be discovered",
    [](ElectionHarness& aHarness) { aHarness.Advance(200); },
    "",
    false },
  { "no leader in a cluster of one daemon",
    [](ElectionHarness& aHarness) { aHarness.Advance(1000); },
    "self",
    true },
  { "leading beside a larger daemon that may lead",
    [](ElectionHarness& aHarness) {
      aHarness.HearFrom("large", 2, 0);
      aHarness.Advance(1000);
    },
    "",
    false },
  { "not following an existing leader",
    [](ElectionHarness& aHarness) {
      aHarness.HearFrom("large", 2, 7);
      aHarness.Advance(1000);
    },
    "large",
    false },
  { "two leaders that reach each other",
    [](ElectionHarness& aHarness) {
      aHarness.Advance(1000);
      aHarness.HearFrom("large", 2, 7);
      aHarness.Advance(300);
    },
    "large",
    false },
  { "stepping down for a smaller daemon with a higher token",
    [](ElectionHarness& aHarness) {
      aHarness.Advance(1000);
      aHarness.HearFrom("small", 0.5, kHighToken);
      aHarness.Advance(300);
    },
    "self",
    true },
  { "keeping a leader that fell silent",
    [](ElectionHarness& aHarness) {
      aHarness.HearFrom("large", 2, 7);
      aHarness.Advance(1000);
      aHarness.SilenceAll();
      aHarness.Advance(1000);
    },
    "self",
    true },
  { "keeping a leader that does not hear this daemon",
    [](ElectionHarness& aHarness) {
      aHarness.HearFrom("large", 2, 7);
      aHarness.Advance(1000);
      aHarness.membersEcho = false;
      aHarness.Advance(1000);
    },
    "self",
    true },
  { "a minority that keeps leading after it was fenced",
    [](ElectionHarness& aHarness) {
      aHarness.HearFrom("b", 0.5, 0);
      aHarness.HearFrom("c", 0.5, 0);
      aHarness.Advance(1000);
      aHarness.SilenceAll();
      aHarness.Advance(1000);
      aHarness.Record(aHarness.Election().OnFenced());
    },
    "",
    false },
  { "members of a fenced minority that lead in turn",
    [](ElectionHarness& aHarness) {
      aHarness.HearFrom("b", 2, 0);
      aHarness.HearFrom("c", 0.5, 0);
      aHarness.HearFrom("d", 0.5, 0);
      aHarness.HearFrom("e", 0.5, 0);
      aHarness.Advance(1000);
      aHarness.KeepOnlyFirst();
      aHarness.Advance(500);
      aHarness.FenceMembers(2000);
      aHarness.Advance(1500);
    },
    "",
    false },
  { "a backoff that outlasts the partition",
    [](ElectionHarness& aHarness) {
      aHarness.HearFrom("b", 2, 0);
      aHarness.HearFrom("c", 0.5, 0);
      aHarness.HearFrom("d", 0.5, 0);
      aHarness.HearFrom("e", 0.5, 0);
      aHarness.Advance(1000);
      aHarness.KeepOnlyFirst();
      aHarness.Advance(500);
      aHarness.FenceMembers(8000);
      aHarness.Advance(500);
      CHECK_FALSE(aHarness.Election().IsLeading());
      aHarness.ReturnAll();
      aHarness.Advance(1000);
    },
    "self",
    true },
  { "ending a backoff before the other leader is heard again",
    [](ElectionHarness& aHarness) {
      aHarness.HearFrom("b", 2, 0);
      aHarness.HearFrom("c", 0.5, 0);
      aHarness.HearFrom("d", 0.5, 0);
      aHarness.HearFrom("e", 0.5, 0);
      aHarness.Advance(1000);
      aHarness.KeepOnlyFirst();
      aHarness.Advance(500);
      aHarness.FenceMembers(8000);
      aHarness.Advance(500);
      aHarness.ReturnAll();
      aHarness.Advance(200);
      aHarness.HearFrom("e", 0.5, 7);
      aHarness.Advance(1000);
    },
    "e",
    false },
  { "a majority that gives up its endpoints",
    [](ElectionHarness& aHarness) {
      aHarness.HearFrom("b", 0.5, 0);
      aHarness.HearFrom("c", 0.5, 0);
      aHarness.Advance(1000);
      aHarness.Record(aHarness.Election().OnFenced());
    },
    "self",
    true },
  { "an isolated member of a large group that fences the rest",
    [](ElectionHarness& aHarness) {
      aHarness.HearFromSmallerMembers(15);
      aHarness.Advance(1500);
      aHarness.SilenceAll();
      aHarness.Advance(1000);
    },
    "",
    false },
  { "an isolated leader of a large group that keeps its endpoints",
    [](ElectionHarness& aHarness) {
      aHarness.HearFromSmallerMembers(15);
      aHarness.Advance(1500);
      CHECK(aHarness.Election().IsLeading());
      aHarness.SilenceAll();
      aHarness.Advance(500);
    },
    "",
    false },
  { "no leader after all other members lost power",
    [](ElectionHarness& aHarness) {
      aHarness.HearFromSmallerMembers(15);
      aHarness.Advance(1500);
      aHarness.SilenceAll();
      aHarness.Advance(4000);
    },
    "self",
    true },
  { "shedding load while a larger daemon is idle",
    [](ElectionHarness& aHarness) {
      aHarness.Advance(1000);
      aHarness.HearFrom("large", 2, 0);
      aHarness.Election().SetShedShare(0.5);
      aHarness.Advance(1500);
    },
    "",
    false },
  { "stepping down for a larger daemon that has just joined",
    [](ElectionHarness& aHarness) {
      aHarness.Advance(1000);
      aHarness.Election().SetShedShare(0.5);
      aHarness.Advance(2000);
      aHarness.HearFrom("large", 2, 0);
      aHarness.Advance(500);
    },
    "self",
    true },
  { "a change of leader without overload",
    [](ElectionHarness& aHarness) {
      aHarness.Advance(1000);
      aHarness.HearFrom("large", 2, 0);
      aHarness.Advance(3000);
    },
    "self",
    true },
  { "a change of leader after a short overload",
    [](ElectionHarness& aHarness) {
      aHarness.Advance(1000);
      aHarness.HearFrom("large", 2, 0);
      aHarness.Election().SetShedShare(0.5);
      aHarness.Advance(500);
      aHarness.Election().SetShedShare(0);
      aHarness.Advance(500);
      aHarness.Election().SetShedShare(0.5);
      aHarness.Advance(700);
    },
    "self",
    true },
  { "stepping down for daemons that are not larger",
    [](ElectionHarness& aHarness) {
      aHarness.Advance(1000);
      aHarness.HearFrom("equal", 1, 0);
      aHarness.HearFrom("small", 0.5, 0);
      aHarness.Election().SetShedShare(0.5);
      aHarness.Advance(3000);
    },
    "self",
    true },
  { "no leader at all while the larger daemon may not lead",
    [](ElectionHarness& aHarness) {
      aHarness.Advance(1000);
      aHarness.HearFrom("large", 2, 0);
      aHarness.FenceMembers(0);
      aHarness.Election().SetShedShare(0.5);
      aHarness.Advance(3000);
    },
    "self",
    true },
  { "following the leader of another part",
    [](ElectionHarness& aHarness) {
      aHarness.Record(aHarness.Election().SetPart("a"));
      aHarness.HearFromZone("b", "large", 2, kHighToken);
      aHarness.Advance(1000);
    },
    "self",
    true },
  { "losing the leader of its own part to that of another",
    [](ElectionHarness& aHarness) {
      aHarness.Record(aHarness.Election().SetPart("a"));
      aHarness.HearFrom("own", 2, 7);
      aHarness.HearFromZone("b", "larger", 3, kHighToken);
      aHarness.Advance(1000);
    },
    "own",
    false },
  { "taking members of other parts for a majority that is away",
    [](ElectionHarness& aHarness) {
      aHarness.Record(aHarness.Election().SetPart("a"));
      aHarness.HearFrom("m", 0.5, 0);
      for (const char* name : { "b1", "b2", "b3", "b4", "b5" }) {
        aHarness.HearFromZone("b", name, 2, 0);
      }
      aHarness.Advance(1000);
      aHarness.KeepOnlyFirst();
      aHarness.Advance(4000);
      aHarness.Record(aHarness.Election().OnFenced());
    },
    "self",
    true },
  { "leading the endpoints of all zones after the list was divided",
    [](ElectionHarness& aHarness) {
      aHarness.Advance(1000);
      aHarness.Record(aHarness.Election().SetPart("a"));
    },
    "",
    false },
  { "no leader after the list was divided",
    [](ElectionHarness& aHarness) {
      aHarness.Advance(1000);
      aHarness.Record(aHarness.Election().SetPart("a"));
      aHarness.Advance(500);
    },
    "self",
    true },
  { "following the leader of another zone without the endpoint list",
    [](ElectionHarness& aHarness) {
      aHarness.Record(aHarness.Election().SetCanLead(false, ""));
      aHarness.HearFromZone("b", "large", 2, kHighToken);
      aHarness.Advance(1000);
    },
    "",
    false },
  { "leading at the moment of becoming able to, before others can say so",
    [](ElectionHarness& aHarness) {
      aHarness.Record(aHarness.Election().SetCanLead(false, ""));
      aHarness.Advance(1000);
      aHarness.Record(aHarness.Election().SetCanLead(true, ""));
      aHarness.Advance(100);
    },
    "",
    false },
  { "leading while stopping",
    [](ElectionHarness& aHarness) {
      aHarness.Advance(1000);
      aHarness.Record(aHarness.Election().Leave());
      aHarness.Advance(1000);
    },
    "",
    false },
  { "leading without endpoints",
    [](ElectionHarness& aHarness) {
      aHarness.Advance(1000);
      aHarness.Record(aHarness.Election().SetCanLead(false, "no endpoints"));
      aHarness.Advance(1000);
    },
    "",
    false },
};

}

TEST_GROUP(LeaderElection){};

TEST(LeaderElection, ChoosesOneLeader)
{
  for (const ElectionRow& row : kElectionRows) {
    ElectionHarness harness;
    row.run(harness);
    STRCMP_EQUAL_TEXT(std::string(row.leader).c_str(),
                      harness.Election().Leader().c_str(),
                      row.guardsAgainst);
    CHECK_EQUAL_TEXT(
      row.isLeader, harness.Election().IsLeading(), row.guardsAgainst);
    CHECK_EQUAL_TEXT(row.isLeader, harness.token != 0, row.guardsAgainst);
  }
}

TEST(LeaderElection, ReachesHigherTokenInFewTerms)
{
  ElectionHarness harness;
  harness.Advance(1000);
  // An endpoint obeys a token 5,000 rounds ahead, unknown to alive members.
  const std::uint64_t requiredToken =
    harness.token + (std::uint64_t{ 5000 } << 16U);
  for (int step = 0; harness.token < requiredToken && step < 200; ++step) {
    harness.Record(harness.Election().OnFenced());
    harness.Advance(25);
  }
  CHECK(harness.token >= requiredToken);
  CHECK(harness.terms <= 16);
}

TEST(LeaderElection, RaisesTokenAboveVisibleLeader)
{
  ElectionHarness harness;
  harness.Advance(1000);
  harness.HearFrom("small", 0.5, kHighToken);
  harness.Advance(100);
  CHECK(harness.token > kHighToken);
}

// Each term costs a poll of every endpoint, so leaders that know of each other
// only through other members must not outbid each other with every heartbeat.
TEST(LeaderElection, OutbidsUnreachableLeaderInFewTerms)
{
  ElectionHarness harness;
  harness.HearFrom("b", 0.5, 0);
  harness.Advance(1000);
  const int before = harness.terms;
  for (int step = 0; step < 40; ++step) {
    harness.RaiseTokens();
    harness.Advance(25);
  }
  CHECK(harness.terms > before);
  CHECK(harness.terms - before <= 8);
}

// Without an end to it, all daemons of a deployment would exchange heartbeats
// with all others, which grows with the square of their number.
TEST(LeaderElection, SendsNothingToMembersOfOtherPartsThatDoNotLead)
{
  ElectionHarness harness;
  harness.Record(harness.Election().SetPart("a"));
  harness.HearFrom("own", 2, 7); // Leads this daemon's part.
  harness.HearFromZone("b", "quiet", 1, 0);
  harness.DoNotWantReplies();
  harness.HearFromZone("b", "leading", 1, 9);
  harness.Advance(8000);
  harness.sent.clear();
  harness.Advance(7000);
  LONGS_EQUAL(0, harness.sent["quiet"]);
  CHECK(harness.sent["leading"] >= 9 && harness.sent["leading"] <= 11);
  CHECK(harness.sent["own"] > 60);
}

// A list of all members in each heartbeat fills the links of a large group.
TEST(LeaderElection, ListsEachMemberOnceInALargeGroup)
{
  ElectionHarness harness;
  harness.HearFromSmallerMembers(20);
  harness.Advance(5000);
  harness.listedMembers = 0;
  harness.Advance(5000);
  LONGS_EQUAL(0, harness.listedMembers);
  harness.HearFrom("new", 0.5, 0);
  harness.Advance(5000);
  // 20 members learn of the new one, and the new one of all, itself included.
  LONGS_EQUAL(20 + 21, harness.listedMembers);
}

// A daemon that does not lead starts no work, so its heartbeats must not report
// endpoints in use.
TEST(LeaderElection, SendsEndpointsInUseOnlyWhileLeading)
{
  ElectionHarness harness;
  harness.HearFrom("large", 2, 7);
  harness.Election().SetEndpointsInUse({ 10, 8 });
  harness.Advance(1000);
  LONGS_EQUAL(0, harness.lastHeartbeat.endpointsInUse.listedBy);
  harness.SilenceAll();
  harness.Advance(1000);
  CHECK(harness.Election().IsLeading());
  LONGS_EQUAL(10, harness.lastHeartbeat.endpointsInUse.listedBy);
  LONGS_EQUAL(8, harness.lastHeartbeat.endpointsInUse.leftFrom);
}

namespace {

struct RestartRow
{
  const char* guardsAgainst;
  std::int64_t clockChange; //!< Between the starts of the member's processes.
};

constexpr RestartRow kRestartRows[] = {
  { "keeping the state of a process that has ended", 1000 },
  { "ignoring a process for good that started before its clock stepped back",
    -1000 },
};

}

TEST(LeaderElection, HearsRestartedMembers)
{
  constexpr std::uint64_t kFirstIncarnation = 5000;
  for (const RestartRow& row : kRestartRows) {
    ElectionHarness harness;
    harness.HearFrom("m1", 0.5, 0);
    harness.RestartMember("m1", kFirstIncarnation);
    harness.Advance(1000);
    LONGS_EQUAL_TEXT(
      1, harness.Election().AliveMemberCount(), row.guardsAgainst);
    harness.RestartMember("m1", row.clockChange);
    harness.Advance(1500);
    LONGS_EQUAL_TEXT(
      1, harness.Election().AliveMemberCount(), row.guardsAgainst);
  }
}

TEST(LeaderElection, ReportsLostMembersOnce)
{
  ElectionHarness harness;
  harness.HearFrom("b", 0.5, 0);
  harness.Advance(1000);
  harness.SilenceAll();
  harness.Record(harness.Election().OnLinkLost("b"));
  harness.Advance(1000);
  STRCMP_EQUAL("b", harness.lost.c_str());
}

// It takes this daemon for its leader as soon as it hears it, and may hand work
// in before it has echoed anything.
TEST(LeaderElection, ReportsMembersLostThatWereNeverAlive)
{
  ElectionHarness harness;
  harness.Advance(1000);
  harness.membersEcho = false;
  harness.HearFrom("b", 0.5, 0);
  harness.Advance(100);
  CHECK_FALSE(harness.Election().IsLost("b"));
  harness.SilenceAll();
  harness.Advance(1000);
  CHECK(harness.Election().IsLost("b"));
  STRCMP_EQUAL("b", harness.lost.c_str());
}

namespace {

struct ReturnedMemberRow
{
  const char* guardsAgainst;
  std::int64_t
    intervalMs; //!< Announced by the heartbeat with which it returns.
};

constexpr ReturnedMemberRow kReturnedMemberRows[] = {
  { "keeping the work of a member that is cut off", 70 },
  { "keeping it for longer after a cut that comes right after its return, when "
    "its only heartbeat still announced the slow interval",
    700 },
};

}

// The next leader starts the tasks of a lost entry VM again once the leases of
// this leader have expired.
TEST(LeaderElection, LosesReturnedMembersInTimeWhileItLeads)
{
  for (const ReturnedMemberRow& row : kReturnedMemberRows) {
    ElectionHarness harness;
    harness.HearFromSmallerMembers(2);
    harness.AnnounceInterval(row.intervalMs);
    harness.Advance(2000);
    CHECK_TEXT(harness.token != 0, row.guardsAgainst);
    harness.KeepOnlyFirst();
    harness.Advance(5000);
    CHECK_TEXT(harness.Election().IsLost("m1"), row.guardsAgainst);
    harness.ReturnAll();
    for (int step = 0; step < 80 && harness.Election().IsLost("m1"); ++step) {
      harness.Advance(25);
    }
    CHECK_FALSE_TEXT(harness.Election().IsLost("m1"), row.guardsAgainst);
    harness.KeepOnlyFirst();
    harness.Advance(400);
    CHECK_TEXT(harness.Election().IsLost("m1"), row.guardsAgainst);
  }
}

//! A leader without a majority that is fenced when a higher token of its own is
//! due. Its schedulers would lead on, though the election does not.
TEST(LeaderElection, ReportsNoTermThatEndedInTheSameCall)
{
  ElectionHarness harness;
  harness.Advance(1000);
  harness.membersEcho = false;
  harness.HearFromSmallerMembers(2);
  for (int raise = 0; raise < 2; ++raise) {
    harness.RaiseTokens();
    harness.Advance(25);
  }
  CHECK(harness.Election().IsLeading());
  harness.Pass(50);
  const ElectionEffects effects = harness.Election().OnFenced();
  CHECK_FALSE(harness.Election().IsLeading());
  CHECK(effects.stepDownReason.has_value());
  CHECK_FALSE(effects.termToken.has_value());
}
