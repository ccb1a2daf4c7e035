#include "cli/Commands.h"

#include <CLI/CLI.hpp>

#include <cstdlib>

#include <functional>

namespace {

using namespace hemlockhaven;
using Command = ExitCode (Commands::*)() const;

//! Adds a subcommand and remembers what to run.
class Parser
{
public:
  explicit Parser(CommandOptions& aOptions)
    : options_(aOptions)
  {
    // CLI11 reads the environment for the options of all subcommands, which
    // share their targets, and would override what the command line says.
    TakeVariable("HEMLOCKHAVEN_SERVER", options_.server);
    TakeVariable("HEMLOCKHAVEN_OPERATORS", options_.operators);
  }

  static void TakeVariable(const char* aName, std::string& aTo)
  {
    if (const char* value = std::getenv(aName)) {
      aTo = value;
    }
  }

  CLI::App* Add(CLI::App& aParent,
                const char* aName,
                const char* aHelp,
                Command aCommand)
  {
    CLI::App* sub = aParent.add_subcommand(aName, aHelp);
    sub->add_flag("--json", options_.isJson, "Print JSON");
    sub->add_option("--server",
                    options_.server,
                    "Callers' IP number:port; default $HEMLOCKHAVEN_SERVER");
    sub->add_option(
      "--operators",
      options_.operators,
      "Operators' IP number:port; default $HEMLOCKHAVEN_OPERATORS");
    sub->callback([this, aCommand] { chosen_ = aCommand; });
    return sub;
  }

  void AddSubmission(CLI::App* aSub) const
  {
    aSub->add_option("--caller", options_.caller, "Team that asks")->required();
    aSub->add_option("--kind", options_.kind, "Kind of work")->required();
    aSub->add_option("--urgency", options_.urgency, "low, normal or urgent");
    aSub->add_option("--selector", options_.selector, "Over endpoints' labels");
    aSub->add_option("--label", options_.labels, "key=value; may be repeated")
      ->allow_extra_args(false);
    aSub->add_option("--deadline-ms", options_.deadlineMs, "From submission");
    aSub->add_option("--id", options_.id, "Id that was reserved before");
    aSub->add_option("--file", options_.file, "Payloads by line; -: stdin");
    aSub->add_option("payload", options_.payloads, "Payloads");
  }

  Command Chosen() const { return chosen_; }

private:
  CommandOptions& options_;
  Command chosen_ = nullptr;
};

void AddCallers(CLI::App& aApp, Parser& aParser, CommandOptions& aOptions)
{
  CLI::App* request = aParser.Add(
    aApp, "request", "Submit one request and wait", &Commands::Request);
  aParser.AddSubmission(request);
  request->add_flag(
    "--idempotent", aOptions.isIdempotent, "May be sent twice to endpoints");
  aParser.AddSubmission(
    aParser.Add(aApp, "job", "Submit a job and wait", &Commands::Job));
  for (CLI::App* sub :
       { aParser.Add(aApp, "wait", "Wait for an answer", &Commands::Wait),
         aParser.Add(aApp,
                     "cancel",
                     "Cancel what has not started",
                     &Commands::Cancel) }) {
    sub->add_option("id", aOptions.id, "Id of the submission")->required();
    sub->add_flag("--request", aOptions.isRequest, "It is a request, no job");
  }
}

void AddOperators(CLI::App& aApp, Parser& aParser, CommandOptions& aOptions)
{
  aParser.Add(aApp, "status", "Show a daemon's state", &Commands::Status);
  aParser.Add(aApp, "counters", "Show all counters", &Commands::ShowCounters);
  CLI::App* where =
    aParser.Add(aApp, "where", "Tell where requests went", &Commands::Where);
  where->add_option("selector", aOptions.selector, "Over requests' labels");
  where->add_option(
    "--since", aOptions.since, "A time such as Saturday or 2 hours ago");
  where->add_option("--most", aOptions.most, "Records to show");
  CLI::App* drain =
    aParser.Add(aApp, "drain", "Drain endpoints", &Commands::Drain);
  drain->add_option("selector", aOptions.selector, "Over endpoints' labels")
    ->required();
  drain->add_flag("--undo", aOptions.takeBack, "Take them back");
  CLI::App& config =
    *aApp.add_subcommand("config", "Read and change the configuration");
  config.require_subcommand(1);
  aParser.Add(config, "get", "Show it", &Commands::GetConfiguration);
  for (CLI::App* sub :
       { aParser.Add(
           config, "check", "Check a file", &Commands::CheckConfiguration),
         aParser.Add(config,
                     "diff",
                     "Compare with a file",
                     &Commands::DiffConfiguration) }) {
    sub->add_option("file", aOptions.file, "JSON; -: stdin")->required();
  }
  CLI::App* publish = aParser.Add(
    config, "publish", "Publish a file", &Commands::PublishConfiguration);
  publish->add_option("file", aOptions.file, "JSON; -: stdin")->required();
  publish->add_option("--base", aOptions.base, "Version that it changes")
    ->required();
}

}

int main(int aCount, char** aArguments)
{
  CommandOptions options;
  Parser parser(options);
  CLI::App app("Command-line tool of hemlockhaven");
  app.set_version_flag("--version", "hemlockhaven 0.1.0");
  app.require_subcommand(1);
  AddCallers(app, parser, options);
  AddOperators(app, parser, options);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& problem) {
    return app.exit(problem) == 0 ? 0 : static_cast<int>(ExitCode::Usage);
  }
  const Commands commands(options);
  return static_cast<int>((commands.*parser.Chosen())());
}
