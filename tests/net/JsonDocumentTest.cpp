#include "net/JsonDocument.h"
#include "net/ConnectionMemory.h"

#include <memory>
#include <string>
#include <string_view>

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;
using nlohmann::json;

namespace {

std::string Times(std::size_t aCount, std::string_view aText)
{
  std::string text;
  for (std::size_t i = 0; i < aCount; ++i) {
    text += aText;
  }
  return text;
}

//! A text that must be read as json::parse reads it.
struct TextRow
{
  const char* guardsAgainst;
  std::string text;
};

const TextRow kTextRows[] = {
  { "nothing taken for a value", "" },
  { "an unfinished document taken for a whole one", R"({"a":[1,2)" },
  { "text behind a document ignored", "{} x" },
  { "a number without a value taken for one", "1e999" },
  { "bytes that are not UTF-8", "\"\xff\"" },
  { "a single value lost", " 12 " },
  { "a sign, a fraction or a large number lost",
    "[-1,0.5,18446744073709551615,-9223372036854775808]" },
  { "escapes left in texts", R"(["\u00e9\n\"", "\ud83d\ude00"])" },
  { "the first of two equal members kept", R"({"a":1,"a":{"b":2}})" },
  { "members mixed up after a nested value",
    R"({"a":{"b":[{"c":null},[]]},"d":true,"e":[[],{}]})" },
  { "the most levels refused",
    Times(kMaxJsonDepth, "[") + Times(kMaxJsonDepth, "]") },
};

//! A text with a budget for all connections.
struct BoundRow
{
  const char* guardsAgainst;
  std::string text;
  std::size_t budget;
  std::size_t held;  //!< Of the budget, by requests that wait.
  const char* error; //!< "": the document is built.
};

//! Of a VM with 64 MB, the least that the settings allow.
constexpr std::size_t kLeastBudget = 16000000;

const BoundRow kBoundRows[] = {
  { "an ordinary document refused",
    R"({"spec":"x","steps":[{"count":1}]})",
    kLeastBudget,
    kLeastBudget - 100000,
    "" },
  { "a text of a MiB refused",
    "\"" + std::string(1U << 20U, 'x') + "\"",
    kLeastBudget,
    0,
    "" },
  { "a stack frame for each of many levels",
    Times(500000, "[") + Times(500000, "]"),
    kLeastBudget,
    0,
    "malformed-request" },
  { "many levels of objects",
    Times(65, R"({"a":)") + "1" + Times(65, "}"),
    kLeastBudget,
    0,
    "malformed-request" },
  { "empty objects that take many times their text",
    "[" + Times(300000, "{},") + "0]",
    kLeastBudget,
    0,
    "body-too-large" },
  { "empty lists that take many times their text",
    "[" + Times(300000, "[],") + "0]",
    kLeastBudget,
    0,
    "body-too-large" },
  { "numbers that take many times their text",
    "[" + Times(500000, "0,") + "0]",
    kLeastBudget,
    0,
    "body-too-large" },
  { "members that take many times their text",
    "{" + Times(1000, R"("":0,)") + R"("":0})",
    200000,
    0,
    "body-too-large" },
  { "a document beyond what other requests have left",
    "[" + Times(10000, "{},") + "0]",
    kLeastBudget,
    kLeastBudget - 100000,
    "too-many-waiting" },
};

}

TEST_GROUP(JsonDocument){};

TEST(JsonDocument, ReadsWhatTheLibraryReads)
{
  for (const TextRow& row : kTextRows) {
    const json expected = json::parse(row.text, nullptr, false);
    const auto parsed = ParseJson(row.text, nullptr);
    CHECK_TEXT(parsed.has_value(), row.guardsAgainst);
    CHECK_TEXT(expected.is_discarded() ? parsed.value().is_discarded()
                                       : expected == parsed.value(),
               row.guardsAgainst);
  }
}

TEST(JsonDocument, StaysWithinTheBudget)
{
  for (const BoundRow& row : kBoundRows) {
    const auto memory = std::make_shared<ConnectionMemory>(row.budget);
    const auto waits =
      memory->Open(nullptr, TimePoint(), [](GiveWayCause) { FAIL("waits"); });
    CHECK(
      memory->Update(waits, ConnectionPhase::Waiting, row.held, TimePoint()));
    {
      MemoryReservation reservation(memory);
      const auto parsed = ParseJson(
        row.text, [&](std::size_t aBytes) { return reservation.Add(aBytes); });
      STRCMP_EQUAL_TEXT(
        row.error,
        parsed.has_error()
          ? std::string(ReasonName(parsed.error().reason)).c_str()
          : "",
        row.guardsAgainst);
      CHECK_TEXT(memory->ChargedBytes() <= row.budget, row.guardsAgainst);
      if (parsed.has_error()) {
        CHECK_TEXT(parsed.error().ran == Ran::NotRun, row.guardsAgainst);
        CHECK_EQUAL_TEXT(parsed.error().reason == Reason::TooManyWaiting,
                         parsed.error().retryAfter > Duration(0),
                         row.guardsAgainst);
      } else {
        CHECK_TEXT(reservation.Bytes() >= row.text.size(), row.guardsAgainst);
      }
    }
    LONGS_EQUAL_TEXT(row.held, memory->ChargedBytes(), row.guardsAgainst);
    memory->Close(waits);
  }
}
