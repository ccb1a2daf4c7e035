// Replies of endpoints are decoded in one pass where they are plain, else by
// the general decoder. Guards against a reply that the two decode differently:
// a run that one of them misses would be started again.
#include "platform/ReplyScanner.h"

#include "hemlockhaven/fleet/Dice.h"
#include "platform/EndpointCommandClient.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace hemlockhaven;

namespace {

struct Row
{
  const char* guardsAgainst;
  std::string body;
  bool isPlain;
};

const Row kRows[] = {
  { "replies that always take the slow way",
    R"({"clock_ms":9,"born":3,"running":[["w.0.0.1",2,"",41,0]],)"
    R"("finished":[[58,"w.0.0.9",1,"done",""],[59,"w.0.1.0",3,"lapsed"]]})",
    true },
  { "white space, unknown members and fractions",
    "{ \"clock_ms\" : 9,\n\"load\": [0.5, {\"a\": -1, \"b\": null}], "
    "\"running\": [ [\"w.0.0.1\", 2, \"\", 41.25, true] ], \"finished\": [ ] }",
    true },
  { "a run without its number",
    R"({"clock_ms":9,"running":[["w.0.0.1"]],"finished":[]})",
    false },
  { "an end without its outcome",
    R"({"clock_ms":9,"running":[],"finished":[[58,"w.0.0.9",1]]})",
    false },
  { "a reply without its runs", R"({"clock_ms":9,"finished":[]})", false },
  { "repeated members",
    R"({"clock_ms":9,"clock_ms":8,"running":[],"finished":[]})",
    false },
  { "escapes",
    R"({"clock_ms":9,"running":[["\u0077.0.0.1",2]],"finished":[]})",
    false },
  { "numbers out of range",
    R"({"clock_ms":1234567890123456789,"running":[],"finished":[]})",
    false },
  { "bytes after the reply",
    R"({"clock_ms":9,"running":[],"finished":[]}})",
    false },
  { "a reply that breaks off",
    R"({"clock_ms":9,"running":[],"finished":[[58)",
    false },
  { "an empty reply", "", false },
};

bool AreEqual(const PollReport& aLeft, const PollReport& aRight)
{
  bool isEqual = aLeft.clockMs == aRight.clockMs &&
                 aLeft.incarnationStartMs == aRight.incarnationStartMs &&
                 aLeft.running.size() == aRight.running.size() &&
                 aLeft.ended.size() == aRight.ended.size();
  for (std::size_t i = 0; isEqual && i < aLeft.running.size(); ++i) {
    isEqual = aLeft.running[i].task == aRight.running[i].task &&
              aLeft.running[i].run == aRight.running[i].run;
  }
  for (std::size_t i = 0; isEqual && i < aLeft.ended.size(); ++i) {
    isEqual = aLeft.ended[i].position == aRight.ended[i].position &&
              aLeft.ended[i].outcome == aRight.ended[i].outcome &&
              aLeft.ended[i].run.run == aRight.ended[i].run.run &&
              aLeft.ended[i].run.task == aRight.ended[i].run.task;
  }
  return isEqual;
}

//! Whether the general decoder accepts the body with this result.
bool IsConfirmed(const std::string& aBody, const PollReport& aReport)
{
  // A member that only the general decoder takes.
  HttpResult result;
  result.end = HttpOutcome::Answered;
  result.status = 200;
  result.body = aBody.substr(0, aBody.rfind('}')) + ",\"other\":1e0}";
  const PollResult decoded = Platform::Detail::DecodePollResult(result);
  return !Platform::Detail::ScanPollReport(result.body) &&
         decoded.outcome == CommandOutcome::Accepted &&
         AreEqual(decoded.report, aReport);
}

}

TEST_GROUP(ReplyScanner){};

TEST(ReplyScanner, TakesPlainRepliesOnly)
{
  for (const Row& row : kRows) {
    const auto report = Platform::Detail::ScanPollReport(row.body);
    CHECK_EQUAL_TEXT(row.isPlain, report.has_value(), row.guardsAgainst);
    CHECK_TEXT(!report || IsConfirmed(row.body, *report), row.guardsAgainst);
  }
}

TEST(ReplyScanner, AgreesWithTheGeneralDecoder)
{
  constexpr std::string_view kBytes = "\"\\[]{},:.0123456789-eE atn\x01\xC3";
  constexpr int kChanges = 20000;
  Dice dice(1);
  for (const Row& row : kRows) {
    for (int change = 0; change < kChanges && !row.body.empty(); ++change) {
      std::string body = row.body;
      for (std::uint64_t i = 1 + dice.Next() % 2; i > 0; --i) {
        const std::size_t at = dice.Next() % body.size();
        const char byte = kBytes[dice.Next() % kBytes.size()];
        if (dice.Next() % 2 == 0) {
          body[at] = byte;
        } else {
          body.insert(at, 1, byte);
        }
      }
      if (const auto report = Platform::Detail::ScanPollReport(body)) {
        CHECK_TEXT(IsConfirmed(body, *report), body.c_str());
      }
    }
  }
}
