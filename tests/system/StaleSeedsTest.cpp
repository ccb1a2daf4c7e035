// The seeds that a daemon's settings name may be down for good. Daemons that
// have no other address of each other must not lead one by one: they would take
// the endpoints from each other and stop each other's runs.
#include "http/RawSocket.h"
#include "system/ConfiguredStore.h"
#include "system/LoneDaemon.h"
#include "system/TestFleet.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

// Last: CppUTest replaces the word new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

//! Daemons with one address and different ports for their links; by a seed, a
//! daemon looks for its own port only.
class Daemons
{
public:
  explicit Daemons(const std::vector<std::string>& aSeeds)
    : storePort_(ports_.Pick())
    , store_(storePort_,
             { { "version", 1 },
               { "routes",
                 { { { "name", "r" },
                     { "host", "h" },
                     { "path_prefix", "/job/" },
                     { "service", "s" } } } } })
  {
    store_.ListEndpoint("e-1", LoopbackAddress(ports_.Pick()));
    for (int i = 0; i < 3; ++i) {
      Start("vm-" + std::to_string(i + 1), aSeeds);
    }
  }

  bool AreReady() const
  {
    for (const auto& daemon : daemons_) {
      constexpr int kOk = 200;
      if (LoneDaemon::Ask(daemon->checks, "GET", "/hemlockhaven/readiness") !=
          kOk) {
        return false;
      }
    }
    return true;
  }

  int Leaders() const
  {
    int leaders = 0;
    for (const std::uint16_t port : metricsPorts_) {
      const RawSocket socket(port);
      socket.Send(RequestText("GET", "/metrics"));
      const std::string reply = socket.ReadReply();
      leaders +=
        reply.find("hemlockhaven_leading 1\n") != std::string::npos ? 1 : 0;
    }
    return leaders;
  }

private:
  void Start(const std::string& aName, const std::vector<std::string>& aSeeds)
  {
    const std::uint16_t callers = ports_.Pick();
    const std::uint16_t readiness = ports_.Pick();
    metricsPorts_.push_back(ports_.Pick());
    daemons_.push_back(std::make_unique<LoneDaemon>(
      HEMLOCKHAVEN_PLATFORM,
      callers,
      readiness,
      nlohmann::json{ { "name", aName },
                      { "zone", "zone-1" },
                      { "ip", "127.0.0.1" },
                      { "cores", 1 },
                      { "callers", LoopbackAddress(callers) },
                      { "readiness", LoopbackAddress(readiness) },
                      { "linkPort", ports_.Pick() },
                      { "seeds", aSeeds },
                      { "log", LoopbackAddress(storePort_) },
                      { "endpointLeaseMs", 1000 },
                      { "stopGraceS", 8 },
                      { "metricsPort", metricsPorts_.back() },
                      { "logLevel", "error" } }));
  }

  PortPicker ports_;
  const std::uint16_t storePort_;
  ConfiguredStore store_;
  std::vector<std::uint16_t> metricsPorts_;
  std::vector<std::unique_ptr<LoneDaemon>> daemons_;
};

struct SeedsRow
{
  const char* guardsAgainst;
  std::vector<std::string> seeds;
};

const SeedsRow kSeedsRows[] = {
  { "daemons that lead alone while their seeds refuse connections",
    { "127.0.0.9:1", "127.0.0.10:1" } },
  { "the same without seeds", {} },
};

}

TEST_GROUP(StaleSeeds){};

TEST(StaleSeeds, DaemonsAgreeOnOneLeader)
{
  for (const SeedsRow& row : kSeedsRows) {
    const Daemons daemons(row.seeds);
    // A daemon is ready when it knows a leader.
    CHECK_TEXT(WaitUntil([&daemons] {
                 return daemons.AreReady() && daemons.Leaders() == 1;
               }),
               row.guardsAgainst);
  }
}
