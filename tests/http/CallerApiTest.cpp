#include "http/CallerApi.h"

#include "http/TestNode.h"

#include <string>
#include <thread>

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

constexpr std::string_view kBody = R"({"caller":"a","kind":"k","payload":"1"})";

//! A second PUT under the id of a first one with kBody.
struct RepeatRow
{
  const char* guardsAgainst;
  std::string_view body;
  unsigned status;
};

constexpr RepeatRow kRepeatRows[] = {
  { "a repeat that does not join", kBody, 200 },
  { "members in another order that count as another submission",
    R"({"payload":"1","kind":"k","caller":"a"})",
    200 },
  { "another payload that gets the first one's answer",
    R"({"caller":"a","kind":"k","payload":"2"})",
    409 },
  { "another caller that gets the first one's answer",
    R"({"caller":"b","kind":"k","payload":"1"})",
    409 },
  { "text that moves between fields",
    R"({"caller":"ak","kind":"","payload":"1"})",
    409 },
  { "a selector that is ignored",
    R"({"caller":"a","kind":"k","payload":"1","selector":"trade = canopy"})",
    409 },
  { "a deadline that is ignored",
    R"({"caller":"a","kind":"k","payload":"1","deadlineMs":5})",
    409 },
};

std::string PathOf(Node& aNode)
{
  return "/v1/requests/" + aNode.ReserveIds(1).value().Text();
}

std::string ReasonIn(const HttpReply& aReply)
{
  return aReply.body["error"].value("reason", "");
}

std::string RanIn(const HttpReply& aReply)
{
  return aReply.body["error"].value("ran", "");
}

}

TEST_GROUP(CallerApi)
{
  Summaries summaries;
};

TEST(CallerApi, RepeatsAreJoinedAsTheTableSays)
{
  TestNode test;
  CallerApi api(*test.node, summaries, {});
  for (const RepeatRow& row : kRepeatRows) {
    const std::string path = PathOf(*test.node);
    LONGS_EQUAL(200, api.Handle({ "PUT", path, "", kBody }).status);
    const HttpReply reply = api.Handle({ "PUT", path, "", row.body });
    LONGS_EQUAL_TEXT(row.status, reply.status, row.guardsAgainst);
    if (row.status == 409) {
      STRCMP_EQUAL("id-reused", ReasonIn(reply).c_str());
      STRCMP_EQUAL("not run", RanIn(reply).c_str());
    }
  }
  LONGS_EQUAL(5, test.node->Counts().RefusedCount(Reason::IdReused));
}

// Guards against a refusal that says "not run" after the work started, and
// against callers over the bound that hold a thread.
//! A request that needs memory beside its body.
struct MemoryRow
{
  const char* guardsAgainst;
  std::string selector; //!< Of a submission; empty: ids are asked for.
  ReserveOutcome outcome;
  unsigned status;
};

const MemoryRow kMemoryRows[] = {
  { "ids refused while there is memory", "", ReserveOutcome::Reserved, 200 },
  { "replies of many ids that nothing bounds",
    "",
    ReserveOutcome::Exhausted,
    429 },
  { "a long selector refused",
    "trade = canopy and x not in (" + std::string(16000, 'a') + ")",
    ReserveOutcome::Reserved,
    200 },
  { "a selector that costs time for each endpoint",
    "trade = canopy and x not in (" + std::string(17000, 'a') + ")",
    ReserveOutcome::Reserved,
    400 },
  { "a submission accepted without memory for it",
    "trade = canopy",
    ReserveOutcome::Exhausted,
    429 },
};

TEST(CallerApi, ReservesMemoryBeforeItIsUsed)
{
  for (const MemoryRow& row : kMemoryRows) {
    const TestNode test;
    CallerApi api(*test.node, summaries, {});
    const std::string body =
      R"({"caller":"a","kind":"k","payload":"1","selector":")" + row.selector +
      R"("})";
    const std::string path = PathOf(*test.node);
    HttpRequestView request =
      row.selector.empty()
        ? HttpRequestView{ "POST", "/v1/ids", "count=10000", "" }
        : HttpRequestView{ "PUT", path, "", body };
    request.reserve = [&row](std::size_t) { return row.outcome; };
    const HttpReply reply = api.Handle(request);
    LONGS_EQUAL_TEXT(row.status, reply.status, row.guardsAgainst);
    if (row.outcome == ReserveOutcome::Exhausted) {
      STRCMP_EQUAL_TEXT("not run", RanIn(reply).c_str(), row.guardsAgainst);
      CHECK_TEXT(reply.retryAfter > Duration(0), row.guardsAgainst);
    }
  }
}

// Guards against "not run" for a repeat whose first submission has run.
TEST(CallerApi, TellsTheTruthOfARepeatWithoutMemory)
{
  const TestNode test;
  CallerApi api(*test.node, summaries, {});
  const std::string path = PathOf(*test.node);
  LONGS_EQUAL(200, api.Handle({ "PUT", path, "", kBody }).status);
  HttpRequestView repeat{ "PUT", path, "", kBody };
  repeat.reserve = [](std::size_t) { return ReserveOutcome::Exhausted; };
  LONGS_EQUAL(200, api.Handle(repeat).status);
  HttpRequestView keyed{ "PUT", "/v1/requests", "key=a&epoch=0", kBody };
  keyed.reserve = repeat.reserve;
  STRCMP_EQUAL("unknown", RanIn(api.Handle(keyed)).c_str());
}

std::string LabelsOf(std::size_t aCount, std::size_t aValueBytes)
{
  std::string labels;
  for (std::size_t i = 0; i < aCount; ++i) {
    labels.append(labels.empty() ? "\"" : ",\"").append(std::to_string(i));
    labels.append("\":\"").append(aValueBytes, 'x').append("\"");
  }
  return R"("labels":{)" + labels + "}";
}

//! What accepted work keeps beside its payload.
struct KeptRow
{
  const char* guardsAgainst;
  std::string members; //!< Instead of the usual ones.
  unsigned status;
};

const KeptRow kKeptRows[] = {
  { "the most labels refused",
    R"("caller":"a","kind":"k",)" + LabelsOf(64, 60),
    200 },
  { "labels without a bound on their number",
    R"("caller":"a","kind":"k",)" + LabelsOf(65, 0),
    400 },
  { "labels without a bound on their bytes",
    R"("caller":"a","kind":"k",)" + LabelsOf(64, 64),
    400 },
  { "the longest names refused",
    R"("caller":")" + std::string(1024, 'a') + R"(","kind":")" +
      std::string(1024, 'k') + R"(")",
    200 },
  { "accounts by names without a bound",
    R"("caller":")" + std::string(1025, 'a') + R"(","kind":"k")",
    400 },
  { "learned times by names without a bound",
    R"("caller":"a","kind":")" + std::string(1025, 'k') + R"(")",
    400 },
};

TEST(CallerApi, BoundsWhatAcceptedWorkKeeps)
{
  for (const KeptRow& row : kKeptRows) {
    const TestNode test;
    CallerApi api(*test.node, summaries, {});
    const std::string body = "{" + row.members + R"(,"payload":"1"})";
    const std::string path = PathOf(*test.node);
    LONGS_EQUAL_TEXT(row.status,
                     api.Handle({ "PUT", path, "", body }).status,
                     row.guardsAgainst);
  }
}

TEST(CallerApi, RefusesCallersOverTheBoundBeforeTheyStart)
{
  TestNode test(false);
  CallerApi::Limits limits;
  limits.waitingCallers = 1;
  CallerApi api(*test.node, summaries, limits);
  const std::string first = PathOf(*test.node);
  HttpReply firstReply;
  std::thread waiter([&] {
    firstReply = api.Handle({ "PUT", first, "", kBody });
  });
  while (test.node->Dispatch().RunningCount() == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }

  const std::string second = PathOf(*test.node);
  const HttpReply refused = api.Handle({ "PUT", second, "", kBody });
  LONGS_EQUAL(429, refused.status);
  STRCMP_EQUAL("too-many-waiting", ReasonIn(refused).c_str());
  STRCMP_EQUAL("not run", RanIn(refused).c_str());
  CHECK(refused.retryAfter > Duration{ 0 });
  LONGS_EQUAL(1, test.node->Dispatch().RunningCount());

  // The first one runs: a repeat of it must not be told "not run".
  LONGS_EQUAL(202, api.Handle({ "PUT", first, "", kBody }).status);
  // Nothing is known here of another home's id.
  const HttpReply remote =
    api.Handle({ "PUT", "/v1/requests/vm-2.9.1", "", kBody });
  STRCMP_EQUAL("unknown", RanIn(remote).c_str());
  // Callers that do not wait are served.
  LONGS_EQUAL(202, api.Handle({ "GET", first, "", "" }).status);
  LONGS_EQUAL(202, api.Handle({ "PUT", second, "waitMs=0", kBody }).status);

  LONGS_EQUAL(2, test.AnswerHeld());
  waiter.join();
  LONGS_EQUAL(200, firstReply.status);
  LONGS_EQUAL(0, api.WaitingCount());
  LONGS_EQUAL(1, summaries.Read(Series::AnswerTime).count);
}
