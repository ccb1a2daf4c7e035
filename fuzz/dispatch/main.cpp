#include "fuzz/dispatch/Command.h"
#include "fuzz/dispatch/Episode.h"

#include <rapidcheck.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

using namespace hemlockhaven;
using namespace hemlockhaven::Fuzz;

namespace {

struct GuardName
{
  std::string_view name;
  Guard guard;
};

constexpr GuardName kGuards[] = {
  { "UnknownIsFinal", Guard::UnknownIsFinal },
  { "RefusalStartedNothing", Guard::RefusalStartedNothing },
  { "LateAnswerIsDropped", Guard::LateAnswerIsDropped },
  { "LeavingEndpointGetsNothing", Guard::LeavingEndpointGetsNothing },
  { "StoppedGroupStartsNothing", Guard::StoppedGroupStartsNothing },
};

struct Options
{
  std::uint64_t seed = 1;
  std::uint64_t operations = 20'000;
  std::optional<Guard> broken;
  bool expectViolation = false;
};

std::optional<Options> ParseOptions(int aCount, char** aArguments)
{
  Options options;
  for (int at = 1; at < aCount; ++at) {
    const std::string_view name = aArguments[at];
    if (name == "--expect-violation") {
      options.expectViolation = true;
      continue;
    }
    if (at + 1 == aCount) {
      return std::nullopt;
    }
    const char* value = aArguments[++at];
    if (name == "--seed") {
      options.seed = std::strtoull(value, nullptr, 10);
    } else if (name == "--operations") {
      options.operations = std::strtoull(value, nullptr, 10);
    } else if (name == "--break") {
      for (const GuardName& row : kGuards) {
        if (row.name == value) {
          options.broken = row.guard;
        }
      }
      if (!options.broken) {
        return std::nullopt;
      }
    } else {
      return std::nullopt;
    }
  }
  return options;
}

rc::Gen<Command> CommandGenerator()
{
  const auto number = rc::gen::inRange<std::uint32_t>(0, 1U << 30U);
  return rc::gen::build<Command>(
    rc::gen::set(&Command::kind,
                 rc::gen::weightedElement<CommandKind>(
                   { { 25, CommandKind::Admit },
                     { 35, CommandKind::Finish },
                     { 4, CommandKind::FinishAgain },
                     { 1, CommandKind::FinishUnknownId },
                     { 6, CommandKind::SetEndpoints },
                     { 3, CommandKind::Stop },
                     { 1, CommandKind::StopWave },
                     { 10, CommandKind::Advance },
                     { 8, CommandKind::Tick },
                     { 2, CommandKind::ChargeRemote },
                     { 1, CommandKind::SetWeights },
                     { 2, CommandKind::Forward } })),
    rc::gen::set(&Command::first, number),
    rc::gen::set(&Command::second, number),
    rc::gen::set(&Command::third, number));
}

//! Prints the first violation of an episode and returns their number.
std::size_t Report(const Episode& aEpisode,
                   std::uint64_t aNumber,
                   std::uint64_t aOperation)
{
  if (!aEpisode.Violations().empty()) {
    std::printf("episode %llu before operation %llu: %s\n",
                static_cast<unsigned long long>(aNumber),
                static_cast<unsigned long long>(aOperation),
                aEpisode.Violations().front().c_str());
  }
  return aEpisode.Violations().size();
}

}

int main(int aCount, char** aArguments)
{
  constexpr std::uint64_t kOperationsInEpisode = 400;
  const std::optional<Options> options = ParseOptions(aCount, aArguments);
  if (!options) {
    std::fprintf(stderr,
                 "usage: hemlockhaven-fuzz-dispatch [--seed N] "
                 "[--operations N] [--break GUARD] [--expect-violation]\n");
    return 2;
  }
  GuardHook guard;
  if (options->broken) {
    guard = [broken = *options->broken](Guard aGuard) {
      return aGuard != broken;
    };
  }
  const rc::Gen<Command> generator = CommandGenerator();
  rc::Random random(options->seed);
  std::size_t violations = 0;
  std::uint64_t number = 0;
  std::unique_ptr<Episode> episode;
  for (std::uint64_t operation = 0; operation < options->operations;
       ++operation) {
    if (operation % kOperationsInEpisode == 0) {
      if (episode) {
        episode->Quiesce();
        violations += Report(*episode, number, operation);
      }
      episode = std::make_unique<Episode>(++number + options->seed, guard);
    }
    // An episode with a violation is of no further use.
    if (episode->Violations().empty()) {
      episode->Apply(generator(random.split(), 100).value());
    }
  }
  if (episode) {
    episode->Quiesce();
    violations += Report(*episode, number, options->operations);
  }
  std::printf("operations %llu violations %zu\n",
              static_cast<unsigned long long>(options->operations),
              violations);
  return (violations > 0) == options->expectViolation ? EXIT_SUCCESS
                                                      : EXIT_FAILURE;
}
