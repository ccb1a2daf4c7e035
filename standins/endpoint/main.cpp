// Stand-in for endpoints: a task lasts as many milliseconds as its payload
// says, times the endpoint's slowness.

#include "standins/endpoint/EndpointFleet.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace hemlockhaven;

// A JSON array of {"port", "slots", "slowness", "failsAll", "failOneIn"}.
std::vector<EndpointPlan> ReadPlans(const std::string& aPath)
{
  std::vector<EndpointPlan> plans;
  for (const auto& item : nlohmann::json::parse(std::ifstream(aPath))) {
    EndpointPlan plan;
    plan.address = item.value("address", plan.address);
    plan.port = item.at("port");
    plan.behaviour.slots = item.value("slots", plan.behaviour.slots);
    plan.behaviour.slowness = item.value("slowness", 1.0);
    plan.behaviour.failsAll = item.value("failsAll", false);
    plan.behaviour.failOneIn = item.value("failOneIn", 0U);
    plans.push_back(plan);
  }
  return plans;
}

}

int main(int aCount, char** aArguments)
{
  EndpointPlan plan;
  std::uint16_t endpoints = 1;
  std::size_t threads = 1;
  std::string file;
  std::string fault;
  std::uint32_t faultCount = 1;
  std::int64_t slowAfterSeconds = 0;
  double slowFactor = 10;
  CLI::App app("Stand-in for endpoints");
  app.add_option("--address", plan.address, "IP number to listen on");
  app.add_option("--port,--first-port", plan.port, "TCP port of the first");
  app.add_option("--endpoints", endpoints, "Number, on consecutive ports");
  app.add_option("--slots", plan.behaviour.slots, "Tasks at a time");
  app.add_option("--slowness", plan.behaviour.slowness, "Factor on run times");
  app.add_flag("--fails-all", plan.behaviour.failsAll, "Every task fails");
  app.add_option("--fail-one-in", plan.behaviour.failOneIn, "Every n-th fails");
  app.add_option("--slow-after", slowAfterSeconds, "Slow down after seconds");
  app.add_option("--slow-factor", slowFactor, "Factor from then on");
  app.add_option("--fault", fault, "Fault of the first runs of each endpoint");
  app.add_option("--fault-count", faultCount, "Number of those runs");
  app.add_option("--file", file, "JSON list of endpoints instead");
  app.add_option("--threads", threads, "I/O threads")->check(CLI::Range(1, 16));
  CLI11_PARSE(app, aCount, aArguments);
  if (slowAfterSeconds > 0) {
    plan.behaviour.changes.push_back({ std::chrono::seconds(slowAfterSeconds),
                                       slowFactor * plan.behaviour.slowness });
  }
  const auto armed = EndpointFaultFromName(fault.empty() ? "none" : fault);
  if (!armed) {
    std::cerr << "--fault: unknown fault '" << fault << "'\n";
    return 2;
  }

  sigset_t stop;
  sigemptyset(&stop);
  sigaddset(&stop, SIGTERM);
  sigaddset(&stop, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop, nullptr);

  std::vector<EndpointPlan> plans;
  if (!file.empty()) {
    plans = ReadPlans(file);
  } else {
    for (std::uint16_t i = 0; i < endpoints; ++i) {
      plans.push_back(plan);
      plan.port = static_cast<std::uint16_t>(plan.port + (plan.port ? 1 : 0));
    }
  }
  std::optional<EndpointFleet> running;
  try {
    running.emplace(plans, threads);
  } catch (const std::exception& problem) {
    std::cerr << "cannot listen: " << problem.what() << std::endl;
    return 1;
  }
  EndpointFleet& fleet = *running;
  for (std::size_t i = 0; i < fleet.Size() && !fault.empty(); ++i) {
    fleet.At(i).Arm(*armed, faultCount);
  }
  std::cout << "listening on " << fleet.Size() << " ports from "
            << fleet.At(0).Port() << std::endl;
  int signal = 0;
  sigwait(&stop, &signal);
  return 0;
}
