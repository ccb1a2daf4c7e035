// A connection between two daemons may go silent without an error, in one or
// both directions, while a new connection would work.
#include "hemlockhaven/leadership/LeaderElection.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace hemlockhaven;

namespace {

Duration Ms(std::int64_t aMilliseconds)
{
  return std::chrono::milliseconds(aMilliseconds);
}

//! Daemons with a link from each to each, in virtual time.
class LinkedElections
{
public:
  explicit LinkedElections(std::size_t aCount)
    : alive_(aCount, true)
  {
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < aCount; ++i) {
      seeds.push_back(Name(i));
    }
    for (std::size_t i = 0; i < aCount; ++i) {
      // Daemon 0 is preferred, then 1, and so on.
      Member self{ Name(i), Name(i), "a", double(aCount - i), 1 };
      elections_.push_back(std::make_unique<LeaderElection>(
        self,
        ElectionParameters(),
        [this] { return now_; },
        [] { return std::int64_t{ 1700000000000 }; }));
      elections_[i]->SetSeeds(seeds);
      elections_[i]->SetCanLead(true, "");
    }
  }

  //! Nothing arrives on the link until it has opened anew aReopenings times.
  void Silence(std::size_t aFrom, std::size_t aTo, int aReopenings)
  {
    silent_[{ aFrom, aTo }] = aReopenings;
  }
  void SilenceAll(int aReopenings)
  {
    for (std::size_t from = 0; from < elections_.size(); ++from) {
      for (std::size_t to = 0; to < elections_.size(); ++to) {
        Silence(from, to, aReopenings);
      }
    }
  }
  void Kill(std::size_t aDaemon) { alive_[aDaemon] = false; }

  void Advance(std::int64_t aMilliseconds)
  {
    for (std::int64_t elapsedMs = 0; elapsedMs < aMilliseconds;
         elapsedMs += 25) {
      now_ += Ms(25);
      for (std::size_t i = 0; i < elections_.size(); ++i) {
        if (alive_[i]) {
          Apply(i, elections_[i]->Tick());
        }
      }
    }
  }

  //! Whether one daemon leads and all others follow it.
  bool IsSettled() const
  {
    std::size_t leaders = 0;
    std::string followed;
    for (std::size_t i = 0; i < elections_.size(); ++i) {
      if (!alive_[i]) {
        continue;
      }
      leaders += elections_[i]->IsLeading() ? 1 : 0;
      if (followed.empty()) {
        followed = elections_[i]->Leader();
      }
      if (followed.empty() || elections_[i]->Leader() != followed) {
        return false;
      }
    }
    return leaders == 1;
  }

  int terms = 0;
  std::size_t reopenings = 0;
  std::size_t mostReopeningsAtOnce = 0; //!< In one step of 25 ms.

private:
  static std::string Name(std::size_t aIndex)
  {
    return "d" + std::to_string(aIndex);
  }
  static std::size_t IndexOf(const Member& aMember)
  {
    return std::stoul(aMember.address.substr(1));
  }

  void Apply(std::size_t aFrom, const ElectionEffects& aEffects)
  {
    terms += aEffects.termToken ? 1 : 0;
    for (const Member& member : aEffects.silentLinks) {
      ++reopenings;
      reopeningsNow_ = now_ == lastReopeningAt_ ? reopeningsNow_ + 1 : 1;
      lastReopeningAt_ = now_;
      mostReopeningsAtOnce = std::max(mostReopeningsAtOnce, reopeningsNow_);
      const auto found = silent_.find({ aFrom, IndexOf(member) });
      if (found != silent_.end() && --found->second <= 0) {
        silent_.erase(found);
      }
    }
    for (const auto& [member, heartbeat] : aEffects.heartbeats) {
      const std::size_t to = IndexOf(member);
      if (alive_[to] && silent_.count({ aFrom, to }) == 0) {
        Apply(to, elections_[to]->OnHeartbeat(heartbeat));
      }
    }
  }

  TimePoint now_{ std::chrono::hours(1) };
  std::vector<std::unique_ptr<LeaderElection>> elections_;
  std::vector<bool> alive_;
  //! Reopenings that remain, by the daemons that the link comes from and goes
  //! to.
  std::map<std::pair<std::size_t, std::size_t>, int> silent_;
  TimePoint lastReopeningAt_{};
  std::size_t reopeningsNow_ = 0;
};

struct SilentLinkRow
{
  const char* guardsAgainst;
  std::size_t daemons;
  std::function<void(LinkedElections&)> fault;
  std::int64_t settledAfterMs;
};

const SilentLinkRow kSilentLinkRows[] = {
  { "two leaders after the link to the leader goes silent",
    3,
    [](LinkedElections& aElections) { aElections.Silence(1, 0, 1); },
    4000 },
  { "two leaders after the link of the leader goes silent",
    3,
    [](LinkedElections& aElections) { aElections.Silence(0, 1, 1); },
    4000 },
  { "two leaders after both links between them go silent",
    3,
    [](LinkedElections& aElections) {
      aElections.Silence(0, 1, 1);
      aElections.Silence(1, 0, 1);
    },
    4000 },
  { "daemons that each lead by themselves after all links go silent",
    8,
    [](LinkedElections& aElections) { aElections.SilenceAll(1); },
    4000 },
  { "the same in a large group",
    24,
    [](LinkedElections& aElections) { aElections.SilenceAll(1); },
    5000 },
  { "giving up when a link goes silent again after it was opened anew",
    3,
    [](LinkedElections& aElections) { aElections.Silence(1, 0, 3); },
    16000 },
};

}

TEST_GROUP(SilentLink){};

TEST(SilentLink, OpensAnew)
{
  for (const SilentLinkRow& row : kSilentLinkRows) {
    LinkedElections elections(row.daemons);
    elections.Advance(6000);
    CHECK_TEXT(elections.IsSettled(), row.guardsAgainst);
    LONGS_EQUAL_TEXT(0, elections.reopenings, row.guardsAgainst);
    row.fault(elections);
    elections.Advance(row.settledAfterMs);
    CHECK_TEXT(elections.IsSettled(), row.guardsAgainst);
    elections.terms = 0;
    elections.Advance(10000);
    CHECK_TEXT(elections.IsSettled(), row.guardsAgainst);
    LONGS_EQUAL_TEXT(0, elections.terms, row.guardsAgainst);
  }
}

// Attempts to reach daemons that are gone must not fill the links of the
// others.
TEST(SilentLink, IsOpenedAnewAtAModerateRate)
{
  constexpr std::size_t kDaemons = 24;
  constexpr std::size_t kGone = 8;
  constexpr std::size_t kSurvivors = kDaemons - kGone;
  LinkedElections elections(kDaemons);
  elections.Advance(6000);
  for (std::size_t i = 0; i < kGone; ++i) {
    elections.Kill(i);
  }
  elections.Advance(60000);
  CHECK(elections.IsSettled());
  // 1, 2, 4 and from then on 8 s: at most ten times in a minute for each link.
  CHECK(elections.reopenings <= kGone * kSurvivors * 10);
  CHECK(elections.reopenings >= kGone * kSurvivors * 4);
  CHECK(elections.mostReopeningsAtOnce < kGone * kSurvivors / 4);
}
