// Replays load whose data is in racks. The bounds lie between what was measured
// without waits for near endpoints and with them (docs/design/near-wait.md).
#include "support/RackReplay.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <iostream>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

struct RackReplayRow
{
  const char* guardsAgainst;
  RackLoad load;
  double minOnTimeShare;
};

const RackReplayRow kRackReplayRows[] = {
  { "even racks, x 1.5: away starts beside free near endpoints",
    { 1.5, 1.5, 8, 0, 0, 0 },
    0.966 },
  { "even racks, x 2: away starts beside free near endpoints",
    { 2, 2, 8, 0, 0, 0 },
    0.945 },
  { "even racks, x 3: away starts beside free near endpoints",
    { 3, 3, 8, 0, 0, 0 },
    0.85 },
  { "crowded rack of long work, x 1.5: waits that do not pay",
    { 1.5, 1.5, 8, 5, 1, 0.66 },
    0.96 },
  { "crowded rack of long work, x 2: accepting work that becomes late",
    { 2, 2, 8, 5, 1, 0.66 },
    0.9 },
  { "crowded rack of long work, x 3: accepting work that becomes late",
    { 3, 3, 8, 5.5, 1, 0.72 },
    0.83 },
  { "crowded rack of narrow work, x 3: waits that make all of it late",
    { 3, 3, 8, 4, 2, 0.6 },
    0.68 },
  { "a factor that is three times the configured one",
    { 6, 2, 8, 0, 0, 0 },
    0.85 },
};

}

TEST_GROUP(NearWaitReplay){};

TEST(NearWaitReplay, ServesLoadWithRacks)
{
  std::string failures;
  for (const RackReplayRow& row : kRackReplayRows) {
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      const RackResult result = Replay(row.load, seed);
      const std::string description = std::string(row.guardsAgainst) +
                                      ", seed " + std::to_string(seed) + ": " +
                                      Describe(result);
      if (std::getenv("HEMLOCKHAVEN_SHOW_REPLAY") != nullptr) {
        std::cout << description << '\n';
      }
      if (static_cast<double>(result.onTime) <
          row.minOnTimeShare * static_cast<double>(result.submitted)) {
        failures += description + '\n';
      }
    }
  }
  CHECK_TEXT(failures.empty(), failures.c_str());
}
