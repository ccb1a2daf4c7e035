// An evacuation must not be missed or forgotten, whichever way the operator's
// records are read, and other records must not be taken for one.
#include "platform/ZoneEvacuations.h"

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>
#include <vector>

using namespace hemlockhaven;
using namespace hemlockhaven::Platform;

namespace {

struct Read
{
  bool isSnapshot;
  std::vector<KeyedRecord> records;
};

struct EvacuationsRow
{
  const char* guardsAgainst;
  std::vector<Read> reads;
  std::set<std::string> zones;
  std::size_t rejected;
};

const std::string kLongZone(ZoneEvacuations::kMaxZoneBytes + 1, 'z');

const EvacuationsRow kRows[] = {
  { "a missed evacuation",
    { { false, { { "evacuate/a", "{}" } } } },
    { "a" },
    0 },
  { "an evacuation in the first snapshot that is missed",
    { { true, { { "config", "{}" }, { "evacuate/a", "{}" } } } },
    { "a" },
    0 },
  { "an evacuation that outlives its record",
    { { false, { { "evacuate/a", "{}" } } },
      { false, { { "evacuate/a", std::nullopt } } } },
    {},
    0 },
  { "an evacuation that ends with records of other keys",
    { { false, { { "evacuate/a", "{}" } } },
      { false, { { "config", "{}" }, { "wave/1", std::nullopt } } } },
    { "a" },
    0 },
  { "an evacuation that ended while the history was lost",
    { { false, { { "evacuate/a", "{}" }, { "evacuate/b", "{}" } } },
      { true, { { "evacuate/b", "{}" } } } },
    { "b" },
    0 },
  { "an order of records that is not kept",
    { { false,
        { { "evacuate/a", "{}" },
          { "evacuate/a", std::nullopt },
          { "evacuate/a", "{}" } } } },
    { "a" },
    0 },
  { "an unreadable value that cancels the evacuation",
    { { false, { { "evacuate/a", "\xff[" } } } },
    { "a" },
    0 },
  { "keys that name no zone",
    { { false,
        { { "evacuate/", "{}" },
          { "evacuate/" + kLongZone, "{}" },
          { "evacuate/a b", "{}" },
          { "evacuate", "{}" },
          { "xevacuate/a", "{}" } } } },
    {},
    3 },
};

}

TEST_GROUP(ZoneEvacuations){};

TEST(ZoneEvacuations, FollowsTheOperatorsRecords)
{
  for (const EvacuationsRow& row : kRows) {
    ZoneEvacuations evacuations;
    std::size_t rejected = 0;
    for (const Read& read : row.reads) {
      rejected +=
        evacuations.Apply(read.records, read.isSnapshot).rejected.size();
    }
    CHECK_TEXT(evacuations.Zones() == row.zones, row.guardsAgainst);
    UNSIGNED_LONGS_EQUAL_TEXT(row.rejected, rejected, row.guardsAgainst);
  }
}

TEST(ZoneEvacuations, ReportsWhatChanged)
{
  ZoneEvacuations evacuations;
  auto changes = evacuations.Apply(
    std::vector<KeyedRecord>{ { "evacuate/a", "{}" }, { "evacuate/b", "{}" } },
    true);
  UNSIGNED_LONGS_EQUAL(2, changes.begun.size());
  changes =
    evacuations.Apply(std::vector<KeyedRecord>{ { "evacuate/a", "{}" } }, true);
  CHECK(changes.begun.empty());
  CHECK(changes.ended == std::vector<std::string>{ "b" });
}

TEST(ZoneEvacuations, NumberOfZonesIsBounded)
{
  ZoneEvacuations evacuations;
  std::vector<KeyedRecord> records;
  for (std::size_t i = 0; i < ZoneEvacuations::kMaxZones + 5; ++i) {
    records.push_back({ "evacuate/z" + std::to_string(i), "{}" });
  }
  UNSIGNED_LONGS_EQUAL(5, evacuations.Apply(records, false).rejected.size());
  UNSIGNED_LONGS_EQUAL(ZoneEvacuations::kMaxZones, evacuations.Zones().size());
}
