// Each caller of a query must get one answer in bounded time, and a job may
// only be denied if each leader that was asked has denied it.
#include "hemlockhaven/front/JobQueries.h"

#include <functional>
#include <string>
#include <vector>

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

//! Queries of one daemon; records the effects of each call.
class QueriesFixture
{
public:
  QueriesFixture()
    : queries_([this] { return now_; })
  {
  }

  //! Sets the known leaders by their names, one letter each. Their term is 5.
  void SetLeaders(const std::string& aNames)
  {
    leaders_.clear();
    for (const char name : aNames) {
      leaders_.push_back({ std::string(1, name), 1, 5 });
    }
    Apply(queries_.Update(leaders_));
  }
  void Open(JobQueryKind aKind = JobQueryKind::Cancel,
            Duration aTimeout = std::chrono::seconds(8))
  {
    Apply(queries_.Open(
      aKind, "w", leaders_, aTimeout, [this](const JobAnswer& aAnswer) {
        ++answerCount;
        answers += std::string(NameOf(aAnswer.state)) + " ";
      }));
  }
  void Reply(const std::string& aLeader,
             JobState aState,
             std::uint64_t aTerm = 5,
             std::uint64_t aQueryId = 1)
  {
    const std::uint64_t term = aState == JobState::NotLeading ? 0 : aTerm;
    Apply(queries_.OnReply(aLeader, { aQueryId, aState, term }));
  }
  void Advance(std::int64_t aMilliseconds)
  {
    now_ += std::chrono::milliseconds(aMilliseconds);
    Apply(queries_.Update(leaders_));
  }
  std::size_t OpenCount() const { return queries_.OpenCount(); }

  std::string asked; //!< Names of the leaders that were asked, in order.
  std::string answers;
  int answerCount = 0;
  std::string rejections; //!< Reasons of replies that were left out.
  std::string unavailable;
  std::size_t confirmed = 0; //!< Cancels.

private:
  void Apply(const JobQueryEffects& aEffects)
  {
    for (const auto& message : aEffects.messages) {
      asked += message.leader;
    }
    for (const auto& [hook, answer] : aEffects.answers) {
      hook(answer);
    }
    for (const Decision& decision : aEffects.decisions) {
      rejections +=
        decision.outcome == "reply left out" ? decision.detail + ", " : "";
      unavailable += decision.outcome == "unavailable" ? decision.detail : "";
    }
    confirmed += aEffects.confirmedCancels.size();
  }

  TimePoint now_{ std::chrono::hours(1) };
  JobQueries queries_;
  std::vector<KnownLeader> leaders_;
};

struct QueryRow
{
  const char* guardsAgainst;
  std::function<void(QueriesFixture&)> run;
  const char* asked;
  const char* answers;
  std::size_t confirmed;
  const char* rejections = "";
  const char* unavailable = "";
};

const QueryRow kQueryRows[] = {
  { "an answer that does not reach its caller",
    [](QueriesFixture& aFixture) {
      aFixture.SetLeaders("a");
      aFixture.Open();
      aFixture.Reply("a", JobState::Cancelled);
    },
    "a",
    "cancelled ",
    1 },
  { "a wait for a leader that may not come",
    [](QueriesFixture& aFixture) { aFixture.Open(); },
    "",
    "undecided ",
    0,
    "",
    "no leader is known" },
  { "a job that is denied by one of two leaders, and cancelled by the other",
    [](QueriesFixture& aFixture) {
      aFixture.SetLeaders("ab");
      aFixture.Open();
      aFixture.Reply("a", JobState::Unknown);
      aFixture.Reply("b", JobState::Cancelled);
    },
    "ab",
    "cancelled ",
    1 },
  { "a final answer that waits for the other leader",
    [](QueriesFixture& aFixture) {
      aFixture.SetLeaders("ab");
      aFixture.Open();
      aFixture.Reply("a", JobState::Running);
    },
    "ab",
    "running ",
    1 },
  { "a second answer",
    [](QueriesFixture& aFixture) {
      aFixture.SetLeaders("ab");
      aFixture.Open(JobQueryKind::State);
      aFixture.Reply("a", JobState::Queued);
      aFixture.Reply("b", JobState::Running);
      aFixture.Advance(1000);
    },
    "ab",
    "queued ",
    0,
    "the query is closed, " },
  { "a job that no leader knows and that is not denied",
    [](QueriesFixture& aFixture) {
      aFixture.SetLeaders("ab");
      aFixture.Open();
      aFixture.Reply("a", JobState::Unknown);
      aFixture.Reply("b", JobState::Unknown);
    },
    "ab",
    "unknown ",
    1 },
  { "a job that is denied though a leader could not tell",
    [](QueriesFixture& aFixture) {
      aFixture.SetLeaders("ab");
      aFixture.Open();
      aFixture.Reply("a", JobState::Undecided);
      aFixture.Reply("b", JobState::Unknown);
    },
    "ab",
    "undecided ",
    0,
    "",
    "the leader cannot tell yet" },
  { "a job that is denied though a leader has not replied",
    [](QueriesFixture& aFixture) {
      aFixture.SetLeaders("ab");
      aFixture.Open();
      aFixture.Reply("a", JobState::Unknown);
      aFixture.Advance(999);
      aFixture.Advance(1);
    },
    "ab",
    "undecided ",
    0,
    "",
    "no leader replied in time" },
  { "a reply that comes after the caller has given up",
    [](QueriesFixture& aFixture) {
      aFixture.SetLeaders("a");
      aFixture.Open(JobQueryKind::State, std::chrono::milliseconds(300));
      aFixture.Advance(300);
    },
    "a",
    "undecided ",
    0,
    "",
    "no leader replied in time" },
  { "a query that is lost with its leader",
    [](QueriesFixture& aFixture) {
      aFixture.SetLeaders("a");
      aFixture.Open();
      aFixture.SetLeaders("");
      aFixture.Advance(400);
      aFixture.SetLeaders("b");
      aFixture.Reply("b", JobState::Cancelled);
    },
    "ab",
    "cancelled ",
    1 },
  { "the same with a leader that has stepped down",
    [](QueriesFixture& aFixture) {
      aFixture.SetLeaders("a");
      aFixture.Open();
      aFixture.Reply("a", JobState::NotLeading);
      aFixture.SetLeaders("b");
      aFixture.Reply("b", JobState::Unknown);
    },
    "ab",
    "unknown ",
    1 },
  { "the same with a leader that restarts under its name",
    [](QueriesFixture& aFixture) {
      aFixture.SetLeaders("a");
      aFixture.Open();
      aFixture.SetLeaders("");
      aFixture.SetLeaders("a");
      aFixture.Reply("a", JobState::Cancelled);
    },
    "aa",
    "cancelled ",
    1 },
  { "a query that is sent on without end, or a job that is denied though no "
    "leader has replied",
    [](QueriesFixture& aFixture) {
      aFixture.SetLeaders("a");
      aFixture.Open();
      aFixture.SetLeaders("b");
      aFixture.SetLeaders("c");
      aFixture.SetLeaders("d");
    },
    "ab",
    "undecided ",
    0,
    "",
    "two leaders in a row were lost" },
  { "a job that is denied before the next leader of each part was asked",
    [](QueriesFixture& aFixture) {
      aFixture.SetLeaders("ab");
      aFixture.Open();
      aFixture.SetLeaders("");
      aFixture.SetLeaders("c");
      aFixture.Reply("c", JobState::Unknown);
      aFixture.SetLeaders("cd");
      aFixture.Reply("d", JobState::Running);
    },
    "abcd",
    "running ",
    1 },
  { "replies of others, of earlier terms and to no query that count",
    [](QueriesFixture& aFixture) {
      aFixture.SetLeaders("a");
      aFixture.Open();
      aFixture.Reply("b", JobState::Unknown);
      aFixture.Reply("a", JobState::Unknown, 4);
      aFixture.Reply("a", JobState::Unknown, 0);
      aFixture.Reply("a", JobState::Unknown, 5, 0);
      aFixture.Reply("a", JobState::Unknown, 5, 9);
      aFixture.Reply("a", JobState::Cancelled, 6);
    },
    "a",
    "cancelled ",
    1,
    "the sender was not asked, of an earlier term, malformed, malformed, "
    "the query is closed, " },
};

}

TEST_GROUP(JobQueries){};

TEST(JobQueries, AnswersEachCallerOnce)
{
  for (const QueryRow& row : kQueryRows) {
    QueriesFixture fixture;
    row.run(fixture);
    STRCMP_EQUAL_TEXT(row.asked, fixture.asked.c_str(), row.guardsAgainst);
    STRCMP_EQUAL_TEXT(row.answers, fixture.answers.c_str(), row.guardsAgainst);
    LONGS_EQUAL_TEXT(row.confirmed, fixture.confirmed, row.guardsAgainst);
    STRCMP_EQUAL_TEXT(
      row.rejections, fixture.rejections.c_str(), row.guardsAgainst);
    STRCMP_EQUAL_TEXT(
      row.unavailable, fixture.unavailable.c_str(), row.guardsAgainst);
    LONGS_EQUAL_TEXT(0, fixture.OpenCount(), row.guardsAgainst);
  }
}

// Queries to a leader that is silent must not take up memory without bound, and
// must not lock out later ones.
TEST(JobQueries, RefusesQueriesOverTheBound)
{
  QueriesFixture fixture;
  fixture.SetLeaders("a");
  const auto fill = [&fixture] {
    for (std::size_t i = 0; i < JobQueries::kMaxOpenQueries; ++i) {
      fixture.Open();
    }
  };
  fill();
  LONGS_EQUAL(0, fixture.answerCount);
  fixture.Open();
  LONGS_EQUAL(1, fixture.answerCount);
  STRCMP_EQUAL("too many open queries", fixture.unavailable.c_str());
  LONGS_EQUAL(JobQueries::kMaxOpenQueries, fixture.OpenCount());
  fixture.Advance(1000);
  LONGS_EQUAL(0, fixture.OpenCount());
  LONGS_EQUAL(JobQueries::kMaxOpenQueries + 1, fixture.answerCount);
  fill();
  LONGS_EQUAL(JobQueries::kMaxOpenQueries, fixture.OpenCount());
}
