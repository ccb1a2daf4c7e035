// Embeds the dispatcher without sockets: endpoints are functions here.

#include "hemlockhaven/node/Node.h"

#include <cstdlib>
#include <iostream>
#include <utility>

using namespace hemlockhaven;

int main()
{
  Node* running = nullptr;
  NodeHooks hooks;
  hooks.clock = SteadyNow;
  hooks.wallClock = WallNowMs;
  hooks.sendAttempt = [&running](const Attempt& aAttempt) {
    AttemptResult result;
    result.end = AttemptEnd::Succeeded;
    result.body = aAttempt.endpoint + " ran " +
                  aAttempt.group->spec.payloads[aAttempt.index];
    running->FinishAttempt(aAttempt.id, std::move(result));
  };
  EntryVm vm;
  vm.node = "embedded";
  Node node({ "embedded", 1 }, vm, std::move(hooks), {});
  running = &node;

  EndpointDescription endpoint;
  endpoint.id = "workshop";
  endpoint.labels.Set("zone", "a");
  node.SetVmList({ { endpoint }, {} });

  JobSpec spec;
  spec.caller = "example";
  spec.kind = "quote";
  spec.selector = Selector::Parse("zone = a").value();
  spec.payloads = { "first", "second" };
  const auto id = node.ReserveIds(1);
  if (node.Submit(id.value(), std::move(spec)).has_error()) {
    return EXIT_FAILURE;
  }
  const auto answer = node.WaitFor(id.value(), std::chrono::seconds(1));
  for (const TaskOutcome& outcome : answer.value().results) {
    std::cout << outcome.body << "\n";
  }
  return answer.value().state == JobState::Complete ? EXIT_SUCCESS
                                                    : EXIT_FAILURE;
}
