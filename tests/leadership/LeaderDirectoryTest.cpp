// Groups of daemons that know no address of each other meet by what their
// leaders announce; see docs/design/leader-directory.md.
#include "hemlockhaven/leadership/LeaderDirectory.h"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

using namespace hemlockhaven;

namespace {

constexpr std::int64_t kStartMs = 1700000000000;

//! A directory in virtual time.
class Fixture
{
public:
  void Run(std::int64_t aMilliseconds, bool aIsLeading)
  {
    constexpr std::int64_t kTickMs = 25;
    for (std::int64_t ran = 0; ran < aMilliseconds; ran += kTickMs) {
      directory.Tick(aIsLeading);
      nowMs_ += kTickMs;
    }
  }

  //! Learns of a leader that announced itself this long ago.
  void Learn(const std::string& aAddress, std::int64_t aAgeMs)
  {
    directory.Learn({ "other", aAddress, kStartMs + nowMs_ - aAgeMs });
  }

  std::size_t announced = 0;
  bool isStored = true; //!< The outcome of announcements.
  LeaderDirectory directory{ "vm-1",
                             "10.0.0.1:7720",
                             LeaderDirectory::Parameters(),
                             [this](std::size_t, const LeaderAnnouncement&) {
                               ++announced;
                               directory.OnAnnounced(isStored);
                             },
                             [this] {
                               return TimePoint(std::chrono::hours(1)) +
                                      std::chrono::milliseconds(nowMs_);
                             },
                             [this] { return kStartMs + nowMs_; } };

private:
  std::int64_t nowMs_ = 0;
};

struct AnnounceRow
{
  const char* guardsAgainst;
  std::function<void(Fixture&)> arrange;
  std::size_t announced;
};

const AnnounceRow kAnnounceRows[] = {
  { "writes of daemons that do not lead",
    [](Fixture& aFixture) { aFixture.Run(60000, false); },
    0 },
  { "a leader that others do not find",
    [](Fixture& aFixture) { aFixture.Run(100, true); },
    1 },
  { "an announcement that expires while its daemon leads",
    [](Fixture& aFixture) { aFixture.Run(30000, true); },
    3 },
  { "a later term that is not announced at once",
    [](Fixture& aFixture) {
      aFixture.Run(100, true);
      aFixture.Run(100, false);
      aFixture.Run(100, true);
    },
    2 },
  { "an announcement that is lost with one failed write",
    [](Fixture& aFixture) {
      aFixture.isStored = false;
      aFixture.Run(100, true);
      aFixture.isStored = true;
      aFixture.Run(1500, true);
    },
    2 },
  { "writes without a pause while the store is away",
    [](Fixture& aFixture) {
      aFixture.isStored = false;
      aFixture.Run(5000, true);
    },
    5 },
};

struct AddressRow
{
  const char* guardsAgainst;
  std::function<void(Fixture&)> arrange;
  std::vector<std::string> addresses;
};

const AddressRow kAddressRows[] = {
  { "a leader that is not looked for",
    [](Fixture& aFixture) { aFixture.Learn("10.0.0.2:7720", 0); },
    { "10.0.0.2:7720" } },
  { "a daemon that looks for itself",
    [](Fixture& aFixture) { aFixture.Learn("10.0.0.1:7720", 0); },
    {} },
  { "looking for leaders that are gone for good",
    [](Fixture& aFixture) {
      aFixture.Learn("10.0.0.2:7720", 0);
      aFixture.Run(36000, false);
    },
    {} },
  { "looking for good for a leader whose announcement is from the future",
    [](Fixture& aFixture) {
      aFixture.Learn("10.0.0.2:7720", -3600000);
      aFixture.Run(36000, false);
    },
    {} },
  { "a leader whose wall clock is behind or ahead",
    [](Fixture& aFixture) {
      aFixture.Learn("10.0.0.2:7720", 15000);
      aFixture.Learn("10.0.0.3:7720", -5000);
    },
    { "10.0.0.2:7720", "10.0.0.3:7720" } },
};

}

TEST_GROUP(LeaderDirectory){};

TEST(LeaderDirectory, AnnouncesLeaders)
{
  for (const AnnounceRow& row : kAnnounceRows) {
    Fixture fixture;
    row.arrange(fixture);
    UNSIGNED_LONGS_EQUAL_TEXT(
      row.announced, fixture.announced, row.guardsAgainst);
  }
}

TEST(LeaderDirectory, ReturnsLeadersThatMayBeThere)
{
  for (const AddressRow& row : kAddressRows) {
    Fixture fixture;
    row.arrange(fixture);
    CHECK_TEXT(row.addresses == fixture.directory.Addresses(),
               row.guardsAgainst);
  }
}

//! Another writer may put any number of announcements.
TEST(LeaderDirectory, BoundsTheAnnouncementsThatItKeeps)
{
  Fixture fixture;
  constexpr std::int64_t kCount = 1000;
  for (std::int64_t i = 0; i < kCount; ++i) {
    fixture.Learn("10.0.0.2:" + std::to_string(1000 + i), kCount - i);
  }
  const auto addresses = fixture.directory.Addresses();
  UNSIGNED_LONGS_EQUAL(LeaderDirectory::Parameters().slots, addresses.size());
  STRCMP_EQUAL("10.0.0.2:1999", addresses.back().c_str());
}
