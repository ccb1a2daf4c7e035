#include "fuzz/node/Cluster.h"
#include "fuzz/node/Command.h"

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
  { "IdIsUsedOnce", Guard::IdIsUsedOnce },
  { "FirstClaimWins", Guard::FirstClaimWins },
  { "OldEpochIsUnknown", Guard::OldEpochIsUnknown },
  { "UnknownIsFinal", Guard::UnknownIsFinal },
  { "RefusalStartedNothing", Guard::RefusalStartedNothing },
  { "JobAnswerIsWhole", Guard::JobAnswerIsWhole },
  { "LateAnswerIsDropped", Guard::LateAnswerIsDropped },
  { "LeavingEndpointGetsNothing", Guard::LeavingEndpointGetsNothing },
  { "StoppedGroupStartsNothing", Guard::StoppedGroupStartsNothing },
  { "ConfigurationBaseMatches", Guard::ConfigurationBaseMatches },
  { "ConfigurationNeverReverts", Guard::ConfigurationNeverReverts },
  { "ShutdownWaitsForStarted", Guard::ShutdownWaitsForStarted },
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
    rc::gen::set(
      &Command::kind,
      rc::gen::weightedElement<CommandKind>(
        { { 14, CommandKind::SubmitNew },   { 12, CommandKind::SubmitAgain },
          { 1, CommandKind::SubmitOther },  { 8, CommandKind::SubmitKey },
          { 4, CommandKind::Cancel },       { 5, CommandKind::Fetch },
          { 22, CommandKind::Finish },      { 3, CommandKind::FinishAgain },
          { 22, CommandKind::Deliver },     { 2, CommandKind::DropCall },
          { 10, CommandKind::Advance },     { 16, CommandKind::Tick },
          { 1, CommandKind::Partition },    { 2, CommandKind::Heal },
          { 1, CommandKind::Crash },        { 5, CommandKind::Restart },
          { 1, CommandKind::Stop },         { 4, CommandKind::SetVmList },
          { 2, CommandKind::MarkLeaving },  { 5, CommandKind::Configure },
          { 14, CommandKind::ReadLog },     { 2, CommandKind::LogOutage },
          { 2, CommandKind::LogRetention }, { 1, CommandKind::Where } })),
    rc::gen::set(&Command::first, number),
    rc::gen::set(&Command::second, number),
    rc::gen::set(&Command::third, number));
}

//! Prints the first violation of an episode with the commands and events
//! before it, and returns their number.
std::size_t Report(const Cluster& aCluster,
                   const Options& aOptions,
                   std::uint64_t aNumber,
                   std::uint64_t aOperation,
                   bool aIsFirst)
{
  const auto& violations = aCluster.Facts().Violations();
  if (!violations.empty()) {
    std::printf("seed %llu episode %llu before operation %llu: %s\n",
                static_cast<unsigned long long>(aOptions.seed),
                static_cast<unsigned long long>(aNumber),
                static_cast<unsigned long long>(aOperation),
                violations.front().c_str());
    if (aIsFirst) {
      for (const std::string& line : aCluster.Facts().Tail()) {
        std::printf("  %s\n", line.c_str());
      }
    }
  }
  return violations.size();
}

}

int main(int aCount, char** aArguments)
{
  constexpr std::uint64_t kOperationsInEpisode = 400;
  const std::optional<Options> options = ParseOptions(aCount, aArguments);
  if (!options) {
    std::fprintf(stderr,
                 "usage: hemlockhaven-fuzz-node [--seed N] "
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
  std::unique_ptr<Cluster> episode;
  for (std::uint64_t operation = 0; operation < options->operations;
       ++operation) {
    if (operation % kOperationsInEpisode == 0) {
      if (episode) {
        episode->Quiesce();
        violations +=
          Report(*episode, *options, number, operation, violations == 0);
      }
      episode =
        std::make_unique<Cluster>((options->seed << 32U) + ++number, guard);
    }
    // An episode with a violation is of no further use.
    if (episode->Facts().Violations().empty()) {
      episode->Apply(generator(random.split(), 100).value());
    }
  }
  if (episode) {
    episode->Quiesce();
    violations +=
      Report(*episode, *options, number, options->operations, violations == 0);
  }
  std::printf("operations %llu violations %zu\n",
              static_cast<unsigned long long>(options->operations),
              violations);
  return (violations > 0) == options->expectViolation ? EXIT_SUCCESS
                                                      : EXIT_FAILURE;
}
