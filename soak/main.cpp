// Runs the real daemons with endpoints as processes, breaks them from outside
// and checks what callers and endpoints see.

#include "soak/Callers.h"
#include "soak/EventCounts.h"
#include "soak/FaultPlan.h"
#include "soak/Fleet.h"
#include "soak/Ledger.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <string>
#include <string_view>

namespace {

using namespace hemlockhaven;

//! Bound of each wait for what must happen at last. A hundred times the usual,
//! so that a busy machine does not decide.
constexpr Duration kPatience{ 60000000 };

struct Options
{
  Soak::FleetOptions fleet;
  std::uint64_t firstSeed = 1;
  std::uint64_t seeds = 1;
  int seconds = 10;
  std::size_t callers = 30;
};

//! Serves events until the condition holds; false after the patience.
bool ServeUntil(boost::asio::io_context& aContext,
                const std::function<bool()>& aIsDone)
{
  const TimePoint end = SteadyNow() + kPatience;
  while (!aIsDone() && SteadyNow() < end) {
    aContext.run_for(std::chrono::milliseconds(20));
    aContext.restart();
  }
  return aIsDone();
}

//! Plays one seed; returns what was broken.
std::vector<std::string> Play(const Options& aOptions, std::uint64_t aSeed)
{
  boost::asio::io_context context(1);
  Soak::Ledger ledger;
  Soak::FleetOptions fleetOptions = aOptions.fleet;
  fleetOptions.seed = aSeed;
  // Runs of one seed side by side must not write each other's files.
  fleetOptions.folder.append("/seed-").append(std::to_string(aSeed));
  fleetOptions.folder.append("-network-");
  fleetOptions.folder.append(std::to_string(fleetOptions.network));
  std::filesystem::create_directories(fleetOptions.folder);
  Soak::Fleet fleet(context, fleetOptions, ledger);
  Soak::FaultPlan plan(context, fleet, ledger, aSeed + 2);
  Soak::Callers callers(
    context, fleet, ledger, aSeed + 1, [&plan](std::size_t aDaemon) {
      plan.Answered(aDaemon);
    });
  std::vector<std::string> faults;

  const auto allServe = [&] { return callers.Served() == fleet.Daemons(); };
  callers.Start(aOptions.callers);
  if (!ServeUntil(context, allServe)) {
    faults.emplace_back("not all daemons served a job at the begin");
  }
  plan.Start(std::chrono::seconds(aOptions.seconds));
  ServeUntil(context, [&] { return plan.IsOver(); });
  callers.BeginRound();
  if (!ServeUntil(context, allServe)) {
    faults.emplace_back("not all daemons served a job after the last fault");
  }
  callers.Stop();
  ServeUntil(context, [&] { return callers.Waiting() == 0; });
  for (std::size_t daemon = 0; daemon < fleet.Daemons(); ++daemon) {
    fleet.SignalDaemon(daemon, SIGTERM);
  }
  for (std::size_t daemon = 0; daemon < fleet.Daemons(); ++daemon) {
    const auto hasExited = [&] { return fleet.DaemonExit(daemon).has_value(); };
    if (!ServeUntil(context, hasExited) || fleet.DaemonExit(daemon) != 0) {
      faults.push_back("daemon " + std::to_string(daemon) +
                       " did not stop without an error");
    }
  }
  fleet.CollectEvents();
  const std::vector<std::string> broken = ledger.Faults();
  faults.insert(faults.end(), broken.begin(), broken.end());
  if (const std::size_t bad = fleet.BadLogLines()) {
    faults.push_back(std::to_string(bad) + " log lines are not JSON");
  }
  std::ofstream history(fleetOptions.folder + "/faults.txt");
  for (const std::string& line : plan.History()) {
    history << line << '\n';
  }
  Soak::LogCounts logCounts(plan.Pauses());
  fleet.ReadLogs([&logCounts](std::size_t aDaemon, std::string_view aLine) {
    logCounts.Add(aDaemon, aLine);
  });
  const std::string counts =
    logCounts.Text(ledger.CountRuns([&logCounts](const std::string& aJob,
                                                 const std::string& aEndpoint) {
      return logCounts.IsUnseenLapse(aJob, aEndpoint);
    }),
                   plan.Counts());
  std::ofstream(fleetOptions.folder + "/counts.json") << counts << '\n';
  std::ofstream requests(fleetOptions.folder + "/requests.json");
  for (const Soak::CallerRecord& request : ledger.Callers()) {
    requests << nlohmann::json{
      { "id", request.id },
      { "attempt", request.attempt },
      { "daemon", request.daemon },
      { "status", request.status },
      { "sent", Soak::LogTime(request.sent) },
      { "ended", Soak::LogTime(request.ended.value_or(request.sent)) },
    } << '\n';
  }
  std::cout << "seed " << aSeed << ": " << ledger.Requests() << " requests, "
            << ledger.CountStatus(200) << " answered 200, "
            << ledger.CountStatus(429) << " 429, " << ledger.CountStatus(503)
            << " 503, " << ledger.CountStatus(504) << " 504, "
            << ledger.CountStatus(0) << " none; " << plan.History().size()
            << " faults; " << faults.size() << " broken\n  " << counts << '\n'
            << std::flush;
  return faults;
}

}

int main(int aCount, char** aArguments)
{
  Options options;
  options.fleet.daemonProgram = HEMLOCKHAVEN_DAEMON;
  options.fleet.endpointProgram = HEMLOCKHAVEN_ENDPOINT;
  options.fleet.folder = "soak-results";
  CLI::App app("Fault soak of hemlockhaven-platform on loopback");
  app.add_option("--seed", options.firstSeed, "First seed");
  app.add_option("--seeds", options.seeds, "How many seeds, one by one");
  app.add_option("--seconds", options.seconds, "How long faults begin");
  app.add_option("--daemons", options.fleet.daemons, "Daemons, up to 50")
    ->check(CLI::Range(1, 50));
  app
    .add_option("--endpoints", options.fleet.endpoints, "Endpoints, up to 200")
    ->check(CLI::Range(1, 200));
  app.add_option("--callers", options.callers, "Callers");
  app
    .add_option_function<std::string>(
      "--shape",
      [&options](const std::string& aName) {
        options.fleet.shape = &Soak::ShapeOf(aName);
      },
      "Kind of deployment")
    ->check(CLI::IsMember(
      { "plain", "order-desk", "order-desk-one-sided", "order-desk-cuts" }));
  app.add_option("--network", options.fleet.network, "N of 127.N.x.y")
    ->check(CLI::Range(1, 254));
  app.add_option("--out", options.fleet.folder, "Folder of logs and events");
  app
    .add_option("--daemon-program",
                options.fleet.daemonProgram,
                "Daemon to play, for example of another build")
    ->check(CLI::ExistingFile);
  CLI11_PARSE(app, aCount, aArguments);

  std::signal(SIGPIPE, SIG_IGN);
  bool isClean = true;
  for (std::uint64_t i = 0; i < options.seeds; ++i) {
    for (const std::string& fault : Play(options, options.firstSeed + i)) {
      std::cout << "  " << fault << '\n';
      isClean = false;
    }
  }
  return isClean ? EXIT_SUCCESS : EXIT_FAILURE;
}
