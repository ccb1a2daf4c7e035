#include "standins/endpoint/EndpointFleet.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace hemlockhaven {

EndpointFleet::EndpointFleet(Span<const EndpointPlan> aPlans,
                             std::size_t aThreads)
{
  for (std::size_t i = 0; i < aThreads; ++i) {
    lanes_.push_back(std::make_unique<Lane>());
  }
  for (const EndpointPlan& plan : aPlans) {
    servers_.push_back(std::make_unique<EndpointServer>(
      lanes_[servers_.size() % lanes_.size()]->context,
      plan.address,
      plan.port,
      plan.behaviour,
      starts_));
    servers_.back()->SetControl(
      [this](std::string_view aCommand) { return Control(aCommand); });
  }
  for (const auto& lane : lanes_) {
    threads_.emplace_back([&context = lane->context] { context.run(); });
  }
}

EndpointFleet::~EndpointFleet()
{
  for (const auto& lane : lanes_) {
    lane->context.stop();
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
  // Sessions refer to their servers and are owned by the contexts' handlers.
  servers_.clear();
  lanes_.clear();
}

std::string EndpointFleet::Control(std::string_view aCommand)
{
  const auto command =
    nlohmann::json::parse(aCommand.begin(), aCommand.end(), nullptr, false);
  if (!command.is_object()) {
    return "";
  }
  std::optional<EndpointFault> fault;
  if (command.contains("fault") && command["fault"].is_string()) {
    fault = EndpointFaultFromName(command["fault"].get<std::string>());
    if (!fault) {
      return "";
    }
  }
  const auto number = [&command](const char* aName, double aDefault) {
    const auto found = command.find(aName);
    return found != command.end() && found->is_number() ? found->get<double>()
                                                        : aDefault;
  };
  const auto port = static_cast<std::uint16_t>(number("port", 0));
  const auto count = static_cast<std::uint32_t>(number("count", 1));
  const double slowness = number("slowness", 0);
  std::size_t changed = 0;
  for (const auto& server : servers_) {
    if (port != 0 && server->Port() != port) {
      continue;
    }
    ++changed;
    if (fault) {
      server->Arm(*fault, count);
    }
    if (slowness > 0) {
      server->SetSlowness(slowness);
    }
    if (command.contains("failsAll")) {
      server->SetFailsAll(command["failsAll"] == true);
    }
  }
  return nlohmann::json{ { "changed", changed } }.dump();
}

}
